package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// outageThreshold is the time without an answer after which the store may have been unavailable.
	outageThreshold = 1200 * time.Millisecond
	// expiryGrace is how long a registration that disappeared during an outage of the store, or with a copy of it, is kept
	// after the store's return, for its endpoint to write it again.
	expiryGrace = 1900 * time.Millisecond
	// removalMemory is how long a removed registration is remembered, so that no older copy of it brings the endpoint back.
	removalMemory = 5 * time.Minute
	// leavingMemory is how long an instance that said it was leaving is remembered, many times an endpoint's shutdown.
	leavingMemory = 10 * time.Minute
	// maxLeaving bounds the remembered instances.
	maxLeaving = 4096
)

// Registrar holds the registrations that one host knows; the zero value is empty.
type Registrar struct {
	known map[dotterelpulley.EndpointID]entry
	// removed holds the last registration of each endpoint that was removed.
	removed map[dotterelpulley.EndpointID]removal
	// pendingRemovals are registrations that disappeared, with the outage or the copy that may be the reason.
	pendingRemovals map[dotterelpulley.EndpointID]possibleOutage
	// leaving holds the instances that said they were leaving, with the time of the first word.
	leaving map[InstanceKey]time.Time
	// complete means that all registrations have been read once, here or by another host.
	complete bool
	// contact is the latest contact of any host with the store that is known here.
	contact Contact
	// reading means that this host reads the store itself, so that a pause of its answers may be an outage.
	reading bool
	// outage is the last time in which registrations may have expired.
	outage possibleOutage
	// era is the newest era of the records applied, position the offset up to which its log is known; zero if it isn't.
	era      dotterelpulley.StoreEra
	position int64
}

type entry struct {
	Record
	// era is the era in which the record was read.
	era dotterelpulley.StoreEra
	// runs means that the endpoint has written since this host learned of it; a copy of the store may hold it though it has ended.
	runs bool
}

type removal struct {
	Registration
	era dotterelpulley.StoreEra
	// position is the offset at which the registration was gone; zero if that isn't known.
	position int64
	at       time.Time
}

// Change is a registration that was added, replaced or removed.
type Change struct {
	Record
	Removed bool
}

func (r *Registrar) init() {
	if r.known == nil {
		r.known = map[dotterelpulley.EndpointID]entry{}
		r.removed = map[dotterelpulley.EndpointID]removal{}
		r.pendingRemovals = map[dotterelpulley.EndpointID]possibleOutage{}
		r.leaving = map[InstanceKey]time.Time{}
	}
}

// Batch is what the store or another host said of registrations at one time.
type Batch struct {
	Era dotterelpulley.StoreEra
	// Complete means that Records holds all registrations; otherwise only what has changed.
	Complete bool
	Records  []Record
	Removed  []dotterelpulley.EndpointID
	// Position is the offset up to which the batch knows the store's log; zero if the host that relayed it doesn't tell.
	Position int64
	// Unreadable are endpoints whose record can't be decoded: it changes nothing, and the endpoint isn't gone.
	Unreadable []dotterelpulley.EndpointID
}

// ApplyStore applies what this host read from the store and returns the changes.
func (r *Registrar) ApplyStore(now time.Time, b Batch) []Change {
	r.noteAnswer(now)
	// What the store itself holds is news wherever this host has read to.
	r.position = 0
	return r.apply(now, b)
}

// noteAnswer records that the store answered this host.
func (r *Registrar) noteAnswer(now time.Time) {
	if pause := now.Sub(r.contact.Until); r.reading && !r.contact.Until.IsZero() && pause > outageThreshold {
		r.outage = possibleOutage{from: r.contact.Until, until: now}
	}
	r.reading = true
	r.contact = r.contact.join(Contact{Since: now, Until: now})
}

// NoteFailure records that the store did not answer this host.
func (r *Registrar) NoteFailure() {
	r.reading = true
}

// PauseReading records that this host stops reading the store, so that the time until it reads again is no outage.
func (r *Registrar) PauseReading() {
	r.reading = false
}

// Contact returns the latest contact of any host with the store that is known here.
func (r *Registrar) Contact() Contact {
	return r.contact
}

