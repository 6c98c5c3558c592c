package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// startTraffic sends ordinary requests to random machines of the directory until the returned function is called, which waits
// for those in flight and returns how many there were and how many succeeded.
func (st *site) startTraffic(perSecond int, makeCall func(n int) call) func() (sent, served int) {
	done := make(chan struct{})
	var all sync.WaitGroup
	var mutex sync.Mutex
	sent, served := 0, 0
	all.Add(1)
	go func() {
		defer all.Done()
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		addresses, resolvedAt := map[string][]string{}, map[string]time.Time{}
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			zone := zones[n%len(zones)]
			if time.Since(resolvedAt[zone]) > time.Second {
				if found := st.resolve(zone); len(found) > 0 {
					addresses[zone], resolvedAt[zone] = found, time.Now()
				}
			}
			g := st.machineAt(addresses[zone])
			if g == nil {
				continue
			}
			all.Add(1)
			go func() {
				defer all.Done()
				a := st.send(g, makeCall(n))
				mutex.Lock()
				defer mutex.Unlock()
				sent++
				if a.err == nil && a.status == 200 && a.stamp != "" {
					served++
				}
			}()
		}
	}()
	return func() (int, int) {
		close(done)
		all.Wait()
		return sent, served
	}
}

// machineAt returns a random machine of the addresses.
func (st *site) machineAt(addresses []string) *gateway {
	if len(addresses) == 0 {
		return nil
	}
	address := addresses[rand.IntN(len(addresses))]
	for _, g := range st.gates {
		if g.front == address {
			return g
		}
	}
	return nil
}

// startApp starts the servers of a plain service.
func (st *site) startApp(spec serverSpec, count int) error {
	for i := range count {
		spec.zone = zones[i%len(zones)]
		if _, err := st.startServer(spec, fmt.Sprintf("i-%08x", rand.Uint32()), "127.0.0.1:0"); err != nil {
			return err
		}
	}
	return nil
}
