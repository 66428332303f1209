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
	holdUp = 150 * time.Millisecond
	// lostAfter is how long after its time a notice must have its end.
	lostAfter = 300 * time.Millisecond
	// crowdedStart is how many further notices make a start slow.
	crowdedStart = 16_000
	// ledgerRoom is the room for a ledger with these, in bytes.
	ledgerRoom = 256 << 20
)

// seedLedger writes a ledger as a killed sender leaves it: the notices given, each with its trips, and as many for a
// destination that takes none as make the start slow.
func (w *world) seedLedger(notices ...ledger.Notice) {
	w.t.Helper()
	l, _, err := ledger.Open(w.state, ledgerRoom)
	w.must(err)
	write := func(n ledger.Notice) {
		w.must(l.Taken(n))
		for _, trip := range n.Ran {
			w.must(l.Trip(n.Number, trip))
		}
	}
	for i := range crowdedStart {
		write(ledger.Notice{Number: rules.NoticeID(i + 1), ID: fmt.Sprint("crowd-", i), Grade: "note", Portfolio: "acme", Destination: 2,
			Until: time.Now().Add(time.Hour)})
	}
	for i, n := range notices {
		n.Number = rules.NoticeID(crowdedStart + i + 1)
		write(n)
	}
	w.must(l.Close())
}

// stand holds the sender up for a span.
func (w *world) stand(span time.Duration) {
	w.t.Helper()
	w.must(w.sender.Process.Signal(syscall.SIGSTOP))
	time.Sleep(span)
	w.must(w.sender.Process.Signal(syscall.SIGCONT))
}

// endsBy checks that the platform is told a notice's end by a time.
func (w *world) endsBy(id string, by time.Time) {
	w.t.Helper()
	for {
		if strings.Contains(strings.Join(w.heard(), "\n"), fmt.Sprintf(`platform: {"message":%q`, id)) {
			return
		}
		if time.Now().After(by) {
			w.t.Fatalf("%s has no end %v after its time\n%s\n%s", id, lostAfter, strings.Join(w.heard(), "\n"), w.log)
		}
		time.Sleep(time.Millisecond)
	}
}

// answersAt makes receivers answer 200 at a time.
func (w *world) answersAt(at time.Time) {
	w.answers(func(*standin.Asked) standin.Reply {
		time.Sleep(time.Until(at))
		return standin.Reply{Status: 200}
	})
}

func TestRestoredNoticeKeepsItsTimeOverASlowStart(t *testing.T) {
	w := begin(t, `disk = "1MB"`, `disk = "256MB"`, `hold = 50`, `hold = 100000`)
	w.kill()
	up := time.Now().Add(6 * time.Second)
	w.seedLedger(ledger.Notice{ID: "late", Grade: "note", Portfolio: "acme", Destination: 1, Until: up})
	w.answersAt(up.Add(10 * time.Millisecond))
	w.start()
	w.await(1, "receiver: POST /events late")
	w.endsBy("late", up.Add(lostAfter))
}

func TestRestoredNoticeIsNotSentAgainOnceItsMarkIsForgotten(t *testing.T) {
	const (
		remembers = 5 * time.Second
		slack     = 50 * time.Millisecond
	)
	w := begin(t, `disk = "1MB"`, `disk = "256MB"`, `hold = 50`, `hold = 100000`, `repeat = "reissuable"`, "repeat = \"numbered\"\nremembers = \"5s\"")
	w.kill()
	ran := map[string]time.Time{}
	var notices []ledger.Notice
	// The marks are forgotten one after the other while the next process starts.
	for left := time.Duration(0); left < 3*time.Second; left += 25 * time.Millisecond {
		id := fmt.Sprint("mark-", left)
		ran[id] = time.Now().Add(left - remembers)
		notices = append(notices, ledger.Notice{ID: id, Grade: "note", Portfolio: "acme", Destination: 1,
			Until: time.Now().Add(10 * time.Second), Ran: []ledger.Trip{{At: ran[id], Zone: "here"}}})
	}
	w.seedLedger(notices...)
	w.answers(func(a *standin.Asked) standin.Reply {
		if late := time.Since(ran[a.ID]) - remembers; late > slack {
			t.Errorf("%s was sent again %v after its mark was forgotten", a.ID, late)
		}
		return standin.Reply{Status: 200}
	})
	w.start()
	time.Sleep(time.Second)
}

// handReadLate hands a notice in that the sender, held up, reads late. It returns the end of the notice's time.
func (w *world) handReadLate(grade, id string, left, late time.Duration) (up time.Time) {
	w.t.Helper()
	w.must(w.sender.Process.Signal(syscall.SIGSTOP))
	up = time.Now().Add(left)
	time.AfterFunc(late, func() { w.sender.Process.Signal(syscall.SIGCONT) })
	w.answersAt(up.Add(late / 2))
	w.hand(grade, id, int(left.Milliseconds()), 1)
	w.await(1, "receiver: POST /events "+id)
	return up
}

func TestAnswerAfterTheTimeOfANoticeReadLateLeavesItAnEnd(t *testing.T) {
	for _, grade := range []string{"note", "order"} {
		for _, late := range []time.Duration{holdUp, 2 * holdUp} {
			t.Run(fmt.Sprint(grade, " ", late), func(t *testing.T) {
				t.Parallel()
				w := begin(t)
				up := w.handReadLate(grade, "late", 2*time.Second, late)
				w.endsBy("late", up.Add(lostAfter))
			})
		}
	}
}

func TestAnswerAfterTheTimeOfANoticeLeavesItAnEndWhenTheSenderLeaves(t *testing.T) {
	w := begin(t)
	up := w.handReadLate("order", "late", 4*time.Second, holdUp)
	time.Sleep(time.Until(up.Add(-2800 * time.Millisecond))) // no trip is begun any more when the answer comes
	w.leave()
	w.start()
	w.await(1, `platform: {"message":"late","outcome":"given_up"`)
}

func TestAnswerHeardLateByASenderHeldUpLeavesItsNoticeAnEnd(t *testing.T) {
	const tries = 4 // of each, as a held-up sender may find its timer due first
	for try := range 2 * tries {
		grade := []string{"note", "order"}[try%2]
		t.Run(fmt.Sprint(grade, " ", try/2), func(t *testing.T) {
			t.Parallel()
			w := begin(t)
			const left = 2 * time.Second
			up := time.Now().Add(left)
			w.answersAt(up.Add(20 * time.Millisecond))
			w.hand(grade, "late", int(left.Milliseconds()), 1)
			w.await(1, "receiver: POST /events late")
			time.Sleep(time.Until(up.Add(-50 * time.Millisecond)))
			w.stand(holdUp)
			w.endsBy("late", up.Add(lostAfter))
		})
	}
}
