package soaker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley/internal/prover"
)

const (
	// upgradeKill is the name of a replacement after a kill; one after a planned stop has that of the stop.
	upgradeKill = "upgrade-kill"
	// upgradeKillRate is the fraction of replaced hosts that are killed instead of stopped.
	upgradeKillRate = 0.25
)

// upgrade replaces the production program of one host after another: on half of them, back again as if it was taken back, and
// then on all.
func (s *site) upgrade(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, upgradeNumbers))
	half := s.hosts[:(len(s.hosts)+1)/2]
	for _, step := range []struct {
		hosts   []*host
		program string
	}{{half, s.Gateway}, {half, s.Production}, {s.hosts, s.Gateway}} {
		for _, h := range step.hosts {
			if ctx.Err() != nil {
				return
			}
			s.replaceProgram(ctx, h, step.program, r)
		}
	}
}

// replaceProgram makes the host run the program, and waits until it is ready as an operator would.
func (s *site) replaceProgram(ctx context.Context, h *host, program string, r *rand.Rand) {
	begin, name := time.Now(), stopFault
	h.setProgram(program)
	if r.Float64() < upgradeKillRate {
		name = upgradeKill
		h.kill()
	} else {
		h.stop(ctx)
	}
	s.restart(h)
	disturbance := Disturbance{Name: name, From: begin, To: time.Now()}
	s.ledger.record(func(o *Observations) { o.Disturbances = append(o.Disturbances, disturbance) })
	// Another fault may keep the host from becoming ready; the upgrade goes on.
	_ = prover.WaitUntil(ctx, prover.WaitOptions{Timeout: recoveryTimeout}, string(h.id)+" is ready", func() bool { return h.ready(ctx) })
}

// setProgram sets the program of the host's next process.
func (h *host) setProgram(path string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.program.Path = path
}
