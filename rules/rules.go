// Package rules holds every decision of a sender. Make one with New, then call Decide whenever something
// happened: it takes the time and the events and returns the actions, to be carried out in their order.
// The interface (ids, Settings, events, actions) is in api.go; docs/design.md tells why things are so.
package rules

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	// The breaker's figures, from the design page.
	statisticsWindow              Millis = 30_000
	resetTimeout                  Millis = 5_000
	minimumCallsBeforeCalculation        = 10
	failureThreshold                     = 5
	halfOpenMaxCalls                     = 3

	// The delay window's steps.
	nearBest  = 2.0  // a mean delay up to so many times the best counts as near it
	farBest   = 4.0  // from here on it counts as slow
	narrowing = 0.9  // what is left of the window after a slow answer
	bestDrift = 0.01 // how far each answer draws the best delay up to the mean

	overdue     = 6.0  // a call out so many times the mean delay is overdue
	silent      = 6.0  // so many patiences owed by all calls together make a route silent
	hopeless    = 2.0  // a call out so many times as long as makes it overdue may be called off for its slot
	creditPart  = 0.15 // a receiver's credits, as a share of the slots
	foresight   = 0.8  // how much of what a notice would still earn a quoted time later counts against haste
	doubtPart   = 0.75 // of the slots that all doubtful routes may hold together
	nearlyFull  = 0.9  // of the hold limit: from here on the least promising make room
	ownPart     = 1.5  // of the return budget, among many: see docs/design.md on why it may be over one
	few         = 4.0  // so few senders each use all of their part, and it may not be over one
	closeServed = 0.2  // how near a grade's served share must be to the worst to count with it
	sureAfter   = 2.0  // an outage is sure after so many falls without a success
	burstPart   = 0.25 // of a fall: what was not sent under a limit for so long may be made up
	yielding    = 0.7  // what is left of this sender's share of a limit after a refusal, leastShare at least
	leastShare  = 1.0 / 16
	breaking    = 0.1      // of the calls on idle connections lost, beyond what others lose, is suspect
	muchLeft    = 0.5      // of a limit: a call refused with more left was not refused for the limit
	farWorse    = 3.0      // so many times what is lost on others
	keeping     = 1.5      // calls while an idle connection would last, that make it worth keeping
	evenKeeping = 0.25     // the same, for each sender, where connections are refused
	tooMany     = 1.0 / 32 // of the calls to a kind: more refused connections are too many
	fewCalls    = 8        // too little to know a kind by

	never = Millis(math.MaxFloat64)
)

// New starts a sender that knows only its settings and its seed.
func New(seed uint64, settings Settings) *Sender {
	s := remember(seed, settings)
	s.credits = max(math.Ceil(creditPart*float64(settings.Slots)), 2)
	s.doubted = max(int(doubtPart*float64(settings.Slots)), 1)
	if settings.ListOnAsk {
		s.watchAt = 0
	}
	return s
}

// Decide takes what happened and returns what is to be done.
func (s *Sender) Decide(now Millis, events []Event) []Action {
	s.now, s.actions, s.fresh, s.turns = now, nil, nil, s.turns+1
	for _, e := range events {
		switch e := e.(type) {
		case NoticeTaken:
			s.take(e)
		case TripEnded:
			s.tripEnded(e)
		case WaitTold:
			if rc := s.receivers[e.Receiver]; rc != nil {
				s.waitTold(rc.route, e.Wait)
			}
		case NoticeWithdrawn:
			if n := s.notices[e.Notice]; n != nil {
				s.forget(n)
			}
		case ListTold:
			s.listTold(e)
		case ListFailed:
			s.watchAt = s.now + s.settings.AskWithin/16*Millis(1+s.random())
		}
	}
	if s.now >= s.watchAt {
		s.watchAt = never
		s.do(WatchList{})
	}
	s.tidy()
	s.stepBreakers()
	s.connectionsUp(events)
	s.weighGrades()
	s.giveUp()
	s.serve()
	s.makeRoom()
	s.setTimer()
	return s.actions
}

func (s *Sender) do(a Action) { s.actions = append(s.actions, a) }

func (s *Sender) listTold(e ListTold) {
	if e.Whole {
		for _, r := range s.receivers {
			r.standing = Gone
		}
	}
	for _, entry := range e.Entries {
		r := s.receivers[entry.Receiver]
		switch {
		case r == nil && entry.Standing == Gone:
			continue
		case r == nil:
			r = s.place(entry, max(float64(s.settings.Slots)/2, 1))
		}
		if r.standing = entry.Standing; s.settings.ListedError >= 0 && r.standing != Gone {
			r.route.listedRate = entry.ListedRate / 1000 / (1 + s.settings.ListedError)
		}
	}
}

