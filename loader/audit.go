package loader

// Audit is the result of comparing the answers with the ledgers.
type Audit struct {
	// Runs counts the runs that were started for the keys of this load.
	Runs int
	// Duplicates counts the keys that were started more than once.
	Duplicates int
	// FalseNotRun counts the keys that ran although their callers were told that nothing had run.
	FalseNotRun int
	// Unfounded counts the complete answers without a matching completed run in the ledgers.
	Unfounded int
	// Prefill counts the computed prompt tokens, WastedPrefill those that led to no complete answer in time.
	Prefill       int
	WastedPrefill int
	// Examples lists some of the faulty keys.
	Examples []string
}

const maxExamples = 5

// AuditRuns compares the results with the runs of all ledgers.
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
		a.addExample("duplicate", key)
	}
	if starts > 0 && r.NotRun() {
		a.FalseNotRun++
		a.addExample("false-not-run", key)
	}
	answer, ok := r.Completed()
	if ok && !hasMatchingRun(answer, runs) {
		a.Unfounded++
		a.addExample("unfounded", key)
	}
	inTime := ok && answer.EndedAt <= r.Arrival.Timeout
	for _, run := range runs {
		a.Prefill += int(run.Prefilled)
		if inTime {
			a.WastedPrefill += int(run.WastedPrefill)
		} else {
			a.WastedPrefill += int(run.Prefilled)
		}
	}
}

// countStarts counts the runs that do not continue a run handed over by another endpoint.
func countStarts(runs []Run) int {
	starts := 0
	for _, run := range runs {
		if !run.Continued {
			starts++
		}
	}
	return starts
}

func (a *Audit) addExample(fault, key string) {
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, fault+" "+key)
	}
}

func hasMatchingRun(s Send, runs []Run) bool {
	for _, run := range runs {
		if run.Completed() && run.Digest == s.Digest {
			return true
		}
	}
	return false
}

// HasFaults reports whether a key ran twice or ran despite a not-run refusal, or an answer has no matching run.
func (a Audit) HasFaults() bool {
	return a.Duplicates+a.FalseNotRun+a.Unfounded > 0
}
