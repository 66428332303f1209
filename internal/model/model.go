// Package model runs scenarios in simulated time. Clients, senders, network, gateways and platform are nodes that
// interact only through messages. Senders run the daemon's rules.Sender, gateways the code of the stand-ins
// (internal/gateway), and the scenario files are the same. All results of a scenario and seed are identical to the
// bit, whatever the number of workers. What the model leaves out is described in docs/lab.md.
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

// Network describes the latency and loss of messages between nodes.
type Network struct {
	Delay, Jitter rules.Millis // one way, in ms: the minimum, and the mean of the random extra delay
	Loss          float64      // share of the messages that are lost once and sent again
}

// Loopback has the latency measured between processes of one machine.
var Loopback = Network{Delay: 0.1, Jitter: 0.05}

// retransmission is the extra delay of a lost message in milliseconds: TCP's minimum retransmission timeout.
const retransmission = 200

// Decider makes a sender's decisions: rules.Sender, or a baseline.
type Decider interface {
	// Decide receives the events since the last call and returns the actions to execute.
	Decide(now rules.Millis, events []rules.Event) []rules.Action
}

// Policy creates the Decider of one start of a sender. startedAt is the time of the run at which the Decider's time
// 0 is.
type Policy func(seed uint64, settings rules.Settings, startedAt rules.Millis) Decider

// Daemon is the policy of the daemon.
func Daemon(seed uint64, settings rules.Settings, _ rules.Millis) Decider {
	return rules.New(seed, settings)
}

// Options says how to run a scenario.
type Options struct {
	Network   Network
	Policy    Policy // nil: Daemon
	Workers   int    // below 1: the number of processors; results don't depend on it
	Record    bool   // keep everything that the audit needs, and audit it
	IsFailing func(destination int) bool
}

// Bin is the credit of the effects that were due within one part of the run.
type Bin struct {
	Asked  float64 `json:"asked"`
	Earned float64 `json:"earned"`
}

// binSpan is the duration of a Bin in milliseconds.
const binSpan rules.Millis = 500

// BreakerChange is a change of a breaker's state.
type BreakerChange struct {
	At          rules.Millis `json:"at"`
	Sender      int          `json:"sender"`
	Destination int          `json:"destination"`
	State       string       `json:"state"`
	Why         string       `json:"why"`
}

// Result is the result of a run. All figures are the model's.
type Result struct {
	Scenario       string          `json:"scenario"`
	Seed           uint64          `json:"seed"`
	All            results.Share   `json:"all"`
	Grades         []results.Share `json:"grades"`
	Well, Sick     results.Share
	Handed         int             `json:"handed"`
	Taken          int             `json:"taken"`
	Refused        int             `json:"refused"`
	Unanswered     int             `json:"unanswered"`
	Dismissed      int             `json:"dismissed"`
	BrokenOff      int             `json:"broken_off"`
	Calls          int             `json:"calls"`
	CallsFull      int             `json:"calls_full"`
	Further        int             `json:"further"`
	Second         int             `json:"second_effects"`
	Short          int             `json:"short"`
	Overloads      int             `json:"falls"` // recovering destinations that were overloaded again
	Bins           []Bin           `json:"bins,omitempty"`
	Events         int64           `json:"events"`
	Wall           time.Duration   `json:"-"`
	Broken         bool            `json:"broken,omitempty"` // cancelled before its end
	BreakerChanges []BreakerChange `json:"-"`
	Breaches       []audit.Breach  `json:"breaches,omitempty"`
	View           audit.View      `json:"-"`
}

// Node numbers: the clients and the platform share the first, then come the senders, then the sites.
const (
	outsideNode     = 0
	firstSenderNode = 1
)

// world is a scenario instance, with data that all nodes may read.
type world struct {
	*scenario.Instance
	options       Options
	record        bool
	turnInterval  rules.Millis
	receiverNames []string // by receiver number
	receiverIDs   map[string]rules.ReceiverID
	destinationOf []int32 // by receiver number
	apart         []bool  // by destination: each receiver is a separate route
	kinds         []rules.KindID
	firstList     rules.ListUpdated
}

