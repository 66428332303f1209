package loop

import "time"

// readWithin is how long bytes that have come may take to be read in a process that runs.
const readWithin = 50 * time.Millisecond

// arrivals bounds how long what a turn has read may have waited. A process that was held up finds bytes that came meanwhile,
// and it may find its timers due before it finds the bytes: so a turn tells that all that came before it was read only once
// a later one has had the time to read it.
type arrivals struct {
	allReadBy time.Time // what came before was read
	next      time.Time // the turn that allReadBy becomes
}

func newArrivals(now time.Time) arrivals { return arrivals{allReadBy: now, next: now} }

// turn notes the beginning of a turn.
func (a *arrivals) turn(now time.Time) {
	if now.Sub(a.next) >= readWithin {
		a.allReadBy, a.next = a.next, now
	}
}

// waited is how long what is read now may have waited.
func (a *arrivals) waited(now time.Time) time.Duration { return now.Sub(a.allReadBy) }
