package loader

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
)

// Run is one entry of an endpoint's ledger.
type Run struct {
	Key     string
	Outcome string
	Version dotterelpulley.VersionID
	// Prefilled counts the prompt tokens that the run computed, WastedPrefill those of a run without a result.
	Prefilled     dotterelpulley.Tokens
	WastedPrefill dotterelpulley.Tokens
	Digest        Digest
	// Continued marks a run that another endpoint started and handed over.
	Continued bool
}

// Completed reports whether the run ended with its complete output.
func (r Run) Completed() bool {
	return r.Outcome == "whole"
}

const ledgerTimeout = 5 * time.Second

// FetchLedger fetches the ledger of the stand-in at the address.
func FetchLedger(address dotterelpulley.Address) ([]Run, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(address) + "/standin/ledger")
	if err := fasthttp.DoTimeout(req, resp, ledgerTimeout); err != nil {
		return nil, fmt.Errorf("fetch ledger of %s: %w", address, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, fmt.Errorf("fetch ledger of %s: status %d", address, resp.StatusCode())
	}
	var w wireLedger
	if err := json.Unmarshal(resp.Body(), &w); err != nil {
		return nil, fmt.Errorf("decode ledger of %s: %w", address, err)
	}
	return w.fromWire()
}