// ApplyContact applies the contact with the store that another host tells, and returns the removals that it shows to be no
// consequence of an outage.
func (r *Registrar) ApplyContact(now time.Time, told Contact) []Change {
	r.contact = r.contact.join(told)
	if r.outage.isRefutedBy(r.contact) {
		r.outage = possibleOutage{}
	}
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(r.pendingRemovals)) {
		if r.pendingRemovals[id].isRefutedBy(r.contact) {
			changes = r.remove(now, id, r.position, changes)
		}
	}
	return changes
}

// ApplyPeer applies what another host that reads the store relayed and returns the changes; false means that the other
// host is still in an earlier era, whose records are dropped.
func (r *Registrar) ApplyPeer(now time.Time, b Batch) ([]Change, bool) {
	if b.Era < r.era {
		return nil, false
	}
	return r.apply(now, b), true
}

// apply applies the batch. Registrations expire during an outage although their endpoints are running, and a copy lacks
// those that were written after it; both are written again soon after the store's return.
func (r *Registrar) apply(now time.Time, b Batch) []Change {
	r.init()
	if b.Era > r.era && len(r.known) > 0 {
		r.outage = possibleOutage{until: now, lostRecords: true}
	}
	r.complete = r.complete || b.Complete
	changes := r.put(b)
	for _, id := range r.missing(b) {
		e, ok := r.known[id]
		if !ok || e.era == b.Era && b.Position > 0 && e.Written > b.Position {
			// The other host hasn't read the registration yet.
			continue
		}
		if e.State == dotterelpulley.EndpointLive && now.Sub(r.outage.until) < expiryGrace {
			if _, pending := r.pendingRemovals[id]; !pending {
				r.pendingRemovals[id] = r.outage
			}
			continue
		}
		changes = r.remove(now, id, b.Position, changes)
	}
	changes = append(changes, r.RemoveExpired(now)...)
	r.prune(now)
	return changes
}

// RemoveExpired removes the registrations that are still missing at the end of their grace, and returns the changes.
func (r *Registrar) RemoveExpired(now time.Time) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(r.pendingRemovals)) {
		if now.Sub(r.pendingRemovals[id].until) >= expiryGrace {
			changes = r.remove(now, id, r.position, changes)
		}
	}
	return changes
}

// Complete reports whether all registrations have been read once; until then, one that is missing here isn't gone.
func (r *Registrar) Complete() bool {
	return r.complete
}

// Position returns the offset up to which the log of the newest era is known; zero if it isn't.
func (r *Registrar) Position() int64 {
	return r.position
}

// PendingRemovals are the registrations that are kept for a while although the store lacks them.
type PendingRemovals struct {
	// ReturnedAt is when the store returned, as far as this host knows; zero if it wasn't away.
	ReturnedAt time.Time
	Endpoints  []dotterelpulley.EndpointID
	// Until is when the first of them is removed.
	Until time.Time
	// Refutable means that another host's contact with the store can show that some of them didn't expire in an outage.
	Refutable bool
}

// Pending returns the registrations that are kept although the store lacks them.
func (r *Registrar) Pending() PendingRemovals {
	pending := PendingRemovals{ReturnedAt: r.outage.until, Endpoints: slices.Sorted(maps.Keys(r.pendingRemovals))}
	for _, o := range r.pendingRemovals {
		if end := o.until.Add(expiryGrace); pending.Until.IsZero() || end.Before(pending.Until) {
			pending.Until = end
		}
		pending.Refutable = pending.Refutable || !o.lostRecords
	}
	return pending
}

// Runs reports whether the endpoint has written since this host learned of it.
func (r *Registrar) Runs(id dotterelpulley.EndpointID) bool {
	return r.known[id].runs
}

// Written returns the offset after the endpoint's latest record, which may have changed nothing but its sequence number.
func (r *Registrar) Written(id dotterelpulley.EndpointID) int64 {
	return r.known[id].Written
}

