// Package relay is a plain relay on net/http with a circuit breaker (sony/gobreaker) for each destination: what a team
// would write in a day. It is the baseline that a sender's cost and results are held against, takes the same
// configuration, and promises little: it has no ledger, keeps no waits and no limits, and calls anew after a failure
// whatever the grade allows. It is never part of a sender.
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

// Relay is a running relay.
type Relay struct {
	config config.Config
	client *http.Client
	ends   *http.Client

	mu    sync.RWMutex
	list  map[string]directory.Member
	ready map[int64][]string
	since int64
	dests sync.Map // int64 to *gobreaker.CircuitBreaker[int]
	turn  atomic.Int64
}

// New makes a relay that knows the configuration's receivers.
func New(c config.Config) *Relay {
	r := &Relay{config: c, list: map[string]directory.Member{}, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true}}, ends: &http.Client{}}
	for _, m := range c.Known.Members {
		r.list[m.ID] = m
	}
	r.sort()
	return r
}

// Serve serves until the context ends.
func (r *Relay) Serve(ctx context.Context) error {
	server := &http.Server{Addr: r.config.Listen, Handler: http.HandlerFunc(r.take)}
	go r.watch(ctx)
	go func() {
		<-ctx.Done()
		late, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		server.Shutdown(late)
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving: %w", err)
	}
	return nil
}

func (r *Relay) sort() {
	r.ready = map[int64][]string{}
	for _, m := range r.list {
		if m.Phase == "ready" {
			r.ready[m.Cell] = append(r.ready[m.Cell], m.HostPort)
		}
	}
}

func (r *Relay) watch(ctx context.Context) {
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, "GET",
			fmt.Sprintf("http://%s/discovery/hosts?from=%d&hold_ms=2000", r.config.Discovery, r.since), nil)
		if err != nil {
			return
		}
		var list directory.List
		answer, err := r.ends.Do(request)
		if err == nil {
			err = json.NewDecoder(answer.Body).Decode(&list)
			answer.Body.Close()
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		r.mu.Lock()
		r.since = list.Revision
		for _, m := range list.Members {
			r.list[m.ID] = m
		}
		r.sort()
		r.mu.Unlock()
	}
}

func (r *Relay) take(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/up" {
		return
	}
	left, err := strconv.Atoi(request.Header.Get("Request-Timeout-Ms"))
	dest, found := strings.CutPrefix(request.Header.Get("X-Consignee"), "dest=")
	to, wrong := strconv.ParseInt(dest, 10, 64)
	if err != nil || !found || wrong != nil {
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
	go r.deliver(request.Header.Get("Request-Id"), request.Header.Get("Idempotency-Key"), to, grade, body, time.Duration(left)*time.Millisecond)
}

func (r *Relay) breaker(to int64) *gobreaker.CircuitBreaker[int] {
	if b, known := r.dests.Load(to); known {
		return b.(*gobreaker.CircuitBreaker[int])
	}
	b, _ := r.dests.LoadOrStore(to, gobreaker.NewCircuitBreaker[int](gobreaker.Settings{Timeout: 5 * time.Second, Interval: 30 * time.Second,
		ReadyToTrip: func(c gobreaker.Counts) bool { return c.Requests >= 10 && c.TotalFailures*2 >= c.Requests }}))
	return b.(*gobreaker.CircuitBreaker[int])
}

var errFailed = errors.New("the call failed")

func (r *Relay) deliver(id, mark string, to int64, grade rules.Grade, body []byte, left time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), max(left-50*time.Millisecond, time.Millisecond))
	defer cancel()
	each := time.Duration(float64(grade.QuotedTime) * float64(time.Millisecond))
	for trip := range r.config.Settings.TripLimit {
		_, err := r.breaker(to).Execute(func() (int, error) { return r.call(ctx, each, id, mark, to, body) })
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
	line := fmt.Sprintf(`{"message":%q,"outcome":"given_up"}`, id)
	if answer, err := r.ends.Post("http://"+r.config.Discovery+"/v2/finals", "application/json", strings.NewReader(line)); err == nil {
		answer.Body.Close()
	}
}

func (r *Relay) call(ctx context.Context, each time.Duration, id, mark string, to int64, body []byte) (int, error) {
	r.mu.RLock()
	ready := r.ready[to]
	r.mu.RUnlock()
	if len(ready) == 0 {
		return 0, errFailed
	}
	ctx, cancel := context.WithTimeout(ctx, each)
	defer cancel()
	address := ready[int(r.turn.Add(1))%len(ready)]
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/events", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(each.Milliseconds(), 10))
	if mark != "" {
		request.Header.Set("Idempotency-Key", mark)
	}
	answer, err := r.client.Do(request)
	if err != nil {
		return 0, err
	}
	io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
	if answer.StatusCode != 200 {
		return answer.StatusCode, errFailed
	}
	return 200, nil
}
