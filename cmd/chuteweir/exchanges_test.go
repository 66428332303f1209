package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/directory"
)

// These tests run a sender process against receivers whose response bytes may be attributed to a call that they don't
// belong to.

// receivedCall is a call that a scripted receiver has read.
type receivedCall struct {
	id     string
	conn   net.Conn
	number int // of the call on its connection, from 1
}

// respond writes a response without a body.
func (call receivedCall) respond(status int, headers string) {
	io.WriteString(call.conn, responseText(status, headers))
}

// responseText returns the text of a response without a body.
func responseText(status int, headers string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), headers)
}

// firstScriptedDestination is the number of the first destination with a scripted receiver; usualDestinations is
// how many have one in most tests.
const (
	firstScriptedDestination = 11
	usualDestinations        = 8
)

// addScriptedReceivers adds a number of destinations, each with one receiver that calls the script for each call.
// It closes the connection when the script returns false.
func (env *environment) addScriptedReceivers(destinations int, script func(receivedCall) bool) {
	for i := range destinations {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		env.must(err)
		env.t.Cleanup(func() { listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go serveConnection(conn, script)
			}
		}()
		env.platform.Change(directory.Member{ID: fmt.Sprint("scripted-", i), HostPort: listener.Addr().String(),
			Locality: "here", Flavor: "shop", Cell: int64(firstScriptedDestination + i), Phase: "ready", Size: 20})
	}
	time.Sleep(200 * time.Millisecond) // until the sender has read the new receiver list
}

// serveConnection reads calls from one connection and runs the script for each.
func serveConnection(conn net.Conn, script func(receivedCall) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !script(receivedCall{request.Header.Get("Request-Id"), conn, number}) {
			return
		}
	}
}

// noticeResults holds what happened to each notice of a test, by the notice's id.
type noticeResults struct {
	mu      sync.Mutex
	notices map[string]*noticeResult
}

// noticeResult is what happened to one notice.
type noticeResult struct {
	atMostOnce           bool // it must not take effect twice
	accepted             bool
	delivered            bool // a receiver responded to it with 200
	executions           int  // calls that took effect
	calls, finalOutcomes int
}

// submissionTime is how long notices are submitted, and scriptedTimeout is their client timeout.
const (
	submissionTime  = 6 * time.Second
	scriptedTimeout = 3 * time.Second
)

// recordCall records a call and whether it takes effect.
func (r *noticeResults) recordCall(id string, executes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	notice := r.notices[id]
	notice.calls++
	if executes {
		notice.executions++
	}
}

// recordDelivery records that a receiver responded with 200.
func (r *noticeResults) recordDelivery(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notices[id].delivered = true
}

// submitMany submits notices at random intervals of a given mean, and waits until the client timeouts of all have
// passed. Most notices are for a few of the destinations, and two of five have the at-most-once grade.
func (env *environment) submitMany(results *noticeResults, destinations int, meanInterval time.Duration) {
	var pending sync.WaitGroup
	random := rand.New(rand.NewPCG(37, 37))
	end := time.Now().Add(submissionTime)
	for i := 0; time.Now().Before(end); i++ {
		id, grade := fmt.Sprintf("m-%d", i), "note"
		if i%5 < 2 {
			grade = "order"
		}
		results.mu.Lock()
		results.notices[id] = &noticeResult{atMostOnce: grade == "order"}
		results.mu.Unlock()
		destination := firstScriptedDestination + int(float64(destinations)*math.Pow(random.Float64(), 2))
		pending.Go(func() {
			accepted := env.sendRaw(
				submission(grade, id, int(scriptedTimeout.Milliseconds()), destination, "body")) == "202 Accepted"
			results.mu.Lock()
			results.notices[id].accepted = accepted
			results.mu.Unlock()
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanInterval)))
	}
	pending.Wait()
	time.Sleep(scriptedTimeout + 400*time.Millisecond)
}

