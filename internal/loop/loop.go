// Package loop connects the sockets, the ledger and the decisions of package rules. It is an event loop in a single
// goroutine, which owns them all: each turn collects the events since the last one, passes them to the decisions in
// one batch, and executes the resulting actions in their order.
package loop

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
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

// Config is the configuration of a sender. Listen and Discovery are network addresses, StateDir is the state
// directory, and InitialList is the receiver list to start with.
type Config struct {
	Listen, Discovery, StateDir string
	Seed                        uint64
	Settings                    rules.Settings
	Names                       settings.Names
	InitialList                 directory.List
	Limits                      limits.Limits
}

// heldNotice is a notice that still needs a delivery or a final outcome, that has a trip in flight, or whose last
// outcome is unconfirmed.
type heldNotice struct {
	id, mark string

	destination  rules.DestinationID
	acceptedAt   clock.Moment
	body         *buffers.Chain
	request      *intake.Request // nil once its client is answered
	inFlight     bool            // a trip is in flight
	tripRecorded bool            // the trip in flight is recorded in the ledger
	ended        bool
	trips        int  // number of trips started
	unconfirmed  bool // the last trip's outcome may still be retracted and is not in the ledger
}

// Loop is a running sender.
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

	clock                clock.Clock
	started, now         time.Time
	arrivals             arrivals
	notices              map[rules.NoticeID]*heldNotice
	lastNumber           rules.NoticeID
	awaitingConfirmation int                                  // number of ended notices that are held until their outcomes are confirmed
	restored             []ledger.Notice                      // pending since an earlier process, not yet passed to the decisions
	recordedRoutes       map[recordedRoute]ledger.RouteRecord // by an earlier process, not yet passed to the decisions
	newEntries           []rules.Entry                        // of the receiver list, since the last turn
	listVerified         bool                                 // as last passed to the decisions
	listUnverifiedSince  time.Time
	heldBytes            int // memory that the bodies of notices take
	acceptedIDs          recentIDs
	endedIDs             recentIDs   // notices whose final outcome was reported, which must not happen twice
	timers               []time.Time // requested by the decisions
	events               []rules.Event
	nextSweep            time.Time // when connections are next checked against their time limits
	shutdownAt           time.Time // time of the shutdown signal, or zero
	counters             Counters
	pacer                pacer
	tracing              bool // the steps of each notice are logged
}

// New opens the ledger, restores its notices and opens the sockets.
func New(c Config, log *slog.Logger) (*Loop, error) {
	l := &Loop{config: c, log: log, started: time.Now(), notices: map[rules.NoticeID]*heldNotice{},
		buffers: buffers.NewPool(c.Limits.Buffer), receivers: directory.NewReceivers(c.Names)}
	l.now, l.arrivals, l.clock = l.started, newArrivals(l.started), clock.New()
	l.pacer = pacer{maxSpacing: c.Limits.TurnInterval, cores: c.Limits.Cores}
	l.tracing = log.Enabled(context.Background(), slog.LevelDebug)
	for _, g := range c.Settings.Grades {
		l.acceptedIDs.retention = max(l.acceptedIDs.retention, toDuration(g.ClientTimeout))
		l.endedIDs.retention = l.acceptedIDs.retention
	}
	// Each call needs a connection, and a sixteenth of the connections is left for those that are still receiving the
	// rest of a response. Slots beyond that could not be used.
	if maxSlots := c.Limits.MaxReceiverConnections -
		c.Limits.MaxReceiverConnections/16; l.config.Settings.Slots > maxSlots {
		log.Warn(logs.SlotsCapped, "slots", l.config.Settings.Slots, "connections", c.Limits.MaxReceiverConnections,
			"capped", maxSlots)
		l.config.Settings.Slots = maxSlots
	}
	// This sender's calls carry one notice each.
	for i := range l.config.Settings.Kinds {
		l.config.Settings.Kinds[i].PerCall = 1
	}
	l.config.Settings.MaxPause = toMillis(c.Limits.MaxPause)
	l.sender = rules.New(c.Seed, l.config.Settings)
	l.intake = intake.New(c.Limits, l.buffers, c.Names, l.receivers.Knows,
		func() string { return l.currentCounters().Page() })
	l.calls = calls.New(c.Limits, l.buffers, c.Names.LoadReportFields, log, calls.Hooks{
		Record: l.recordTrip, ConfirmTime: l.confirmTime, WaitsToSettle: l.waitsToSettle})
	l.directory = directory.New(c.Discovery, c.Limits, l.buffers, l.receivers, c.InitialList.Revision)
	known := c.InitialList
	known.Complete = true
	listed, err := l.receivers.Apply(known)
	if err != nil {
		return nil, fmt.Errorf("the configured receivers are invalid: %w", err)
	}
	l.events, l.newEntries = append(l.events, listed, rules.ListUnverified{}), listed.Entries
	l.listUnverifiedSince = l.started
	var pending []ledger.Notice
	if l.ledger, pending, err = ledger.Open(c.StateDir, c.Limits.Disk); err != nil {
		return nil, err
	}
	if l.ledger.Torn > 0 {
		log.Warn(logs.LedgerTorn, "bytes", l.ledger.Torn)
	}
	for _, n := range pending {
		l.restore(n)
	}
	l.recordedRoutes = map[recordedRoute]ledger.RouteRecord{}
	for _, route := range l.ledger.Routes() {
		l.recordedRoutes[recordedRoute{route.Destination, route.Receiver}] = route
	}
	if l.net, err = sockets.Start(c.Listen, c.Limits, l.buffers, l.intake); err != nil {
		return nil, err
	}
	l.calls.SetNet(l.net)
	l.directory.SetNet(l.net)
	if !c.Settings.WatchOnRequest {
		l.directory.Watch()
	}
	log.Info(logs.Ready, "listen", c.Listen, "receivers", len(known.Members), "restored", l.counters.Restored)
	return l, nil
}

