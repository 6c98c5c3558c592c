package claimer

import "github.com/dotterelpulley/dotterelpulley"

// QuestionKind is what a question is about.
type QuestionKind int

// The kinds of question.
const (
	// DeclareUnrecorded states that the incarnation may run claims that the log doesn't show.
	DeclareUnrecorded QuestionKind = iota
	// DeclareRecorded states that all claims of the incarnation are on the log again.
	DeclareRecorded
	// AskUnrecorded asks whether the incarnation has declared unrecorded claims.
	AskUnrecorded
)

// Question is sent by one member to another.
type Question struct {
	Kind     QuestionKind
	About    dotterelpulley.Incarnation
	Revision int64
	// Base is the roster offset that the asker's decision is based on.
	Base Offset
}

// Reply answers a question.
type Reply struct {
	From     dotterelpulley.Incarnation
	Question Question
	// Accepted reports that a declaration is kept in memory.
	Accepted bool
	// Unrecorded reports that a declaration of unrecorded claims is known.
	Unrecorded bool
}

type declaration struct {
	revision   int64
	unrecorded bool
}

// witness remembers what other members have declared.
type witness struct {
	declared map[dotterelpulley.Incarnation]declaration
	// sealed is the highest base of a takeover question about each incarnation, which blocks its declarations until it renews.
	sealed map[dotterelpulley.Incarnation]Offset
}

func (w *witness) answer(roster *Roster, q Question) (accepted, unrecorded bool) {
	if w.declared == nil {
		w.declared = map[dotterelpulley.Incarnation]declaration{}
		w.sealed = map[dotterelpulley.Incarnation]Offset{}
	}
	have := w.declared[q.About]
	switch q.Kind {
	case DeclareUnrecorded:
		if w.isSealed(roster, q.About) {
			return false, have.unrecorded
		}
		if q.Revision >= have.revision {
			w.declared[q.About] = declaration{revision: q.Revision, unrecorded: true}
		}
		return true, true
	case DeclareRecorded:
		if q.Revision >= have.revision {
			w.declared[q.About] = declaration{revision: q.Revision}
		}
		return true, false
	case AskUnrecorded:
		w.sealed[q.About] = max(w.sealed[q.About], q.Base)
		return true, have.unrecorded
	}
	return false, have.unrecorded
}

// isSealed reports whether a member has asked about the incarnation for a takeover since its last renewal.
func (w *witness) isSealed(roster *Roster, id dotterelpulley.Incarnation) bool {
	base, sealed := w.sealed[id]
	if !sealed {
		return false
	}
	m, ok := roster.MemberOf(id)
	return !ok || m.Renewed <= base
}

func (w *witness) forget(id dotterelpulley.Incarnation) {
	delete(w.declared, id)
}
