package follower

import (
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// maxHeld bounds the records that wait for an earlier one.
const maxHeld = 4096

// Change is one record that the follower has folded in.
type Change struct {
	Stream  appender.Stream
	Verdict recorder.Verdict
	// Body is what the record says; nil when the record was damaged.
	Body recorder.Body
}

// folder is the fold of one stream.
type folder interface {
	apply(at recorder.Place, env recorder.Envelope) recorder.Verdict
	// adopt takes a snapshot's state in place of the own one, if the body is a snapshot that counts there.
	adopt(at recorder.Place, body recorder.Body) bool
}

// track keeps one stream's records in order.
type track struct {
	stream appender.Stream
	// folded is the offset of the newest record in the fold.
	folded appender.Offset
	// detached is true while records are missing that the log no longer keeps, until a snapshot is met.
	detached bool
	held     map[appender.Offset]appender.Record
	// tail holds the records from the newest snapshot on, for peers.
	tail []appender.Record
	// goal is the highest end of the stream that was heard of.
	goal appender.Offset
	// reached is true once the fold has caught up with a source of the newest record.
	reached bool
	told    bool
}

func (t *track) apply(f folder, r appender.Record) []Change {
	if r.Offset <= t.folded {
		return nil
	}
	t.goal = max(t.goal, r.Offset)
	if r.Offset > t.folded+1 || t.detached {
		if changes, adopted := t.jump(f, r); adopted {
			return append(changes, t.release(f)...)
		}
	}
	if r.Offset > t.folded+1 {
		t.hold(r)
		return nil
	}
	changes := []Change{t.fold(f, r)}
	return append(changes, t.release(f)...)
}

// jump adopts a snapshot that lies ahead of the fold.
func (t *track) jump(f folder, r appender.Record) ([]Change, bool) {
	env, err := recorder.Decode(r.Data)
	if err != nil || !f.adopt(place(r), env.Body) {
		return nil, false
	}
	t.folded = r.Offset
	t.detached = false
	t.tail = []appender.Record{r}
	verdict := recorder.Verdict{Offset: r.Offset, ID: env.ID, Accepted: true}
	return []Change{{Stream: t.stream, Verdict: verdict, Body: env.Body}}, true
}

func (t *track) hold(r appender.Record) {
	if t.held == nil {
		t.held = map[appender.Offset]appender.Record{}
	}
	if len(t.held) < maxHeld {
		t.held[r.Offset] = r
	}
}

func (t *track) release(f folder) []Change {
	var changes []Change
	for len(t.held) > 0 {
		r, ok := t.held[t.folded+1]
		if !ok {
			break
		}
		changes = append(changes, t.fold(f, r))
	}
	for offset := range t.held {
		if offset <= t.folded {
			delete(t.held, offset)
		}
	}
	t.settle()
	return changes
}

func (t *track) fold(f folder, r appender.Record) Change {
	t.folded = r.Offset
	delete(t.held, r.Offset)
	env, err := recorder.Decode(r.Data)
	if err != nil {
		t.tail = append(t.tail, r)
		verdict := recorder.Verdict{Offset: r.Offset, Reason: "damaged: " + err.Error()}
		return Change{Stream: t.stream, Verdict: verdict}
	}
	verdict := recorder.Verdict{Offset: r.Offset, ID: env.ID, Reason: "earlier records are missing"}
	if !t.detached {
		verdict = f.apply(place(r), env)
	}
	if verdict.Accepted && snapshot(env.Body) {
		t.tail = nil
	}
	t.tail = append(t.tail, r)
	return Change{Stream: t.stream, Verdict: verdict, Body: env.Body}
}

// trim notes that the log keeps no record before first.
func (t *track) trim(first appender.Offset) {
	if first > t.folded+1 {
		t.folded = first - 1
		t.detached = true
		t.tail = nil
	}
}

// end notes that a source of the newest record has the stream up to the offset.
func (t *track) end(offset appender.Offset) {
	t.goal = max(t.goal, offset)
	t.told = true
	t.settle()
}

func (t *track) settle() {
	if t.told && !t.detached && t.folded >= t.goal {
		t.reached = true
	}
}

// since returns records from the offset on, or from the newest snapshot when the offset lies before it.
func (t *track) since(from appender.Offset, limit int) []appender.Record {
	if len(t.tail) == 0 || t.detached {
		return nil
	}
	skip := int(from - t.tail[0].Offset)
	if skip < 0 {
		skip = 0
	}
	if skip >= len(t.tail) {
		return nil
	}
	records := t.tail[skip:]
	return records[:min(limit, len(records))]
}

func place(r appender.Record) recorder.Place {
	return recorder.Place{Offset: r.Offset, Appended: r.Appended.UTC()}
}

func snapshot(body recorder.Body) bool {
	switch body.(type) {
	case recorder.ConfigurationSnapshot, recorder.MovesSnapshot:
		return true
	case recorder.Delta, recorder.Note, recorder.Claim, recorder.Renewal, recorder.Release,
		recorder.Opening, recorder.Step, recorder.Outcome, recorder.BadVersion:
		return false
	}
	return false
}
