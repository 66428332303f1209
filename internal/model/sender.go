package model

import (
	"container/heap"
	"maps"
	"slices"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/ledger"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/rules"
)

// Events handled by a sender; the comment names the fields of the event that are used.
const (
	evConnected       eventKind = iota + 20 // conn: connection established
	evConnectRefused                        // conn: connection refused
	evConnReset                             // conn: connection reset by the site
	evResponse                              // call, payload: a response
	evSubmission                            // submission: a client submits a notice
	evTurn                                  // own event: a turn is due
	evDeciderTimer                          // own event: the timer that the decider set
	evTimeoutCheck                          // own event: the next timeout to check
	evListReport                            // payload: a listReport
	evListFailed                            // the receiver list could not be read
	evOutcomeAccepted                       // value: the platform accepted the final outcome of this notice
	evOutcomeRefused                        // value: the platform did not accept it
	evReportOutcome                         // own event, value: time to report this notice's final outcome again
	evKill
	evRestart
	evShutdown
	evExitCheck // own event, during shutdown: time to check whether the process may exit
	evPause
	evResume
	evDescriptorLimit // value: how many more descriptors may be opened; negative: the fault is over
)

// heldNotice is a notice whose final outcome is pending, with what the ledger would record of it.
type heldNotice struct {
	submission      *submission
	id              rules.NoticeID
	deadline        rules.Millis
	waited          rules.Millis // from the submission until the sender read it
	call            *call
	trips           int            // started so far
	mayHaveRunAt    []rules.Millis // times at which the trips that may have taken effect were sent
	tripRecorded    bool           // the trip in flight has an entry in mayHaveRunAt
	done            bool           // handled, or its final outcome is set
	outcome         string         // final outcome to report; empty: none yet
	retryAfter      rules.Millis
	reportBackoff   rules.Millis // delay before the final outcome is reported again
	outcomeAccepted bool         // the platform accepted the final outcome
}

// recordedState is what the ledger would record of a route's state.
type recordedState struct {
	state rules.RouteState
	at    rules.Millis
}

// listReport is a report of the receiver list, with the entries that the auditor records.
type listReport struct {
	list     rules.ListUpdated
	listings []audit.Listing
}

// sender simulates a process that runs a Decider, as internal/loop does with sockets.
type sender struct {
	port
	run        *runData
	number     int
	limits     limits.Limits
	decider    Decider
	startCount uint64 // how often the process has started; events of an earlier start are ignored
	startedAt  rules.Millis

	alive, paused, shuttingDown, sending bool              // sending: new calls may be sent
	restartAfterExit                     bool              // start again after the exit
	initialList                          rules.ListUpdated // the receiver list at the next start
	deferredEvents                       []event           // events that arrived while the process was paused
	events                               []rules.Event     // for the next turn
	pendingAnswers                       []*heldNotice     // accepted since the last turn, not yet answered
	notices                              map[rules.NoticeID]*heldNotice
	routeStates                          map[rules.ReceiverID]recordedState // by the first receiver of the route
	lastID                               rules.NoticeID
	turnDue                              bool // a turn is scheduled
	lastTurnAt                           rules.Millis
	conns                                []*conn
	idleConns                            map[rules.ReceiverID][]*conn
	inFlight                             callsByTimeout
	timeoutCheckAt                       rules.Millis // time of the next scheduled timeout check
	connLimit                            int          // maximum number of connections that the descriptors allow
	usedCapacity                         float64      // sum of capacityOf over unfinished notices; at most 1

	listRecords    []audit.Listing
	senderEvents   []audit.SenderEvent
	breakerChanges []BreakerChange
	counts         struct{ trips, furtherTrips, localShortages, dismissed, brokenOff, refused, turns int }
}

// never is later than the end of any run.
const never = rules.Millis(1e300)

// newSender creates a sender and starts it.
func newSender(run *runData, p port, number int) *sender {
	s := &sender{port: p, run: run, number: number, notices: map[rules.NoticeID]*heldNotice{},
		routeStates: map[rules.ReceiverID]recordedState{}, timeoutCheckAt: never, initialList: run.initialList}
	s.limits = limits.For(run.Machine, run.Settings, connectTime)
	s.connLimit = s.limits.MaxReceiverConnections
	s.start()
	return s
}

