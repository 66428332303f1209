package loop

import (
	"math"
	"slices"
	"strconv"
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/intake"
	"chuteweir.example/chuteweir/internal/ledger"
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// This file accepts or rejects the notices that clients submit, and answers the clients.

// createNotices turns the requests received since the last turn into notices, as far as there is capacity, and
// rejects the others. A request whose id was accepted before is rejected: its outcome would be attributed to the
// earlier notice of another client.
func (l *Loop) createNotices() (submitted []rules.NoticeID) {
	for _, r := range l.intake.Take() {
		hold := l.config.Settings.HoldLimit
		switch {
		case l.acceptedIDs.has(r.ID):
			l.counters.RepeatedIDs++
			l.reject(r, 409)
			continue
		case hold > 0 && len(l.notices)-l.awaitingConfirmation >= hold:
			l.counters.OverHoldLimit++
			l.reject(r, 503)
			continue
		case l.heldBytes+r.Body.Held() > l.config.Limits.HeldBytes:
			l.counters.OverBodyMemory++
			l.reject(r, 503)
			continue
		}
		l.lastNumber++
		l.acceptedIDs.add(r.ID, l.now)
		l.heldBytes += r.Body.Held()
		l.notices[l.lastNumber] = &heldNotice{id: r.ID, mark: r.Mark, destination: r.Destination,
			acceptedAt: l.clock.Now(), body: r.Body, request: r}
		submitted = append(submitted, l.lastNumber)
		l.events = append(l.events, rules.NoticeAccepted{Notice: l.lastNumber, Grade: r.Grade, Portfolio: r.Portfolio,
			Key: r.Key, Destination: r.Destination, TimeLeft: r.ClientTimeout, Waited: toMillis(l.readDelay(r)),
			Inherited: r.Inherited, SpaceShare: l.capacityShare(r.Body)})
	}
	return submitted
}

// readDelay returns an upper bound of the time that a request waited to be read: the time that unread bytes may
// have waited in its socket, and the time that it then waited behind earlier requests of its client.
func (l *Loop) readDelay(r *intake.Request) time.Duration {
	delay := l.arrivals.maxReadDelay(l.now)
	if !r.EarliestArrival.IsZero() {
		delay += l.now.Sub(r.EarliestArrival)
	}
	return delay
}

// capacityShare returns the share of this sender's capacity that a notice uses: of the memory for bodies or of the
// ledger, whichever is larger.
func (l *Loop) capacityShare(body *buffers.Chain) float64 {
	return max(float64(body.Held())/float64(l.config.Limits.HeldBytes),
		ledger.CapacityShare(l.config.Limits.Disk, body.Len()))
}

// reject answers a request with an error status instead of accepting it.
func (l *Loop) reject(r *intake.Request, status int) {
	if l.tracing {
		l.log.Debug(logs.Refused, "id", r.ID, "status", status)
	}
	r.Body.Free()
	l.intake.Answer(r, status, 0)
}

// admittedNotice is a notice that was passed to the ledger and not yet acknowledged to its client.
type admittedNotice struct {
	number  rules.NoticeID
	request *intake.Request
}

// admit answers the clients of those newly submitted notices that the decisions dismiss or break off in the same
// turn, and records the other notices in the ledger.
func (l *Loop) admit(submitted []rules.NoticeID, actions []rules.Action) (admitted []admittedNotice) {
	if len(submitted) == 0 {
		return nil
	}
	finalActions := rules.FinalAnswers(actions)
	for _, number := range submitted {
		n := l.notices[number]
		r := n.request
		switch a := finalActions[number].(type) {
		case rules.Dismiss:
			l.answerDismissed(r, 429, a.RetryAfter)
			continue
		case rules.BreakOff:
			l.answerDismissed(r, 500, 0)
			continue
		}
		err := l.ledger.RecordAccepted(ledger.Notice{Number: number, ID: r.ID, Mark: r.Mark,
			Grade:     settings.Name(l.config.Names.Grades, int(r.Grade)),
			Portfolio: settings.Name(l.config.Names.Portfolios, int(r.Portfolio)), Key: r.Key,
			Destination: r.Destination, Until: l.now.Add(toDuration(r.ClientTimeout)), TakenAt: n.acceptedAt,
			WaitedMS: int64(math.Ceil(float64(toMillis(l.readDelay(r))))), Inherited: r.Inherited,
			Body: r.Body.AppendTo(nil)})
		if err != nil {
			l.withdraw(number, r)
			continue
		}
		n.request = nil
		admitted = append(admitted, admittedNotice{number, r})
	}
	return admitted
}

// withdraw rejects a notice that the ledger could not record and removes it from the loop and from the decisions.
func (l *Loop) withdraw(number rules.NoticeID, r *intake.Request) {
	l.counters.OverLedgerCapacity++
	l.intake.Answer(r, 503, 0)
	n := l.notices[number]
	n.ended = true
	l.calls.Cancel(number) // a call whose connection is still being established must not be sent
	l.release(number, n)
	l.events = append(l.events, rules.NoticeWithdrawn{Notice: number})
}

// acknowledge answers clients that their notices are accepted, once the ledger has written them to its file. All
// notices of a turn share one write, unless the record of a trip has already written them.
func (l *Loop) acknowledge(admitted []admittedNotice) {
	lost, err := l.ledger.Flush()
	l.logLedgerError(err)
	for _, a := range admitted {
		number, r := a.number, a.request
		if slices.Contains(lost, number) {
			l.withdraw(number, r)
			continue
		}
		l.counters.Accepted++
		if l.tracing {
			l.log.Debug(logs.Accepted, "id", r.ID, "notice", number,
				"grade", settings.Name(l.config.Names.Grades, int(r.Grade)),
				"portfolio", settings.Name(l.config.Names.Portfolios, int(r.Portfolio)),
				"key", strconv.FormatUint(uint64(r.Key), 10),
				"destination", r.Destination, "body", r.Body.Len(), "left", toDuration(r.ClientTimeout))
		}
		l.intake.Answer(r, 202, 0)
	}
}

// answerDismissed answers a client whose notice was dismissed or broken off in the turn in which it was submitted.
func (l *Loop) answerDismissed(r *intake.Request, status int, retryAfter rules.Millis) {
	l.counters.Dismissed++
	if l.tracing {
		l.log.Debug(logs.Refused, "id", r.ID, "status", status)
	}
	l.intake.Answer(r, status, retryAfter)
}
