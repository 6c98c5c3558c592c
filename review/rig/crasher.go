package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	crasherPath = "/cufi504/5c/91"
	backAfter   = 3 * time.Second
)

func init() { cases["crasher"] = playCrasher }

// playCrasher sends a request that crashes each server which begins to run it, again and again, and restarts machines meanwhile.
func playCrasher(st *site, trouble bool) (bool, string, error) {
	app := serverSpec{service: "wuno96b", version: "v1", slots: 6, queue: 24, workTime: 60 * time.Millisecond}
	app.respond = func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		if r.URL.Path != crasherPath {
			s.respondPlain(w, r)
			return
		}
		time.Sleep(10 * time.Millisecond)
		s.crash()
		time.AfterFunc(backAfter, func() {
			again := s.serverSpec
			if _, err := st.startServer(again, fmt.Sprintf("i-%08x", rand.Uint32()), "127.0.0.1:0"); err != nil {
				st.note("a server does not come back: %v", err)
			}
		})
		hangUp()
	}
	if err := st.startApp(app, 3); err != nil {
		return false, "", err
	}
	routes := []route{{
		Name: "r-cufi504", Host: hostName, PathPrefix: "/cufi504/", Kind: "idempotent", TimeoutMS: 1500, TargetMS: 300, Priority: 2,
		Service: "wuno96b", MaxAttempts: 2,
	}, {
		Name: "r-puxa403", Host: hostName, PathPrefix: "/puxa403/", Kind: "non_idempotent", TimeoutMS: 1500, TargetMS: 300, Priority: 2,
		Service: "wuno96b", MaxAttempts: 1,
	}}
	services := []service{{Name: "wuno96b", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}}
	tenants := []tenant{{Name: "hule930", APIKeys: []string{remainingKey}, Priority: 1, Unit: "tokens", PlainTokens: 200, RatePerS: 150048, Burst: 150048}}
	st.store.put(topicOperator, "config", configuration(7, routes, services, tenants))
	if err := st.startGateways(6); err != nil {
		return false, "", err
	}
	if err := st.awaitReady(15 * time.Second); err != nil {
		return false, "", err
	}
	stopTraffic := st.startTraffic(60, func(n int) call {
		return call{method: "POST", path: bookingPath, key: remainingKey, limit: 3 * time.Second, body: fmt.Appendf(nil, "booking %d", n)}
	})
	time.Sleep(3 * time.Second)
	// The request comes again at any machine, each time once the servers that it crashed are back.
	ask := func(machines ...int) {
		for _, n := range machines {
			st.send(st.gates[n], call{label: "crasher", method: "GET", path: crasherPath, key: remainingKey, limit: 3 * time.Second})
			time.Sleep(backAfter + time.Second)
		}
	}
	ask(1, 2, 3)
	thirdCrash := st.crashTime(3)
	if thirdCrash.IsZero() {
		return false, "", fmt.Errorf("the request crashed fewer than three servers")
	}
	st.note("it has crashed the third server at %s s", st.at(thirdCrash))
	for range 2 {
		if trouble {
			st.gates[0].kill()
		}
		time.Sleep(restartDelay + stabilityWindow + 2*time.Second)
		if err := st.awaitReady(10 * time.Second); err != nil {
			return false, "", err
		}
		ask(0, 4, 0, 5)
	}
	sent, served := stopTraffic()

	late, lost := 0, 0
	for _, a := range st.ledger.all() {
		if a.label == "" && a.sentAt.After(thirdCrash.Add(stabilityWindow)) && len(a.runs) > 0 && a.status != 200 {
			lost++
		}
		if a.label == "" || a.sentAt.Before(thirdCrash.Add(stabilityWindow)) || a.sentAt.Sub(a.undisturbedSince) < stabilityWindow {
			continue
		}
		late += len(a.arrivals)
	}
	if served == 0 {
		return false, "", fmt.Errorf("nothing was served")
	}
	why := fmt.Sprintf("the request reached servers %d times from machines in touch, later than %s after its third crash (3 are allowed); %d bookings of others, which ran meanwhile, got no good answer; %d of %d bookings were served", late, stabilityWindow, lost, served, sent)
	return late > 3, why, nil
}

// crashTime returns when the request crashed the nth server.
func (st *site) crashTime(n int) time.Time {
	st.ledger.mutex.Lock()
	defer st.ledger.mutex.Unlock()
	for _, a := range st.ledger.order {
		if a.label != "crasher" {
			continue
		}
		for _, r := range a.runs {
			if n--; n == 0 {
				return r.at
			}
		}
	}
	return time.Time{}
}
