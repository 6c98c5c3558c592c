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
	patience      = 30 * time.Second
	configuration = "../examples/pollulaotus/configuration.toml"
	modelVersion  = "kaasik-lm@1"
	buildLimit    = 5 * time.Minute
)

var (
	seed     = flag.Uint64("proof-seed", 1, "seed of the load")
	binaries prover.Binaries
	sites    atomic.Int32
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
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	if binaries, err = prover.Build(ctx, "..", dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// site is a system under test with the assertions on it.
type site struct {
	*qt.C
	*prover.Site
}

// place makes a site whose entry hosts do not run yet.
func place(t *testing.T, change func(*prover.SiteSettings)) site {
	if testing.Short() {
		t.Skip("runs processes")
	}
	t.Parallel()
	c := qt.New(t)
	shape := prover.SiteSettings{
		Binaries: binaries,
		Network:  fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, sites.Add(1)),
		Dir:      t.TempDir(),
		Zones:    []dotterelpulley.ZoneID{"tartu-a", "tallinn-b", "parnu-c"},
		Entries:  3,
	}
	for i := range 4 {
		shape.Engines = append(shape.Engines, &standin.Engine{
			ID:         dotterelpulley.EndpointID(fmt.Sprintf("kaasik-%d", i+1)),
			Service:    "kaasik-lm",
			Zone:       shape.Zones[i%len(shape.Zones)],
			Generation: dotterelpulley.Generation(fmt.Sprintf("g%d", 3+i%2)),
			Versions:   []string{modelVersion},
			Step:       10 * time.Millisecond,
			ReportLag:  100 * time.Millisecond,
		})
	}
	for i := range 2 {
		shape.Plain = append(shape.Plain, &standin.Plain{
			ID:       dotterelpulley.EndpointID(fmt.Sprintf("laotus-%d", i+1)),
			Service:  "laotus-app",
			Zone:     shape.Zones[i],
			CallTime: 10 * time.Millisecond,
		})
	}
	if change != nil {
		change(&shape)
	}
	placed, err := prover.NewSite(shape)
	c.Assert(err, qt.IsNil)
	s := site{C: c, Site: placed}
	c.Cleanup(s.end)
	s.RecordAction("%s with seed %d", t.Name(), *seed)
	return s
}

// running makes a site with a published configuration, whose entry hosts are ready and know of each other and of all endpoints.
func running(t *testing.T) site {
	return runningWith(t, nil)
}

// runningWith makes a running site of another shape.
func runningWith(t *testing.T, change func(*prover.SiteSettings)) site {
	s := place(t, change)
	s.publish(configuration)
	for _, e := range s.Entries {
		c := s.C
		c.Assert(e.Start(), qt.IsNil)
	}
	for _, e := range s.Entries {
		s.await(string(e.Host.ID)+" is ready and knows all hosts", func() bool {
			return e.Ready() && knows(e.Status(), len(s.Entries), len(s.Engines)+len(s.Plain))
		})
	}
	return s
}

// knows reports whether the host knows so many entry hosts and endpoints, each engine with its versions.
func knows(status prover.Status, entries, endpoints int) bool {
	loaded := 0
	for _, e := range status.Endpoints {
		if len(e.Versions) > 0 {
			loaded++
		}
	}
	return status.EntryHosts == entries && len(status.Endpoints) == endpoints && loaded > 0
}

// end closes the site, and reports what was done and logged when the test failed.
func (s site) end() {
	report := s.Report()
	s.Check(s.Close(), qt.IsNil)
	if s.Failed() {
		s.Logf("seed %d\n%s", *seed, report)
	}
}

func (s site) await(what string, holds func() bool) {
	s.Helper()
	s.Assert(prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: patience}, what, holds), qt.IsNil)
}

// publish publishes the file with dotterelctl.
func (s site) publish(file string) {
	s.Helper()
	s.RecordAction("publish %s", file)
	ran, err := s.Binaries.Run(s.Context(), "dotterelctl", "publish", "--log", string(s.Log.Address()), file)
	s.Assert(err, qt.IsNil)
	s.Assert(ran.ExitCode, qt.Equals, 0, qt.Commentf("%s", ran.Output))
}
