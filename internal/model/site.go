package model

import (
	"slices"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/gateway"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
)

// conn is a connection from a sender to a receiver. The sender and the site each write only their own fields.
type conn struct {
	sender   int32
	receiver rules.ReceiverID

	// Written by the sender.
	established, closed bool // closed: closed by the sender, or known to have ended
	call                *call
	lastUsed            rules.Millis
	connectDeadline     rules.Millis // end of the connect timeout
	senderIndex         int          // in the sender's conns

	// Written by the site.
	open          bool
	serving       *call
	receiverIndex int // in the receiver's conns
}

// call is a trip in flight.
type call struct {
	// Written by the sender.
	submission *submission
	notice     rules.NoticeID
	receiver   rules.ReceiverID
	conn       *conn
	startedAt  rules.Millis
	timeoutAt  rules.Millis
	heapIndex  int // in the sender's inFlight
	written    bool
	inFlight   bool

	// Written by the site.
	outcome gateway.CallOutcome
	record  audit.Call
	done    bool // responded to, or its connection has ended
}

// response is the part of a gateway's response that a sender uses.
type response struct {
	status                   int
	retryAfter               rules.Millis
	malformed, limitReported bool
	limitLeft, limitRate     float64
}

// site is the node that simulates a destination with its receivers.
type site struct {
	port
	run           *runData
	gateway       *gateway.Site
	receivers     []*receiver
	byID          map[rules.ReceiverID]*receiver
	openConns     int
	recordedCalls []*call // kept only if the run is recorded
	overloads     []audit.Overload

	counts struct{ calls, refusedCalls, furtherCalls, secondEffects int }
}

// receiver is one receiver of a site.
type receiver struct {
	id           rules.ReceiverID
	name         string
	removed      bool // removed for good
	refusing     bool
	unresponsive bool
	conns        []*conn
}

// Events handled by a site; the comment names the fields of the event that are used.
const (
	evConnect         eventKind = iota // conn
	evCall                             // call
	evResponseDue                      // call: its response is due
	evConnClosed                       // conn: closed by the sender
	evFaultChange                      // a fault begins or ends
	evReceiverAdded                    // value: this receiver is added
	evReceiverRemoved                  // value: this receiver is removed for good
)

// newSite creates a site with the receivers that its destination has at the start.
func newSite(run *runData, p port, d *scenario.Destination) *site {
	s := &site{port: p, run: run, gateway: gateway.NewSite(run.Instance, d), byID: map[rules.ReceiverID]*receiver{}}
	for _, name := range d.Receivers {
		s.addReceiver(run.receiverID(name))
	}
	s.applyFaults(0)
	s.scheduleFaultChange(0)
	return s
}

// addReceiver adds a receiver.
func (s *site) addReceiver(id rules.ReceiverID) {
	rc := &receiver{id: id, name: s.run.receiverNames[id]}
	s.receivers = append(s.receivers, rc)
	s.byID[id] = rc
}

// handle processes one event.
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
		s.gateway.UpdateOutage(s.now())
		s.applyFaults(s.now())
		s.scheduleFaultChange(s.now())
	case evReceiverAdded:
		s.addReceiver(rules.ReceiverID(e.value))
		s.applyFaults(s.now())
	case evReceiverRemoved:
		rc := s.byID[rules.ReceiverID(e.value)]
		rc.removed = true
		s.resetConns(rc)
	}
}

// scheduleFaultChange schedules an event at the time when the next fault begins or ends.
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

// applyFaults applies the faults that are active from now on to all receivers.
func (s *site) applyFaults(now rules.Millis) {
	refusing, unresponsive := false, false
	for _, f := range s.gateway.Faults {
		switch f.Kind {
		case scenario.Refuse, scenario.Flap:
			refusing = refusing || f.Active(now)
		case scenario.Silent, scenario.NeverUp:
			unresponsive = unresponsive || f.Active(now)
		}
	}
	for _, rc := range s.receivers {
		rc.refusing, rc.unresponsive = refusing, unresponsive
		if refusing {
			s.resetConns(rc)
		}
	}
}

// resetConns resets all connections of a receiver.
func (s *site) resetConns(rc *receiver) {
	for _, c := range slices.Clone(rc.conns) {
		s.resetConn(c)
	}
}

// resetConn resets a connection.
func (s *site) resetConn(c *conn) {
	if !c.open {
		return
	}
	s.dropConn(c)
	s.postToSender(c.sender, event{kind: evConnReset, conn: c})
}

// dropConn removes a connection and marks a call in progress on it as done.
func (s *site) dropConn(c *conn) {
	rc := s.byID[c.receiver]
	last := rc.conns[len(rc.conns)-1]
	rc.conns[c.receiverIndex], last.receiverIndex = last, c.receiverIndex
	rc.conns = rc.conns[:len(rc.conns)-1]
	c.open = false
	s.openConns--
	if call := c.serving; call != nil && !call.done {
		call.done = true
		if call.record.Closed == 0 {
			call.record.Closed = s.now()
		}
	}
}

// postToSender sends an event to a sender's node.
func (s *site) postToSender(sender int32, e event) { s.post(sender, s.transitTime(), e) }

