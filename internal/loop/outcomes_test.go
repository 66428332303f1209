package loop

import (
	"testing"

	"chuteweir.example/chuteweir/internal/calls"
	"chuteweir.example/chuteweir/rules"
)

// Guards against a late confirmation of a notice's earlier trip that confirms the outcome of its current one.
func TestConfirmationOfAnEarlierTripConfirmsNoLaterOne(t *testing.T) {
	n := &heldNotice{ended: true, unconfirmed: true, trips: 2}
	l := &Loop{notices: map[rules.NoticeID]*heldNotice{1: n}}
	l.applyConfirmation(calls.Confirmation{Notice: 1, Trip: 1})
	if !n.unconfirmed || len(l.events) > 0 {
		t.Errorf("after the confirmation of an earlier trip: unconfirmed %v, events %v, want true and none",
			n.unconfirmed, l.events)
	}
}
