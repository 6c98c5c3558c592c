package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/rationer"
	"github.com/dotterelpulley/dotterelpulley/registrar"
)

// conditionTimeout is how long a test waits for an expected condition.
const conditionTimeout = 30 * time.Second

// exposureShare and exposureSlack limit the requests that a bad version may get.
const (
	exposureShare = 0.1
	exposureSlack = 50
)

// site is a simulated platform with gateways.
type site struct {
	*qt.C
	store         *standin.Store
	gateways      []*Gateway
	usedAddresses map[dotterelpulley.Address]bool
	// links are the hosts' links to endpoints, in the order of gateways.
	links []*endpointLinks
	// onStart, if set, is called with each host before it starts.
	onStart func(*Gateway)
}

func newSite(t *testing.T) *site {
	s := &site{C: qt.New(t), store: standin.StartStore(), usedAddresses: map[dotterelpulley.Address]bool{}}
	t.Cleanup(s.store.Close)
	// Hosts that ran before have found the operators' records complete.
	s.recordEra(1)
	return s
}

// recordEra writes to the store that the operators' records of the era are complete.
func (s *site) recordEra(era dotterelpulley.StoreEra) {
	r := platform.EncodeCompleteEra(era)
	s.store.Put(platform.ErasTopic, r.Key, r.Value)
}

const siteConfiguration = `{"version":%d,"routes":[
	{"name":"call","host":"h.example","path_prefix":"/call/","kind":"non_idempotent","timeout_ms":20000,"target_latency_ms":5000,"service":"plain","max_attempts":1},
	{"name":"lookup","host":"h.example","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":20000,"target_latency_ms":5000,"service":"plain","max_attempts":2},
	{"name":"plan","host":"h.example","path_prefix":"/plan/","kind":"streaming","timeout_ms":20000,"target_latency_ms":5000,"gap_target_ms":250,"service":"model","max_attempts":1,"sticky":true},
	{"name":"advice","host":"h.example","path_prefix":"/advice/","kind":"streaming","timeout_ms":20000,"target_latency_ms":5000,"gap_target_ms":250,"service":"model","max_attempts":2,"sticky":true,"resumable":true},
	{"name":"open","host":"h.example","path_prefix":"/open/","kind":"idempotent","timeout_ms":20000,"target_latency_ms":5000,"service":"plain","max_attempts":1,"public":true}],
	"services":[{"name":"plain","health_path":"/health","max_conns":100},{"name":"model","health_path":"/health","max_conns":100}],
	"limits":{"max_body_bytes":1000},
	"tenants":[{"name":"t1","api_keys":["k1"],"rate_per_s":%d,"burst":%d}]}`

// publishConfiguration publishes a configuration that caps t1 in requests.
func (s *site) publishConfiguration(version, rate int) {
	s.store.Put(platform.OperatorsTopic, platform.ConfigurationKey, fmt.Appendf(nil, siteConfiguration, version, rate, rate))
}

// endpoint starts an endpoint that is registered in the store.
func (s *site) endpoint(id string, service string, handler standin.Handler) *standin.Endpoint {
	e := standin.StartEndpoint(dotterelpulley.EndpointID(id), dotterelpulley.ServiceID(service), handler)
	s.TB.(*testing.T).Cleanup(e.Close)
	e.Register(s.store, "ready")
	return e
}

// startReadyGateway starts a host and waits until it is ready.
func (s *site) startReadyGateway() *Gateway {
	g := s.startGateway()
	s.waitFor("the host is ready", func() bool { return g.ready(time.Now()) })
	s.waitForAllowance(g, 1)
	return g
}

// startGateway starts a host.
func (s *site) startGateway() *Gateway {
	ip := netip.AddrFrom4([4]byte{127, 0, 0, byte(10 + len(s.gateways))})
	settings := platform.Settings{
		Host: dotterelpulley.HostID(fmt.Sprintf("host-%d", len(s.gateways))), IP: ip, Zone: "a", StoreAddress: s.store.Address(),
		CallerAddress: freeAddress(s, ip), DirectoryAddress: freeAddress(s, ip), ReadinessAddress: freeAddress(s, ip),
		Bounds: platform.Bounds{
			RevocationLimit: 5 * time.Second, ShutdownGrace: 8 * time.Second, RetryRatio: 1, RetryExtra: 10_000, DirectoryTTL: 5 * time.Second,
			ExposureShare: exposureShare, ExposureSlack: exposureSlack, RollbackLimit: 5 * time.Second,
		},
	}
	settings.FirstPeerPort = freePair(s, ip)
	logger := &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: io.Discard}}
	g := New(settings, logger)
	links := &endpointLinks{}
	g.connector.Dial = links.dial
	s.links = append(s.links, links)
	if s.onStart != nil {
		s.onStart(g)
	}
	s.Assert(g.Start(), qt.IsNil)
	s.gateways = append(s.gateways, g)
	s.TB.(*testing.T).Cleanup(func() {
		if slices.Contains(s.gateways, g) {
			s.Check(g.Close(), qt.IsNil)
		}
	})
	return g
}

