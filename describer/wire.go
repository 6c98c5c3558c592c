package describer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

type wireHost struct {
	ID             string         `json:"host"`
	Zone           string         `json:"zone"`
	State          string         `json:"state"`
	Configuration  int64          `json:"configuration"`
	SinceConfirmed string         `json:"proved"`
	ReadsStore     bool           `json:"reads"`
	StoreLost      bool           `json:"store-lost"`
	Members        []wireMember   `json:"members"`
	Endpoints      []wireEndpoint `json:"endpoints"`
	Caps           []wireCap      `json:"caps"`
	RetryBudgets   []wireRetries  `json:"retry-budgets"`
}

type wireMember struct {
	ID            string `json:"host"`
	Zone          string `json:"zone"`
	State         string `json:"state"`
	SinceHeard    string `json:"heard"`
	Configuration int64  `json:"configuration"`
}

type wireEndpoint struct {
	ID              string `json:"endpoint"`
	Service         string `json:"service"`
	Address         string `json:"address"`
	State           string `json:"state"`
	Slots           int    `json:"slots"`
	Running         int    `json:"running"`
	PeerRunning     int    `json:"others"`
	PendingPrompt   int    `json:"unread"`
	EventInterval   string `json:"pace"`
	PrefillPerToken string `json:"reading"`
	BlockedFor      string `json:"barred"`
}

type wireCap struct {
	Organisation string  `json:"organisation"`
	Level        float64 `json:"level"`
	Used         float64 `json:"used"`
	Allowed      float64 `json:"allowed"`
}

type wireRetries struct {
	Service   string  `json:"service"`
	Available float64 `json:"available"`
	Burst     float64 `json:"burst"`
}

// Encode returns the state as JSON.
func Encode(h Host) ([]byte, error) {
	w := wireHost{
		ID: string(h.ID), Zone: string(h.Zone), State: h.State, Configuration: h.Configuration, SinceConfirmed: h.SinceConfirmed.String(),
		ReadsStore: h.ReadsStore, StoreLost: h.StoreLost, Members: []wireMember{}, Endpoints: []wireEndpoint{}, Caps: []wireCap{}, RetryBudgets: []wireRetries{},
	}
	for _, m := range h.Members {
		w.Members = append(w.Members, wireMember{string(m.ID), string(m.Zone), m.State, m.SinceHeard.String(), m.Configuration})
	}
	for _, e := range h.Endpoints {
		w.Endpoints = append(w.Endpoints, wireEndpoint{
			ID: string(e.ID), Service: string(e.Service), Address: string(e.Address), State: e.State, Slots: e.Slots,
			Running: e.Running, PeerRunning: e.PeerRunning, PendingPrompt: int(e.PendingPrompt),
			EventInterval: e.EventInterval.String(), PrefillPerToken: e.PrefillPerToken.String(), BlockedFor: e.BlockedFor.String(),
		})
	}
	for _, c := range h.Caps {
		w.Caps = append(w.Caps, wireCap{string(c.Organisation), c.Level, c.Used, c.Allowed})
	}
	for _, b := range h.RetryBudgets {
		w.RetryBudgets = append(w.RetryBudgets, wireRetries{string(b.Service), b.Available, b.Burst})
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

// Decode returns the state in the JSON.
func Decode(data []byte) (Host, error) {
	var w wireHost
	if err := json.Unmarshal(data, &w); err != nil {
		return Host{}, fmt.Errorf("decode state: %w", err)
	}
	var durations durationParser
	h := Host{
		ID: dotterelpulley.HostID(w.ID), Zone: dotterelpulley.ZoneID(w.Zone), State: w.State, Configuration: w.Configuration,
		SinceConfirmed: durations.parse(w.SinceConfirmed), ReadsStore: w.ReadsStore, StoreLost: w.StoreLost,
	}
	for _, m := range w.Members {
		h.Members = append(h.Members, Member{
			dotterelpulley.HostID(m.ID), dotterelpulley.ZoneID(m.Zone), m.State, durations.parse(m.SinceHeard), m.Configuration,
		})
	}
	for _, e := range w.Endpoints {
		h.Endpoints = append(h.Endpoints, Endpoint{
			ID: dotterelpulley.EndpointID(e.ID), Service: dotterelpulley.ServiceID(e.Service), Address: dotterelpulley.Address(e.Address),
			State: e.State, Slots: e.Slots, Running: e.Running, PeerRunning: e.PeerRunning, PendingPrompt: dotterelpulley.Tokens(e.PendingPrompt),
			EventInterval: durations.parse(e.EventInterval), PrefillPerToken: durations.parse(e.PrefillPerToken), BlockedFor: durations.parse(e.BlockedFor),
		})
	}
	for _, c := range w.Caps {
		h.Caps = append(h.Caps, Cap{dotterelpulley.OrganisationID(c.Organisation), c.Level, c.Used, c.Allowed})
	}
	for _, b := range w.RetryBudgets {
		h.RetryBudgets = append(h.RetryBudgets, RetryBudget{dotterelpulley.ServiceID(b.Service), b.Available, b.Burst})
	}
	return h, durations.err
}

// durationParser parses durations and keeps the first error.
type durationParser struct {
	err error
}

func (p *durationParser) parse(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("decode state: %w", err)
	}
	return d
}
