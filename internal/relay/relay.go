// Package relay is a simple relay on net/http with one circuit breaker (sony/gobreaker) per destination, as a team
// could write it in a day. It is the baseline with which a sender's cost and results are compared. It reads the same
// configuration but guarantees little: it has no ledger, ignores requested waits and limits, and retries after a
// failure even where the grade forbids it. It is never part of a sender.
package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chuteweir.example/chuteweir/internal/config"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/rules"
	"github.com/sony/gobreaker/v2"
)

// Relay is the relay server. mu guards the receiver list: members, readyAddresses and revision.
type Relay struct {
	config         config.Config
	receiverClient *http.Client
	platformClient *http.Client

	mu             sync.RWMutex
	members        map[string]directory.Member
	readyAddresses map[int64][]string
	revision       int64
	breakers       sync.Map // int64 to *gobreaker.CircuitBreaker[int]
	callCount      atomic.Int64
}

// New creates a relay with the receivers of the configuration.
func New(c config.Config) *Relay {
	r := &Relay{config: c, members: map[string]directory.Member{},
		receiverClient: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true}},
		platformClient: &http.Client{}}
	for _, m := range c.InitialList.Members {
		r.members[m.ID] = m
	}
	r.indexReady()
	return r
}

// Serve accepts notices until the context ends.
func (r *Relay) Serve(ctx context.Context) error {
	server := &http.Server{Addr: r.config.Listen, Handler: http.HandlerFunc(r.accept)}
	go r.watchReceiverList(ctx)
	go func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		server.Shutdown(shutdownCtx)
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving notices: %w", err)
	}
	return nil
}

// indexReady groups the addresses of the ready receivers by destination. The caller holds mu.
func (r *Relay) indexReady() {
	r.readyAddresses = map[int64][]string{}
	for _, m := range r.members {
		if m.Phase == "ready" {
			r.readyAddresses[m.Cell] = append(r.readyAddresses[m.Cell], m.HostPort)
		}
	}
}

// watchReceiverList polls discovery for changes of the receiver list until the context ends.
func (r *Relay) watchReceiverList(ctx context.Context) {
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, "GET",
			fmt.Sprintf("http://%s/discovery/hosts?from=%d&hold_ms=2000", r.config.Discovery, r.revision), nil)
		if err != nil {
			return
		}
		var list directory.List
		response, err := r.platformClient.Do(request)
		if err == nil {
			err = json.NewDecoder(response.Body).Decode(&list)
			response.Body.Close()
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		r.mu.Lock()
		r.revision = list.Revision
		for _, m := range list.Members {
			r.members[m.ID] = m
		}
		r.indexReady()
		r.mu.Unlock()
	}
}

// accept answers a notice with 202 before its delivery, or with 400 if its headers are invalid. It answers health
// checks (/up) with 200.
func (r *Relay) accept(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/up" {
		return
	}
	timeoutMS, err := strconv.Atoi(request.Header.Get("Request-Timeout-Ms"))
	destinationText, found := strings.CutPrefix(request.Header.Get("X-Consignee"), "dest=")
	destination, destinationErr := strconv.ParseInt(destinationText, 10, 64)
	if err != nil || !found || destinationErr != nil {
		w.WriteHeader(400)
		return
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, 64<<10))
	if err != nil {
		return
	}
	var grade rules.Grade
	for i, name := range r.config.Names.Grades {
		if name == request.Header.Get("Request-Class") {
			grade = r.config.Settings.Grades[i]
		}
	}
	w.WriteHeader(202)
	go r.deliver(request.Header.Get("Request-Id"), request.Header.Get("Idempotency-Key"), destination, grade, body,
		time.Duration(timeoutMS)*time.Millisecond)
}

// breaker returns the circuit breaker of a destination and creates it on first use.
func (r *Relay) breaker(destination int64) *gobreaker.CircuitBreaker[int] {
	if b, found := r.breakers.Load(destination); found {
		return b.(*gobreaker.CircuitBreaker[int])
	}
	b, _ := r.breakers.LoadOrStore(destination, gobreaker.NewCircuitBreaker[int](gobreaker.Settings{
		Timeout: 5 * time.Second, Interval: 30 * time.Second,
		ReadyToTrip: func(c gobreaker.Counts) bool { return c.Requests >= 10 && c.TotalFailures*2 >= c.Requests }}))
	return b.(*gobreaker.CircuitBreaker[int])
}

// errFailed makes a call count as failed by the circuit breaker.
var errFailed = errors.New("no receiver is ready, or the receiver responded with a status other than 200")

// deliver calls receivers until one handles the notice, up to the trip limit and the client timeout, and reports a
// notice that was not delivered as given up.
func (r *Relay) deliver(id, idempotencyKey string, destination int64, grade rules.Grade, body []byte,
	timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), max(timeout-50*time.Millisecond, time.Millisecond))
	defer cancel()
	callTimeout := time.Duration(float64(grade.QuotedTime) * float64(time.Millisecond))
	for trip := range r.config.Settings.TripLimit {
		_, err := r.breaker(destination).Execute(func() (int, error) {
			return r.call(ctx, callTimeout, id, idempotencyKey, destination, body)
		})
		if err == nil {
			return
		}
		select {
		case <-time.After(50 * time.Millisecond << min(trip, 5)):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
	}
	outcome := fmt.Sprintf(`{"message":%q,"outcome":"given_up"}`, id)
	if response, err := r.platformClient.Post("http://"+r.config.Discovery+"/v2/finals", "application/json",
		strings.NewReader(outcome)); err == nil {
		response.Body.Close()
	}
}

// call makes one trip to the next ready receiver of the destination. It returns the status of the response, and an
// error unless the status is 200.
func (r *Relay) call(ctx context.Context, callTimeout time.Duration, id, idempotencyKey string, destination int64,
	body []byte) (int, error) {
	r.mu.RLock()
	ready := r.readyAddresses[destination]
	r.mu.RUnlock()
	if len(ready) == 0 {
		return 0, errFailed
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address := ready[int(r.callCount.Add(1))%len(ready)]
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/events", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := r.receiverClient.Do(request)
	if err != nil {
		return 0, err
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if response.StatusCode != 200 {
		return response.StatusCode, errFailed
	}
	return 200, nil
}
