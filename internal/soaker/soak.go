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
	defaultHosts   = 5
	defaultCallers = 24
	defaultStrikes = 14
	defaultSpan    = 12 * time.Second
	// settled is for how long requests are sent once the system has recovered.
	settled = 2 * time.Second
	// enough is how many requests the recovery is judged by at least.
	enough = 100
	// startLimit is how long the first start of all hosts may take on a busy machine.
	startLimit = time.Minute
)

// Settings are one soak's; zero values take the defaults.
type Settings struct {
	// Gateway is the path of the program under test, Directory where settings and logs go.
	Gateway   string
	Directory string
	Seed      uint64
	Hosts     int
	Callers   int
	// Strikes is the number of faults, all of which begin within Span.
	Strikes int
	Span    time.Duration
}

func (s Settings) withDefaults() (Settings, error) {
	if s.Hosts == 0 {
		s.Hosts = defaultHosts
	}
	if s.Callers == 0 {
		s.Callers = defaultCallers
	}
	if s.Strikes == 0 {
		s.Strikes = defaultStrikes
	}
	if s.Span == 0 {
		s.Span = defaultSpan
	}
	if s.Hosts < 1 || s.Hosts > mostHosts {
		return s, fmt.Errorf("%d hosts: between 1 and %d are possible", s.Hosts, mostHosts)
	}
	if s.Callers < 1 || s.Strikes < 0 || s.Span < 0 {
		return s, fmt.Errorf("%d callers, %d strikes within %s: there must be a caller, and none may be negative", s.Callers, s.Strikes, s.Span)
	}
	return s, nil
}

// Report is what one soak showed.
type Report struct {
	Seed     uint64
	Sent     int
	Served   int
	Starts   int
	Strikes  []string
	Findings []Finding
	// HeldUp is for how long the machine didn't let the soak run.
	HeldUp time.Duration
	// Logs are the files that hold what the hosts wrote, kept where there is a finding.
	Logs []string
}

// Run plays one soak; an error means that it has no verdict.
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
	if err := s.await(ctx, startLimit); err != nil {
		return report, errors.Join(err, s.close())
	}
	begun := time.Now()
	calling, hangUp := context.WithCancel(ctx)
	var callers conc.WaitGroup
	callers.Go(func() { s.watch.run(calling, &s.ledger) })
	for i := range settings.Callers {
		c := &caller{
			site: s, name: fmt.Sprintf("s%d-c%d", settings.Seed, i), faithful: i%2 == 0,
			random: rand.New(rand.NewPCG(settings.Seed, uint64(i))),
		}
		callers.Go(func() { c.run(calling) })
	}
	s.strike(ctx, &report, begun)
	late := s.await(ctx, recoveryLimit)
	recovered := time.Now()
	s.settle(ctx)
	hangUp()
	callers.Wait()
	seen := s.ledger.observed(recovered)
	report.Findings = Judge(seen)
	report.HeldUp = s.watch.total()
	if late != nil {
		report.Findings = append(report.Findings, Finding{Check: "recovery", What: late.Error()})
	}
	report.Sent = len(seen.Sent)
	for _, one := range seen.Sent {
		if one.Whole && one.Status == http.StatusOK {
			report.Served++
		}
	}
	for _, h := range s.hosts {
		report.Starts += h.number()
	}
	s.keep = len(report.Findings) > 0
	err = s.close()
	report.Logs = s.kept
	return report, err
}

// await waits until all hosts serve; the time in which the machine was held up doesn't count.
func (s *site) await(ctx context.Context, limit time.Duration) error {
	for _, h := range s.hosts {
		for {
			held := s.watch.total()
			p := prover.Patience{Limit: limit}
			err := prover.Until(ctx, p, string(h.id)+" is ready", func() bool { return h.ready(ctx) })
			if err == nil {
				break
			}
			if s.watch.total() == held {
				return err
			}
		}
	}
	return nil
}

// settle sends on for a while, until enough requests have ended to judge by; the machine may be slow.
func (s *site) settle(ctx context.Context) {
	before := s.ledger.count()
	wait(ctx, settled)
	for ctx.Err() == nil && s.ledger.count()-before < enough {
		wait(ctx, watchEvery)
	}
}

// strike plays the series of faults and waits until all are healed, while configurations change.
func (s *site) strike(ctx context.Context, report *Report, begun time.Time) {
	changing, stop := context.WithCancel(ctx)
	var changes, strikes conc.WaitGroup
	changes.Go(func() { repeater.Every(changing, configureEvery, s.configure) })
	for _, one := range seeded(s.Seed, s.Strikes, s.Span) {
		report.Strikes = append(report.Strikes, fmt.Sprintf("%s at %s for %s", one.fault.name, one.at.Round(time.Millisecond), one.span.Round(time.Millisecond)))
		strikes.Go(func() {
			wait(ctx, time.Until(begun.Add(one.at)))
			from := time.Now()
			one.fault.run(ctx, s, rand.New(rand.NewPCG(one.seed, 0)), one.span)
			if one.fault.onHosts {
				t := Trouble{Name: one.fault.name, From: from, To: time.Now()}
				s.ledger.note(func(o *Observed) { o.Troubles = append(o.Troubles, t) })
			}
		})
	}
	strikes.Wait()
	wait(ctx, time.Until(begun.Add(s.Span)))
	stop()
	changes.Wait()
}

// logs writes what the hosts wrote to files if it is to be kept.
func (s *site) logs(all map[string][]string) {
	if !s.keep {
		return
	}
	for name, processes := range all {
		path := filepath.Join(s.Directory, fmt.Sprintf("seed-%d-%s.log", s.Seed, name))
		if err := os.WriteFile(path, []byte(strings.Join(processes, "--- started again\n")), 0o600); err != nil {
			s.healed(err)
			continue
		}
		s.kept = append(s.kept, path)
	}
}