func (s *Sender) take(e NoticeTaken) {
	g := &grade{Grade: Grade{ClientTimeout: e.Left, QuotedTime: e.Left}}
	if int(e.Grade) < len(s.grades) {
		g = s.grades[e.Grade]
	}
	n := &notice{id: e.Notice, grade: g, destination: s.destination(e.Destination), until: s.now + e.Left,
		room: e.Room}
	handedIn := n.until - g.ClientTimeout
	n.quotedAt = handedIn + g.QuotedTime
	n.credit = g.Credit * s.shareWorth(e.Portfolio)
	n.trips, n.ran, n.mayHaveRun, n.ranAt, n.ranZone = e.Trips, e.Ran, e.Ran > 0, s.now-e.RanAgo, e.RanZone
	if e.Inherited && g.Repeat == Numbered {
		// It may have run, at a receiver that is not told and from its hand-in on. At-most-once notices
		// that may have run are never handed on.
		n.mayHaveRun, n.zoneUnknown, n.ranAt = true, true, handedIn
	}
	if e.Key != 0 && g.InOrder {
		n.key = e.Key
		if s.keys[n.key] == nil {
			s.keys[n.key] = &keyLine{}
		}
		s.keys[n.key].line = append(s.keys[n.key].line, n)
	}
	s.hold(n)
}

// shareWorth is what a portfolio's credit counts now: less as this sender's part of its share is passed.
func (s *Sender) shareWorth(p PortfolioID) float64 {
	if int(p) >= len(s.portfolios) {
		return 1
	}
	span := s.settings.WarmWithin
	s.portfolios[p].add(s.now, span, 1)
	quota := s.settings.Quotas[p] * float64(span) / 1000 / float64(max(s.settings.Senders, 1))
	within := min(1, quota/s.portfolios[p].value)
	return s.settings.OverShare + (1-s.settings.OverShare)*within
}

// weighGrades gives each grade its weight in what the deployment aims for: the credit of the whole, and of
// the grade served worst. It guards against giving up the grade with the least credit for all others.
func (s *Sender) weighGrades() {
	var total, worst float64
	for _, g := range s.grades {
		asked := 1 + g.asked.read(s.now, statisticsWindow)
		g.weight = math.Exp(-(1 + g.earned.read(s.now, statisticsWindow)) / asked / closeServed)
		total, worst = total+asked, worst+g.weight
	}
	for _, g := range s.grades {
		g.weight = s.settings.WholeGoal + s.settings.WorstGoal*g.weight/worst*total/(1+g.asked.value)
	}
}

// end is the one place that gives a final answer. A dismissal tells that a repeat is harmless, so what may
// have run is broken off.
func (s *Sender) end(n *notice, back Millis, forRoom bool) {
	n.grade.asked.add(s.now, statisticsWindow, n.credit)
	if n.mayHaveRun || n.out != nil {
		s.do(BreakOff{n.id})
	} else {
		d := Dismiss{Notice: n.id, ForRoom: forRoom}
		if s.settings.RetryAfter && back > s.now && back < never {
			d.RetryAfter = min(back-s.now, s.settings.RetryMost)
		}
		s.do(d)
	}
	s.forget(n)
}

// lastCall is when a notice has its final answer at the latest; a timer may land a tick late.
func (s *Sender) lastCall(n *notice) Millis { return n.until - 3*s.settings.Tick }

// giveUp ends what can no longer be handled, at once.
func (s *Sender) giveUp() {
	var late []*notice
	for _, d := range s.waiting {
		s.look(d)
		s.rested(d)
		for _, n := range d.special {
			n.opens = s.opensAt(n)
			if max(n.opens, s.now) >= s.lastCall(n) || n.trips >= s.settings.TripLimit {
				late = append(late, n)
			}
		}
		for len(d.plain) > 0 && d.plainAt >= s.lastCall(d.plain[0]) {
			n := d.nextPlain()
			n.opens = d.plainAt
			late = append(late, n)
		}
	}
	slices.SortFunc(late, func(a, b *notice) int { return cmp.Compare(a.order, b.order) })
	for _, n := range late {
		s.end(n, n.opens, false)
	}
}

// opensAt is the earliest time at which the rules may let a notice go, as far as that is known.
func (s *Sender) opensAt(n *notice) Millis {
	d, at := s.look(n.destination), never
	switch {
	case !n.mayHaveRun && !d.listed:
		return s.now
	case !n.mayHaveRun && n.key == 0:
		return max(d.plainAt, n.restUntil)
	}
	for _, r := range n.destination.routes {
		for _, rc := range r.receivers {
			at = min(at, s.passesAt(n, rc))
		}
	}
	return at
}

