package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

// hostRegistration is a host's registration in the store, for hosts that start later.
type hostRegistration struct {
	Zone    dotterelpulley.ZoneID  `json:"zone"`
	Peer    dotterelpulley.Address `json:"peer"`
	Callers dotterelpulley.Address `json:"callers"`
}

// renewSpread is the time over which the hosts write their registrations again after the store's return from a copy.
const renewSpread = time.Second

// registrationRenewer asks for this host's registration to be written again; the zero value is ready to use.
type registrationRenewer struct {
	once   sync.Once
	signal chan struct{}
}

func (r *registrationRenewer) requested() chan struct{} {
	r.once.Do(func() { r.signal = make(chan struct{}, 1) })
	return r.signal
}

func (r *registrationRenewer) renew() {
	select {
	case r.requested() <- struct{}{}:
	default:
	}
}

// registerHost writes this host's registration, and again each time a copy of the store may lack it.
func (g *Gateway) registerHost() {
	self := g.peers.self()
	value, err := json.Marshal(hostRegistration{Zone: self.Zone, Peer: self.PeerAddress, Callers: self.CallerAddress})
	if err != nil {
		g.event(log.ErrorLevel, "introduction-failed").Err(err).Msg("")
		return
	}
	record := platform.Record{Key: string(self.ID), Value: value}
	for {
		g.writeRegistration(record)
		select {
		case <-g.ctx.Done():
			return
		case <-g.registration.requested():
			repeater.Sleep(g.ctx, rand.N(renewSpread))
		}
	}
}

// writeRegistration writes this host's registration and reads those of the others, until each has succeeded once.
func (g *Gateway) writeRegistration(record platform.Record) {
	written := false
	for g.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(g.ctx, storeAnswerTimeout)
		var err error
		if !written {
			_, err = g.store.Append(ctx, platform.HostsTopic, record)
			written = err == nil
		}
		if written {
			var snapshot platform.Snapshot
			if snapshot, err = g.store.Newest(ctx, platform.HostsTopic); err == nil {
				cancel()
				g.addHosts(snapshot.Records)
				return
			}
		}
		cancel()
		g.event(log.InfoLevel, "introduction-delayed").Err(err).Msg("")
		repeater.Sleep(g.ctx, fallbackRetryDelay)
	}
}

// decodeHostRegistration decodes a registration with addresses that can be used; a host without callers names none for them.
func decodeHostRegistration(data []byte) (hostRegistration, error) {
	var h hostRegistration
	if err := json.Unmarshal(data, &h); err != nil {
		return hostRegistration{}, err
	}
	if _, err := netip.ParseAddrPort(string(h.Peer)); err != nil {
		return hostRegistration{}, err
	}
	if _, err := netip.ParseAddrPort(string(h.Callers)); err != nil && h.Callers != "" {
		return hostRegistration{}, err
	}
	return h, nil
}

func (g *Gateway) addHosts(records []platform.Record) {
	for _, r := range records {
		h, err := decodeHostRegistration(r.Value)
		if err != nil {
			g.event(log.WarnLevel, "host-unreadable").Str("peer", r.Key).Err(err).Msg("")
			continue
		}
		g.peers.addHost(announcer.Host{ID: dotterelpulley.HostID(r.Key), Zone: h.Zone, PeerAddress: h.Peer, CallerAddress: h.Callers})
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.applyBounds()
}
