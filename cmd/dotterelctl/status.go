package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley/recorder"
)

type statusFlags struct {
	logFlags
	json bool
}

func statusCommand() *cobra.Command {
	var flags statusFlags
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the configuration in force and every move",
		Example: `  dotterelctl status --log 127.0.0.1:7001
  dotterelctl status --json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return status(flags)
		},
	}
	flags.add(cmd)
	cmd.Flags().BoolVar(&flags.json, "json", false, "print one JSON line")
	return cmd
}

func status(flags statusFlags) error {
	r := flags.newReplica()
	if err := r.catchUpBoth(); err != nil {
		return err
	}
	view := statusOf(r, time.Now())
	if flags.json {
		return json.NewEncoder(os.Stdout).Encode(view)
	}
	fmt.Printf("revision %d, mover %s (fence %d)\n", view.Revision, view.Holder, view.Fence)
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "SERVICE\tVERSION IN FORCE")
	for _, service := range view.Services {
		fmt.Fprintf(out, "%s\t%s\n", service.ID, service.Version)
	}
	fmt.Fprintln(out, "MOVE\tSTATE\tSTEP\tSHARE\tTIME LEFT\tREASON")
	for _, m := range view.Moves {
		fmt.Fprintf(out, "%s/%s\t%s\t%d\t%.3g\t%s\t%s\n", m.Note, m.Service, m.State, m.Step, m.Share, m.TimeLeft, m.Reason)
	}
	return out.Flush()
}

type wireStatus struct {
	Revision int64               `json:"revision"`
	Holder   string              `json:"mover"`
	Fence    int64               `json:"fence"`
	Services []wireServiceStatus `json:"services"`
	Moves    []wireMoveStatus    `json:"moves"`
}

type wireServiceStatus struct {
	ID      string `json:"id"`
	Version string `json:"version"`
}

type wireMoveStatus struct {
	Note     string  `json:"note"`
	Service  string  `json:"service"`
	State    string  `json:"state"`
	Step     int     `json:"step"`
	Share    float64 `json:"share"`
	TimeLeft string  `json:"time-left"`
	Bad      bool    `json:"bad"`
	Reason   string  `json:"reason"`
}

func statusOf(r *replica, now time.Time) wireStatus {
	moves := r.follower.MovesState()
	c := r.follower.Configuration()
	view := wireStatus{
		Revision: int64(c.Revision),
		Holder:   string(moves.Lease.Holder),
		Fence:    int64(moves.Lease.Fence),
	}
	for _, service := range c.Services {
		build, _ := r.follower.InForce(service.ID)
		view.Services = append(view.Services, wireServiceStatus{ID: string(service.ID), Version: string(build.Version)})
	}
	for _, n := range r.follower.Notes() {
		for _, change := range n.Note.Changes {
			id := recorder.MoveID{Note: n.Note.ID, Service: change.Service}
			view.Moves = append(view.Moves, moveStatus(&moves, id, n.Note.Deadline, now))
		}
	}
	return view
}

func moveStatus(moves *recorder.MovesState, id recorder.MoveID, deadline, now time.Time) wireMoveStatus {
	view := wireMoveStatus{
		Note:     string(id.Note),
		Service:  string(id.Service),
		State:    "queued",
		TimeLeft: max(0, deadline.Sub(now)).Round(time.Second).String(),
	}
	if m, opened := moves.Move(id); opened {
		view.State, view.Step, view.Share = m.Phase.String(), m.Number, m.Share
		view.Bad, view.Reason = m.Bad, m.Reason
	}
	return view
}
