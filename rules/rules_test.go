package rules

import "testing"

func TestBreaker(tt *testing.T) {
	t := start(madeUp(), entry(10, 1))
	t.note("five of ten calls fail: the breaker opens")
	t.take(10, NoticeTaken{Destination: 1})
	for i := range 10 {
		t.answer([]Result{Handled, Errored}[i%2])
	}
	t.note("nothing leaves until the reset time is over; what cannot outlast it is dismissed")
	t.take(1, NoticeTaken{Destination: 1, Left: 3000})
	t.pass(4900)
	t.note("a failed trial opens it again")
	t.answer(NotConnected)
	t.pass(4900)
	t.note("three trials succeed, at the pace of a return")
	for range 3 {
		t.answer(Handled)
	}
	t.check(tt)
}

func TestWait(tt *testing.T) {
	t := start(madeUp(), entry(10, 1), entry(11, 1), entry(20, 2))
	t.take(1, NoticeTaken{Destination: 1})
	t.note("a wait holds for every receiver of the destination and for no other destination")
	t.answer(Full, wait(700))
	t.take(1, NoticeTaken{Destination: 1})
	t.take(1, NoticeTaken{Destination: 2})
	t.pass(1000)
	t.check(tt)
}
