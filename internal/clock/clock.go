// Package clock tells by how much the wall clock was stepped between two moments, also across processes: times that outlive
// a process are kept by the wall clock, and spans between them must not change with it.
package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// leastStep is the least difference between the clocks that counts as a step. Less is drift, or a clock being slewed.
const leastStep = time.Second

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
func (c Clock) Now(now time.Time) Moment {
	var monotonic unix.Timespec
	if c.boot == "" || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return Moment{Wall: now.UnixMilli()}
	}
	return Moment{Wall: now.UnixMilli(), Monotonic: monotonic.Nano() / int64(time.Millisecond), Boot: c.boot}
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
