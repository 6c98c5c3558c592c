package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	defaultHosts       = 5
	defaultCallers     = 24
	defaultFaults      = 14
	defaultFaultWindow = 12 * time.Second
	// settleTime is how long requests are sent after the recovery.
	settleTime = 2 * time.Second
	// minSettleRequests is the minimum number of requests by which the recovery is checked.
	minSettleRequests = 100
	// startTimeout is the timeout for the first start of all hosts, which takes long under CPU load.
	startTimeout = time.Minute
)

// Settings configure one soak; zero values use the defaults.
type Settings struct {
	// Gateway is the path of the gateway binary, Directory the directory for settings and logs.
	Gateway   string
	Directory string
	// Production is the path of the binary that all hosts run at first, until they are upgraded to Gateway; empty for no upgrade.
	Production string
	Seed       uint64
	Hosts      int
	Callers    int
	// Faults is the number of faults, all of which begin within FaultWindow.
	Faults      int
	FaultWindow time.Duration
	// StoreCopies is how often the store returns from a copy, beside the other faults.
	StoreCopies int
	// StrayAnswers is how often an endpoint writes answers once more on kept connections, beside the other faults.
	StrayAnswers int
	// UnprovedRefusals is how often an endpoint answers runs with statuses that promise the contrary, beside the other faults.
	UnprovedRefusals int
	// SilentStreams is how often an endpoint falls silent in streams that can be resumed, beside the other faults.
	SilentStreams int
	// HeldBytes is how often the bytes to and from an endpoint are held up and delivered later, beside the other faults.
	HeldBytes int
	// RefusalCopies is how often the endpoints of a service write refusals once more when the same request comes again, beside the
	// other faults; callers then send refused requests again.
	RefusalCopies int
}

func (s Settings) withDefaults() (Settings, error) {
	if s.Hosts == 0 {
		s.Hosts = defaultHosts
	}
	if s.Callers == 0 {
		s.Callers = defaultCallers
	}
	if s.Faults == 0 {
		s.Faults = defaultFaults
	}
	if s.FaultWindow == 0 {
		s.FaultWindow = defaultFaultWindow
	}
	if s.Hosts < 1 || s.Hosts > maxHosts {
		return s, fmt.Errorf("%d hosts: between 1 and %d are possible", s.Hosts, maxHosts)
	}
	if s.StoreCopies < 0 || s.StrayAnswers < 0 || s.UnprovedRefusals < 0 || s.SilentStreams < 0 || s.HeldBytes < 0 || s.RefusalCopies < 0 {
		return s, fmt.Errorf("%d returns of the store from a copy, %d of stray answers, %d of unproved refusals, %d of silent streams, %d of held bytes, %d of copies of refusals: there can't be fewer than none",
			s.StoreCopies, s.StrayAnswers, s.UnprovedRefusals, s.SilentStreams, s.HeldBytes, s.RefusalCopies)
	}
	if s.Callers < 1 || s.Faults < 0 || s.FaultWindow < 0 {
		return s, fmt.Errorf("%d callers, %d strikes within %s: there must be a caller, and none may be negative", s.Callers, s.Faults, s.FaultWindow)
	}
	return s, nil
}

// Report is the result of one soak.
type Report struct {
	Seed   uint64
	Sent   int
	Served int
	// Resent is how many sends repeat a refused one, RefusalCopies how many refusals endpoints wrote once more.
	Resent        int
	RefusalCopies int
	Starts        int
	Faults        []string
	Findings      []Finding
	// Stalled is the total time in which the operating system did not schedule the soak.
	Stalled time.Duration
	// Logs are the paths of the hosts' logs, which are written only if there is a finding.
	Logs []string
}

// Run runs one soak; if it returns an error, the soak has no result.
func Run(ctx context.Context, settings Settings) (Report, error) {
	settings, err := settings.withDefaults()
	if err != nil {
		return Report{}, err
	}
	s, err := newSite(settings)
	if err != nil {
		return Report{}, fmt.Errorf("start the site: %w", err)
	}
	report := Report{Seed: settings.Seed}
	if err := s.awaitReady(ctx, startTimeout); err != nil {
		return report, errors.Join(err, s.close())
	}
	start := time.Now()
	callerCtx, stopCallers := context.WithCancel(ctx)
	var callers conc.WaitGroup
	callers.Go(func() { s.stalls.run(callerCtx, &s.ledger) })
	for i := range settings.Callers {
		c := &caller{
			site: s, name: fmt.Sprintf("s%d-c%d", settings.Seed, i), sticky: i%2 == 0,
			random: rand.New(rand.NewPCG(settings.Seed, uint64(i))),
		}
		callers.Go(func() { c.run(callerCtx) })
	}
	s.injectFaults(ctx, &report, start)
	recoveryErr := s.awaitReady(ctx, recoveryTimeout)
	recovered := time.Now()
	s.settle(ctx)
	stopCallers()
	callers.Wait()
	observations := s.ledger.finish(recovered)
	report.Findings = Evaluate(observations)
	report.Stalled = s.stalls.total()
	if recoveryErr != nil {
		report.Findings = append(report.Findings, Finding{Check: "recovery", Detail: recoveryErr.Error()})
	}
	report.Sent = len(observations.Sent)
	for _, sent := range observations.Sent {
		if sent.Completed && sent.Status == http.StatusOK {
			report.Served++
		}
		if sent.Resend > 0 {
			report.Resent++
		}
	}
	for _, a := range observations.Arrivals {
		if a.RefusedBefore {
			report.RefusalCopies++
		}
	}
	for _, h := range s.hosts {
		report.Starts += h.startCount()
	}
	s.keepLogs = len(report.Findings) > 0
	err = s.close()
	report.Logs = s.logPaths
	return report, err
}

