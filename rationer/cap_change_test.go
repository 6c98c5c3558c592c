package rationer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// busiest returns the most that was admitted in a window.
func busiest(at []time.Time, amounts []Amount, span time.Duration) Amount {
	most, sum, first := Amount(0), Amount(0), 0
	for i := range at {
		sum += amounts[i]
		for !at[i].Before(at[first].Add(span)) {
			sum -= amounts[first]
			first++
		}
		most = max(most, sum)
	}
	return most
}

// A cap that was lowered and restored, or removed and set again, granted its burst anew each time.
func TestACapThatChangesGrantsNothingAnew(t *testing.T) {
	high := Cap{Rate: 100, Burst: 100}
	low := Cap{Rate: 10, Burst: 10}
	for name, change := range map[string]func(r *Rationer, now time.Time, step int){
		"lowered and restored": func(r *Rationer, now time.Time, step int) {
			r.SetCap(now, organisation, []Cap{low, high}[step%2])
		},
		"lowered in steps": func(r *Rationer, now time.Time, step int) {
			r.SetCap(now, organisation, []Cap{high, {Rate: 60, Burst: 60}, {Rate: 30, Burst: 30}, low}[step%4])
		},
		"removed and set again": func(r *Rationer, now time.Time, _ int) {
			r.RemoveCap(organisation)
			r.SetCap(now, organisation, high)
		},
	} {
		for _, interval := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second} {
			t.Run(name+" every "+interval.String(), func(t *testing.T) {
				c := qt.New(t)
				var r Rationer
				r.SetCap(start, organisation, high)
				var at []time.Time
				var amounts []Amount
				for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(10 * time.Millisecond) {
					if since := now.Sub(start); since > 10*time.Second && since%interval == 0 {
						change(&r, now, int(since/interval))
					}
					for range 2 {
						if _, ok := r.Admit(now, organisation, 4, 0); ok {
							at, amounts = append(at, now), append(amounts, 4)
						}
					}
				}
				allowed := high.Rate*Amount(defaultWindow.Seconds()) + high.Burst
				most := busiest(at, amounts, defaultWindow)
				c.Logf("%.0f of %.0f", float64(most), float64(allowed))
				c.Check(most <= allowed, qt.IsTrue, qt.Commentf("%.0f used, %.0f allowed", float64(most), float64(allowed)))
			})
		}
	}
}

// What a higher cap allowed doesn't use up a lower one: the organisation goes on at the lower rate.
func TestALoweredCapAdmitsItsRate(t *testing.T) {
	c := qt.New(t)
	var r Rationer
	r.SetCap(start, organisation, Cap{Rate: 100, Burst: 100})
	var at []time.Time
	var amounts []Amount
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if now.Equal(start.Add(20 * time.Second)) {
			r.SetCap(now, organisation, Cap{Rate: 20, Burst: 20})
			at, amounts = nil, nil
		}
		if _, ok := r.Admit(now, organisation, 1, 0); ok {
			at, amounts = append(at, now), append(amounts, 1)
		}
	}
	c.Check(len(at) >= 150, qt.IsTrue, qt.Commentf("%d of 200 admitted in ten seconds", len(at)))
	most := busiest(at, amounts, defaultWindow)
	c.Check(most <= 180, qt.IsTrue, qt.Commentf("%.0f used in a window, 180 allowed", float64(most)))
}
