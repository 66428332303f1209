package model

import (
	"math/rand/v2"
	"sync"

	"chuteweir.example/chuteweir/rules"
)

// kind is what an event is.
type kind uint8

// event is something that happens at a node: a message from another, or what it asked for itself.
type event struct {
	at       rules.Millis
	seq      uint64 // of the node that it is from
	from, to int32
	kind     kind
	n        int64
	conn     *conn
	call     *call
	hand     *hand
	more     any
}

// before orders events by time, then by whom they concern and whom they are from: an order in which no
// partition of the nodes among workers takes part.
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

// node is a party of the world. Nodes share nothing but what they send each other.
type node interface{ handle(e *event) }

// port is what a node sends by.
type port struct {
	id   int32
	seq  uint64
	own  *worker
	e    *engine
	net  Network
	draw *rand.Rand // of this node's own
}

// wire draws how long a message takes from here to another node.
func (p *port) wire() rules.Millis {
	d := p.net.Delay
	if p.net.Jitter > 0 {
		d += p.net.Jitter * rules.Millis(p.draw.ExpFloat64())
	}
	if p.net.Loss > 0 && p.draw.Float64() < p.net.Loss {
		d += retransmission
	}
	return d
}

// now is the time of the event that is being handled.
func (p *port) now() rules.Millis { return p.own.now }

// post sends an event to a node; to another one it takes the engine's least delay at least.
func (p *port) post(to int32, after rules.Millis, e event) {
	if to != p.id && after < p.e.least {
		after = p.e.least
	}
	p.seq++
	e.at, e.seq, e.from, e.to = p.own.now+after, p.seq, p.id, to
	if there := p.e.home[to]; there == p.own {
		there.push(e)
	} else {
		p.own.out[there.place] = append(p.own.out[there.place], e)
	}
}

// self asks for an event at this node.
func (p *port) self(after rules.Millis, e event) { p.post(p.id, after, e) }

// worker handles the events of some of the nodes in the order of their times.
type worker struct {
	place  int
	e      *engine
	now    rules.Millis
	heap   []event
	out    [][]event // for each other worker, from the present window
	events int64
}

// The heap is one of four children: events are large, and most of them go near its end.
func (w *worker) push(e event) {
	h := append(w.heap, e)
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
	w.heap = h
}

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
		least := first
		for c := first + 1; c < min(first+4, len(h)); c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if !h[least].before(&last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return top
}

// run handles all events before a time.
func (w *worker) run(until rules.Millis) {
	for len(w.heap) > 0 && w.heap[0].at < until {
		e := w.pop()
		w.now = e.at
		w.events++
		w.e.nodes[e.to].handle(&e)
	}
}

// engine runs the nodes. No message between two nodes takes less than least, so that within a window of that length
// workers need nothing of each other; events of one node come in an order that does not depend on how many workers
// there are, and so does all that comes of them.
type engine struct {
	least   rules.Millis
	nodes   []node
	home    []*worker
	workers []*worker
}

// handOut is from how many events in the last window on the next is handed out to the workers.
const handOut = 24

// newEngine makes an engine for so many nodes; home says by which worker each is run.
func newEngine(least rules.Millis, nodes, workers int, home func(id int) int) *engine {
	e := &engine{least: least, nodes: make([]node, nodes), home: make([]*worker, nodes)}
	for i := range workers {
		e.workers = append(e.workers, &worker{place: i, e: e, out: make([][]event, workers)})
	}
	for id := range nodes {
		e.home[id] = e.workers[home(id)]
	}
	return e
}

// run goes on until a time, or until told to stop; it tells whether it was not.
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
	looks := 0
	if len(e.workers) == 1 {
		w := e.workers[0]
		for at := next(); at < until; at = next() {
			if looks++; looks%64 == 0 && stop(at) {
				return false
			}
			w.run(min(at+64*e.least, until))
		}
		return true
	}
	last := int64(0) // events of the last window
	var begin []chan rules.Millis
	var round sync.WaitGroup
	for _, w := range e.workers {
		c := make(chan rules.Millis, 1)
		begin = append(begin, c)
		go func() {
			for to := range c {
				w.run(to)
				round.Done()
			}
		}()
	}
	defer func() {
		for _, c := range begin {
			close(c)
		}
	}()
	for at := next(); at < until; at = next() {
		if looks++; looks%1024 == 0 && stop(at) {
			return false
		}
		to := min(at+e.least, until)
		// A window with little in it is sooner run here than handed out: results are the same.
		before := e.events()
		if last < handOut {
			for _, w := range e.workers {
				w.run(to)
			}
		} else {
			round.Add(len(e.workers))
			for _, c := range begin {
				c <- to
			}
			round.Wait()
		}
		last = e.events() - before
		for _, from := range e.workers {
			for place, events := range from.out {
				for _, x := range events {
					e.workers[place].push(x)
				}
				clear(events)
				from.out[place] = events[:0]
			}
		}
	}
	return true
}

// events is how many were handled.
func (e *engine) events() (n int64) {
	for _, w := range e.workers {
		n += w.events
	}
	return n
}
