package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	outageTime  = 4500 * time.Millisecond
	lingerTime  = 4 * time.Second
	downSpread  = 120 * time.Millisecond
	namedReader = "front-parnu-c-1"
)

func init() { cases["stale"] = playStale }

// playStale lets a server leave just before the store goes down for all machines: one of the two machines that read the list of
// servers has read of it, the other hasn't.
func playStale(st *site, trouble bool) (bool, string, error) {
	app := serverSpec{service: "wuno96b", version: "v1", slots: 6, queue: 24, workTime: 60 * time.Millisecond}
	var servers []*server
	for i := range 3 {
		app.zone = zones[i%len(zones)]
		s, err := st.startServer(app, fmt.Sprintf("i-%08x", rand.Uint32()), "127.0.0.1:0")
		if err != nil {
			return false, "", err
		}
		servers = append(servers, s)
	}
	leaving := servers[2]
	routes := []route{{
		Name: "r-puxa403", Host: hostName, PathPrefix: "/puxa403/", Kind: "non_idempotent", TimeoutMS: 1500, TargetMS: 300, Priority: 2,
		Service: "wuno96b", MaxAttempts: 1,
	}}
	services := []service{{Name: "wuno96b", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}}
	tenants := []tenant{{Name: "hule930", APIKeys: []string{remainingKey}, Priority: 1, Unit: "tokens", PlainTokens: 200, RatePerS: 150048, Burst: 150048}}
	st.store.put(topicOperator, "config", configuration(7, routes, services, tenants))

	// The store notes which machine reads the list of servers, when, and which of them reads of the leaving server.
	var mutex sync.Mutex
	polls := map[int]time.Time{}
	acknowledged := map[int]time.Time{}
	st.store.mutex.Lock()
	st.store.onRead = func(machine int, topic string, records []record) {
		if topic != topicServers {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		polls[machine] = time.Now()
		for _, r := range records {
			var entry struct{ State string }
			if r.key != leaving.id || len(r.value) > 0 && (json.Unmarshal(r.value, &entry) != nil || entry.State != "draining") {
				continue
			}
			if _, known := acknowledged[machine]; !known {
				acknowledged[machine] = time.Now()
				st.note("machine %s reads that server %s leaves", st.gates[machine].name, leaving.id)
			}
		}
	}
	st.store.mutex.Unlock()
	if err := st.startGateways(6); err != nil {
		return false, "", err
	}
	if err := st.awaitReady(15 * time.Second); err != nil {
		return false, "", err
	}
	// The machines started within 0.3 s, and read the list at different moments.
	stopTraffic := st.startTraffic(120, func(n int) call {
		return call{method: "POST", path: bookingPath, key: remainingKey, limit: 3 * time.Second, body: fmt.Appendf(nil, "booking %d", n)}
	})
	first := 0
	for i, g := range st.gates {
		if g.name == namedReader {
			first = i
		}
	}
	lastPoll := func(others bool) time.Time {
		mutex.Lock()
		defer mutex.Unlock()
		newest := time.Time{}
		for machine, at := range polls {
			if (machine != first) == others && at.After(newest) {
				newest = at
			}
		}
		return newest
	}
	time.Sleep(4 * time.Second)
	// The other reader has just read the list, and this one reads it next.
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false, "", fmt.Errorf("the machines read the list of servers at the same moment")
		}
		mine, other := lastPoll(false), lastPoll(true)
		if time.Since(other) < 20*time.Millisecond && other.Sub(mine) > 50*time.Millisecond && other.Sub(mine) < 750*time.Millisecond {
			st.note("the other machine has read %d ms after %s", other.Sub(mine).Milliseconds(), namedReader)
			break
		}
	}
	leaving.drain(lingerTime)
	confirmedAt := time.Now()
	st.note("the store confirms that server %s is draining", leaving.id)
	ackAt := time.Time{}
	for time.Since(confirmedAt) < 2*time.Second {
		mutex.Lock()
		ackAt = acknowledged[first]
		n := len(acknowledged)
		mutex.Unlock()
		if n > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	if trouble {
		// The machines lose it one after the other.
		for i := range st.gates {
			st.store.setShut((first+i)%len(st.gates), true)
			time.Sleep(downSpread / time.Duration(len(st.gates)))
		}
		st.store.setAway(true)
		st.note("the store is down for all machines")
	}
	time.Sleep(outageTime - downSpread)
	for i := range st.gates {
		st.store.setShut(i, false)
	}
	st.store.setAway(false)
	st.note("the store is back")
	time.Sleep(3 * time.Second)
	sent, served := stopTraffic()

	late := map[string]int{}
	total, lost := 0, 0
	for _, a := range st.ledger.all() {
		mutex.Lock()
		at, ok := acknowledged[indexOf(st.gates, a.machine)]
		mutex.Unlock()
		if !ok || a.sentAt.Sub(at) <= drainLimit {
			continue
		}
		for _, x := range a.arrivals {
			if x.server == leaving.id {
				st.note("server %s gets %s from %s, sent %d ms after that machine had read that it leaves", x.server, a.id, a.machine.name, a.sentAt.Sub(at).Milliseconds())
				late[a.machine.name]++
				total++
				if a.status != 200 {
					lost++
				}
			}
		}
	}
	if served == 0 || ackAt.IsZero() {
		return false, "", fmt.Errorf("the machine %s did not read first", namedReader)
	}
	why := fmt.Sprintf("the leaving server got %d requests, sent more than %s after the machine that sent them on had read that it leaves: %v; %d of them got no good answer; %d of %d requests were served", total, drainLimit, late, lost, served, sent)
	return total > 0, why, nil
}

func indexOf(gates []*gateway, g *gateway) int {
	for i := range gates {
		if gates[i] == g {
			return i
		}
	}
	return -1
}