// toMillis converts a duration to the decisions' milliseconds.
func toMillis(d time.Duration) rules.Millis { return rules.Millis(d) / rules.Millis(time.Millisecond) }

// toDuration converts the decisions' milliseconds to a duration.
func toDuration(milliseconds rules.Millis) time.Duration {
	return time.Duration(milliseconds * rules.Millis(time.Millisecond))
}

// Signals holds the requests from outside that a running sender reacts to: to shut down, to log its counters, and
// to reload its configuration.
type Signals struct {
	Shutdown, LogCounters, Reload <-chan os.Signal
	// ReadConfig reads the current configuration. It is called on another goroutine.
	ReadConfig func() (Config, error)
}

// Run serves until a shutdown signal, and then until the calls in flight have their outcomes or the time for that
// is over.
func (l *Loop) Run(signals Signals) {
	timer := time.NewTimer(0)
	reloads := reloader{read: signals.ReadConfig, post: l.net.Post, apply: l.applyReload}
	for {
		select {
		case <-l.net.Ready():
		case <-timer.C:
		case <-signals.LogCounters:
			l.log.Info(logs.CountersLine, "sender", l.currentCounters(), "held", len(l.notices), "owed",
				l.directory.Pending())
		case <-signals.Reload:
			reloads.request()
		case <-signals.Shutdown:
			if l.shutdownAt.IsZero() {
				l.shutdownAt = time.Now()
				l.intake.ShuttingDown = true
				l.log.Info(logs.ShuttingDown, "held", len(l.notices), "out", l.calls.Outstanding())
			}
		}
		// A busy sender waits here, so that one turn processes the events of a short period together.
		time.Sleep(time.Until(l.now.Add(l.pacer.spacing())))
		next, done := l.turn()
		if l.pacer.sampleDue(l.now) {
			l.pacer.sample(l.now, processorTime())
		}
		if done {
			break
		}
		timer.Reset(time.Until(next))
	}
	// A request that the poller has read in the meantime is rejected. One that it has not read was never accepted,
	// and its client can submit it elsewhere.
	l.net.StopReading()
	for _, r := range l.intake.Take() {
		l.reject(r, 503)
	}
	l.log.Info(logs.CountersLine, "sender", l.currentCounters(), "held", len(l.notices), "owed", l.directory.Pending())
	l.net.Stop()
	l.ledger.Close()
}

