package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/standin"
)

// These tests check that a sender process makes no call by a receiver list that discovery has not confirmed, and that
// nothing is delayed for that longer than necessary.

const (
	// watchTime is how long the sender asks discovery to hold a watch.
	watchTime = 2 * time.Second
	// discoveryOutage is how long discovery does not answer in these tests.
	discoveryOutage = 700 * time.Millisecond
	askedLists      = "list = \"asked\"\nask_within = \"2s\"\n[goal]" // replaces the line [goal] of testScenario
)

// killWithHeldNotices lets the sender accept three notices that it can't deliver, ends it, and replaces the receiver of
// destination 1. The old receiver goes on serving its address, as that of another destination would.
func (env *environment) killWithHeldNotices(end func()) {
	env.t.Helper()
	env.respondWith(func(*standin.ReceivedCall) standin.Reply { return standin.Reply{NoResponse: true} })
	for i := range 3 {
		env.submit("note", fmt.Sprint("n-", i), 12000, 1)
	}
	env.awaitLines(3, "receiver")
	known := env.platform.List()
	env.knownList = &known
	end()
	env.replaceReceiver(env.platform)
	env.setTrace(nil)
	env.respondWith(respondOK)
}

// terminateSender ends the sender by SIGTERM.
func (env *environment) terminateSender() {
	env.must(env.sender.Process.Signal(syscall.SIGTERM))
	env.sender.Wait()
}

// expectNoCallByTheOldList expects a number of calls at the new receiver of destination 1 and none at the old one.
func (env *environment) expectNoCallByTheOldList(calls int) {
	env.t.Helper()
	env.awaitLines(calls, "other")
	for _, line := range env.recorded() {
		if strings.HasPrefix(line, "receiver") {
			env.t.Errorf("called by a list that discovery had changed: %s\n%s", line, env.log)
		}
	}
}

// silentUntil makes discovery answer no request for the list before a time.
func silentUntil(at time.Time) func(http.ResponseWriter, *http.Request) bool {
	return func(_ http.ResponseWriter, request *http.Request) bool {
		select {
		case <-time.After(time.Until(at)):
		case <-request.Context().Done():
		}
		return false
	}
}

// refusingUntil makes discovery answer requests for the list with 503 before a time.
func refusingUntil(at time.Time) func(http.ResponseWriter, *http.Request) bool {
	return func(writer http.ResponseWriter, _ *http.Request) bool {
		if time.Now().Before(at) {
			writer.WriteHeader(503)
			return true
		}
		return false
	}
}

// Guards against a restarted sender that calls an address which another destination took while it was down.
func TestRestartedSenderCallsNoAddressThatAnotherDestinationTook(t *testing.T) {
	for name, test := range map[string]struct {
		end          func(*environment)
		discovery    func(time.Time) func(http.ResponseWriter, *http.Request) bool
		replacements []string
	}{
		"shut down":                       {end: (*environment).terminateSender},
		"killed":                          {end: (*environment).killSender},
		"killed, lists asked for":         {end: (*environment).killSender, replacements: []string{"[goal]", askedLists}},
		"killed, discovery answers late":  {end: (*environment).killSender, discovery: silentUntil},
		"killed, discovery refuses first": {end: (*environment).killSender, discovery: refusingUntil},
		"killed, lists asked for, discovery refuses first": {end: (*environment).killSender, discovery: refusingUntil,
			replacements: []string{"[goal]", askedLists}},
		"killed twice, discovery answers late": {discovery: silentUntil, end: func(env *environment) {
			env.killSender()
			env.locked(func() { env.answerList = silentUntil(time.Now().Add(time.Hour)) })
			env.startSender()
			env.killSender()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startEnvironment(t, test.replacements...)
			env.killWithHeldNotices(func() { test.end(env) })
			if test.discovery != nil {
				env.locked(func() { env.answerList = test.discovery(time.Now().Add(discoveryOutage)) })
			}
			env.startSender()
			env.submit("note", "new", 12000, 1)
			env.expectNoCallByTheOldList(4)
		})
	}
}

// Guards against a restart that waits for a change of the receiver list, or for discovery to be ready.
func TestRestartWithAnUnchangedListDoesNotDelayNotices(t *testing.T) {
	t.Parallel()
	env := startEnvironment(t)
	env.killWithHeldNotices(env.killSender)
	env.knownList = nil
	started := time.Now()
	env.startSender()
	env.awaitLines(3, "other")
	if took := time.Since(started); took > watchTime/2 {
		t.Errorf("restored notices were delivered %v after the start, want at most half of a watch\n%s", took, env.log)
	}
}

