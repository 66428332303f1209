package loop

import (
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/ledger"
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// What an earlier process owed, from the ledger back to the decisions.

// restore takes a notice back that an earlier process owed; its end goes to the platform if it has one.
func (l *Loop) restore(n ledger.Notice) {
	l.counters.Restored++
	l.ids.add(n.ID, l.now)
	l.last = max(l.last, n.Number)
	if n.Ended != "" {
		l.directory.Ended(directory.End{Notice: n.Number, Message: n.ID, Outcome: n.Ended, RetryInMS: n.RetryMS})
		return
	}
	body := l.buffers.NewChain()
	body.Add(n.Body)
	n.Body = nil
	l.heldBytes += body.Held()
	l.notices[n.Number] = &held{id: n.ID, mark: n.Mark, destination: n.Destination, takenAt: n.TakenAt, body: body, trips: n.Trips}
	l.restored = append(l.restored, n)
}

// tellRestored tells the decisions of the notices that an earlier process owed. The spans that it tells count from the time
// of the turn, by which the decisions count them, too.
func (l *Loop) tellRestored() {
	if len(l.restored) == 0 {
		return
	}
	now := l.clock.Now()
	for _, n := range l.restored {
		if stepped := n.Adjust(now); stepped != 0 {
			l.log.Warn(logs.ClockStepped, "notice", n.Number, "stepped", stepped)
		}
		taken := rules.NoticeTaken{Notice: n.Number, Grade: rules.GradeID(settings.Index(l.config.Names.Grades, n.Grade)),
			Portfolio: rules.PortfolioID(settings.Index(l.config.Names.Portfolios, n.Portfolio)), Key: n.Key,
			Destination: n.Destination, Left: millis(n.Until.Sub(l.now)), Waited: rules.Millis(n.WaitedMS), Inherited: n.Inherited,
			Trips: n.Trips, Ran: len(n.Ran), Room: l.room(l.notices[n.Number].body)}
		if len(n.Ran) > 0 {
			taken.RanAgo = millis(l.now.Sub(n.Ran[0].At))
			taken.RanZone = rules.ZoneID(settings.Index(l.config.Names.Zones, n.Ran[0].Zone))
		}
		if l.tracing {
			l.log.Debug(logs.Restored, "id", n.ID, "notice", n.Number, "trips", n.Trips, "may_have_run", len(n.Ran),
				"left", span(taken.Left))
		}
		l.events = append(l.events, taken)
	}
	l.restored = nil
}
