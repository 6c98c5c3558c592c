package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley/describer"
)

const (
	// hostTimeout bounds the request to a host; a host that takes longer is reported as unreachable.
	hostTimeout = 3 * time.Second
	// maxStateBytes bounds the size of a host's response; it is enough for some thousand endpoints.
	maxStateBytes = 4 << 20
)

func hostCommand() *cobra.Command {
	var raw bool
	cmd := &cobra.Command{
		Use:   "host ADDRESS",
		Short: "Show what a gateway believes: configuration, hosts, endpoints and caps, with ages",
		Example: `  dotterelctl host 10.1.0.25:7601
  dotterelctl host --json 10.1.0.25:7601`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := fetchHostState(cmd.Context(), args[0])
			if err != nil {
				return exitError{code: exitUnknown, cause: err}
			}
			if raw {
				_, err := fmt.Println(string(data))
				return err
			}
			h, err := describer.Decode(data)
			if err != nil {
				return exitError{code: exitFailed, cause: err}
			}
			return printHost(os.Stdout, h)
		},
	}
	cmd.Flags().BoolVar(&raw, "json", false, "print one JSON line")
	return cmd
}

// fetchHostState returns the encoded state that the gateway serves on its metrics address.
func fetchHostState(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask the host: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return nil, fmt.Errorf("read the host's answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answers %s; is it a gateway's metrics address?", address, response.Status)
	}
	return data, nil
}

func printHost(w io.Writer, h describer.Host) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	roundMillis := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	fmt.Fprintf(out, "%s in %s: %s, configuration %d proved %s ago, reads the store: %t, store lost: %t\n",
		h.ID, h.Zone, h.State, h.Configuration, roundMillis(h.SinceConfirmed), h.ReadsStore, h.StoreLost)
	fmt.Fprintln(out, "HOST\tZONE\tSTATE\tHEARD AGO\tCONFIGURATION")
	for _, m := range h.Members {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\n", m.ID, m.Zone, m.State, roundMillis(m.SinceHeard), m.Configuration)
	}
	fmt.Fprintln(out, "ENDPOINT\tSERVICE\tADDRESS\tSTATE\tSLOTS\tOWN RUNS\tOTHERS' RUNS\tUNREAD TOKENS\tPACE\tPER TOKEN READ\tBARRED FOR")
	for _, e := range h.Endpoints {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", e.ID, e.Service, e.Address, e.State, e.Slots,
			e.Running, e.PeerRunning, e.PendingPrompt, e.EventInterval.Round(time.Microsecond), e.PrefillPerToken, roundMillis(e.BlockedFor))
	}
	fmt.Fprintln(out, "ORGANISATION\tSAVED UP\tUSED\tALLOWED")
	for _, c := range h.Caps {
		fmt.Fprintf(out, "%s\t%.0f\t%.0f\t%.0f\n", c.Organisation, c.Level, c.Used, c.Allowed)
	}
	fmt.Fprintln(out, "SERVICE\tREPEATS LEFT\tMOST SAVED")
	for _, b := range h.RetryBudgets {
		fmt.Fprintf(out, "%s\t%.1f\t%.1f\n", b.Service, b.Available, b.Burst)
	}
	return out.Flush()
}
