package rules

import "testing"

// sendsAtOnce returns how many of several new notices a sender sends to a destination at once.
func sendsAtOnce(sender *Sender, now Millis, destination DestinationID) int {
	var events []Event
	for id := range NoticeID(6) {
		events = append(events, NoticeAccepted{Notice: 100 + id, Destination: destination, TimeLeft: 20_000})
	}
	sends := 0
	for _, a := range sender.Decide(now, events) {
		if _, ok := a.(Send); ok {
			sends++
		}
	}
	return sends
}

// Guards against an outage that is forgotten when the receivers of its route leave the list and come back.
func TestOutageOutlivesAbsenceFromTheList(t *testing.T) {
	for name, c := range map[string]struct {
		kind   KindID
		second ReceiverID // the receiver that is listed afterwards
	}{
		"same receiver":                  {0, 1},
		"another receiver":               {0, 2},
		"receiver that is its own route": {1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			settings := settingsWithSenders(8)
			settings.Kinds[1].PerCall = 1
			sender := New(1, settings)
			listed := func(id ReceiverID, status ReceiverStatus) ListUpdated {
				return ListUpdated{Complete: true, Entries: []Entry{{Receiver: id, Destination: 1, Kind: c.kind,
					Status: status, ListedRate: 20}}}
			}
			sender.Decide(0, []Event{listed(1, Ready), NoticeAccepted{Notice: 1, Destination: 1, TimeLeft: 9000}})
			sender.Decide(100, []Event{TripEnded{Notice: 1, Receiver: 1, Result: Refused, RequestedWait: 6000}})
			now := Millis(200)
			sender.Decide(now, []Event{ListUpdated{Complete: true}})
			for ; now < 60_000; now += 500 {
				sender.Decide(now, []Event{TimerDue{}})
			}
			sender.Decide(now, []Event{listed(c.second, Ready)})
			if sends := sendsAtOnce(sender, now, 1); sends > 1 {
				t.Errorf("%d calls were sent at once to a destination in an outage, want at most 1", sends)
			}
			if len(sender.routes) != 1 {
				t.Errorf("%d routes, want the one that was known before", len(sender.routes))
			}
		})
	}
}

// Guards against unbounded memory for outages of routes that never return to the list.
func TestOutageOfAnUnlistedRouteIsForgottenInTheEnd(t *testing.T) {
	sender := New(1, testSettings())
	sender.Decide(0, []Event{ListUpdated{Complete: true, Entries: []Entry{entry(1, 1)}},
		NoticeAccepted{Notice: 1, Destination: 1, TimeLeft: 9000}})
	sender.Decide(100, []Event{TripEnded{Notice: 1, Receiver: 1, Result: Refused, RequestedWait: 6000}})
	sender.Decide(200, []Event{ListUpdated{Complete: true}})
	forgotten := false
	for now := Millis(1000); now < 2*OutageRetention; now += 5000 {
		for _, a := range sender.Decide(now, []Event{TimerDue{}}) {
			if changed, ok := a.(RouteStateChanged); ok && changed.State == (RouteState{}) {
				forgotten = true
			}
		}
	}
	if len(sender.routes) > 0 || len(sender.receivers) > 0 || !forgotten {
		t.Errorf("%d routes and %d receivers are left, removal reported: %v; want none, and true",
			len(sender.routes), len(sender.receivers), forgotten)
	}
}
