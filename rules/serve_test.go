package rules

import "testing"

func TestRouteThatOnlyRefusesTakesTheMostUrgentNoticeFirst(tt *testing.T) {
	settings := madeUp()
	settings.WholeGoal = 1
	t := start(tt, settings, entry(1, 1))
	t.take(1, NoticeTaken{Destination: 1})
	t.answer(Full, wait(5000))
	t.take(1, NoticeTaken{Destination: 1, Grade: 2})
	t.pass(9000)
}
