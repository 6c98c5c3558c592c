package mover

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/certifier"
	"github.com/dotterelpulley/dotterelpulley/decoder"
)

// Settings are the settings of a mover process.
type Settings struct {
	Host     dotterelpulley.HostID
	Zone     dotterelpulley.ZoneID
	Log      dotterelpulley.Address
	HostList dotterelpulley.Address
	// Operators is where health, counters and status are served.
	Operators dotterelpulley.Address
	// PeerFiles are the files of the certificate shown to entry hosts and of the authority that theirs must be signed by.
	PeerFiles certifier.Files
	// Lease is how long the active mover may stay active without access to the log.
	Lease time.Duration
	// OrderTimeout bounds one order to an endpoint.
	OrderTimeout time.Duration
	// LoadsAtOnce limits the number of endpoints that load at the same time.
	LoadsAtOnce int
	// Retention is how long the log keeps a record.
	Retention time.Duration
}

// The defaults of the settings.
const (
	DefaultLease        = 5 * time.Second
	DefaultOrderTimeout = time.Second
	DefaultLoadsAtOnce  = 4
	DefaultRetention    = 24 * time.Hour
)

type wireSettings struct {
	Host         string    `toml:"host"`
	Zone         string    `toml:"zone"`
	Log          string    `toml:"log-address"`
	HostList     string    `toml:"host-list-address"`
	Operators    string    `toml:"operator-address"`
	PeerTLS      wireFiles `toml:"peer-tls"`
	Lease        string    `toml:"lease"`
	OrderTimeout string    `toml:"order-timeout"`
	LoadsAtOnce  *int      `toml:"loads-at-once"`
	Retention    string    `toml:"log-retention"`
}

type wireFiles struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// ParseSettings decodes and checks a mover's settings file; name identifies the file in errors.
func ParseSettings(name string, data []byte) (Settings, error) {
	var w wireSettings
	if err := decoder.Decode(name, data, &w); err != nil {
		return Settings{}, err
	}
	c := settingsCheck{lines: decoder.IndexLines(name, data)}
	s := Settings{
		Host:         dotterelpulley.HostID(w.Host),
		Zone:         dotterelpulley.ZoneID(w.Zone),
		Log:          c.address("log-address", w.Log),
		HostList:     c.address("host-list-address", w.HostList),
		Operators:    c.address("operator-address", w.Operators),
		PeerFiles:    certifier.Files{Certificate: w.PeerTLS.Certificate, Key: w.PeerTLS.Key, Authority: w.PeerTLS.Authority},
		Lease:        c.duration("lease", w.Lease, DefaultLease),
		OrderTimeout: c.duration("order-timeout", w.OrderTimeout, DefaultOrderTimeout),
		LoadsAtOnce:  DefaultLoadsAtOnce,
		Retention:    c.duration("log-retention", w.Retention, DefaultRetention),
	}
	if w.LoadsAtOnce != nil {
		s.LoadsAtOnce = *w.LoadsAtOnce
	}
	if s.Host == "" {
		c.add("host", "must not be empty")
	}
	if err := s.PeerFiles.Check(); err != nil {
		c.add("peer-tls", err.Error())
	}
	if s.LoadsAtOnce < 1 {
		c.add("loads-at-once", fmt.Sprintf("%d is below 1", s.LoadsAtOnce))
	}
	if s.OrderTimeout >= s.Lease/2 {
		c.add("order-timeout", fmt.Sprintf("%s is not below half of the lease, %s", s.OrderTimeout, s.Lease))
	}
	return s, errors.Join(c.problems...)
}

type settingsCheck struct {
	lines    decoder.Lines
	problems []error
}

func (c *settingsCheck) add(key, detail string) {
	c.problems = append(c.problems, c.lines.Problem(key, detail))
}

func (c *settingsCheck) address(key, text string) dotterelpulley.Address {
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.add(key, fmt.Sprintf("%q is not an IP address and port such as \"127.0.0.1:7001\"", text))
	}
	return dotterelpulley.Address(text)
}

func (c *settingsCheck) duration(key, text string, defaultValue time.Duration) time.Duration {
	if text == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		c.add(key, fmt.Sprintf("%q is not a duration above 0s such as \"5s\"", text))
	}
	return d
}
