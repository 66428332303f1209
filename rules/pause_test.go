package rules

import "testing"

// longestPause is the longest pause of the process, between a decision and the write, that the test's sender
// expects.
const longestPause Millis = 150

// settingsWithPause returns testSettings with longestPause.
func settingsWithPause() Settings {
	settings := testSettings()
	settings.MaxPause = longestPause
	return settings
}

// A numbered notice may be sent again only while its receiver remembers its mark, even when the process
// pauses before it writes the call.
func TestNoticeIsNotSentAgainWhenAPauseWouldOutlastItsMark(t *testing.T) {
	rememberedFor := testSettings().Grades[1].RemembersFor
	for wait := rememberedFor - 2*longestPause; wait < rememberedFor+longestPause; wait += 10 {
		trace := &decisionTrace{sender: New(1, settingsWithPause())}
		trace.runTurn(ListUpdated{Complete: true, Entries: []Entry{entry(1, 1)}})
		trace.accept(1, NoticeAccepted{Destination: 1, Grade: 1})
		trace.runTurn(WaitRequested{Receiver: 1, Wait: wait})
		trace.endTrip(Errored)
		trace.advance(rememberedFor - 2*longestPause)
		for len(trace.outstanding) == 0 && trace.now < 2*rememberedFor {
			trace.advance(trace.sender.settings.Tick)
		}
		if len(trace.outstanding) > 0 && trace.now+longestPause > rememberedFor {
			t.Errorf("requested wait of %.0f ms: sent again after %.0f ms, too late for the mark (%.0f ms)",
				wait, trace.now, rememberedFor)
		}
	}
}
