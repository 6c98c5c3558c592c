package promoter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/promoter"
)

// Each process that started during a roll-out got its part of the exposure's slack anew.
func TestRestartsStayWithinTheExposureLimit(t *testing.T) {
	const share, slack, perSecond, step = 0.1, 50, 30, 10 * time.Millisecond
	for _, hosts := range []int{1, 9, 59} {
		for _, interval := range []time.Duration{0, 500 * time.Millisecond, time.Second, 5 * time.Second} {
			t.Run(fmt.Sprintf("%d hosts, restarted every %s", hosts, interval), func(t *testing.T) {
				c := qt.New(t)
				random := rand.New(rand.NewPCG(1, uint64(hosts)))
				order := newOrder(1)
				promoters := make([]*promoter.Promoter, hosts)
				start := func(host int) *promoter.Promoter {
					promoters[host] = &promoter.Promoter{Settings: promoter.Settings{Share: share, Slack: slack, Hosts: hosts}}
					return promoters[host]
				}
				for host := range hosts {
					start(host).ReceiveOrder(epoch, order, 0)
				}
				exposed, sent := 0, 0
				for since := time.Duration(0); since < order.Duration; since += step {
					now := epoch.Add(since)
					stage := promoter.Canary
					if since > order.Duration*3/4 {
						stage = promoter.Full
					}
					fact := promoter.Fact{Order: order, Stage: stage, Remaining: order.Duration - since}
					for host, p := range promoters {
						if interval > 0 && since > 0 && since%interval == 0 {
							p = start(host)
						}
						p.Learn(now, fact)
					}
					if random.Float64() < perSecond*step.Seconds() {
						p := promoters[random.IntN(hosts)]
						if p.ForTarget(now, service, "a") {
							exposed++
						}
						p.Sent(service, "a")
						sent++
					}
				}
				allowed := share*float64(sent) + slack
				c.Logf("%d of %d, %.0f allowed", exposed, sent, allowed)
				c.Check(float64(exposed) <= allowed, qt.IsTrue, qt.Commentf("%d requests of %d for the target, %.0f allowed", exposed, sent, allowed))
			})
		}
	}
}