// look finds out, once a turn, when a destination may take a notice that nothing holds back, and whether it
// may take one now: with many notices held for few that may, a turn must not ask for each of them.
func (s *Sender) look(d *destination) *destination {
	if d.lookedAt == s.turns {
		return d
	}
	d.lookedAt, d.listed, d.takes, d.opensAt = s.turns, false, false, never
	for _, r := range d.routes {
		if slices.ContainsFunc(r.receivers, func(rc *receiver) bool { return rc.standing == Ready }) {
			d.listed, d.opensAt = true, min(d.opensAt, s.routeOpensAt(r))
		}
		d.takes = d.takes || s.takes(r)
	}
	if d.plainAt = d.opensAt; !d.listed {
		d.plainAt = s.now
	}
	return d
}

// takes tells whether a route may be sent a notice now that nothing holds back.
func (s *Sender) takes(r *route) bool {
	may := func(rc *receiver) bool { return rc.standing == Ready && s.earn(rc, 0) >= 1 }
	opens := max(s.routeOpensAt(r), s.paceAt(r))
	return opens <= s.now && s.roomFor(r) && slices.ContainsFunc(r.receivers, may)
}

// outlook is how much longer than known a destination may stay away: as long again as it has, as outages go.
func (s *Sender) outlook(d *destination) Millis {
	least := Millis(0)
	for i, r := range d.routes {
		if !r.down {
			return 0
		}
		if away := s.now - r.badSince; i == 0 || away < least {
			least = away
		}
	}
	return least
}

// crowded tells whether what is held nearly fills the hold limit, or this sender's own room for it.
func (s *Sender) crowded() bool {
	limit := s.settings.HoldLimit
	return limit > 0 && float64(s.held) > nearlyFull*float64(limit) || s.roomTaken > nearlyFull
}

// makeRoom guards against a hold full of notices that wait for shut destinations: those that promise least go
// back to their clients, which may come again, before newcomers for others are turned away unseen.
func (s *Sender) makeRoom() {
	if !s.crowded() {
		return
	}
	var stuck []*notice
	for _, d := range s.waiting {
		for _, n := range d.waiting {
			if !n.mayHaveRun {
				n.opens = s.opensAt(n)
				n.urgency = n.grade.weight * s.worth(n, n.opens+s.outlook(d))
				stuck = append(stuck, n)
			}
		}
	}
	slices.SortFunc(stuck, func(a, b *notice) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.order, b.order))
	})
	for i := 0; i < len(stuck) && s.crowded(); i++ {
		s.end(stuck[i], stuck[i].opens, true)
	}
}

func (s *Sender) tripEnded(e TripEnded) {
	n := s.notices[e.Notice]
	if n == nil || n.out == nil {
		return
	}
	c := n.out
	n.out = nil
	s.settleCall(c, e)
	mayRun := e.Result != Full && e.Result != NotConnected && e.Result != Moot && !unsent(e.Result)
	if k := s.keys[n.key]; k != nil && (e.Result == TimedOut || e.Result == Reset || e.Result == Cancelled) {
		k.restUntil = s.now + s.settings.KeyRest
	}
	if unsent(e.Result) {
		n.trips--
	}
	if e.Result == Short {
		s.shortage()
	} else if n.trips > 1 && e.Result != Moot && e.Result != Recalled {
		s.further.add(s.now, statisticsWindow, 1)
		if e.Result == Handled {
			s.won.add(s.now, statisticsWindow, 1)
		}
	}
	if e.Result == Handled && !n.over {
		n.grade.asked.add(s.now, statisticsWindow, n.credit)
		n.grade.earned.add(s.now, statisticsWindow, s.worth(n, s.now))
		delete(c.receiver.failures, n.grade)
	}
	if e.Over || n.over || e.Result == Handled {
		s.forget(n)
		return
	}
	if mayRun {
		c.receiver.failed(n.grade).add(s.now, statisticsWindow, 1)
		if n.ran++; !n.mayHaveRun {
			n.mayHaveRun, n.ranAt, n.ranZone = true, c.sentAt, c.receiver.zone
		}
	}
	// How often a further trip is made follows how many of the recent ones succeeded.
	if e.Result != Full && e.Result != Moot && !unsent(e.Result) {
		succeeded := (s.won.read(s.now, statisticsWindow) + 1) / (s.further.read(s.now, statisticsWindow) + 1)
		n.restUntil = s.now + n.grade.QuotedTime/16*Millis(1/succeeded-1)
	}
	s.wait(n)
}

