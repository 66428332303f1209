package model

import (
	"slices"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/gateway"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
)

// conn is a connection from a sender to a receiver. Each side writes only its own part.
type conn struct {
	sender   int32
	receiver rules.ReceiverID

	// The sender's.
	established, closed bool // gone: closed by the sender, or known to have ended
	call                *call
	lastUsed            rules.Millis
	connectDeadline     rules.Millis
	senderIndex         int // among its sender's

	// The site's.
	open          bool
	serving       *call
	receiverIndex int // among its receiver's
}

// call is a trip on its way. Its sender writes the first part, the site the second.
type call struct {
	submission *submission
	notice     rules.NoticeID
	receiver   rules.ReceiverID
	conn       *conn
	startedAt  rules.Millis
	timeoutAt  rules.Millis
	heapIndex  int // among those out
	written    bool
	inFlight   bool

	fate   gateway.Fate
	record audit.Call
	done   bool
}

// reply is what an answer tells its sender.
type response struct {
	status                   int
	retryAfter               rules.Millis
	malformed, limitReported bool
	limitLeft, limitRate     float64
}

// site is a destination with its receivers.
type site struct {
	port
	world         *world
	gateway       *gateway.Site
	receivers     []*receiver
	byID          map[rules.ReceiverID]*receiver
	openConns     int
	recordedCalls []*call // those noted, for the record
	overloads     []audit.Fall

	counts struct{ calls, fullResponses, furtherCalls, secondEffects int }
}

// place is one receiver.
type receiver struct {
	id           rules.ReceiverID
	name         string
	removed      bool // gone for good
	refusing     bool
	unresponsive bool
	conns        []*conn
}

// Events at a site.
const (
	evConnect         eventKind = iota // conn
	evCall                             // call
	evResponseDue                      // call: its answer is due
	evConnClosed                       // conn: the sender has ended it
	evFaultChange                      // a fault begins or ends
	evReceiverAdded                    // n: a receiver opens
	evReceiverRemoved                  // n: a receiver is gone for good
)

func newSite(w *world, p port, d *scenario.Destination) *site {
	s := &site{port: p, world: w, gateway: gateway.NewSite(w.World, d), byID: map[rules.ReceiverID]*receiver{}}
	for _, name := range d.Receivers {
		s.addReceiver(w.receiver(name))
	}
	s.applyFaults(0)
	s.scheduleFaultChange(0)
	return s
}

func (s *site) addReceiver(id rules.ReceiverID) {
	p := &receiver{id: id, name: s.world.receiverNames[id]}
	s.receivers = append(s.receivers, p)
	s.byID[id] = p
}

func (s *site) handle(e *event) {
	switch e.kind {
	case evConnect:
		s.connect(e.conn)
	case evCall:
		s.receiveCall(e.call)
	case evResponseDue:
		s.respond(e.call)
	case evConnClosed:
		s.connClosed(e.conn)
	case evFaultChange:
		s.gateway.StepOutage(s.now())
		s.applyFaults(s.now())
		s.scheduleFaultChange(s.now())
	case evReceiverAdded:
		s.addReceiver(rules.ReceiverID(e.value))
		s.applyFaults(s.now())
	case evReceiverRemoved:
		p := s.byID[rules.ReceiverID(e.value)]
		p.removed = true
		s.resetConns(p)
	}
}

// nextFault asks to be told when the next fault begins or ends.
func (s *site) scheduleFaultChange(now rules.Millis) {
	next := rules.Millis(-1)
	for _, f := range s.gateway.Faults {
		if n := f.Next(now); n >= 0 && (next < 0 || n < next) {
			next = n
		}
	}
	if next >= 0 {
		s.schedule(max(next-now, 0), event{kind: evFaultChange})
	}
}

// faults puts into force what acts from now on.
func (s *site) applyFaults(now rules.Millis) {
	refuses, blocked := false, false
	for _, f := range s.gateway.Faults {
		switch f.Kind {
		case scenario.Refuse, scenario.Flap:
			refuses = refuses || f.Active(now)
		case scenario.Silent, scenario.NeverUp:
			blocked = blocked || f.Active(now)
		}
	}
	for _, p := range s.receivers {
		p.refusing, p.unresponsive = refuses, blocked
		if refuses {
			s.resetConns(p)
		}
	}
}

func (s *site) resetConns(p *receiver) {
	for _, c := range slices.Clone(p.conns) {
		s.resetConn(c)
	}
}

// reset ends a connection from this side.
func (s *site) resetConn(c *conn) {
	if !c.open {
		return
	}
	s.dropConn(c)
	s.postToSender(c.sender, event{kind: evConnReset, conn: c})
}

// drop forgets a connection; a call that it served is over.
func (s *site) dropConn(c *conn) {
	p := s.byID[c.receiver]
	last := p.conns[len(p.conns)-1]
	p.conns[c.receiverIndex], last.receiverIndex = last, c.receiverIndex
	p.conns = p.conns[:len(p.conns)-1]
	c.open = false
	s.openConns--
	if call := c.serving; call != nil && !call.done {
		call.done = true
		if call.record.Closed == 0 {
			call.record.Closed = s.now()
		}
	}
}

