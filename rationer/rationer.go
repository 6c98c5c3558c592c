package rationer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Amount is use in the unit of an organisation's cap, requests or tokens.
type Amount float64

// Cap bounds an organisation's use over all hosts.
type Cap struct {
	// Rate is the amount allowed a second, Burst what may be used beyond it at once.
	Rate  Amount
	Burst Amount
}

const (
	// defaultWindow is the time over which use is counted where none is set.
	defaultWindow = 8 * time.Second
	// savedSpan is for how long an organisation may save up its rate beside its burst: long enough for requests
	// of unlike sizes, short enough that what was saved twice over a restart stays within the platform's tolerance.
	savedSpan = 500 * time.Millisecond
	// firstPart is the part of the burst that a host begins with, for the same reason.
	firstPart = 0.25
	// youngFor is how long a host takes over from others what organisations have left, some of their intervals.
	youngFor = time.Second
	// defaultSilence is the time without word from a host after which its use is estimated, where none is set.
	defaultSilence = 500 * time.Millisecond
	// forgetAfter is the time without word after which a host is taken to serve nobody.
	forgetAfter = 6 * time.Second
)

// Usage is what a host tells of one organisation.
type Usage struct {
	// Admitted is what the host has admitted since its start.
	Admitted Amount
	// Level is what the organisation may use at once, as the host knows it.
	Level Amount
}

// Rationer is one host's view of the use of all organisations; the zero value works.
type Rationer struct {
	// Window is the span in which use stays within the rate's part and the burst; 8 s if zero.
	Window time.Duration
	// HostCount is how many hosts there may be, this one included; while a host is young, those that it hasn't heard yet
	// are taken to use their part of each cap.
	HostCount int
	// SilenceTimeout is the time without word from a host after which its use is estimated; 500 ms if zero.
	SilenceTimeout time.Duration

	buckets map[dotterelpulley.OrganisationID]*bucket
	hosts   map[dotterelpulley.HostID]*host
}

type bucket struct {
	Cap
	window
	others unheard
	level  Amount
	at     time.Time
	// admitted is what this host has admitted since its start.
	admitted Amount
	// charged is until when the hosts that weren't heard yet are charged.
	charged time.Time
}

type host struct {
	incarnation uint64
	heard       time.Time
	charged     time.Time
	used        map[dotterelpulley.OrganisationID]Usage
	// paces is what the host uses a second.
	paces map[dotterelpulley.OrganisationID]Amount
	// assumed is what was charged for the host while it was silent.
	assumed map[dotterelpulley.OrganisationID]Amount
}

func (r *Rationer) init() {
	if r.buckets == nil {
		r.buckets = map[dotterelpulley.OrganisationID]*bucket{}
		r.hosts = map[dotterelpulley.HostID]*host{}
	}
}

// SetCap puts an organisation's cap in force.
func (r *Rationer) SetCap(now time.Time, id dotterelpulley.OrganisationID, c Cap) {
	r.init()
	b, ok := r.buckets[id]
	if !ok {
		// The use before this host's start isn't known, so it begins with a part of the burst.
		r.buckets[id] = &bucket{
			Cap: c, at: now, level: c.Burst * firstPart / Amount(max(r.HostCount, 1)), charged: now,
			window: window{span: r.window(), began: now},
		}
		return
	}
	b.refill(now)
	if before, after := b.allowed(b.Cap, b.span), b.allowed(c, b.span); after < before {
		// A lower cap doesn't count against what the higher one allowed.
		b.scale(float64(after / before))
	}
	b.Cap = c
	b.level = min(b.level, b.most())
}

func (r *Rationer) window() time.Duration {
	if r.Window > 0 {
		return r.Window
	}
	return defaultWindow
}

// most is what may be saved up.
func (b *bucket) most() Amount {
	return b.Burst + b.Rate*Amount(savedSpan.Seconds())
}

// RemoveCap forgets the cap of an organisation.
func (r *Rationer) RemoveCap(id dotterelpulley.OrganisationID) {
	delete(r.buckets, id)
	for _, h := range r.hosts {
		delete(h.paces, id)
	}
}

func (b *bucket) refill(now time.Time) {
	passed := max(now.Sub(b.at).Seconds(), 0)
	b.level = min(b.level+Amount(passed)*b.Rate, b.most())
	b.at = now
}

// charge takes the amount out of the bucket, whose debt is bounded by one second's rate and the burst.
func (b *bucket) charge(amount Amount) {
	b.level = min(max(b.level-amount, -b.Rate-b.Burst), b.most())
	b.add(b.at, amount)
}

// estimate returns what the organisation may use at once and has used in the window, with what hosts haven't told yet.
func (b *bucket) estimate(now time.Time) (level, used Amount) {
	others := b.others.at(now.Sub(b.began))
	return b.level - others, b.used(now) + others
}