// unsent tells an outcome that counts as no trip.
func unsent(result Result) bool { return result == Short || result == Recalled }

// shortage heeds that a call could not be sent for want of something of this sender's own (a connection, a
// descriptor, room in its ledger). It tells nothing of the notice or of the destination: all wait, longer
// each time, until something is handled, so that a shortage is neither asked after without end nor outlived.
func (s *Sender) shortage() {
	if s.shortUntil <= s.now {
		s.shortFor = min(max(2*s.shortFor, s.settings.Fall/128), s.settings.Fall/4)
		s.shortUntil = s.now + s.shortFor
	}
}

// settleCall books a call once, whatever the number of notices aboard.
func (s *Sender) settleCall(c *call, e TripEnded) {
	r := c.receiver.route
	if c.waiting--; c.waiting == 0 {
		s.slotsOut--
		r.out = slices.DeleteFunc(r.out, func(o *call) bool { return o == c })
	}
	s.waitTold(r, e.Wait)
	if c.waiting == 0 && e.Result != Recalled && !s.keeps(c.receiver) {
		s.do(LetGo{c.receiver.id})
	}
	if c.judged {
		return
	}
	c.judged = true
	if !unsent(e.Result) {
		s.bookConnection(c, e)
	}
	if e.LimitTold {
		r.limitRate, r.limitLeft = e.LimitRate/1000, e.LimitLeft
	}
	switch {
	case e.Result == Handled:
		s.shortFor = 0
		s.earn(c.receiver, 2)
		s.measure(r, e.Spent)
		s.success(r, c)
	case e.Result == Full:
		s.earn(c.receiver, 1)
		s.refused(r, c, e.Wait)
	case e.Result == Moot || unsent(e.Result) || e.Result == Cancelled && !c.off,
		e.Result == TimedOut && c.curbed:
		s.earn(c.receiver, 1)
	default:
		s.failure(r, c, e.Result)
	}
}

// bookConnection sets calls on a connection that had been idle against the others, by how many broke or were
// swallowed, and counts the connections refused by destinations of a kind.
func (s *Sender) bookConnection(c *call, e TripEnded) {
	kept, made := &s.busy, &c.receiver.route.destination.kind.made
	if c.idle {
		kept = &s.idle
	}
	kept.calls.add(s.now, statisticsWindow, 1)
	made.calls.add(s.now, statisticsWindow, 1)
	if e.Result == NotConnected {
		made.broke.add(s.now, statisticsWindow, 1)
	}
	if e.Result == Reset || c.off || e.Result == TimedOut && !c.curbed {
		kept.broke.add(s.now, statisticsWindow, 1)
	} else {
		c.receiver.answeredAt = s.now
	}
}

// keeps tells whether a connection is worth keeping: where this sender calls again soon. Some destinations
// take few, and what many senders keep idle shuts out others: so if those of its kind refuse some, or
// little is known of it, this sender must call often for the number of senders.
func (s *Sender) keeps(rc *receiver) bool {
	made, often := &rc.route.destination.kind.made, evenKeeping*float64(s.settings.Senders)
	calls := made.calls.read(s.now, statisticsWindow)
	if made.broke.read(s.now, statisticsWindow) <= tooMany*(calls-fewCalls) {
		often = min(often, keeping)
	}
	return rc.used.read(s.now, s.settings.IdleKept) >= often
}

// distrustsIdle tells whether idle connections break more often by far than others: then something between
// forgets them, and what goes out on one is lost, for good if it must not run twice.
func (s *Sender) distrustsIdle() bool {
	broke, calls := s.idle.broke.read(s.now, statisticsWindow), s.idle.calls.read(s.now, statisticsWindow)
	others := s.busy.broke.read(s.now, statisticsWindow) / (1 + s.busy.calls.read(s.now, statisticsWindow))
	return broke >= 1 && broke/calls > breaking+farWorse*others
}

// earn gives a receiver credits back: an answer what its send has spent, a success what a failed call has
// spent besides. What stays lost comes back one a fall.
func (s *Sender) earn(rc *receiver, credits float64) float64 {
	credits += float64((s.now - rc.creditAt) / s.settings.Fall)
	rc.credits, rc.creditAt = min(rc.credits+credits, s.credits), s.now
	return rc.credits
}