// checkResults checks that each accepted notice was delivered or its final outcome reported, and that no
// at-most-once notice took effect twice.
func (env *environment) checkResults(results *noticeResults) {
	env.t.Helper()
	results.mu.Lock()
	defer results.mu.Unlock()
	for _, line := range env.recorded() {
		if !strings.HasPrefix(line, "platform: ") {
			continue
		}
		for id := range strings.SplitSeq(line, `"message":"`) {
			if notice := results.notices[strings.SplitN(id, `"`, 2)[0]]; notice != nil {
				notice.finalOutcomes++
			}
		}
	}
	accepted, delivered, lost, twice := 0, 0, 0, 0
	for _, notice := range results.notices {
		if notice.atMostOnce && notice.executions > 1 {
			twice++
		}
		if !notice.accepted {
			continue
		}
		accepted++
		switch {
		case notice.delivered:
			delivered++
		case notice.finalOutcomes == 0:
			lost++
		}
	}
	env.t.Logf("%d notices, %d accepted, %d delivered, %d lost, %d took effect twice",
		len(results.notices), accepted, delivered, lost, twice)
	if lost+twice > 0 {
		env.t.Errorf("%d notices lost, %d took effect twice; want none", lost, twice)
	}
	if delivered < 100 {
		env.t.Errorf("%d notices delivered; want at least 100 for a meaningful test", delivered)
	}
}

// duplicatePlan describes a receiver that writes about one successful response in ten twice.
type duplicatePlan struct {
	slots          string        // the sender's setting
	responseDelay  time.Duration // of a response to its call
	duplicateDelay time.Duration // of the duplicate after the response
	nextStatus     int           // of the response to the next call on that connection, which takes nextResponseDelay
	pausesSender   bool          // the sender process is paused repeatedly
}

// nextResponseDelay is the delay of the response to the call that follows a duplicated response.
const nextResponseDelay = 80 * time.Millisecond

// duplicatingReceiver returns a receiver's script that follows a plan.
func duplicatingReceiver(results *noticeResults, plan duplicatePlan) func(receivedCall) bool {
	var mu sync.Mutex
	duplicated := map[net.Conn]bool{}
	return func(call receivedCall) bool {
		mu.Lock()
		afterDuplicate := duplicated[call.conn]
		duplicates := !afterDuplicate && rand.IntN(10) == 0
		duplicated[call.conn] = duplicates
		mu.Unlock()
		status, delay := http.StatusOK, plan.responseDelay
		if afterDuplicate {
			status, delay = plan.nextStatus, nextResponseDelay
		}
		results.recordCall(call.id, status == http.StatusOK)
		time.Sleep(delay)
		call.respond(status, "")
		if status == http.StatusOK {
			results.recordDelivery(call.id)
		}
		if duplicates {
			time.AfterFunc(plan.duplicateDelay, func() { call.respond(http.StatusOK, "") })
		}
		return true
	}
}

// pauseRepeatedly pauses the sender process for up to 140 ms, again and again, until stop is called.
func (env *environment) pauseRepeatedly() (stop func()) {
	done := make(chan struct{})
	var stopped sync.WaitGroup
	stopped.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(20+rand.IntN(100)) * time.Millisecond):
			}
			env.sender.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rand.IntN(140)) * time.Millisecond)
			env.sender.Process.Signal(syscall.SIGCONT)
		}
	})
	return func() { close(done); stopped.Wait() }
}

// Guards against taking the duplicate of a response for the response to the next call on the connection: that call's
// notice would count as delivered although its receiver refused it.
func TestDuplicateResponseIsNotAttributedToNextCall(t *testing.T) {
	const ms = time.Millisecond
	plans := map[string]duplicatePlan{
		"300us":         {slots: "6", responseDelay: 2 * ms, duplicateDelay: 300 * time.Microsecond, nextStatus: 503},
		"7ms":           {slots: "6", responseDelay: 30 * ms, duplicateDelay: 7 * ms, nextStatus: 503},
		"7ms two slots": {slots: "2", responseDelay: 2 * ms, duplicateDelay: 7 * ms, nextStatus: 503},
		"30ms":          {slots: "6", responseDelay: 2 * ms, duplicateDelay: 30 * ms, nextStatus: 503},
		"30ms 200":      {slots: "6", responseDelay: 30 * ms, duplicateDelay: 30 * ms, nextStatus: 200},
		"70ms":          {slots: "6", responseDelay: 30 * ms, duplicateDelay: 70 * ms, nextStatus: 503},
		"150ms":         {slots: "2", responseDelay: 30 * ms, duplicateDelay: 150 * ms, nextStatus: 503},
		"400ms":         {slots: "6", responseDelay: 30 * ms, duplicateDelay: 400 * ms, nextStatus: 503},
		"paused sender": {slots: "6", responseDelay: 30 * ms, duplicateDelay: 7 * ms, nextStatus: 503,
			pausesSender: true},
	}
	for name, plan := range plans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startEnvironment(t, "slots = 8", "slots = "+plan.slots, "hold = 50", "hold = 200")
			results := &noticeResults{notices: map[string]*noticeResult{}}
			env.addScriptedReceivers(usualDestinations, duplicatingReceiver(results, plan))
			stop := func() {}
			if plan.pausesSender {
				stop = env.pauseRepeatedly()
			}
			env.submitMany(results, usualDestinations, 24*ms)
			stop()
			env.checkResults(results)
		})
	}
}

