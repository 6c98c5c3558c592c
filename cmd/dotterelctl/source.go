package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/follower"
)

const (
	defaultWait  = 30 * time.Second
	retryPause   = 200 * time.Millisecond
	longPollWait = time.Second
)

// source is the log as one command sees it.
type source struct {
	client   appender.Client
	follower follower.Follower
	deadline time.Time
}

type sourceFlags struct {
	log  string
	wait time.Duration
}

func (f *sourceFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.log, "log", "127.0.0.1:7001", "IP address and port of the log service")
	cmd.Flags().DurationVar(&f.wait, "wait", defaultWait, "how long to wait for the log")
}

func (f *sourceFlags) open() *source {
	s := &source{deadline: time.Now().Add(f.wait)}
	s.client.Address = dotterelpulley.Address(f.log)
	return s
}

var errNoLog = errors.New("the log could not be reached")

// catchUp reads the stream to its end and returns what was folded in.
func (s *source) catchUp(stream appender.Stream) ([]follower.Change, error) {
	var changes []follower.Change
	for {
		page, err := s.client.Read(stream, s.follower.Next(stream), 0)
		if err != nil {
			if time.Now().After(s.deadline) {
				return changes, exitError{exitUnknown, fmt.Errorf("%w: %w", errNoLog, err)}
			}
			time.Sleep(retryPause)
			continue
		}
		changes = append(changes, s.follower.ApplyPage(stream, page)...)
		if len(page.Records) == 0 {
			return changes, nil
		}
	}
}

func (s *source) catchUpBoth() error {
	for _, stream := range []appender.Stream{appender.StreamConfiguration, appender.StreamMoves} {
		if _, err := s.catchUp(stream); err != nil {
			return err
		}
	}
	return nil
}
