package loop

import (
	"syscall"
	"time"
)

// Turns are spaced out once the sender uses more than spacingFromShare of its granted processor time, and by the
// full spacing from fullSpacingShare on. Below, events are served at once: saving processor time gains nothing
// while enough of it is free.
const (
	spacingFromShare = 0.2
	fullSpacingShare = 0.6
	sampleInterval   = 20 * time.Millisecond
	smoothingFactor  = 0.3 // weight of a new sample in smoothedShare
)

// pacer determines the time between the beginnings of turns from the share of its processor time that the sender
// uses. A turn costs about the same for one event as for many: a busy sender batches events, and an idle one
// doesn't delay notices.
type pacer struct {
	maxSpacing    time.Duration // between the beginnings of two turns
	cores         float64       // granted processor cores, may be a fraction
	sampledAt     time.Time     // time of the last sample
	usedAtSample  time.Duration // processor time used until the last sample
	smoothedShare float64       // exponential moving average of the used share of the granted time
}

// sampleDue reports whether it is time for another sample.
func (p *pacer) sampleDue(now time.Time) bool { return now.Sub(p.sampledAt) >= sampleInterval }

// sample updates the share with the processor time used so far. The first sample, and one after a clock went back,
// only starts a new interval.
func (p *pacer) sample(now time.Time, used time.Duration) {
	if elapsed := now.Sub(p.sampledAt); !p.sampledAt.IsZero() && elapsed > 0 && used >= p.usedAtSample {
		share := float64(used-p.usedAtSample) / float64(elapsed) / max(p.cores, 0.01)
		// A long interval without a sample was idle. It counts as up to 20 samples, one per sampleInterval.
		for n := 0; n < 20 && elapsed > 0; n, elapsed = n+1, elapsed-sampleInterval {
			p.smoothedShare += smoothingFactor * (share - p.smoothedShare)
		}
	}
	p.sampledAt, p.usedAtSample = now, used
}

// spacing returns the shortest time from the beginning of one turn to the beginning of the next.
func (p *pacer) spacing() time.Duration {
	fraction := (p.smoothedShare - spacingFromShare) / (fullSpacingShare - spacingFromShare)
	return time.Duration(min(max(fraction, 0), 1) * float64(p.maxSpacing))
}

// processorTime returns the processor time that the process has used, or 0 if it is unknown.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