// put adds the batch's records that are news.
func (r *Registrar) put(b Batch) []Change {
	if b.Era > r.era {
		r.era, r.position = b.Era, 0
	}
	position := r.position
	r.position = max(r.position, b.Position)
	var changes []Change
	for _, record := range b.Records {
		known, ok := r.known[record.ID]
		if r.isOutdated(record, b.Era, position) {
			continue
		}
		if ok && known.era < b.Era && known.StartedAt.Equal(record.StartedAt) {
			// An older record with the same content, from a copy, must not make later ones of other copies look new.
			record.Sequence = max(record.Sequence, known.Sequence)
		}
		delete(r.pendingRemovals, record.ID)
		delete(r.removed, record.ID)
		runs := ok && (known.runs || record.replaces(known.Registration))
		r.known[record.ID] = entry{Record: record, era: b.Era, runs: runs}
		if !ok || known.changes(record.Registration) {
			changes = append(changes, Change{Record: record})
		}
	}
	return changes
}

// isOutdated reports whether a record of the era was written before what this host knows of its endpoint: another host may be
// behind, and the copy from which the store returned may hold a record that the store had already replaced. The position is the
// one up to which this host knows the log: an endpoint that it doesn't know was gone there.
func (r *Registrar) isOutdated(record Record, era dotterelpulley.StoreEra, position int64) bool {
	if known, ok := r.known[record.ID]; ok {
		if known.era == era && known.Written > 0 && record.Written > 0 {
			return record.Written < known.Written
		}
		return known.era <= era && known.changes(record.Registration) && !record.replaces(known.Registration)
	}
	removed, ok := r.removed[record.ID]
	if !ok {
		return record.Written > 0 && record.Written <= position
	}
	if removed.era == era && removed.position > 0 && record.Written > 0 {
		return record.Written <= removed.position
	}
	return removed.era <= era && !record.replaces(removed.Registration)
}

// missing returns the endpoints that the batch says are gone, by id.
func (r *Registrar) missing(b Batch) []dotterelpulley.EndpointID {
	if !b.Complete {
		return b.Removed
	}
	present := map[dotterelpulley.EndpointID]bool{}
	for _, record := range b.Records {
		present[record.ID] = true
	}
	for _, id := range b.Unreadable {
		present[id] = true
	}
	var ids []dotterelpulley.EndpointID
	for _, id := range slices.Sorted(maps.Keys(r.known)) {
		if !present[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// remove removes a registration that was gone at the position.
func (r *Registrar) remove(now time.Time, id dotterelpulley.EndpointID, position int64, changes []Change) []Change {
	e, ok := r.known[id]
	if !ok {
		return changes
	}
	delete(r.known, id)
	delete(r.pendingRemovals, id)
	r.removed[id] = removal{Registration: e.Registration, era: r.era, position: position, at: now}
	return append(changes, Change{Record: e.Record, Removed: true})
}

// prune forgets what is too old to matter.
func (r *Registrar) prune(now time.Time) {
	maps.DeleteFunc(r.removed, func(_ dotterelpulley.EndpointID, x removal) bool { return now.Sub(x.at) > removalMemory })
	maps.DeleteFunc(r.leaving, func(_ InstanceKey, since time.Time) bool { return now.Sub(since) > leavingMemory })
}

// MarkLeaving records that an instance said it is leaving, to this host or another one, and reports whether that is news. It
// holds for as long as the instance lives, whatever the store says of it later.
func (r *Registrar) MarkLeaving(now time.Time, key InstanceKey) bool {
	r.init()
	if _, ok := r.leaving[key]; ok || len(r.leaving) >= maxLeaving {
		return false
	}
	r.leaving[key] = now
	return true
}

// Instance returns the key of the endpoint's current instance.
func (r *Registrar) Instance(id dotterelpulley.EndpointID) (InstanceKey, bool) {
	e, ok := r.known[id]
	return e.Instance(), ok
}

// Registrations returns all registrations by id; those of instances that said they were leaving are marked so.
func (r *Registrar) Registrations() []Registration {
	list := make([]Registration, 0, len(r.known))
	for _, id := range slices.Sorted(maps.Keys(r.known)) {
		registration := r.known[id].Registration
		if _, ok := r.leaving[registration.Instance()]; ok {
			registration.State = dotterelpulley.EndpointLeaving
		}
		list = append(list, registration)
	}
	return list
}
