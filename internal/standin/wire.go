package standin

import (
	"encoding/json"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// wireDuration is a duration encoded as "1m30s".
type wireDuration time.Duration

// UnmarshalText decodes the duration.
func (d *wireDuration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = wireDuration(parsed)
	return err
}

// MarshalText encodes the duration.
func (d wireDuration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

type wireRun struct {
	RequestID     string     `json:"request-id"`
	Key           string     `json:"key"`
	Version       string     `json:"version"`
	Endpoint      string     `json:"endpoint"`
	Started       time.Time  `json:"started-at"`
	Ended         *time.Time `json:"ended-at,omitempty"`
	Outcome       Outcome    `json:"outcome"`
	Tokens        int        `json:"tokens"`
	CachedTokens  int        `json:"cached-tokens"`
	PromptTokens  int        `json:"prompt-tokens"`
	Prefilled     int        `json:"prefilled-tokens"`
	WastedPrefill int        `json:"wasted-prefill-tokens"`
	Digest        string     `json:"digest"`
	Continued     bool       `json:"continued,omitempty"`
}

type wireLedger struct {
	Runs []wireRun `json:"runs"`
}

func ledgerToWire(runs []Run) wireLedger {
	w := wireLedger{Runs: make([]wireRun, 0, len(runs))}
	for _, r := range runs {
		w.Runs = append(w.Runs, runToWire(r))
	}
	return w
}

func runToWire(r Run) wireRun {
	w := wireRun{
		RequestID:     r.RequestID,
		Key:           r.Key,
		Version:       r.Version,
		Endpoint:      r.Endpoint,
		Started:       r.Started,
		Outcome:       r.Outcome,
		Tokens:        r.Tokens,
		CachedTokens:  r.CachedTokens,
		PromptTokens:  r.PromptTokens,
		Prefilled:     r.Prefilled,
		WastedPrefill: r.WastedPrefill(),
		Digest:        r.Digest,
		Continued:     r.Continued,
	}
	if !r.Ended.IsZero() {
		w.Ended = &r.Ended
	}
	return w
}

func (w wireRun) fromWire() Run {
	r := Run{
		RequestID:    w.RequestID,
		Key:          w.Key,
		Version:      w.Version,
		Endpoint:     w.Endpoint,
		Started:      w.Started,
		Outcome:      w.Outcome,
		Tokens:       w.Tokens,
		CachedTokens: w.CachedTokens,
		PromptTokens: w.PromptTokens,
		Prefilled:    w.Prefilled,
		Digest:       w.Digest,
		Continued:    w.Continued,
	}
	if w.Ended != nil {
		r.Ended = *w.Ended
	}
	return r
}

// DecodeLedger decodes the response of GET /standin/ledger.
func DecodeLedger(data []byte) ([]Run, error) {
	var w wireLedger
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	runs := make([]Run, 0, len(w.Runs))
	for _, r := range w.Runs {
		runs = append(runs, r.fromWire())
	}
	return runs, nil
}

type wireHost struct {
	ID          string `json:"id" toml:"id"`
	Kind        string `json:"kind" toml:"kind"`
	Service     string `json:"service" toml:"service"`
	Address     string `json:"address" toml:"address"`
	PeerAddress string `json:"peer-address" toml:"peer-address"`
	Zone        string `json:"zone" toml:"zone"`
	Generation  string `json:"generation" toml:"generation"`
	State       string `json:"state" toml:"state"`
}

type wireHosts struct {
	Revision int64      `json:"revision"`
	Hosts    []wireHost `json:"hosts"`
}

func hostToWire(h lister.Host) wireHost {
	return wireHost{
		ID:          string(h.ID),
		Kind:        string(h.Kind),
		Service:     string(h.Service),
		Address:     string(h.Address),
		PeerAddress: string(h.PeerAddress),
		Zone:        string(h.Zone),
		Generation:  string(h.Generation),
		State:       h.State.String(),
	}
}

func (w wireHost) fromWire() lister.Host {
	state := dotterelpulley.EndpointLive
	if w.State == dotterelpulley.EndpointLeaving.String() {
		state = dotterelpulley.EndpointLeaving
	}
	return lister.Host{
		ID:          dotterelpulley.HostID(w.ID),
		Kind:        lister.HostKind(w.Kind),
		Service:     dotterelpulley.ServiceID(w.Service),
		Address:     dotterelpulley.Address(w.Address),
		PeerAddress: dotterelpulley.Address(w.PeerAddress),
		Zone:        dotterelpulley.ZoneID(w.Zone),
		Generation:  dotterelpulley.Generation(w.Generation),
		State:       state,
	}
}

type wireRecord struct {
	Offset   int64     `json:"offset"`
	Appended time.Time `json:"appended-at"`
	Data     []byte    `json:"data"`
}

type wirePage struct {
	Records []wireRecord `json:"records"`
	First   int64        `json:"first"`
	Next    int64        `json:"next"`
}

type wireBatch struct {
	Records [][]byte `json:"records"`
}

type wireAppended struct {
	Offset int64 `json:"offset"`
}

type wireStats struct {
	Appends       int64 `json:"appends"`
	Records       int64 `json:"records"`
	BytesAppended int64 `json:"bytes-appended"`
	Reads         int64 `json:"reads"`
	BytesRead     int64 `json:"bytes-read"`
	LostAnswers   int   `json:"lost-answers"`
	// BusiestSecond is the maximum number of append calls within one clock second.
	BusiestSecond int64 `json:"busiest-second"`
}

type wireError struct {
	Error wireErrorBody `json:"error"`
	Fence int64         `json:"fence,omitempty"`
}

type wireErrorBody struct {
	Type    string `json:"type"`
	Message string `json:"message,omitempty"`
}