// receiver returns the number of a receiver.
func (w *world) receiver(name string) rules.ReceiverID { return w.receiverIDs[name] }

// addReceiver gives a receiver a number, if it has none.
func (w *world) addReceiver(name string, destination int) {
	if _, known := w.receiverIDs[name]; known {
		return
	}
	w.receiverIDs[name] = rules.ReceiverID(len(w.receiverNames))
	w.receiverNames = append(w.receiverNames, name)
	w.destinationOf = append(w.destinationOf, int32(destination))
}

// siteNode returns the node number of a destination's site.
func (w *world) siteNode(destination int) int32 {
	return int32(firstSenderNode + w.Senders + destination - 1)
}

// isFailing reports whether results count a destination as failing.
func (w *world) isFailing(destination int) bool {
	if w.options.IsFailing != nil {
		return w.options.IsFailing(destination)
	}
	return len(w.Destinations[destination-1].Faults) > 0
}

// listEntry returns the entry of a receiver in the receiver list.
func (w *world) listEntry(name, standing string) rules.Entry {
	id := w.receiverIDs[name]
	destination := int(w.destinationOf[id])
	entry := rules.Entry{Receiver: id, Destination: rules.DestinationID(destination), Kind: w.kinds[destination],
		ListedRate: w.Destinations[destination-1].Group.Profile.Limit}
	switch standing {
	case "ready":
		entry.Status = rules.Ready
	case "draining":
		entry.Status = rules.Draining
	}
	return entry
}

// newDecider creates a sender's Decider by the policy of the run.
func (w *world) newDecider(seed uint64, settings rules.Settings, startedAt rules.Millis) Decider {
	if w.options.Policy != nil {
		return w.options.Policy(seed, settings, startedAt)
	}
	return Daemon(seed, settings, startedAt)
}

// senderSeed derives the seed of one start of a sender.
func senderSeed(seed uint64, sender int, startCount uint64) uint64 {
	return scenario.NewRand(seed, 1<<42+uint64(sender)+startCount<<32).Uint64()
}

// toMillis converts a duration to milliseconds.
func toMillis(duration time.Duration) rules.Millis {
	return rules.Millis(duration) / rules.Millis(time.Millisecond)
}

