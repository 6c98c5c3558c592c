package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/publisher"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

type publishFlags struct {
	logFlags
	kind string
	base int64
}

func publishCommand() *cobra.Command {
	var flags publishFlags
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a configuration or a release note",
		Long: `Publish a configuration or a release note on the log.

A configuration replaces the one that was in force when the command read it, or
the one of --base. When another change was accepted in between, this one is
refused and the command names what it lost to (exit code 3).`,
		Example: `  dotterelctl publish --log 127.0.0.1:7001 configuration.toml
  dotterelctl publish --log 127.0.0.1:7001 release-note.toml`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			return publish(flags, files[0])
		},
	}
	flags.add(cmd)
	cmd.Flags().StringVar(&flags.kind, "kind", "", "configuration or release-note; told by the keys if absent")
	cmd.Flags().Int64Var(&flags.base, "base", -1, "the revision that a configuration was made from; the newest if absent")
	return cmd
}

func publish(flags publishFlags, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return exitError{exitFailed, fmt.Errorf("read %q: %w", file, err)}
	}
	kind, err := fileKind(flags.kind, data)
	if err != nil {
		return err
	}
	r := flags.newReplica()
	if err := r.catchUpBoth(); err != nil {
		return err
	}
	p, err := r.publication(kind, file, data)
	if err != nil {
		return exitError{exitFailed, err}
	}
	if p.Empty() {
		fmt.Printf("revision %d: nothing to change\n", r.follower.Configuration().Revision)
		return nil
	}
	if flags.base >= 0 {
		p.Envelope.Base = dotterelpulley.Revision(flags.base)
	}
	verdict, err := r.append(&p)
	if err != nil {
		return err
	}
	return printVerdict(r, verdict)
}

func (r *replica) publication(kind publisher.FileKind, file string, data []byte) (publisher.Publication, error) {
	current := r.follower.Configuration()
	switch kind {
	case publisher.FileConfiguration:
		c, err := publisher.ParseConfiguration(file, data)
		return publisher.NewConfigurationPublication(current, c), err
	case publisher.FileNote:
		note, err := publisher.ParseNote(file, data, current, r.follower.InForce, time.Now())
		return publisher.NewNotePublication(current, note), err
	case publisher.FileSettings:
		return publisher.Publication{}, fmt.Errorf("%q holds settings, which are not published", file)
	}
	return publisher.Publication{}, fmt.Errorf("file kind %d is unknown", int(kind))
}

// append appends the publication and reads the stream until it holds a verdict on it; it retries the append only if the record is missing.
func (r *replica) append(p *publisher.Publication) (recorder.Verdict, error) {
	data, err := recorder.Encode(p.Envelope)
	if err != nil {
		return recorder.Verdict{}, exitError{exitFailed, err}
	}
	for {
		_, appendErr := r.client.Append(appender.StreamConfiguration, data)
		changes, err := r.catchUp(appender.StreamConfiguration)
		for _, change := range changes {
			p.Observe(change.Verdict)
		}
		if v, decided := p.Verdict(); decided {
			return v, nil
		}
		if err != nil {
			return recorder.Verdict{}, err
		}
		if time.Now().After(r.deadline) {
			return recorder.Verdict{}, exitError{exitUnknown, fmt.Errorf("%w: %w", errLogUnreachable, appendErr)}
		}
		time.Sleep(retryDelay)
	}
}

func printVerdict(r *replica, v recorder.Verdict) error {
	if v.Accepted {
		fmt.Printf("accepted at offset %d; revision %d in force\n", v.Offset, r.follower.Configuration().Revision)
		return nil
	}
	err := fmt.Errorf("refused at offset %d: %s", v.Offset, v.Reason)
	if v.LostTo != "" {
		return exitError{exitConflict, fmt.Errorf("%w (lost to record %s)", err, v.LostTo)}
	}
	return exitError{exitFailed, err}
}
