package assessor

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

type wireTally struct {
	Requests      int            `json:"requests,omitempty"`
	Failures      int            `json:"failures,omitempty"`
	FirstToken    map[string]int `json:"first-token,omitempty"`
	BetweenTokens map[string]int `json:"between-tokens,omitempty"`
}

type wireCell struct {
	Route      string    `json:"route"`
	Tier       string    `json:"tier"`
	Generation string    `json:"generation"`
	Load       string    `json:"load"`
	Old        wireTally `json:"old"`
	StepOld    wireTally `json:"step-old"`
	StepNew    wireTally `json:"step-new"`
	RecentOld  wireTally `json:"recent-old"`
	RecentNew  wireTally `json:"recent-new"`
}

type wireEvidence struct {
	Note    string `json:"note"`
	Service string `json:"service"`
	Step    int    `json:"step"`
	Old     string `json:"old"`
	New     string `json:"new"`
	// OrderEra and OrderNext are unknown to builds up to fd820be.
	OrderEra  uint64     `json:"order-era,omitempty"`
	OrderNext int64      `json:"order-next,omitempty"`
	Began     time.Time  `json:"began"`
	Cells     []wireCell `json:"cells"`
	First     wireSpread `json:"first-token-spread"`
	Between   wireSpread `json:"between-tokens-spread"`
}

type wireSpread struct {
	Slowest int                       `json:"slowest,omitempty"`
	Old     map[string]int            `json:"old,omitempty"`
	New     map[string]map[string]int `json:"new,omitempty"`
}

// Encode returns the evidence of one host as JSON.
func Encode(all []*Evidence) ([]byte, error) {
	wires := make([]wireEvidence, 0, len(all))
	for _, e := range all {
		wires = append(wires, e.toWire())
	}
	return json.Marshal(wires)
}

// Decode parses the evidence of one host.
func Decode(data []byte) ([]*Evidence, error) {
	var wires []wireEvidence
	if err := json.Unmarshal(data, &wires); err != nil {
		return nil, fmt.Errorf("decode evidence: %w", err)
	}
	all := make([]*Evidence, 0, len(wires))
	for _, w := range wires {
		e, err := w.fromWire()
		if err != nil {
			return nil, fmt.Errorf("evidence of release note %q: %w", w.Note, err)
		}
		all = append(all, e)
	}
	return all, nil
}

func (e *Evidence) toWire() wireEvidence {
	w := wireEvidence{
		Note:      string(e.Exposure.Note),
		Service:   string(e.Exposure.Service),
		Step:      e.Exposure.Step,
		Old:       string(e.Exposure.Old),
		New:       string(e.Exposure.New),
		OrderEra:  uint64(e.Order.Era),
		OrderNext: e.Order.Next,
		Began:     e.StartedAt.UTC(),
		First:     e.FirstToken.toWire(),
		Between:   e.BetweenTokens.toWire(),
	}
	for cell, evidence := range e.Cells {
		w.Cells = append(w.Cells, wireCell{
			Route:      string(cell.Route),
			Tier:       cell.Tier.String(),
			Generation: string(cell.Generation),
			Load:       cell.Load.String(),
			Old:        evidence.Old.toWire(),
			StepOld:    evidence.Step.Old.toWire(),
			StepNew:    evidence.Step.New.toWire(),
			RecentOld:  evidence.Recent.Old.toWire(),
			RecentNew:  evidence.Recent.New.toWire(),
		})
	}
	return w
}

func (w wireEvidence) fromWire() (*Evidence, error) {
	e := &Evidence{
		Exposure: Exposure{
			Note:    dotterelpulley.NoteID(w.Note),
			Service: dotterelpulley.ServiceID(w.Service),
			Step:    w.Step,
			Old:     dotterelpulley.VersionID(w.Old),
			New:     dotterelpulley.VersionID(w.New),
		},
		Order:     Order{Era: dotterelpulley.StoreEra(w.OrderEra), Next: w.OrderNext},
		StartedAt: w.Began,
		Cells:     map[Cell]*CellEvidence{},
	}
	for _, field := range []struct {
		wire wireSpread
		to   *Spread
	}{{w.First, &e.FirstToken}, {w.Between, &e.BetweenTokens}} {
		if err := field.to.fromWire(field.wire); err != nil {
			return nil, err
		}
	}
	for _, wc := range w.Cells {
		cell, err := wc.cell()
		if err != nil {
			return nil, err
		}
		evidence, err := wc.cellEvidence()
		if err != nil {
			return nil, err
		}
		e.Cells[cell] = &evidence
	}
	return e, nil
}

func (w wireCell) cellEvidence() (CellEvidence, error) {
	var evidence CellEvidence
	for _, field := range []struct {
		wire wireTally
		to   *Tally
	}{
		{w.Old, &evidence.Old},
		{w.StepOld, &evidence.Step.Old},
		{w.StepNew, &evidence.Step.New},
		{w.RecentOld, &evidence.Recent.Old},
		{w.RecentNew, &evidence.Recent.New},
	} {
		var err error
		if *field.to, err = field.wire.fromWire(); err != nil {
			return CellEvidence{}, err
		}
	}
	return evidence, nil
}

func (w wireCell) cell() (Cell, error) {
	tier, err := dotterelpulley.ParseTier(w.Tier)
	if err != nil {
		return Cell{}, err
	}
	band, err := ParseBand(w.Load)
	if err != nil {
		return Cell{}, err
	}
	return Cell{
		Route:      dotterelpulley.RouteID(w.Route),
		Tier:       tier,
		Generation: dotterelpulley.Generation(w.Generation),
		Load:       band,
	}, nil
}

func (t *Tally) toWire() wireTally {
	return wireTally{
		Requests:      t.Requests,
		Failures:      t.Failures,
		FirstToken:    t.FirstToken.toWire(),
		BetweenTokens: t.BetweenTokens.toWire(),
	}
}

func (w wireTally) fromWire() (Tally, error) {
	t := Tally{Requests: w.Requests, Failures: w.Failures}
	if err := t.FirstToken.fromWire(w.FirstToken); err != nil {
		return t, err
	}
	return t, t.BetweenTokens.fromWire(w.BetweenTokens)
}

func (s *Spread) toWire() wireSpread {
	w := wireSpread{Slowest: s.Slowest, Old: s.Old.toWire(), New: map[string]map[string]int{}}
	for id, h := range s.New {
		w.New[string(id)] = h.toWire()
	}
	return w
}

func (s *Spread) fromWire(w wireSpread) error {
	s.Slowest = w.Slowest
	if err := s.Old.fromWire(w.Old); err != nil {
		return err
	}
	for id, h := range w.New {
		if err := endpointHistogram(&s.New, dotterelpulley.EndpointID(id)).fromWire(h); err != nil {
			return err
		}
	}
	return nil
}

func (h *Histogram) toWire() map[string]int {
	w := map[string]int{}
	for b, n := range h {
		if n > 0 {
			w[strconv.Itoa(b)] = n
		}
	}
	return w
}

func (h *Histogram) fromWire(w map[string]int) error {
	for name, n := range w {
		b, err := strconv.Atoi(name)
		if err != nil || b < 0 || b >= buckets {
			return fmt.Errorf("histogram bucket %q is not in 0 to %d", name, buckets-1)
		}
		h[b] = n
	}
	return nil
}
