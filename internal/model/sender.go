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
	evUp       kind = iota + 20 // conn: it came up
	evRefused                   // conn: it did not
	evReset                     // conn: it was reset
	evReply                     // call, more: a reply
	evHand                      // hand: a client hands a notice in
	evTurn                      // its own: a turn is due
	evTimer                     // its own: the decisions asked for it
	evWake                      // its own: something times out
	evList                      // more: a rules.ListTold with what was told
	evNoList                    // the list could not be had
	evEndTaken                  // n: the platform took the end of a notice
	evEndLost                   // n: it did not
	evTellEnd                   // its own, n: an end is told again
	evKill
	evRestart
	evLeave
	evExit // its own: out, whatever is still open
	evFreeze
	evThaw
	evFiles // n: so many descriptors more; below 0: as many as ever
)

// held is a notice that a sender owes its end, with what its ledger would have of it.
type held struct {
	hand     *hand
	n        rules.NoticeID
	until    rules.Millis
	waited   rules.Millis // to be read
	call     *call
	trips    int            // made
	ran      []rules.Millis // when those that may have run were sent
	recorded bool           // the trip that is out is among them
	over     bool
	ended    string // the end that the platform has not taken yet
	retry    rules.Millis
	back     rules.Millis // pause before the end is told again
	taken    bool         // the platform has it
}

// told is what the list said, for the record.
type toldOf struct {
	told    rules.ListTold
	members []audit.Told
}

// sender is a process that runs a Decider, as internal/loop does on sockets.
type sender struct {
	port
	w       *world
	number  int
	limits  limits.Limits
	decider Decider
	starts  uint64 // so many times it was started
	began   rules.Millis

	alive, frozen, leaving, sending bool
	restarts                        bool           // once it has left
	known                           rules.ListTold // the list, as it starts
	frozenAt                        []event        // what came while it stood still
	events                          []rules.Event
	fresh                           []*held
	notices                         map[rules.NoticeID]*held
	last                            rules.NoticeID
	turnDue                         bool
	lastTurn                        rules.Millis
	lines                           []*conn
	idle                            map[rules.ReceiverID][]*conn
	out                             byDue
	wakeAt                          rules.Millis
	files                           int // connections that the descriptors allow
	room                            float64

	told    []audit.Told
	lives   []audit.Life
	turns   []Turned
	counted struct{ trips, further, short, dismissed, brokenOff, refused, turns int }
}

const never = rules.Millis(1e300)

func newSender(w *world, p port, number int) *sender {
	s := &sender{port: p, w: w, number: number, notices: map[rules.NoticeID]*held{}, wakeAt: never, known: w.firstList}
	s.limits = limits.For(w.Machine, w.Settings, connectTime)
	s.files = s.limits.Receivers
	s.start()
	return s
}

// connectTime is how long a connection may take to come up: the daemon's default.
const connectTime = 1000

