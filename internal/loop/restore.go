package loop

import (
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/ledger"
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// This file restores the pending notices that an earlier process left in the ledger.

// restore restores a pending notice of an earlier process. If the notice already has a final outcome, that is
// reported to the platform; otherwise its delivery continues.
func (l *Loop) restore(n ledger.Notice) {
	l.counters.Restored++
	l.acceptedIDs.add(n.ID, l.now)
	l.lastNumber = max(l.lastNumber, n.Number)
	if n.Outcome != "" {
		l.directory.ReportOutcome(directory.FinalOutcome{Notice: n.Number, Message: n.ID, Outcome: n.Outcome,
			RetryInMS: n.RetryAfterMS})
		return
	}
	body := l.buffers.NewChain()
	body.Add(n.Body)
	n.Body = nil
	l.heldBytes += body.Held()
	l.notices[n.Number] = &heldNotice{id: n.ID, mark: n.Mark, destination: n.Destination, acceptedAt: n.TakenAt,
		body: body, trips: n.Trips}
	l.restored = append(l.restored, n)
}

// reportRestored passes the restored notices to the decisions. The durations in its events count from the time of
// the turn, which the decisions take for the current time.
func (l *Loop) reportRestored() {
	if len(l.restored) == 0 {
		return
	}
	now := l.clock.Now()
	for _, n := range l.restored {
		if stepped := n.AdjustForClockStep(now); stepped != 0 {
			l.log.Warn(logs.ClockStepped, "notice", n.Number, "stepped", stepped)
		}
		event := rules.NoticeAccepted{Notice: n.Number,
			Grade:     rules.GradeID(settings.Index(l.config.Names.Grades, n.Grade)),
			Portfolio: rules.PortfolioID(settings.Index(l.config.Names.Portfolios, n.Portfolio)), Key: n.Key,
			Destination: n.Destination, TimeLeft: toMillis(n.Until.Sub(l.now)), Waited: rules.Millis(n.WaitedMS),
			Inherited: n.Inherited,
			Trips:     n.Trips, PossibleRuns: len(n.PossibleRuns),
			SpaceShare: l.capacityShare(l.notices[n.Number].body)}
		if len(n.PossibleRuns) > 0 {
			event.FirstRunAgo = toMillis(l.now.Sub(n.PossibleRuns[0].At))
			event.FirstRunZone = rules.ZoneID(settings.Index(l.config.Names.Zones, n.PossibleRuns[0].Zone))
		}
		if l.tracing {
			l.log.Debug(logs.Restored, "id", n.ID, "notice", n.Number, "trips", n.Trips, "may_have_run",
				len(n.PossibleRuns),
				"left", toDuration(event.TimeLeft))
		}
		l.events = append(l.events, event)
	}
	l.restored = nil
}
