// Package model plays scenarios in simulated time: clients, senders, network, gateways and platform, each a node that
// shares nothing with the others but messages. Senders run the very rules.Sender that the daemon runs, gateways the very
// code of the stand-ins (internal/gateway), and scenarios are the very same files. From a world follow all results, to
// the bit, whatever the number of workers. What the model leaves out is told in docs/lab.md.
package model

import (
	"context"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/results"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
)

// Network is how long messages take.
type Network struct {
	Delay, Jitter rules.Millis // one way: the least, and the mean of what comes on top
	Loss          float64      // share of the messages that the network must send again
}

// Loopback is what was measured between processes of one machine.
var Loopback = Network{Delay: 0.1, Jitter: 0.05}

// retransmission is how much later a lost message comes: the least time after which TCP sends again.
const retransmission = 200

// Decider is what makes a sender's decisions: rules.Sender, or a baseline.
type Decider interface {
	Decide(now rules.Millis, events []rules.Event) []rules.Action
}

// Policy makes the Decider of one start of a sender, at a time of the run: its own time begins there.
type Policy func(seed uint64, settings rules.Settings, began rules.Millis) Decider

// Ours is the policy of the daemon.
func Ours(seed uint64, settings rules.Settings, _ rules.Millis) Decider {
	return rules.New(seed, settings)
}

// Options is how to play a world.
type Options struct {
	Network Network
	Policy  Policy // nil: Ours
	Workers int    // below 1: as many as there are processors; results don't depend on it
	Record  bool   // keep all that was seen, and audit it
	Sick    func(destination int) bool
}

// Bin is the credit of what was to be handed in within a part of the run.
type Bin struct {
	Asked  float64 `json:"asked"`
	Earned float64 `json:"earned"`
}

// binSpan is how long a Bin is.
const binSpan rules.Millis = 500

// Turned is a change of a breaker.
type Turned struct {
	At          rules.Millis `json:"at"`
	Sender      int          `json:"sender"`
	Destination int          `json:"destination"`
	State       string       `json:"state"`
	Why         string       `json:"why"`
}

// Result is what a run came to. All figures are the model's.
type Result struct {
	Scenario   string          `json:"scenario"`
	Seed       uint64          `json:"seed"`
	All        results.Share   `json:"all"`
	Grades     []results.Share `json:"grades"`
	Well, Sick results.Share
	Handed     int            `json:"handed"`
	Taken      int            `json:"taken"`
	Refused    int            `json:"refused"`
	Unanswered int            `json:"unanswered"`
	Dismissed  int            `json:"dismissed"`
	BrokenOff  int            `json:"broken_off"`
	Calls      int            `json:"calls"`
	CallsFull  int            `json:"calls_full"`
	Further    int            `json:"further"`
	Second     int            `json:"second_effects"`
	Short      int            `json:"short"`
	Falls      int            `json:"falls"` // destinations that fell over on their return
	Bins       []Bin          `json:"bins,omitempty"`
	Events     int64          `json:"events"`
	Wall       time.Duration  `json:"-"`
	Broken     bool           `json:"broken,omitempty"` // ended before its time
	Turns      []Turned       `json:"-"`
	Breaches   []audit.Breach `json:"breaches,omitempty"`
	View       audit.View     `json:"-"`
}

// The nodes: clients with the platform, then the senders, then the sites.
const (
	outside     = 0
	firstSender = 1
)

// world is a scenario's world with what all nodes may read.
type world struct {
	*scenario.World
	options   Options
	record    bool
	turn      rules.Millis
	names     []string // receivers' names by their ids
	ids       map[string]rules.ReceiverID
	destOf    []int32 // by receiver
	apart     []bool  // by destination
	kinds     []rules.KindID
	firstList rules.ListTold
}

func (w *world) receiver(name string) rules.ReceiverID { return w.ids[name] }

func (w *world) newReceiver(name string, destination int) {
	if _, known := w.ids[name]; known {
		return
	}
	w.ids[name] = rules.ReceiverID(len(w.names))
	w.names = append(w.names, name)
	w.destOf = append(w.destOf, int32(destination))
}

func (w *world) siteOf(destination int) int32 {
	return int32(firstSender + w.Senders + destination - 1)
}

func (w *world) sick(destination int) bool {
	if w.options.Sick != nil {
		return w.options.Sick(destination)
	}
	return len(w.Destinations[destination-1].Faults) > 0
}

func (w *world) entry(name, standing string) rules.Entry {
	id := w.ids[name]
	d := int(w.destOf[id])
	e := rules.Entry{Receiver: id, Destination: rules.DestinationID(d), Kind: w.kinds[d], ListedRate: w.Destinations[d-1].Group.Shape.Limit}
	switch standing {
	case "ready":
		e.Standing = rules.Ready
	case "draining":
		e.Standing = rules.Draining
	}
	return e
}

func (w *world) policy(seed uint64, settings rules.Settings, began rules.Millis) Decider {
	if w.options.Policy != nil {
		return w.options.Policy(seed, settings, began)
	}
	return Ours(seed, settings, began)
}

func seedOf(seed uint64, sender int, starts uint64) uint64 {
	return scenario.Chance(seed, 1<<42+uint64(sender)+starts<<32).Uint64()
}

