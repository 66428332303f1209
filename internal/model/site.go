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
	up, gone  bool // gone: closed by the sender, or known to have ended
	call      *call
	since     rules.Millis
	connectBy rules.Millis
	place     int // among its sender's

	// The site's.
	open   bool
	serves *call
	at     int // among its receiver's
}

// call is a trip on its way. Its sender writes the first part, the site the second.
type call struct {
	hand     *hand
	notice   rules.NoticeID
	receiver rules.ReceiverID
	conn     *conn
	begun    rules.Millis
	due      rules.Millis
	place    int // among those out
	written  bool
	out      bool

	fate   gateway.Fate
	noted  audit.Call
	closed bool
}

// reply is what an answer tells its sender.
type reply struct {
	status       int
	wait         rules.Millis
	spoilt, told bool
	left, limit  float64
}

// site is a destination with its receivers.
type site struct {
	port
	w         *world
	core      *gateway.Site
	receivers []*place
	byID      map[rules.ReceiverID]*place
	open      int
	calls     []*call // those noted, for the record
	falls     []audit.Fall

	counted struct{ calls, full, further, second int }
}

// place is one receiver.
type place struct {
	id      rules.ReceiverID
	name    string
	closed  bool // gone for good
	refuses bool
	blocked bool
	conns   []*conn
}

// Events at a site.
const (
	evConnect kind = iota // conn
	evCall                // call
	evAnswer              // call: its answer is due
	evHangup              // conn: the sender has ended it
	evFaults              // a fault begins or ends
	evOpen                // n: a receiver opens
	evGone                // n: a receiver is gone for good
)

func newSite(w *world, p port, d *scenario.Destination) *site {
	s := &site{port: p, w: w, core: gateway.NewSite(w.World, d), byID: map[rules.ReceiverID]*place{}}
	for _, name := range d.Receivers {
		s.add(w.receiver(name))
	}
	s.faults(0)
	s.nextFault(0)
	return s
}

func (s *site) add(id rules.ReceiverID) {
	p := &place{id: id, name: s.w.names[id]}
	s.receivers = append(s.receivers, p)
	s.byID[id] = p
}

func (s *site) handle(e *event) {
	switch e.kind {
	case evConnect:
		s.connect(e.conn)
	case evCall:
		s.take(e.call)
	case evAnswer:
		s.answer(e.call)
	case evHangup:
		s.hungUp(e.conn)
	case evFaults:
		s.core.StepOutage(s.now())
		s.faults(s.now())
		s.nextFault(s.now())
	case evOpen:
		s.add(rules.ReceiverID(e.n))
		s.faults(s.now())
	case evGone:
		p := s.byID[rules.ReceiverID(e.n)]
		p.closed = true
		s.resetAll(p)
	}
}

// nextFault asks to be told when the next fault begins or ends.
func (s *site) nextFault(now rules.Millis) {
	next := rules.Millis(-1)
	for _, f := range s.core.Faults {
		if n := f.Next(now); n >= 0 && (next < 0 || n < next) {
			next = n
		}
	}
	if next >= 0 {
		s.self(max(next-now, 0), event{kind: evFaults})
	}
}

// faults puts into force what acts from now on.
func (s *site) faults(now rules.Millis) {
	refuses, blocked := false, false
	for _, f := range s.core.Faults {
		switch f.Kind {
		case scenario.Refuse, scenario.Flap:
			refuses = refuses || f.Active(now)
		case scenario.Silent, scenario.NeverUp:
			blocked = blocked || f.Active(now)
		}
	}
	for _, p := range s.receivers {
		p.refuses, p.blocked = refuses, blocked
		if refuses {
			s.resetAll(p)
		}
	}
}

func (s *site) resetAll(p *place) {
	for _, c := range slices.Clone(p.conns) {
		s.reset(c)
	}
}

// reset ends a connection from this side.
func (s *site) reset(c *conn) {
	if !c.open {
		return
	}
	s.drop(c)
	s.toSender(c.sender, event{kind: evReset, conn: c})
}

// drop forgets a connection; a call that it served is over.
func (s *site) drop(c *conn) {
	p := s.byID[c.receiver]
	last := p.conns[len(p.conns)-1]
	p.conns[c.at], last.at = last, c.at
	p.conns = p.conns[:len(p.conns)-1]
	c.open = false
	s.open--
	if call := c.serves; call != nil && !call.closed {
		call.closed = true
		if call.noted.Closed == 0 {
			call.noted.Closed = s.now()
		}
	}
}

func (s *site) toSender(sender int32, e event) { s.post(sender, s.wire(), e) }

