package entry

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
	"github.com/dotterelpulley/dotterelpulley/internal/standin/issuer"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/publisher"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	testService = "drafting-pool"
	testVersion = "draft@1"
	waitLimit   = 20 * time.Second

	testConfiguration = `
[[services]]
id = "drafting-pool"
kind = "model"
model = "draft"
version = "1"
`
	waitStep = 5 * time.Millisecond
)

// fleet runs several entry hosts in one process with stand-ins for the engine, the log and the host list.
type fleet struct {
	*qt.C
	log           standin.Log
	hosts         standin.Hosts
	engine        standin.Engine
	entries       []*Entry
	issuer        *issuer.Issuer
	client        *http.Client
	ip            netip.Addr
	usedAddresses map[dotterelpulley.Address]bool
}

// fleets counts the fleets of this process; parallel fleets must not use each other's ports.
var fleets atomic.Uint32

// uniqueIP returns a loopback address that no other fleet uses.
func uniqueIP() netip.Addr {
	const first, last = 20, 250
	pid := os.Getpid()
	n := fleets.Add(1) % (last - first)
	return netip.AddrFrom4([4]byte{127, byte(first + n), byte(pid >> 8), byte(pid)})
}

// newFleet starts count entry hosts; change, if given, modifies the settings of each.
func newFleet(t *testing.T, count int, change func(*fleet, *Settings)) *fleet {
	t.Parallel()
	f := &fleet{C: qt.New(t), client: http.DefaultClient}
	f.ip = uniqueIP()
	f.usedAddresses = map[dotterelpulley.Address]bool{}
	f.engine = standin.Engine{ID: "draft-1", Service: testService, Versions: []string{testVersion}, Step: time.Millisecond}
	f.Assert(f.log.Start("127.0.0.1:0"), qt.IsNil)
	f.Assert(f.hosts.Start("127.0.0.1:0"), qt.IsNil)
	f.Assert(f.engine.Start("127.0.0.1:0"), qt.IsNil)
	f.Cleanup(func() {
		f.Check(f.engine.Close(), qt.IsNil)
		f.Check(f.hosts.Close(), qt.IsNil)
		f.Check(f.log.Close(), qt.IsNil)
	})
	f.hosts.Set(lister.Host{ID: "draft-1", Kind: lister.KindEngine, Service: testService, Address: f.engine.Address(), Zone: "perth-north"})
	for i := range count {
		f.start(i, change)
	}
	for _, e := range f.entries {
		f.until("every entry host knows its peers and the engine's version", func() bool {
			return len(e.endpoints.entryHosts()) == count && len(e.endpoints.all()) == 1 && len(e.endpoints.all()[0].Versions) == 1
		})
	}
	f.publish(testConfiguration)
	return f
}

func (f *fleet) start(i int, change func(*fleet, *Settings)) {
	s := DefaultSettings()
	s.Host = dotterelpulley.HostID(fmt.Sprintf("entry-%d", i+1))
	s.Zone = "perth-north"
	s.LogAddress = f.log.Address()
	s.HostListAddress = f.hosts.Address()
	s.CallerAddress = f.freeAddress()
	s.OperatorAddress = f.freeAddress()
	s.PeerAddress = f.freeAddress()
	s.Timeouts.HostListEvery = 50 * time.Millisecond
	s.Timeouts.LoadEvery = 50 * time.Millisecond
	if change != nil {
		change(f, &s)
	}
	f.Assert(s.Check(), qt.IsNil)
	e := New(s, &log.Logger{Level: log.WarnLevel, Writer: log.IOWriter{Writer: io.Discard}})
	f.Assert(e.Start(), qt.IsNil)
	f.Cleanup(func() { f.Check(e.Close(), qt.IsNil) })
	f.Cleanup(f.client.CloseIdleConnections)
	f.entries = append(f.entries, e)
	f.hosts.Set(lister.Host{
		ID:          s.Host,
		Kind:        lister.KindEntry,
		Address:     s.CallerAddress,
		PeerAddress: s.PeerAddress,
		Zone:        s.Zone,
	})
}

