package audit

import (
	"testing"

	"chuteweir.example/chuteweir/rules"
)

// A delivered notice may also have a final outcome, but only where the sender may retract the response that delivered
// it: the response may belong to an earlier call of its connection if that connection ended soon afterwards.
func TestFinalOutcomeAfterDeliveryNeedsRetractableResponse(t *testing.T) {
	for name, c := range map[string]struct {
		before  int
		ended   rules.Millis
		allowed bool
	}{
		"used connection that ended soon":    {before: 1, ended: 3300, allowed: true},
		"used connection that ended later":   {before: 1, ended: 3400},
		"used connection that goes on":       {before: 1},
		"first call on one that ended soon":  {ended: 3300},
		"first call on one that ended later": {ended: 3400},
	} {
		t.Run(name, func(t *testing.T) {
			record := NewRecord()
			record.Submitted(Submission{ID: "a", At: 900, Until: 9000})
			record.Answered("a", 202, 901)
			record.Call(Call{ID: "a", First: 1000, Last: 1000, EarlierCalls: c.before, Ran: true,
				Status: 200, Delivered: true, Replied: 1100, ConnectionEnded: c.ended})
			record.Outcome(FinalOutcome{ID: "a", Outcome: "given_up", At: 3500})
			breaches := record.Check(rules.Settings{OverloadTime: 2000, Grades: []rules.Grade{{}}, TripLimit: 1},
				DefaultTolerances, 9999)
			if allowed := len(breaches) == 0; allowed != c.allowed {
				t.Errorf("got allowed %v, expected the opposite; breaches: %v", allowed, breaches)
			}
		})
	}
}