func (s *site) connect(c *conn) {
	p := s.byID[c.receiver]
	switch {
	case p != nil && p.blocked:
		// No answer: the sender gives up by itself.
	case p == nil || p.closed || p.refuses, s.core.Group.Shape.Connections > 0 && s.open >= s.core.Group.Shape.Connections:
		s.toSender(c.sender, event{kind: evRefused, conn: c})
	default:
		c.open, c.at = true, len(p.conns)
		p.conns = append(p.conns, c)
		s.open++
		s.toSender(c.sender, event{kind: evUp, conn: c})
	}
}

func (s *site) hungUp(c *conn) {
	if c.open {
		s.drop(c)
	}
}

// take reads a call.
func (s *site) take(c *call) {
	now := s.now()
	if !c.conn.open {
		return
	}
	h := c.hand
	c.noted = audit.Call{ID: h.id, Receiver: s.byID[c.receiver].name, Mark: h.eff.mark, Dest: s.core.Number, Apart: s.w.apart[s.core.Number],
		First: now, Last: now}
	if _, silent := s.core.Active(scenario.Silent, now); silent {
		s.untilChange(c) // not read before it ends, and reset then
		c.fate = gateway.Fate{Reset: true, Unseen: true}
		c.conn.serves = c
		return
	}
	if _, struck := s.core.Strike(scenario.ResetBefore, -1, now); struck {
		c.noted.ID, c.noted.Unread, c.noted.Fault = "", true, scenario.ResetBefore
		s.note(c)
		s.reset(c.conn)
		return
	}
	c.fate = s.core.Decide(now, int(c.conn.sender)-firstSender, h.eff.Grade)
	if c.fate.Fell {
		s.falls = append(s.falls, audit.Fall{Dest: s.core.Number, At: now, By: s.core.Core.Pushed(), Seen: s.core.SeenBy()})
	}
	c.noted.Ran, c.noted.Fault, c.noted.Unread = c.fate.Ran, c.fate.Fault, c.fate.Unseen
	c.conn.serves = c
	s.note(c)
	if !c.fate.Never {
		s.self(max(c.fate.At-now, 0), event{kind: evAnswer, call: c})
	}
}

// note counts a call and, where all is recorded, keeps it.
func (s *site) note(c *call) {
	s.counted.calls++
	if h := c.hand; !c.noted.Unread {
		if h.called {
			s.counted.further++
		}
		h.called = true
		if c.noted.Ran && s.w.Settings.Grades[h.eff.Grade].Repeat == rules.AtMostOnce {
			if h.eff.ran++; h.eff.ran > 1 {
				s.counted.second++
			}
		}
	}
	if s.w.record {
		s.calls = append(s.calls, c)
	}
}

// untilChange comes back to a call when the faults next change.
func (s *site) untilChange(c *call) {
	next := rules.Millis(-1)
	for _, f := range s.core.Faults {
		if n := f.Next(s.now()); n >= 0 && (next < 0 || n < next) {
			next = n
		}
	}
	if next >= 0 {
		s.self(max(next-s.now(), 1), event{kind: evAnswer, call: c})
	}
}

// dribbled is how long it takes an answer's first line to come at a byte a second.
const dribbled = 16_000

// answer writes an answer that is due.
func (s *site) answer(c *call) {
	if c.closed || !c.conn.open {
		return
	}
	now := s.now()
	if _, on := s.core.Active(scenario.Silent, now); on {
		s.untilChange(c)
		c.fate.Reset, c.fate.Status, c.fate.Spoilt = true, 0, false
		return
	}
	if _, on := s.core.Active(scenario.Pauses, now); on {
		s.untilChange(c)
		return
	}
	if c.fate.Slow {
		c.fate.Slow = false
		s.self(dribbled, event{kind: evAnswer, call: c})
		return
	}
	if c.fate.Reset {
		s.reset(c.conn)
		return
	}
	c.closed = true
	if c.conn.serves == c && !c.fate.Spoilt {
		c.conn.serves = nil
	}
	f := c.fate
	c.noted.Replied, c.noted.Status, c.noted.Wait, c.noted.Spoilt = now, f.Status, f.Wait, f.Spoilt
	if !f.Spoilt && (f.Status == 429 || f.Status == 503) {
		s.counted.full++
	}
	if f.Status == 200 {
		c.noted.Delivered = true
		if e := c.hand.eff; e.delivered < 0 {
			e.delivered = now
		}
	}
	s.toSender(c.conn.sender, event{kind: evReply, call: c, more: reply{status: f.Status, wait: f.Wait, spoilt: f.Spoilt, told: f.Told,
		left: f.Left, limit: f.LimitIs}})
}
