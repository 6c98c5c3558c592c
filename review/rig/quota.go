package main

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the usage cap, as the site file and the example of a configuration set them.
const (
	quotaWindow   = 8 * time.Second
	quotaOverrun  = 0.1
	quotaSlack    = 140_000
	capRate       = 150_048
	capBurst      = 150_048
	loweredFactor = 10
	requestTokens = 6_000
	cycles        = 6
	loweredFor    = 500 * time.Millisecond
	restoredFor   = 900 * time.Millisecond
)

func init() { cases["quota"] = playQuota }

// playQuota lets the operator lower a tenant's cap and restore it a few times while the tenant asks for more than the cap.
func playQuota(st *site, trouble bool) (bool, string, error) {
	app := serverSpec{service: "wuno96b", version: "v1", slots: 6, queue: 24, workTime: 20 * time.Millisecond}
	if err := st.startApp(app, 3); err != nil {
		return false, "", err
	}
	routes := []route{{
		Name: "r-cufi504", Host: hostName, PathPrefix: "/cufi504/", Kind: "idempotent", TimeoutMS: 1500, TargetMS: 300, Priority: 2,
		Service: "wuno96b", MaxAttempts: 2,
	}}
	services := []service{{Name: "wuno96b", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}}
	version := 7
	publish := func(factor int) {
		tenants := []tenant{{Name: "hule930", APIKeys: []string{remainingKey}, Priority: 1, Unit: "tokens", PlainTokens: 200, RatePerS: capRate / factor, Burst: capBurst / factor}}
		st.store.put(topicOperator, "config", configuration(version, routes, services, tenants))
		st.note("the store confirms version %d: %d tokens a second, burst %d", version, capRate/factor, capBurst/factor)
		version += 2
	}
	publish(1)
	if err := st.startGateways(6); err != nil {
		return false, "", err
	}
	if err := st.awaitReady(15 * time.Second); err != nil {
		return false, "", err
	}
	time.Sleep(10 * time.Second)
	stopTraffic := st.startTraffic(100, func(int) call {
		return call{
			method: "GET", path: lookupPath, key: remainingKey, limit: 3 * time.Second,
			header: map[string]string{"Dotterelpulley-Token-Counts": fmt.Sprintf("%d,%d", requestTokens-500, 500)},
		}
	})
	time.Sleep(10 * time.Second)
	for range cycles {
		if trouble {
			publish(loweredFactor)
		}
		time.Sleep(loweredFor)
		if trouble {
			publish(1)
		}
		time.Sleep(restoredFor)
	}
	time.Sleep(8 * time.Second)
	sent, served := stopTraffic()

	var times []time.Time
	for _, a := range st.ledger.all() {
		if len(a.runs) > 0 {
			times = append(times, a.sentAt)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
	most, from := 0, 0
	var mostAt time.Time
	for to := range times {
		for times[to].Sub(times[from]) > quotaWindow {
			from++
		}
		if n := to - from + 1; n > most {
			most, mostAt = n, times[from]
		}
	}
	limit := float64(capRate*8+capBurst)*(1+quotaOverrun) + quotaSlack
	used := most * requestTokens
	why := fmt.Sprintf("in %s from %s s on, %d tokens ran; with the highest cap all the while %.0f are allowed; %d of %d requests were served", quotaWindow, st.at(mostAt), used, limit, served, sent)
	return float64(used) > limit, why, nil
}
