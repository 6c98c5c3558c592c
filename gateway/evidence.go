package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/promoter"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	evidenceProcedure = "/dotterel.promoter.v1.Promoter/Evidence"
	// evidenceTimeout is how long a host has to answer with its evidence.
	evidenceTimeout = 300 * time.Millisecond
	// evidenceCalls limits the hosts that are asked at the same time.
	evidenceCalls = 32
	// maxEvidenceBytes limits a host's answer, many times the evidence on the routes of a large configuration.
	maxEvidenceBytes = 4 << 20
)

// evidenceQuery asks a host for its evidence on running roll-outs.
type evidenceQuery struct{}

// evidenceReport is a host's evidence on running roll-outs.
type evidenceReport struct {
	evidence []*assessor.Evidence
}

func (g *Gateway) evidenceHandler() http.Handler {
	return connect.NewUnaryHandler(evidenceProcedure,
		func(context.Context, *connect.Request[evidenceQuery]) (*connect.Response[evidenceReport], error) {
			return connect.NewResponse(&evidenceReport{evidence: g.ownEvidence(time.Now())}), nil
		}, connect.WithCodec(relayCodec{}), connect.WithReadMaxBytes(maxRelayQueryBytes))
}

// countSamples adds what the scheduler has seen of runs since the last time to the evidence.
func (g *Gateway) countSamples(now time.Time) {
	var samples []scheduler.Sample
	g.queue.access(func(now time.Time, s *scheduler.Scheduler) { samples = s.TakeSamples(now) })
	g.promotions.mutex.Lock()
	defer g.promotions.mutex.Unlock()
	for _, s := range samples {
		g.promotions.promoter.Observe(now, promoter.Sample{Service: s.Service, Version: s.Version, PlacedAt: s.PlacedAt, Sample: assessor.Sample{
			Cell: assessor.Cell{Route: s.Route}, Endpoint: s.Endpoint, Failed: s.Failed, Unfinished: !s.Ended,
			FirstToken: s.FirstEvent, BetweenTokens: s.EventInterval,
		}})
	}
}

// ownEvidence returns this host's evidence on unfinished roll-outs.
func (g *Gateway) ownEvidence(now time.Time) []*assessor.Evidence {
	g.countSamples(now)
	g.promotions.mutex.Lock()
	defer g.promotions.mutex.Unlock()
	return g.promotions.promoter.Evidence(now)
}

// gatherEvidence returns the evidence of this host and of all that answer in time.
func (g *Gateway) gatherEvidence(client *http.Client) [][]*assessor.Evidence {
	members := g.peers.liveHosts(time.Now())
	reports := make([][]*assessor.Evidence, len(members), len(members)+1)
	var wait sync.WaitGroup
	slots := make(chan struct{}, evidenceCalls)
	for i, m := range members {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			evidence, err := g.fetchEvidence(client, m)
			if err != nil {
				g.metrics.Inc("rollout-evidence-missing")
				return
			}
			reports[i] = evidence
		}()
	}
	wait.Wait()
	return append(reports, g.ownEvidence(time.Now()))
}

func (g *Gateway) fetchEvidence(client *http.Client, m announcer.Member) ([]*assessor.Evidence, error) {
	ctx, cancel := context.WithTimeout(g.ctx, evidenceTimeout)
	defer cancel()
	call := connect.NewClient[evidenceQuery, evidenceReport](client, "http://"+string(m.PeerAddress)+evidenceProcedure, connect.WithCodec(relayCodec{}), connect.WithReadMaxBytes(maxEvidenceBytes))
	response, err := call.CallUnary(ctx, connect.NewRequest(&evidenceQuery{}))
	if err != nil {
		return nil, err
	}
	return response.Msg.evidence, nil
}
