package main

import (
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/ledger"
	"chuteweir.example/chuteweir/internal/standin"
)

// stepWallClock makes a killed sender's ledger look as if the wall clock had been stepped since it was written.
func (w *world) stepWallClock(by time.Duration) {
	w.t.Helper()
	const room = 1 << 20
	old, owed, err := ledger.Open(w.state, room)
	w.must(err)
	old.Close()
	fresh, _, err := ledger.Open(w.t.TempDir(), room)
	w.must(err)
	w.state = fresh.Folder()
	for _, n := range owed {
		n.Until = n.Until.Add(-by)
		n.TakenAt.Wall -= by.Milliseconds()
		w.must(fresh.Taken(n))
		for _, trip := range n.Ran {
			trip.At = trip.At.Add(-by)
			w.must(fresh.Trip(n.Number, trip))
		}
	}
	_, err = fresh.Flush()
	w.must(err)
	fresh.Close()
}

func TestHeldNoticeOutlivesAStepOfTheWallClock(t *testing.T) {
	for name, by := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := begin(t)
			w.answers(func(*standin.Asked) standin.Reply { return standin.Reply{Never: true} })
			w.hand("note", "may-repeat", 4000, 1)
			w.await(1, "receiver")
			w.kill()
			w.stepWallClock(by)
			w.hear(nil)
			if by < 0 {
				w.start()
				w.await(1, "platform") // its time ends as if the clock had not been stepped
				return
			}
			w.answers(fine)
			w.start()
			w.await(1, "receiver")
		})
	}
}

func TestHeldNoticeKeepsItsTimeOverAStepOfTheWallClockByLessThanASecond(t *testing.T) {
	const left = 4 * time.Second
	for name, by := range map[string]time.Duration{"forward": 900 * time.Millisecond, "back": -900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := begin(t)
			w.answers(func(*standin.Asked) standin.Reply { return standin.Reply{Never: true} })
			up := time.Now().Add(left)
			w.hand("note", "held", int(left.Milliseconds()), 1)
			w.await(1, "receiver")
			w.kill()
			w.stepWallClock(by)
			w.start()
			w.endsBy("held", up.Add(lostAfter))
			if early := time.Until(up); early > lostAfter {
				t.Errorf("ended %v before its time", early)
			}
		})
	}
}
