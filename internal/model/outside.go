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

// Events at the outside: clients and the platform.
const (
	evArrival  kind = iota + 60 // its own: the next notice is due
	evAgain                     // its own, hand: a client hands in once more
	evAnswered                  // hand, n: the status, more: the wait told
	evPatience                  // its own, hand: its client waits no longer
	evEnd                       // hand, n, more: an end
	evWatch                     // a sender asks for changes of the list
	evStep                      // its own, more: a step of the script
	evDead                      // its own, n: clients have noticed that a sender is dead
	evSettled                   // its own: look what notices came to
)

// lostAnswer is the status of a hand-in that the sender read and never answered; 0: it can't have read it.
const lostAnswer = -1

// effect is what a client wants done, however often it is handed in.
type effect struct {
	scenario.Arrival
	number int
	mark   string

	// The site's.
	delivered rules.Millis // first; below 0: not
	ran       int
}

// hand is one hand-in of an effect.
type hand struct {
	eff        *effect
	id         string // where all is recorded
	at, until  rules.Millis
	again      bool
	sender     int
	status     int
	answeredAt rules.Millis
	settled    bool // answered, or its client waits no longer
	called     bool // the site's
}

// endOf is an end as a sender tells it.
type endOf struct {
	outcome string
	retry   rules.Millis
}

// client is all clients, and the platform.
type client struct {
	port
	w        *world
	arrivals *scenario.Arrivals
	next     scenario.Arrival
	more     bool
	draw     *rand.Rand
	numbers  int
	dealt    int
	state    []int8 // of each sender: 0 serves, 1 dead and not known to be, 2 dead
	watches  []bool
	script   []step
	listed   []audit.Told // in force now, in the order told

	open  []*effect // by the time at which all is over
	all   *results.Tally
	grade []*results.Tally
	well  *results.Tally
	sick  *results.Tally
	bins  []Bin

	hands   []*hand
	ends    []audit.End
	shut    []audit.Shut
	counted struct{ handed, taken, refused, unanswered, dismissed, brokenOff int }
}

// step is a change that the script makes at a time.
type step struct {
	at  rules.Millis
	run func()
}

func newClient(w *world, p port) *client {
	c := &client{port: p, w: w, arrivals: w.Arrivals(), draw: scenario.Chance(w.Seed, 1<<40), state: make([]int8, w.Senders),
		watches: make([]bool, w.Senders), all: results.NewTally("all"), well: results.NewTally("well"), sick: results.NewTally("sick")}
	for _, name := range w.Names.Grades {
		c.grade = append(c.grade, results.NewTally(name))
	}
	c.bins = make([]Bin, int(w.Length/binSpan)+1)
	c.writeScript()
	for i, s := range c.script {
		c.self(s.at, event{kind: evStep, n: int64(i)})
	}
	c.advance()
	c.self(1000, event{kind: evSettled})
	return c
}

func (c *client) advance() {
	if c.next, c.more = c.arrivals.Next(); c.more {
		c.self(max(c.next.At-c.now(), 0), event{kind: evArrival})
	}
}

func (c *client) handle(e *event) {
	switch e.kind {
	case evArrival:
		c.numbers++
		eff := &effect{Arrival: c.next, number: c.numbers, delivered: -1}
		if c.w.record && c.w.Settings.Grades[eff.Grade].Repeat == rules.Numbered {
			eff.mark = fmt.Sprintf("m%d", eff.number)
		}
		c.open = append(c.open, eff)
		c.hand(eff, false)
		c.advance()
	case evAgain:
		c.hand(e.hand.eff, true)
	case evAnswered:
		c.answered(e.hand, int(e.n), e.more.(rules.Millis))
	case evPatience:
		if !e.hand.settled {
			c.answered(e.hand, lostAnswer, 0)
		}
	case evEnd:
		c.end(e)
	case evWatch:
		c.watch(int(e.from) - firstSender)
	case evStep:
		c.script[e.n].run()
	case evDead:
		if c.state[e.n] == 1 {
			c.state[e.n] = 2
		}
	case evSettled:
		c.settle(false)
		c.self(1000, event{kind: evSettled})
	}
}

// choose deals notices out over the senders, but for those known to be dead.
func (c *client) choose() int {
	n := c.w.Senders
	c.dealt++
	for i := range n {
		if s := (c.dealt + i) % n; c.state[s] < 2 {
			return s
		}
	}
	return c.dealt % n
}

