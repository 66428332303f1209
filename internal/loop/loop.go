// Package loop joins the sockets, the ledger and the decisions. One goroutine runs it and owns them all: it
// gathers what has happened, lets the decisions be made in one go, and carries them out in their order.
package loop

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/calls"
	"chuteweir.example/chuteweir/internal/clock"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/intake"
	"chuteweir.example/chuteweir/internal/ledger"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/internal/sockets"
	"chuteweir.example/chuteweir/rules"
)

// Config is what a sender is told.
type Config struct {
	Listen, Discovery, State string
	Seed                     uint64
	Settings                 rules.Settings
	Names                    settings.Names
	Known                    directory.List
	Limits                   limits.Limits
}

// held is a notice that the sender owes its end.
type held struct {
	id, mark string

	destination rules.DestinationID
	takenAt     clock.Moment
	body        *buffers.Chain
	request     *intake.Request // until its client has its answer
	out         bool            // a trip is out
	recorded    bool            // and the ledger has it
	over        bool
	trips       int // begun in this process
}

// Loop is the running sender.
type Loop struct {
	config    Config
	log       *slog.Logger
	net       *sockets.Net
	buffers   *buffers.Pool
	intake    *intake.Intake
	calls     *calls.Pool
	directory *directory.Directory
	receivers *directory.Receivers
	ledger    *ledger.Ledger
	sender    *rules.Sender

	clock        clock.Clock
	started, now time.Time
	arrivals     arrivals
	notices      map[rules.NoticeID]*held
	last         rules.NoticeID
	restored     []ledger.Notice // owed from before the start, not told to the decisions yet
	heldBytes    int
	ids          recent
	timers       []time.Time // asked for by the decisions
	events       []rules.Event
	sweepAt      time.Time
	leavingAt    time.Time
	counters     Counters
	pace         pace
	tracing      bool // each notice's way is logged
}

// New opens the ledger and the sockets.
func New(c Config, log *slog.Logger) (*Loop, error) {
	l := &Loop{config: c, log: log, started: time.Now(), notices: map[rules.NoticeID]*held{},
		buffers: buffers.NewPool(c.Limits.Buffer), receivers: directory.NewReceivers(c.Names)}
	l.now, l.arrivals, l.clock = l.started, newArrivals(l.started), clock.New()
	l.pace = pace{most: c.Limits.Turn, cores: c.Limits.Cores}
	l.tracing = log.Enabled(context.Background(), slog.LevelDebug)
	for _, g := range c.Settings.Grades {
		l.ids.span = max(l.ids.span, span(g.ClientTimeout))
	}
	// A call needs a connection, and an answer's rest may hold one for a while: slots beyond that would be a promise.
	if most := c.Limits.Receivers - c.Limits.Receivers/16; l.config.Settings.Slots > most {
		log.Warn(logs.SlotsCapped, "slots", l.config.Settings.Slots, "connections", c.Limits.Receivers, "capped", most)
		l.config.Settings.Slots = most
	}
	// A call carries one notice here.
	for i := range l.config.Settings.Kinds {
		l.config.Settings.Kinds[i].PerCall = 1
	}
	l.config.Settings.Stall = millis(c.Limits.Stall)
	l.sender = rules.New(c.Seed, l.config.Settings)
	l.intake = intake.New(c.Limits, l.buffers, c.Names, l.receivers.Knows, func() string { return l.counted().Page() })
	l.calls = calls.New(c.Limits, l.buffers, c.Names.Report, log, l.record)
	l.directory = directory.New(c.Discovery, c.Limits, l.buffers, l.receivers, c.Known.Revision)
	known := c.Known
	known.Complete = true
	told, err := l.receivers.Told(known)
	if err != nil {
		return nil, fmt.Errorf("known receivers: %w", err)
	}
	l.events = append(l.events, told)
	var owed []ledger.Notice
	if l.ledger, owed, err = ledger.Open(c.State, c.Limits.Disk); err != nil {
		return nil, err
	}
	if l.ledger.Torn > 0 {
		log.Warn(logs.LedgerTorn, "bytes", l.ledger.Torn)
	}
	for _, n := range owed {
		l.restore(n)
	}
	if l.net, err = sockets.Start(c.Listen, c.Limits, l.buffers, l.intake); err != nil {
		return nil, err
	}
	l.calls.Use(l.net)
	l.directory.Use(l.net)
	if !c.Settings.ListOnAsk {
		l.directory.Watch()
	}
	log.Info(logs.Ready, "listen", c.Listen, "receivers", len(known.Members), "restored", l.counters.Restored)
	return l, nil
}