// measure moves the delay window.
func (s *Sender) measure(r *route, spent Millis) {
	r.mean = r.delays.add(s.now, s.settings.Fall, spent)
	s.usual = s.delays.add(s.now, s.settings.Fall, spent)
	if r.best == 0 || r.mean < r.best {
		r.best = r.mean
	}
	r.best += (r.mean - r.best) * bestDrift
	switch {
	case r.mean <= nearBest*r.best && float64(len(r.out)+1) >= r.window/2:
		r.window = min(r.window+1/r.window, float64(s.settings.Slots))
	case r.slow():
		r.window = max(r.window*narrowing, 1)
	}
}

func (r *route) slow() bool { return r.mean > farBest*r.best }

func (s *Sender) sick(r *route) bool {
	return r.state != closed || r.run > 0 || r.owed > 1 || r.down || r.slow()
}

// doubtful tells whether a route is sick, or may be, as far as its slots go: with a call out it has answered
// nothing yet, or nothing since its oldest call became overdue.
func (s *Sender) doubtful(r *route) bool {
	return s.sick(r) || len(r.out) > 0 && (r.mean == 0 ||
		s.now-max(r.out[0].sentAt, r.answeredAt) > max(overdue*r.mean, s.settings.Fall/32))
}

// again tells whether a call left after the first sign of an outage, with nothing handled for two falls: of
// what hundreds share, one sender hardly sees more.
func (s *Sender) again(r *route, c *call) bool {
	return c.sentAt >= r.badSince && r.handled.read(s.now, s.settings.Fall) < math.Exp(-sureAfter)
}

// sign notes a sign of an outage, from which on the route counts as down or not.
func (s *Sender) sign(r *route, down, sure bool) {
	if r.badSince == never || r.waitUntil > s.now {
		r.phase, r.pacedFrom = s.random(), max(s.now, r.waitUntil)
	}
	r.badSince = min(r.badSince, s.now)
	r.badAt = max(s.now, r.waitUntil)
	r.sure = r.sure || sure || s.now-r.badSince >= sureAfter*s.settings.Fall
	r.down = r.down || r.sure || down
}

func (s *Sender) success(r *route, c *call) {
	r.answeredAt, r.run, r.backoff = s.now, 0, 0
	r.handled.add(s.now, s.settings.Fall, 1)
	r.share = min(r.share+1/(4*r.limitRate*float64(s.settings.Fall)+1), 1)
	// An answer to a call from before the last sign of an outage tells nothing of its end.
	if c.sentAt >= r.badAt {
		if r.sure || s.now-r.badSince >= sureAfter*s.settings.Fall {
			r.returnedAt, r.downFor = s.now, max(s.now-r.badSince, resetTimeout)
		}
		r.badSince, r.down, r.sure = never, false, false
	}
	if r.state == halfOpen && c.trial {
		if r.proved++; r.proved >= halfOpenMaxCalls {
			s.turn(r, closed, "trials succeeded")
		}
		return
	}
	s.record(r, false)
}

func (s *Sender) failure(r *route, c *call, why Result) {
	r.run++
	r.failed.add(s.now, s.settings.Fall, 1)
	s.sign(r, s.again(r, c), r.failed.value >= max(r.handled.read(s.now, s.settings.Fall), 2))
	if why == Errored {
		r.answeredAt = s.now
	} else {
		r.window = max(r.window*narrowing, 1)
	}
	if r.state == halfOpen && c.trial {
		s.openBreaker(r, "a trial failed")
		return
	}
	s.record(r, true)
}

// refused heeds a refusal: the limit, a full queue, or a shut destination.
func (s *Sender) refused(r *route, c *call, wait Millis) {
	r.answeredAt = s.now
	// The longer, the more senders share a limit: so much that what they send together gets under it.
	k := r.destination.kind
	usual := 2 * Millis(k.waits.value+float64(s.settings.Fall)/4) / Millis(k.told.value+0.5)
	pause := min(usual, Millis(float64(s.settings.Senders)/r.limitRate))
	if wait > 0 {
		k.waits.add(s.now, statisticsWindow, float64(wait))
		k.told.add(s.now, statisticsWindow, 1)
		r.waitUntil = max(r.waitUntil, s.now+wait+pause*Millis(s.random()))
	} else if c.sentAt >= r.yieldedAt { // calls refused together tell no more than one of them
		r.backoff = max(2*r.backoff, pause, s.settings.Fall/16)
		r.waitUntil = max(r.waitUntil, s.now+r.backoff*Millis(0.5+s.random()))
	}
	// Told to wait with much of the limit left, or for long: shut, not over its limit.
	shut := wait > 0 && r.limitLeft > muchLeft || wait > sureAfter*s.settings.Fall
	s.sign(r, false, shut || s.again(r, c))
	if c.sentAt < r.yieldedAt {
		return
	}
	r.yieldedAt = s.now
	if r.limitRate > 0 && r.limitLeft <= muchLeft {
		r.share = max(r.share*yielding, leastShare)
	} else {
		r.window = max(r.window*narrowing, 1)
	}
}

