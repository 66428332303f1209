package loop

import (
	"testing"

	"chuteweir.example/chuteweir/internal/calls"
	"chuteweir.example/chuteweir/rules"
)

func TestConfirmationOfAnEarlierTripConfirmsNoLaterOne(t *testing.T) {
	n := &held{over: true, unconfirmed: true, trips: 2}
	l := &Loop{notices: map[rules.NoticeID]*held{1: n}}
	l.confirmed(calls.Confirmation{Notice: 1, Trip: 1})
	if !n.unconfirmed || len(l.events) > 0 {
		t.Errorf("unconfirmed %v, events %v", n.unconfirmed, l.events)
	}
}
