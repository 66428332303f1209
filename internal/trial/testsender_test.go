package trial

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chuteweir.example/chuteweir/internal/config"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/rules"
)

// testSender is a minimal sender with at most one deliberate defect. The tests check that the audit finds the defect,
// and finds nothing wrong with a testSender without one.
type testSender struct {
	defect string // a case of TestAuditorFindsWrongSenders; empty: none
	config config.Config

	mu           sync.Mutex
	receivers    map[string]directory.Member
	revision     int64
	destinations map[int64]*destinationState
	lastOfKey    map[string]chan struct{} // by affinity key; closed when the latest notice of the key is finished
	accepted     int
}

// destinationState limits the calls to one destination. None starts before waitUntil, the end of a wait that a receiver
// requested, nor before nextCall, which spaces out the calls from a failed one until slowUntil.
type destinationState struct {
	waitUntil, slowUntil, nextCall time.Time
}

// pendingNotice is an accepted notice that has no outcome yet.
type pendingNotice struct {
	id, idempotencyKey, key string
	grade                   rules.Grade
	destination             int64
	deadline                time.Time
	body                    []byte
	// previous is closed when the notice before it of the same key is finished, done when this one is.
	previous, done chan struct{}
}

// runTestSender serves with the configuration in a file until SIGTERM ends the process.
func runTestSender(configPath, defect string) error {
	senderConfig, _, err := config.Load(configPath, "unused")
	if err != nil {
		return err
	}
	sender := &testSender{defect: defect, config: senderConfig, receivers: map[string]directory.Member{},
		destinations: map[int64]*destinationState{}, lastOfKey: map[string]chan struct{}{}}
	for _, m := range senderConfig.InitialList.Members {
		sender.receivers[m.ID] = m
	}
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	go func() { <-terminate; os.Exit(0) }()
	go sender.pollReceivers()
	return http.ListenAndServe(senderConfig.Listen, http.HandlerFunc(sender.serve))
}

// httpClient opens a connection for each request.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// pollReceivers keeps the receiver list up to date by long polling the platform.
func (s *testSender) pollReceivers() {
	for {
		response, err := httpClient.Get(fmt.Sprintf("http://%s/discovery/hosts?from=%d&hold_ms=2000",
			s.config.Discovery, s.revision))
		var list directory.List
		if err == nil {
			err = json.NewDecoder(response.Body).Decode(&list)
			response.Body.Close()
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		s.revision = list.Revision
		for _, m := range list.Members {
			if s.defect != "drains" || m.Phase == "ready" {
				s.receivers[m.ID] = m
			}
		}
		s.mu.Unlock()
	}
}

// serve accepts a notice and delivers it in the background.
func (s *testSender) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/up" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	timeoutMS, _ := strconv.Atoi(r.Header.Get("Request-Timeout-Ms"))
	destination, _ := strconv.ParseInt(strings.TrimPrefix(r.Header.Get("X-Consignee"), "dest="), 10, 64)
	notice := &pendingNotice{id: r.Header.Get("Request-Id"), idempotencyKey: r.Header.Get("Idempotency-Key"),
		key: r.Header.Get("Affinity-Key"), destination: destination,
		deadline: time.Now().Add(time.Duration(timeoutMS) * time.Millisecond), body: body, done: make(chan struct{})}
	for i, name := range s.config.Names.Grades {
		if name == r.Header.Get("Request-Class") {
			notice.grade = s.config.Settings.Grades[i]
		}
	}
	s.mu.Lock()
	if notice.key != "" && notice.grade.InOrder && s.defect != "order" {
		notice.previous, s.lastOfKey[notice.key] = s.lastOfKey[notice.key], notice.done
	}
	s.accepted++
	isLost := s.defect == "loses" && s.accepted%20 == 0
	s.mu.Unlock()
	w.WriteHeader(202)
	if !isLost {
		go s.deliver(notice)
	}
}

