package experimenter

import (
	"errors"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/dotterelpulley/dotterelpulley/emulator"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// Table is an experiment: every policy under every load, with as many seeds.
type Table struct {
	Seeds    int
	Policies []Policy
	Loads    []Load
}

// Policy is a way to place, to wait and to refuse.
type Policy struct {
	Name string
	scheduler.Policy
	// Forward sends everything at once, Reticent hosts don't tell what waits on them.
	Forward  bool
	Reticent bool
}

// Load is a fleet under some load, without a policy.
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
}

type wireLoad struct {
	Name     string      `toml:"name"`
	Hosts    int         `toml:"hosts"`
	Engines  []float64   `toml:"engines"`
	Slots    int         `toml:"slots"`
	Span     string      `toml:"span"`
	Interval string      `toml:"interval"`
	Kinds    []wireKind  `toml:"kind"`
	Surges   []wireSurge `toml:"surge"`
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

// spans parses durations and keeps what is wrong with them.
type spans struct {
	errs []error
}

func (s *spans) parse(where, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		s.errs = append(s.errs, fmt.Errorf("%s: %q is no time above zero, such as 400ms", where, text))
	}
	return d
}

// Decode returns the table in the TOML, or all that is wrong with it.
func Decode(data []byte) (Table, error) {
	var w wireTable
	if err := toml.Unmarshal(data, &w); err != nil {
		return Table{}, fmt.Errorf("decode the table: %w", err)
	}
	var s spans
	t := Table{Seeds: w.Seeds}
	if w.Seeds < 1 {
		s.errs = append(s.errs, fmt.Errorf("seeds: %d, at least one is needed", w.Seeds))
	}
	if len(w.Policies) == 0 || len(w.Loads) == 0 {
		s.errs = append(s.errs, errors.New("there must be a policy and a load"))
	}
	for _, p := range w.Policies {
		t.Policies = append(t.Policies, Policy{
			Name: p.Name, Forward: p.Forward, Reticent: p.Reticent,
			Policy: scheduler.Policy{
				MaxWaitFactor: p.LateWait, Reserve: p.Reserve, LateReserve: p.LateReserve, ZonePenalty: p.ZonePenalty, Spread: p.Spread,
			},
		})
	}
	for _, l := range w.Loads {
		t.Loads = append(t.Loads, l.load(&s))
	}
	return t, errors.Join(s.errs...)
}

func (w wireLoad) load(s *spans) Load {
	l := Load{Name: w.Name, Fleet: emulator.Fleet{
		Hosts: w.Hosts, Span: s.parse(w.Name+": span", w.Span), Lag: s.parse(w.Name+": interval", w.Interval),
	}}
	if w.Hosts < 1 || len(w.Engines) == 0 || len(w.Kinds) == 0 {
		s.errs = append(s.errs, fmt.Errorf("load %q: there must be a host, an engine and a kind", w.Name))
	}
	for _, slowness := range w.Engines {
		if slowness <= 0 {
			s.errs = append(s.errs, fmt.Errorf("load %q: an engine's slowness is %g, it must be above zero", w.Name, slowness))
		}
		l.Engines = append(l.Engines, emulator.ChunkedEngine{Slowness: slowness, Slots: w.Slots})
	}
	for i, k := range w.Kinds {
		where := fmt.Sprintf("load %q, kind %d", w.Name, i+1)
		if k.PerSecond <= 0 || k.Prompt <= 0 || k.Answer <= 0 {
			s.errs = append(s.errs, fmt.Errorf("%s: per-second, prompt and answer must be above zero", where))
		}
		l.Kinds = append(l.Kinds, emulator.Kind{
			Rank: scheduler.Priority(k.Rank), PerSecond: k.PerSecond, Prompt: k.Prompt, PromptSpread: k.PromptSpread,
			Output: k.Answer, OutputSpread: k.AnswerSpread, Objective: s.parse(where+", objective", k.Objective),
			Pause: s.parse(where+", pause", k.Pause), Deadline: s.parse(where+", deadline", k.Deadline), Worth: k.Worth, Late: k.Late,
		})
	}
	for i, one := range w.Surges {
		where := fmt.Sprintf("load %q, surge %d", w.Name, i+1)
		l.Surges = append(l.Surges, emulator.Surge{At: s.parse(where+", at", one.At), For: s.parse(where+", for", one.For), Times: one.Times})
	}
	return l
}
