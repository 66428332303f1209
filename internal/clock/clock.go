// Package clock tells by how much the wall clock was stepped between two moments, also across processes: times that outlive
// a process are kept by the wall clock, and spans between them must not change with it.
package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// leastStep is the least difference between the clocks that counts as a step. Less comes of reading one after the other.
const leastStep = 10 * time.Millisecond

// The two clocks are read again if that took longer than readWithin, so many times at the most.
const (
	readWithin = time.Millisecond
	readTries  = 10
)

// bootFile names the present boot of the machine: the monotonic clock begins anew with each.
const bootFile = "/proc/sys/kernel/random/boot_id"

// bootLength is how many characters of the boot's name are kept.
const bootLength = 8

// Moment is a time by both clocks of the machine, in milliseconds.
type Moment struct {
	Wall      int64  `json:"wall"`      // since 1970
	Monotonic int64  `json:"monotonic"` // since the boot
	Boot      string `json:"boot"`
}

// Clock reads both clocks.
type Clock struct{ boot string }

// New makes a clock of this machine.
func New() Clock {
	text, err := os.ReadFile(bootFile)
	if err != nil {
		return Clock{}
	}
	boot := strings.TrimSpace(string(text))
	return Clock{boot[:min(len(boot), bootLength)]}
}

// Now is the present moment. Without a monotonic clock that processes share, Boot is empty.
func (c Clock) Now() Moment {
	wall := time.Now()
	monotonic, known := c.monotonic()
	for try := 1; known && time.Since(wall) > readWithin && try < readTries; try++ {
		wall = time.Now()
		monotonic, known = c.monotonic()
	}
	if !known {
		return Moment{Wall: wall.UnixMilli()}
	}
	return Moment{Wall: wall.UnixMilli(), Monotonic: monotonic, Boot: c.boot}
}

// monotonic is the time since the boot in milliseconds, if it can be told.
func (c Clock) monotonic() (at int64, known bool) {
	var spec unix.Timespec
	if c.boot == "" || unix.ClockGettime(unix.CLOCK_MONOTONIC, &spec) != nil {
		return 0, false
	}
	return spec.Nano() / int64(time.Millisecond), true
}

// Stepped is by how much the wall clock was set forward from one moment to a later one of the same boot; below 0: back.
// It is 0 where nothing tells, and for differences that are no step.
func (m Moment) Stepped(later Moment) time.Duration {
	if m.Boot == "" || m.Boot != later.Boot || later.Monotonic < m.Monotonic {
		return 0
	}
	step := time.Duration((later.Wall-m.Wall)-(later.Monotonic-m.Monotonic)) * time.Millisecond
	if step.Abs() < leastStep {
		return 0
	}
	return step
}
