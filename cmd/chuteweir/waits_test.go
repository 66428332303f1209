package main

import (
	"strings"
	"sync"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/standin"
)

// These tests check that a sender process makes no calls to a destination during a wait that the destination
// requested by Retry-After.

// waitChecker responds to calls and records those that arrive during a requested wait.
type waitChecker struct {
	*environment
	mu          sync.Mutex
	requestedAt time.Time
	until       time.Time // end of the wait
	callsInWait []string
}

// inFlightTolerance is how long after the request for a wait calls may arrive that were sent before the sender read
// it.
const inFlightTolerance = 100 * time.Millisecond

// newWaitChecker returns a checker for the calls that an environment's receivers get.
func newWaitChecker(env *environment) *waitChecker { return &waitChecker{environment: env} }

// recordCall records a call if it arrives during the wait.
func (c *waitChecker) recordCall(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.After(c.requestedAt.Add(inFlightTolerance)) && now.Before(c.until) {
		c.callsInWait = append(c.callsInWait, id)
	}
}

// recordWait records that a wait is about to be requested.
func (c *waitChecker) recordWait(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestedAt, c.until = time.Now(), time.Now().Add(wait)
}

// waitRequested reports whether a wait has been requested.
func (c *waitChecker) waitRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.requestedAt.IsZero()
}

// checkWaits fails the test if calls arrived during the wait.
func (c *waitChecker) checkWaits() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.callsInWait) > 0 {
		c.t.Errorf("calls arrived during the requested wait: %s\n%s", strings.Join(c.callsInWait, ", "), c.log)
	}
}

// Guards against a call being sent because its connection is established, although the destination has requested a
// wait while the connection was being opened.
func TestCallIsNotSentOnConnectionOpenedDuringRequestedWait(t *testing.T) {
	checker := newWaitChecker(startEnvironment(t, `connect_time = "500ms"`, `connect_time = "3s"`))
	checker.respondWith(func(call *standin.ReceivedCall) standin.Reply {
		checker.recordCall(call.ID)
		if call.ID != "limited" || checker.waitRequested() {
			return standin.Reply{Status: 200}
		}
		time.Sleep(300 * time.Millisecond)
		checker.recordWait(2 * time.Second)
		return standin.Reply{Status: 429, HeaderLines: []string{"Retry-After: 2"}}
	})
	checker.submit("note", "warm", 9000, 1) // leaves an idle connection, which the next call uses
	checker.awaitLines(1, "receiver: POST /events warm")
	time.Sleep(100 * time.Millisecond)
	checker.must(checker.gateways.Block("s-1-1"))
	checker.submit("note", "limited", 9000, 1)
	checker.awaitLines(1, "receiver: POST /events limited")
	checker.submit("note", "late", 9000, 1) // its connection is established by the kernel's second SYN, after 1 s
	time.Sleep(500 * time.Millisecond)
	checker.must(checker.gateways.Unblock("s-1-1"))
	checker.awaitLines(2, "receiver: POST /events limited")
	checker.awaitLines(1, "receiver: POST /events late")
	checker.checkWaits()
}

// checkWaitIsFollowed checks that nothing is sent during a wait of 2 s that a receiver requests when it responds to
// the first call.
func checkWaitIsFollowed(t *testing.T, respondFirst func(*waitChecker, *standin.ReceivedCall) standin.Reply,
	replacements ...string) {
	checker := newWaitChecker(startEnvironment(t, replacements...))
	checker.respondWith(func(call *standin.ReceivedCall) standin.Reply {
		checker.recordCall(call.ID)
		if call.ID != "limited" || checker.waitRequested() {
			return standin.Reply{Status: 200}
		}
		return respondFirst(checker, call)
	})
	checker.submit("note", "limited", 9000, 1)
	for !checker.waitRequested() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * inFlightTolerance)
	checker.submit("note", "next", 9000, 1)
	checker.awaitLines(1, "receiver: POST /events next")
	checker.checkWaits()
}

// Guards against ignoring the Retry-After header of a response whose head or body never ends.
func TestWaitOfIncompleteResponseIsFollowed(t *testing.T) {
	for name, raw := range map[string]string{
		"body": "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 2\r\nContent-Length: 10\r\n\r\nhalf",
		"head": "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nServer: slow",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkWaitIsFollowed(t, func(checker *waitChecker, _ *standin.ReceivedCall) standin.Reply {
				checker.recordWait(2 * time.Second)
				return standin.Reply{Raw: raw}
			})
		})
	}
}

// Guards against ignoring the Retry-After header of a response that arrives when the sender has just ended its call
// for taking too long.
func TestWaitOfResponseAfterTimeoutIsFollowed(t *testing.T) {
	checkWaitIsFollowed(t, func(checker *waitChecker, call *standin.ReceivedCall) standin.Reply {
		<-call.PeerClosed
		checker.recordWait(2 * time.Second)
		return standin.Reply{Status: 429, HeaderLines: []string{"Retry-After: 2"}}
	}, `quoted = "3s"`, `quoted = "300ms"`)
}
