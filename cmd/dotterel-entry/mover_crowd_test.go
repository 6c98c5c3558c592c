package main

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/internal/prover"
)

// Crowds at the operators' port of a mover, which runs beside an entry host, took more memory than the host has.
func TestCrowdsEndNoMover(t *testing.T) {
	if testing.Short() {
		t.Skip("each crowd takes seconds")
	}
	const moverPort = "7103"
	for number, c := range []crowd{
		{60, moverPort, "POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n" + strings.Repeat("x", 4<<20-10)},
		{400, moverPort, planHead + prover.ShortLines(60<<10)},
		{400, moverPort, planHead + prover.ShortLines(3<<10) + "Content-Length: 2\r\n\r\nx"},
	} {
		h := startHost(t, 60+number)
		h.Assert(h.StartMover(), qt.IsNil)
		served := func() bool { return h.ask(moverPort, "/healthz") }
		h.waitFor("the mover answers", served)
		c.press(t, h.ip)
		h.waitFor("the mover answers beside the crowd", served)
		peak, err := h.Mover.PeakMemory()
		h.Assert(err, qt.IsNil)
		h.Logf("peak memory %d MB", peak>>20)
		h.Check(peak < crowdMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
	}
}
