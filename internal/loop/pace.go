package loop

import (
	"syscall"
	"time"
)

// The share of the granted processor time from which on turns are spaced, and at which they are spaced fully: below, what
// comes is served at once, since waiting for more would gain a core nothing that it lacks.
const (
	spacedFrom  = 0.2
	spacedFully = 0.6
	lookEvery   = 20 * time.Millisecond
	settling    = 0.3 // of a new look, in the share
)

// pace says how far apart turns begin, by how much of its processor time the sender uses. A turn costs the same for
// one event as for many: a busy sender gathers them, an idle one doesn't let a notice wait.
type pace struct {
	most  time.Duration // between two turns
	cores float64       // granted
	at    time.Time     // of the last look
	used  time.Duration // by then
	share float64
}

// due tells whether the processor time should be looked at.
func (p *pace) due(now time.Time) bool { return now.Sub(p.at) >= lookEvery }

// look takes the processor time used so far. A first look, and one after a clock's step back, only begins a span.
func (p *pace) look(now time.Time, used time.Duration) {
	if span := now.Sub(p.at); !p.at.IsZero() && span > 0 && used >= p.used {
		share := float64(used-p.used) / float64(span) / max(p.cores, 0.01)
		// A long span without a look was a quiet one: it counts for as many looks as fit into it.
		for n := 0; n < 20 && span > 0; n, span = n+1, span-lookEvery {
			p.share += settling * (share - p.share)
		}
	}
	p.at, p.used = now, used
}

// spacing is how long after the beginning of one turn the next may begin.
func (p *pace) spacing() time.Duration {
	part := (p.share - spacedFrom) / (spacedFully - spacedFrom)
	return time.Duration(min(max(part, 0), 1) * float64(p.most))
}

// processorTime is what the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
