package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// What is read is what was sent, whatever the budget allows of it.
func TestABufferHoldsTheBytesInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budget bufferBudget
		budget.used.Store(int64(rapid.IntRange(sharedBufferBytes-200<<10, sharedBufferBytes).Draw(t, "used")))
		before := budget.used.Load()
		size := rapid.IntRange(0, 300<<10).Draw(t, "size")
		limit := rapid.IntRange(1, 300<<10).Draw(t, "limit")
		sent := strings.Repeat("0123456789", size/10+1)[:size]
		b := buffer{budget: &budget}
		whole, err := b.readFrom(iotest.HalfReader(strings.NewReader(sent)), limit)
		if err != nil || string(b.data) != sent[:len(b.data)] || len(b.data) > limit || whole && len(b.data) != size {
			t.Fatalf("%d of %d bytes, whole %v: %v", len(b.data), size, whole, err)
		}
		if !whole && len(b.data) < min(size, limit, ownBufferBytes) {
			t.Fatalf("only %d bytes with nothing reserved", len(b.data))
		}
		if used := budget.used.Load(); used > sharedBufferBytes || int64(cap(b.data)) > ownBufferBytes+used-before {
			t.Fatalf("room for %d bytes with %d reserved", cap(b.data), used-before)
		}
		b.release()
		if budget.used.Load() != before {
			t.Fatal("the room was not given back")
		}
	})
}

func TestAnErrorInABufferedAnswerIsReported(t *testing.T) {
	c := qt.New(t)
	b := buffer{budget: new(bufferBudget)}
	broken := errors.New("broken")
	whole, err := b.readFrom(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(broken)), 10)
	c.Assert(err, qt.Equals, broken)
	c.Assert(whole, qt.IsFalse)
}

// A sound large answer reaches its caller whole, also while others take all the room.
func TestALargeAnswerIsWholeWhileTheBuffersAreFull(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerLarge(http.StatusOK))
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	for _, used := range []int64{0, sharedBufferBytes - 100<<10, sharedBufferBytes} {
		g.answers.used.Store(used)
		a := s.get(g, "/lookup/")
		s.Assert(a.err, qt.IsNil)
		s.Assert(a.status, qt.Equals, http.StatusOK)
		s.Assert(a.body == largeBody, qt.IsTrue)
		s.Assert(g.answers.used.Load(), qt.Equals, used)
	}
}

// All endpoints at once may send as much as each answer is allowed: a small host must outlive that.
func TestLargeAnswersOfAllEndpointsFitTheMemory(t *testing.T) {
	const (
		endpoints = 40
		requests  = 3 * endpoints
		// maxHeap is a third of the memory of the smallest host, as the collector lets the heap double.
		maxHeap = 88 << 20 / 3
	)
	// The heads and bodies are each just within what one answer is allowed.
	part := strings.Repeat("x", 500<<10)
	for name, test := range map[string]struct{ service, path, text string }{
		"answers": {"plain", "/lookup/", signedHead + "Content-Length: " + strconv.Itoa(len(part)+1) + "\r\n\r\n" + part},
		"heads":   {"plain", "/lookup/", signedHead + strings.Repeat("X-Field: "+strings.Repeat("x", 80)+"\r\n", 600)},
		"events":  {"model", "/plan/", signedHead + "Content-Type: text/event-stream\r\n\r\n" + part + part},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			var all []*rawEndpoint
			for n := range endpoints {
				all = append(all, s.rawEndpoint("i-"+strconv.Itoa(n), test.service, test.text, ""))
			}
			g := s.startReadyGateway()
			s.waitFor("all endpoints are known", func() bool { return len(registrations(g)) == endpoints })
			s.waitForAllowance(g, 2*requests)
			ctx, cancel := context.WithCancel(context.Background())
			before := heapInUse()
			for range requests {
				r := s.request(ctx, g, http.MethodGet, test.path, "")
				go discardAnswer(r)
			}
			sentOff := func() (total int64) {
				for _, e := range all {
					total += e.requests.Load()
				}
				return total
			}
			s.waitFor("all answers have begun", func() bool { return sentOff() == requests })
			s.waitFor("all answers have been sent as far as they go", func() bool {
				for _, e := range all {
					if e.answering.Load() > 0 {
						return false
					}
				}
				return true
			})
			grown := heapInUse() - before
			s.Logf("the heap grew by %d KB", grown>>10)
			s.Check(grown < maxHeap, qt.IsTrue)
			cancel()
			s.waitFor("the room is given back", func() bool { return g.answers.used.Load() == 0 && g.inFlight.Load() == 0 })
		})
	}
}

// discardAnswer sends a request and keeps nothing of its answer.
func discardAnswer(r *http.Request) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// A sound stream must not be cut because other answers take all the room.
func TestALargeEventOfASoundStreamIsNotCutWhileTheBuffersAreFull(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	large := "id: 2\ndata: " + strings.Repeat("x", 100<<10) + "\n\n"
	s.scriptedEndpoint("i-1", "model", func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: piece-1\n\n%s",
			strings.ReplaceAll(signedHead, "ID", r.Header.Get("Dotterelpulley-Attempt-Id")), large)
		return false
	})
	g := s.startReadyGateway()
	g.answers.used.Store(sharedBufferBytes)
	a := s.post(g, "/plan/", "prompt")
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Equals, "id: 1\ndata: piece-1\n\n"+large)
}

// A line as long as the reader's buffer must not be taken for the end of its event: a stream cut there looked complete.
func TestALineOfTheBuffersSizeDoesNotEndItsEvent(t *testing.T) {
	c := qt.New(t)
	line := "data: " + strings.Repeat("x", lineChunk-len("data: "))
	r := newEventReader(buffer{budget: new(bufferBudget)}, strings.NewReader(line+"\n"+"data: more"))
	defer r.release()
	_, err := r.next()
	c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
}