// awaitReady waits until all hosts are ready; a wait in which the soak stalled is repeated.
func (s *site) awaitReady(ctx context.Context, timeout time.Duration) error {
	for _, h := range s.hosts {
		for {
			stalledBefore := s.stalls.total()
			options := prover.WaitOptions{Timeout: timeout}
			err := prover.WaitUntil(ctx, options, string(h.id)+" is ready", func() bool { return h.ready(ctx) })
			if err == nil {
				break
			}
			if s.stalls.total() == stalledBefore {
				return err
			}
		}
	}
	return nil
}

// settle lets the callers send until enough requests have finished, as responses may be slow under CPU load.
func (s *site) settle(ctx context.Context) {
	before := s.ledger.count()
	sleep(ctx, settleTime)
	for ctx.Err() == nil && s.ledger.count()-before < minSettleRequests {
		sleep(ctx, stallCheckInterval)
	}
}

// injectFaults injects the scheduled faults and waits until all are repaired, while configurations change.
func (s *site) injectFaults(ctx context.Context, report *Report, start time.Time) {
	changesCtx, stopChanges := context.WithCancel(ctx)
	var changes, injections conc.WaitGroup
	if s.Production != "" {
		injections.Go(func() { s.upgrade(ctx) })
	}
	changes.Go(func() { repeater.Every(changesCtx, configurationInterval, s.publishConfiguration) })
	planned := append(schedule(s.Seed, s.Faults, s.FaultWindow), scheduleFault(storeCopied, s.Seed, copyNumbers, s.StoreCopies, s.FaultWindow)...)
	planned = append(planned, scheduleFault(strayAnswers, s.Seed, strayNumbers, s.StrayAnswers, s.FaultWindow)...)
	planned = append(planned, scheduleFault(unprovedRefusals, s.Seed, unprovedNumbers, s.UnprovedRefusals, s.FaultWindow)...)
	planned = append(planned, scheduleFault(silentStreams, s.Seed, silentNumbers, s.SilentStreams, s.FaultWindow)...)
	planned = append(planned, scheduleFault(heldBytes, s.Seed, heldNumbers, s.HeldBytes, s.FaultWindow)...)
	planned = append(planned, scheduleFault(refusalCopies, s.Seed, refusalNumbers, s.RefusalCopies, s.FaultWindow)...)
	for _, planned := range planned {
		report.Faults = append(report.Faults, fmt.Sprintf("%s at %s for %s", planned.fault.name, planned.start.Round(time.Millisecond), planned.duration.Round(time.Millisecond)))
		injections.Go(func() {
			sleep(ctx, time.Until(start.Add(planned.start)))
			begin := time.Now()
			planned.fault.inject(ctx, s, rand.New(rand.NewPCG(planned.seed, 0)), planned.duration)
			if planned.fault.disturbsHosts {
				disturbance := Disturbance{Name: planned.fault.name, From: begin, To: time.Now()}
				s.ledger.record(func(o *Observations) { o.Disturbances = append(o.Disturbances, disturbance) })
			}
		})
	}
	injections.Wait()
	sleep(ctx, time.Until(start.Add(s.FaultWindow)))
	stopChanges()
	changes.Wait()
}

// writeLogs writes the output of the hosts' processes to files if keepLogs is set.
func (s *site) writeLogs(outputs map[string][]string) {
	if !s.keepLogs {
		return
	}
	for name, processes := range outputs {
		path := filepath.Join(s.Directory, fmt.Sprintf("seed-%d-%s.log", s.Seed, name))
		if err := os.WriteFile(path, []byte(strings.Join(processes, "--- started again\n")), 0o600); err != nil {
			s.addError(err)
			continue
		}
		s.logPaths = append(s.logPaths, path)
	}
}
