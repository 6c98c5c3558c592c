package recorder

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// MaxCanaryShare is the highest canary share that a release note may ask for.
const MaxCanaryShare = 0.5

// Fault is one reason to refuse a configuration or a release note.
type Fault struct {
	// Key is the key path in the file, such as "changes[0].service".
	Key    string
	Detail string
}

type faults []Fault

func (f *faults) add(key, format string, args ...any) {
	*f = append(*f, Fault{Key: key, Detail: fmt.Sprintf(format, args...)})
}

// CheckNote validates the note against the configuration, with its deadline measured from now, and returns every fault.
func CheckNote(note dotterelpulley.ReleaseNote, c dotterelpulley.Configuration, now time.Time) []Fault {
	var f faults
	if note.ID == "" {
		f.add("id", "must not be empty")
	}
	if !note.Deadline.After(now) {
		f.add("deadline", "%s is in the past", note.Deadline.Format(time.RFC3339))
	}
	if note.CanaryShare <= 0 || note.CanaryShare > MaxCanaryShare {
		f.add("canary-share", "%g is outside (0, %g]", note.CanaryShare, MaxCanaryShare)
	}
	if note.ObservationTime <= 0 {
		f.add("watch", "%s is not above 0s", note.ObservationTime)
	}
	if len(note.Changes) == 0 {
		f.add("changes", "must hold at least one change")
	}
	for i, change := range note.Changes {
		checkChange(&f, fmt.Sprintf("changes[%d]", i), note, change, c)
	}
	if cycle := dependencyCycle(note); cycle != "" {
		f.add("changes", "the order of service %q waits on itself", cycle)
	}
	return f
}

func checkChange(f *faults, key string, note dotterelpulley.ReleaseNote, change dotterelpulley.Change, c dotterelpulley.Configuration) {
	settings, known := c.Service(change.Service)
	if !known {
		f.add(key+".service", "service %q is not in the configuration", change.Service)
	}
	if known && settings.Kind == dotterelpulley.ServicePlain {
		f.add(key+".service", "service %q is plain and has no versions to move", change.Service)
	}
	checkAction(f, key, change)
	if n := countChanges(note, change.Service); n > 1 {
		f.add(key+".service", "service %q stands in %d changes of one note; 1 is allowed", change.Service, n)
	}
	for i, after := range change.After {
		if countChanges(note, after) == 0 {
			f.add(fmt.Sprintf("%s.after[%d]", key, i), "service %q has no change in this note", after)
		}
	}
}

func checkAction(f *faults, key string, change dotterelpulley.Change) {
	switch change.Action {
	case dotterelpulley.ChangeAdd:
		requireTo(f, key, change)
	case dotterelpulley.ChangeReplace:
		requireFrom(f, key, change)
		requireTo(f, key, change)
		if change.From.Version == change.To.Version {
			f.add(key+".to.version", "%q is the version that the change starts from", change.To.Version)
		}
	case dotterelpulley.ChangeWithdraw:
		requireFrom(f, key, change)
		if change.To != (dotterelpulley.Build{}) {
			f.add(key+".to", "a withdrawal has no target build")
		}
	default:
		f.add(key+".action", "must be \"add\", \"change\" or \"withdraw\"")
	}
}

func requireFrom(f *faults, key string, change dotterelpulley.Change) {
	if change.From.Version == "" {
		f.add(key+".from", "must name the version that the change starts from")
	}
}

func requireTo(f *faults, key string, change dotterelpulley.Change) {
	if change.To.Version == "" {
		f.add(key+".to.version", "must not be empty")
	}
	if change.To.Model == "" {
		f.add(key+".to.model", "must not be empty")
	}
}

func countChanges(note dotterelpulley.ReleaseNote, service dotterelpulley.ServiceID) int {
	n := 0
	for _, change := range note.Changes {
		if change.Service == service {
			n++
		}
	}
	return n
}

func dependencyCycle(note dotterelpulley.ReleaseNote) dotterelpulley.ServiceID {
	dependencies := map[dotterelpulley.ServiceID][]dotterelpulley.ServiceID{}
	for _, change := range note.Changes {
		dependencies[change.Service] = change.After
	}
	for _, change := range note.Changes {
		if dependsOn(dependencies, change.Service, change.Service, nil) {
			return change.Service
		}
	}
	return ""
}

func dependsOn(dependencies map[dotterelpulley.ServiceID][]dotterelpulley.ServiceID, service dotterelpulley.ServiceID, target dotterelpulley.ServiceID, visited []dotterelpulley.ServiceID) bool {
	for _, next := range dependencies[service] {
		if next == target {
			return true
		}
		if slices.Contains(visited, next) {
			continue
		}
		if dependsOn(dependencies, next, target, append(visited, next)) {
			return true
		}
	}
	return false
}
