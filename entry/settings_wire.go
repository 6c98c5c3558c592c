package entry

import (
	"errors"
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/certifier"
)

type wireSettings struct {
	Host            string       `toml:"host"`
	Zone            string       `toml:"zone"`
	CallerAddress   string       `toml:"caller-address"`
	OperatorAddress string       `toml:"operator-address"`
	PeerAddress     string       `toml:"peer-address"`
	LogAddress      string       `toml:"log-address"`
	HostListAddress string       `toml:"host-list-address"`
	Limits          wireLimits   `toml:"limits"`
	Timeouts        wireTimeouts `toml:"timeouts"`
	Claims          wireClaims   `toml:"claims"`
	CallerTLS       wireFiles    `toml:"caller-tls"`
	PeerTLS         wireFiles    `toml:"peer-tls"`
}

type wireFiles struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

type wireLimits struct {
	BodyBytes   int `toml:"body-bytes"`
	HeaderBytes int `toml:"header-bytes"`
	MemoryBytes int `toml:"memory-bytes"`
	Connections int `toml:"connections"`
	Waiting     int `toml:"waiting"`
	Slots       int `toml:"slots"`
}

type wireTimeouts struct {
	Dial              string `toml:"dial"`
	FirstByte         string `toml:"first-byte"`
	Idle              string `toml:"idle"`
	Abandon           string `toml:"abandon"`
	Linger            string `toml:"linger"`
	Drain             string `toml:"drain"`
	KeepEntries       string `toml:"keep-entries"`
	HostListEvery     string `toml:"host-list-every"`
	LoadEvery         string `toml:"load-every"`
	CertificatesEvery string `toml:"certificates-every"`
}

func toWire(s Settings) wireSettings {
	return wireSettings{
		Host:            string(s.Host),
		Zone:            string(s.Zone),
		CallerAddress:   string(s.CallerAddress),
		OperatorAddress: string(s.OperatorAddress),
		PeerAddress:     string(s.PeerAddress),
		LogAddress:      string(s.LogAddress),
		HostListAddress: string(s.HostListAddress),
		Limits: wireLimits{
			BodyBytes:   s.Limits.BodyBytes,
			HeaderBytes: s.Limits.HeaderBytes,
			MemoryBytes: s.Limits.MemoryBytes,
			Connections: s.Limits.Connections,
			Waiting:     s.Limits.Waiting,
			Slots:       s.Limits.Slots,
		},
		Timeouts: wireTimeouts{
			Dial:              s.Timeouts.Dial.String(),
			FirstByte:         s.Timeouts.FirstByte.String(),
			Idle:              s.Timeouts.Idle.String(),
			Abandon:           s.Timeouts.Abandon.String(),
			Linger:            s.Timeouts.Linger.String(),
			Drain:             s.Timeouts.Drain.String(),
			KeepEntries:       s.Timeouts.KeepEntries.String(),
			HostListEvery:     s.Timeouts.HostListEvery.String(),
			LoadEvery:         s.Timeouts.LoadEvery.String(),
			CertificatesEvery: s.Timeouts.CertificatesEvery.String(),
		},
		Claims:    claimsToWire(s.Claims),
		CallerTLS: filesToWire(s.CallerTLS),
		PeerTLS:   filesToWire(s.PeerTLS),
	}
}

func (w wireSettings) fromWire() (Settings, error) {
	timeouts, err := w.Timeouts.fromWire()
	claims, claimsErr := w.Claims.fromWire()
	err = errors.Join(err, claimsErr)
	s := Settings{
		Host:            dotterelpulley.HostID(w.Host),
		Zone:            dotterelpulley.ZoneID(w.Zone),
		CallerAddress:   dotterelpulley.Address(w.CallerAddress),
		OperatorAddress: dotterelpulley.Address(w.OperatorAddress),
		PeerAddress:     dotterelpulley.Address(w.PeerAddress),
		LogAddress:      dotterelpulley.Address(w.LogAddress),
		HostListAddress: dotterelpulley.Address(w.HostListAddress),
		Limits: Limits{
			BodyBytes:   w.Limits.BodyBytes,
			HeaderBytes: w.Limits.HeaderBytes,
			MemoryBytes: w.Limits.MemoryBytes,
			Connections: w.Limits.Connections,
			Waiting:     w.Limits.Waiting,
			Slots:       w.Limits.Slots,
		},
		Timeouts:  timeouts,
		Claims:    claims,
		CallerTLS: w.CallerTLS.fromWire(),
		PeerTLS:   w.PeerTLS.fromWire(),
	}
	return s, err
}

func filesToWire(f certifier.Files) wireFiles {
	return wireFiles{Certificate: f.Certificate, Key: f.Key, Authority: f.Authority}
}

func (w wireFiles) fromWire() certifier.Files {
	return certifier.Files{Certificate: w.Certificate, Key: w.Key, Authority: w.Authority}
}

func (w wireTimeouts) fromWire() (Timeouts, error) {
	var t Timeouts
	var faults []error
	read := func(key, text string, into *time.Duration) {
		d, err := time.ParseDuration(text)
		if err != nil {
			faults = append(faults, fmt.Errorf("timeouts.%s: %q is not a duration such as \"2s\"", key, text))
		}
		*into = d
	}
	read("dial", w.Dial, &t.Dial)
	read("first-byte", w.FirstByte, &t.FirstByte)
	read("idle", w.Idle, &t.Idle)
	read("abandon", w.Abandon, &t.Abandon)
	read("linger", w.Linger, &t.Linger)
	read("drain", w.Drain, &t.Drain)
	read("keep-entries", w.KeepEntries, &t.KeepEntries)
	read("host-list-every", w.HostListEvery, &t.HostListEvery)
	read("load-every", w.LoadEvery, &t.LoadEvery)
	read("certificates-every", w.CertificatesEvery, &t.CertificatesEvery)
	return t, errors.Join(faults...)
}
