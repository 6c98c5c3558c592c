package emulator

import "github.com/dotterelpulley/dotterelpulley/picker"

// naiveHost forwards each request immediately, to the engines in round-robin order.
type naiveHost struct {
	simulation  *simulation
	next        int
	assignments map[*request]assignment
}

type assignment struct {
	engine *engine
	job    *job
}

func newNaiveHost(s *simulation) *naiveHost {
	return &naiveHost{simulation: s, assignments: map[*request]assignment{}}
}

func (n *naiveHost) submit(r *request) {
	e := n.simulation.engines[n.next%len(n.simulation.engines)]
	n.next++
	j := &job{request: r}
	j.onFirstToken = func() { n.simulation.recordFirstToken(r) }
	j.onCompleted = func() {
		delete(n.assignments, r)
		n.simulation.recordCompleted(r, j)
	}
	n.assignments[r] = assignment{engine: e, job: j}
	e.submit(j)
}

func (n *naiveHost) expire(r *request) {
	a, ok := n.assignments[r]
	if !ok {
		return
	}
	delete(n.assignments, r)
	a.engine.cancel(a.job)
	n.simulation.recordAborted(r, a.job)
}

func (n *naiveHost) tick()                                         {}
func (n *naiveHost) reportLoad(*engine, picker.Report)             {}
func (n *naiveHost) reportCachedPrefix(*engine, picker.PrefixHash) {}
func (n *naiveHost) setHostCount(int)                              {}

func (n *naiveHost) crash() {
	for r, a := range n.assignments {
		a.engine.cancel(a.job)
		n.simulation.recordLost(r, a.job)
	}
	n.assignments = map[*request]assignment{}
}
