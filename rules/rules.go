// Package rules holds every decision of a sender. Make one with New, then call Decide whenever something
// happened: it takes the time and the events and returns the actions, to be carried out in their order.
// The interface (ids, Settings, events, actions) is in api.go; docs/design.md tells why things are so.
package rules

import "math"

const (
	// The breaker's figures, from the design page.
	statisticsWindow              Millis = 30_000
	resetTimeout                  Millis = 5_000
	minimumCallsBeforeCalculation        = 10
	failureThreshold                     = 5
	halfOpenMaxCalls                     = 3

	// The delay window's steps.
	nearBestRatio  = 2.0  // a mean delay up to so many times the best counts as near it
	slowRatio      = 4.0  // from here on it counts as slow
	windowDecrease = 0.9  // what is left of the window after a slow answer
	bestDelayDrift = 0.01 // how far each answer draws the best delay up to the mean

	overdueDelays           = 6.0  // a call out so many times the mean delay is overdue
	silentTimeouts          = 6.0  // so many patiences owed by all calls together make a route silent
	cancelAge               = 2.0  // a call out so many times as long as makes it overdue may be called off for its slot
	tokenShare              = 0.15 // a receiver's credits, as a share of the slots
	deferralDiscount        = 0.8  // how much of what a notice would still earn a quoted time later counts against haste
	suspectSlotShare        = 0.75 // of the slots that all doubtful routes may hold together
	nearlyFullShare         = 0.9  // of the hold limit: from here on the least promising make room
	recoveryRateFactor      = 1.5  // of the return budget, among many: see docs/design.md on why it may be over one
	fewSenders              = 4.0  // so few senders each use all of their part, and it may not be over one
	servedShareScale        = 0.2  // how near a grade's served share must be to the worst to count with it
	confirmingOverloadTimes = 2.0  // an outage is sure after so many falls without a success
	burstShare              = 0.25 // of a fall: what was not sent under a limit for so long may be made up
	limitShareDecrease      = 0.7  // what is left of this sender's share of a limit after a refusal, leastShare at least
	minLimitShare           = 1.0 / 16
	excessLossShare         = 0.1      // of the calls on idle connections lost, beyond what others lose, is suspect
	ampleLimitRemaining     = 0.5      // of a limit: a call refused with more left was not refused for the limit
	idleLossFactor          = 3.0      // so many times what is lost on others
	keepIdleCalls           = 1.5      // calls while an idle connection would last, that make it worth keeping
	keepIdleCallsPerSender  = 0.25     // the same, for each sender, where connections are refused
	refusedConnectionShare  = 1.0 / 32 // of the calls to a kind: more refused connections are too many
	minCallsPerKind         = 8        // too little to know a kind by

	servedRateKnownAfter Millis = statisticsWindow / 3 // a route's usual rate is known

	never = Millis(math.MaxFloat64)
)

// New starts a sender that knows only its settings and its seed.
func New(seed uint64, settings Settings) *Sender {
	s := newSender(seed, settings)
	s.maxTokens = max(math.Ceil(tokenShare*float64(settings.Slots)), 2)
	s.maxSuspectSlots = max(int(suspectSlotShare*float64(settings.Slots)), 1)
	if settings.ListOnAsk {
		s.watchListAt = 0
	}
	return s
}

// Decide takes what happened and returns what is to be done.
func (s *Sender) Decide(now Millis, events []Event) []Action {
	s.now, s.actions, s.newCalls, s.turnNumber = now, nil, nil, s.turnNumber+1
	for _, e := range events {
		switch e := e.(type) {
		case NoticeTaken:
			s.acceptNotice(e)
		case TripEnded:
			s.endTrip(e)
		case WaitTold:
			if rc := s.receivers[e.Receiver]; rc != nil {
				s.applyRequestedWait(rc.route, e.Wait)
			}
		case OutcomeConfirmed:
			s.confirmOutcome(e)
		case OutcomeDoubted:
			s.retractOutcome(e)
		case SurplusHeard:
			s.handleUnsolicitedBytes(e)
		case NoticeWithdrawn:
			if n := s.notices[e.Notice]; n != nil {
				s.releaseNotice(n)
			}
		case ListTold:
			s.updateList(e)
		case ListFailed:
			s.watchListAt = s.now + s.settings.AskWithin/16*Millis(1+s.random())
		}
	}
	if s.now >= s.watchListAt {
		s.watchListAt = never
		s.emit(WatchList{})
	}
	s.cleanUp()
	s.updateBreakers()
	s.decideConnectedCalls(events)
	s.updateGradeWeights()
	s.endUndeliverable()
	s.sendNotices()
	s.freeSpace()
	s.setTimer()
	return s.actions
}

func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Sender) updateList(e ListTold) {
	if e.Whole {
		for _, rc := range s.receivers {
			rc.status = Gone
		}
	}
	for _, entry := range e.Entries {
		rc := s.receivers[entry.Receiver]
		switch {
		case rc == nil && entry.Standing == Gone:
			continue
		case rc == nil:
			rc = s.addReceiver(entry, max(float64(s.settings.Slots)/2, 1))
		}
		if rc.status = entry.Standing; s.settings.ListedError >= 0 && rc.status != Gone {
			rc.route.listedRate = entry.ListedRate / 1000 / (1 + s.settings.ListedError)
		}
	}
}
