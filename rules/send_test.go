package rules

import "testing"

func TestRouteThatOnlyRefusesTakesTheMostUrgentNoticeFirst(t *testing.T) {
	settings := testSettings()
	settings.TotalCreditWeight = 1
	trace := startTrace(t, settings, entry(1, 1))
	trace.accept(1, NoticeAccepted{Destination: 1})
	trace.endTrip(Refused, requestWait(5000))
	trace.accept(1, NoticeAccepted{Destination: 1, Grade: 2})
	trace.advance(9000)
}