// Run runs a scenario. If the context ends first, the run is cancelled: the result covers the time until then and
// is marked Broken.
func Run(ctx context.Context, played *scenario.Scenario, options Options) *Result {
	startedAt := time.Now()
	if options.Network.Delay <= 0 {
		options.Network = Loopback
	}
	workers := options.Workers
	if workers < 1 {
		workers = runtime.GOMAXPROCS(0)
	}
	run := &world{Instance: scenario.NewInstance(played), options: options, record: options.Record,
		turnInterval: played.Settings.Tick / 10, receiverIDs: map[string]rules.ReceiverID{}}
	run.apart, run.kinds = make([]bool, len(run.Destinations)+1), make([]rules.KindID, len(run.Destinations)+1)
	// Receiver number 0 is reserved for "no receiver".
	run.receiverNames, run.destinationOf = []string{""}, []int32{0}
	for _, d := range run.Destinations {
		if k := slices.Index(run.Names.Kinds, d.Group.Kind); k >= 0 {
			run.kinds[d.Number], run.apart[d.Number] = rules.KindID(k), run.Settings.Kinds[k].SeparateRoutes
		} else {
			run.kinds[d.Number] = rules.KindID(len(run.Names.Kinds))
		}
		for _, name := range d.Receivers {
			run.addReceiver(name, d.Number)
		}
	}
	run.firstList.Complete = true
	for _, d := range run.Destinations {
		for _, name := range d.Receivers {
			run.firstList.Entries = append(run.firstList.Entries, run.listEntry(name, "ready"))
		}
	}
	nodes := firstSenderNode + run.Senders + len(run.Destinations)
	workers = max(min(workers, nodes/8), 1)
	eng := newEngine(options.Network.Delay, nodes, workers, func(id int) int { return id % workers })
	port := func(id int) port {
		return port{id: int32(id), worker: eng.workerOf[id], engine: eng, network: options.Network,
			rng: rand.New(rand.NewPCG(played.Seed, 1<<43+uint64(id)))}
	}
	clients := newClient(run, port(outsideNode))
	eng.nodes[outsideNode] = clients
	var senders []*sender
	for i := range run.Senders {
		one := newSender(run, port(firstSenderNode+i), i)
		senders = append(senders, one)
		eng.nodes[firstSenderNode+i] = one
	}
	var sites []*site
	for _, d := range run.Destinations {
		one := newSite(run, port(int(run.siteNode(d.Number))), d)
		sites = append(sites, one)
		eng.nodes[one.id] = one
	}
	// Events posted while the nodes were created are still in the workers' outboxes.
	for _, from := range eng.workers {
		for index, events := range from.outbox {
			for _, x := range events {
				eng.workers[index].push(x)
			}
			from.outbox[index] = nil
		}
	}
	until := run.Length + run.Settle
	whole := eng.run(until, func(rules.Millis) bool { return ctx.Err() != nil })
	clients.worker.now = max(clients.worker.now, until)
	clients.settleEffects(true)
	result := &Result{Scenario: played.Name, Seed: played.Seed, All: clients.all.Share(),
		Well: clients.healthy.Share(), Sick: clients.failing.Share(), Handed: clients.counts.submitted,
		Taken: clients.counts.accepted, Refused: clients.counts.refused, Unanswered: clients.counts.unanswered,
		Dismissed: clients.counts.dismissed,
		BrokenOff: clients.counts.brokenOff, Bins: clients.bins, Events: eng.events(), Broken: !whole}
	for _, g := range clients.grades {
		result.Grades = append(result.Grades, g.Share())
	}
	for _, one := range sites {
		result.Calls += one.counts.calls
		result.CallsFull += one.counts.fullResponses
		result.Further += one.counts.furtherCalls
		result.Second += one.counts.secondEffects
		result.Overloads += len(one.overloads)
	}
	for _, one := range senders {
		result.Short += one.counts.localShortages
		result.BreakerChanges = append(result.BreakerChanges, one.breakerChanges...)
	}
	if options.Record {
		result.View = view(clients, senders, sites)
		if whole {
			result.Breaches = result.View.Check(run.Settings, tolerances, until)
		}
	}
	result.Wall = time.Since(startedAt)
	return result
}

// tolerances of the audit, in ms: nothing is delayed by a lack of processors here, but messages still take time.
var tolerances = audit.Tolerances{Slack: 5, Lost: 300, Restart: 1500, Drain: 1000, Wait: 20, Crossing: 20}

// view collects what all nodes recorded, for the audit.
func view(c *client, senders []*sender, sites []*site) audit.View {
	v := audit.View{Outcomes: c.outcomes, RefusedReports: c.refusals}
	for _, h := range c.submissions {
		v.Submissions = append(v.Submissions, audit.Submission{ID: h.id, Effect: effectName(h.effect),
			Mark: h.effect.idempotencyKey, Grade: h.effect.Grade,
			Portfolio: h.effect.Portfolio, Key: h.effect.Key, Dest: h.effect.Destination, Sender: h.sender,
			At: h.submittedAt, Until: h.deadline, Intended: h.effect.At,
			Resubmitted: h.resubmission, Status: h.status, Answered: h.answeredAt})
	}
	for _, s := range sites {
		for _, recorded := range s.recordedCalls {
			v.Calls = append(v.Calls, recorded.record)
		}
		v.Overloads = append(v.Overloads, s.overloads...)
	}
	for _, s := range senders {
		v.Listings = append(v.Listings, s.listRecords...)
		v.SenderEvents = append(v.SenderEvents, s.lifeRecords...)
	}
	return v
}
