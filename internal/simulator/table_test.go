package simulator_test

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/internal/simulator"
)

const (
	caseCount      = 210
	shortCaseCount = 70
)

func runAll(cases []simulator.Case, naive bool) []simulator.Result {
	results := make([]simulator.Result, len(cases))
	var group sync.WaitGroup
	slots := make(chan struct{}, min(4, runtime.NumCPU()))
	for i, c := range cases {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			results[i] = simulator.Run(c, naive)
			<-slots
		}()
	}
	group.Wait()
	return results
}

func TestMovesAgainstANaiveMover(t *testing.T) {
	count := caseCount
	if testing.Short() {
		count = shortCaseCount
	}
	cases := simulator.Cases(count)
	actual, naive := runAll(cases, false), runAll(cases, true)
	t.Logf("\n%s", table(actual, naive))
	c := qt.New(t)
	good, done, falseRollbacks := 0, 0, 0
	for _, r := range actual {
		comment := qt.Commentf("%s: %s", r.Case, r.Reason)
		c.Check(r.Done || r.Undone, qt.IsTrue, comment)
		c.Check(r.Converged, qt.IsTrue, comment)
		c.Check(r.StaleOrders, qt.Equals, 0, comment)
		c.Check(float64(r.CanaryNewVersionRequests) <= 0.05*float64(r.CanaryRequests)+1, qt.IsTrue, comment)
		if r.Case.Fault.Bad() {
			c.Check(r.Undone, qt.IsTrue, comment)
			continue
		}
		good++
		if r.Done {
			done++
			continue
		}
		t.Logf("not done: %s: %s", r.Case, r.Reason)
		if strings.Contains(r.Reason, "bad") {
			falseRollbacks++
		}
	}
	c.Check(100*done >= 99*good, qt.IsTrue, qt.Commentf("%d of %d good versions done", done, good))
	c.Check(100*falseRollbacks < good, qt.IsTrue, qt.Commentf("%d of %d good versions rolled back as bad", falseRollbacks, good))
}

func table(actual, naive []simulator.Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| version | mover | cases | done | undone | neither | share of the new version | harmed | to stop, median | to stop, longest |\n")
	fmt.Fprintf(&b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for fault := simulator.Good; fault <= simulator.SlowLater; fault++ {
		writeRow(&b, fault, "real", actual)
		writeRow(&b, fault, "naive", naive)
	}
	return b.String()
}

func writeRow(b *strings.Builder, fault simulator.Fault, name string, results []simulator.Result) {
	var cases, done, undone, requests, onNewVersion, harmed int
	var stopTimes []time.Duration
	for _, r := range results {
		if r.Case.Fault != fault {
			continue
		}
		cases++
		requests += r.Requests
		onNewVersion += r.NewVersionRequests
		harmed += r.Harmed
		stopTimes = append(stopTimes, r.TimeToStop)
		switch {
		case r.Done:
			done++
		case r.Undone:
			undone++
		}
	}
	slices.Sort(stopTimes)
	median, longest := time.Duration(0), time.Duration(0)
	if cases > 0 {
		median, longest = stopTimes[cases/2], stopTimes[cases-1]
	}
	fmt.Fprintf(b, "| %s | %s | %d | %d | %d | %d | %.1f%% | %.2f%% | %s | %s |\n", fault, name, cases, done, undone, cases-done-undone,
		100*float64(onNewVersion)/float64(max(1, requests)), 100*float64(harmed)/float64(max(1, requests)), median, longest)
}
