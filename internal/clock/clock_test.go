package clock

import (
	"testing"
	"time"
)

// Guards against steps that go unnoticed, and against reading errors, reboots and unknown boots that are taken for
// steps.
func TestStepOfTheWallClockIsDetected(t *testing.T) {
	at := Moment{Wall: 5_000_000, Monotonic: 10_000, Boot: "a"}
	for _, c := range []struct {
		later Moment
		want  time.Duration
	}{
		{Moment{Wall: 5_002_000, Monotonic: 12_000, Boot: "a"}, 0},
		{Moment{Wall: 5_002_005, Monotonic: 12_000, Boot: "a"}, 0},
		{Moment{Wall: 5_002_100, Monotonic: 12_000, Boot: "a"}, 100 * time.Millisecond},
		{Moment{Wall: 5_001_900, Monotonic: 12_000, Boot: "a"}, -100 * time.Millisecond},
		{Moment{Wall: 8_602_000, Monotonic: 12_000, Boot: "a"}, time.Hour},
		{Moment{Wall: 1_402_000, Monotonic: 12_000, Boot: "a"}, -time.Hour},
		{Moment{Wall: 8_602_000, Monotonic: 12_000, Boot: "b"}, 0},
		{Moment{Wall: 8_602_000, Monotonic: 9_000, Boot: "a"}, 0},
		{Moment{Wall: 8_602_000}, 0},
	} {
		if got := at.StepUntil(c.later); got != c.want {
			t.Errorf("step until %+v: got %v, want %v", c.later, got, c.want)
		}
	}
}
