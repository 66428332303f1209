package loop

import "time"

// normalReadTime is the longest time that received bytes stay unread while the process is not paused.
const normalReadTime = 50 * time.Millisecond

// arrivals computes an upper bound of the time that bytes read in this turn waited in their sockets. After a pause
// of the process, bytes that arrived during the pause are still unread, and the first turn may be started by a
// timer that expired in the meantime, before those bytes are read. So everything that arrived before a turn counts
// as read only from a turn that begins at least normalReadTime later.
type arrivals struct {
	allReadBefore     time.Time // bytes that arrived before this time have been read
	nextAllReadBefore time.Time // beginning of the turn that becomes allReadBefore next
}

// newArrivals returns arrivals for a process that has read everything by now.
func newArrivals(now time.Time) arrivals { return arrivals{allReadBefore: now, nextAllReadBefore: now} }

// startTurn records the beginning of a turn.
func (a *arrivals) startTurn(now time.Time) {
	if now.Sub(a.nextAllReadBefore) >= normalReadTime {
		a.allReadBefore, a.nextAllReadBefore = a.nextAllReadBefore, now
	}
}

// maxReadDelay returns the longest time that bytes read now may have waited.
func (a *arrivals) maxReadDelay(now time.Time) time.Duration { return now.Sub(a.allReadBefore) }