// restore takes a notice back that an earlier process owed; its end goes to the platform if it has one.
func (l *Loop) restore(n ledger.Notice) {
	l.counters.Restored++
	l.ids.add(n.ID, l.now)
	l.last = max(l.last, n.Number)
	if n.Ended != "" {
		l.directory.Ended(directory.End{Notice: n.Number, Message: n.ID, Outcome: n.Ended, RetryInMS: n.RetryMS})
		return
	}
	body := l.buffers.NewChain()
	body.Add(n.Body)
	n.Body = nil
	l.heldBytes += body.Held()
	l.notices[n.Number] = &held{id: n.ID, mark: n.Mark, destination: n.Destination, takenAt: n.TakenAt, body: body, trips: n.Trips}
	l.restored = append(l.restored, n)
}

// tellRestored tells the decisions of the notices that an earlier process owed. The spans that it tells count from the time
// of the turn, by which the decisions count them, too.
func (l *Loop) tellRestored() {
	now := l.clock.Now(l.now)
	for _, n := range l.restored {
		if stepped := n.Adjust(now); stepped != 0 {
			l.log.Warn(logs.ClockStepped, "notice", n.Number, "stepped", stepped)
		}
		taken := rules.NoticeTaken{Notice: n.Number, Grade: rules.GradeID(settings.Index(l.config.Names.Grades, n.Grade)),
			Portfolio: rules.PortfolioID(settings.Index(l.config.Names.Portfolios, n.Portfolio)), Key: n.Key,
			Destination: n.Destination, Left: millis(n.Until.Sub(l.now)), Waited: rules.Millis(n.WaitedMS), Inherited: n.Inherited,
			Trips: n.Trips, Ran: len(n.Ran), Room: l.room(l.notices[n.Number].body)}
		if len(n.Ran) > 0 {
			taken.RanAgo = millis(l.now.Sub(n.Ran[0].At))
			taken.RanZone = rules.ZoneID(settings.Index(l.config.Names.Zones, n.Ran[0].Zone))
		}
		if l.tracing {
			l.log.Debug(logs.Restored, "id", n.ID, "notice", n.Number, "trips", n.Trips, "may_have_run", len(n.Ran),
				"left", span(taken.Left))
		}
		l.events = append(l.events, taken)
	}
	l.restored = nil
}

func millis(d time.Duration) rules.Millis { return rules.Millis(d) / rules.Millis(time.Millisecond) }

func span(m rules.Millis) time.Duration { return time.Duration(m * rules.Millis(time.Millisecond)) }

// Signals is what a running sender can be told from outside.
type Signals struct {
	Leave, Tell, Reload <-chan os.Signal
	Read                func() (Config, error) // the configuration as it is now
}

// Run serves until a signal to leave, and then until what is out has come back.
func (l *Loop) Run(signals Signals) {
	timer := time.NewTimer(0)
	for {
		select {
		case <-l.net.Ready():
		case <-timer.C:
		case <-signals.Tell:
			l.log.Info(logs.CountersLine, "sender", l.counted(), "held", len(l.notices), "owed", l.directory.Owed())
		case <-signals.Reload:
			l.reload(signals.Read())
		case <-signals.Leave:
			if l.leavingAt.IsZero() {
				l.leavingAt = time.Now()
				l.intake.Leaving = true
				l.log.Info(logs.Leaving, "held", len(l.notices), "out", l.calls.Out())
			}
		}
		// What comes close together is gathered in one turn, as far as the sender is busy.
		time.Sleep(time.Until(l.now.Add(l.pace.spacing())))
		next, done := l.turn()
		if l.pace.due(l.now) {
			l.pace.look(l.now, processorTime())
		}
		if done {
			break
		}
		timer.Reset(time.Until(next))
	}
	// A request that the poller has read meanwhile is refused; one that it has not read is its client's again.
	l.net.Seal()
	for _, r := range l.intake.Take() {
		l.refuse(r, 503)
	}
	l.log.Info(logs.CountersLine, "sender", l.counted(), "held", len(l.notices), "owed", l.directory.Owed())
	l.net.Stop()
	l.ledger.Close()
}

