package rules

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// decisionTrace drives a sender with events, one turn at a time, and records the sender's decisions as text.
type decisionTrace struct {
	sender       *Sender
	now          Millis
	outstanding  []Send   // trips without an outcome, oldest first
	lastNotice   NoticeID // id of the notice that was accepted last
	omitSends    bool     // Send actions are not recorded
	recordTimers bool     // SetTimer actions are recorded
	timerAt      Millis   // time of the timer that was set last
	// cancelled lists the notices whose trips were cancelled; a test can report their outcome.
	cancelled []NoticeID
	recalled  []NoticeID // notices whose calls were recalled; a test can report their outcome
	text      strings.Builder
}

// testSettings returns the settings of the tests: a small deployment with two kinds of destinations, of which
// the second has separate routes.
func testSettings() Settings {
	return Settings{
		Grades: []Grade{
			{QuotedTime: 2000, ClientTimeout: 20_000, Credit: 1, LateShare: 0.5, Repeat: Reissuable},
			{QuotedTime: 2000, ClientTimeout: 20_000, Credit: 1, LateShare: 0.5, Repeat: Numbered,
				ZoneOnly: true, RemembersFor: 6000, InOrder: true},
			{QuotedTime: 2000, ClientTimeout: 20_000, Credit: 3, LateShare: 0.5, Repeat: AtMostOnce},
		},
		Kinds: []Kind{{PerCall: 1}, {PerCall: 3, SeparateRoutes: true}}, ZoneFees: []float64{0, 0.1},
		Senders: 2, Slots: 8, HoldLimit: 100, TripLimit: 4, Tick: 5, RetryAfter: true, MaxRetryAfter: 3000,
		ListedError: 0, ColdCapacity: 0.2, WarmUpTime: 10_000, OverloadFactor: 2, OverloadTime: 2000,
		KeyCooldown: 300,
		IdleTimeout: 10_000,
	}
}

// settingsWithSenders returns testSettings for a deployment with the given number of senders.
func settingsWithSenders(senders int) Settings {
	settings := testSettings()
	settings.Senders = senders
	return settings
}

// startTrace starts a trace with the given receiver list. It is compared with its file when the test ends.
func startTrace(t *testing.T, settings Settings, entries ...Entry) *decisionTrace {
	trace := &decisionTrace{sender: New(0x9E3779B97F4A7C15, settings)}
	trace.runTurn(ListUpdated{Complete: true, Entries: entries})
	t.Cleanup(func() { trace.compareWithFile(t) })
	return trace
}

// entry returns the list entry of a receiver that accepts calls.
func entry(id ReceiverID, destination DestinationID) Entry {
	return Entry{Receiver: id, Destination: destination, Status: Ready, ListedRate: 20}
}

// runTurn passes events to the sender and records its decisions.
func (trace *decisionTrace) runTurn(events ...Event) {
	for _, a := range trace.sender.Decide(trace.now, events) {
		switch a := a.(type) {
		case Send:
			trace.outstanding = append(trace.outstanding, a)
			if trace.omitSends {
				continue
			}
			trace.record("send %d to %d, time-out %.0f", a.Notice, a.Receiver, a.Timeout)
		case Dismiss:
			trace.record("dismiss %d, retry after %.0f", a.Notice, a.RetryAfter)
		case BreakOff:
			trace.record("break off %d", a.Notice)
		case BreakerChanged:
			trace.record("log %s", a)
		case CancelTrip:
			trace.cancelled = append(trace.cancelled, a.Notice)
			trace.record("cancel %d, trip %d", a.Notice, a.Trip)
		case Write:
			trace.record("write %d", a.Notice)
		case Recall:
			trace.record("recall %d", a.Notice)
			trace.recalled = append(trace.recalled, a.Notice)
		case CloseIdleConnections:
			trace.record("close idle connections to %d", a.Receiver)
		case SetTimer:
			trace.timerAt = trace.now + a.After
			if trace.recordTimers {
				trace.record("timer in %.0f", a.After)
			}
		case WatchList:
			trace.record("watch the receiver list")
		}
	}
}

// record adds a line with the present time to the trace.
func (trace *decisionTrace) record(format string, args ...any) {
	fmt.Fprintf(&trace.text, "%6.0f  %s\n", trace.now, fmt.Sprintf(format, args...))
}

// note adds a comment line to the trace.
func (trace *decisionTrace) note(text string) { fmt.Fprintf(&trace.text, "# %s\n", text) }

// accept reports in one turn that a number of notices like n were accepted, each with an id of its own. The
// time left until their client timeout is 20 s unless n sets it.
func (trace *decisionTrace) accept(count int, n NoticeAccepted) {
	var events []Event
	for range count {
		trace.lastNotice++
		n.Notice = trace.lastNotice
		if n.TimeLeft == 0 {
			n.TimeLeft = 20_000
		}
		events = append(events, n)
	}
	trace.runTurn(events...)
}

// awaitTrip advances the time until a trip is outstanding, by 30 s at most, and reports whether there is one.
func (trace *decisionTrace) awaitTrip() bool {
	for end := trace.now + 30_000; len(trace.outstanding) == 0 && trace.now < end; {
		trace.advance(trace.sender.settings.Tick)
	}
	return len(trace.outstanding) > 0
}

// endTrip reports the outcome of the oldest outstanding trip, and awaits a trip if there is none. The options
// change the reported event.
func (trace *decisionTrace) endTrip(result Result, options ...func(*TripEnded)) {
	if !trace.awaitTrip() {
		trace.record("no trip is outstanding")
		return
	}
	trip := trace.outstanding[0]
	trace.outstanding = trace.outstanding[1:]
	e := TripEnded{Notice: trip.Notice, Receiver: trip.Receiver, Result: result, Duration: 100,
		NoticeEnded: result == Handled}
	for _, option := range options {
		option(&e)
	}
	trace.runTurn(e)
}

// reportLimit is an option of endTrip: the response reports a limit in calls per second, and the share of it
// that is left.
func reportLimit(rate, left float64) func(*TripEnded) {
	return func(e *TripEnded) { e.LimitReported, e.LimitRate, e.LimitRemaining = true, rate, left }
}

// requestWait is an option of endTrip: the receiver requests a wait.
func requestWait(duration Millis) func(*TripEnded) {
	return func(e *TripEnded) { e.RequestedWait = duration }
}

// advance lets a duration pass, with a turn at each tick.
func (trace *decisionTrace) advance(duration Millis) {
	for end := trace.now + duration; trace.now < end; {
		trace.now += trace.sender.settings.Tick
		trace.runTurn()
	}
}

// wakeByTimers lets a duration pass, with turns only when the sender's timer fires, as for an idle sender.
func (trace *decisionTrace) wakeByTimers(duration Millis) {
	for end := trace.now + duration; trace.timerAt > trace.now && trace.timerAt <= end; {
		trace.now = trace.timerAt
		trace.runTurn(TimerDue{})
	}
}

// compareWithFile compares the trace with the one in the test's file under testdata. UPDATE=1 rewrites the
// file.
func (trace *decisionTrace) compareWithFile(t *testing.T) {
	t.Helper()
	path := filepath.Join("testdata", t.Name()+".txt")
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(path, []byte(trace.text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), trace.text.String()); diff != "" {
		t.Errorf("decisions changed (-want +got):\n%s", diff)
	}
}
