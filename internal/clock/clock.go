// Package clock measures by how much the wall clock was stepped between two moments, also across processes. Times
// that are stored for a later process are wall clock times, and a step must not change the durations between them.
package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// minStep is the smallest difference between the clocks that counts as a step. Smaller ones arise because the two
// clocks are read one after the other.
const minStep = 10 * time.Millisecond

// The two clocks are read again if reading them took longer than maxReadTime, because the delay between the readings
// would look like a step. They are read maxReadAttempts times at most.
const (
	maxReadTime     = time.Millisecond
	maxReadAttempts = 10
)

// bootIDFile contains an id of the machine's current boot. The monotonic clock restarts at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// bootIDLength is how many characters of the boot id are stored.
const bootIDLength = 8

// Moment is a time on the wall clock and on the monotonic clock of the machine, in milliseconds.
type Moment struct {
	Wall      int64  `json:"wall"`      // since the Unix epoch
	Monotonic int64  `json:"monotonic"` // since the machine booted
	Boot      string `json:"boot"`      // id of the boot; empty: Monotonic is unknown
}

// Clock reads the wall clock and the monotonic clock of the machine.
type Clock struct{ bootID string }

// New returns a clock of this machine.
func New() Clock {
	text, err := os.ReadFile(bootIDFile)
	if err != nil {
		return Clock{}
	}
	bootID := strings.TrimSpace(string(text))
	return Clock{bootID[:min(len(bootID), bootIDLength)]}
}

// Now returns the current moment. Its Boot is empty if the boot id or the monotonic clock can't be read.
func (c Clock) Now() Moment {
	wall := time.Now()
	monotonic, known := c.monotonic()
	for try := 1; known && time.Since(wall) > maxReadTime && try < maxReadAttempts; try++ {
		wall = time.Now()
		monotonic, known = c.monotonic()
	}
	if !known {
		return Moment{Wall: wall.UnixMilli()}
	}
	return Moment{Wall: wall.UnixMilli(), Monotonic: monotonic, Boot: c.bootID}
}

// monotonic returns the time since the machine booted in milliseconds, and whether it is known.
func (c Clock) monotonic() (elapsed int64, known bool) {
	var now unix.Timespec
	if c.bootID == "" || unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) != nil {
		return 0, false
	}
	return now.Nano() / int64(time.Millisecond), true
}

// StepUntil returns by how much the wall clock was set forward between m and a later moment of the same boot; a
// negative result means that it was set back. It is 0 if the moments can't be compared, and for differences below
// minStep.
func (m Moment) StepUntil(later Moment) time.Duration {
	if m.Boot == "" || m.Boot != later.Boot || later.Monotonic < m.Monotonic {
		return 0
	}
	step := time.Duration((later.Wall-m.Wall)-(later.Monotonic-m.Monotonic)) * time.Millisecond
	if step.Abs() < minStep {
		return 0
	}
	return step
}

// Until returns the time between m and a later moment: by the monotonic clock within one boot, else by the wall clock. It
// is never negative.
func (m Moment) Until(later Moment) time.Duration {
	elapsed := later.Wall - m.Wall
	if m.Boot != "" && m.Boot == later.Boot {
		elapsed = later.Monotonic - m.Monotonic
	}
	return time.Duration(max(elapsed, 0)) * time.Millisecond
}