// reload takes a new configuration: the directory moves to its address. One that can't be read changes nothing.
func (l *Loop) reload(c Config, err error) {
	if err != nil {
		for line := range strings.Lines(err.Error()) {
			l.log.Error(logs.ReloadRefused, "why", strings.TrimSpace(line))
		}
		return
	}
	l.counters.Reloads++
	l.log.Info(logs.Reloaded, "discovery", c.Discovery, "owed", l.directory.Owed())
	l.directory.Move(c.Discovery)
}

// turn is one round of the loop. It returns when the next is due, if nothing happens before.
func (l *Loop) turn() (next time.Time, done bool) {
	l.counters.Turns++
	l.now = time.Now()
	l.arrivals.turn(l.now)
	l.calls.Begin(l.now)
	l.at(l.now)
	l.net.Gather()
	// Waits are counted from here: what was gathered may have come after the turn began.
	l.at(time.Now())
	l.intake.MakeRoom()
	l.calls.Expire()
	// A key rests from here: a call that was given up just now may still have been out before.
	l.at(time.Now())
	if !l.now.Before(l.sweepAt) {
		l.sweepAt = l.now.Add(l.config.Limits.Sweep)
		l.intake.Sweep(l.now)
		l.calls.Sweep()
	}
	l.gather()
	taken := l.take()
	left := time.Duration(-1)
	if !l.leavingAt.IsZero() {
		left = l.now.Sub(l.leavingAt)
	}
	if left < l.config.Limits.SendUntil {
		if len(l.events) > 0 {
			actions := l.sender.Decide(millis(l.now.Sub(l.started)), l.events)
			l.events = l.events[:0]
			admitted := l.admit(taken, actions)
			for _, a := range actions {
				l.carryOut(a)
			}
			l.acknowledge(admitted)
		}
	} else {
		l.recallAll()
		l.events = l.events[:0] // the ledger has kept what they told
	}
	for _, number := range l.directory.Told() {
		if l.tracing {
			l.log.Debug(logs.Closed, "notice", number)
		}
		l.keep(l.ledger.Closed(number))
	}
	if _, err := l.ledger.Flush(); err != nil {
		l.keep(err)
	}
	next = l.next()
	limits := l.config.Limits
	switch {
	case left < 0:
	case left >= limits.ExitBy:
		done = true
	case left >= limits.SendUntil:
		done = l.calls.Out() == 0 && l.directory.Owed() == 0
	case left >= limits.Linger:
		done = len(l.notices) == 0 && l.directory.Owed() == 0
	}
	return next, done
}

// at sets the time for what comes next.
func (l *Loop) at(now time.Time) {
	l.now = now
	l.intake.At(now)
	l.calls.At(now)
	l.directory.At(now)
}

// recallAll takes back the calls whose connections have come up when no trip may begin any more.
func (l *Loop) recallAll() {
	for _, e := range l.events {
		if up, is := e.(rules.ConnectionUp); is {
			l.calls.Recall(up.Notice)
		}
	}
}