// hand hands an effect in.
func (c *client) hand(eff *effect, again bool) {
	now := c.now()
	until := eff.At + c.w.Settings.Grades[eff.Grade].ClientTimeout
	if until-now < 1 {
		return
	}
	h := &hand{eff: eff, at: now, until: until, again: again, sender: c.choose()}
	c.counted.handed++
	if c.w.record {
		h.id = fmt.Sprintf("n%d-e%d", len(c.hands)+1, eff.number)
		c.hands = append(c.hands, h)
	}
	c.post(int32(h.sender+firstSender), c.wire(), event{kind: evHand, hand: h})
	c.self(c.w.Traffic.Patience, event{kind: evPatience, hand: h})
}

// answered hears a sender's answer, or that there is none.
func (c *client) answered(h *hand, status int, after rules.Millis) {
	if h.settled {
		return
	}
	h.settled = true
	if status > 0 {
		h.status, h.answeredAt = status, c.now()
	}
	grade := c.w.Settings.Grades[h.eff.Grade]
	switch {
	case status == 202:
		c.counted.taken++
	case status == 429 || status == 503:
		c.counted.refused++
		c.again(h, max(after, 20))
	case status == 0 || status == lostAnswer && grade.Repeat != rules.AtMostOnce:
		c.counted.unanswered++
		c.again(h, 100)
	case status == lostAnswer:
		c.counted.unanswered++
	}
}

// again hands a dismissed effect in once more after a while, if its client wants it and there is time.
func (c *client) again(h *hand, after rules.Millis) {
	wants := c.draw.Float64() < c.w.Traffic.Again
	if wants && c.now()+after < h.until {
		c.self(after, event{kind: evAgain, hand: h})
	}
}

// end takes an end from a sender.
func (c *client) end(e *event) {
	back := event{kind: evEndTaken, n: e.n}
	sender := int(e.from) - firstSender
	if _, on := c.active(scenario.EndsRefused); on {
		c.shut = append(c.shut, audit.Shut{Sender: sender, At: c.now()})
		back.kind = evEndLost
	} else {
		end := e.more.(endOf)
		if c.w.record {
			c.ends = append(c.ends, audit.End{ID: e.hand.id, Outcome: end.outcome, Sender: sender, At: c.now()})
		}
		if end.outcome == "handed_back" {
			c.counted.dismissed++
			c.again(e.hand, max(end.retry, 20))
		} else {
			c.counted.brokenOff++
		}
	}
	c.post(e.from, c.wire(), back)
}

func (c *client) active(kind string) (scenario.Fault, bool) {
	for _, f := range c.w.Faults {
		if f.Kind == kind && f.Active(c.now()) {
			return f, true
		}
	}
	return scenario.Fault{}, false
}

// watch begins to tell a sender changes of the list; what changed before it asked is told whole.
func (c *client) watch(sender int) {
	to := int32(sender + firstSender)
	if f, on := c.active(scenario.ListSilent); on && c.w.Settings.ListOnAsk {
		c.post(to, min(f.Until()-c.now(), 3000), event{kind: evNoList})
		return
	}
	c.watches[sender] = true
	c.post(to, c.wire(), event{kind: evList, more: c.list(true, c.listed)})
}

func (c *client) list(whole bool, members []audit.Told) toldOf {
	t := toldOf{told: rules.ListTold{Whole: whole}, members: slices.Clone(members)}
	for _, m := range members {
		t.told.Entries = append(t.told.Entries, c.w.entry(m.Receiver, m.Standing))
	}
	return t
}

// change tells all that watch of changes; while the platform says nothing, or nothing that can be read, they wait.
func (c *client) change(members []audit.Told) {
	for _, m := range members {
		i := slices.IndexFunc(c.listed, func(o audit.Told) bool { return o.Receiver == m.Receiver })
		switch {
		case i >= 0 && m.Standing == "gone":
			c.listed = slices.Delete(c.listed, i, i+1)
		case i >= 0:
			c.listed[i] = m
		case m.Standing != "gone":
			c.listed = append(c.listed, m)
		}
	}
	late := rules.Millis(0)
	for _, kind := range []string{scenario.ListSilent, scenario.ListGarbage} {
		if f, on := c.active(kind); on {
			late = max(late, f.Until()-c.now())
		}
	}
	for sender, watches := range c.watches {
		if watches {
			c.post(int32(sender+firstSender), late+c.wire(), event{kind: evList, more: c.list(false, members)})
		}
	}
}

