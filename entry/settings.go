package entry

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/certifier"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/decoder"
)

// Settings holds the contents of an entry host's settings file.
type Settings struct {
	Host            dotterelpulley.HostID
	Zone            dotterelpulley.ZoneID
	CallerAddress   dotterelpulley.Address
	OperatorAddress dotterelpulley.Address
	PeerAddress     dotterelpulley.Address
	LogAddress      dotterelpulley.Address
	HostListAddress dotterelpulley.Address
	Limits          Limits
	Timeouts        Timeouts
	Claims          claimer.Settings
	// CallerTLS is the certificate presented to callers; without one the connection is not encrypted.
	CallerTLS certifier.Files
	// PeerTLS is the certificate for connections between entry hosts, in which both sides present one.
	PeerTLS certifier.Files
}

// Limits holds the limits on requests and on the request queue.
type Limits struct {
	BodyBytes   int
	HeaderBytes int
	// MemoryBytes is the process's memory, of which clients may make it hold a quarter; zero if unknown.
	MemoryBytes int
	// Connections is the maximum number of connections of clients, on all listeners.
	Connections int
	// Waiting is the maximum number of waiting requests.
	Waiting int
	// Slots is the number of concurrent requests at an endpoint that reports no slots.
	Slots int
}

// Timeouts holds the process's timeouts and intervals.
type Timeouts struct {
	Dial time.Duration
	// FirstByte is the maximum wait for an endpoint's first byte.
	FirstByte time.Duration
	// Idle is the maximum gap between two reads of a stream.
	Idle time.Duration
	// Abandon is how long a plan continues after its last caller has disconnected.
	Abandon time.Duration
	// Linger is how long the answer of an ended run is kept for resends.
	Linger time.Duration
	// Drain is the maximum duration of a graceful shutdown.
	Drain time.Duration
	// KeepEntries is how long callers may cache the addresses of entry hosts.
	KeepEntries time.Duration
	// HostListEvery and LoadEvery are the polling intervals.
	HostListEvery time.Duration
	LoadEvery     time.Duration
	// CertificatesEvery is the interval at which certificate files are reloaded.
	CertificatesEvery time.Duration
}

// DefaultSettings returns the default settings; required keys are empty.
func DefaultSettings() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:   1 << 20,
			HeaderBytes: 16 << 10,
			Connections: 3000,
			Waiting:     4096,
			Slots:       8,
		},
		Timeouts: Timeouts{
			Dial:              time.Second,
			FirstByte:         30 * time.Second,
			Idle:              3 * time.Second,
			Abandon:           5 * time.Second,
			Linger:            time.Minute,
			Drain:             2 * time.Minute,
			KeepEntries:       10 * time.Second,
			HostListEvery:     time.Second,
			LoadEvery:         time.Second,
			CertificatesEvery: time.Minute,
		},
		Claims: claimer.Settings{}.WithDefaults(),
	}
}

// LoadSettings reads and checks a settings file; errors name the file and the key.
func LoadSettings(path string) (Settings, error) {
	w := toWire(DefaultSettings())
	if err := decoder.DecodeFile(path, &w); err != nil {
		return Settings{}, err
	}
	s, err := w.fromWire()
	if err == nil {
		err = s.Check()
	}
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Check returns all errors in the settings, each with its key.
func (s Settings) Check() error {
	var faults []error
	if s.Host == "" {
		faults = append(faults, errors.New("host: must be given"))
	}
	if s.Zone == "" {
		faults = append(faults, errors.New("zone: must be given"))
	}
	for _, a := range s.addresses() {
		if _, err := netip.ParseAddrPort(string(a.address)); err != nil {
			faults = append(faults, fmt.Errorf("%s: %q is not an IP address with a port", a.key, a.address))
		}
	}
	for _, f := range s.files() {
		if err := f.files.Check(); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", f.key, err))
		}
	}
	if s.PeerTLS.Configured() && s.PeerTLS.Authority == "" {
		faults = append(faults, errors.New("peer-tls.authority: must be given"))
	}
	for _, n := range s.counts() {
		if n.value <= 0 {
			faults = append(faults, fmt.Errorf("%s: %d is not above 0", n.key, n.value))
		}
	}
	if s.Limits.MemoryBytes < 0 {
		faults = append(faults, fmt.Errorf("limits.memory-bytes: %d is below 0", s.Limits.MemoryBytes))
	}
	for _, d := range s.durations() {
		if d.value <= 0 {
			faults = append(faults, fmt.Errorf("%s: %s is not above 0", d.key, d.value))
		}
	}
	return errors.Join(faults...)
}

type keyedAddress struct {
	key     string
	address dotterelpulley.Address
}

func (s Settings) addresses() []keyedAddress {
	return []keyedAddress{
		{"caller-address", s.CallerAddress},
		{"operator-address", s.OperatorAddress},
		{"peer-address", s.PeerAddress},
		{"log-address", s.LogAddress},
		{"host-list-address", s.HostListAddress},
	}
}

type keyedFiles struct {
	key   string
	files certifier.Files
}

func (s Settings) files() []keyedFiles {
	return []keyedFiles{
		{"caller-tls", s.CallerTLS},
		{"peer-tls", s.PeerTLS},
	}
}

type keyedCount struct {
	key   string
	value int
}

func (s Settings) counts() []keyedCount {
	return []keyedCount{
		{"limits.body-bytes", s.Limits.BodyBytes},
		{"limits.header-bytes", s.Limits.HeaderBytes},
		{"limits.connections", s.Limits.Connections},
		{"limits.waiting", s.Limits.Waiting},
		{"limits.slots", s.Limits.Slots},
	}
}

type keyedDuration struct {
	key   string
	value time.Duration
}

func (s Settings) durations() []keyedDuration {
	t := s.Timeouts
	return []keyedDuration{
		{"timeouts.dial", t.Dial},
		{"timeouts.first-byte", t.FirstByte},
		{"timeouts.idle", t.Idle},
		{"timeouts.abandon", t.Abandon},
		{"timeouts.linger", t.Linger},
		{"timeouts.drain", t.Drain},
		{"timeouts.keep-entries", t.KeepEntries},
		{"timeouts.host-list-every", t.HostListEvery},
		{"timeouts.load-every", t.LoadEvery},
		{"timeouts.certificates-every", t.CertificatesEvery},
		{"claims.lease", s.Claims.Lease},
		{"claims.key-lifetime", s.Claims.KeyLifetime},
		{"claims.clock-error", s.Claims.ClockError},
		{"claims.group-interval", s.Claims.GroupInterval},
		{"claims.patience-plans", s.Claims.Patience[dotterelpulley.KindPlan]},
		{"claims.patience-notices", s.Claims.Patience[dotterelpulley.KindNotice]},
		{"claims.patience-bookings", s.Claims.Patience[dotterelpulley.KindBooking]},
	}
}
