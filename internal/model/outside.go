package model

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/results"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
)

// Events handled by the clients and the platform; the comment names the fields of the event that are used.
const (
	evArrival            eventKind = iota + 60 // own event: the next effect is due
	evResubmit                                 // own event, submission: a client submits again
	evSubmissionAnswered                       // submission, value: the status, payload: the Retry-After wait
	evAnswerTimeout                            // own event, submission: its client stops waiting for an answer
	evOutcome                                  // submission, value, payload: a final outcome
	evWatchList                                // a sender subscribes to changes of the receiver list
	evScriptStep                               // own event, value: index of the script step to run
	evSenderKnownDown                          // own event, value: clients have noticed that this sender is down
	evSettle                                   // own event: count the effects whose time is over
)

// statusNoAnswer is the status of a submission that the sender may have read but never answered. Status 0 means
// that the sender cannot have read it.
const statusNoAnswer = -1

// effect is what a client wants to happen, however often it is submitted.
type effect struct {
	scenario.Arrival
	number         int
	idempotencyKey string

	// Written by the site.
	deliveredAt rules.Millis // first delivery; negative: not delivered
	runs        int          // how often an at-most-once effect has taken effect
}

// submission is one submission of an effect to a sender.
type submission struct {
	effect                *effect
	id                    string // set only if the run is recorded
	submittedAt, deadline rules.Millis
	resubmission          bool
	sender                int
	status                int
	answeredAt            rules.Millis
	settled               bool // answered, or its client has stopped waiting
	called                bool // written by the site: a gateway has read a call for it
}

// outcomeReport is a final outcome as a sender reports it.
type outcomeReport struct {
	outcome    string
	retryAfter rules.Millis
}

// client simulates all clients, and the platform.
type client struct {
	port
	world        *world
	arrivals     *scenario.Arrivals
	nextArrival  scenario.Arrival
	hasNext      bool // nextArrival is set
	rng          *rand.Rand
	effectCount  int
	dealCount    int    // round-robin counter of chooseSender
	senderStates []int8 // by sender: 0 up, 1 down but clients have not noticed, 2 known to be down
	watching     []bool // by sender: subscribed to changes of the receiver list
	script       []scriptStep
	currentList  []audit.Listing // the receiver list now in force, in the order of the changes

	openEffects []*effect // not settled yet
	all         *results.Tally
	grades      []*results.Tally
	healthy     *results.Tally
	failing     *results.Tally
	bins        []Bin

	submissions []*submission
	outcomes    []audit.FinalOutcome
	refusals    []audit.RefusedReport
	counts      struct{ submitted, accepted, refused, unanswered, dismissed, brokenOff int }
}

// scriptStep is a change at a fixed time.
type scriptStep struct {
	at  rules.Millis
	run func()
}

// newClient creates the clients and the platform, and schedules the script and the first effect.
func newClient(w *world, p port) *client {
	c := &client{port: p, world: w, arrivals: w.Arrivals(), rng: scenario.NewRand(w.Seed, 1<<40),
		senderStates: make([]int8, w.Senders),
		watching:     make([]bool, w.Senders), all: results.NewTally("all"), healthy: results.NewTally("well"),
		failing: results.NewTally("sick")}
	for _, name := range w.Names.Grades {
		c.grades = append(c.grades, results.NewTally(name))
	}
	c.bins = make([]Bin, int(w.Length/binSpan)+1)
	c.buildScript()
	for i, s := range c.script {
		c.schedule(s.at, event{kind: evScriptStep, value: int64(i)})
	}
	c.scheduleNextArrival()
	c.schedule(1000, event{kind: evSettle})
	return c
}

// scheduleNextArrival schedules the next effect, if there is one.
func (c *client) scheduleNextArrival() {
	if c.nextArrival, c.hasNext = c.arrivals.Next(); c.hasNext {
		c.schedule(max(c.nextArrival.At-c.now(), 0), event{kind: evArrival})
	}
}