// connectTime is the connect timeout in milliseconds: the daemon's default.
const connectTime = 1000

// start starts the process with the notices that its ledger kept.
func (s *sender) start() {
	s.startCount++
	settings := s.run.Settings
	settings.Slots = min(settings.Slots, s.limits.MaxReceiverConnections-s.limits.MaxReceiverConnections/16)
	settings.MaxPause = toMillis(s.limits.MaxPause)
	for i := range settings.Kinds {
		settings.Kinds = slices.Clone(settings.Kinds)
		settings.Kinds[i].PerCall = 1
	}
	s.alive, s.shuttingDown, s.sending, s.startedAt, s.turnDue = true, false, true, s.now(), false
	s.decider = s.run.newDecider(senderSeed(s.run.Seed, s.number, s.startCount), settings, s.now())
	s.events, s.pendingAnswers = nil, nil
	s.conns, s.idleConns, s.inFlight, s.timeoutCheckAt, s.usedCapacity = nil, map[rules.ReceiverID][]*conn{},
		nil, never, 0
	ids := make([]rules.NoticeID, 0, len(s.notices))
	for id := range s.notices {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	s.events = append(s.events, s.initialList)
	s.restoreRouteStates()
	for _, id := range ids {
		held := s.notices[id]
		if held.call = nil; held.outcome != "" {
			if held.reportBackoff = 0; held.outcomeAccepted {
				delete(s.notices, id)
			} else {
				s.reportOutcome(held)
			}
			continue
		}
		held.tripRecorded = false
		s.usedCapacity += s.capacityOf(held)
		e := s.acceptedEvent(held)
		e.Trips, e.PossibleRuns = held.trips, len(held.mayHaveRunAt)
		if len(held.mayHaveRunAt) > 0 {
			e.FirstRunAgo = s.now() - held.mayHaveRunAt[0]
		}
		s.events = append(s.events, e)
	}
	if !settings.WatchOnRequest {
		s.post(clientNode, s.transitTime(), event{kind: evWatchList})
	}
	s.senderEvents = append(s.senderEvents, audit.SenderEvent{Sender: s.number, What: "ready", At: s.now()})
	s.scheduleTurn()
}

// restoreRouteStates reports to the decider what the ledger recorded of the routes.
func (s *sender) restoreRouteStates() {
	for _, receiver := range slices.Sorted(maps.Keys(s.routeStates)) {
		recorded := s.routeStates[receiver]
		s.events = append(s.events, rules.RouteStateRestored{Receiver: receiver,
			State: recorded.state.After(s.now() - recorded.at)})
	}
}

// acceptedEvent describes a notice to the decider.
func (s *sender) acceptedEvent(h *heldNotice) rules.NoticeAccepted {
	eff := h.submission.effect
	return rules.NoticeAccepted{Notice: h.id, Grade: rules.GradeID(eff.Grade),
		Portfolio: rules.PortfolioID(eff.Portfolio),
		Key:       rules.KeyID(eff.Key), Destination: rules.DestinationID(eff.Destination),
		TimeLeft: h.deadline - s.now(),
		Waited:   h.waited, SpaceShare: s.capacityOf(h)}
}

// capacityOf returns the share of the sender's capacity (memory or disk, whichever is greater) that a notice uses.
func (s *sender) capacityOf(h *heldNotice) float64 {
	buffers := (h.submission.effect.Body + s.limits.Buffer - 1) / s.limits.Buffer * s.limits.Buffer
	return max(float64(buffers)/float64(s.limits.HeldBytes), ledger.CapacityShare(s.limits.Disk,
		h.submission.effect.Body))
}

// handle processes one event. A paused process defers it; a process that has exited ignores most events.
func (s *sender) handle(e *event) {
	if s.paused && e.kind != evResume && e.kind != evKill {
		s.deferredEvents = append(s.deferredEvents, *e)
		return
	}
	switch e.kind {
	case evRestart:
		s.initialList = e.payload.(rules.ListUpdated)
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
		report := e.payload.(listReport)
		for _, listing := range report.listings {
			listing.Sender, listing.At = s.number, s.now()
			s.listRecords = append(s.listRecords, listing)
		}
		s.queueEvent(report.list)
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
		s.senderEvents = append(s.senderEvents, audit.SenderEvent{Sender: s.number, What: "leaving", At: s.now()})
		s.shuttingDown = true
		s.schedule(toMillis(s.limits.Linger), event{kind: evExitCheck, value: int64(s.startCount)})
	case evExitCheck:
		s.checkExit(uint64(e.value))
	case evPause:
		s.paused = true
		s.senderEvents = append(s.senderEvents, audit.SenderEvent{Sender: s.number, What: "frozen", At: s.now()})
	case evDescriptorLimit:
		if s.connLimit = s.limits.MaxReceiverConnections; e.value >= 0 {
			s.connLimit = min(s.connLimit, len(s.conns)+int(e.value))
		}
	}
}

// queueEvent keeps an event for the decider's next turn.
func (s *sender) queueEvent(e rules.Event) {
	s.events = append(s.events, e)
	s.scheduleTurn()
}

// scheduleTurn schedules a turn unless one is scheduled already.
func (s *sender) scheduleTurn() {
	if !s.turnDue {
		s.turnDue = true
		s.schedule(max(s.lastTurnAt+s.run.turnInterval-s.now(), 0), event{kind: evTurn, value: int64(s.startCount)})
	}
}

// accept accepts or rejects a submission.
func (s *sender) accept(sub *submission) {
	answer := func(status int, retryAfter rules.Millis) {
		s.post(clientNode, s.transitTime(), event{kind: evSubmissionAnswered, submission: sub,
			value: int64(status), payload: retryAfter})
	}
	full := s.run.Settings.HoldLimit > 0 && len(s.notices) >= s.run.Settings.HoldLimit
	switch {
	case !s.alive:
		answer(0, 0)
	case s.shuttingDown:
		s.counts.refused++
		answer(503, 0)
	default:
		s.lastID++
		notice := &heldNotice{submission: sub, id: s.lastID, deadline: s.now() + sub.deadline - sub.submittedAt,
			waited: s.now() - sub.submittedAt}
		if share := s.capacityOf(notice); full || s.usedCapacity+share > 1 {
			s.counts.refused++
			answer(503, 0)
			return
		}
		s.usedCapacity += s.capacityOf(notice)
		s.notices[notice.id] = notice
		s.pendingAnswers = append(s.pendingAnswers, notice)
		s.queueEvent(s.acceptedEvent(notice))
	}
}

// runTurn passes the queued events to the decider, answers new submissions and executes the decider's actions.
func (s *sender) runTurn() {
	s.turnDue, s.lastTurnAt = false, s.now()
	s.counts.turns++
	events, pendingAnswers := s.events, s.pendingAnswers
	s.events, s.pendingAnswers = nil, nil
	if len(events) == 0 || !s.sending {
		return
	}
	actions := s.decider.Decide(s.now()-s.startedAt, events)
	var ended map[rules.NoticeID]rules.Action
	if len(pendingAnswers) > 0 {
		ended = rules.FinalAnswers(actions)
	}
	for _, h := range pendingAnswers {
		status, retryAfter := 202, rules.Millis(0)
		switch a := ended[h.id].(type) {
		case rules.Dismiss:
			status, retryAfter = 429, a.RetryAfter
		case rules.BreakOff:
			status = 500
		}
		if status != 202 {
			s.counts.refused++
			s.removeNotice(h)
		}
		s.post(clientNode, s.transitTime(), event{kind: evSubmissionAnswered, submission: h.submission,
			value: int64(status), payload: retryAfter})
	}
	for _, a := range actions {
		s.execute(a)
	}
}

// execute carries out one action of the decider.
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
	case rules.CancelTrip:
		if h := s.notices[a.Notice]; h != nil && h.call != nil {
			s.abortCall(h.call, rules.Cancelled)
		}
	case rules.CloseIdleConnections:
		for _, c := range slices.Clone(s.idleConns[a.Receiver]) {
			s.closeConn(c)
		}
	case rules.SetTimer:
		s.schedule(a.After, event{kind: evDeciderTimer, value: int64(s.startCount)})
	case rules.WatchList:
		s.post(clientNode, s.transitTime(), event{kind: evWatchList})
	case rules.RouteStateChanged:
		s.routeStates[a.Route] = recordedState{a.State, s.now()}
	case rules.BreakerChanged:
		if s.run.record {
			s.breakerChanges = append(s.breakerChanges, BreakerChange{At: s.now(), Sender: s.number,
				Destination: int(a.Destination), State: a.State, Why: a.Reason})
		}
	}
}

