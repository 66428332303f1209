package rules

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// trace plays events to a sender, a turn at a time, and prints what it decides.
type trace struct {
	sender *Sender
	now    Millis
	trips  []Send // those out, oldest first
	next   NoticeID
	quiet  bool // leaves sends out of the text
	timers bool // puts timers in
	due    Millis
	// calledOff is the calls given up, whose outcome the test may tell.
	calledOff []NoticeID
	recalled  []NoticeID // whose outcome the test may tell
	text      strings.Builder
}

// madeUp is a deployment of the tests' own: two destinations, destination 1 with two receivers.
func madeUp() Settings {
	return Settings{
		Grades: []Grade{
			{QuotedTime: 2000, ClientTimeout: 20_000, Credit: 1, LateShare: 0.5, Repeat: Reissuable},
			{QuotedTime: 2000, ClientTimeout: 20_000, Credit: 1, LateShare: 0.5, Repeat: Numbered,
				ZoneOnly: true, RemembersFor: 6000, InOrder: true},
			{QuotedTime: 2000, ClientTimeout: 20_000, Credit: 3, LateShare: 0.5, Repeat: AtMostOnce},
		},
		Kinds: []Kind{{PerCall: 1}, {PerCall: 3, Apart: true}}, ZoneFees: []float64{0, 0.1},
		Senders: 2, Slots: 8, HoldLimit: 100, TripLimit: 4, Tick: 5, RetryAfter: true, RetryMost: 3000,
		ListedError: 0, ColdFrom: 0.2, WarmWithin: 10_000, TipMultiple: 2, Fall: 2000, KeyRest: 300, IdleKept: 10_000,
	}
}

// among is the made-up deployment with so many senders.
func among(senders int) Settings {
	settings := madeUp()
	settings.Senders = senders
	return settings
}

// start begins a trace, which is checked as its test ends.
func start(tt *testing.T, settings Settings, entries ...Entry) *trace {
	t := &trace{sender: New(0x9E3779B97F4A7C15, settings)}
	t.turn(ListTold{Whole: true, Entries: entries})
	tt.Cleanup(func() { t.check(tt) })
	return t
}

func entry(id ReceiverID, destination DestinationID) Entry {
	return Entry{Receiver: id, Destination: destination, Standing: Ready, ListedRate: 20}
}

func (t *trace) turn(events ...Event) {
	for _, a := range t.sender.Decide(t.now, events) {
		switch a := a.(type) {
		case Send:
			t.trips = append(t.trips, a)
			if t.quiet {
				continue
			}
			t.say("send %d to %d, time-out %.0f", a.Notice, a.Receiver, a.TimeOut)
		case Dismiss:
			t.say("dismiss %d, retry after %.0f", a.Notice, a.RetryAfter)
		case BreakOff:
			t.say("break off %d", a.Notice)
		case Turned:
			t.say("log %s", a)
		case CallOff:
			t.calledOff = append(t.calledOff, a.Notice)
			t.say("call off %d, trip %d", a.Notice, a.Trip)
		case Write:
			t.say("write %d", a.Notice)
		case Recall:
			t.say("recall %d", a.Notice)
			t.recalled = append(t.recalled, a.Notice)
		case LetGo:
			t.say("let go of idle connections to %d", a.Receiver)
		case SetTimer:
			t.due = t.now + a.After
			if t.timers {
				t.say("timer in %.0f", a.After)
			}
		case WatchList:
			t.say("watch the list")
		}
	}
}

func (t *trace) say(format string, args ...any) {
	fmt.Fprintf(&t.text, "%6.0f  %s\n", t.now, fmt.Sprintf(format, args...))
}

// note writes a line for the reader.
func (t *trace) note(text string) { fmt.Fprintf(&t.text, "# %s\n", text) }

// take hands in notices of a grade.
func (t *trace) take(count int, n NoticeTaken) {
	var events []Event
	for range count {
		t.next++
		n.Notice = t.next
		if n.Left == 0 {
			n.Left = 20_000
		}
		events = append(events, n)
	}
	t.turn(events...)
}

// await waits for a trip to be out.
func (t *trace) await() bool {
	for end := t.now + 30_000; len(t.trips) == 0 && t.now < end; {
		t.pass(t.sender.settings.Tick)
	}
	return len(t.trips) > 0
}

// answer ends the oldest trip.
func (t *trace) answer(result Result, more ...func(*TripEnded)) {
	if !t.await() {
		t.say("no trip is out")
		return
	}
	trip := t.trips[0]
	t.trips = t.trips[1:]
	e := TripEnded{Notice: trip.Notice, Receiver: trip.Receiver, Result: result, Spent: 100, Over: result == Handled}
	for _, f := range more {
		f(&e)
	}
	t.turn(e)
}

// told is what an answer tells of a limit.
func told(rate, left float64) func(*TripEnded) {
	return func(e *TripEnded) { e.LimitTold, e.LimitRate, e.LimitLeft = true, rate, left }
}

func wait(span Millis) func(*TripEnded) { return func(e *TripEnded) { e.Wait = span } }

// pass lets time go by, a tick at a time.
func (t *trace) pass(span Millis) {
	for end := t.now + span; t.now < end; {
		t.now += t.sender.settings.Tick
		t.turn()
	}
}

// doze lets time go by as a quiet sender sees it: only its timers wake it.
func (t *trace) doze(span Millis) {
	for end := t.now + span; t.due > t.now && t.due <= end; {
		t.now = t.due
		t.turn(TimerDue{})
	}
}

// check compares the trace with the one kept under testdata; UPDATE=1 writes it anew.
func (t *trace) check(tt *testing.T) {
	tt.Helper()
	path := filepath.Join("testdata", tt.Name()+".txt")
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(path, []byte(t.text.String()), 0o644); err != nil {
			tt.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		tt.Fatal(err)
	}
	if diff := cmp.Diff(string(want), t.text.String()); diff != "" {
		tt.Errorf("decisions changed (-kept +now):\n%s", diff)
	}
}