// handle processes one event.
func (c *client) handle(e *event) {
	switch e.kind {
	case evArrival:
		c.effectCount++
		eff := &effect{Arrival: c.nextArrival, number: c.effectCount, deliveredAt: -1}
		if c.world.record && c.world.Settings.Grades[eff.Grade].Repeat == rules.Numbered {
			eff.idempotencyKey = fmt.Sprintf("m%d", eff.number)
		}
		c.openEffects = append(c.openEffects, eff)
		c.submit(eff, false)
		c.scheduleNextArrival()
	case evResubmit:
		c.submit(e.submission.effect, true)
	case evSubmissionAnswered:
		c.handleAnswer(e.submission, int(e.value), e.payload.(rules.Millis))
	case evAnswerTimeout:
		if !e.submission.settled {
			c.handleAnswer(e.submission, statusNoAnswer, 0)
		}
	case evOutcome:
		c.handleOutcome(e)
	case evWatchList:
		c.startWatch(int(e.from) - firstSenderNode)
	case evScriptStep:
		c.script[e.value].run()
	case evSenderKnownDown:
		if c.senderStates[e.value] == 1 {
			c.senderStates[e.value] = 2
		}
	case evSettle:
		c.settleEffects(false)
		c.schedule(1000, event{kind: evSettle})
	}
}

// chooseSender distributes submissions over the senders in turn, except those known to be down.
func (c *client) chooseSender() int {
	n := c.world.Senders
	c.dealCount++
	for i := range n {
		if s := (c.dealCount + i) % n; c.senderStates[s] < 2 {
			return s
		}
	}
	return c.dealCount % n
}

// submit submits an effect to a sender, unless its client timeout is over.
func (c *client) submit(eff *effect, resubmission bool) {
	now := c.now()
	deadline := eff.At + c.world.Settings.Grades[eff.Grade].ClientTimeout
	if deadline-now < 1 {
		return
	}
	h := &submission{effect: eff, submittedAt: now, deadline: deadline, resubmission: resubmission,
		sender: c.chooseSender()}
	c.counts.submitted++
	if c.world.record {
		h.id = fmt.Sprintf("n%d-e%d", len(c.submissions)+1, eff.number)
		c.submissions = append(c.submissions, h)
	}
	c.post(int32(h.sender+firstSenderNode), c.transitTime(), event{kind: evSubmission, submission: h})
	c.schedule(c.world.Traffic.AnswerTimeout, event{kind: evAnswerTimeout, submission: h})
}

// handleAnswer handles a sender's answer, or the lack of one.
func (c *client) handleAnswer(sub *submission, status int, retryAfter rules.Millis) {
	if sub.settled {
		return
	}
	sub.settled = true
	if status > 0 {
		sub.status, sub.answeredAt = status, c.now()
	}
	grade := c.world.Settings.Grades[sub.effect.Grade]
	switch {
	case status == 202:
		c.counts.accepted++
	case status == 429 || status == 503:
		c.counts.refused++
		c.resubmitLater(sub, max(retryAfter, 20))
	case status == 0 || status == statusNoAnswer && grade.Repeat != rules.AtMostOnce:
		c.counts.unanswered++
		c.resubmitLater(sub, 100)
	case status == statusNoAnswer:
		c.counts.unanswered++
	}
}

// resubmitLater submits an effect again after a delay, if its client wants that and the client timeout allows it.
func (c *client) resubmitLater(sub *submission, delay rules.Millis) {
	resubmits := c.rng.Float64() < c.world.Traffic.ResubmitShare
	if resubmits && c.now()+delay < sub.deadline {
		c.schedule(delay, event{kind: evResubmit, submission: sub})
	}
}