// unsolicitedPlan describes receivers that write one unsolicited response on each connection, while the second call on
// it is in flight.
type unsolicitedPlan struct {
	firstStatus       int           // of the response to each receiver's first call
	unsolicitedStatus int           // of the unsolicited response, written while the second call is in flight
	truncated         bool          // only half of the unsolicited response is written
	secondStatus      int           // of the response to the second call
	secondDelay       time.Duration // of the response to the second call, after the unsolicited one
}

// unsolicitedReceiver returns a receiver's script that follows a plan. It writes the unsolicited response only after it
// has received the second call on the connection, however late that comes.
func unsolicitedReceiver(results *noticeResults, plan unsolicitedPlan) func(receivedCall) bool {
	var mu sync.Mutex
	called := map[string]bool{}
	return func(call receivedCall) bool {
		if call.number != 2 {
			mu.Lock()
			status := http.StatusOK
			if receiver := call.conn.LocalAddr().String(); call.number == 1 && !called[receiver] {
				called[receiver] = true
				status = plan.firstStatus
			}
			mu.Unlock()
			results.recordCall(call.id, status == http.StatusOK)
			time.Sleep(20 * time.Millisecond)
			call.respond(status, "")
			if status == http.StatusOK {
				results.recordDelivery(call.id)
			}
			return true
		}
		results.recordCall(call.id, plan.secondStatus == http.StatusOK)
		time.Sleep(5 * time.Millisecond)
		text := responseText(plan.unsolicitedStatus, "")
		if plan.truncated {
			text = text[:len(text)/2]
		}
		io.WriteString(call.conn, text)
		time.Sleep(plan.secondDelay)
		call.respond(plan.secondStatus, "")
		if plan.secondStatus == http.StatusOK {
			results.recordDelivery(call.id)
		}
		return true
	}
}

// Guards against trusting a response that may belong to an earlier call: if an unsolicited response arrives while a
// call is in flight, the outcome of that call is ambiguous.
func TestUnsolicitedResponseMakesNextCallAmbiguous(t *testing.T) {
	const ms, destinations = time.Millisecond, 60
	plans := map[string]unsolicitedPlan{
		"200 then 503": {firstStatus: 200, unsolicitedStatus: 200, secondStatus: 503, secondDelay: 80 * ms},
		"503 then 200": {firstStatus: 503, unsolicitedStatus: 503, secondStatus: 200, secondDelay: 80 * ms},
		"200 then 200": {firstStatus: 200, unsolicitedStatus: 200, secondStatus: 200, secondDelay: 80 * ms},
		"half a 200 then 503": {firstStatus: 200, unsolicitedStatus: 200, truncated: true, secondStatus: 503,
			secondDelay: 40 * ms},
		"half a 503 then 200": {firstStatus: 503, unsolicitedStatus: 503, truncated: true, secondStatus: 200,
			secondDelay: 40 * ms},
		"200 and 503 at once": {firstStatus: 200, unsolicitedStatus: 200, secondStatus: 503},
	}
	for name, plan := range plans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startEnvironment(t, "hold = 50", "hold = 200")
			results := &noticeResults{notices: map[string]*noticeResult{}}
			env.addScriptedReceivers(destinations, unsolicitedReceiver(results, plan))
			env.submitMany(results, destinations, 24*ms)
			env.checkResults(results)
		})
	}
}

// Guards against recording a notice as delivered at once by a response that may still turn out to be the duplicate of
// an earlier one: if the sender is killed before that is settled, the notice must be reported as given up.
func TestUnconfirmedResponseIsAmbiguousAfterKill(t *testing.T) {
	env := startEnvironment(t)
	answered := make(chan bool, 1)
	env.addScriptedReceivers(1, func(call receivedCall) bool {
		call.respond(200, "") // for the second call, this stands for a duplicate of the first response
		if call.number == 2 {
			answered <- true
			time.Sleep(time.Second)
		}
		return true
	})
	env.submit("order", "first", 9000, firstScriptedDestination)
	time.Sleep(200 * time.Millisecond)
	env.submit("order", "second", 9000, firstScriptedDestination)
	<-answered
	time.Sleep(10 * time.Millisecond)
	env.killSender()
	env.startSender()
	env.awaitLines(1, `platform: {"message":"second","outcome":"given_up"}`)
}