// deliver makes trips until the notice is delivered, or until no further trip is allowed. In that case it reports the
// final outcome.
func (s *testSender) deliver(notice *pendingNotice) {
	defer close(notice.done)
	if notice.previous != nil {
		<-notice.previous
	}
	if s.defect == "order" && notice.grade.InOrder {
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	}
	mayHaveRun := false
	for trips := 0; ; {
		if time.Now().After(notice.deadline.Add(-300*time.Millisecond)) || trips >= s.config.Settings.TripLimit {
			s.reportOutcome(notice, mayHaveRun)
			return
		}
		address, ok := s.choose(notice)
		if !ok {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		trips++
		status, wait, ran := s.call(address, notice)
		if status == 200 {
			if s.defect == "ends delivered" && trips == 1 && rand.IntN(20) == 0 {
				time.Sleep(400 * time.Millisecond)
				s.reportOutcome(notice, false)
			}
			if s.defect == "copies" && rand.IntN(20) == 0 {
				go s.call(address, notice)
				s.call(address, notice)
			}
			return
		}
		mayHaveRun = mayHaveRun || ran
		s.mu.Lock()
		destination := s.destinations[notice.destination]
		if s.defect != "waits" {
			destination.waitUntil = time.Now().Add(wait)
		}
		if status == 0 && s.defect != "pushes" {
			destination.slowUntil = time.Now().Add(12 * time.Second)
		}
		s.mu.Unlock()
		if mayHaveRun && notice.grade.Repeat == rules.AtMostOnce && s.defect != "repeats" {
			s.reportOutcome(notice, s.defect != "dismisses")
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// choose returns the address of a receiver that may be called now, and false if there is none. Until slowUntil it also
// delays the next call to the destination.
func (s *testSender) choose(notice *pendingNotice) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	destination := s.destinations[notice.destination]
	if destination == nil {
		destination = &destinationState{}
		s.destinations[notice.destination] = destination
	}
	now := time.Now()
	if now.Before(destination.waitUntil) || now.Before(destination.nextCall) {
		return "", false
	}
	for _, m := range s.receivers {
		if m.Phase == "ready" && (m.Cell == notice.destination || s.defect == "strays" && rand.IntN(10) == 0) {
			if now.Before(destination.slowUntil) {
				destination.nextCall = now.Add(600 * time.Millisecond)
			}
			return m.HostPort, true
		}
	}
	return "", false
}

// call makes one call. wait is the wait that the receiver requested, and ran reports whether the call may have taken
// effect.
func (s *testSender) call(address string, notice *pendingNotice) (status int, wait time.Duration, ran bool) {
	request, _ := http.NewRequest("POST", "http://"+address+"/events", bytes.NewReader(notice.body))
	request.Header.Set("Request-Id", notice.id)
	if notice.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", notice.idempotencyKey)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, 0, !strings.Contains(err.Error(), "dial")
	}
	response.Body.Close()
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		wait = time.Duration(seconds * float64(time.Second))
	}
	return response.StatusCode, wait, response.StatusCode == 500
}

// reportOutcome reports to the platform that a notice was dismissed or, if it may have run, broken off.
func (s *testSender) reportOutcome(notice *pendingNotice, mayHaveRun bool) {
	if s.defect == "late" {
		time.Sleep(time.Until(notice.deadline.Add(700 * time.Millisecond)))
	}
	outcome := directory.HandedBack
	if mayHaveRun {
		outcome = directory.GivenUp
	}
	line := fmt.Sprintf(`{"message":%q,"outcome":%q}`, notice.id, outcome)
	if response, err := httpClient.Post("http://"+s.config.Discovery+"/v2/finals", "application/json",
		strings.NewReader(line)); err == nil {
		response.Body.Close()
	}
	if s.defect == "goes on" {
		if address, ok := s.choose(notice); ok {
			time.Sleep(200 * time.Millisecond)
			s.call(address, notice)
		}
	}
}

// defectVariable is the environment variable that makes the test binary run as a testSender; its value is the defect.
const defectVariable = "CHUTEWEIR_DOUBLE"

// runAsTestSender runs a testSender in place of the tests if defectVariable is set.
func runAsTestSender() {
	if defect, isSet := os.LookupEnv(defectVariable); isSet {
		fmt.Fprintln(os.Stderr, runTestSender(os.Args[1], defect))
		os.Exit(1)
	}
}
