package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/ledger"
	"chuteweir.example/chuteweir/internal/standin"
	"chuteweir.example/chuteweir/rules"
)

// These tests check that a notice counts as delivered only if its response came within its client timeout, and that
// its final outcome is reported otherwise.

const (
	// senderPause is how long a sender may be paused between reading its clock and writing.
	senderPause = 150 * time.Millisecond
	// maxReportDelay is how long after its client timeout the final outcome of a notice must be reported.
	maxReportDelay = 300 * time.Millisecond
	// extraNotices is how many further notices in the ledger make the start of a sender slow.
	extraNotices = 16_000
	// ledgerCapacity is the capacity, in bytes, of a ledger that can hold extraNotices.
	ledgerCapacity = 256 << 20
)

// seedLedger writes a ledger such as a killed sender leaves: the given notices with their trips, after extraNotices
// others for destination 2, whose only receiver is draining.
func (env *environment) seedLedger(notices ...ledger.Notice) {
	env.t.Helper()
	seeded, _, err := ledger.Open(env.stateDirectory, ledgerCapacity)
	env.must(err)
	write := func(notice ledger.Notice) {
		env.must(seeded.RecordAccepted(notice))
		for _, trip := range notice.PossibleRuns {
			env.must(seeded.RecordTrip(notice.Number, trip))
		}
	}
	for i := range extraNotices {
		write(ledger.Notice{Number: rules.NoticeID(i + 1), ID: fmt.Sprint("crowd-", i), Grade: "note",
			Portfolio: "acme", Destination: 2, Until: time.Now().Add(time.Hour)})
	}
	for i, notice := range notices {
		notice.Number = rules.NoticeID(extraNotices + i + 1)
		write(notice)
	}
	env.must(seeded.Close())
}

// pauseSender pauses the sender process for a duration.
func (env *environment) pauseSender(duration time.Duration) {
	env.t.Helper()
	env.must(env.sender.Process.Signal(syscall.SIGSTOP))
	time.Sleep(duration)
	env.must(env.sender.Process.Signal(syscall.SIGCONT))
}

// awaitReport waits for a notice's outcome report and fails the test if it has not come by the deadline.
func (env *environment) awaitReport(id string, deadline time.Time) {
	env.t.Helper()
	for {
		if strings.Contains(strings.Join(env.recorded(), "\n"), fmt.Sprintf(`platform: {"message":%q`, id)) {
			return
		}
		if time.Now().After(deadline) {
			env.t.Fatalf("want the outcome of %s reported within %v of its client timeout\n%s\n%s", id, maxReportDelay,
				strings.Join(env.recorded(), "\n"), env.log)
		}
		time.Sleep(time.Millisecond)
	}
}

// respondOKAt makes receivers respond with 200 at a given time.
func (env *environment) respondOKAt(at time.Time) {
	env.respondWith(func(*standin.ReceivedCall) standin.Reply {
		time.Sleep(time.Until(at))
		return standin.Reply{Status: 200}
	})
}

// Guards against a slow start that shifts the client timeout of restored notices: a response after the true timeout
// would count as a delivery, and no outcome would be reported.
func TestRestoredNoticeKeepsItsTimeoutDuringSlowStart(t *testing.T) {
	env := startEnvironment(t, `disk = "1MB"`, `disk = "256MB"`, `hold = 50`, `hold = 100000`)
	env.killSender()
	deadline := time.Now().Add(6 * time.Second)
	env.seedLedger(ledger.Notice{ID: "late", Grade: "note", Portfolio: "acme", Destination: 1, Until: deadline})
	env.respondOKAt(deadline.Add(10 * time.Millisecond))
	env.startSender()
	env.awaitLines(1, "receiver: POST /events late")
	env.awaitReport("late", deadline.Add(maxReportDelay))
}

