package model

import (
	"container/heap"
	"slices"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/ledger"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/rules"
)

// Events at a sender.
const (
	evConnected       eventKind = iota + 20 // conn: it came up
	evConnectRefused                        // conn: it did not
	evConnReset                             // conn: it was reset
	evResponse                              // call, more: a reply
	evSubmission                            // hand: a client hands a notice in
	evTurn                                  // its own: a turn is due
	evDeciderTimer                          // its own: the decisions asked for it
	evTimeoutCheck                          // its own: something times out
	evListReport                            // more: a rules.ListTold with what was told
	evListFailed                            // the list could not be had
	evOutcomeAccepted                       // n: the platform took the end of a notice
	evOutcomeRefused                        // n: it did not
	evReportOutcome                         // its own, n: an end is told again
	evKill
	evRestart
	evShutdown
	evExitCheck // its own: out, whatever is still open
	evPause
	evResume
	evDescriptorLimit // n: so many descriptors more; below 0: as many as ever
)

// held is a notice that a sender owes its end, with what its ledger would have of it.
type heldNotice struct {
	submission      *submission
	id              rules.NoticeID
	deadline        rules.Millis
	waited          rules.Millis // to be read
	call            *call
	trips           int            // made
	mayHaveRunAt    []rules.Millis // when those that may have run were sent
	tripRecorded    bool           // the trip that is out is among them
	done            bool
	outcome         string // the end that the platform has not taken yet
	retryAfter      rules.Millis
	reportBackoff   rules.Millis // pause before the end is told again
	outcomeAccepted bool         // the platform has it
}

// told is what the list said, for the record.
type listReport struct {
	list      rules.ListTold
	receivers []audit.Told
}

// sender is a process that runs a Decider, as internal/loop does on sockets.
type sender struct {
	port
	world      *world
	number     int
	limits     limits.Limits
	decider    Decider
	startCount uint64 // so many times it was started
	startedAt  rules.Millis

	alive, paused, shuttingDown, sending bool
	restartAfterExit                     bool           // once it has left
	initialList                          rules.ListTold // the list, as it starts
	deferredEvents                       []event        // what came while it stood still
	events                               []rules.Event
	unanswered                           []*heldNotice
	notices                              map[rules.NoticeID]*heldNotice
	lastID                               rules.NoticeID
	turnDue                              bool
	lastTurnAt                           rules.Millis
	conns                                []*conn
	idleConns                            map[rules.ReceiverID][]*conn
	inFlight                             callsByTimeout
	timeoutCheckAt                       rules.Millis
	connLimit                            int // connections that the descriptors allow
	usedCapacity                         float64

	listRecords    []audit.Told
	lifeRecords    []audit.Life
	breakerChanges []BreakerChange
	counts         struct{ trips, furtherTrips, localShortages, dismissed, brokenOff, refused, turns int }
}

const never = rules.Millis(1e300)

func newSender(w *world, p port, number int) *sender {
	s := &sender{port: p, world: w, number: number, notices: map[rules.NoticeID]*heldNotice{}, timeoutCheckAt: never, initialList: w.firstList}
	s.limits = limits.For(w.Machine, w.Settings, connectTime)
	s.connLimit = s.limits.Receivers
	s.start()
	return s
}

// connectTime is how long a connection may take to come up: the daemon's default.
const connectTime = 1000