// start begins a process: with what the ledger kept of an earlier one.
func (s *sender) start() {
	s.starts++
	settings := s.w.Settings
	settings.Slots = min(settings.Slots, s.limits.Receivers-s.limits.Receivers/16)
	settings.Stall = millisOf(s.limits.Stall)
	for i := range settings.Kinds {
		settings.Kinds = slices.Clone(settings.Kinds)
		settings.Kinds[i].PerCall = 1
	}
	s.alive, s.leaving, s.sending, s.began, s.turnDue = true, false, true, s.now(), false
	s.decider = s.w.policy(seedOf(s.w.Seed, s.number, s.starts), settings, s.now())
	s.events, s.fresh = nil, nil
	s.lines, s.idle, s.out, s.wakeAt, s.room = nil, map[rules.ReceiverID][]*conn{}, nil, never, 0
	numbers := make([]rules.NoticeID, 0, len(s.notices))
	for n := range s.notices {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	s.events = append(s.events, s.known)
	for _, n := range numbers {
		h := s.notices[n]
		if h.call = nil; h.ended != "" {
			if h.back = 0; h.taken {
				delete(s.notices, n)
			} else {
				s.tellEnd(h)
			}
			continue
		}
		h.recorded = false
		s.room += s.roomOf(h)
		e := s.takenEvent(h)
		e.Trips, e.Ran = h.trips, len(h.ran)
		if len(h.ran) > 0 {
			e.RanAgo = s.now() - h.ran[0]
		}
		s.events = append(s.events, e)
	}
	if !settings.ListOnAsk {
		s.post(outside, s.wire(), event{kind: evWatch})
	}
	s.lives = append(s.lives, audit.Life{Sender: s.number, What: "ready", At: s.now()})
	s.wake()
}

func (s *sender) takenEvent(h *held) rules.NoticeTaken {
	eff := h.hand.eff
	return rules.NoticeTaken{Notice: h.n, Grade: rules.GradeID(eff.Grade), Portfolio: rules.PortfolioID(eff.Portfolio),
		Key: rules.KeyID(eff.Key), Destination: rules.DestinationID(eff.Destination), Left: h.until - s.now(),
		Waited: h.waited, Room: s.roomOf(h)}
}

func (s *sender) roomOf(h *held) float64 {
	buffers := (h.hand.eff.Body + s.limits.Buffer - 1) / s.limits.Buffer * s.limits.Buffer
	return max(float64(buffers)/float64(s.limits.HeldBytes), ledger.Share(s.limits.Disk, h.hand.eff.Body))
}

func (s *sender) handle(e *event) {
	if s.frozen && e.kind != evThaw && e.kind != evKill {
		s.frozenAt = append(s.frozenAt, *e)
		return
	}
	switch e.kind {
	case evRestart:
		s.known = e.more.(rules.ListTold)
		if s.restarts = s.alive; !s.alive {
			s.start()
		}
		return
	case evHand:
		s.take(e.hand)
		return
	case evEndTaken:
		if h := s.notices[rules.NoticeID(e.n)]; h != nil {
			if h.taken = true; h.call == nil {
				delete(s.notices, h.n)
			}
		}
		return
	case evThaw:
		s.thaw()
		return
	}
	if !s.alive {
		return
	}
	switch e.kind {
	case evUp:
		s.opened(e.conn)
	case evRefused:
		s.ended(e.conn, rules.NotConnected)
	case evReset:
		s.ended(e.conn, rules.Reset)
	case evReply:
		s.reply(e.call, e.more.(reply))
	case evTurn:
		if uint64(e.n) == s.starts {
			s.turn()
		}
	case evTimer:
		if uint64(e.n) == s.starts {
			s.happened(rules.TimerDue{})
		}
	case evWake:
		if uint64(e.n) == s.starts {
			s.wakeAt = never
			s.expire()
		}
	case evList:
		t := e.more.(toldOf)
		for _, m := range t.members {
			m.Sender, m.At = s.number, s.now()
			s.told = append(s.told, m)
		}
		s.happened(t.told)
	case evNoList:
		s.happened(rules.ListFailed{})
	case evEndLost:
		if h := s.notices[rules.NoticeID(e.n)]; h != nil {
			s.self(h.back, event{kind: evTellEnd, n: e.n, more: s.starts})
		}
	case evTellEnd:
		if h := s.notices[rules.NoticeID(e.n)]; h != nil && e.more.(uint64) == s.starts {
			s.tellEnd(h)
		}
	case evKill:
		s.kill()
	case evLeave:
		s.lives = append(s.lives, audit.Life{Sender: s.number, What: "leaving", At: s.now()})
		s.leaving = true
		s.self(millisOf(s.limits.Linger), event{kind: evExit, n: int64(s.starts)})
	case evExit:
		s.exit(uint64(e.n))
	case evFreeze:
		s.frozen = true
		s.lives = append(s.lives, audit.Life{Sender: s.number, What: "frozen", At: s.now()})
	case evFiles:
		if s.files = s.limits.Receivers; e.n >= 0 {
			s.files = min(s.files, len(s.lines)+int(e.n))
		}
	}
}

// happened tells the decisions of something, in the next turn.
func (s *sender) happened(e rules.Event) {
	s.events = append(s.events, e)
	s.wake()
}

// wake asks for a turn.
func (s *sender) wake() {
	if !s.turnDue {
		s.turnDue = true
		s.self(max(s.lastTurn+s.w.turn-s.now(), 0), event{kind: evTurn, n: int64(s.starts)})
	}
}

// take hears a client.
func (s *sender) take(h *hand) {
	answer := func(status int, after rules.Millis) {
		s.post(outside, s.wire(), event{kind: evAnswered, hand: h, n: int64(status), more: after})
	}
	full := s.w.Settings.HoldLimit > 0 && len(s.notices) >= s.w.Settings.HoldLimit
	switch {
	case !s.alive:
		answer(0, 0)
	case s.leaving:
		s.counted.refused++
		answer(503, 0)
	default:
		s.last++
		n := &held{hand: h, n: s.last, until: s.now() + h.until - h.at, waited: s.now() - h.at}
		if room := s.roomOf(n); full || s.room+room > 1 {
			s.counted.refused++
			answer(503, 0)
			return
		}
		s.room += s.roomOf(n)
		s.notices[n.n] = n
		s.fresh = append(s.fresh, n)
		s.happened(s.takenEvent(n))
	}
}

// turn lets the decisions be made and carries them out.
func (s *sender) turn() {
	s.turnDue, s.lastTurn = false, s.now()
	s.counted.turns++
	events, fresh := s.events, s.fresh
	s.events, s.fresh = nil, nil
	if len(events) == 0 || !s.sending {
		return
	}
	actions := s.decider.Decide(s.now()-s.began, events)
	var ended map[rules.NoticeID]rules.Action
	if len(fresh) > 0 {
		ended = rules.Ends(actions)
	}
	for _, h := range fresh {
		status, after := 202, rules.Millis(0)
		switch a := ended[h.n].(type) {
		case rules.Dismiss:
			status, after = 429, a.RetryAfter
		case rules.BreakOff:
			status = 500
		}
		if status != 202 {
			s.counted.refused++
			s.forget(h)
		}
		s.post(outside, s.wire(), event{kind: evAnswered, hand: h.hand, n: int64(status), more: after})
	}
	for _, a := range actions {
		s.carryOut(a)
	}
}

func (s *sender) carryOut(action rules.Action) {
	switch a := action.(type) {
	case rules.Send:
		if h := s.notices[a.Notice]; h != nil {
			s.send(h, a)
		}
	case rules.Write:
		if h := s.notices[a.Notice]; h != nil && h.call != nil && h.call.conn.up && !h.call.written {
			s.write(h.call.conn)
		}
	case rules.Recall:
		if h := s.notices[a.Notice]; h != nil && h.call != nil && h.call.conn.up && !h.call.written {
			s.recall(h.call)
		}
	case rules.Dismiss:
		s.end(a.Notice, "handed_back", a.RetryAfter)
	case rules.BreakOff:
		s.end(a.Notice, "given_up", 0)
	case rules.CallOff:
		if h := s.notices[a.Notice]; h != nil && h.call != nil {
			s.giveUp(h.call, rules.Cancelled)
		}
	case rules.LetGo:
		for _, c := range slices.Clone(s.idle[a.Receiver]) {
			s.drop(c)
		}
	case rules.SetTimer:
		s.self(a.After, event{kind: evTimer, n: int64(s.starts)})
	case rules.WatchList:
		s.post(outside, s.wire(), event{kind: evWatch})
	case rules.Turned:
		if s.w.record {
			s.turns = append(s.turns, Turned{At: s.now(), Sender: s.number, Destination: int(a.Destination), State: a.State, Why: a.Why})
		}
	}
}

// send begins a trip, on an idle connection if there is one.
func (s *sender) send(h *held, a rules.Send) {
	c := &call{hand: h.hand, notice: h.n, receiver: a.Receiver, begun: s.now(), due: s.now() + a.TimeOut, out: true}
	h.call = c
	s.counted.trips++
	if h.trips++; h.trips > 1 {
		s.counted.further++
	}
	heap.Push(&s.out, c)
	s.wakeBy(c.due)
	for idle := s.idle[a.Receiver]; len(idle) > 0; idle = s.idle[a.Receiver] {
		l := idle[len(idle)-1]
		if s.now()-l.since > millisOf(s.limits.ReceiverIdle) {
			s.drop(l)
			continue
		}
		s.unidle(l)
		l.call, c.conn = c, l
		s.write(l)
		return
	}
	if len(s.lines) >= s.files && !s.closeOldest() {
		s.counted.short++
		h.trips--
		s.tell(c, rules.TripEnded{Result: rules.Short})
		return
	}
	l := &conn{sender: s.id, receiver: a.Receiver, call: c, since: s.now(), connectBy: s.now() + connectTime, place: len(s.lines)}
	s.lines = append(s.lines, l)
	c.conn = l
	s.wakeBy(l.connectBy)
	s.toSite(c.hand, event{kind: evConnect, conn: l})
}

func (s *sender) toSite(h *hand, e event) {
	to := s.w.siteOf(h.eff.Destination)
	s.post(to, s.wire(), e)
}

func (s *sender) closeOldest() bool {
	var oldest *conn
	for _, l := range s.lines {
		if l.up && l.call == nil && !l.gone && (oldest == nil || l.since < oldest.since) {
			oldest = l
		}
	}
	if oldest != nil {
		s.drop(oldest)
	}
	return oldest != nil
}

// opened asks whether the call that waited for its connection may still leave.
func (s *sender) opened(l *conn) {
	if l.gone {
		return // given up meanwhile; the site has heard
	}
	l.up = true
	s.happened(rules.ConnectionUp{Notice: l.call.notice})
}

// recall takes a call back whose connection has come up, and keeps the connection.
func (s *sender) recall(c *call) {
	l := c.conn
	l.call, l.since = nil, s.now()
	s.idle[l.receiver] = append(s.idle[l.receiver], l)
	s.wakeBy(s.now() + millisOf(s.limits.ReceiverIdle))
	s.notices[c.notice].trips--
	s.tell(c, rules.TripEnded{Result: rules.Recalled})
}

// write hands a call to its connection: its trip is in the ledger from here on.
func (s *sender) write(l *conn) {
	c := l.call
	h := s.notices[c.notice]
	h.ran = append(h.ran, s.now())
	h.recorded, c.written, l.since = true, true, s.now()
	s.toSite(c.hand, event{kind: evCall, call: c})
}

// ended hears the end of a connection.
func (s *sender) ended(l *conn, how rules.Result) {
	if l.gone {
		return
	}
	c := l.call
	l.call = nil
	s.remove(l)
	if c == nil || !c.out {
		return
	}
	if !c.written {
		how = rules.NotConnected
	}
	s.tell(c, rules.TripEnded{Result: how})
}

// reply hears an answer.
func (s *sender) reply(c *call, r reply) {
	l := c.conn
	if l.gone || l.call != c || !c.out {
		return
	}
	e := rules.TripEnded{Result: rules.Errored}
	switch {
	case r.status == 200:
		e.Result = rules.Handled
	case r.spoilt:
		e.Result = rules.Reset
	case r.status == 429 || r.status == 503:
		e.Result, e.Wait = rules.Full, r.wait
	}
	e.LimitTold, e.LimitLeft, e.LimitRate = r.told, r.left, r.limit
	l.call, l.since = nil, s.now()
	if r.spoilt {
		e.LimitTold = false
		s.drop(l)
	} else {
		s.idle[l.receiver] = append(s.idle[l.receiver], l)
		s.wakeBy(s.now() + millisOf(s.limits.ReceiverIdle))
	}
	s.tell(c, e)
}

// tell books a trip's outcome and tells the decisions.
func (s *sender) tell(c *call, e rules.TripEnded) {
	c.out = false
	heap.Remove(&s.out, c.place)
	h := s.notices[c.notice]
	h.call = nil
	e.Notice, e.Receiver, e.Spent = c.notice, c.receiver, s.now()-c.begun
	e.Over = e.Over || e.Result == rules.Handled
	unrun := e.Result == rules.Full || e.Result == rules.NotConnected || e.Result == rules.Moot || e.Result == rules.Short ||
		e.Result == rules.Recalled
	if h.recorded && unrun {
		h.ran = h.ran[:len(h.ran)-1]
	}
	h.recorded = false
	if e.Over {
		h.over = true
	}
	if e.Result == rules.Handled && h.ended == "" && s.mayBeLate(c.notice) {
		h.ended = "given_up"
		s.room -= s.roomOf(h)
		s.tellEnd(h)
	}
	switch {
	case h.over && h.ended == "":
		s.forget(h)
	case h.taken:
		delete(s.notices, h.n)
	}
	s.happened(e)
}

// mayBeLate tells whether an answer heard now may have come after its notice's time, as far as the policy knows.
func (s *sender) mayBeLate(n rules.NoticeID) bool {
	judge, knows := s.decider.(interface {
		AnswerMayBeLate(rules.NoticeID, rules.Millis) bool
	})
	return knows && judge.AnswerMayBeLate(n, s.now()-s.began)
}

// end gives a notice its end.
func (s *sender) end(n rules.NoticeID, outcome string, retry rules.Millis) {
	h := s.notices[n]
	if h == nil {
		return // told in its own turn
	}
	if outcome == "given_up" {
		s.counted.brokenOff++
	} else {
		s.counted.dismissed++
	}
	h.over, h.ended, h.retry = true, outcome, retry
	s.room -= s.roomOf(h)
	s.tellEnd(h)
}

// tellEnd hands an end in to the platform; one that was not taken comes again, later each time.
func (s *sender) tellEnd(h *held) {
	s.post(outside, s.wire(), event{kind: evEnd, hand: h.hand, n: int64(h.n), more: endOf{h.ended, h.retry}})
	h.back = min(max(2*h.back, millisOf(s.limits.BackOff)), millisOf(s.limits.BackOffMost))
}

func (s *sender) forget(h *held) {
	s.room -= s.roomOf(h)
	delete(s.notices, h.n)
}

// giveUp ends a call from this side. One that was not written cannot have run.
func (s *sender) giveUp(c *call, result rules.Result) {
	if !c.written {
		result = rules.NotConnected
	}
	c.conn.call = nil
	s.drop(c.conn)
	s.tell(c, rules.TripEnded{Result: result})
}

// drop ends a connection from this side; its site hears.
func (s *sender) drop(l *conn) {
	if l.gone {
		return
	}
	s.remove(l)
	s.post(s.w.siteOf(int(s.w.destOf[l.receiver])), s.wire(), event{kind: evHangup, conn: l})
}

func (s *sender) remove(l *conn) {
	l.gone = true
	last := s.lines[len(s.lines)-1]
	s.lines[l.place], last.place = last, l.place
	s.lines = s.lines[:len(s.lines)-1]
	s.unidle(l)
}

func (s *sender) unidle(l *conn) {
	idle := s.idle[l.receiver]
	if i := slices.Index(idle, l); i >= 0 {
		idle = slices.Delete(idle, i, i+1)
	}
	if s.idle[l.receiver] = idle; len(idle) == 0 {
		delete(s.idle, l.receiver)
	}
}

// wakeBy asks to look for what has timed out at a time, or before.
func (s *sender) wakeBy(at rules.Millis) {
	if at < s.wakeAt {
		s.wakeAt = at
		s.self(max(at-s.now(), 0), event{kind: evWake, n: int64(s.starts)})
	}
}

// expire gives up what has taken too long and closes what has stood idle.
func (s *sender) expire() {
	now, next := s.now(), never
	for len(s.out) > 0 && s.out[0].due <= now {
		s.giveUp(s.out[0], rules.TimedOut)
	}
	for _, l := range slices.Clone(s.lines) {
		switch {
		case l.gone:
		case !l.up && l.connectBy <= now:
			c := l.call
			s.drop(l)
			if c != nil && c.out {
				s.tell(c, rules.TripEnded{Result: rules.NotConnected})
			}
		case !l.up:
			next = min(next, l.connectBy)
		case l.call == nil && l.since+millisOf(s.limits.ReceiverIdle) <= now:
			s.drop(l)
		case l.call == nil:
			next = min(next, l.since+millisOf(s.limits.ReceiverIdle))
		}
	}
	if len(s.out) > 0 {
		next = min(next, s.out[0].due)
	}
	if next < never {
		s.wakeBy(max(next, now+1))
	}
}

// kill ends the process: what is left is what its ledger has.
func (s *sender) kill() {
	s.lives = append(s.lives, audit.Life{Sender: s.number, What: "killed", At: s.now()})
	s.stop()
}

func (s *sender) stop() {
	s.alive, s.frozen, s.frozenAt = false, false, nil
	for _, l := range slices.Clone(s.lines) {
		s.drop(l)
	}
	for _, h := range s.fresh { // their clients never had an answer
		delete(s.notices, h.n)
		s.post(outside, s.wire(), event{kind: evAnswered, hand: h.hand, n: lostAnswer, more: rules.Millis(0)})
	}
	s.fresh, s.events = nil, nil
}

// exit leaves once nothing is out, and at the latest when the time is up.
func (s *sender) exit(starts uint64) {
	if starts != s.starts {
		return
	}
	left := s.now() - s.lives[len(s.lives)-1].At
	s.sending = left < millisOf(s.limits.SendUntil)
	if s.sending && len(s.notices) > 0 || len(s.out) > 0 && left < millisOf(s.limits.ExitBy) {
		s.self(50, event{kind: evExit, n: int64(starts)})
		return
	}
	s.stop()
	if s.restarts {
		s.restarts = false
		s.start()
	}
}

// thaw goes on: what came meanwhile is heard now.
func (s *sender) thaw() {
	if !s.frozen {
		return
	}
	s.frozen = false
	s.lives = append(s.lives, audit.Life{Sender: s.number, What: "going on", At: s.now()})
	waited := s.frozenAt
	s.frozenAt = nil
	for i := range waited {
		s.handle(&waited[i])
	}
}

// byDue is a heap of calls by the end of their time-outs.
type byDue []*call

func (h byDue) Len() int { return len(h) }
func (h byDue) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].notice < h[j].notice
}
func (h byDue) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].place, h[j].place = i, j }
func (h *byDue) Push(x any)   { c := x.(*call); c.place = len(*h); *h = append(*h, c) }
func (h *byDue) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