// record feeds the sliding window and opens the breaker. A quiet destination may never fill its window:
// there the pace of an outage holds calls back.
func (s *Sender) record(r *route, failed bool) {
	r.outcomes.add(outcome{s.now, failed})
	calls, failures := r.outcomes.tally(s.now - statisticsWindow)
	if r.state != closed || !failed {
		return
	}
	many := failures >= failureThreshold && (calls < 2*minimumCallsBeforeCalculation || 2*failures >= calls)
	if many && calls >= minimumCallsBeforeCalculation {
		s.openBreaker(r, fmt.Sprintf("%d of %d calls failed", failures, calls))
	}
}

func (s *Sender) openBreaker(r *route, why string) {
	r.reopenAt = s.now + resetTimeout
	r.window = max(r.window/2, 1)
	s.sign(r, true, true)
	s.turn(r, open, why)
}

func (s *Sender) turn(r *route, state breakerState, why string) {
	r.state, r.proved = state, 0
	s.stir(r)
	if state == closed {
		r.outcomes = window{}
	}
	s.do(Turned{r.destination.id, r.id, string(state), why})
}

// stepBreakers lets reset times run out, and notices silence before calls time out, by all that a route owes:
// the spans for which its calls wait without any answer from it, added up, against its mean delay.
func (s *Sender) stepBreakers() {
	s.doubtOut = 0
	for _, r := range s.stirring() {
		if s.doubtful(r) {
			s.doubtOut += len(r.out)
		}
		if r.state == open && s.now >= r.reopenAt {
			s.turn(r, halfOpen, "reset time over")
		}
		r.owed = 0
		if r.state != closed || len(r.out) == 0 {
			continue
		}
		quiet := Millis(0)
		for _, c := range r.out {
			waits := s.now - max(c.sentAt, r.answeredAt)
			r.owed += float64(waits / c.patience)
			quiet = max(quiet, waits)
		}
		if r.owed >= silent && len(r.out) > 1 && quiet >= s.settings.Fall/2 {
			s.openBreaker(r, fmt.Sprintf("%d calls owed for %.0f ms", len(r.out), quiet))
		}
	}
}

// serve sends what may be sent, the most urgent first.
func (s *Sender) serve() {
	var ready []*notice
	for _, d := range s.waiting {
		if !s.look(d).takes {
			continue
		}
		for _, n := range d.waiting {
			n.urgency = n.grade.weight * (s.worth(n, s.now) - foresight*s.worth(n, s.now+n.grade.QuotedTime))
			ready = append(ready, n)
		}
	}
	slices.SortFunc(ready, byUrgency)
	for _, reissuableOnly := range []bool{true, false} {
		for _, n := range ready {
			d := n.destination
			if n.out == nil && d.fullAt != s.turns && !s.offer(n, reissuableOnly) && d.kind.PerCall <= 1 &&
				!slices.ContainsFunc(d.routes, s.takes) {
				d.fullAt = s.turns // whatever else is held for it, it takes no more in this turn
			}
		}
	}
	if len(s.waiting) > 0 && (s.slotsOut >= s.settings.Slots || s.doubtOut >= s.doubted) {
		s.freeSlot()
	}
}

// byUrgency puts the most urgent first, and of equal ones the one taken first.
func byUrgency(a, b *notice) int {
	return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.order, b.order))
}

// freeSlot guards against calls that are swallowed and hold every slot until they time out: when slots run
// out, or those for doubtful routes, the call that is most overdue is called off. Where a quarter of them
// wait for calls that are overdue by what calls take (at a route that has answered none: by what they take
// elsewhere), answers get lost, and a quoted time is too long.
func (s *Sender) freeSlot() {
	var worst, lost *call
	most, mostLost, late := hopeless, hopeless, 0
	for _, r := range s.stirring() {
		for _, c := range r.out {
			if c.off {
				return // its slot is about to be free
			}
			if age := float64((s.now - c.sentAt) / c.patience); age > most {
				worst, most = c, age
			}
			age := float64((s.now - c.sentAt) / (overdue * cmp.Or(r.mean, s.usual, never)))
			if age > 1 {
				late++
			}
			if age > mostLost {
				lost, mostLost = c, age
			}
		}
	}
	if late > 1 && 4*late >= s.settings.Slots {
		worst = lost
	}
	if worst == nil || !s.settings.CallOff {
		return
	}
	worst.off = true
	for _, n := range worst.riders {
		s.do(CallOff{n.id, n.trips - 1})
	}
}