// freeAddress returns an address on the fleet's IP address that it has not returned before, since the system may
// assign a closed port again.
func (f *fleet) freeAddress() dotterelpulley.Address {
	for {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(f.ip, 0).String())
		f.Assert(err, qt.IsNil)
		address := dotterelpulley.Address(listener.Addr().String())
		f.Assert(listener.Close(), qt.IsNil)
		if !f.usedAddresses[address] {
			f.usedAddresses[address] = true
			return address
		}
	}
}

// until waits for a condition.
func (f *fleet) until(condition string, met func() bool) {
	tick := time.NewTicker(waitStep)
	defer tick.Stop()
	limit := time.NewTimer(waitLimit)
	defer limit.Stop()
	for !met() {
		select {
		case <-tick.C:
		case <-limit.C:
			f.Fatalf("waited %s until %s", waitLimit, condition)
		}
	}
}

// plan sends a plan to the entry host without streaming and returns its answer.
func (f *fleet) plan(to int, key, prompt string) wireAnswer {
	status, text := f.send(to, key, prompt, "")
	f.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	var answer wireAnswer
	f.Assert(json.Unmarshal(text, &answer), qt.IsNil)
	return answer
}

// send sends a plan with a token without streaming and returns the response.
func (f *fleet) send(to int, key, prompt string, token dotterelpulley.Token) (status int, answer []byte) {
	return f.request(to, "/v1/plans", key, token, wireRequest{
		Organisation: "council",
		Tier:         "urgent",
		Service:      testService,
		Prompt:       prompt,
		MaxTokens:    defaultMaxTokens,
	})
}

// request posts a request to the entry host and returns the response.
func (f *fleet) request(to int, path, key string, token dotterelpulley.Token, w wireRequest) (status int, answer []byte) {
	body, err := json.Marshal(w)
	f.Assert(err, qt.IsNil)
	scheme := "http"
	if f.issuer != nil {
		scheme = "https"
	}
	url := fmt.Sprintf("%s://%s%s", scheme, f.entries[to].settings.CallerAddress, path)
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	f.Assert(err, qt.IsNil)
	req.Header.Set(headerKey, key)
	if token != "" {
		req.Header.Set("Authorization", bearer+string(token))
	}
	resp, err := f.client.Do(req)
	f.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	f.Assert(err, qt.IsNil)
	return resp.StatusCode, answer
}

// refusal decodes the refusal of a response other than 200 OK.
func (f *fleet) refusal(status int, answer []byte) (int, wireRefusal) {
	var refusal wireRefusal
	if status != http.StatusOK {
		f.Assert(json.Unmarshal(answer, &refusal), qt.IsNil)
	}
	return status, refusal
}

// publish publishes a configuration and waits until it is in force on every entry host.
func (f *fleet) publish(file string) {
	wanted, err := publisher.ParseConfiguration("configuration.toml", []byte(file))
	f.Assert(err, qt.IsNil)
	before := f.entries[0].logState.configuration()
	publication := publisher.NewConfigurationPublication(before, wanted)
	data, err := recorder.Encode(publication.Envelope)
	f.Assert(err, qt.IsNil)
	f.log.Append(string(appender.StreamConfiguration), data)
	for _, e := range f.entries {
		f.until("the configuration is in force", func() bool { return e.ready() && e.logState.revision() > before.Revision })
	}
}

// secureFleet configures certificates of one authority for callers and peers.
func secureFleet(f *fleet, s *Settings) {
	if f.issuer == nil {
		i, err := issuer.New()
		f.Assert(err, qt.IsNil)
		f.issuer = i
		f.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: i.Pool(), MinVersion: tls.VersionTLS13}}}
	}
	files, err := f.issuer.Write(f.TempDir(), f.ip)
	f.Assert(err, qt.IsNil)
	s.PeerTLS = files
	files.Authority = ""
	s.CallerTLS = files
}

// serve runs an HTTP server until the test ends and returns its address.
func (f *fleet) serve(server *fasthttp.Server) dotterelpulley.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	var wait conc.WaitGroup
	wait.Go(func() { _ = server.Serve(listener) })
	f.Cleanup(func() {
		f.Check(server.Shutdown(), qt.IsNil)
		wait.Wait()
	})
	return dotterelpulley.Address(listener.Addr().String())
}
