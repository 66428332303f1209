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

// Policy creates the Decider for one start of a sender. startedAt is the time of the start within the run; the Decider
// counts its own time from there.
type Policy func(seed uint64, settings rules.Settings, startedAt rules.Millis) Decider

// Daemon is the daemon's own policy: it creates a rules.Sender.
func Daemon(seed uint64, settings rules.Settings, _ rules.Millis) Decider {
	return rules.New(seed, settings)
}

// Options control how a scenario is run.
type Options struct {
	Network Network // without a Delay: Loopback
	Policy  Policy  // nil: Daemon
	Workers int     // below 1: the number of processors; results don't depend on it
	Record  bool    // keep everything that the audit needs, and audit it
	// IsFailing reports whether the result counts a destination under Sick rather than Well; nil: those with faults.
	IsFailing func(destination int) bool
}

// Bin is the credit of the effects that became due within one part of the run: the most possible (Asked) and what was
// earned.
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

// Result is the result of a run. An effect is what a client wants to happen; it may submit one several times, and each
// submission that is accepted is a notice. All figures are those of the model.
type Result struct {
	Scenario       string          `json:"scenario"`
	Seed           uint64          `json:"seed"`
	All            results.Share   `json:"all"`
	Grades         []results.Share `json:"grades"`
	Well, Sick     results.Share   // of the destinations that work, and of those that fail (Options.IsFailing)
	Submitted      int             `json:"handed"`         // submissions
	Accepted       int             `json:"taken"`          // submissions that were accepted
	Refused        int             `json:"refused"`        // submissions that were refused
	Unanswered     int             `json:"unanswered"`     // submissions without a response
	Dismissed      int             `json:"dismissed"`      // accepted notices that were dismissed
	BrokenOff      int             `json:"broken_off"`     // accepted notices that were broken off
	Calls          int             `json:"calls"`          // calls that destinations received
	RefusedCalls   int             `json:"calls_full"`     // of these, calls that were refused with 429 or 503
	FurtherCalls   int             `json:"further"`        // calls beyond the first for a submission
	SecondEffects  int             `json:"second_effects"` // repeated effects of at-most-once notices
	LocalShortages int             `json:"short"`          // calls not begun for lack of descriptors
	Overloads      int             `json:"falls"`          // recovering destinations that were overloaded again
	Bins           []Bin           `json:"bins,omitempty"`
	Events         int64           `json:"events"`
	Wall           time.Duration   `json:"-"`
	Cancelled      bool            `json:"broken,omitempty"` // cancelled before its end
	BreakerChanges []BreakerChange `json:"-"`
	Breaches       []audit.Breach  `json:"breaches,omitempty"`
	View           audit.View      `json:"-"`
}

// Node numbers: the clients and the platform share one node, the senders follow, then the sites of the destinations.
const (
	clientNode      = 0
	firstSenderNode = 1
)

// runData is a scenario instance with the data of the run that all nodes may read.
type runData struct {
	*scenario.Instance
	options        Options
	record         bool
	turnInterval   rules.Millis
	receiverNames  []string // by receiver number
	receiverIDs    map[string]rules.ReceiverID
	destinationOf  []int32 // by receiver number
	separateRoutes []bool  // by destination: each receiver is a separate route
	kindOf         []rules.KindID
	initialList    rules.ListUpdated
}

// receiverID returns the number of the receiver with this name.
func (r *runData) receiverID(name string) rules.ReceiverID { return r.receiverIDs[name] }

// addReceiver gives a receiver a number, if it has none.
func (r *runData) addReceiver(name string, destination int) {
	if _, known := r.receiverIDs[name]; known {
		return
	}
	r.receiverIDs[name] = rules.ReceiverID(len(r.receiverNames))
	r.receiverNames = append(r.receiverNames, name)
	r.destinationOf = append(r.destinationOf, int32(destination))
}

// siteNode returns the node number of a destination's site.
func (r *runData) siteNode(destination int) int32 {
	return int32(firstSenderNode + r.Senders + destination - 1)
}

// isFailing reports whether the result counts a destination as failing.
func (r *runData) isFailing(destination int) bool {
	if r.options.IsFailing != nil {
		return r.options.IsFailing(destination)
	}
	return len(r.Destinations[destination-1].Faults) > 0
}

// listEntry returns the entry of a receiver in the receiver list. A status other than "ready" and "draining" means
// that the receiver is gone.
func (r *runData) listEntry(name, status string) rules.Entry {
	id := r.receiverIDs[name]
	destination := int(r.destinationOf[id])
	entry := rules.Entry{Receiver: id, Destination: rules.DestinationID(destination), Kind: r.kindOf[destination],
		ListedRate: r.Destinations[destination-1].Group.Profile.Limit}
	switch status {
	case "ready":
		entry.Status = rules.Ready
	case "draining":
		entry.Status = rules.Draining
	}
	return entry
}