// Guards against losing the final outcome of a notice whose client timeout ends while the refusal by its receiver
// is not confirmed yet, when the sender is then killed.
func TestOutcomeAfterUnconfirmedRefusalSurvivesKill(t *testing.T) {
	const destinations = 8
	env := startEnvironment(t)
	env.locked(func() { env.acceptsReports = false })
	env.addScriptedReceivers(destinations, func(call receivedCall) bool {
		status := http.StatusOK
		if call.number > 1 {
			status = http.StatusServiceUnavailable
		}
		call.respond(status, "")
		return true
	})
	for i := range destinations {
		env.submit("order", fmt.Sprint("first-", i), 9000, firstScriptedDestination+i)
	}
	time.Sleep(200 * time.Millisecond)
	for i := range destinations {
		env.submit("order", fmt.Sprint("refused-", i), 100, firstScriptedDestination+i)
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	env.killSender()
	env.setTrace(nil)
	env.locked(func() { env.acceptsReports = true })
	env.startSender()
	for i := range destinations {
		env.awaitText(fmt.Sprintf(`{"message":"refused-%d","outcome":"given_up"}`, i))
	}
}

// inOrderReissuable replaces the repeat policy of the grade note: notices of one key are then called one at a time.
const inOrderReissuable = "repeat = \"reissuable\"\nin_order = true"

// submitTwoOfAKey submits a note without a key and then two with the same key, and waits until the second of them
// is called.
func (env *environment) submitTwoOfAKey(respond func(receivedCall)) {
	env.t.Helper()
	env.addScriptedReceivers(1, func(call receivedCall) bool {
		env.record("called: %s", call.id)
		respond(call)
		return true
	})
	const key = "Affinity-Key: k\r\n"
	env.submit("note", "warm", 9000, firstScriptedDestination)
	time.Sleep(200 * time.Millisecond)
	env.submit("note", "first", 9000, firstScriptedDestination, key)
	env.submit("note", "second", 9000, firstScriptedDestination, key)
	env.awaitLines(1, "called: second")
}

// Guards against a restarted sender that repeats the first notice of a key after the second was called, because the
// response to the first was not confirmed when the sender was killed.
func TestKeyOrderSurvivesKillWithUnconfirmedResponse(t *testing.T) {
	env := startEnvironment(t, `repeat = "reissuable"`, inOrderReissuable)
	env.submitTwoOfAKey(func(call receivedCall) { call.respond(200, "") })
	env.killSender()
	env.startSender()
	time.Sleep(time.Second)
	trace := strings.Join(env.recorded(), "\n")
	if strings.LastIndex(trace, "called: first") > strings.Index(trace, "called: second") {
		t.Errorf("the first notice was called again after the second:\n%s", trace)
	}
}

// Guards against calling the second notice of a key when a duplicate of an earlier response arrives in place of the
// response to the first.
func TestDuplicateResponseDoesNotReleaseNextNoticeOfKey(t *testing.T) {
	env := startEnvironment(t, `repeat = "reissuable"`, inOrderReissuable)
	env.submitTwoOfAKey(func(call receivedCall) {
		call.respond(200, "") // for the first notice, this stands for a duplicate of an earlier response
		if call.id == "first" {
			time.Sleep(40 * time.Millisecond)
			env.record("answered: first")
			call.respond(503, "")
		}
	})
	env.awaitLines(1, "answered: first")
	trace := strings.Join(env.recorded(), "\n")
	if strings.Index(trace, "called: second") < strings.Index(trace, "answered: first") {
		t.Errorf("the second notice was called before the response to the first:\n%s", trace)
	}
	env.awaitLines(1, `platform: {"message":"first","outcome":"given_up"}`)
}

// awaitText waits until the trace contains a text.
func (env *environment) awaitText(text string) {
	env.t.Helper()
	for range 200 {
		if strings.Contains(strings.Join(env.recorded(), "\n"), text) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	env.t.Fatalf("want %s in\n%s\n%s", text, strings.Join(env.recorded(), "\n"), env.log)
}
