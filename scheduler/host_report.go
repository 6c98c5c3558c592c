package scheduler

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// hostReportTTL is the age from which another host's report no longer counts.
const hostReportTTL = 2 * time.Second

// HostReport is what a host reports of itself to the other hosts.
type HostReport struct {
	Loads   []Load
	Waiting []WaitingCount
	// DeadEndpoints are the keys of endpoints that refuse the host's connections, as after a crash.
	DeadEndpoints []uint32
	// Paces is what the host has measured of some endpoints.
	Paces []Pace
}

// Load is the work of a host on one endpoint.
type Load struct {
	Key     uint32
	Running int
	// Prompt is the number of prompt tokens of runs without a first event.
	Prompt dotterelpulley.Tokens
}

// SetHostReport replaces the report of another host.
func (s *Scheduler) SetHostReport(now time.Time, host dotterelpulley.HostID, r HostReport) {
	s.init()
	s.addReport(s.hostReports[host].HostReport, -1)
	s.hostReports[host] = receivedReport{HostReport: r, receivedAt: now}
	s.addReport(r, 1)
	for id, h := range s.hostReports {
		if now.Sub(h.receivedAt) > hostReportTTL {
			s.addReport(h.HostReport, -1)
			delete(s.hostReports, id)
		}
	}
	for _, p := range r.Paces {
		if !s.uses(ToldPaces) {
			break
		}
		if e, ok := s.endpointsByKey[p.Key]; ok {
			e.observePeerPace(p)
		}
	}
	for _, key := range r.DeadEndpoints {
		if e, ok := s.endpointsByKey[key]; ok && now.Sub(e.lastActivity) > reportedDeadPause {
			e.block(now.Add(reportedDeadPause))
		}
	}
}

// addReport adds a host report to the sums, or subtracts it if the sign is negative.
func (s *Scheduler) addReport(report HostReport, sign int) {
	for _, l := range report.Loads {
		sum := s.peerLoads[l.Key]
		sum.Running += sign * l.Running
		sum.Prompt += dotterelpulley.Tokens(sign) * l.Prompt
		s.peerLoads[l.Key] = sum
		if sum == (Load{}) {
			delete(s.peerLoads, l.Key)
		}
		if e, ok := s.endpointsByKey[l.Key]; ok {
			e.peerLoad = sum
		}
	}
	for _, w := range report.Waiting {
		key := waitingKey{w.Urgency, w.Service}
		s.peerWaiting[key] += sign * w.Count
		if s.peerWaiting[key] == 0 {
			delete(s.peerWaiting, key)
		}
	}
}

// HostReport returns this host's report to the other hosts.
func (s *Scheduler) HostReport(now time.Time) HostReport {
	clear(s.changed)
	return HostReport{Loads: s.Loads(), Waiting: s.waitingCounts(now), DeadEndpoints: s.deadEndpoints(now), Paces: s.nextPaces(now)}
}

// deadEndpoints returns the endpoints that refused this host's connections and are still blocked for that.
func (s *Scheduler) deadEndpoints(now time.Time) []uint32 {
	var keys []uint32
	for _, id := range s.Services() {
		for _, e := range s.services[id].sorted {
			if now.Before(e.deadUntil) {
				keys = append(keys, e.key)
			}
		}
	}
	return keys
}

// Loads returns this host's own runs on each endpoint.
func (s *Scheduler) Loads() []Load {
	var loads []Load
	for _, id := range s.Services() {
		for _, e := range s.services[id].sorted {
			if e.running > 0 {
				loads = append(loads, Load{Key: e.key, Running: e.running, Prompt: e.pendingPrompt})
			}
		}
	}
	return loads
}

// receivedReport is the last report of another host.
type receivedReport struct {
	HostReport
	receivedAt time.Time
}

func (s *Scheduler) loadAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, h := range s.hostReports {
		oldest = max(oldest, now.Sub(h.receivedAt))
	}
	return oldest
}
