package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

func TestDecodeRequestErrors(t *testing.T) {
	cases := []struct {
		name, key, body, wantErr string
		kind                     dotterelpulley.RequestKind
	}{
		{"not JSON", "k", "{", "decode body: .*", dotterelpulley.KindPlan},
		{"unknown field", "k", `{"organisation":"a","service":"s","tier":"urgent","colour":1}`, `decode body: .*colour.*`, dotterelpulley.KindPlan},
		{"two values", "k", `{"organisation":"a","service":"s","tier":"urgent"}{}`, "decode body: more than one JSON value", dotterelpulley.KindPlan},
		{"no organisation", "k", `{"service":"s","tier":"urgent"}`, `field "organisation" has 0 bytes, .*`, dotterelpulley.KindPlan},
		{"unknown tier", "k", `{"organisation":"a","service":"s","tier":"gold"}`, `tier "gold" is none of .*`, dotterelpulley.KindPlan},
		{"negative deadline", "k", `{"organisation":"a","service":"s","tier":"urgent","deadline":"-1s"}`, `field "deadline" is "-1s", .*`, dotterelpulley.KindPlan},
		{"booking without a key", "", `{"organisation":"a","service":"s","tier":"urgent"}`, `header "Idempotency-Key" is required for a booking`, dotterelpulley.KindBooking},
		{"too many tokens", "k", `{"organisation":"a","service":"s","tier":"urgent","max-tokens":9999999}`, `field "max-tokens" is 9999999, .*`, dotterelpulley.KindPlan},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := decodeRequest(tc.kind, tc.key, []byte(tc.body), time.Time{})
			qt.Check(t, err, qt.ErrorMatches, tc.wantErr)
		})
	}
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add("k", []byte(`{"organisation":"a","service":"s","tier":"urgent","payload":{"a":[1]},"deadline":"3s"}`))
	f.Add("", []byte(`{"organisation":"a","service":"s","tier":"planned","stream":true}`))
	f.Fuzz(func(t *testing.T, key string, body []byte) {
		req, _, err := decodeRequest(dotterelpulley.KindPlan, key, body, time.Unix(0, 0))
		if err != nil {
			return
		}
		if string(req.Key.Idempotency) != key || req.Key.Organisation == "" || !req.Tier.Valid() || req.MaxTokens <= 0 {
			t.Fatalf("accepted an incomplete request %+v", req)
		}
		decoded, err := requestFromWire(requestToWire(req))
		if err != nil {
			t.Fatal(err)
		}
		if claimer.FingerprintOf(decoded) != claimer.FingerprintOf(req) || decoded.Key != req.Key || !decoded.Deadline.Equal(req.Deadline) {
			t.Fatalf("request %+v was decoded by a peer as %+v", req, decoded)
		}
	})
}