// send starts a trip, on an idle connection if there is one.
func (s *sender) send(held *heldNotice, a rules.Send) {
	c := &call{submission: held.submission, notice: held.id, receiver: a.Receiver, startedAt: s.now(),
		timeoutAt: s.now() + a.Timeout, inFlight: true}
	held.call = c
	s.counts.trips++
	if held.trips++; held.trips > 1 {
		s.counts.furtherTrips++
	}
	heap.Push(&s.inFlight, c)
	s.scheduleTimeoutCheck(c.timeoutAt)
	for idle := s.idleConns[a.Receiver]; len(idle) > 0; idle = s.idleConns[a.Receiver] {
		cn := idle[len(idle)-1]
		if s.now()-cn.lastUsed > toMillis(s.limits.ReceiverIdle) {
			s.closeConn(cn)
			continue
		}
		s.removeIdle(cn)
		cn.call, c.conn = c, cn
		s.writeCall(cn)
		return
	}
	if len(s.conns) >= s.connLimit && !s.closeOldest() {
		s.counts.localShortages++
		held.trips--
		s.finishTrip(c, rules.TripEnded{Result: rules.LocalShortage})
		return
	}
	cn := &conn{sender: s.id, receiver: a.Receiver, call: c, lastUsed: s.now(),
		connectDeadline: s.now() + connectTime, senderIndex: len(s.conns)}
	s.conns = append(s.conns, cn)
	c.conn = cn
	s.scheduleTimeoutCheck(cn.connectDeadline)
	s.postToSite(c.submission, event{kind: evConnect, conn: cn})
}