func millisOf(d time.Duration) rules.Millis { return rules.Millis(d) / rules.Millis(time.Millisecond) }

// Run plays a scenario. A context that ends breaks it off: the result then tells what was so far, and is Broken.
func Run(ctx context.Context, s *scenario.Scenario, o Options) *Result {
	began := time.Now()
	if o.Network.Delay <= 0 {
		o.Network = Loopback
	}
	workers := o.Workers
	if workers < 1 {
		workers = runtime.GOMAXPROCS(0)
	}
	w := &world{World: scenario.Lay(s), options: o, record: o.Record, turn: s.Settings.Tick / 10, ids: map[string]rules.ReceiverID{}}
	w.apart, w.kinds = make([]bool, len(w.Destinations)+1), make([]rules.KindID, len(w.Destinations)+1)
	// Number 0 is nobody's, so that no receiver is taken for none.
	w.names, w.destOf = []string{""}, []int32{0}
	for _, d := range w.Destinations {
		if k := slices.Index(w.Names.Kinds, d.Group.Kind); k >= 0 {
			w.kinds[d.Number], w.apart[d.Number] = rules.KindID(k), w.Settings.Kinds[k].Apart
		} else {
			w.kinds[d.Number] = rules.KindID(len(w.Names.Kinds))
		}
		for _, name := range d.Receivers {
			w.newReceiver(name, d.Number)
		}
	}
	w.firstList.Whole = true
	for _, d := range w.Destinations {
		for _, name := range d.Receivers {
			w.firstList.Entries = append(w.firstList.Entries, w.entry(name, "ready"))
		}
	}
	nodes := firstSender + w.Senders + len(w.Destinations)
	workers = max(min(workers, nodes/8), 1)
	e := newEngine(o.Network.Delay, nodes, workers, func(id int) int { return id % workers })
	port := func(id int) port {
		return port{id: int32(id), own: e.home[id], e: e, net: o.Network, draw: rand.New(rand.NewPCG(s.Seed, 1<<43+uint64(id)))}
	}
	c := newClient(w, port(outside))
	e.nodes[outside] = c
	var senders []*sender
	for i := range w.Senders {
		one := newSender(w, port(firstSender+i), i)
		senders = append(senders, one)
		e.nodes[firstSender+i] = one
	}
	var sites []*site
	for _, d := range w.Destinations {
		one := newSite(w, port(int(w.siteOf(d.Number))), d)
		sites = append(sites, one)
		e.nodes[one.id] = one
	}
	// Messages of the beginning went to workers' boxes.
	for _, from := range e.workers {
		for place, events := range from.out {
			for _, x := range events {
				e.workers[place].push(x)
			}
			from.out[place] = nil
		}
	}
	until := w.Length + w.Settle
	whole := e.run(until, func(rules.Millis) bool { return ctx.Err() != nil })
	c.own.now = max(c.own.now, until)
	c.settle(true)
	r := &Result{Scenario: s.Name, Seed: s.Seed, All: c.all.Share(), Well: c.well.Share(), Sick: c.sick.Share(), Handed: c.counted.handed,
		Taken: c.counted.taken, Refused: c.counted.refused, Unanswered: c.counted.unanswered, Dismissed: c.counted.dismissed,
		BrokenOff: c.counted.brokenOff, Bins: c.bins, Events: e.events(), Broken: !whole}
	for _, g := range c.grade {
		r.Grades = append(r.Grades, g.Share())
	}
	for _, one := range sites {
		r.Calls += one.counted.calls
		r.CallsFull += one.counted.full
		r.Further += one.counted.further
		r.Second += one.counted.second
		r.Falls += len(one.falls)
	}
	for _, one := range senders {
		r.Short += one.counted.short
		r.Turns = append(r.Turns, one.turns...)
	}
	if o.Record {
		r.View = view(c, senders, sites)
		if whole {
			r.Breaches = r.View.Check(w.Settings, tolerances, until)
		}
	}
	r.Wall = time.Since(began)
	return r
}

// tolerances of the auditor: nothing is late for want of a processor here, but messages still take their time.
var tolerances = audit.Tolerances{Slack: 5, Lost: 300, Restart: 1500, Drain: 1000, Wait: 20, Crossing: 20}

// view puts together what all nodes saw.
func view(c *client, senders []*sender, sites []*site) audit.View {
	v := audit.View{Ends: c.ends, Shut: c.shut}
	for _, h := range c.hands {
		v.Hands = append(v.Hands, audit.Hand{ID: h.id, Effect: effectName(h.eff), Mark: h.eff.mark, Grade: h.eff.Grade,
			Portfolio: h.eff.Portfolio, Key: h.eff.Key, Dest: h.eff.Destination, Sender: h.sender, At: h.at, Until: h.until, Intended: h.eff.At,
			Again: h.again, Status: h.status, Answered: h.answeredAt})
	}
	for _, s := range sites {
		for _, one := range s.calls {
			v.Calls = append(v.Calls, one.noted)
		}
		v.Falls = append(v.Falls, s.falls...)
	}
	for _, s := range senders {
		v.Told = append(v.Told, s.told...)
		v.Lives = append(v.Lives, s.lives...)
	}
	return v
}