// next is when something is due that no socket tells.
func (l *Loop) next() time.Time {
	next := l.sweepAt
	due := append([]time.Time{l.calls.Expire(), l.directory.Step()}, l.timers...)
	if len(l.events) > 0 || l.calls.Waiting() {
		return l.now
	}
	for _, at := range due {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// gather turns what the sockets brought into events.
func (l *Loop) gather() {
	l.tellRestored()
	lists, failed := l.directory.Lists()
	for _, told := range lists {
		l.events = append(l.events, told)
	}
	for _, receiver := range l.receivers.Gone() {
		l.calls.Forget(receiver)
	}
	if l.directory.Why != "" {
		l.log.Warn(logs.PlatformBroken, "why", l.directory.Why)
		l.directory.Why = ""
	}
	if failed && l.config.Settings.ListOnAsk {
		l.directory.Stop()
		l.events = append(l.events, rules.ListFailed{})
	}
	for _, e := range l.calls.Ended() {
		l.book(e)
		l.events = append(l.events, e)
	}
	for _, told := range l.calls.Waits() {
		if l.tracing {
			l.log.Debug(logs.WaitTold, "receiver", told.Receiver, "wait", span(told.Wait))
		}
		l.events = append(l.events, told)
	}
	for _, up := range l.calls.Up() {
		l.events = append(l.events, up)
	}
	due := len(l.timers)
	l.timers = slices.DeleteFunc(l.timers, func(at time.Time) bool { return !at.After(l.now) })
	if len(l.timers) < due {
		l.events = append(l.events, rules.TimerDue{})
	}
}

// book writes a trip's outcome into the ledger.
func (l *Loop) book(e rules.TripEnded) {
	n := l.notices[e.Notice]
	n.out = false
	if l.tracing {
		l.log.Debug(logs.Outcome, "id", n.id, "notice", e.Notice, "receiver", e.Receiver, "result", e.Result,
			"spent", span(e.Spent), "wait", span(e.Wait))
	}
	switch e.Result {
	case rules.Handled:
		l.counters.Handled++
	case rules.Full:
		l.counters.Full++
	case rules.Errored:
		l.counters.Errored++
	case rules.NotConnected:
		l.counters.Unmet++
	case rules.Moot:
		l.counters.Unsent++
	case rules.Short:
		l.counters.Short++
		l.uncount(n)
	case rules.Recalled:
		l.counters.Recalled++
		l.uncount(n)
	default:
		l.counters.Lost++
	}
	unrun := e.Result == rules.Full || e.Result == rules.NotConnected || e.Result == rules.Moot || e.Result == rules.Short ||
		e.Result == rules.Recalled
	recorded := n.recorded
	n.recorded = false
	switch {
	case e.Result == rules.Handled && !n.over && l.sender.AnswerMayBeLate(e.Notice, millis(l.now.Sub(l.started))):
		l.counters.HandledLate++
		l.end(e.Notice, directory.GivenUp, 0)
		return
	case e.Over:
		n.over = true
		l.keep(l.ledger.Closed(e.Notice))
	case recorded && unrun:
		l.keep(l.ledger.Unrun(e.Notice))
	}
	l.release(e.Notice, n)
}

// uncount takes back a trip that has not left.
func (l *Loop) uncount(n *held) {
	if n.trips > 1 {
		l.counters.Further--
	}
	n.trips--
}

// record writes a trip into the ledger, just before its call is written.
func (l *Loop) record(c *calls.Call) error {
	if left := l.sender.WaitLeft(c.Receiver, millis(l.now.Sub(l.started))); left > 0 {
		l.counters.InWait++
		l.log.Warn(logs.WrittenInWait, "id", c.ID, "notice", c.Notice, "receiver", c.Receiver, "begun_ago", l.now.Sub(c.Begun),
			"left", span(left))
	}
	zone := settings.Name(l.config.Names.Zones, int(c.Zone))
	n := l.notices[c.Notice]
	// By the wall clock as it was when the notice was taken, like its other times.
	at := l.now.Add(-n.takenAt.Stepped(l.clock.Now(l.now)))
	err := l.ledger.Trip(c.Notice, ledger.Trip{At: at, Zone: zone})
	l.keep(err)
	n.recorded = err == nil
	return err
}

// keep reports what the ledger could not keep.
func (l *Loop) keep(err error) {
	if err != nil {
		l.log.Error(logs.LedgerFailed, "why", err)
	}
}

// release lets go of a notice that is over and not out.
func (l *Loop) release(number rules.NoticeID, n *held) {
	if n.over && !n.out {
		l.heldBytes -= n.body.Held()
		n.body.Free()
		delete(l.notices, number)
	}
}

// take makes notices of the requests that have come, as far as there is room. An id that was taken on before is
// another client's: what is done under it would be done to that one's notice.
func (l *Loop) take() (taken []rules.NoticeID) {
	for _, r := range l.intake.Take() {
		hold := l.config.Settings.HoldLimit
		switch {
		case l.ids.has(r.ID):
			l.counters.Repeated++
			l.refuse(r, 409)
			continue
		case hold > 0 && len(l.notices) >= hold:
			l.counters.NoHold++
			l.refuse(r, 503)
			continue
		case l.heldBytes+r.Body.Held() > l.config.Limits.HeldBytes:
			l.counters.NoBytes++
			l.refuse(r, 503)
			continue
		}
		l.last++
		l.ids.add(r.ID, l.now)
		l.heldBytes += r.Body.Held()
		l.notices[l.last] = &held{id: r.ID, mark: r.Mark, destination: r.Destination, takenAt: l.clock.Now(l.now), body: r.Body, request: r}
		taken = append(taken, l.last)
		l.events = append(l.events, rules.NoticeTaken{Notice: l.last, Grade: r.Grade, Portfolio: r.Portfolio,
			Key: r.Key, Destination: r.Destination, Left: r.Left, Waited: millis(l.arrivals.waited(l.now)), Inherited: r.Inherited, Room: l.room(r.Body)})
	}
	return taken
}

// room is the share of what this sender can hold that a notice takes: of the memory for bodies or of the ledger, whichever
// it takes more of.
func (l *Loop) room(body *buffers.Chain) float64 {
	return max(float64(body.Held())/float64(l.config.Limits.HeldBytes), ledger.Share(l.config.Limits.Disk, body.Len()))
}

func (l *Loop) refuse(r *intake.Request, status int) {
	if l.tracing {
		l.log.Debug(logs.Refused, "id", r.ID, "status", status)
	}
	r.Body.Free()
	l.intake.Answer(r, status, 0)
}

// admitted is a notice that its client will be told is taken on.
type admitted struct {
	number  rules.NoticeID
	request *intake.Request
}

// admit answers the clients of notices just handed in that the decisions end in the same turn, and gives the others to the
// ledger.
func (l *Loop) admit(taken []rules.NoticeID, actions []rules.Action) (all []admitted) {
	if len(taken) == 0 {
		return nil
	}
	ended := map[rules.NoticeID]rules.Action{}
	for _, a := range actions {
		switch a := a.(type) {
		case rules.Dismiss:
			ended[a.Notice] = a
		case rules.BreakOff:
			ended[a.Notice] = a
		}
	}
	for _, number := range taken {
		n := l.notices[number]
		r := n.request
		switch a := ended[number].(type) {
		case rules.Dismiss:
			l.dismissed(r, 429, a.RetryAfter)
			continue
		case rules.BreakOff:
			l.dismissed(r, 500, 0)
			continue
		}
		err := l.ledger.Taken(ledger.Notice{Number: number, ID: r.ID, Mark: r.Mark,
			Grade:     settings.Name(l.config.Names.Grades, int(r.Grade)),
			Portfolio: settings.Name(l.config.Names.Portfolios, int(r.Portfolio)), Key: r.Key, Destination: r.Destination,
			Until: l.now.Add(span(r.Left)), TakenAt: n.takenAt, WaitedMS: int64(math.Ceil(float64(millis(l.arrivals.waited(l.now))))), Inherited: r.Inherited, Body: r.Body.AppendTo(nil)})
		if err != nil {
			l.withdraw(number, r)
			continue
		}
		n.request = nil
		all = append(all, admitted{number, r})
	}
	return all
}

// withdraw turns a notice away that the ledger can't keep.
func (l *Loop) withdraw(number rules.NoticeID, r *intake.Request) {
	l.counters.NoDisk++
	l.intake.Answer(r, 503, 0)
	n := l.notices[number]
	n.over = true
	l.calls.CallOff(number) // a call whose connection is still coming up must not leave
	l.release(number, n)
	l.events = append(l.events, rules.NoticeWithdrawn{Notice: number})
}

// acknowledge tells clients that their notices are taken on, once the ledger has them on disk: one write for all of a turn,
// if no call left before.
func (l *Loop) acknowledge(all []admitted) {
	lost, err := l.ledger.Flush()
	l.keep(err)
	for _, a := range all {
		number, r := a.number, a.request
		if slices.Contains(lost, number) {
			l.withdraw(number, r)
			continue
		}
		l.counters.Taken++
		if l.tracing {
			l.log.Debug(logs.Taken, "id", r.ID, "notice", number, "grade", settings.Name(l.config.Names.Grades, int(r.Grade)),
				"portfolio", settings.Name(l.config.Names.Portfolios, int(r.Portfolio)), "key", strconv.FormatUint(uint64(r.Key), 10),
				"destination", r.Destination, "body", r.Body.Len(), "left", span(r.Left))
		}
		l.intake.Answer(r, 202, 0)
	}
}

func (l *Loop) dismissed(r *intake.Request, status int, retryAfter rules.Millis) {
	l.counters.Dismissed++
	if l.tracing {
		l.log.Debug(logs.Refused, "id", r.ID, "status", status)
	}
	l.intake.Answer(r, status, retryAfter)
}

func (l *Loop) carryOut(action rules.Action) {
	switch a := action.(type) {
	case rules.Send:
		n := l.notices[a.Notice]
		if n == nil { // its client was turned away just now, as the ledger is full
			l.events = append(l.events,
				rules.TripEnded{Notice: a.Notice, Receiver: a.Receiver, Result: rules.Moot, Over: true})
			return
		}
		n.out = true
		l.counters.Trips++
		if n.trips++; n.trips > 1 {
			l.counters.Further++
		}
		if l.tracing {
			l.log.Debug(logs.Trip, "id", n.id, "notice", a.Notice, "receiver", a.Receiver,
				"address", l.receivers.Addresses[a.Receiver], "time_out", span(a.TimeOut))
		}
		l.calls.Send(&calls.Call{Notice: a.Notice, Receiver: a.Receiver, Destination: n.destination,
			Address: l.receivers.Addresses[a.Receiver], Zone: l.receivers.Zones[a.Receiver],
			ID: n.id, Mark: n.mark, Body: n.body, TimeOut: span(a.TimeOut)})
	case rules.Write:
		l.calls.Write(a.Notice)
	case rules.Recall:
		l.calls.Recall(a.Notice)
	case rules.Dismiss:
		if a.ForRoom {
			l.counters.ForRoom++
		}
		l.end(a.Notice, directory.HandedBack, a.RetryAfter)
	case rules.BreakOff:
		l.end(a.Notice, directory.GivenUp, 0)
	case rules.CallOff:
		l.calls.CallOff(a.Notice)
	case rules.LetGo:
		l.calls.LetGo(a.Receiver)
	case rules.SetTimer:
		l.timers = append(l.timers, l.now.Add(span(a.After)))
	case rules.WatchList:
		l.directory.Watch()
	case rules.Turned:
		l.log.Info(logs.Breaker, "destination", a.Destination, "route", a.Route, "state", a.State, "why", a.Why)
	}
}

// end gives a notice its end: to its client in the notice's own turn, else to the platform.
func (l *Loop) end(number rules.NoticeID, outcome string, retryAfter rules.Millis) {
	n := l.notices[number]
	if n.request == nil {
		if outcome == directory.GivenUp {
			l.counters.GivenUp++
		} else {
			l.counters.HandedBack++
		}
		if l.tracing {
			l.log.Debug(logs.Ended, "id", n.id, "notice", number, "outcome", outcome, "retry_in_ms", float64(retryAfter))
		}
		l.keep(l.ledger.Ended(number, outcome, float64(retryAfter)))
		l.directory.Ended(directory.End{Notice: number, Message: n.id, Outcome: outcome, RetryInMS: float64(retryAfter)})
	}
	n.over = true
	l.release(number, n)
}

func (l *Loop) counted() Counters {
	c := l.counters
	c.Refusals = l.intake.Refused
	c.NoRoom = c.NoHold + c.NoBytes + c.NoDisk
	c.Out, c.Held = l.calls.Out(), len(l.notices)
	c.Refused = c.Unreadable + c.Unknown + c.Malformed + c.Late + c.Leaving + c.Repeated + c.NoRoom
	c.BrokenAnswers, c.Unheard = l.directory.Broken, l.net.Unheard()
	c.Spoilt, c.Beyond, c.Stale = l.calls.Spoilt, l.calls.Beyond, l.calls.Stale
	return c
}