// Guards against a sender that never sends, or ends late, what it holds while discovery is down.
func TestNoticesAreDeliveredInTimeWithoutDiscovery(t *testing.T) {
	for name, down := range map[string]func(time.Time) func(http.ResponseWriter, *http.Request) bool{
		"silent": silentUntil, "refusing": refusingUntil} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startEnvironment(t)
			env.killWithHeldNotices(env.killSender)
			env.locked(func() { env.answerList = down(time.Now().Add(time.Hour)) })
			started := time.Now()
			env.startSender()
			if took := time.Since(started); took > watchTime/2 {
				t.Errorf("the sender was ready %v after its start, want at most half of a watch", took)
			}
			deadline := time.Now().Add(2 * time.Second)
			env.submit("note", "short", 2000, 1)
			env.submit("note", "undeliverable", 2000, 2) // its only receiver is draining
			env.awaitReport("undeliverable", deadline.Add(maxReportDelay))
			if !strings.Contains(strings.Join(env.recorded(), "\n"), "receiver: POST /events short") {
				t.Errorf("a notice of 2 s was not sent by the known list in its time\n%s", env.log)
			}
			env.awaitLines(4, "receiver")
			if strings.Contains(strings.Join(env.recorded(), "\n"), `"n-`) {
				t.Errorf("a restored notice was ended although there was time to deliver it: %v", env.recorded())
			}
		})
	}
}

// Guards against calls by the list of the old discovery address between a reload and the new one's answer.
func TestReloadedSenderCallsNoAddressThatAnotherDestinationTook(t *testing.T) {
	for name, replacements := range map[string][]string{"watched": nil, "asked for": {"[goal]", askedLists}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startEnvironment(t, replacements...)
			env.platform = env.newPlatform("moved")
			env.replaceReceiver(env.platform)
			env.writeConfig()
			env.locked(func() { env.answerList = silentUntil(time.Now().Add(200 * time.Millisecond)) })
			env.must(env.sender.Process.Signal(syscall.SIGHUP))
			env.awaitLog("msg=reloaded")
			for i := range 3 {
				env.submit("note", fmt.Sprint("n-", i), 12000, 1)
			}
			env.expectNoCallByTheOldList(3)
		})
	}
}

// Guards against calls by a list that changed while its watch was broken, before discovery was asked again.
func TestSenderWithABrokenWatchCallsNoAddressThatAnotherDestinationTook(t *testing.T) {
	for name, replacements := range map[string][]string{"watched": nil, "asked for": {"[goal]", askedLists}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startEnvironment(t, replacements...)
			breakWatch, broken := make(chan bool), make(chan bool)
			var breakOnce sync.Once
			env.locked(func() {
				env.answerList = func(_ http.ResponseWriter, request *http.Request) bool {
					select {
					case <-breakWatch:
					case <-request.Context().Done():
						return false
					}
					isFirst := false
					breakOnce.Do(func() { isFirst = true })
					if isFirst {
						close(broken)
						panic(http.ErrAbortHandler)
					}
					time.Sleep(200 * time.Millisecond)
					return false
				}
			})
			time.Sleep(watchTime + watchTime/4) // the watch that was open when answerList was set ends
			close(breakWatch)
			<-broken
			env.replaceReceiver(env.platform)
			time.Sleep(20 * time.Millisecond) // the sender sees the end of the connection
			for i := range 3 {
				env.submit("note", fmt.Sprint("n-", i), 12000, 1)
			}
			env.expectNoCallByTheOldList(3)
		})
	}
}

// Guards against calls by a list that changed while the process was stopped, before it has read the change.
func TestStoppedSenderCallsNoAddressThatAnotherDestinationTook(t *testing.T) {
	const wait = time.Second
	for name, stop := range map[string]time.Duration{"within a watch": wait + wait/2,
		"longer than a watch": 2 * watchTime} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startEnvironment(t)
			env.respondWith(func(*standin.ReceivedCall) standin.Reply {
				return standin.Reply{Status: 429, HeaderLines: []string{fmt.Sprintf("Retry-After: %v", wait.Seconds())}}
			})
			for i := range 3 {
				env.submit("note", fmt.Sprint("n-", i), 12000, 1)
			}
			env.awaitLines(1, "receiver")
			time.Sleep(100 * time.Millisecond)
			env.must(env.sender.Process.Signal(syscall.SIGSTOP))
			env.setTrace(nil)
			env.respondWith(respondOK)
			env.replaceReceiver(env.platform)
			time.Sleep(stop)
			env.must(env.sender.Process.Signal(syscall.SIGCONT))
			env.expectNoCallByTheOldList(3)
		})
	}
}
