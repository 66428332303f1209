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
	evSettle                                   // own event: count the effects whose client timeout is over
)

// statusNoAnswer is the status of a submission that the sender may have read but never answered. Status 0 means
// that the sender cannot have read it.
const statusNoAnswer = -1

// effect is what a client wants to happen once, however often the client submits it.
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
	answerHandled         bool // answered, or its client has stopped waiting
	called                bool // written by the site: a gateway has read a call for it
}

// outcomeReport is a final outcome as a sender reports it.
type outcomeReport struct {
	outcome    string
	retryAfter rules.Millis
}

// client is the node that simulates all clients and the platform.
type client struct {
	port
	run          *runData
	arrivals     *scenario.Arrivals
	nextArrival  scenario.Arrival
	hasNext      bool // nextArrival is set
	rng          *rand.Rand
	effectCount  int
	roundRobin   int    // counts the calls of chooseSender
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
func newClient(run *runData, p port) *client {
	c := &client{port: p, run: run, arrivals: run.Arrivals(), rng: scenario.NewRand(run.Seed, 1<<40),
		senderStates: make([]int8, run.Senders),
		watching:     make([]bool, run.Senders), all: results.NewTally("all"), healthy: results.NewTally("well"),
		failing: results.NewTally("sick")}
	for _, name := range run.Names.Grades {
		c.grades = append(c.grades, results.NewTally(name))
	}
	c.bins = make([]Bin, int(run.Length/binSpan)+1)
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
		if c.run.record && c.run.Settings.Grades[eff.Grade].Repeat == rules.Numbered {
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
		if !e.submission.answerHandled {
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
	n := c.run.Senders
	c.roundRobin++
	for i := range n {
		if s := (c.roundRobin + i) % n; c.senderStates[s] < 2 {
			return s
		}
	}
	return c.roundRobin % n
}

// submit submits an effect to a sender, unless its client timeout is over.
func (c *client) submit(eff *effect, resubmission bool) {
	now := c.now()
	deadline := eff.At + c.run.Settings.Grades[eff.Grade].ClientTimeout
	if deadline-now < 1 {
		return
	}
	sub := &submission{effect: eff, submittedAt: now, deadline: deadline, resubmission: resubmission,
		sender: c.chooseSender()}
	c.counts.submitted++
	if c.run.record {
		sub.id = fmt.Sprintf("n%d-e%d", len(c.submissions)+1, eff.number)
		c.submissions = append(c.submissions, sub)
	}
	c.post(int32(sub.sender+firstSenderNode), c.transitTime(), event{kind: evSubmission, submission: sub})
	c.schedule(c.run.Traffic.AnswerTimeout, event{kind: evAnswerTimeout, submission: sub})
}

// handleAnswer handles a sender's answer, or the lack of one.
func (c *client) handleAnswer(sub *submission, status int, retryAfter rules.Millis) {
	if sub.answerHandled {
		return
	}
	sub.answerHandled = true
	if status > 0 {
		sub.status, sub.answeredAt = status, c.now()
	}
	grade := c.run.Settings.Grades[sub.effect.Grade]
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
	resubmits := c.rng.Float64() < c.run.Traffic.ResubmitShare
	if resubmits && c.now()+delay < sub.deadline {
		c.schedule(delay, event{kind: evResubmit, submission: sub})
	}
}

// handleOutcome accepts a sender's final outcome, or refuses it while the platform's fault is active.
func (c *client) handleOutcome(e *event) {
	confirmation := event{kind: evOutcomeAccepted, value: e.value}
	sender := int(e.from) - firstSenderNode
	if _, active := c.activeFault(scenario.OutcomesRefused); active {
		c.refusals = append(c.refusals, audit.RefusedReport{Sender: sender, At: c.now()})
		confirmation.kind = evOutcomeRefused
	} else {
		report := e.payload.(outcomeReport)
		if c.run.record {
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
	for _, f := range c.run.Faults {
		if f.Kind == kind && f.Active(c.now()) {
			return f, true
		}
	}
	return scenario.Fault{}, false
}

// startWatch subscribes a sender to changes of the receiver list. The whole list is sent first.
func (c *client) startWatch(sender int) {
	to := int32(sender + firstSenderNode)
	if f, active := c.activeFault(scenario.ListSilent); active && c.run.Settings.WatchOnRequest {
		c.post(to, min(f.Until()-c.now(), 3000), event{kind: evListFailed})
		return
	}
	c.watching[sender] = true
	c.post(to, c.transitTime(), event{kind: evListReport, payload: c.newListReport(true, c.currentList)})
}

// newListReport creates a report of the whole receiver list or of changes.
func (c *client) newListReport(complete bool, receivers []audit.Listing) listReport {
	report := listReport{list: rules.ListUpdated{Complete: complete}, listings: slices.Clone(receivers)}
	for _, listing := range receivers {
		report.list.Entries = append(report.list.Entries, c.run.listEntry(listing.Receiver, listing.Status))
	}
	return report
}

// applyListChange changes the receiver list and reports the change to all subscribed senders. While the platform is
// silent or sends data that cannot be parsed, the reports are delayed until the fault is over.
func (c *client) applyListChange(changes []audit.Listing) {
	for _, changed := range changes {
		i := slices.IndexFunc(c.currentList,
			func(listing audit.Listing) bool { return listing.Receiver == changed.Receiver })
		switch {
		case i >= 0 && changed.Status == "gone":
			c.currentList = slices.Delete(c.currentList, i, i+1)
		case i >= 0:
			c.currentList[i] = changed
		case changed.Status != "gone":
			c.currentList = append(c.currentList, changed)
		}
	}
	delay := rules.Millis(0)
	for _, kind := range []string{scenario.ListSilent, scenario.ListGarbage} {
		if f, active := c.activeFault(kind); active {
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

// buildScript builds the script, ordered by time: changes of the receiver list, receivers that are added and removed,
// and the faults of the senders.
func (c *client) buildScript() {
	add := func(at rules.Millis, run func()) { c.script = append(c.script, scriptStep{at, run}) }
	for _, d := range c.run.Destinations {
		for _, name := range d.Receivers {
			c.currentList = append(c.currentList, audit.Listing{Receiver: name, Status: "ready"})
		}
		site := c.run.siteNode(d.Number)
		for n, f := range d.Faults {
			current := d.Receivers
			replacements := make([]string, len(current))
			for i, name := range current {
				replacements[i] = fmt.Sprintf("%s+%d", name, n+1)
				c.run.addReceiver(replacements[i], d.Number)
			}
			listChange := func(names []string, status string) func() {
				return func() {
					var changes []audit.Listing
					for _, name := range names {
						changes = append(changes, audit.Listing{Receiver: name, Status: status})
					}
					c.applyListChange(changes)
				}
			}
			eachReceiver := func(names []string, k eventKind) func() {
				return func() {
					for _, name := range names {
						c.post(site, c.transitTime(), event{kind: k, value: int64(c.run.receiverID(name))})
					}
				}
			}
			listDelay := c.run.ListDelay
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
	for i, f := range c.run.Faults {
		for _, n := range c.run.AffectedSenders[i] {
			to := int32(n + firstSenderNode)
			notify := func(k eventKind, value int64) { c.post(to, 0, event{kind: k, value: value}) }
			restart := func() { // with the receiver list as it is at the restart
				c.post(to, 0, event{kind: evRestart, payload: c.newListReport(true, c.currentList).list})
				c.senderStates[n] = 0
			}
			markDown := func() {
				c.senderStates[n] = 1
				c.schedule(c.run.FailureDetectionDelay, event{kind: evSenderKnownDown, value: int64(n)})
			}
			switch f.Kind {
			case scenario.Kill:
				add(f.At, func() { markDown(); notify(evKill, 0) })
				add(f.Until(), restart)
			case scenario.Stop:
				add(f.At, func() { markDown(); notify(evShutdown, 0) })
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

// settleEffects counts the credit of the effects whose client timeout is over; with all set, of the others too.
func (c *client) settleEffects(all bool) {
	remaining := c.openEffects[:0]
	for _, eff := range c.openEffects {
		g := c.run.Settings.Grades[eff.Grade]
		if !all && c.now() < eff.At+g.ClientTimeout+1000 {
			remaining = append(remaining, eff)
			continue
		}
		earned := 0.0
		if eff.deliveredAt >= 0 {
			earned = c.run.EarnedCredit(eff.Grade, eff.deliveredAt-eff.At)
		}
		tally := c.healthy
		if c.run.isFailing(eff.Destination) {
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
