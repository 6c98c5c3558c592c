package loader

// Audit is what the ledgers say of the answers.
type Audit struct {
	// Runs counts the starts of this load's keys.
	Runs int
	// Duplicates counts keys that were started more than once.
	Duplicates int
	// FalseNotRun counts keys that a caller was told had not run, and that have.
	FalseNotRun int
	// Unfounded counts whole answers that no whole run in the ledgers gave.
	Unfounded int
	// Prefill counts prompt tokens computed, WastedPrefill those that gave no whole answer in time.
	Prefill       int
	WastedPrefill int
	// Examples names a few keys at fault.
	Examples []string
}

const maxExamples = 5

// AuditRuns holds the results against all ledgers' runs.
func AuditRuns(results []Result, runs []Run) Audit {
	byKey := map[string][]Run{}
	for _, run := range runs {
		byKey[run.Key] = append(byKey[run.Key], run)
	}
	var a Audit
	for _, r := range results {
		a.add(r, byKey[r.Arrival.Request.Key.String()])
	}
	return a
}

func (a *Audit) add(r Result, runs []Run) {
	starts := countStarts(runs)
	a.Runs += starts
	key := r.Arrival.Request.Key.String()
	if starts > 1 {
		a.Duplicates++
		a.example("duplicate", key)
	}
	if starts > 0 && r.NotRun() {
		a.FalseNotRun++
		a.example("false-not-run", key)
	}
	whole, ok := r.Whole()
	if ok && !founded(whole, runs) {
		a.Unfounded++
		a.example("unfounded", key)
	}
	useful := ok && whole.Ended <= r.Arrival.Within
	for _, run := range runs {
		a.Prefill += int(run.Prefilled)
		if useful {
			a.WastedPrefill += int(run.Wasted)
		} else {
			a.WastedPrefill += int(run.Prefilled)
		}
	}
}

// countStarts leaves out the runs that another endpoint handed over.
func countStarts(runs []Run) int {
	starts := 0
	for _, run := range runs {
		if !run.Continued {
			starts++
		}
	}
	return starts
}

func (a *Audit) example(fault, key string) {
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, fault+" "+key)
	}
}

func founded(s Send, runs []Run) bool {
	for _, run := range runs {
		if run.Whole() && run.Digest == s.Digest {
			return true
		}
	}
	return false
}

// Broken reports whether a run was repeated, denied or invented.
func (a Audit) Broken() bool {
	return a.Duplicates+a.FalseNotRun+a.Unfounded > 0
}