func (s *site) postToSender(sender int32, e event) { s.post(sender, s.transitTime(), e) }

func (s *site) connect(c *conn) {
	p := s.byID[c.receiver]
	switch {
	case p != nil && p.unresponsive:
		// No answer: the sender gives up by itself.
	case p == nil || p.removed || p.refusing, s.gateway.Group.Shape.Connections > 0 && s.openConns >= s.gateway.Group.Shape.Connections:
		s.postToSender(c.sender, event{kind: evConnectRefused, conn: c})
	default:
		c.open, c.receiverIndex = true, len(p.conns)
		p.conns = append(p.conns, c)
		s.openConns++
		s.postToSender(c.sender, event{kind: evConnected, conn: c})
	}
}

func (s *site) connClosed(c *conn) {
	if c.open {
		s.dropConn(c)
	}
}

// take reads a call.
func (s *site) receiveCall(c *call) {
	now := s.now()
	if !c.conn.open {
		return
	}
	h := c.submission
	c.record = audit.Call{ID: h.id, Receiver: s.byID[c.receiver].name, Mark: h.effect.idempotencyKey, Dest: s.gateway.Number, Apart: s.world.apart[s.gateway.Number],
		First: now, Last: now}
	if _, silent := s.gateway.Active(scenario.Silent, now); silent {
		s.deferToFaultChange(c) // not read before it ends, and reset then
		c.fate = gateway.Fate{Reset: true, Unseen: true}
		c.conn.serving = c
		return
	}
	if _, struck := s.gateway.Strike(scenario.ResetBefore, -1, now); struck {
		c.record.ID, c.record.Unread, c.record.Fault = "", true, scenario.ResetBefore
		s.recordCall(c)
		s.resetConn(c.conn)
		return
	}
	c.fate = s.gateway.Decide(now, int(c.conn.sender)-firstSenderNode, h.effect.Grade)
	if c.fate.Fell {
		s.overloads = append(s.overloads, audit.Fall{Dest: s.gateway.Number, At: now, By: s.gateway.Core.Pushed(), Seen: s.gateway.SeenBy()})
	}
	c.record.Ran, c.record.Fault, c.record.Unread = c.fate.Ran, c.fate.Fault, c.fate.Unseen
	c.conn.serving = c
	s.recordCall(c)
	if !c.fate.Never {
		s.schedule(max(c.fate.At-now, 0), event{kind: evResponseDue, call: c})
	}
}

// note counts a call and, where all is recorded, keeps it.
func (s *site) recordCall(c *call) {
	s.counts.calls++
	if h := c.submission; !c.record.Unread {
		if h.called {
			s.counts.furtherCalls++
		}
		h.called = true
		if c.record.Ran && s.world.Settings.Grades[h.effect.Grade].Repeat == rules.AtMostOnce {
			if h.effect.runs++; h.effect.runs > 1 {
				s.counts.secondEffects++
			}
		}
	}
	if s.world.record {
		s.recordedCalls = append(s.recordedCalls, c)
	}
}

// untilChange comes back to a call when the faults next change.
func (s *site) deferToFaultChange(c *call) {
	next := rules.Millis(-1)
	for _, f := range s.gateway.Faults {
		if n := f.Next(s.now()); n >= 0 && (next < 0 || n < next) {
			next = n
		}
	}
	if next >= 0 {
		s.schedule(max(next-s.now(), 1), event{kind: evResponseDue, call: c})
	}
}

// dribbled is how long it takes an answer's first line to come at a byte a second.
const dribbleTime = 16_000

// answer writes an answer that is due.
func (s *site) respond(c *call) {
	if c.done || !c.conn.open {
		return
	}
	now := s.now()
	if _, on := s.gateway.Active(scenario.Silent, now); on {
		s.deferToFaultChange(c)
		c.fate.Reset, c.fate.Status, c.fate.Spoilt = true, 0, false
		return
	}
	if _, on := s.gateway.Active(scenario.Pauses, now); on {
		s.deferToFaultChange(c)
		return
	}
	if c.fate.Slow {
		c.fate.Slow = false
		s.schedule(dribbleTime, event{kind: evResponseDue, call: c})
		return
	}
	if c.fate.Reset {
		s.resetConn(c.conn)
		return
	}
	c.done = true
	if c.conn.serving == c && !c.fate.Spoilt {
		c.conn.serving = nil
	}
	f := c.fate
	c.record.Replied, c.record.Status, c.record.Wait, c.record.Spoilt = now, f.Status, f.Wait, f.Spoilt
	if !f.Spoilt && (f.Status == 429 || f.Status == 503) {
		s.counts.fullResponses++
	}
	if f.Status == 200 {
		c.record.Delivered = true
		if e := c.submission.effect; e.deliveredAt < 0 {
			e.deliveredAt = now
		}
	}
	s.postToSender(c.conn.sender, event{kind: evResponse, call: c, payload: response{status: f.Status, retryAfter: f.Wait, malformed: f.Spoilt, limitReported: f.Told,
		limitLeft: f.Left, limitRate: f.LimitIs}})
}