// stopGateway stops a host before the test's end.
func (s *site) stopGateway(g *Gateway) {
	i := slices.Index(s.gateways, g)
	s.gateways, s.links = slices.Delete(s.gateways, i, i+1), slices.Delete(s.links, i, i+1)
	s.Assert(g.Close(), qt.IsNil)
}

// freeAddress returns an address that the site has not returned before; the system may assign a port again once it is closed.
func freeAddress(s *site, ip netip.Addr) dotterelpulley.Address {
	for {
		l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		s.Assert(err, qt.IsNil)
		address := dotterelpulley.Address(l.Addr().String())
		s.Assert(l.Close(), qt.IsNil)
		if !s.usedAddresses[address] {
			s.usedAddresses[address] = true
			return address
		}
	}
}

// freePair returns a port that is free for datagrams and connections, and whose successor is free for connections.
func freePair(s *site, ip netip.Addr) uint16 {
	for {
		at, err := netip.ParseAddrPort(string(freeAddress(s, ip)))
		s.Assert(err, qt.IsNil)
		if at.Port() == 65535 {
			continue
		}
		next, err := net.Listen("tcp", netip.AddrPortFrom(ip, at.Port()+1).String())
		if err != nil {
			continue
		}
		s.Assert(next.Close(), qt.IsNil)
		s.usedAddresses[dotterelpulley.Address(next.Addr().String())] = true
		return at.Port()
	}
}

// waitFor waits until the condition holds.
func (s *site) waitFor(what string, condition func() bool) {
	s.Assert(prover.WaitUntil(context.Background(), prover.WaitOptions{Timeout: conditionTimeout, Interval: time.Millisecond}, what, condition), qt.IsNil)
}

// waitForAllowance waits until the organisation may use the amount at once.
func (s *site) waitForAllowance(g *Gateway, amount rationer.Amount) {
	s.waitFor("the organisation has the allowance", func() bool {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		remaining, ok := g.rationer.Remaining(time.Now(), "t1")
		return ok && remaining >= amount
	})
}

// registrations returns the endpoints that the host knows, by id.
func registrations(g *Gateway) []registrar.Registration {
	g.registry.mutex.Lock()
	defer g.registry.mutex.Unlock()
	return g.registry.Registrations()
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

var lastAttempt int

// request returns a caller's request with a key.
func (s *site) request(ctx context.Context, g *Gateway, method, path, body string) *http.Request {
	lastAttempt++
	r, err := http.NewRequestWithContext(ctx, method, "http://"+string(g.settings.CallerAddress)+path, strings.NewReader(body))
	s.Assert(err, qt.IsNil)
	r.Host = "h.example"
	r.Header.Set("Api-Key", "k1")
	r.Header.Set("Dotterelpulley-Attempt-Id", fmt.Sprintf("a%d", lastAttempt))
	r.Header.Set("Dotterelpulley-Deadline-Ms", "20000")
	return r
}

// send sends a request and reads its response.
func (s *site) send(r *http.Request) answer {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func (s *site) get(g *Gateway, path string) answer {
	return s.send(s.request(context.Background(), g, http.MethodGet, path, ""))
}

func (s *site) post(g *Gateway, path, body string) answer {
	return s.send(s.request(context.Background(), g, http.MethodPost, path, body))
}

// answerHello sends a complete response.
func answerHello(w http.ResponseWriter, _ *http.Request, _ int) {
	standin.SignResponse(w)
	_, _ = io.WriteString(w, "hello")
}

// abort runs the request and closes the connection without a response.
func abort(http.ResponseWriter, *http.Request, int) {
	standin.AbortResponse()
}
