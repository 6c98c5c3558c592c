package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

type watchFlags struct {
	logFlags
	json  bool
	until string
	all   bool
}

func watchCommand() *cobra.Command {
	var flags watchFlags
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Show each move as it happens",
		Long: `Show each configuration change, release note and move as it happens.

With --until NOTE the command ends when every move of the note has: exit code 0
if all were done, 1 if one was undone, 4 if --wait passed before.`,
		Example: `  dotterelctl watch --log 127.0.0.1:7001
  dotterelctl watch --until kaasik-2 --wait 10m`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return watch(flags)
		},
	}
	flags.add(cmd)
	cmd.Flags().BoolVar(&flags.json, "json", false, "print JSON lines")
	cmd.Flags().StringVar(&flags.until, "until", "", "end when this release note's moves have ended")
	cmd.Flags().BoolVar(&flags.all, "all", false, "show records of before the start, lease renewals and snapshots too")
	return cmd
}

func watch(flags watchFlags) error {
	r := flags.newReplica()
	if err := r.catchUpBoth(); err != nil {
		return err
	}
	for {
		if ended, done := noteOutcome(r, dotterelpulley.NoteID(flags.until)); ended {
			if done {
				return nil
			}
			return exitError{exitFailed, fmt.Errorf("release note %q: a move was undone", flags.until)}
		}
		if flags.until != "" && time.Now().After(r.deadline) {
			return exitError{exitUnknown, fmt.Errorf("release note %q has not ended within %s", flags.until, flags.wait)}
		}
		printNew(r, flags)
	}
}

// printNew reads both streams once and prints the new changes.
func printNew(r *replica, flags watchFlags) {
	for _, stream := range []appender.Stream{appender.StreamConfiguration, appender.StreamMoves} {
		page, err := r.client.Read(stream, r.follower.NextOffset(stream), longPollTimeout/2)
		if err != nil {
			time.Sleep(retryDelay)
			continue
		}
		for _, change := range r.follower.ApplyPage(stream, page) {
			printChange(flags, change)
		}
	}
}

// noteOutcome reports whether all moves of the note have ended, and whether all of them were done.
func noteOutcome(r *replica, note dotterelpulley.NoteID) (ended, done bool) {
	if note == "" {
		return false, false
	}
	state := r.follower.ConfigurationState()
	accepted, known := state.Note(note)
	if !known {
		return false, false
	}
	moves := r.follower.MovesState()
	done = true
	for _, change := range accepted.Note.Changes {
		m, opened := moves.Move(recorder.MoveID{Note: note, Service: change.Service})
		if !opened || m.Running() {
			return false, false
		}
		done = done && m.Phase == recorder.PhaseDone
	}
	return true, done
}

type wireEvent struct {
	Stream   string  `json:"stream"`
	Offset   int64   `json:"offset"`
	Event    string  `json:"event"`
	Accepted bool    `json:"accepted"`
	Move     string  `json:"move,omitempty"`
	Share    float64 `json:"share,omitempty"`
	Reason   string  `json:"reason,omitempty"`
}

func printChange(flags watchFlags, change follower.Change) {
	event, routine := eventOf(change)
	if routine && !flags.all {
		return
	}
	if flags.json {
		if err := json.NewEncoder(os.Stdout).Encode(event); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		return
	}
	verdict := "refused"
	if event.Accepted {
		verdict = "accepted"
	}
	fmt.Printf("%s %s/%d %s %s share=%g %s %s\n", time.Now().UTC().Format(time.RFC3339),
		event.Stream, event.Offset, event.Event, event.Move, event.Share, verdict, event.Reason)
}

// eventOf returns the event for the change, and reports whether it is routine, such as a lease renewal or a snapshot.
func eventOf(change follower.Change) (event wireEvent, routine bool) {
	event = wireEvent{
		Stream:   string(change.Stream),
		Offset:   int64(change.Verdict.Offset),
		Accepted: change.Verdict.Accepted,
		Reason:   change.Verdict.Reason,
	}
	switch body := change.Body.(type) {
	case recorder.Delta:
		event.Event = "configuration"
	case recorder.Note:
		event.Event, event.Move = "release-note", string(body.Note.ID)
	case recorder.Claim:
		event.Event, event.Reason = "lease", "held by "+string(body.Holder)
	case recorder.Renewal, recorder.Release, recorder.ConfigurationSnapshot, recorder.MovesSnapshot:
		event.Event, routine = "upkeep", true
	case recorder.Opening:
		event.Event, event.Move = "opened", body.Move.String()
	case recorder.Step:
		event.Event, event.Move, event.Share = "step", body.Move.String(), body.Share
		event.Reason = eventReason(event, body.Reason)
	case recorder.Outcome:
		event.Event, event.Move = "undone", body.Move.String()
		if body.Done {
			event.Event = "done"
		}
		event.Reason = eventReason(event, body.Reason)
	case recorder.BadVersion:
		event.Event, event.Move = "bad-version", body.Move.String()
		event.Reason = eventReason(event, body.Reason)
	default:
		event.Event = "damaged"
	}
	return event, routine
}

func eventReason(event wireEvent, reason string) string {
	if event.Accepted {
		return reason
	}
	return event.Reason
}
