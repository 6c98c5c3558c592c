package main

import (
	"fmt"
	"time"
)

const (
	copyAge      = 500 * time.Millisecond
	rewriteDelay = 1500 * time.Millisecond
	drillDelay   = 6 * time.Second
	withdrawnKey = "i9n73hh2b9wu3fexd9dn"
)

func init() { cases["drill"] = playDrill }

// playDrill takes a key away, and later lets the store return from a copy from before that, while the machines restart.
func playDrill(st *site, trouble bool) (bool, string, error) {
	app := serverSpec{service: "wuno96b", version: "v1", slots: 6, queue: 24, workTime: 20 * time.Millisecond}
	if err := st.startApp(app, 3); err != nil {
		return false, "", err
	}
	routes := []route{{
		Name: "r-cufi504", Host: hostName, PathPrefix: "/cufi504/", Kind: "idempotent", TimeoutMS: 1500, TargetMS: 300, Priority: 2,
		Service: "wuno96b", MaxAttempts: 2,
	}}
	services := []service{{Name: "wuno96b", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}}
	withKeys := func(keys ...string) []tenant {
		return []tenant{{Name: "hule930", APIKeys: keys, Priority: 1, Unit: "tokens", PlainTokens: 200, RatePerS: 150048, Burst: 150048}}
	}
	st.store.put(topicOperator, "config", configuration(7, routes, services, withKeys(withdrawnKey, remainingKey)))
	if err := st.startGateways(6); err != nil {
		return false, "", err
	}
	if err := st.awaitReady(15 * time.Second); err != nil {
		return false, "", err
	}
	stopTraffic := st.startTraffic(20, func(int) call {
		return call{method: "GET", path: lookupPath, key: remainingKey, limit: 3 * time.Second}
	})
	time.Sleep(4 * time.Second)

	copied := st.store.backup()
	st.note("the store takes a copy")
	time.Sleep(copyAge)
	withoutKey := configuration(9, routes, services, withKeys(remainingKey))
	confirmedAt := st.store.put(topicOperator, "config", withoutKey)
	st.note("the store confirms version 9, which takes the key away")
	time.Sleep(drillDelay)

	if trouble {
		st.note("the store is away, and all machines lose their processes")
		st.store.setAway(true)
		for _, g := range st.gates {
			g.kill()
		}
	}
	// A requester goes on with the key that was taken away.
	stopProbes := make(chan struct{})
	probesDone := make(chan struct{})
	go func() {
		defer close(probesDone)
		for n := 0; ; n++ {
			select {
			case <-stopProbes:
				return
			case <-time.After(50 * time.Millisecond):
			}
			g := st.gates[n%len(st.gates)]
			st.send(g, call{label: "key taken away", method: "GET", path: lookupPath, key: withdrawnKey, limit: time.Second})
		}
	}()
	if trouble {
		time.Sleep(awayTime)
		st.store.restore(copied)
		st.note("the store returns from the copy, in its next era")
		time.Sleep(rewriteDelay)
		st.store.put(topicOperator, "config", withoutKey)
		st.note("the operator has written version 9 again")
	}
	time.Sleep(6 * time.Second)
	close(stopProbes)
	<-probesDone
	sent, served := stopTraffic()

	late, probes := 0, 0
	for _, a := range st.ledger.all() {
		if a.label == "" {
			continue
		}
		probes++
		if len(a.runs) > 0 && a.sentAt.Sub(confirmedAt) > revokeLimit {
			late++
		}
	}
	why := fmt.Sprintf("%d of %d requests with the key, sent more than %s after the confirmation of the version without it, have run; %d of %d ordinary requests were served", late, probes, revokeLimit, served, sent)
	if served == 0 || probes == 0 {
		return false, "", fmt.Errorf("nothing was served")
	}
	return late > 0, why, nil
}
