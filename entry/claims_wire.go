package entry

import (
	"errors"
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

type wireClaims struct {
	Lease            string `toml:"lease"`
	KeyLifetime      string `toml:"key-lifetime"`
	ClockError       string `toml:"clock-error"`
	GroupInterval    string `toml:"group-interval"`
	PatiencePlans    string `toml:"patience-plans"`
	PatienceNotices  string `toml:"patience-notices"`
	PatienceBookings string `toml:"patience-bookings"`
}

func claimsToWire(s claimer.Settings) wireClaims {
	return wireClaims{
		Lease:            s.Lease.String(),
		KeyLifetime:      s.KeyLifetime.String(),
		ClockError:       s.ClockError.String(),
		GroupInterval:    s.GroupInterval.String(),
		PatiencePlans:    s.Patience[dotterelpulley.KindPlan].String(),
		PatienceNotices:  s.Patience[dotterelpulley.KindNotice].String(),
		PatienceBookings: s.Patience[dotterelpulley.KindBooking].String(),
	}
}

func (w wireClaims) fromWire() (claimer.Settings, error) {
	s := claimer.Settings{}.WithDefaults()
	var faults []error
	read := func(key, text string, into *time.Duration) {
		d, err := time.ParseDuration(text)
		if err != nil {
			faults = append(faults, fmt.Errorf("claims.%s: %q is not a duration such as \"2s\"", key, text))
		}
		*into = d
	}
	read("lease", w.Lease, &s.Lease)
	read("key-lifetime", w.KeyLifetime, &s.KeyLifetime)
	read("clock-error", w.ClockError, &s.ClockError)
	read("group-interval", w.GroupInterval, &s.GroupInterval)
	read("patience-plans", w.PatiencePlans, &s.Patience[dotterelpulley.KindPlan])
	read("patience-notices", w.PatienceNotices, &s.Patience[dotterelpulley.KindNotice])
	read("patience-bookings", w.PatienceBookings, &s.Patience[dotterelpulley.KindBooking])
	return s, errors.Join(faults...)
}
