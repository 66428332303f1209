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

// These tests hold what a sender takes for delivered against the time that its notices had.

const (
	// holdUp is how long a sender may be held up between reading its clock and writing.
	senderPause = 150 * time.Millisecond
	// lostAfter is how long after its time a notice must have its end.
	maxReportDelay = 300 * time.Millisecond
	// crowdedStart is how many further notices make a start slow.
	extraNotices = 16_000
	// ledgerRoom is the room for a ledger with these, in bytes.
	ledgerCapacity = 256 << 20
)

// seedLedger writes a ledger as a killed sender leaves it: the notices given, each with its trips, and as many for a
// destination that takes none as make the start slow.
func (env *environment) seedLedger(notices ...ledger.Notice) {
	env.t.Helper()
	seeded, _, err := ledger.Open(env.stateDirectory, ledgerCapacity)
	env.must(err)
	write := func(notice ledger.Notice) {
		env.must(seeded.Taken(notice))
		for _, trip := range notice.Ran {
			env.must(seeded.Trip(notice.Number, trip))
		}
	}
	for i := range extraNotices {
		write(ledger.Notice{Number: rules.NoticeID(i + 1), ID: fmt.Sprint("crowd-", i), Grade: "note", Portfolio: "acme", Destination: 2,
			Until: time.Now().Add(time.Hour)})
	}
	for i, notice := range notices {
		notice.Number = rules.NoticeID(extraNotices + i + 1)
		write(notice)
	}
	env.must(seeded.Close())
}

// stand holds the sender up for a span.
func (env *environment) pauseSender(duration time.Duration) {
	env.t.Helper()
	env.must(env.sender.Process.Signal(syscall.SIGSTOP))
	time.Sleep(duration)
	env.must(env.sender.Process.Signal(syscall.SIGCONT))
}

// endsBy checks that the platform is told a notice's end by a time.
func (env *environment) awaitReport(id string, deadline time.Time) {
	env.t.Helper()
	for {
		if strings.Contains(strings.Join(env.recorded(), "\n"), fmt.Sprintf(`platform: {"message":%q`, id)) {
			return
		}
		if time.Now().After(deadline) {
			env.t.Fatalf("%s has no end %v after its time\n%s\n%s", id, maxReportDelay, strings.Join(env.recorded(), "\n"), env.log)
		}
		time.Sleep(time.Millisecond)
	}
}

// answersAt makes receivers answer 200 at a time.
func (env *environment) respondOKAt(at time.Time) {
	env.respondWith(func(*standin.Asked) standin.Reply {
		time.Sleep(time.Until(at))
		return standin.Reply{Status: 200}
	})
}

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

func TestRestoredNoticeIsNotResentAfterItsKeyIsForgotten(t *testing.T) {
	const (
		keyRetention = 5 * time.Second
		tolerance    = 50 * time.Millisecond
	)
	env := startEnvironment(t, `disk = "1MB"`, `disk = "256MB"`, `hold = 50`, `hold = 100000`, `repeat = "reissuable"`, "repeat = \"numbered\"\nremembers = \"5s\"")
	env.killSender()
	calledAt := map[string]time.Time{}
	var notices []ledger.Notice
	// The marks are forgotten one after the other while the next process starts.
	for remaining := time.Duration(0); remaining < 3*time.Second; remaining += 25 * time.Millisecond {
		id := fmt.Sprint("mark-", remaining)
		calledAt[id] = time.Now().Add(remaining - keyRetention)
		notices = append(notices, ledger.Notice{ID: id, Grade: "note", Portfolio: "acme", Destination: 1,
			Until: time.Now().Add(10 * time.Second), Ran: []ledger.Trip{{At: calledAt[id], Zone: "here"}}})
	}
	env.seedLedger(notices...)
	env.respondWith(func(call *standin.Asked) standin.Reply {
		if late := time.Since(calledAt[call.ID]) - keyRetention; late > tolerance {
			t.Errorf("%s was sent again %v after its mark was forgotten", call.ID, late)
		}
		return standin.Reply{Status: 200}
	})
	env.startSender()
	time.Sleep(time.Second)
}

// handReadLate hands a notice in that the sender, held up, reads late. It returns the end of the notice's time.
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

func TestNoticeIsReportedWhenResponseMissesTimeoutDuringShutdown(t *testing.T) {
	env := startEnvironment(t)
	deadline := env.submitReadLate("order", "late", 4*time.Second, senderPause)
	time.Sleep(time.Until(deadline.Add(-2800 * time.Millisecond))) // no trip is begun any more when the answer comes
	env.shutDown()
	env.startSender()
	env.awaitLines(1, `platform: {"message":"late","outcome":"given_up"`)
}

func TestNoticeIsReportedWhenPausedSenderReadsResponseLate(t *testing.T) {
	const attempts = 4 // of each, as a held-up sender may find its timer due first
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