// offer sends a notice to the best receiver that the gate lets it go to. Equal ones rank by this sender's
// lot: if all took the first of a list, its connections would run out. One where its grade failed comes last.
// To a sick route, reissuable notices go first: what they find out costs nothing.
func (s *Sender) offer(n *notice, first bool) bool {
	var best *receiver
	var bestScore float64
	for _, r := range n.destination.routes {
		if first && s.sick(r) && n.grade.Repeat != Reissuable {
			continue
		}
		for _, rc := range r.receivers {
			if !s.gate(n, rc) {
				continue
			}
			score := s.earn(rc, 0) - rc.fee*100*s.credits - float64(len(r.out)) + rc.lot
			score -= float64(2*s.settings.Slots) * rc.failed(n.grade).read(s.now, statisticsWindow)
			if s.joins(rc) != nil {
				score += float64(s.settings.Slots)
			}
			if best == nil || score > bestScore {
				best, bestScore = rc, score
			}
		}
	}
	if best != nil {
		s.send(n, best)
	}
	return best != nil
}

// joins is the call begun in this turn that a further notice for a receiver would travel on.
func (s *Sender) joins(rc *receiver) *call {
	for _, c := range s.fresh {
		if c.receiver == rc && len(c.riders) < rc.route.destination.kind.PerCall {
			return c
		}
	}
	return nil
}

func (s *Sender) routeOpensAt(r *route) Millis {
	if r.state == open {
		return max(s.now, r.waitUntil, r.reopenAt)
	}
	return max(s.now, r.waitUntil)
}

// passesAt is the earliest time at which the six rules let a notice go to a receiver.
func (s *Sender) passesAt(n *notice, rc *receiver) Millis {
	r := rc.route
	if rc.standing != Ready || !s.repeatSafe(n, rc) {
		return never
	}
	at := max(s.routeOpensAt(r), n.restUntil)
	if k := s.keys[n.key]; k != nil {
		at = max(at, k.restUntil)
	}
	if n.mayHaveRun && n.grade.Repeat == Numbered && at >= n.ranAt+n.grade.RemembersFor {
		return never
	}
	return at
}

// gate is passed by every send, in every state: it keeps the rules and the slots.
func (s *Sender) gate(n *notice, rc *receiver) bool {
	if k := s.keys[n.key]; k != nil && k.line[0] != n || s.passesAt(n, rc) > s.now {
		return false
	}
	if s.joins(rc) != nil {
		return true
	}
	return s.paceAt(rc.route) <= s.now && s.roomFor(rc.route) && s.earn(rc, 0) >= 1
}

func (s *Sender) roomFor(r *route) bool {
	if s.slotsOut >= s.settings.Slots || s.shortUntil > s.now || r.state == open {
		return false
	}
	calls, sick, trials := 0, false, r.proved
	for _, o := range r.destination.routes {
		calls += len(o.out)
		sick = sick || s.sick(o)
	}
	// Many that are sick at once must not hold every slot: what is well needs few, but now.
	if s.doubtOut >= s.doubted && s.doubtful(r) {
		return false
	}
	if r.state == halfOpen {
		for _, c := range r.out {
			if c.trial {
				trials++
			}
		}
		if trials >= halfOpenMaxCalls {
			return false
		}
	}
	share := 0.75
	if sick {
		share = 0.5
	}
	most := max(math.Floor(share*float64(s.settings.Slots)), 1)
	return float64(calls) < most && float64(len(r.out)) < math.Floor(min(r.window, most))
}

// repeatSafe keeps an effect from happening twice.
func (s *Sender) repeatSafe(n *notice, rc *receiver) bool {
	switch {
	case !n.mayHaveRun || n.grade.Repeat == Reissuable || n.grade.Repeat == Numbered && !n.grade.ZoneOnly:
		return true
	case n.grade.Repeat == AtMostOnce:
		return false
	case !n.zoneUnknown:
		return rc.zone == n.ranZone
	}
	return len(rc.route.destination.zones) == 1
}