// handleOutcome accepts a sender's final outcome, or refuses it while the platform's fault is active.
func (c *client) handleOutcome(e *event) {
	confirmation := event{kind: evOutcomeAccepted, value: e.value}
	sender := int(e.from) - firstSenderNode
	if _, on := c.activeFault(scenario.EndsRefused); on {
		c.refusals = append(c.refusals, audit.RefusedReport{Sender: sender, At: c.now()})
		confirmation.kind = evOutcomeRefused
	} else {
		report := e.payload.(outcomeReport)
		if c.world.record {
			c.outcomes = append(c.outcomes, audit.FinalOutcome{ID: e.submission.id, Outcome: report.outcome,
				Sender: sender,
				At:     c.now()})
		}
		if report.outcome == "handed_back" {
			c.counts.dismissed++
			c.resubmitLater(e.submission, max(report.retryAfter, 20))
		} else {
			c.counts.brokenOff++
		}
	}
	c.post(e.from, c.transitTime(), confirmation)
}

// activeFault returns the active fault of a kind, if there is one.
func (c *client) activeFault(kind string) (scenario.Fault, bool) {
	for _, f := range c.world.Faults {
		if f.Kind == kind && f.Active(c.now()) {
			return f, true
		}
	}
	return scenario.Fault{}, false
}

// startWatch subscribes a sender to changes of the receiver list. The whole list is sent first.
func (c *client) startWatch(sender int) {
	to := int32(sender + firstSenderNode)
	if f, on := c.activeFault(scenario.ListSilent); on && c.world.Settings.WatchOnRequest {
		c.post(to, min(f.Until()-c.now(), 3000), event{kind: evListFailed})
		return
	}
	c.watching[sender] = true
	c.post(to, c.transitTime(), event{kind: evListReport, payload: c.newListReport(true, c.currentList)})
}

// newListReport creates a report of the whole receiver list or of changes.
func (c *client) newListReport(whole bool, receivers []audit.Listing) listReport {
	t := listReport{list: rules.ListUpdated{Complete: whole}, receivers: slices.Clone(receivers)}
	for _, m := range receivers {
		t.list.Entries = append(t.list.Entries, c.world.listEntry(m.Receiver, m.Status))
	}
	return t
}

// applyListChange changes the receiver list and reports the change to all subscribed senders. While the platform is
// silent or sends data that cannot be parsed, the reports wait.
func (c *client) applyListChange(changes []audit.Listing) {
	for _, m := range changes {
		i := slices.IndexFunc(c.currentList, func(o audit.Listing) bool { return o.Receiver == m.Receiver })
		switch {
		case i >= 0 && m.Status == "gone":
			c.currentList = slices.Delete(c.currentList, i, i+1)
		case i >= 0:
			c.currentList[i] = m
		case m.Status != "gone":
			c.currentList = append(c.currentList, m)
		}
	}
	delay := rules.Millis(0)
	for _, kind := range []string{scenario.ListSilent, scenario.ListGarbage} {
		if f, on := c.activeFault(kind); on {
			delay = max(delay, f.Until()-c.now())
		}
	}
	for sender, watches := range c.watching {
		if watches {
			c.post(int32(sender+firstSenderNode), delay+c.transitTime(), event{kind: evListReport,
				payload: c.newListReport(false, changes)})
		}
	}
}

