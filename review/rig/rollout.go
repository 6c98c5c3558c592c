package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	orderDuration = 20
	recoveryTime  = 12 * time.Second
	// comeBackTime is how long after its end each process runs again, with some to spare.
	comeBackTime = 2 * time.Second
	judgedTime   = 10 * time.Second
	// takenAwayAfter is the time after a rolled_back at which the new servers drain, lingersFor how long they then serve.
	takenAwayAfter = 3 * time.Second
	lingersFor     = drainLimit + time.Second
)

func init() { cases["rollout"] = playRollout }

// playRollout lets a roll-out complete, and later lets the store return from a copy in which it is in progress, while the
// machines restart.
func playRollout(st *site, trouble bool) (bool, string, error) {
	app := serverSpec{service: "wuno96b", version: "v1", slots: 6, queue: 24, workTime: 20 * time.Millisecond}
	start := func(version string) ([]*server, error) {
		var servers []*server
		for i := range 3 {
			spec := app
			spec.version, spec.zone = version, zones[i%len(zones)]
			s, err := st.startServer(spec, fmt.Sprintf("i-%08x", rand.Uint32()), "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			servers = append(servers, s)
		}
		return servers, nil
	}
	old, err := start("v1")
	if err != nil {
		return false, "", err
	}
	routes := []route{{
		Name: "r-cufi504", Host: hostName, PathPrefix: "/cufi504/", Kind: "idempotent", TimeoutMS: 1500, TargetMS: 300, Priority: 2,
		Service: "wuno96b", MaxAttempts: 2,
	}}
	services := []service{{Name: "wuno96b", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}}
	tenants := []tenant{{Name: "hule930", APIKeys: []string{remainingKey}, Priority: 1, Unit: "tokens", PlainTokens: 200, RatePerS: 150048, Burst: 150048}}
	config := configuration(7, routes, services, tenants)
	st.store.put(topicOperator, "config", config)
	if err := st.startGateways(6); err != nil {
		return false, "", err
	}
	if err := st.awaitReady(15 * time.Second); err != nil {
		return false, "", err
	}
	stopTraffic := st.startTraffic(120, func(int) call {
		return call{method: "GET", path: lookupPath, key: remainingKey, limit: 3 * time.Second}
	})
	time.Sleep(6 * time.Second)
	fresh, err := start("v2")
	if err != nil {
		return false, "", err
	}
	order, _ := json.Marshal(map[string]any{"service": "wuno96b", "target": "v2", "duration_s": orderDuration})
	st.store.put(topicOperator, "rollout/wuno96b", order)
	st.note("the operator orders the roll-out of v2")
	state := func() string {
		var status struct{ State, Target string }
		json.Unmarshal(st.store.newestValue("keyed.status", "rollout/wuno96b"), &status)
		return status.State
	}
	copied := st.store.backup()
	for end := time.Now().Add((orderDuration + 3) * time.Second); state() != "completed"; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) || state() == "rolled_back" {
			return false, "", fmt.Errorf("the roll-out ended as %q", state())
		}
		// A copy from just before the completion.
		copied = st.store.backup()
	}
	st.note("the store has acknowledged that the roll-out is completed; the old servers stop")
	for _, s := range old {
		s.crash()
	}
	go func() {
		for state() != "rolled_back" {
			select {
			case <-st.ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
		st.note("the store holds that the roll-out is rolled back")
		time.Sleep(takenAwayAfter)
		st.note("the platform drains the new servers")
		for _, s := range fresh {
			s.drain(lingersFor)
		}
	}()
	time.Sleep(5 * time.Second)
	if trouble {
		st.note("the store is away, and all machines lose their processes")
		st.store.setAway(true)
		for _, g := range st.gates {
			g.kill()
		}
	}
	back := time.Now().Add(comeBackTime)
	if trouble {
		time.Sleep(awayTime)
		st.store.restore(copied)
		st.note("the store returns from the copy, in its next era; the copy holds the configuration and the order")
		// The entries of the old servers in the copy lapse, as these servers are silent.
		time.AfterFunc(removedAfter, func() {
			for _, s := range old {
				st.store.remove(topicServers, s.id)
			}
		})
	}
	time.Sleep(time.Until(back) + recoveryTime + judgedTime)
	from := back.Add(recoveryTime)
	stopTraffic()
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, a := range st.ledger.all() {
		ok := a.err == nil && a.status == 200
		switch {
		case a.sentAt.Before(back.Add(-8 * time.Second)):
			before++
			if ok {
				servedBefore++
			}
		case a.sentAt.After(from):
			after++
			if ok {
				servedAfter++
			}
		}
	}
	st.note("the store holds that the roll-out is %q", state())
	if servedBefore*4 < before || after == 0 {
		return false, "", fmt.Errorf("served %d of %d before and %d of %d after", servedBefore, before, servedAfter, after)
	}
	why := fmt.Sprintf("of %d requests sent later than %s after the machines were back, %d were served (before: %d of %d); the store holds %q", after, recoveryTime, servedAfter, servedBefore, before, state())
	return servedAfter*4 < after, why, nil
}