// rate is how many calls a millisecond may leave for a route: this sender's share of the limit, and after an
// outage its part of what the route can take while cold.
func (s *Sender) rate(r *route) (rate float64, returning bool) {
	if rate = r.share * r.limitRate; r.limitRate <= 0 {
		rate = math.Inf(1)
	}
	warm, down := float64((s.now-r.returnedAt)/s.settings.WarmWithin), r.downFor
	if r.down {
		warm, down = 0, max(s.now, r.waitUntil, r.badSince+resetTimeout)-r.badSince
	}
	if warm >= 1 {
		return rate, false
	}
	// What all senders hold for the route came in over the outage, at its capacity at most: so this sender's
	// part is what it holds over that time (a reset time at least: many see the end only), or an even part.
	capacity := max(r.limitRate, r.listedRate) / float64(max(s.settings.Senders, 1))
	capacity = max(capacity, float64(r.destination.held)/float64(len(r.destination.routes))/float64(down))
	capacity *= s.settings.ColdFrom + (1-s.settings.ColdFrom)*warm
	part := ownPart - (ownPart-1)*min(1, few/float64(max(s.settings.Senders, 1)))
	return min(rate, part*s.settings.TipMultiple*capacity), true
}

// paceAt is when the next call may leave for a route. Senders that saw the same outage must not all call at
// its end, so the first call after its signs comes at a part of the span that is drawn.
func (s *Sender) paceAt(r *route) Millis {
	rate, _ := s.rate(r)
	return r.pacedFrom + Millis(r.phase/rate)
}

// pace books a call to a route.
func (s *Sender) pace(r *route) {
	at := s.paceAt(r)
	r.pacedFrom, r.phase = s.now, 1
	if _, returning := s.rate(r); !returning {
		r.pacedFrom = max(at, s.now-burstPart*s.settings.Fall)
	}
}

func (s *Sender) send(n *notice, rc *receiver) {
	r, c := rc.route, s.joins(rc)
	if c == nil {
		wait := max(overdue*r.mean, n.grade.QuotedTime/2)
		if r.mean == 0 {
			wait = n.grade.QuotedTime
		}
		c = &call{receiver: rc, sentAt: s.now, trial: r.state == halfOpen, patience: wait,
			curbed: s.lastCall(n)-s.now < n.grade.QuotedTime}
		s.fresh = append(s.fresh, c)
		s.slotsOut++
		rc.credits--
		rc.used.add(s.now, s.settings.IdleKept, 1)
		s.pace(r)
		held := slices.ContainsFunc(r.out, func(o *call) bool { return o.receiver == rc })
		c.idle = held || s.now-rc.answeredAt > s.settings.Fall/4
		if c.idle && s.distrustsIdle() {
			c.idle = false
			s.do(LetGo{rc.id})
		}
		if r.out = append(r.out, c); s.doubtful(r) {
			s.doubtOut++
		}
		s.stir(r)
	}
	c.riders = append(c.riders, n)
	c.waiting++
	n.out = c
	s.leave(n)
	n.trips++
	s.do(Send{n.id, rc.id, s.timeOut(n, r)})
}

// timeOut is how long a trip may take: longer where calls are slow, and with each trip that ran, as the
// notice may be slow itself. What must not run twice is lost with a time-out, so it waits longer.
func (s *Sender) timeOut(n *notice, r *route) Millis {
	patience := max(n.grade.QuotedTime, overdue*r.mean) * Millis(1+n.ran)
	if n.grade.Repeat == AtMostOnce {
		patience *= 3
	}
	return min(patience, s.lastCall(n)-s.now)
}

// setTimer asks to be woken when the next thing may be due that no other event brings.
func (s *Sender) setTimer() {
	next := s.watchAt
	if len(s.waiting) > 0 && s.shortUntil > s.now {
		next = min(next, s.shortUntil)
	}
	for _, d := range s.waiting {
		opens := never
		note := func(last, at Millis) {
			next, opens = min(next, last), min(opens, at)
			if at > s.now {
				next = min(next, at)
			}
		}
		if s.look(d); len(d.plain) > 0 {
			note(s.lastCall(d.plain[0]), d.plainAt)
		}
		for _, n := range d.special {
			note(s.lastCall(n), s.opensAt(n))
		}
		if opens > s.now {
			continue
		}
		next = min(next, s.now+s.settings.Fall/4) // a return quickens the pace, and credits come back
		for _, r := range d.routes {
			if at := s.paceAt(r); at > s.now {
				next = min(next, at)
			}
		}
	}
	if s.slotsOut > 0 {
		next = min(next, s.now+s.settings.Fall/8)
	}
	if s.timerAt < s.now+s.settings.Tick/2 { // the wire's clock may round it to just before its time
		s.timerAt = never
	}
	if next = max(next, s.now+s.settings.Tick); next < s.timerAt {
		s.timerAt = next
		s.do(SetTimer{After: next - s.now})
	}
}
