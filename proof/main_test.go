package proof

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
)

const (
	awaitTimeout      = 30 * time.Second
	configurationFile = "../examples/pollulaotus/configuration.toml"
	modelVersion      = "kaasik-lm@1"
	buildTimeout      = 5 * time.Minute
)

var (
	seed      = flag.Uint64("proof-seed", 1, "seed of the load")
	binaries  prover.Binaries
	siteCount atomic.Int32
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if testing.Short() {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	if binaries, err = prover.Build(ctx, "..", dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// site is a system under test together with the assertions on it.
type site struct {
	*qt.C
	*prover.Site
}

// newSite creates a site whose entry hosts are not started yet.
func newSite(t *testing.T, change func(*prover.SiteSettings)) site {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	c := qt.New(t)
	settings := prover.SiteSettings{
		Binaries: binaries,
		Network:  fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, siteCount.Add(1)),
		Dir:      t.TempDir(),
		Zones:    []dotterelpulley.ZoneID{"tartu-a", "tallinn-b", "parnu-c"},
		Entries:  3,
	}
	for i := range 4 {
		settings.Engines = append(settings.Engines, &standin.Engine{
			ID:         dotterelpulley.EndpointID(fmt.Sprintf("kaasik-%d", i+1)),
			Service:    "kaasik-lm",
			Zone:       settings.Zones[i%len(settings.Zones)],
			Generation: dotterelpulley.Generation(fmt.Sprintf("g%d", 3+i%2)),
			Versions:   []string{modelVersion},
			Step:       10 * time.Millisecond,
			ReportLag:  100 * time.Millisecond,
		})
	}
	for i := range 2 {
		settings.Plain = append(settings.Plain, &standin.Plain{
			ID:       dotterelpulley.EndpointID(fmt.Sprintf("laotus-%d", i+1)),
			Service:  "laotus-app",
			Zone:     settings.Zones[i],
			CallTime: 10 * time.Millisecond,
		})
	}
	if change != nil {
		change(&settings)
	}
	proverSite, err := prover.NewSite(settings)
	c.Assert(err, qt.IsNil)
	s := site{C: c, Site: proverSite}
	c.Cleanup(s.closeAndReport)
	s.RecordAction("%s with seed %d", t.Name(), *seed)
	return s
}

// startSite creates a site with a published configuration and waits until its entry hosts are ready and have discovered
// each other and all endpoints.
func startSite(t *testing.T) site {
	return startSiteWith(t, nil)
}

// startSiteWith starts a site as startSite does, with changed settings.
func startSiteWith(t *testing.T, change func(*prover.SiteSettings)) site {
	s := newSite(t, change)
	s.publish(configurationFile)
	for _, e := range s.Entries {
		c := s.C
		c.Assert(e.Start(), qt.IsNil)
	}
	for _, e := range s.Entries {
		s.await(string(e.Host.ID)+" is ready and has discovered all hosts and endpoints", func() bool {
			return e.Ready() && hasDiscovered(e.Status(), len(s.Entries), len(s.Engines)+len(s.Plain))
		})
	}
	return s
}

// hasDiscovered reports whether the host has discovered this many entry hosts and endpoints, and the versions of at least
// one engine.
func hasDiscovered(status prover.Status, entries, endpoints int) bool {
	loaded := 0
	for _, e := range status.Endpoints {
		if len(e.Versions) > 0 {
			loaded++
		}
	}
	return status.EntryHosts == entries && len(status.Endpoints) == endpoints && loaded > 0
}

// closeAndReport closes the site and, if the test failed, logs the recorded actions and the processes' output.
func (s site) closeAndReport() {
	report := s.Report()
	s.Check(s.Close(), qt.IsNil)
	if s.Failed() {
		s.Logf("seed %d\n%s", *seed, report)
	}
}

func (s site) await(description string, condition func() bool) {
	s.Helper()
	s.Assert(prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: awaitTimeout}, description, condition), qt.IsNil)
}

// publish publishes the file with dotterelctl.
func (s site) publish(file string) {
	s.Helper()
	s.RecordAction("publish %s", file)
	ran, err := s.Binaries.Run(s.Context(), "dotterelctl", "publish", "--log", string(s.Log.Address()), file)
	s.Assert(err, qt.IsNil)
	s.Assert(ran.ExitCode, qt.Equals, 0, qt.Commentf("%s", ran.Output))
}
