package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/standin"
)

// These tests check that a sender process heeds what an earlier process of it knew of an outage.

const (
	recoveryNotices = 20
	// maxEarlyCalls is this sender's part of the calls that the recovering destination bears from all eight senders
	// within earlyTime: 2 x 20 calls per second x 0.2 x 2 s, with the allowance of the platform's terms.
	maxEarlyCalls = 4
	earlyTime     = 2 * time.Second
)

// startBeforeOutage starts one of eight senders, and submits notices that all fail.
func startBeforeOutage(t *testing.T) *environment {
	env := startEnvironment(t, "[return]", "[return]\ncold_from = 0.2\nwarm = \"10s\"\nfall = \"2s\"",
		"trips = 4", "trips = 12", "[sending]", "[senders]\ncount = 8\n[sending]")
	env.submit("note", "healthy", 12000, 1)
	env.awaitLines(1, "receiver")
	env.respondWith(func(*standin.ReceivedCall) standin.Reply { return standin.Reply{Status: 500} })
	for i := range recoveryNotices {
		env.submit("note", fmt.Sprint("n-", i), 12000, 1)
	}
	env.awaitLines(5, "receiver")
	time.Sleep(500 * time.Millisecond)
	return env
}

// recover starts the sender again with a healthy destination.
func (env *environment) recover() {
	env.setTrace(nil)
	env.respondWith(respondOK)
	env.startSender()
}

// awaitLog waits until the sender has logged a text.
func (env *environment) awaitLog(text string) {
	env.t.Helper()
	for range 300 {
		if strings.Contains(env.log.String(), text) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	env.t.Fatalf("no %q in the log within 3 s: %s", text, env.log)
}

// expectFewEarlyCalls expects that the recovering destination gets no more calls than it bears.
func (env *environment) expectFewEarlyCalls(t *testing.T) {
	t.Helper()
	time.Sleep(earlyTime)
	calls := 0
	for _, line := range env.recorded() {
		if strings.HasPrefix(line, "receiver") {
			calls++
		}
	}
	if calls > maxEarlyCalls {
		t.Errorf("the recovering destination got %d calls within %v, want at most %d\n%s", calls, earlyTime,
			maxEarlyCalls, env.log)
	}
}

// Guards against a restarted sender that calls a destination as if it had seen no outage of it.
func TestOutageIsHeededAfterRestart(t *testing.T) {
	for name, restart := range map[string]func(*environment){
		"killed in the outage": func(env *environment) {
			env.killSender()
			env.recover()
		},
		"shut down in the outage": func(env *environment) {
			env.must(env.sender.Process.Signal(syscall.SIGTERM))
			env.sender.Wait()
			env.recover()
		},
		"killed twice in the outage": func(env *environment) {
			env.killSender()
			env.startSender()
			env.killSender()
			env.recover()
		},
		"killed before an hour's step of the wall clock": func(env *environment) {
			env.killSender()
			env.stepWallClock(time.Hour)
			env.recover()
		},
		"killed, and its receiver is listed only later": func(env *environment) {
			env.killSender()
			env.platform.Change(env.member("s-1-1", 1, "gone"))
			env.recover()
			time.Sleep(300 * time.Millisecond)
			env.platform.Change(env.member("s-1-1", 1, "ready"))
			env.awaitLog("route_restored")
		},
		"killed in the warm-up": func(env *environment) {
			env.respondWith(respondOK)
			env.setTrace(nil)
			env.awaitLines(1, "receiver")
			time.Sleep(200 * time.Millisecond)
			env.killSender()
			env.recover()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startBeforeOutage(t)
			restart(env)
			env.expectFewEarlyCalls(t)
		})
	}
}

// Guards against losing what the calls that end late in a shutdown tell about an outage.
func TestOutageSeenAtTheEndOfAShutdownIsRecorded(t *testing.T) {
	t.Parallel()
	env := startEnvironment(t)
	env.respondWith(func(*standin.ReceivedCall) standin.Reply {
		return standin.Reply{Status: 500, Delay: 2700 * time.Millisecond}
	})
	env.submit("note", "n-1", 12000, 1)
	env.awaitLines(1, "receiver")
	env.shutDown()
	env.respondWith(respondOK)
	env.startSender()
	if !strings.Contains(env.log.String(), "in_outage=true") {
		t.Errorf("want the outage restored that the call out at the shutdown has shown: %s", env.log)
	}
}
