package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// awaitQuiet waits until no line was added to the trace for a while.
func (env *environment) awaitQuiet() {
	const quiet = 500 * time.Millisecond
	for count := -1; count != len(env.recorded()); time.Sleep(quiet) {
		count = len(env.recorded())
	}
}

// Guards against sending requests that were unread when their client left, and against an id that runs twice when it
// comes again after that.
func TestRequestsOfADepartedClientAreNotSentLaterNorTwice(t *testing.T) {
	env := startLargeEnvironment(t)
	var requests []string
	for i := range 400 {
		requests = append(requests, submission("order", fmt.Sprint("o-", i), 12000, 1, strings.Repeat("x", 8<<10)))
	}
	conn, err := net.Dial("tcp", env.listen)
	env.must(err)
	conn.SetDeadline(time.Now().Add(100 * time.Millisecond))
	io.WriteString(conn, strings.Join(requests, "")) // more than fits into the buffers: the rest is not written
	env.must(conn.(*net.TCPConn).SetLinger(0))
	conn.Close()
	time.Sleep(300 * time.Millisecond)
	sentBefore := len(env.recorded())
	env.awaitQuiet()
	if sentLater := len(env.recorded()) - sentBefore; sentLater > 0 {
		t.Errorf("%d requests were sent over 300 ms after their client had left", sentLater)
	}
	for _, request := range requests {
		env.sendRaw(request)
	}
	env.awaitQuiet()
	calls := map[string]int{}
	for _, line := range env.recorded() {
		if fields := strings.Fields(line); fields[0] == "receiver:" {
			calls[fields[3]]++
		}
	}
	for id, count := range calls {
		if count > 1 {
			t.Errorf("%s was sent %d times", id, count)
		}
	}
	if len(calls) != len(requests) {
		t.Errorf("%d of %d requests were sent", len(calls), len(requests))
	}
}

// Guards against taking a new receiver for an earlier one whose address it has.
func TestNewReceiverAtAnOldAddressGetsNoWorkOfTheOldOne(t *testing.T) {
	env := startLargeEnvironment(t)
	env.submit("note", "first", 12000, 1)
	env.awaitLines(1, "receiver")
	old, fresh := env.member("s-1-1", 1, "gone"), env.member("s-1-1", 2, "ready")
	fresh.ID = "fresh"
	env.platform.Change(old, fresh)
	time.Sleep(300 * time.Millisecond)
	env.setTrace(nil)
	for i := range 10 {
		env.submit("note", fmt.Sprint("old-", i), 3000, 1)
		env.submit("note", fmt.Sprint("new-", i), 3000, 2)
	}
	env.awaitLines(10, "receiver")
	env.awaitQuiet()
	for _, line := range env.recorded() {
		if strings.HasPrefix(line, "receiver") && strings.Contains(line, " old-") {
			t.Errorf("sent to another destination's receiver: %s", line)
		}
	}
}