// newDecider creates a sender's Decider by the policy of the run.
func (r *runData) newDecider(seed uint64, settings rules.Settings, startedAt rules.Millis) Decider {
	if r.options.Policy != nil {
		return r.options.Policy(seed, settings, startedAt)
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
// is marked Cancelled.
func Run(ctx context.Context, definition *scenario.Scenario, options Options) *Result {
	startedAt := time.Now()
	if options.Network.Delay <= 0 {
		options.Network = Loopback
	}
	workers := options.Workers
	if workers < 1 {
		workers = runtime.GOMAXPROCS(0)
	}
	run := &runData{Instance: scenario.NewInstance(definition), options: options, record: options.Record,
		turnInterval: definition.Settings.Tick / 10, receiverIDs: map[string]rules.ReceiverID{}}
	run.separateRoutes, run.kindOf = make([]bool, len(run.Destinations)+1),
		make([]rules.KindID, len(run.Destinations)+1)
	// Receiver number 0 is reserved for "no receiver".
	run.receiverNames, run.destinationOf = []string{""}, []int32{0}
	for _, d := range run.Destinations {
		if k := slices.Index(run.Names.Kinds, d.Group.Kind); k >= 0 {
			run.kindOf[d.Number], run.separateRoutes[d.Number] = rules.KindID(k), run.Settings.Kinds[k].SeparateRoutes
		} else {
			run.kindOf[d.Number] = rules.KindID(len(run.Names.Kinds))
		}
		for _, name := range d.Receivers {
			run.addReceiver(name, d.Number)
		}
	}
	run.initialList.Complete = true
	for _, d := range run.Destinations {
		for _, name := range d.Receivers {
			run.initialList.Entries = append(run.initialList.Entries, run.listEntry(name, "ready"))
		}
	}
	nodes := firstSenderNode + run.Senders + len(run.Destinations)
	workers = max(min(workers, nodes/8), 1)
	eng := newEngine(options.Network.Delay, nodes, workers, func(id int) int { return id % workers })
	newPort := func(id int) port {
		return port{id: int32(id), worker: eng.workerOf[id], engine: eng, network: options.Network,
			rng: rand.New(rand.NewPCG(definition.Seed, 1<<43+uint64(id)))}
	}
	clients := newClient(run, newPort(clientNode))
	eng.nodes[clientNode] = clients
	var senders []*sender
	for i := range run.Senders {
		s := newSender(run, newPort(firstSenderNode+i), i)
		senders = append(senders, s)
		eng.nodes[firstSenderNode+i] = s
	}
	var sites []*site
	for _, d := range run.Destinations {
		s := newSite(run, newPort(int(run.siteNode(d.Number))), d)
		sites = append(sites, s)
		eng.nodes[s.id] = s
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
	completed := eng.run(until, func(rules.Millis) bool { return ctx.Err() != nil })
	clients.worker.now = max(clients.worker.now, until)
	clients.settleEffects(true)
	result := &Result{Scenario: definition.Name, Seed: definition.Seed, All: clients.all.Share(),
		Well: clients.healthy.Share(), Sick: clients.failing.Share(), Submitted: clients.counts.submitted,
		Accepted: clients.counts.accepted, Refused: clients.counts.refused, Unanswered: clients.counts.unanswered,
		Dismissed: clients.counts.dismissed,
		BrokenOff: clients.counts.brokenOff, Bins: clients.bins, Events: eng.events(), Cancelled: !completed}
	for _, g := range clients.grades {
		result.Grades = append(result.Grades, g.Share())
	}
	for _, s := range sites {
		result.Calls += s.counts.calls
		result.RefusedCalls += s.counts.refusedCalls
		result.FurtherCalls += s.counts.furtherCalls
		result.SecondEffects += s.counts.secondEffects
		result.Overloads += len(s.overloads)
	}
	for _, s := range senders {
		result.LocalShortages += s.counts.localShortages
		result.BreakerChanges = append(result.BreakerChanges, s.breakerChanges...)
	}
	if options.Record {
		result.View = collectView(clients, senders, sites)
		if completed {
			result.Breaches = result.View.Check(run.Settings, tolerances, until)
		}
	}
	result.Wall = time.Since(startedAt)
	return result
}

// tolerances of the audit, in ms. Processing takes no simulated time, but messages do.
var tolerances = audit.Tolerances{Slack: 5, Lost: 300, Restart: 1500, Drain: 1000, Wait: 20, Crossing: 20}

// collectView collects what all nodes recorded, for the audit.
func collectView(c *client, senders []*sender, sites []*site) audit.View {
	v := audit.View{Outcomes: c.outcomes, RefusedReports: c.refusals}
	for _, sub := range c.submissions {
		v.Submissions = append(v.Submissions, audit.Submission{ID: sub.id, Effect: effectName(sub.effect),
			Mark: sub.effect.idempotencyKey, Grade: sub.effect.Grade,
			Portfolio: sub.effect.Portfolio, Key: sub.effect.Key, Dest: sub.effect.Destination, Sender: sub.sender,
			At: sub.submittedAt, Until: sub.deadline, Intended: sub.effect.At,
			Resubmitted: sub.resubmission, Status: sub.status, Answered: sub.answeredAt})
	}
	for _, s := range sites {
		for _, recorded := range s.recordedCalls {
			v.Calls = append(v.Calls, recorded.record)
		}
		v.Overloads = append(v.Overloads, s.overloads...)
	}
	for _, s := range senders {
		v.Listings = append(v.Listings, s.listRecords...)
		v.SenderEvents = append(v.SenderEvents, s.senderEvents...)
	}
	return v
}
