package emulator

import "github.com/dotterelpulley/dotterelpulley/picker"

// naive sends each request on at once, round the engines.
type naive struct {
	world *world
	next  int
	jobs  map[*request]placed
}

type placed struct {
	engine *engine
	job    *job
}

func newNaive(w *world) *naive {
	return &naive{world: w, jobs: map[*request]placed{}}
}

func (n *naive) arrive(r *request) {
	e := n.world.engines[n.next%len(n.world.engines)]
	n.next++
	j := &job{request: r}
	j.started = func() { n.world.first(r) }
	j.finished = func() {
		delete(n.jobs, r)
		n.world.whole(r, j)
	}
	n.jobs[r] = placed{engine: e, job: j}
	e.submit(j)
}

func (n *naive) expire(r *request) {
	p, ok := n.jobs[r]
	if !ok {
		return
	}
	delete(n.jobs, r)
	p.engine.cancel(p.job)
	n.world.broken(r, p.job)
}

func (n *naive) tick()                             {}
func (n *naive) report(*engine, picker.Report)     {}
func (n *naive) cached(*engine, picker.PrefixHash) {}
func (n *naive) peers(int)                         {}

func (n *naive) die() {
	for r, p := range n.jobs {
		p.engine.cancel(p.job)
		n.world.lost(r, p.job)
	}
	n.jobs = map[*request]placed{}
}
