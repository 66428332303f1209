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
	nearBest  = 2.0  // a mean delay up to so many times the best counts as near it
	farBest   = 4.0  // from here on it counts as slow
	narrowing = 0.9  // what is left of the window after a slow answer
	bestDrift = 0.01 // how far each answer draws the best delay up to the mean

	overdue     = 6.0  // a call out so many times the mean delay is overdue
	silent      = 6.0  // so many patiences owed by all calls together make a route silent
	hopeless    = 2.0  // a call out so many times as long as makes it overdue may be called off for its slot
	creditPart  = 0.15 // a receiver's credits, as a share of the slots
	foresight   = 0.8  // how much of what a notice would still earn a quoted time later counts against haste
	doubtPart   = 0.75 // of the slots that all doubtful routes may hold together
	nearlyFull  = 0.9  // of the hold limit: from here on the least promising make room
	ownPart     = 1.5  // of the return budget, among many: see docs/design.md on why it may be over one
	few         = 4.0  // so few senders each use all of their part, and it may not be over one
	closeServed = 0.2  // how near a grade's served share must be to the worst to count with it
	sureAfter   = 2.0  // an outage is sure after so many falls without a success
	burstPart   = 0.25 // of a fall: what was not sent under a limit for so long may be made up
	yielding    = 0.7  // what is left of this sender's share of a limit after a refusal, leastShare at least
	leastShare  = 1.0 / 16
	breaking    = 0.1      // of the calls on idle connections lost, beyond what others lose, is suspect
	muchLeft    = 0.5      // of a limit: a call refused with more left was not refused for the limit
	farWorse    = 3.0      // so many times what is lost on others
	keeping     = 1.5      // calls while an idle connection would last, that make it worth keeping
	evenKeeping = 0.25     // the same, for each sender, where connections are refused
	tooMany     = 1.0 / 32 // of the calls to a kind: more refused connections are too many
	fewCalls    = 8        // too little to know a kind by

	knownAfter Millis = statisticsWindow / 3 // a route's usual rate is known

	never = Millis(math.MaxFloat64)
)

// New starts a sender that knows only its settings and its seed.
func New(seed uint64, settings Settings) *Sender {
	s := remember(seed, settings)
	s.credits = max(math.Ceil(creditPart*float64(settings.Slots)), 2)
	s.doubted = max(int(doubtPart*float64(settings.Slots)), 1)
	if settings.ListOnAsk {
		s.watchAt = 0
	}
	return s
}

// Decide takes what happened and returns what is to be done.
func (s *Sender) Decide(now Millis, events []Event) []Action {
	s.now, s.actions, s.fresh, s.turns = now, nil, nil, s.turns+1
	for _, e := range events {
		switch e := e.(type) {
		case NoticeTaken:
			s.take(e)
		case TripEnded:
			s.tripEnded(e)
		case WaitTold:
			if rc := s.receivers[e.Receiver]; rc != nil {
				s.waitTold(rc.route, e.Wait)
			}
		case OutcomeConfirmed:
			s.outcomeConfirmed(e)
		case OutcomeDoubted:
			s.outcomeDoubted(e)
		case SurplusHeard:
			s.surplusHeard(e)
		case NoticeWithdrawn:
			if n := s.notices[e.Notice]; n != nil {
				s.forget(n)
			}
		case ListTold:
			s.listTold(e)
		case ListFailed:
			s.watchAt = s.now + s.settings.AskWithin/16*Millis(1+s.random())
		}
	}
	if s.now >= s.watchAt {
		s.watchAt = never
		s.do(WatchList{})
	}
	s.tidy()
	s.stepBreakers()
	s.connectionsUp(events)
	s.weighGrades()
	s.giveUp()
	s.serve()
	s.makeRoom()
	s.setTimer()
	return s.actions
}

func (s *Sender) do(a Action) { s.actions = append(s.actions, a) }

func (s *Sender) listTold(e ListTold) {
	if e.Whole {
		for _, r := range s.receivers {
			r.standing = Gone
		}
	}
	for _, entry := range e.Entries {
		r := s.receivers[entry.Receiver]
		switch {
		case r == nil && entry.Standing == Gone:
			continue
		case r == nil:
			r = s.place(entry, max(float64(s.settings.Slots)/2, 1))
		}
		if r.standing = entry.Standing; s.settings.ListedError >= 0 && r.standing != Gone {
			r.route.listedRate = entry.ListedRate / 1000 / (1 + s.settings.ListedError)
		}
	}
}