// writeScript writes down what the platform and the senders' faults do at what times.
func (c *client) writeScript() {
	add := func(at rules.Millis, run func()) { c.script = append(c.script, step{at, run}) }
	for _, d := range c.w.Destinations {
		for _, name := range d.Receivers {
			c.listed = append(c.listed, audit.Told{Receiver: name, Standing: "ready"})
		}
		site := c.w.siteOf(d.Number)
		for n, f := range d.Faults {
			old := d.Receivers
			fresh := make([]string, len(old))
			for i, name := range old {
				fresh[i] = fmt.Sprintf("%s+%d", name, n+1)
				c.w.newReceiver(fresh[i], d.Number)
			}
			list := func(names []string, standing string) func() {
				return func() {
					var members []audit.Told
					for _, name := range names {
						members = append(members, audit.Told{Receiver: name, Standing: standing})
					}
					c.change(members)
				}
			}
			each := func(names []string, k kind) func() {
				return func() {
					for _, name := range names {
						c.post(site, c.wire(), event{kind: k, n: int64(c.w.receiver(name))})
					}
				}
			}
			late := c.w.ListDelay
			switch f.Kind {
			case scenario.Drain:
				add(f.At, each(fresh, evOpen))
				add(f.At+late, func() { list(old, "draining")(); list(fresh, "ready")() })
				add(f.Until(), list(old, "gone"))
				add(f.Until()+late+1500, each(old, evGone))
			case scenario.Vanish:
				add(f.At, each(old, evGone))
				add(f.At+late, list(old, "gone"))
				add(f.Until(), each(fresh, evOpen))
				add(f.Until()+late, list(fresh, "ready"))
			}
		}
	}
	for i, f := range c.w.Faults {
		for _, n := range c.w.Struck[i] {
			to := int32(n + firstSender)
			tell := func(k kind, more int64) { c.post(to, 0, event{kind: k, n: more}) }
			restart := func() { // with the list as it is now
				c.post(to, 0, event{kind: evRestart, more: c.list(true, c.listed).told})
				c.state[n] = 0
			}
			away := func() {
				c.state[n] = 1
				c.self(c.w.FrontNotice, event{kind: evDead, n: int64(n)})
			}
			switch f.Kind {
			case scenario.Kill:
				add(f.At, func() { away(); tell(evKill, 0) })
				add(f.Until(), restart)
			case scenario.Stop:
				add(f.At, func() { away(); tell(evLeave, 0) })
				add(f.Until(), restart)
			case scenario.Freeze:
				add(f.At, func() { tell(evFreeze, 0) })
				add(f.Until(), func() { tell(evThaw, 0) })
			case scenario.FewFiles:
				add(f.At, func() { tell(evFiles, int64(f.Size)) })
				add(f.Until(), func() { tell(evFiles, -1) })
			}
		}
	}
	slices.SortStableFunc(c.script, func(a, b step) int { return cmp.Compare(a.at, b.at) })
}

// settle counts the effects whose time is over; with all, the others too.
func (c *client) settle(all bool) {
	kept := c.open[:0]
	for _, eff := range c.open {
		g := c.w.Settings.Grades[eff.Grade]
		if !all && c.now() < eff.At+g.ClientTimeout+1000 {
			kept = append(kept, eff)
			continue
		}
		earned := 0.0
		if eff.delivered >= 0 {
			earned = c.w.Worth(eff.Grade, eff.delivered-eff.At)
		}
		part := c.well
		if c.w.sick(eff.Destination) {
			part = c.sick
		}
		for _, t := range []*results.Tally{c.all, c.grade[eff.Grade], part} {
			t.Add(g.Credit, earned, eff.delivered >= 0, eff.delivered-eff.At)
		}
		b := &c.bins[min(int(eff.At/binSpan), len(c.bins)-1)]
		b.Asked += g.Credit
		b.Earned += earned
	}
	clear(c.open[len(kept):])
	c.open = kept
}

func effectName(e *effect) string { return fmt.Sprintf("e%d", e.number) }
