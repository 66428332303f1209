package model

import (
	"math/rand/v2"
	"sync"

	"chuteweir.example/chuteweir/rules"
)

// eventKind tells the receiving node how to handle an event and which of its fields are set; see the constants that
// begin with ev.
type eventKind uint8

// event is a message from another node, or an event that a node scheduled for itself.
type event struct {
	at         rules.Millis
	seq        uint64 // number of the event among those of the sending node
	from, to   int32
	kind       eventKind
	value      int64
	conn       *conn
	call       *call
	submission *submission
	payload    any
}

// before orders events by time, then by receiving node, sending node and the sending node's sequence number. The order
// does not depend on how the nodes are distributed over workers.
func (e *event) before(o *event) bool {
	switch {
	case e.at != o.at:
		return e.at < o.at
	case e.to != o.to:
		return e.to < o.to
	case e.from != o.from:
		return e.from < o.from
	}
	return e.seq < o.seq
}

// node is a participant of the simulation. Nodes interact only through events.
type node interface{ handle(e *event) }

// port is a node's access to the engine and the network. Node types embed it.
type port struct {
	id      int32
	seq     uint64
	worker  *worker
	engine  *engine
	network Network
	rng     *rand.Rand // this node's own
}

// transitTime draws the time that a message takes from this node to another.
func (p *port) transitTime() rules.Millis {
	d := p.network.Delay
	if p.network.Jitter > 0 {
		d += p.network.Jitter * rules.Millis(p.rng.ExpFloat64())
	}
	if p.network.Loss > 0 && p.rng.Float64() < p.network.Loss {
		d += retransmission
	}
	return d
}

// now returns the time of the event that is being handled.
func (p *port) now() rules.Millis { return p.worker.now }

// post sends an event to a node. An event for another node takes at least the engine's minimum delay.
func (p *port) post(to int32, after rules.Millis, e event) {
	if to != p.id && after < p.engine.minDelay {
		after = p.engine.minDelay
	}
	p.seq++
	e.at, e.seq, e.from, e.to = p.worker.now+after, p.seq, p.id, to
	if receiving := p.engine.workerOf[to]; receiving == p.worker {
		receiving.push(e)
	} else {
		p.worker.outbox[receiving.index] = append(p.worker.outbox[receiving.index], e)
	}
}

// schedule sends an event to this node itself.
func (p *port) schedule(after rules.Millis, e event) { p.post(p.id, after, e) }

// worker handles the events of its share of the nodes, ordered as by event.before.
type worker struct {
	index  int
	engine *engine
	now    rules.Millis
	heap   []event
	outbox [][]event // by receiving worker, from the current window
	events int64
}

// push adds an event to the heap. Each element of the heap has four children, so that the heap is flat and few events
// are moved: events are large, and most are added near the end.
func (w *worker) push(e event) {
	h := append(w.heap, e)
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !e.before(&h[parent]) {
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = e
	w.heap = h
}

// pop removes and returns the first event.
func (w *worker) pop() event {
	h := w.heap
	top, last := h[0], h[len(h)-1]
	h[len(h)-1] = event{}
	h = h[:len(h)-1]
	w.heap = h
	if len(h) == 0 {
		return top
	}
	i := 0
	for {
		first := 4*i + 1
		if first >= len(h) {
			break
		}
		smallest := first
		for c := first + 1; c < min(first+4, len(h)); c++ {
			if h[c].before(&h[smallest]) {
				smallest = c
			}
		}
		if !h[smallest].before(&last) {
			break
		}
		h[i] = h[smallest]
		i = smallest
	}
	h[i] = last
	return top
}

// run handles all events whose time is before until.
func (w *worker) run(until rules.Millis) {
	for len(w.heap) > 0 && w.heap[0].at < until {
		e := w.pop()
		w.now = e.at
		w.events++
		w.engine.nodes[e.to].handle(&e)
	}
}

// engine runs the nodes. A message between two nodes takes at least minDelay, so within a window of that length no
// worker depends on another. The order of a node's events does not depend on the number of workers, and so neither do
// the results.
type engine struct {
	minDelay rules.Millis
	nodes    []node
	workerOf []*worker
	workers  []*worker
}

// parallelThreshold is the number of events in the last window from which on the next one runs on all workers.
const parallelThreshold = 24

// newEngine creates an engine with this number of nodes and workers; workerIndex returns the index of the worker that
// runs a node.
func newEngine(minDelay rules.Millis, nodes, workers int, workerIndex func(id int) int) *engine {
	e := &engine{minDelay: minDelay, nodes: make([]node, nodes), workerOf: make([]*worker, nodes)}
	for i := range workers {
		e.workers = append(e.workers, &worker{index: i, engine: e, outbox: make([][]event, workers)})
	}
	for id := range nodes {
		e.workerOf[id] = e.workers[workerIndex(id)]
	}
	return e
}

// run handles all events before until, unless stop returns true first; it reports whether it got that far. It calls
// stop only now and then.
func (e *engine) run(until rules.Millis, stop func(now rules.Millis) bool) bool {
	next := func() rules.Millis {
		at := until
		for _, w := range e.workers {
			if len(w.heap) > 0 {
				at = min(at, w.heap[0].at)
			}
		}
		return at
	}
	iterations := 0
	if len(e.workers) == 1 {
		w := e.workers[0]
		for at := next(); at < until; at = next() {
			if iterations++; iterations%64 == 0 && stop(at) {
				return false
			}
			w.run(min(at+64*e.minDelay, until))
		}
		return true
	}
	lastWindowEvents := int64(0)
	var windowEnds []chan rules.Millis
	var windowDone sync.WaitGroup
	for _, w := range e.workers {
		c := make(chan rules.Millis, 1)
		windowEnds = append(windowEnds, c)
		go func() {
			for to := range c {
				w.run(to)
				windowDone.Done()
			}
		}()
	}
	defer func() {
		for _, c := range windowEnds {
			close(c)
		}
	}()
	for at := next(); at < until; at = next() {
		if iterations++; iterations%1024 == 0 && stop(at) {
			return false
		}
		to := min(at+e.minDelay, until)
		// A window with few events runs faster on this goroutine; the results are the same.
		before := e.events()
		if lastWindowEvents < parallelThreshold {
			for _, w := range e.workers {
				w.run(to)
			}
		} else {
			windowDone.Add(len(e.workers))
			for _, c := range windowEnds {
				c <- to
			}
			windowDone.Wait()
		}
		lastWindowEvents = e.events() - before
		for _, from := range e.workers {
			for index, events := range from.outbox {
				for _, x := range events {
					e.workers[index].push(x)
				}
				clear(events)
				from.outbox[index] = events[:0]
			}
		}
	}
	return true
}

// events returns the number of events handled.
func (e *engine) events() (n int64) {
	for _, w := range e.workers {
		n += w.events
	}
	return n
}