// postToSite sends an event to the site of a submission's destination.
func (s *sender) postToSite(sub *submission, e event) {
	to := s.run.siteNode(sub.effect.Destination)
	s.post(to, s.transitTime(), e)
}

// closeOldest closes the connection that has been idle for longest; it returns false if none is idle.
func (s *sender) closeOldest() bool {
	var oldest *conn
	for _, cn := range s.conns {
		if cn.established && cn.call == nil && !cn.closed && (oldest == nil || cn.lastUsed < oldest.lastUsed) {
			oldest = cn
		}
	}
	if oldest != nil {
		s.closeConn(oldest)
	}
	return oldest != nil
}

// connUp asks the decider whether the call that waited for this connection may still be written.
func (s *sender) connUp(cn *conn) {
	if cn.closed {
		return // closed in the meantime; the site has been notified
	}
	cn.established = true
	s.queueEvent(rules.ConnectionUp{Notice: cn.call.notice})
}

// recallCall withdraws a call before it is written and keeps its connection, which has been established.
func (s *sender) recallCall(c *call) {
	cn := c.conn
	cn.call, cn.lastUsed = nil, s.now()
	s.idleConns[cn.receiver] = append(s.idleConns[cn.receiver], cn)
	s.scheduleTimeoutCheck(s.now() + toMillis(s.limits.ReceiverIdle))
	s.notices[c.notice].trips--
	s.finishTrip(c, rules.TripEnded{Result: rules.Recalled})
}

// writeCall writes a call to its connection. From here on the trip is in the ledger.
func (s *sender) writeCall(cn *conn) {
	c := cn.call
	h := s.notices[c.notice]
	h.mayHaveRunAt = append(h.mayHaveRunAt, s.now())
	h.tripRecorded, c.written, cn.lastUsed = true, true, s.now()
	s.postToSite(c.submission, event{kind: evCall, call: c})
}

// connEnded handles a connection that was refused or reset.
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

