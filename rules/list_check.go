package rules

// This file delays sending while the receiver list may be out of date. A receiver that the list names may
// have gone, and a receiver of another destination may have taken its address.

const (
	// maxFirstListWait is the longest wait for the first verification of the list by a process. By then
	// discovery has told of every change that it knew at the start, unless it is down.
	maxFirstListWait Millis = 6_000
	// maxListWait is the longest wait for a later verification, since the list was up to date a short time
	// before, and for the first one while the hold is nearly full, since notices would be dismissed to free
	// space.
	maxListWait Millis = 500
	// listWaitShare is the share of the time left for sending a notice that it may wait for the verification.
	listWaitShare = 0.5
	// maxRewatchPause is half of the longest pause after a failed watch before the next one, where the
	// platform tells changes only to senders that ask: it counts them as told after maxFirstListWait.
	maxRewatchPause Millis = 1_000
)

// awaitListVerification delays sending until the list is verified. Notices that are sendable at once become
// restricted, since each of them waits for a time of its own.
func (s *Sender) awaitListVerification() {
	if s.listVerification.pending {
		return
	}
	s.listVerification.pending, s.listVerification.since = true, s.now
	for _, d := range s.waitingDestinations {
		for _, n := range d.waiting {
			s.removeFromList(n)
			s.addToList(n)
		}
	}
}

// endListVerification ends the delay: the list is up to date.
func (s *Sender) endListVerification() {
	s.listVerification = listVerification{succeededBefore: true}
}

// listWaitEnd returns until when a notice waits at the latest for the verification of the list: long enough
// for discovery to answer even if it is slow, but with time left to deliver the notice by the list as it is,
// since discovery may be down. The longer the verification has been pending, the shorter is the wait of a new
// notice, so that the notices do not leave all at once when the longest wait is over.
func (s *Sender) listWaitEnd(n *notice) Millis {
	if !s.listVerification.pending {
		return 0
	}
	longest := maxFirstListWait
	if s.listVerification.succeededBefore || s.nearlyFull() {
		longest = maxListWait
	}
	from, latestSend := max(s.listVerification.since, n.acceptedAt), s.answerBy(n)
	if n.mayHaveRun && n.grade.Repeat == Numbered {
		latestSend = min(latestSend, s.markUnsafeFrom(n))
	}
	remainingShare := 1 - (from-s.listVerification.since)/(2*longest)
	return from + min(longest, listWaitShare*max(latestSend-from, 0))*max(remainingShare, 0)
}

// delayedUntil returns the end of the delays of a notice that do not depend on its receiver: the delay after
// a failed trip, and the wait for the verification of the list.
func (s *Sender) delayedUntil(n *notice) Millis { return max(n.notBefore, s.listWaitEnd(n)) }
