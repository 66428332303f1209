package loop

import (
	"testing"
	"time"
)

// Guards against a read delay that is underestimated after a pause of the process: the first turn afterwards may
// run before the bytes that arrived in the pause are read, and the second one reads them.
func TestReadDelayInTheSecondTurnAfterAPauseCoversThePause(t *testing.T) {
	const pause = 300 * time.Millisecond
	now := time.Unix(0, 0)
	a := newArrivals(now)
	step := func(elapsed time.Duration) {
		now = now.Add(elapsed)
		a.startTurn(now)
	}
	for range 100 {
		step(time.Millisecond)
	}
	if waited := a.maxReadDelay(now); waited > 2*normalReadTime {
		t.Errorf("read delay of up to %v without a pause, want at most twice normalReadTime", waited)
	}
	step(pause)
	step(time.Millisecond)
	if waited := a.maxReadDelay(now); waited < pause {
		t.Errorf("read delay of up to %v after a pause, want at least the pause of %v", waited, pause)
	}
}