// handleResponse classifies a response and ends its trip.
func (s *sender) handleResponse(c *call, r response) {
	cn := c.conn
	if cn.closed || cn.call != c || !c.inFlight {
		return
	}
	e := rules.TripEnded{Result: rules.Errored}
	switch {
	case r.status == 200:
		e.Result = rules.Handled
	case r.malformed:
		e.Result = rules.Reset
	case r.status == 429 || r.status == 503:
		e.Result, e.RequestedWait = rules.Refused, r.retryAfter
	}
	e.LimitReported, e.LimitRemaining, e.LimitRate = r.limitReported, r.limitLeft, r.limitRate
	cn.call, cn.lastUsed = nil, s.now()
	if r.malformed {
		e.LimitReported = false
		s.closeConn(cn)
	} else {
		s.idleConns[cn.receiver] = append(s.idleConns[cn.receiver], cn)
		s.scheduleTimeoutCheck(s.now() + toMillis(s.limits.ReceiverIdle))
	}
	s.finishTrip(c, e)
}

// finishTrip records a trip's result and reports it to the decider.
func (s *sender) finishTrip(c *call, e rules.TripEnded) {
	c.inFlight = false
	heap.Remove(&s.inFlight, c.heapIndex)
	held := s.notices[c.notice]
	held.call = nil
	e.Notice, e.Receiver, e.Duration = c.notice, c.receiver, s.now()-c.startedAt
	e.NoticeEnded = e.NoticeEnded || e.Result == rules.Handled
	notRun := e.Result == rules.Refused || e.Result == rules.NotConnected || e.Result == rules.NotSent ||
		e.Result == rules.LocalShortage || e.Result == rules.Recalled
	if held.tripRecorded && notRun {
		held.mayHaveRunAt = held.mayHaveRunAt[:len(held.mayHaveRunAt)-1]
	}
	held.tripRecorded = false
	if e.NoticeEnded {
		held.done = true
	}
	if e.Result == rules.Handled && held.outcome == "" && s.mayBeLate(c.notice) {
		held.outcome = "given_up"
		s.usedCapacity -= s.capacityOf(held)
		s.reportOutcome(held)
	}
	switch {
	case held.done && held.outcome == "":
		s.removeNotice(held)
	case held.outcomeAccepted:
		delete(s.notices, held.id)
	}
	s.queueEvent(e)
}

// mayBeLate reports whether a response received now may come after its notice's client timeout, as far as the
// decider knows.
func (s *sender) mayBeLate(n rules.NoticeID) bool {
	checker, implemented := s.decider.(interface {
		ResponseMayBeLate(rules.NoticeID, rules.Millis) bool
	})
	return implemented && checker.ResponseMayBeLate(n, s.now()-s.startedAt)
}

// endNotice sets the final outcome of a notice and reports it.
func (s *sender) endNotice(id rules.NoticeID, outcome string, retryAfter rules.Millis) {
	held := s.notices[id]
	if held == nil {
		return // rejected in the turn that accepted it
	}
	if outcome == "given_up" {
		s.counts.brokenOff++
	} else {
		s.counts.dismissed++
	}
	held.done, held.outcome, held.retryAfter = true, outcome, retryAfter
	s.usedCapacity -= s.capacityOf(held)
	s.reportOutcome(held)
}

// reportOutcome reports a final outcome to the platform and doubles the delay before the next attempt, up to a
// limit.
func (s *sender) reportOutcome(held *heldNotice) {
	s.post(clientNode, s.transitTime(), event{kind: evOutcome, submission: held.submission, value: int64(held.id),
		payload: outcomeReport{held.outcome, held.retryAfter}})
	held.reportBackoff = min(max(2*held.reportBackoff, toMillis(s.limits.BackOff)), toMillis(s.limits.MaxBackOff))
}

// removeNotice removes a notice and frees its capacity.
func (s *sender) removeNotice(h *heldNotice) {
	s.usedCapacity -= s.capacityOf(h)
	delete(s.notices, h.id)
}

// abortCall ends a call and its connection from this side. A call that was not written cannot have taken effect.
func (s *sender) abortCall(c *call, result rules.Result) {
	if !c.written {
		result = rules.NotConnected
	}
	c.conn.call = nil
	s.closeConn(c.conn)
	s.finishTrip(c, rules.TripEnded{Result: result})
}

