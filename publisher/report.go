package publisher

import (
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/dotterelpulley/dotterelpulley/decoder"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// report collects the problems found in one file while its values are converted.
type report struct {
	lines    decoder.Lines
	problems []decoder.Problem
}

func (r *report) add(key, format string, args ...any) {
	r.problems = append(r.problems, r.lines.Problem(key, fmt.Sprintf(format, args...)))
}

func (r *report) addFaults(faults []recorder.Fault) {
	for _, f := range faults {
		r.add(f.Key, "%s", f.Detail)
	}
}

// duration parses a duration, which must be above zero, and returns defaultValue if the text is empty or invalid.
func (r *report) duration(key, text string, defaultValue time.Duration) time.Duration {
	if text == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.add(key, "%q is not a duration such as \"30s\"", text)
		return defaultValue
	}
	if d <= 0 {
		r.add(key, "%s is not above 0s", d)
		return defaultValue
	}
	return d
}

func (r *report) err() error {
	sort.SliceStable(r.problems, func(i, j int) bool { return r.problems[i].Line < r.problems[j].Line })
	errs := make([]error, 0, len(r.problems))
	for _, p := range r.problems {
		errs = append(errs, p)
	}
	return errors.Join(errs...)
}
