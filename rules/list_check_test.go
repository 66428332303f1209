package rules

import "testing"

// startUnverifiedTrace starts a trace with a receiver list that is not verified yet.
func startUnverifiedTrace(t *testing.T, settings Settings, entries ...Entry) *decisionTrace {
	trace := &decisionTrace{sender: New(0x9E3779B97F4A7C15, settings)}
	trace.runTurn(ListUpdated{Complete: true, Entries: entries}, ListUnverified{})
	t.Cleanup(func() { trace.compareWithFile(t) })
	return trace
}

// Guards against sending by a receiver list that discovery has not confirmed.
func TestNothingIsSentBeforeTheListIsVerified(t *testing.T) {
	trace := startUnverifiedTrace(t, testSettings(), entry(1, 1), entry(2, 2))
	trace.accept(2, NoticeAccepted{Destination: 1})
	trace.accept(2, NoticeAccepted{Destination: 1, Key: 7, Grade: 1})
	trace.advance(1000)
	trace.note("discovery replaces the receiver of destination 1")
	gone := entry(1, 1)
	gone.Status = Gone
	trace.runTurn(ListUpdated{Entries: []Entry{gone, entry(3, 1)}}, ListVerified{})
	trace.note("from now on nothing waits")
	trace.accept(1, NoticeAccepted{Destination: 2})
}

// Guards against notices that wait for ever, or too long for their delivery, while discovery does not answer.
func TestNoticesWaitForTheListForHalfOfTheirTimeAtMost(t *testing.T) {
	trace := startUnverifiedTrace(t, testSettings(), entry(1, 1), entry(2, 2))
	trace.accept(1, NoticeAccepted{Destination: 1, TimeLeft: 2000})
	trace.accept(1, NoticeAccepted{Destination: 1, TimeLeft: 8000})
	trace.accept(1, NoticeAccepted{Destination: 1, TimeLeft: 20_000})
	trace.advance(4500)
	trace.accept(1, NoticeAccepted{Destination: 1, TimeLeft: 1000})
	trace.advance(7600)
	trace.note("after twice the longest wait nothing waits any more")
	trace.accept(1, NoticeAccepted{Destination: 2, TimeLeft: 1000})
}

// Guards against a wait that ends late since no timer is set for its end.
func TestTimerIsSetForTheEndOfTheWaitForTheList(t *testing.T) {
	trace := startUnverifiedTrace(t, testSettings(), entry(1, 1))
	trace.accept(1, NoticeAccepted{Destination: 1, TimeLeft: 2000})
	trace.wakeByTimers(3000)
}

// Guards against a long pause of all sending when a watch of the list fails in a running process.
func TestWaitForALaterVerificationIsShort(t *testing.T) {
	trace := startUnverifiedTrace(t, testSettings(), entry(1, 1))
	trace.runTurn(ListVerified{})
	trace.advance(1000)
	trace.note("one notice is sendable and one is in flight when the watch fails")
	trace.accept(1, NoticeAccepted{Destination: 1})
	trace.runTurn(ListUnverified{}, NoticeAccepted{Notice: 50, Destination: 1, TimeLeft: 20_000})
	trace.runTurn(ConnectionUp{Notice: 1})
	trace.endTrip(Recalled)
	trace.advance(200)
	trace.note("a further failure does not extend the wait")
	trace.runTurn(ListUnverified{})
	trace.advance(400)
}

// Guards against ending a notice because a list that may be out of date has no receiver for a repeat of it.
func TestNumberedNoticeIsNotEndedByAnUnverifiedList(t *testing.T) {
	trace := startUnverifiedTrace(t, testSettings(), entry(2, 2))
	mayHaveRun := NoticeAccepted{Destination: 1, Grade: 1, Trips: 1, PossibleRuns: 1, FirstRunAgo: 1000}
	trace.accept(1, mayHaveRun)
	trace.advance(500)
	trace.runTurn(ListUpdated{Entries: []Entry{entry(1, 1)}}, ListVerified{})
	trace.note("its mark is remembered for another 3 s: it waits for half of that, and is ended for lack of a receiver")
	trace.runTurn(ListUnverified{})
	trace.sender.listVerification.succeededBefore = false
	mayHaveRun.FirstRunAgo, mayHaveRun.Destination = 3000, 9
	trace.accept(1, mayHaveRun)
	trace.advance(2000)
	trace.note("one that must not be repeated is ended at once")
	trace.accept(1, NoticeAccepted{Destination: 1, Grade: 2, Trips: 1, PossibleRuns: 1, FirstRunAgo: 1000})
}

// Guards against dismissing notices for lack of space that could be sent by the list as it is.
func TestWaitForTheListIsShortWhileTheHoldIsNearlyFull(t *testing.T) {
	settings := testSettings()
	settings.HoldLimit = 4
	trace := startUnverifiedTrace(t, settings, entry(1, 1))
	trace.accept(3, NoticeAccepted{Destination: 1})
	trace.advance(600)
	trace.note("the hold is full: what can be sent is sent before the least urgent is dismissed")
	trace.accept(1, NoticeAccepted{Destination: 1})
}

// Guards against a burst of all that was held when the longest wait is over.
func TestNoticesDoNotLeaveAtOnceAfterTheWaitForTheList(t *testing.T) {
	const interval, window, rounds = 50, 500, 300 // ms, ms, notices
	settings := testSettings()
	settings.Slots, settings.HoldLimit, settings.OverloadTime = 400, 0, 2000
	trace := &decisionTrace{sender: New(1, settings)}
	trace.runTurn(ListUpdated{Complete: true, Entries: []Entry{entry(1, 1)}}, ListUnverified{})
	var sentAt []Millis
	for range rounds {
		trace.accept(1, NoticeAccepted{Destination: 1, TimeLeft: 12_000})
		for step := 0; step < interval; step += int(settings.Tick) {
			trace.advance(settings.Tick)
			for len(trace.outstanding) > 0 {
				sentAt = append(sentAt, trace.now)
				trace.endTrip(Handled)
			}
		}
	}
	for i, at := range sentAt {
		inWindow := 0
		for _, later := range sentAt[i:] {
			if later < at+window {
				inWindow++
			}
		}
		if most := 3 * window / interval; inWindow > most {
			t.Fatalf("%d calls within %d ms of %.0f, want at most %d, three times as many as are accepted", inWindow, window,
				at, most)
		}
	}
	if len(sentAt) < rounds*9/10 {
		t.Errorf("%d calls for %d notices", len(sentAt), rounds)
	}
}

// Guards against a list that stays unverified for long after one failure where lists are asked for.
func TestListIsAskedForAgainSoonWhateverTheSettingsAllow(t *testing.T) {
	settings := testSettings()
	settings.WatchOnRequest, settings.RewatchWithin = true, 600_000
	trace := startUnverifiedTrace(t, settings, entry(1, 1))
	trace.runTurn(ListFailed{})
	trace.advance(2500)
}