// fits reports whether the amount is within what has been saved up and within the window.
func (b *bucket) fits(now time.Time, amount Amount) bool {
	level, used := b.estimate(now)
	if level < amount && level < b.most() {
		return false
	}
	return used+amount <= b.allowed(b.Cap, b.age(now)) || used <= 0
}

// Refusal is what a refused request was judged by.
type Refusal struct {
	// RetryAfter is when the amount may fit.
	RetryAfter time.Duration
	// Level is what the organisation could use at once; Used and Allowed are its use in the window and the bound on it.
	Level   Amount
	Used    Amount
	Allowed Amount
}

// Admit admits a request of the organisation, or tells why it is refused.
func (r *Rationer) Admit(now time.Time, id dotterelpulley.OrganisationID, amount Amount) (Refusal, bool) {
	b, ok := r.buckets[id]
	if !ok {
		return Refusal{}, true
	}
	b.refill(now)
	r.chargeSilent(now)
	if !b.fits(now, amount) {
		level, used := b.estimate(now)
		return Refusal{
			RetryAfter: b.comeBack(now, amount), Level: level, Used: used, Allowed: b.allowed(b.Cap, b.age(now)),
		}, false
	}
	b.charge(amount)
	b.admitted += amount
	return Refusal{}, true
}

// comeBack is when the amount may fit.
func (b *bucket) comeBack(now time.Time, amount Amount) time.Duration {
	if b.Rate <= 0 {
		return b.span
	}
	level, used := b.estimate(now)
	lacking := max(amount-level, used+amount-b.allowed(b.Cap, b.age(now)), 0)
	return min(time.Duration(float64(lacking/b.Rate)*float64(time.Second)), b.span)
}

// Refund gives back what a request took that has not run.
func (r *Rationer) Refund(id dotterelpulley.OrganisationID, amount Amount) {
	if b, ok := r.buckets[id]; ok {
		b.charge(-amount)
		b.admitted -= amount
	}
}

// LocalUsage returns what this host tells the others, by organisation.
func (r *Rationer) LocalUsage(now time.Time) map[dotterelpulley.OrganisationID]Usage {
	used := make(map[dotterelpulley.OrganisationID]Usage, len(r.buckets))
	for id, b := range r.buckets {
		b.refill(now)
		used[id] = Usage{Admitted: b.admitted, Level: b.level}
	}
	return used
}

// Level returns what the organisation may use at once; ok is false without a cap.
func (r *Rationer) Level(now time.Time, id dotterelpulley.OrganisationID) (level Amount, ok bool) {
	b, ok := r.buckets[id]
	if !ok {
		return 0, false
	}
	b.refill(now)
	return b.level, true
}

// RecordPeerUsage takes another host's counts since its start.
func (r *Rationer) RecordPeerUsage(now time.Time, id dotterelpulley.HostID, incarnation uint64, used map[dotterelpulley.OrganisationID]Usage) {
	r.init()
	h, ok := r.hosts[id]
	if ok && h.incarnation != incarnation {
		r.expectNothing(h)
	}
	if !ok || h.incarnation != incarnation {
		// What an unknown host used before it was heard isn't charged; a restarted one began at nothing.
		before := used
		if ok {
			before = nil
		}
		h = &host{incarnation: incarnation, heard: now, used: before, assumed: map[dotterelpulley.OrganisationID]Amount{}}
		r.hosts[id] = h
	}
	for organisation, use := range used {
		b, known := r.buckets[organisation]
		if !known {
			continue
		}
		b.refill(now)
		since := use.Admitted - h.used[organisation].Admitted
		b.charge(since - h.assumed[organisation])
		r.expect(h, organisation, h.pace(now, organisation, since), now)
		if !ok && b.age(now) < youngFor {
			// Once for each host: what it tells later is charged, and stands in others' levels already.
			b.level = min(b.level, use.Level)
		}
	}
	clear(h.assumed)
	h.used, h.heard, h.charged = used, now, now
}

func (r *Rationer) silence() time.Duration {
	if r.SilenceTimeout > 0 {
		return r.SilenceTimeout
	}
	return defaultSilence
}

// chargeSilent charges an equal part of each cap for every host that has fallen silent and may still serve.
func (r *Rationer) chargeSilent(now time.Time) {
	r.chargeUnheard(now)
	for id, h := range r.hosts {
		silent := now.Sub(h.heard)
		if silent > forgetAfter {
			r.expectNothing(h)
			delete(r.hosts, id)
			continue
		}
		if silent < r.silence() {
			continue
		}
		r.expectNothing(h)
		passed := Amount(now.Sub(h.charged).Seconds())
		h.charged = now
		for organisation, b := range r.buckets {
			amount := passed * b.Rate / Amount(len(r.hosts)+1)
			b.charge(amount)
			h.assumed[organisation] += amount
		}
	}
}

// RemoveHost tells that a host has signed off and uses nothing any more.
func (r *Rationer) RemoveHost(id dotterelpulley.HostID) {
	if h, ok := r.hosts[id]; ok {
		r.expectNothing(h)
		delete(r.hosts, id)
	}
}
