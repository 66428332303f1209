package main

import (
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/ledger"
	"chuteweir.example/chuteweir/internal/standin"
)

// stepWallClock rewrites a killed sender's ledger with all wall-clock times shifted back by the step, as if the
// wall clock had been stepped by it since the ledger was written.
func (env *environment) stepWallClock(step time.Duration) {
	env.t.Helper()
	const capacity = 1 << 20
	previous, pending, err := ledger.Open(env.stateDirectory, capacity)
	env.must(err)
	previous.Close()
	fresh, _, err := ledger.Open(env.t.TempDir(), capacity)
	env.must(err)
	env.stateDirectory = fresh.StateDir()
	for _, notice := range pending {
		notice.Until = notice.Until.Add(-step)
		notice.TakenAt.Wall -= step.Milliseconds()
		env.must(fresh.RecordAccepted(notice))
		for _, trip := range notice.PossibleRuns {
			trip.At = trip.At.Add(-step)
			env.must(fresh.RecordTrip(notice.Number, trip))
		}
	}
	for _, route := range previous.Routes() {
		route.At.Wall -= step.Milliseconds()
		env.must(fresh.RecordRoute(route))
	}
	_, err = fresh.Flush()
	env.must(err)
	fresh.Close()
}

// Guards against a restarted sender that trusts the wall clock alone: after a step forward it would end held
// notices at once, and after a step back it would keep them far beyond their client timeout.
func TestHeldNoticeSurvivesWallClockStep(t *testing.T) {
	for name, step := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startEnvironment(t)
			env.respondWith(func(*standin.ReceivedCall) standin.Reply { return standin.Reply{NoResponse: true} })
			env.submit("note", "may-repeat", 4000, 1)
			env.awaitLines(1, "receiver")
			env.killSender()
			env.stepWallClock(step)
			env.setTrace(nil)
			if step < 0 {
				env.startSender()
				env.awaitLines(1, "platform") // its client timeout ends as if the clock had not been stepped
				return
			}
			env.respondWith(respondOK)
			env.startSender()
			env.awaitLines(1, "receiver")
		})
	}
}

// Guards against wall-clock steps of less than a second shifting the client timeout of a held notice.
func TestHeldNoticeKeepsItsTimeoutAfterSubsecondWallClockStep(t *testing.T) {
	const timeout = 4 * time.Second
	for name, step := range map[string]time.Duration{
		"forward": 900 * time.Millisecond, "back": -900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startEnvironment(t)
			env.respondWith(func(*standin.ReceivedCall) standin.Reply { return standin.Reply{NoResponse: true} })
			deadline := time.Now().Add(timeout)
			env.submit("note", "held", int(timeout.Milliseconds()), 1)
			env.awaitLines(1, "receiver")
			env.killSender()
			env.stepWallClock(step)
			env.startSender()
			env.awaitReport("held", deadline.Add(maxReportDelay))
			if early := time.Until(deadline); early > maxReportDelay {
				t.Errorf("ended %v before its client timeout, want at most maxReportDelay", early)
			}
		})
	}
}
