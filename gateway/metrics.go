package gateway

import (
	"bufio"
	"expvar"
	"fmt"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/counter"
	"github.com/dotterelpulley/dotterelpulley/spooler"
)

const (
	// metricsPortOffset is the offset of the metrics port from the first peer port.
	metricsPortOffset = 1
	// maxLatency and latencyDigits are the range, in microseconds, and the precision of the histograms.
	maxLatency    = int64(2 * time.Minute / time.Microsecond)
	latencyDigits = 2
)

// metrics are the counters and latency histograms of this process; the zero value is ready to use.
type metrics struct {
	counts counter.Set
	mutex  sync.Mutex
	// latencies holds the histograms by name; the configuration's routes limit the number of names.
	latencies map[string]*hdrhistogram.Histogram
}

// Inc adds one to the counter with the name.
func (m *metrics) Inc(name string) {
	m.counts.Inc(name)
}

// Add adds a number to the counter with the name.
func (m *metrics) Add(name string, n int) {
	m.counts.Add(name, int64(n))
}

func (m *metrics) recordLatency(name string, d time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.latencies == nil {
		m.latencies = map[string]*hdrhistogram.Histogram{}
	}
	h, ok := m.latencies[name]
	if !ok {
		h = hdrhistogram.New(1, maxLatency, latencyDigits)
		m.latencies[name] = h
	}
	// Values above the histogram's range count as its maximum.
	if err := h.RecordValue(min(max(d.Microseconds(), 1), maxLatency)); err != nil {
		m.counts.Inc("latencies-out-of-range")
	}
}

func (g *Gateway) metricsAddress() dotterelpulley.Address {
	return dotterelpulley.Address(netip.AddrPortFrom(g.settings.IP, g.settings.FirstPeerPort+metricsPortOffset).String())
}

// metricsHandler serves counters and histograms as text, one name and value per line.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(statePath, g.serveState)
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		out := bufio.NewWriter(w)
		g.metrics.counts.Do(func(kv expvar.KeyValue) { fmt.Fprintf(out, "%s %s\n", kv.Key, kv.Value) })
		fmt.Fprintf(out, "in-flight %d\n", g.inFlight.Load())
		clients := g.clients.Usage()
		fmt.Fprintf(out, "client-bytes %d\nclient-connections %d\n", clients.Bytes, clients.Connections)
		if w, ok := g.logger.Writer.(*spooler.Writer); ok {
			fmt.Fprintf(out, "log-lines-dropped %d\n", w.Dropped())
		}
		if age, ok := g.freshness.age(); ok {
			fmt.Fprintf(out, "configuration-age-ms %d\n", age.Milliseconds())
		}
		if t := g.table.Load(); t != nil {
			fmt.Fprintf(out, "configuration-version %d\n", t.Version)
		}
		fmt.Fprintf(out, "hosts-live %d\n", len(g.peers.liveHosts(time.Now()))+1)
		g.metrics.writeLatencies(out)
		if err := out.Flush(); err != nil {
			g.event(log.DebugLevel, "metrics-unsent").Err(err).Msg("")
		}
	})
	return mux
}

func (m *metrics) writeLatencies(out *bufio.Writer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	names := make([]string, 0, len(m.latencies))
	for name := range m.latencies {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		h := m.latencies[name]
		fmt.Fprintf(out, "%s-count %d\n", name, h.TotalCount())
		for _, q := range []float64{50, 95, 99} {
			fmt.Fprintf(out, "%s-p%.0f-us %d\n", name, q, h.ValueAtQuantile(q))
		}
	}
}

// event starts a log event with its name and host.
func (g *Gateway) event(level log.Level, name string) *log.Entry {
	return g.logger.WithLevel(level).Str("event", name).Str("host", string(g.settings.Host))
}