// buildScript builds the script: the changes that the platform makes and the faults of the senders, by time.
func (c *client) buildScript() {
	add := func(at rules.Millis, run func()) { c.script = append(c.script, scriptStep{at, run}) }
	for _, d := range c.world.Destinations {
		for _, name := range d.Receivers {
			c.currentList = append(c.currentList, audit.Listing{Receiver: name, Status: "ready"})
		}
		site := c.world.siteNode(d.Number)
		for n, f := range d.Faults {
			current := d.Receivers
			replacements := make([]string, len(current))
			for i, name := range current {
				replacements[i] = fmt.Sprintf("%s+%d", name, n+1)
				c.world.addReceiver(replacements[i], d.Number)
			}
			listChange := func(names []string, standing string) func() {
				return func() {
					var changes []audit.Listing
					for _, name := range names {
						changes = append(changes, audit.Listing{Receiver: name, Status: standing})
					}
					c.applyListChange(changes)
				}
			}
			eachReceiver := func(names []string, k eventKind) func() {
				return func() {
					for _, name := range names {
						c.post(site, c.transitTime(), event{kind: k, value: int64(c.world.receiver(name))})
					}
				}
			}
			listDelay := c.world.ListDelay
			switch f.Kind {
			case scenario.Drain:
				add(f.At, eachReceiver(replacements, evReceiverAdded))
				add(f.At+listDelay, func() { listChange(current, "draining")(); listChange(replacements, "ready")() })
				add(f.Until(), listChange(current, "gone"))
				add(f.Until()+listDelay+1500, eachReceiver(current, evReceiverRemoved))
			case scenario.Vanish:
				add(f.At, eachReceiver(current, evReceiverRemoved))
				add(f.At+listDelay, listChange(current, "gone"))
				add(f.Until(), eachReceiver(replacements, evReceiverAdded))
				add(f.Until()+listDelay, listChange(replacements, "ready"))
			}
		}
	}
	for i, f := range c.world.Faults {
		for _, n := range c.world.AffectedSenders[i] {
			to := int32(n + firstSenderNode)
			notify := func(k eventKind, value int64) { c.post(to, 0, event{kind: k, value: value}) }
			restart := func() { // with the receiver list as it is at the restart
				c.post(to, 0, event{kind: evRestart, payload: c.newListReport(true, c.currentList).list})
				c.senderStates[n] = 0
			}
			takeDown := func() {
				c.senderStates[n] = 1
				c.schedule(c.world.FailureDetectionDelay, event{kind: evSenderKnownDown, value: int64(n)})
			}
			switch f.Kind {
			case scenario.Kill:
				add(f.At, func() { takeDown(); notify(evKill, 0) })
				add(f.Until(), restart)
			case scenario.Stop:
				add(f.At, func() { takeDown(); notify(evShutdown, 0) })
				add(f.Until(), restart)
			case scenario.Freeze:
				add(f.At, func() { notify(evPause, 0) })
				add(f.Until(), func() { notify(evResume, 0) })
			case scenario.FewFiles:
				add(f.At, func() { notify(evDescriptorLimit, int64(f.Size)) })
				add(f.Until(), func() { notify(evDescriptorLimit, -1) })
			}
		}
	}
	slices.SortStableFunc(c.script, func(a, b scriptStep) int { return cmp.Compare(a.at, b.at) })
}

// settleEffects counts the credit of the effects whose time is over; with all set, of the others too.
func (c *client) settleEffects(all bool) {
	remaining := c.openEffects[:0]
	for _, eff := range c.openEffects {
		g := c.world.Settings.Grades[eff.Grade]
		if !all && c.now() < eff.At+g.ClientTimeout+1000 {
			remaining = append(remaining, eff)
			continue
		}
		earned := 0.0
		if eff.deliveredAt >= 0 {
			earned = c.world.EarnedCredit(eff.Grade, eff.deliveredAt-eff.At)
		}
		tally := c.healthy
		if c.world.isFailing(eff.Destination) {
			tally = c.failing
		}
		for _, t := range []*results.Tally{c.all, c.grades[eff.Grade], tally} {
			t.Add(g.Credit, earned, eff.deliveredAt >= 0, eff.deliveredAt-eff.At)
		}
		b := &c.bins[min(int(eff.At/binSpan), len(c.bins)-1)]
		b.Asked += g.Credit
		b.Earned += earned
	}
	clear(c.openEffects[len(remaining):])
	c.openEffects = remaining
}

// effectName returns an effect's identifier in the audit.
func effectName(e *effect) string { return fmt.Sprintf("e%d", e.number) }
