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

// Notices from their being read to their clients' answers.

// take makes notices of the requests that have come, as far as there is room. An id that was taken on before is
// another client's: what is done under it would be done to that one's notice.
func (l *Loop) take() (taken []rules.NoticeID) {
	for _, r := range l.intake.Take() {
		hold := l.config.Settings.HoldLimit
		switch {
		case l.ids.has(r.ID):
			l.counters.Repeated++
			l.refuse(r, 409)
			continue
		case hold > 0 && len(l.notices)-l.answered >= hold:
			l.counters.NoHold++
			l.refuse(r, 503)
			continue
		case l.heldBytes+r.Body.Held() > l.config.Limits.HeldBytes:
			l.counters.NoBytes++
			l.refuse(r, 503)
			continue
		}
		l.last++
		l.ids.add(r.ID, l.now)
		l.heldBytes += r.Body.Held()
		l.notices[l.last] = &held{id: r.ID, mark: r.Mark, destination: r.Destination, takenAt: l.clock.Now(), body: r.Body, request: r}
		taken = append(taken, l.last)
		l.events = append(l.events, rules.NoticeTaken{Notice: l.last, Grade: r.Grade, Portfolio: r.Portfolio,
			Key: r.Key, Destination: r.Destination, Left: r.Left, Waited: millis(l.waited(r)), Inherited: r.Inherited, Room: l.room(r.Body)})
	}
	return taken
}

// waited is how long a request may have waited to be read: as what came last, and before that behind others of its client.
func (l *Loop) waited(r *intake.Request) time.Duration {
	waited := l.arrivals.waited(l.now)
	if !r.Since.IsZero() {
		waited += l.now.Sub(r.Since)
	}
	return waited
}

// room is the share of what this sender can hold that a notice takes: of the memory for bodies or of the ledger, whichever
// it takes more of.
func (l *Loop) room(body *buffers.Chain) float64 {
	return max(float64(body.Held())/float64(l.config.Limits.HeldBytes), ledger.Share(l.config.Limits.Disk, body.Len()))
}

func (l *Loop) refuse(r *intake.Request, status int) {
	if l.tracing {
		l.log.Debug(logs.Refused, "id", r.ID, "status", status)
	}
	r.Body.Free()
	l.intake.Answer(r, status, 0)
}

// admitted is a notice that its client will be told is taken on.
type admitted struct {
	number  rules.NoticeID
	request *intake.Request
}

// admit answers the clients of notices just handed in that the decisions end in the same turn, and gives the others to the
// ledger.
func (l *Loop) admit(taken []rules.NoticeID, actions []rules.Action) (all []admitted) {
	if len(taken) == 0 {
		return nil
	}
	ended := rules.Ends(actions)
	for _, number := range taken {
		n := l.notices[number]
		r := n.request
		switch a := ended[number].(type) {
		case rules.Dismiss:
			l.dismissed(r, 429, a.RetryAfter)
			continue
		case rules.BreakOff:
			l.dismissed(r, 500, 0)
			continue
		}
		err := l.ledger.Taken(ledger.Notice{Number: number, ID: r.ID, Mark: r.Mark,
			Grade:     settings.Name(l.config.Names.Grades, int(r.Grade)),
			Portfolio: settings.Name(l.config.Names.Portfolios, int(r.Portfolio)), Key: r.Key, Destination: r.Destination,
			Until: l.now.Add(span(r.Left)), TakenAt: n.takenAt, WaitedMS: int64(math.Ceil(float64(millis(l.waited(r))))), Inherited: r.Inherited, Body: r.Body.AppendTo(nil)})
		if err != nil {
			l.withdraw(number, r)
			continue
		}
		n.request = nil
		all = append(all, admitted{number, r})
	}
	return all
}

// withdraw turns a notice away that the ledger can't keep.
func (l *Loop) withdraw(number rules.NoticeID, r *intake.Request) {
	l.counters.NoDisk++
	l.intake.Answer(r, 503, 0)
	n := l.notices[number]
	n.over = true
	l.calls.CallOff(number) // a call whose connection is still coming up must not leave
	l.release(number, n)
	l.events = append(l.events, rules.NoticeWithdrawn{Notice: number})
}

// acknowledge tells clients that their notices are taken on, once the ledger has them on disk: one write for all of a turn,
// if no call left before.
func (l *Loop) acknowledge(all []admitted) {
	lost, err := l.ledger.Flush()
	l.keep(err)
	for _, a := range all {
		number, r := a.number, a.request
		if slices.Contains(lost, number) {
			l.withdraw(number, r)
			continue
		}
		l.counters.Taken++
		if l.tracing {
			l.log.Debug(logs.Taken, "id", r.ID, "notice", number, "grade", settings.Name(l.config.Names.Grades, int(r.Grade)),
				"portfolio", settings.Name(l.config.Names.Portfolios, int(r.Portfolio)), "key", strconv.FormatUint(uint64(r.Key), 10),
				"destination", r.Destination, "body", r.Body.Len(), "left", span(r.Left))
		}
		l.intake.Answer(r, 202, 0)
	}
}

func (l *Loop) dismissed(r *intake.Request, status int, retryAfter rules.Millis) {
	l.counters.Dismissed++
	if l.tracing {
		l.log.Debug(logs.Refused, "id", r.ID, "status", status)
	}
	l.intake.Answer(r, status, retryAfter)
}