// turn runs one iteration of the loop. It returns when the next one is due if no event comes earlier, and whether
// the loop is done.
func (l *Loop) turn() (next time.Time, done bool) {
	l.counters.Turns++
	sinceLastTurn := time.Since(l.now)
	l.now = time.Now()
	l.arrivals.startTurn(l.now)
	l.calls.BeginTurn(l.now)
	l.setTime(l.now)
	if sinceLastTurn > l.config.Limits.MaxListAge { // the process was stopped: a change of the list may be unread
		l.directory.VerifyAgain()
	}
	l.net.Dispatch()
	// Requested waits begin at this time: the responses just read may have arrived after the turn began.
	l.setTime(time.Now())
	l.intake.CloseIdleClients()
	l.calls.Expire()
	// The cooldown of a key begins at this time: a call that expired just now may have been in flight until now.
	l.setTime(time.Now())
	if !l.now.Before(l.nextSweep) {
		l.nextSweep = l.now.Add(l.config.Limits.SweepInterval)
		l.logLedgerError(l.ledger.RetryFailedWrite())
		l.intake.Sweep(l.now)
		l.calls.Sweep()
	}
	l.collectEvents()
	submitted := l.createNotices()
	sinceShutdown := time.Duration(-1)
	if !l.shutdownAt.IsZero() {
		sinceShutdown = l.now.Sub(l.shutdownAt)
	}
	if sinceShutdown < l.config.Limits.SendUntil {
		if len(l.events) > 0 {
			actions := l.sender.Decide(toMillis(l.now.Sub(l.started)), l.events)
			l.events = l.events[:0]
			admitted := l.admit(submitted, actions)
			for _, a := range actions {
				l.execute(a)
			}
			l.acknowledge(admitted)
		}
	} else {
		l.recallAll()
		// What the events report of notices is already in the ledger.
		for _, a := range l.sender.NoteOutcomes(toMillis(l.now.Sub(l.started)), l.events) {
			l.execute(a)
		}
		l.events = l.events[:0]
	}
	for _, number := range l.directory.TakeConfirmed() {
		if l.tracing {
			l.log.Debug(logs.ReportConfirmed, "notice", number)
		}
		l.logLedgerError(l.ledger.RecordClosed(number))
	}
	if _, err := l.ledger.Flush(); err != nil {
		l.logLedgerError(err)
	}
	next = l.nextDue()
	ownLimits := l.config.Limits
	switch {
	case sinceShutdown < 0:
	case sinceShutdown >= ownLimits.ExitBy:
		done = true
	case sinceShutdown >= ownLimits.SendUntil:
		done = l.calls.Outstanding() == 0 && l.directory.Pending() == 0 && l.awaitingConfirmation == 0
	case sinceShutdown >= ownLimits.Linger:
		done = len(l.notices) == 0 && l.directory.Pending() == 0
	}
	return next, done
}

// setTime sets the current time of the loop and of its parts.
func (l *Loop) setTime(now time.Time) {
	l.now = now
	l.intake.SetTime(now)
	l.calls.SetTime(now)
	l.directory.SetTime(now)
}

// recallAll recalls all calls whose connections were established in this turn. It replaces the decisions when the
// time for sending after a shutdown signal is over.
func (l *Loop) recallAll() {
	for _, e := range l.events {
		if up, ok := e.(rules.ConnectionUp); ok {
			l.calls.Recall(up.Notice)
		}
	}
}

