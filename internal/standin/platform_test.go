package standin_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

func newLog(c *qt.C, l *standin.Log) (*standin.Log, *appender.Client) {
	start(c, l)
	return l, &appender.Client{Address: l.Address()}
}

func TestLogKeepsOrder(t *testing.T) {
	c := qt.New(t)
	l, client := newLog(c, &standin.Log{})
	first, err := client.Append("moves", []byte("one"))
	c.Assert(err, qt.IsNil)
	c.Assert(first, qt.Equals, appender.Offset(1))
	second, err := client.AppendAll("moves", [][]byte{[]byte("two"), []byte("three")})
	c.Assert(err, qt.IsNil)
	c.Assert(second, qt.Equals, appender.Offset(2))
	page, err := client.Read("moves", 2, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(page.Next, qt.Equals, appender.Offset(4))
	c.Assert(page.First, qt.Equals, appender.Offset(1))
	c.Assert(string(page.Records[0].Data)+string(page.Records[1].Data), qt.Equals, "twothree")
	c.Assert(l.Stats().Appends, qt.Equals, int64(2))
	c.Assert(l.Stats().BytesAppended, qt.Equals, int64(11))
}

func TestLogReadWaitsForARecord(t *testing.T) {
	c := qt.New(t)
	l, client := newLog(c, &standin.Log{})
	pages := make(chan appender.Page, 1)
	go func() {
		page, _ := client.Read("moves", 1, testTimeout)
		pages <- page
	}()
	eventually(t, "the read waits", func() bool { return l.Stats().Reads == 1 })
	l.Append("moves", []byte("one"))
	c.Assert((<-pages).Records, qt.HasLen, 1)
}

func TestLogExpiresRecords(t *testing.T) {
	c := qt.New(t)
	l, client := newLog(c, &standin.Log{MaxRecords: 2})
	l.Append("moves", []byte("1"), []byte("2"), []byte("3"))
	page, err := client.Read("moves", 1, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(page.First, qt.Equals, appender.Offset(2))
	c.Assert(page.Records, qt.HasLen, 2)
	shortLived, client := newLog(c, &standin.Log{Retention: time.Millisecond})
	shortLived.Append("moves", []byte("1"))
	eventually(t, "the record expires", func() bool {
		page, err := client.Read("moves", 1, 0)
		return err == nil && len(page.Records) == 0 && page.First == 2
	})
}

func TestLogFaults(t *testing.T) {
	c := qt.New(t)
	l, client := newLog(c, &standin.Log{})
	l.LoseAnswers(1)
	_, err := client.Append("moves", []byte("one"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(l.Stats().Records, qt.Equals, int64(1))
	c.Assert(l.LostAnswers(), qt.Equals, 1)
	c.Assert(l.Damage("moves", 1), qt.IsTrue)
	page, err := client.Read("moves", 1, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(string(page.Records[0].Data), qt.Not(qt.Equals), "one")
	l.Stop()
	_, err = client.Append("moves", []byte("two"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(l.Resume(), qt.IsNil)
	offset, err := client.Append("moves", []byte("two"))
	c.Assert(err, qt.IsNil)
	c.Assert(offset, qt.Equals, appender.Offset(2))
	l.Delay(time.Minute)
	client.Timeout = time.Millisecond
	_, err = client.Append("moves", []byte("three"))
	c.Assert(err, qt.IsNotNil)
}

func TestHostChangesAreVisibleAfterTheLag(t *testing.T) {
	c := qt.New(t)
	h := &standin.Hosts{Lag: 50 * time.Millisecond}
	start(c, h)
	client := &lister.Client{Address: h.Address()}
	h.Set(lister.Host{ID: "e1", Kind: lister.KindEntry, Address: "127.0.0.1:7100"})
	list, err := client.Fetch()
	c.Assert(err, qt.IsNil)
	c.Assert(list.Hosts, qt.HasLen, 0)
	lists := func(want ...dotterelpulley.EndpointState) func() bool {
		return func() bool {
			list, err := client.Fetch()
			var got []dotterelpulley.EndpointState
			for _, host := range list.Hosts {
				got = append(got, host.State)
			}
			return err == nil && fmt.Sprint(got) == fmt.Sprint(want)
		}
	}
	eventually(t, "the host is listed", lists(dotterelpulley.EndpointLive))
	caller := newCaller(c)
	status, _ := caller.call(http.MethodPut, h.Address(), "/standin/hosts", map[string]any{"id": "e1", "kind": "entry", "state": "leaving"})
	c.Assert(status, qt.Equals, http.StatusNoContent)
	eventually(t, "the host is listed as leaving", lists(dotterelpulley.EndpointLeaving))
	status, _ = caller.call(http.MethodPut, h.Address(), "/standin/hosts", map[string]any{"id": "e1", "remove": true})
	c.Assert(status, qt.Equals, http.StatusNoContent)
	eventually(t, "the host is no longer listed", lists())
}

func TestWeightsAreRateLimited(t *testing.T) {
	c := qt.New(t)
	w := &standin.Weights{Rate: 0.001, Versions: []string{"a@1"}}
	start(c, w)
	caller := newCaller(c)
	fetch := func(version string) (int, string) {
		resp, err := caller.send(http.MethodGet, w.Address(), "/v1/weights/"+version, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		return resp.StatusCode, resp.Header.Get("Retry-After")
	}
	status, _ := fetch("b@1")
	c.Assert(status, qt.Equals, http.StatusNotFound)
	status, _ = fetch("a@1")
	c.Assert(status, qt.Equals, http.StatusOK)
	status, retryAfter := fetch("a@1")
	c.Assert(status, qt.Equals, http.StatusTooManyRequests)
	c.Assert(retryAfter, qt.Matches, `[1-9]\d*`)
	c.Assert(w.Fetches("a@1"), qt.Equals, 1)
}

func TestPlainFaults(t *testing.T) {
	c := qt.New(t)
	p := &standin.Plain{ID: "p1"}
	start(c, p)
	caller := newCaller(c)
	status, body := caller.call(http.MethodPost, p.Address(), "/v1/call", map[string]any{"parcel": 7})
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, standin.PlainResponse(`{"parcel":7}`))
	p.LoseAnswers(-1)
	resp, err := newCaller(c).send(http.MethodPost, p.Address(), "/v1/call", map[string]any{"parcel": 8})
	if err == nil {
		_ = resp.Body.Close()
	}
	c.Assert(err, qt.IsNotNil)
	p.LoseAnswers(0)
	p.RejectCalls()
	resp, err = caller.send(http.MethodPost, p.Address(), "/v1/call", nil)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(resp.Header.Get("Not-Admitted"), qt.Equals, "true")
	completed := 0
	for _, r := range p.Ledger.Runs() {
		c.Check(r.Outcome, qt.Equals, standin.OutcomeCompleted)
		completed++
	}
	c.Assert(completed >= 2, qt.IsTrue)
}

func TestFaultsOverHTTP(t *testing.T) {
	c := qt.New(t)
	set, err := standin.ReadFile("testdata/pollulaotus.toml")
	c.Assert(err, qt.IsNil)
	useFreePorts(set)
	c.Assert(set.Start(), qt.IsNil)
	c.Cleanup(func() { c.Check(set.Close(), qt.IsNil) })
	caller := newCaller(c)
	for _, fault := range []struct{ id, faults string }{
		{"log", `{"delay":"1ms","down":true}`},
		{"log", `{"down":false}`},
		{"host-list", `{"lag":"0s"}`},
		{"weight-store", `{"lose-answers":1}`},
		{"kaasik-1", `{"slow-factor":2,"versions":[{"version":"kaasik-lm@1","behaviour":"bad-later","after-requests":9}]}`},
		{"kaasik-2", `{"crash":true,"crash-return":"1ms"}`},
		{"laotus-1", `{"call-time":"1ms","not-admitted":true}`},
	} {
		resp, err := caller.Post("http://"+string(set.ControlAddress())+"/standin/"+fault.id+"/faults", "application/json", strings.NewReader(fault.faults))
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, http.StatusNoContent, qt.Commentf("%s", fault.id))
		c.Assert(resp.Body.Close(), qt.IsNil)
	}
	c.Assert(set.Engines[1].Standin.Crashes(), qt.Equals, 1)
	_, err = (&appender.Client{Address: set.Log.Standin.Address()}).Append("moves", []byte("up again"))
	c.Assert(err, qt.IsNil)
	list, err := (&lister.Client{Address: set.Hosts.Standin.Address()}).Fetch()
	c.Assert(err, qt.IsNil)
	c.Assert(list.Hosts, qt.HasLen, 9)
}