// closeConn closes a connection from this side and notifies its site.
func (s *sender) closeConn(cn *conn) {
	if cn.closed {
		return
	}
	s.removeConn(cn)
	s.post(s.run.siteNode(int(s.run.destinationOf[cn.receiver])), s.transitTime(), event{kind: evConnClosed,
		conn: cn})
}

// removeConn removes a connection from the sender's tables.
func (s *sender) removeConn(cn *conn) {
	cn.closed = true
	last := s.conns[len(s.conns)-1]
	s.conns[cn.senderIndex], last.senderIndex = last, cn.senderIndex
	s.conns = s.conns[:len(s.conns)-1]
	s.removeIdle(cn)
}

// removeIdle removes a connection from the idle connections of its receiver.
func (s *sender) removeIdle(cn *conn) {
	idle := s.idleConns[cn.receiver]
	if i := slices.Index(idle, cn); i >= 0 {
		idle = slices.Delete(idle, i, i+1)
	}
	if s.idleConns[cn.receiver] = idle; len(idle) == 0 {
		delete(s.idleConns, cn.receiver)
	}
}

// scheduleTimeoutCheck schedules a check for timeouts unless an earlier one is scheduled.
func (s *sender) scheduleTimeoutCheck(at rules.Millis) {
	if at < s.timeoutCheckAt {
		s.timeoutCheckAt = at
		s.schedule(max(at-s.now(), 0), event{kind: evTimeoutCheck, value: int64(s.startCount)})
	}
}

// expireTimeouts aborts calls and connection attempts that have timed out and closes connections that were idle too
// long.
func (s *sender) expireTimeouts() {
	now, next := s.now(), never
	for len(s.inFlight) > 0 && s.inFlight[0].timeoutAt <= now {
		s.abortCall(s.inFlight[0], rules.TimedOut)
	}
	for _, cn := range slices.Clone(s.conns) {
		switch {
		case cn.closed:
		case !cn.established && cn.connectDeadline <= now:
			c := cn.call
			s.closeConn(cn)
			if c != nil && c.inFlight {
				s.finishTrip(c, rules.TripEnded{Result: rules.NotConnected})
			}
		case !cn.established:
			next = min(next, cn.connectDeadline)
		case cn.call == nil && cn.lastUsed+toMillis(s.limits.ReceiverIdle) <= now:
			s.closeConn(cn)
		case cn.call == nil:
			next = min(next, cn.lastUsed+toMillis(s.limits.ReceiverIdle))
		}
	}
	if len(s.inFlight) > 0 {
		next = min(next, s.inFlight[0].timeoutAt)
	}
	if next < never {
		s.scheduleTimeoutCheck(max(next, now+1))
	}
}

// kill ends the process at once; only what its ledger recorded remains.
func (s *sender) kill() {
	s.senderEvents = append(s.senderEvents, audit.SenderEvent{Sender: s.number, What: "killed", At: s.now()})
	s.stop()
}

// stop ends the process: it closes all connections and drops the submissions that have not been answered.
func (s *sender) stop() {
	s.alive, s.paused, s.deferredEvents = false, false, nil
	for _, cn := range slices.Clone(s.conns) {
		s.closeConn(cn)
	}
	for _, h := range s.pendingAnswers { // the clients of these get no answer
		delete(s.notices, h.id)
		s.post(clientNode, s.transitTime(), event{kind: evSubmissionAnswered, submission: h.submission,
			value: statusNoAnswer, payload: rules.Millis(0)})
	}
	s.pendingAnswers, s.events = nil, nil
}

// checkExit exits once no call is in flight, and at the latest when the time for the shutdown is over.
func (s *sender) checkExit(startCount uint64) {
	if startCount != s.startCount {
		return
	}
	elapsed := s.now() - s.senderEvents[len(s.senderEvents)-1].At
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

// resume ends a pause and handles the events that arrived during it.
func (s *sender) resume() {
	if !s.paused {
		return
	}
	s.paused = false
	s.senderEvents = append(s.senderEvents, audit.SenderEvent{Sender: s.number, What: "going on", At: s.now()})
	deferred := s.deferredEvents
	s.deferredEvents = nil
	for i := range deferred {
		s.handle(&deferred[i])
	}
}

// callsByTimeout is a heap of calls in flight, ordered by the time at which they time out.
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