// start begins a process: with what the ledger kept of an earlier one.
func (s *sender) start() {
	s.startCount++
	settings := s.world.Settings
	settings.Slots = min(settings.Slots, s.limits.Receivers-s.limits.Receivers/16)
	settings.Stall = toMillis(s.limits.Stall)
	for i := range settings.Kinds {
		settings.Kinds = slices.Clone(settings.Kinds)
		settings.Kinds[i].PerCall = 1
	}
	s.alive, s.shuttingDown, s.sending, s.startedAt, s.turnDue = true, false, true, s.now(), false
	s.decider = s.world.newDecider(senderSeed(s.world.Seed, s.number, s.startCount), settings, s.now())
	s.events, s.unanswered = nil, nil
	s.conns, s.idleConns, s.inFlight, s.timeoutCheckAt, s.usedCapacity = nil, map[rules.ReceiverID][]*conn{}, nil, never, 0
	numbers := make([]rules.NoticeID, 0, len(s.notices))
	for n := range s.notices {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	s.events = append(s.events, s.initialList)
	for _, n := range numbers {
		h := s.notices[n]
		if h.call = nil; h.outcome != "" {
			if h.reportBackoff = 0; h.outcomeAccepted {
				delete(s.notices, n)
			} else {
				s.reportOutcome(h)
			}
			continue
		}
		h.tripRecorded = false
		s.usedCapacity += s.capacityOf(h)
		e := s.acceptedEvent(h)
		e.Trips, e.Ran = h.trips, len(h.mayHaveRunAt)
		if len(h.mayHaveRunAt) > 0 {
			e.RanAgo = s.now() - h.mayHaveRunAt[0]
		}
		s.events = append(s.events, e)
	}
	if !settings.ListOnAsk {
		s.post(outsideNode, s.transitTime(), event{kind: evWatchList})
	}
	s.lifeRecords = append(s.lifeRecords, audit.Life{Sender: s.number, What: "ready", At: s.now()})
	s.scheduleTurn()
}

func (s *sender) acceptedEvent(h *heldNotice) rules.NoticeTaken {
	eff := h.submission.effect
	return rules.NoticeTaken{Notice: h.id, Grade: rules.GradeID(eff.Grade), Portfolio: rules.PortfolioID(eff.Portfolio),
		Key: rules.KeyID(eff.Key), Destination: rules.DestinationID(eff.Destination), Left: h.deadline - s.now(),
		Waited: h.waited, Room: s.capacityOf(h)}
}

func (s *sender) capacityOf(h *heldNotice) float64 {
	buffers := (h.submission.effect.Body + s.limits.Buffer - 1) / s.limits.Buffer * s.limits.Buffer
	return max(float64(buffers)/float64(s.limits.HeldBytes), ledger.Share(s.limits.Disk, h.submission.effect.Body))
}

func (s *sender) handle(e *event) {
	if s.paused && e.kind != evResume && e.kind != evKill {
		s.deferredEvents = append(s.deferredEvents, *e)
		return
	}
	switch e.kind {
	case evRestart:
		s.initialList = e.payload.(rules.ListTold)
		if s.restartAfterExit = s.alive; !s.alive {
			s.start()
		}
		return
	case evSubmission:
		s.accept(e.submission)
		return
	case evOutcomeAccepted:
		if h := s.notices[rules.NoticeID(e.value)]; h != nil {
			if h.outcomeAccepted = true; h.call == nil {
				delete(s.notices, h.id)
			}
		}
		return
	case evResume:
		s.resume()
		return
	}
	if !s.alive {
		return
	}
	switch e.kind {
	case evConnected:
		s.connUp(e.conn)
	case evConnectRefused:
		s.connEnded(e.conn, rules.NotConnected)
	case evConnReset:
		s.connEnded(e.conn, rules.Reset)
	case evResponse:
		s.handleResponse(e.call, e.payload.(response))
	case evTurn:
		if uint64(e.value) == s.startCount {
			s.runTurn()
		}
	case evDeciderTimer:
		if uint64(e.value) == s.startCount {
			s.queueEvent(rules.TimerDue{})
		}
	case evTimeoutCheck:
		if uint64(e.value) == s.startCount {
			s.timeoutCheckAt = never
			s.expireTimeouts()
		}
	case evListReport:
		t := e.payload.(listReport)
		for _, m := range t.receivers {
			m.Sender, m.At = s.number, s.now()
			s.listRecords = append(s.listRecords, m)
		}
		s.queueEvent(t.list)
	case evListFailed:
		s.queueEvent(rules.ListFailed{})
	case evOutcomeRefused:
		if h := s.notices[rules.NoticeID(e.value)]; h != nil {
			s.schedule(h.reportBackoff, event{kind: evReportOutcome, value: e.value, payload: s.startCount})
		}
	case evReportOutcome:
		if h := s.notices[rules.NoticeID(e.value)]; h != nil && e.payload.(uint64) == s.startCount {
			s.reportOutcome(h)
		}
	case evKill:
		s.kill()
	case evShutdown:
		s.lifeRecords = append(s.lifeRecords, audit.Life{Sender: s.number, What: "leaving", At: s.now()})
		s.shuttingDown = true
		s.schedule(toMillis(s.limits.Linger), event{kind: evExitCheck, value: int64(s.startCount)})
	case evExitCheck:
		s.checkExit(uint64(e.value))
	case evPause:
		s.paused = true
		s.lifeRecords = append(s.lifeRecords, audit.Life{Sender: s.number, What: "frozen", At: s.now()})
	case evDescriptorLimit:
		if s.connLimit = s.limits.Receivers; e.value >= 0 {
			s.connLimit = min(s.connLimit, len(s.conns)+int(e.value))
		}
	}
}

// happened tells the decisions of something, in the next turn.
func (s *sender) queueEvent(e rules.Event) {
	s.events = append(s.events, e)
	s.scheduleTurn()
}

// wake asks for a turn.
func (s *sender) scheduleTurn() {
	if !s.turnDue {
		s.turnDue = true
		s.schedule(max(s.lastTurnAt+s.world.turnInterval-s.now(), 0), event{kind: evTurn, value: int64(s.startCount)})
	}
}

// take hears a client.
func (s *sender) accept(sub *submission) {
	answer := func(status int, after rules.Millis) {
		s.post(outsideNode, s.transitTime(), event{kind: evSubmissionAnswered, submission: sub, value: int64(status), payload: after})
	}
	full := s.world.Settings.HoldLimit > 0 && len(s.notices) >= s.world.Settings.HoldLimit
	switch {
	case !s.alive:
		answer(0, 0)
	case s.shuttingDown:
		s.counts.refused++
		answer(503, 0)
	default:
		s.lastID++
		n := &heldNotice{submission: sub, id: s.lastID, deadline: s.now() + sub.deadline - sub.submittedAt, waited: s.now() - sub.submittedAt}
		if room := s.capacityOf(n); full || s.usedCapacity+room > 1 {
			s.counts.refused++
			answer(503, 0)
			return
		}
		s.usedCapacity += s.capacityOf(n)
		s.notices[n.id] = n
		s.unanswered = append(s.unanswered, n)
		s.queueEvent(s.acceptedEvent(n))
	}
}

// turn lets the decisions be made and carries them out.
func (s *sender) runTurn() {
	s.turnDue, s.lastTurnAt = false, s.now()
	s.counts.turns++
	events, fresh := s.events, s.unanswered
	s.events, s.unanswered = nil, nil
	if len(events) == 0 || !s.sending {
		return
	}
	actions := s.decider.Decide(s.now()-s.startedAt, events)
	var ended map[rules.NoticeID]rules.Action
	if len(fresh) > 0 {
		ended = rules.Ends(actions)
	}
	for _, h := range fresh {
		status, after := 202, rules.Millis(0)
		switch a := ended[h.id].(type) {
		case rules.Dismiss:
			status, after = 429, a.RetryAfter
		case rules.BreakOff:
			status = 500
		}
		if status != 202 {
			s.counts.refused++
			s.removeNotice(h)
		}
		s.post(outsideNode, s.transitTime(), event{kind: evSubmissionAnswered, submission: h.submission, value: int64(status), payload: after})
	}
	for _, a := range actions {
		s.execute(a)
	}
}

func (s *sender) execute(action rules.Action) {
	switch a := action.(type) {
	case rules.Send:
		if h := s.notices[a.Notice]; h != nil {
			s.send(h, a)
		}
	case rules.Write:
		if h := s.notices[a.Notice]; h != nil && h.call != nil && h.call.conn.established && !h.call.written {
			s.writeCall(h.call.conn)
		}
	case rules.Recall:
		if h := s.notices[a.Notice]; h != nil && h.call != nil && h.call.conn.established && !h.call.written {
			s.recallCall(h.call)
		}
	case rules.Dismiss:
		s.endNotice(a.Notice, "handed_back", a.RetryAfter)
	case rules.BreakOff:
		s.endNotice(a.Notice, "given_up", 0)
	case rules.CallOff:
		if h := s.notices[a.Notice]; h != nil && h.call != nil {
			s.abortCall(h.call, rules.Cancelled)
		}
	case rules.LetGo:
		for _, c := range slices.Clone(s.idleConns[a.Receiver]) {
			s.closeConn(c)
		}
	case rules.SetTimer:
		s.schedule(a.After, event{kind: evDeciderTimer, value: int64(s.startCount)})
	case rules.WatchList:
		s.post(outsideNode, s.transitTime(), event{kind: evWatchList})
	case rules.Turned:
		if s.world.record {
			s.breakerChanges = append(s.breakerChanges, BreakerChange{At: s.now(), Sender: s.number, Destination: int(a.Destination), State: a.State, Why: a.Why})
		}
	}
}

// send begins a trip, on an idle connection if there is one.
func (s *sender) send(h *heldNotice, a rules.Send) {
	c := &call{submission: h.submission, notice: h.id, receiver: a.Receiver, startedAt: s.now(), timeoutAt: s.now() + a.TimeOut, inFlight: true}
	h.call = c
	s.counts.trips++
	if h.trips++; h.trips > 1 {
		s.counts.furtherTrips++
	}
	heap.Push(&s.inFlight, c)
	s.scheduleTimeoutCheck(c.timeoutAt)
	for idle := s.idleConns[a.Receiver]; len(idle) > 0; idle = s.idleConns[a.Receiver] {
		l := idle[len(idle)-1]
		if s.now()-l.lastUsed > toMillis(s.limits.ReceiverIdle) {
			s.closeConn(l)
			continue
		}
		s.removeIdle(l)
		l.call, c.conn = c, l
		s.writeCall(l)
		return
	}
	if len(s.conns) >= s.connLimit && !s.closeOldest() {
		s.counts.localShortages++
		h.trips--
		s.finishTrip(c, rules.TripEnded{Result: rules.Short})
		return
	}
	l := &conn{sender: s.id, receiver: a.Receiver, call: c, lastUsed: s.now(), connectDeadline: s.now() + connectTime, senderIndex: len(s.conns)}
	s.conns = append(s.conns, l)
	c.conn = l
	s.scheduleTimeoutCheck(l.connectDeadline)
	s.postToSite(c.submission, event{kind: evConnect, conn: l})
}

func (s *sender) postToSite(sub *submission, e event) {
	to := s.world.siteNode(sub.effect.Destination)
	s.post(to, s.transitTime(), e)
}

func (s *sender) closeOldest() bool {
	var oldest *conn
	for _, l := range s.conns {
		if l.established && l.call == nil && !l.closed && (oldest == nil || l.lastUsed < oldest.lastUsed) {
			oldest = l
		}
	}
	if oldest != nil {
		s.closeConn(oldest)
	}
	return oldest != nil
}

// opened asks whether the call that waited for its connection may still leave.
func (s *sender) connUp(cn *conn) {
	if cn.closed {
		return // given up meanwhile; the site has heard
	}
	cn.established = true
	s.queueEvent(rules.ConnectionUp{Notice: cn.call.notice})
}

// recall takes a call back whose connection has come up, and keeps the connection.
func (s *sender) recallCall(c *call) {
	l := c.conn
	l.call, l.lastUsed = nil, s.now()
	s.idleConns[l.receiver] = append(s.idleConns[l.receiver], l)
	s.scheduleTimeoutCheck(s.now() + toMillis(s.limits.ReceiverIdle))
	s.notices[c.notice].trips--
	s.finishTrip(c, rules.TripEnded{Result: rules.Recalled})
}

// write hands a call to its connection: its trip is in the ledger from here on.
func (s *sender) writeCall(cn *conn) {
	c := cn.call
	h := s.notices[c.notice]
	h.mayHaveRunAt = append(h.mayHaveRunAt, s.now())
	h.tripRecorded, c.written, cn.lastUsed = true, true, s.now()
	s.postToSite(c.submission, event{kind: evCall, call: c})
}

// ended hears the end of a connection.
func (s *sender) connEnded(cn *conn, result rules.Result) {
	if cn.closed {
		return
	}
	c := cn.call
	cn.call = nil
	s.removeConn(cn)
	if c == nil || !c.inFlight {
		return
	}
	if !c.written {
		result = rules.NotConnected
	}
	s.finishTrip(c, rules.TripEnded{Result: result})
}

// reply hears an answer.
func (s *sender) handleResponse(c *call, r response) {
	l := c.conn
	if l.closed || l.call != c || !c.inFlight {
		return
	}
	e := rules.TripEnded{Result: rules.Errored}
	switch {
	case r.status == 200:
		e.Result = rules.Handled
	case r.malformed:
		e.Result = rules.Reset
	case r.status == 429 || r.status == 503:
		e.Result, e.Wait = rules.Full, r.retryAfter
	}
	e.LimitTold, e.LimitLeft, e.LimitRate = r.limitReported, r.limitLeft, r.limitRate
	l.call, l.lastUsed = nil, s.now()
	if r.malformed {
		e.LimitTold = false
		s.closeConn(l)
	} else {
		s.idleConns[l.receiver] = append(s.idleConns[l.receiver], l)
		s.scheduleTimeoutCheck(s.now() + toMillis(s.limits.ReceiverIdle))
	}
	s.finishTrip(c, e)
}

// tell books a trip's outcome and tells the decisions.
func (s *sender) finishTrip(c *call, e rules.TripEnded) {
	c.inFlight = false
	heap.Remove(&s.inFlight, c.heapIndex)
	h := s.notices[c.notice]
	h.call = nil
	e.Notice, e.Receiver, e.Spent = c.notice, c.receiver, s.now()-c.startedAt
	e.Over = e.Over || e.Result == rules.Handled
	unrun := e.Result == rules.Full || e.Result == rules.NotConnected || e.Result == rules.Moot || e.Result == rules.Short ||
		e.Result == rules.Recalled
	if h.tripRecorded && unrun {
		h.mayHaveRunAt = h.mayHaveRunAt[:len(h.mayHaveRunAt)-1]
	}
	h.tripRecorded = false
	if e.Over {
		h.done = true
	}
	if e.Result == rules.Handled && h.outcome == "" && s.mayBeLate(c.notice) {
		h.outcome = "given_up"
		s.usedCapacity -= s.capacityOf(h)
		s.reportOutcome(h)
	}
	switch {
	case h.done && h.outcome == "":
		s.removeNotice(h)
	case h.outcomeAccepted:
		delete(s.notices, h.id)
	}
	s.queueEvent(e)
}

// mayBeLate tells whether an answer heard now may have come after its notice's time, as far as the policy knows.
func (s *sender) mayBeLate(n rules.NoticeID) bool {
	judge, knows := s.decider.(interface {
		AnswerMayBeLate(rules.NoticeID, rules.Millis) bool
	})
	return knows && judge.AnswerMayBeLate(n, s.now()-s.startedAt)
}

// end gives a notice its end.
func (s *sender) endNotice(id rules.NoticeID, outcome string, retryAfter rules.Millis) {
	h := s.notices[id]
	if h == nil {
		return // told in its own turn
	}
	if outcome == "given_up" {
		s.counts.brokenOff++
	} else {
		s.counts.dismissed++
	}
	h.done, h.outcome, h.retryAfter = true, outcome, retryAfter
	s.usedCapacity -= s.capacityOf(h)
	s.reportOutcome(h)
}

// tellEnd hands an end in to the platform; one that was not taken comes again, later each time.
func (s *sender) reportOutcome(h *heldNotice) {
	s.post(outsideNode, s.transitTime(), event{kind: evOutcome, submission: h.submission, value: int64(h.id), payload: outcomeReport{h.outcome, h.retryAfter}})
	h.reportBackoff = min(max(2*h.reportBackoff, toMillis(s.limits.BackOff)), toMillis(s.limits.BackOffMost))
}

func (s *sender) removeNotice(h *heldNotice) {
	s.usedCapacity -= s.capacityOf(h)
	delete(s.notices, h.id)
}

// giveUp ends a call from this side. One that was not written cannot have run.
func (s *sender) abortCall(c *call, result rules.Result) {
	if !c.written {
		result = rules.NotConnected
	}
	c.conn.call = nil
	s.closeConn(c.conn)
	s.finishTrip(c, rules.TripEnded{Result: result})
}

// drop ends a connection from this side; its site hears.
func (s *sender) closeConn(cn *conn) {
	if cn.closed {
		return
	}
	s.removeConn(cn)
	s.post(s.world.siteNode(int(s.world.destinationOf[cn.receiver])), s.transitTime(), event{kind: evConnClosed, conn: cn})
}

func (s *sender) removeConn(cn *conn) {
	cn.closed = true
	last := s.conns[len(s.conns)-1]
	s.conns[cn.senderIndex], last.senderIndex = last, cn.senderIndex
	s.conns = s.conns[:len(s.conns)-1]
	s.removeIdle(cn)
}

func (s *sender) removeIdle(cn *conn) {
	idle := s.idleConns[cn.receiver]
	if i := slices.Index(idle, cn); i >= 0 {
		idle = slices.Delete(idle, i, i+1)
	}
	if s.idleConns[cn.receiver] = idle; len(idle) == 0 {
		delete(s.idleConns, cn.receiver)
	}
}

// wakeBy asks to look for what has timed out at a time, or before.
func (s *sender) scheduleTimeoutCheck(at rules.Millis) {
	if at < s.timeoutCheckAt {
		s.timeoutCheckAt = at
		s.schedule(max(at-s.now(), 0), event{kind: evTimeoutCheck, value: int64(s.startCount)})
	}
}

// expire gives up what has taken too long and closes what has stood idle.
func (s *sender) expireTimeouts() {
	now, next := s.now(), never
	for len(s.inFlight) > 0 && s.inFlight[0].timeoutAt <= now {
		s.abortCall(s.inFlight[0], rules.TimedOut)
	}
	for _, l := range slices.Clone(s.conns) {
		switch {
		case l.closed:
		case !l.established && l.connectDeadline <= now:
			c := l.call
			s.closeConn(l)
			if c != nil && c.inFlight {
				s.finishTrip(c, rules.TripEnded{Result: rules.NotConnected})
			}
		case !l.established:
			next = min(next, l.connectDeadline)
		case l.call == nil && l.lastUsed+toMillis(s.limits.ReceiverIdle) <= now:
			s.closeConn(l)
		case l.call == nil:
			next = min(next, l.lastUsed+toMillis(s.limits.ReceiverIdle))
		}
	}
	if len(s.inFlight) > 0 {
		next = min(next, s.inFlight[0].timeoutAt)
	}
	if next < never {
		s.scheduleTimeoutCheck(max(next, now+1))
	}
}

// kill ends the process: what is left is what its ledger has.
func (s *sender) kill() {
	s.lifeRecords = append(s.lifeRecords, audit.Life{Sender: s.number, What: "killed", At: s.now()})
	s.stop()
}

func (s *sender) stop() {
	s.alive, s.paused, s.deferredEvents = false, false, nil
	for _, l := range slices.Clone(s.conns) {
		s.closeConn(l)
	}
	for _, h := range s.unanswered { // their clients never had an answer
		delete(s.notices, h.id)
		s.post(outsideNode, s.transitTime(), event{kind: evSubmissionAnswered, submission: h.submission, value: statusNoAnswer, payload: rules.Millis(0)})
	}
	s.unanswered, s.events = nil, nil
}

// exit leaves once nothing is out, and at the latest when the time is up.
func (s *sender) checkExit(startCount uint64) {
	if startCount != s.startCount {
		return
	}
	elapsed := s.now() - s.lifeRecords[len(s.lifeRecords)-1].At
	s.sending = elapsed < toMillis(s.limits.SendUntil)
	if s.sending && len(s.notices) > 0 || len(s.inFlight) > 0 && elapsed < toMillis(s.limits.ExitBy) {
		s.schedule(50, event{kind: evExitCheck, value: int64(startCount)})
		return
	}
	s.stop()
	if s.restartAfterExit {
		s.restartAfterExit = false
		s.start()
	}
}

// thaw goes on: what came meanwhile is heard now.
func (s *sender) resume() {
	if !s.paused {
		return
	}
	s.paused = false
	s.lifeRecords = append(s.lifeRecords, audit.Life{Sender: s.number, What: "going on", At: s.now()})
	deferred := s.deferredEvents
	s.deferredEvents = nil
	for i := range deferred {
		s.handle(&deferred[i])
	}
}

// byDue is a heap of calls by the end of their time-outs.
type callsByTimeout []*call

func (h callsByTimeout) Len() int { return len(h) }
func (h callsByTimeout) Less(i, j int) bool {
	return h[i].timeoutAt < h[j].timeoutAt || h[i].timeoutAt == h[j].timeoutAt && h[i].notice < h[j].notice
}
func (h callsByTimeout) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *callsByTimeout) Push(x any) { c := x.(*call); c.heapIndex = len(*h); *h = append(*h, c) }
func (h *callsByTimeout) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