// connect accepts or refuses a connection, or does not respond at all.
func (s *site) connect(c *conn) {
	rc := s.byID[c.receiver]
	switch {
	case rc != nil && rc.unresponsive:
		// No response: the sender's connect timeout ends the attempt.
	case rc == nil || rc.removed || rc.refusing,
		s.gateway.Group.Profile.Connections > 0 && s.openConns >= s.gateway.Group.Profile.Connections:
		s.postToSender(c.sender, event{kind: evConnectRefused, conn: c})
	default:
		c.open, c.receiverIndex = true, len(rc.conns)
		rc.conns = append(rc.conns, c)
		s.openConns++
		s.postToSender(c.sender, event{kind: evConnected, conn: c})
	}
}

// connClosed handles a connection that the sender closed.
func (s *site) connClosed(c *conn) {
	if c.open {
		s.dropConn(c)
	}
}

// receiveCall reads a call and decides when and how to respond.
func (s *site) receiveCall(c *call) {
	now := s.now()
	if !c.conn.open {
		return
	}
	sub := c.submission
	c.record = audit.Call{ID: sub.id, Receiver: s.byID[c.receiver].name, Mark: sub.effect.idempotencyKey,
		Dest: s.gateway.Number, SeparateRoutes: s.run.separateRoutes[s.gateway.Number],
		First: now, Last: now}
	if _, silent := s.gateway.Active(scenario.Silent, now); silent {
		s.deferToFaultChange(c) // the call is not read until the fault ends; then the connection is reset
		c.outcome = gateway.CallOutcome{Reset: true, LostUnread: true}
		c.conn.serving = c
		return
	}
	if _, affected := s.gateway.DrawFault(scenario.ResetBefore, -1, now); affected {
		c.record.ID, c.record.Unread, c.record.Fault = "", true, scenario.ResetBefore
		s.recordCall(c)
		s.resetConn(c.conn)
		return
	}
	c.outcome = s.gateway.Decide(now, int(c.conn.sender)-firstSenderNode, sub.effect.Grade)
	if c.outcome.CausedOverload {
		s.overloads = append(s.overloads, audit.Overload{Dest: s.gateway.Number, At: now,
			By: s.gateway.Gateway.CallsBySender(), SawOutage: s.gateway.SendersThatSawOutage()})
	}
	c.record.Ran, c.record.Fault, c.record.Unread = c.outcome.TookEffect, c.outcome.Fault, c.outcome.LostUnread
	c.conn.serving = c
	s.recordCall(c)
	if !c.outcome.NoResponse {
		s.schedule(max(c.outcome.At-now, 0), event{kind: evResponseDue, call: c})
	}
}

// recordCall counts a call and, if the run is recorded, keeps it.
func (s *site) recordCall(c *call) {
	s.counts.calls++
	if sub := c.submission; !c.record.Unread {
		if sub.called {
			s.counts.furtherCalls++
		}
		sub.called = true
		if c.record.Ran && s.run.Settings.Grades[sub.effect.Grade].Repeat == rules.AtMostOnce {
			if sub.effect.runs++; sub.effect.runs > 1 {
				s.counts.secondEffects++
			}
		}
	}
	if s.run.record {
		s.recordedCalls = append(s.recordedCalls, c)
	}
}

// deferToFaultChange handles a call again when a fault next begins or ends.
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

// dribbleTime is how long, in milliseconds, the first line of a response takes at one byte per second.
const dribbleTime = 16_000

// respond writes a response that is due, as far as the active faults allow.
func (s *site) respond(c *call) {
	if c.done || !c.conn.open {
		return
	}
	now := s.now()
	if _, active := s.gateway.Active(scenario.Silent, now); active {
		s.deferToFaultChange(c)
		c.outcome.Reset, c.outcome.Status, c.outcome.Malformed = true, 0, false
		return
	}
	if _, active := s.gateway.Active(scenario.Pauses, now); active {
		s.deferToFaultChange(c)
		return
	}
	if c.outcome.Dribbled {
		c.outcome.Dribbled = false
		s.schedule(dribbleTime, event{kind: evResponseDue, call: c})
		return
	}
	if c.outcome.Reset {
		s.resetConn(c.conn)
		return
	}
	c.done = true
	if c.conn.serving == c && !c.outcome.Malformed {
		c.conn.serving = nil
	}
	f := c.outcome
	c.record.Replied, c.record.Status, c.record.RequestedWait, c.record.Malformed = now, f.Status, f.Wait, f.Malformed
	if !f.Malformed && (f.Status == 429 || f.Status == 503) {
		s.counts.refusedCalls++
	}
	if f.Status == 200 {
		c.record.Delivered = true
		if e := c.submission.effect; e.deliveredAt < 0 {
			e.deliveredAt = now
		}
	}
	s.postToSender(c.conn.sender, event{kind: evResponse, call: c, payload: response{status: f.Status,
		retryAfter: f.Wait, malformed: f.Malformed, limitReported: f.LimitReported,
		limitLeft: f.LimitRemaining, limitRate: f.Limit}})
}
