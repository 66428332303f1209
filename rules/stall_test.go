package rules

import "testing"

// stall is how long the made-up sender may be held up between deciding and writing.
const stall Millis = 150

func stalling() Settings {
	settings := madeUp()
	settings.Stall = stall
	return settings
}

func TestNoticeIsNotSentAgainWhenAHoldUpWouldOutlastItsMark(tt *testing.T) {
	remembers := madeUp().Grades[1].RemembersFor
	for wait := remembers - 2*stall; wait < remembers+stall; wait += 10 {
		t := &trace{sender: New(1, stalling())}
		t.turn(ListTold{Whole: true, Entries: []Entry{entry(1, 1)}})
		t.take(1, NoticeTaken{Destination: 1, Grade: 1})
		t.turn(WaitTold{Receiver: 1, Wait: wait})
		t.answer(Errored)
		t.pass(remembers - 2*stall)
		for len(t.trips) == 0 && t.now < 2*remembers {
			t.pass(t.sender.settings.Tick)
		}
		if len(t.trips) > 0 && t.now+stall > remembers {
			tt.Errorf("wait of %.0f: sent again after %.0f of %.0f", wait, t.now, remembers)
		}
	}
}
