package experimenter

import (
	"errors"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/dotterelpulley/dotterelpulley/emulator"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// Table is an experiment: every policy under every load, with the given number of seeds.
type Table struct {
	Seeds    int
	Policies []Policy
	Loads    []Load
}

// Policy is a named scheduling policy of the hosts.
type Policy struct {
	Name string
	scheduler.Policy
	// ForwardImmediately sends all requests without queueing; OmitWaiting removes the waiting work from the hosts' reports.
	ForwardImmediately bool
	OmitWaiting        bool
}

// Load is a named fleet and its load, without a policy.
type Load struct {
	Name string
	emulator.Fleet
}

type wireTable struct {
	Seeds    int          `toml:"seeds"`
	Policies []wirePolicy `toml:"policy"`
	Loads    []wireLoad   `toml:"load"`
}

type wirePolicy struct {
	Name        string  `toml:"name"`
	LateWait    float64 `toml:"late-wait"`
	Reserve     float64 `toml:"reserve"`
	LateReserve float64 `toml:"late-reserve"`
	ZonePenalty float64 `toml:"zone-penalty"`
	Spread      float64 `toml:"spread"`
	Forward     bool    `toml:"forward"`
	Reticent    bool    `toml:"reticent"`
	// Without holds the names of the mechanisms that are switched off.
	Without []string `toml:"without"`
}

type wireLoad struct {
	Name     string    `toml:"name"`
	Hosts    int       `toml:"hosts"`
	Engines  []float64 `toml:"engines"`
	Slots    int       `toml:"slots"`
	Span     string    `toml:"span"`
	Interval string    `toml:"interval"`
	// Changes is the shortest interval between two changes that a host tells; none are told if it is empty.
	Changes string      `toml:"changes"`
	Kinds   []wireKind  `toml:"kind"`
	Surges  []wireSurge `toml:"surge"`
}

type wireKind struct {
	Rank         int     `toml:"rank"`
	PerSecond    float64 `toml:"per-second"`
	Prompt       float64 `toml:"prompt"`
	PromptSpread float64 `toml:"prompt-spread"`
	Answer       float64 `toml:"answer"`
	AnswerSpread float64 `toml:"answer-spread"`
	Objective    string  `toml:"objective"`
	Pause        string  `toml:"pause"`
	Deadline     string  `toml:"deadline"`
	Worth        float64 `toml:"worth"`
	Late         float64 `toml:"late"`
}

type wireSurge struct {
	At    string  `toml:"at"`
	For   string  `toml:"for"`
	Times float64 `toml:"times"`
}

// tableDecoder parses the durations of a table and collects all errors in it.
type tableDecoder struct {
	errs []error
}

func (t *tableDecoder) parseDuration(where, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		t.errs = append(t.errs, fmt.Errorf("%s: %q is no time above zero, such as 400ms", where, text))
	}
	return d
}

// Decode decodes a table from TOML and returns all errors joined.
func Decode(data []byte) (Table, error) {
	var w wireTable
	if err := toml.Unmarshal(data, &w); err != nil {
		return Table{}, fmt.Errorf("decode the table: %w", err)
	}
	var decoder tableDecoder
	t := Table{Seeds: w.Seeds}
	if w.Seeds < 1 {
		decoder.errs = append(decoder.errs, fmt.Errorf("seeds: %d, at least one is needed", w.Seeds))
	}
	if len(w.Policies) == 0 || len(w.Loads) == 0 {
		decoder.errs = append(decoder.errs, errors.New("there must be a policy and a load"))
	}
	for _, p := range w.Policies {
		without, err := scheduler.ParseMechanisms(p.Without)
		if err != nil {
			decoder.errs = append(decoder.errs, fmt.Errorf("policy %q: %w", p.Name, err))
		}
		t.Policies = append(t.Policies, Policy{
			Name: p.Name, ForwardImmediately: p.Forward, OmitWaiting: p.Reticent,
			Policy: scheduler.Policy{
				MaxWaitFactor: p.LateWait, Reserve: p.Reserve, LateReserve: p.LateReserve, ZonePenalty: p.ZonePenalty, Spread: p.Spread,
				Without: without,
			},
		})
	}
	for _, l := range w.Loads {
		t.Loads = append(t.Loads, l.load(&decoder))
	}
	return t, errors.Join(decoder.errs...)
}

func (w wireLoad) load(decoder *tableDecoder) Load {
	l := Load{Name: w.Name, Fleet: emulator.Fleet{
		Hosts: w.Hosts, Duration: decoder.parseDuration(w.Name+": span", w.Span), ReportInterval: decoder.parseDuration(w.Name+": interval", w.Interval),
	}}
	if w.Changes != "" {
		l.ChangeInterval = decoder.parseDuration(w.Name+": changes", w.Changes)
	}
	if w.Hosts < 1 || len(w.Engines) == 0 || len(w.Kinds) == 0 {
		decoder.errs = append(decoder.errs, fmt.Errorf("load %q: there must be a host, an engine and a kind", w.Name))
	}
	for _, slowness := range w.Engines {
		if slowness <= 0 {
			decoder.errs = append(decoder.errs, fmt.Errorf("load %q: an engine's slowness is %g, it must be above zero", w.Name, slowness))
		}
		l.Engines = append(l.Engines, emulator.ChunkedEngine{Slowness: slowness, Slots: w.Slots})
	}
	for i, k := range w.Kinds {
		where := fmt.Sprintf("load %q, kind %d", w.Name, i+1)
		if k.PerSecond <= 0 || k.Prompt <= 0 || k.Answer <= 0 {
			decoder.errs = append(decoder.errs, fmt.Errorf("%s: per-second, prompt and answer must be above zero", where))
		}
		l.Kinds = append(l.Kinds, emulator.RequestKind{
			Priority: scheduler.Priority(k.Rank), RequestsPerSecond: k.PerSecond, PromptTokens: k.Prompt, PromptSpread: k.PromptSpread,
			OutputTokens: k.Answer, OutputSpread: k.AnswerSpread, Objective: decoder.parseDuration(where+", objective", k.Objective),
			MaxEventInterval: decoder.parseDuration(where+", pause", k.Pause), Deadline: decoder.parseDuration(where+", deadline", k.Deadline), Worth: k.Worth, LateWorth: k.Late,
		})
	}
	for i, surge := range w.Surges {
		where := fmt.Sprintf("load %q, surge %d", w.Name, i+1)
		l.Surges = append(l.Surges, emulator.Surge{Start: decoder.parseDuration(where+", at", surge.At), Duration: decoder.parseDuration(where+", for", surge.For), Factor: surge.Times})
	}
	return l
}
