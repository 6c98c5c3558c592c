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
	defaultLogTimeout = 30 * time.Second
	retryDelay        = 200 * time.Millisecond
	longPollTimeout   = time.Second
)

// replica is a local copy of the configuration and the moves, read from the log.
type replica struct {
	client   appender.Client
	follower follower.Follower
	deadline time.Time
}

type logFlags struct {
	log  string
	wait time.Duration
}

func (f *logFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.log, "log", "127.0.0.1:7001", "IP address and port of the log service")
	cmd.Flags().DurationVar(&f.wait, "wait", defaultLogTimeout, "how long to wait for the log")
}

func (f *logFlags) newReplica() *replica {
	r := &replica{deadline: time.Now().Add(f.wait)}
	r.client.Address = dotterelpulley.Address(f.log)
	return r
}

var errLogUnreachable = errors.New("the log could not be reached")

// catchUp reads the stream to its end and returns the changes.
func (r *replica) catchUp(stream appender.Stream) ([]follower.Change, error) {
	var changes []follower.Change
	for {
		page, err := r.client.Read(stream, r.follower.NextOffset(stream), 0)
		if err != nil {
			if time.Now().After(r.deadline) {
				return changes, exitError{exitUnknown, fmt.Errorf("%w: %w", errLogUnreachable, err)}
			}
			time.Sleep(retryDelay)
			continue
		}
		changes = append(changes, r.follower.ApplyPage(stream, page)...)
		if len(page.Records) == 0 {
			return changes, nil
		}
	}
}

func (r *replica) catchUpBoth() error {
	for _, stream := range []appender.Stream{appender.StreamConfiguration, appender.StreamMoves} {
		if _, err := r.catchUp(stream); err != nil {
			return err
		}
	}
	return nil
}
