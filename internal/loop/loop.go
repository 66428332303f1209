// Package loop joins the sockets, the ledger and the decisions. One goroutine runs it and owns them all: it
// gathers what has happened, lets the decisions be made in one go, and carries them out in their order.
package loop

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
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
	trips       int  // begun in this process
	unconfirmed bool // what its last trip came to may be doubted yet, and is not in the ledger
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
	answered     int             // notices that are over and kept until their answers are confirmed
	restored     []ledger.Notice // owed from before the start, not told to the decisions yet
	heldBytes    int
	ids          recent
	ended        recent      // the ids of notices that have their ends: none is told twice
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
		l.ended.span = l.ids.span
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
	l.calls = calls.New(c.Limits, l.buffers, c.Names.Report, log, calls.Hooks{Record: l.record, ConfirmTime: l.confirmTime, WaitsToSettle: l.waitsToSettle})
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
		done = l.calls.Out() == 0 && l.directory.Owed() == 0 && l.answered == 0
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
	l.gatherConfirmations()
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

// keep reports what the ledger could not keep.
func (l *Loop) keep(err error) {
	if err != nil {
		l.log.Error(logs.LedgerFailed, "why", err)
	}
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
		l.calls.Send(&calls.Call{Notice: a.Notice, Trip: n.trips, Receiver: a.Receiver, Destination: n.destination,
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

func (l *Loop) counted() Counters {
	c := l.counters
	c.Refusals = l.intake.Refused
	c.NoRoom = c.NoHold + c.NoBytes + c.NoDisk
	c.Out, c.Held = l.calls.Out(), len(l.notices)-l.answered
	c.Refused = c.Unreadable + c.Unknown + c.Malformed + c.Late + c.Leaving + c.Repeated + c.NoRoom
	c.BrokenAnswers, c.Unheard = l.directory.Broken, l.net.Unheard()
	c.Connections = l.calls.Made()
	c.Spoilt, c.Beyond, c.Stale, c.Unasked = l.calls.Spoilt, l.calls.Beyond, l.calls.Stale, l.calls.Unasked
	return c
}