// Guards against a slow start after which a restored notice is sent again although the receiver no longer remembers
// its idempotency key, so that it may take effect twice.
func TestRestoredNoticeIsNotResentAfterItsKeyIsForgotten(t *testing.T) {
	const (
		keyRetention = 5 * time.Second
		tolerance    = 50 * time.Millisecond
	)
	env := startEnvironment(t, `disk = "1MB"`, `disk = "256MB"`, `hold = 50`, `hold = 100000`,
		`repeat = "reissuable"`, "repeat = \"numbered\"\nremembers = \"5s\"")
	env.killSender()
	calledAt := map[string]time.Time{}
	var notices []ledger.Notice
	// The receivers forget the keys one after the other while the next process starts.
	for remaining := time.Duration(0); remaining < 3*time.Second; remaining += 25 * time.Millisecond {
		id := fmt.Sprint("numbered-", remaining)
		calledAt[id] = time.Now().Add(remaining - keyRetention)
		notices = append(notices, ledger.Notice{ID: id, Grade: "note", Portfolio: "acme", Destination: 1,
			Until: time.Now().Add(10 * time.Second), PossibleRuns: []ledger.Trip{{At: calledAt[id], Zone: "here"}}})
	}
	env.seedLedger(notices...)
	env.respondWith(func(call *standin.ReceivedCall) standin.Reply {
		if late := time.Since(calledAt[call.ID]) - keyRetention; late > tolerance {
			t.Errorf("%s was sent again %v after its key was forgotten", call.ID, late)
		}
		return standin.Reply{Status: 200}
	})
	env.startSender()
	time.Sleep(time.Second)
}

// submitReadLate submits a notice while the sender is paused, so that the sender reads it after the delay. It returns
// the end of the notice's client timeout, and makes receivers respond half the delay after that time.
func (env *environment) submitReadLate(grade, id string, timeout, delay time.Duration) (deadline time.Time) {
	env.t.Helper()
	env.must(env.sender.Process.Signal(syscall.SIGSTOP))
	deadline = time.Now().Add(timeout)
	time.AfterFunc(delay, func() { env.sender.Process.Signal(syscall.SIGCONT) })
	env.respondOKAt(deadline.Add(delay / 2))
	env.submit(grade, id, int(timeout.Milliseconds()), 1)
	env.awaitLines(1, "receiver: POST /events "+id)
	return deadline
}

// Guards against counting the client timeout of a notice from when a paused sender read it: a response after the true
// timeout would count as a delivery, and no outcome would be reported.
func TestNoticeReadLateIsReportedWhenResponseMissesTimeout(t *testing.T) {
	for _, grade := range []string{"note", "order"} {
		for _, delay := range []time.Duration{senderPause, 2 * senderPause} {
			t.Run(fmt.Sprint(grade, " ", delay), func(t *testing.T) {
				t.Parallel()
				env := startEnvironment(t)
				deadline := env.submitReadLate(grade, "late", 2*time.Second, delay)
				env.awaitReport("late", deadline.Add(maxReportDelay))
			})
		}
	}
}

// Guards against counting a response after the client timeout as a delivery during a shutdown: the notice was read
// late, and its outcome must stay in the ledger for the next process to report.
func TestNoticeIsReportedWhenResponseMissesTimeoutDuringShutdown(t *testing.T) {
	env := startEnvironment(t)
	deadline := env.submitReadLate("order", "late", 4*time.Second, senderPause)
	time.Sleep(time.Until(deadline.Add(-2800 * time.Millisecond))) // when the response comes, no more trips are started
	env.shutDown()
	env.startSender()
	env.awaitLines(1, `platform: {"message":"late","outcome":"given_up"`)
}

// Guards against counting a response as a delivery although it arrived after the client timeout: a sender that was
// paused over both events must not compare with a clock reading from before the pause.
func TestNoticeIsReportedWhenPausedSenderReadsResponseLate(t *testing.T) {
	// A resumed sender may handle the timeout before the response, which would hide the fault.
	const attempts = 4 // of each grade
	for attempt := range 2 * attempts {
		grade := []string{"note", "order"}[attempt%2]
		t.Run(fmt.Sprint(grade, " ", attempt/2), func(t *testing.T) {
			t.Parallel()
			env := startEnvironment(t)
			const timeout = 2 * time.Second
			deadline := time.Now().Add(timeout)
			env.respondOKAt(deadline.Add(20 * time.Millisecond))
			env.submit(grade, "late", int(timeout.Milliseconds()), 1)
			env.awaitLines(1, "receiver: POST /events late")
			time.Sleep(time.Until(deadline.Add(-50 * time.Millisecond)))
			env.pauseSender(senderPause)
			env.awaitReport("late", deadline.Add(maxReportDelay))
		})
	}
}