// nextDue returns the time at which the next timeout or timer is due, or the current time if work is waiting.
func (l *Loop) nextDue() time.Time {
	next := l.nextSweep
	due := append([]time.Time{l.calls.Expire(), l.directory.Step()}, l.timers...)
	if len(l.events) > 0 || l.calls.HasReports() {
		return l.now
	}
	for _, at := range due {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// collectEvents turns what the connections and the receiver list have reported into events.
func (l *Loop) collectEvents() {
	lists, failed := l.directory.TakeLists()
	for _, list := range lists {
		l.events = append(l.events, list)
		l.newEntries = append(l.newEntries, list.Entries...)
	}
	l.reportListVerification()
	l.restoreRouteStates()
	l.reportRestored()
	l.calls.RemoveReceivers(l.receivers.TakeRemoved())
	if l.directory.LastError != "" {
		l.log.Warn(logs.PlatformResponseUnusable, "why", l.directory.LastError)
		l.directory.LastError = ""
	}
	if failed && l.config.Settings.WatchOnRequest {
		l.directory.Stop()
		l.events = append(l.events, rules.ListFailed{})
	}
	for _, e := range l.calls.Ended() {
		l.recordOutcome(e)
		l.events = append(l.events, e)
	}
	l.collectConfirmations()
	for _, wait := range l.calls.RequestedWaits() {
		if l.tracing {
			l.log.Debug(logs.WaitRequested, "receiver", wait.Receiver, "wait", toDuration(wait.Wait))
		}
		l.events = append(l.events, wait)
	}
	for _, up := range l.calls.Established() {
		l.events = append(l.events, up)
	}
	timersBefore := len(l.timers)
	l.timers = slices.DeleteFunc(l.timers, func(at time.Time) bool { return !at.After(l.now) })
	if len(l.timers) < timersBefore {
		l.events = append(l.events, rules.TimerDue{})
	}
}

// reportListVerification passes it to the decisions if the list has become unverified or verified since the last turn.
func (l *Loop) reportListVerification() {
	verified := l.directory.Verified()
	if verified == l.listVerified {
		return
	}
	l.listVerified = verified
	if !verified {
		l.listUnverifiedSince = l.now
		l.log.Info(logs.ListUnverified, "held", len(l.notices))
		l.events = append(l.events, rules.ListUnverified{})
		return
	}
	l.log.Info(logs.ListVerified, "after", l.now.Sub(l.listUnverifiedSince), "receivers", len(l.receivers.Addresses),
		"held", len(l.notices))
	l.events = append(l.events, rules.ListVerified{})
}

// logLedgerError logs an error of the ledger.
func (l *Loop) logLedgerError(err error) {
	if err != nil {
		l.log.Error(logs.LedgerFailed, "why", err)
	}
}

// execute carries out one action of the decisions.
func (l *Loop) execute(action rules.Action) {
	switch a := action.(type) {
	case rules.Send:
		n := l.notices[a.Notice]
		if n == nil { // it was rejected in this turn because the ledger could not record it
			l.events = append(l.events,
				rules.TripEnded{Notice: a.Notice, Receiver: a.Receiver, Result: rules.NotSent, NoticeEnded: true})
			return
		}
		n.inFlight = true
		l.counters.Trips++
		if n.trips++; n.trips > 1 {
			l.counters.FurtherTrips++
		}
		if l.tracing {
			l.log.Debug(logs.Trip, "id", n.id, "notice", a.Notice, "receiver", a.Receiver,
				"address", l.receivers.Addresses[a.Receiver], "time_out", toDuration(a.Timeout))
		}
		l.calls.Send(&calls.Call{Notice: a.Notice, Trip: n.trips, Receiver: a.Receiver, Destination: n.destination,
			Address: l.receivers.Addresses[a.Receiver], Zone: l.receivers.Zones[a.Receiver],
			ID: n.id, Mark: n.mark, Body: n.body, Timeout: toDuration(a.Timeout)})
	case rules.Write:
		l.calls.Write(a.Notice)
	case rules.Recall:
		l.calls.Recall(a.Notice)
	case rules.Dismiss:
		if a.ForSpace {
			l.counters.DismissedForCapacity++
		}
		l.endNotice(a.Notice, directory.HandedBack, a.RetryAfter)
	case rules.BreakOff:
		l.endNotice(a.Notice, directory.GivenUp, 0)
	case rules.CancelTrip:
		l.calls.Cancel(a.Notice)
	case rules.CloseIdleConnections:
		l.calls.CloseIdle(a.Receiver)
	case rules.SetTimer:
		l.timers = append(l.timers, l.now.Add(toDuration(a.After)))
	case rules.WatchList:
		l.directory.Watch()
	case rules.RouteStateChanged:
		l.recordRouteState(a)
		l.logRouteState(a)
	case rules.BreakerChanged:
		l.log.Info(logs.Breaker, "destination", a.Destination, "route", a.Route, "state", a.State, "why", a.Reason)
	}
}

// currentCounters returns the counters, completed with those that the parts of the sender keep.
func (l *Loop) currentCounters() Counters {
	c := l.counters
	c.Refusals = l.intake.Refused
	c.OverCapacity = c.OverHoldLimit + c.OverBodyMemory + c.OverLedgerCapacity
	c.CallsInFlight, c.NoticesHeld = l.calls.Outstanding(), len(l.notices)-l.awaitingConfirmation
	c.Rejected = c.Unreadable + c.Unknown + c.Malformed + c.Late + c.DuringShutdown + c.RepeatedIDs + c.OverCapacity
	c.MalformedPlatformResponses, c.UnreadBuffers = l.directory.UnusableResponses, l.net.DiscardedBuffers()
	c.Connections = l.calls.ConnectionsOpened()
	c.UnusableResponses, c.TrailingBytes, c.StaleConnections, c.Unsolicited =
		l.calls.MalformedResponses, l.calls.ResponsesWithTrailingBytes, l.calls.StaleConnections,
		l.calls.UnsolicitedReads
	return c
}
