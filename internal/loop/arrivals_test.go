package loop

import (
	"testing"
	"time"
)

func TestRequestReadByTheSecondTurnAfterAHoldUpMayHaveWaitedForAllOfIt(t *testing.T) {
	const held = 300 * time.Millisecond
	now := time.Unix(0, 0)
	a := newArrivals(now)
	step := func(span time.Duration) {
		now = now.Add(span)
		a.turn(now)
	}
	for range 100 {
		step(time.Millisecond)
	}
	if waited := a.waited(now); waited > 2*readWithin {
		t.Errorf("waited %v without a hold-up", waited)
	}
	step(held)
	step(time.Millisecond)
	if waited := a.waited(now); waited < held {
		t.Errorf("waited %v, held up for %v", waited, held)
	}
}
