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

// double is a small sender that is right unless it is told to be wrong in one way: what the auditor finds of it shows
// what the auditor is worth.
type double struct {
	wrong  string
	config config.Config

	mu    sync.Mutex
	list  map[string]directory.Member
	since int64
	dests map[int64]*place
	keys  map[string]chan struct{} // closed when the last notice of a key is over
	count int
}

type place struct {
	waitUntil, slowUntil, next time.Time
}

type job struct {
	id, mark, key string
	grade         rules.Grade
	dest          int64
	until         time.Time
	body          []byte
	turn, over    chan struct{}
}

// runDouble serves until it is killed.
func runDouble(path, wrong string) error {
	c, _, err := config.Load(path, "unused")
	if err != nil {
		return err
	}
	d := &double{wrong: wrong, config: c, list: map[string]directory.Member{}, dests: map[int64]*place{}, keys: map[string]chan struct{}{}}
	for _, m := range c.Known.Members {
		d.list[m.ID] = m
	}
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM)
	go func() { <-leave; os.Exit(0) }()
	go d.watch()
	return http.ListenAndServe(c.Listen, http.HandlerFunc(d.serve))
}

var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (d *double) watch() {
	for {
		answer, err := plainClient.Get(fmt.Sprintf("http://%s/discovery/hosts?from=%d&hold_ms=2000", d.config.Discovery, d.since))
		var list directory.List
		if err == nil {
			err = json.NewDecoder(answer.Body).Decode(&list)
			answer.Body.Close()
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		d.mu.Lock()
		d.since = list.Revision
		for _, m := range list.Members {
			if d.wrong != "drains" || m.Phase == "ready" {
				d.list[m.ID] = m
			}
		}
		d.mu.Unlock()
	}
}

func (d *double) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/up" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	left, _ := strconv.Atoi(r.Header.Get("Request-Timeout-Ms"))
	dest, _ := strconv.ParseInt(strings.TrimPrefix(r.Header.Get("X-Consignee"), "dest="), 10, 64)
	j := &job{id: r.Header.Get("Request-Id"), mark: r.Header.Get("Idempotency-Key"), key: r.Header.Get("Affinity-Key"), dest: dest,
		until: time.Now().Add(time.Duration(left) * time.Millisecond), body: body, over: make(chan struct{})}
	for i, name := range d.config.Names.Grades {
		if name == r.Header.Get("Request-Class") {
			j.grade = d.config.Settings.Grades[i]
		}
	}
	d.mu.Lock()
	if j.key != "" && j.grade.InOrder && d.wrong != "order" {
		j.turn, d.keys[j.key] = d.keys[j.key], j.over
	}
	d.count++
	loses := d.wrong == "loses" && d.count%20 == 0
	d.mu.Unlock()
	w.WriteHeader(202)
	if !loses {
		go d.deliver(j)
	}
}

func (d *double) deliver(j *job) {
	defer close(j.over)
	if j.turn != nil {
		<-j.turn
	}
	if d.wrong == "order" && j.grade.InOrder {
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	}
	mayHaveRun := false
	for trips := 0; ; {
		if time.Now().After(j.until.Add(-300*time.Millisecond)) || trips >= d.config.Settings.TripLimit {
			d.end(j, mayHaveRun)
			return
		}
		address, ok := d.choose(j)
		if !ok {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		trips++
		status, wait, ran := d.call(address, j)
		if status == 200 {
			if d.wrong == "ends delivered" && trips == 1 && rand.IntN(20) == 0 {
				time.Sleep(400 * time.Millisecond)
				d.end(j, false)
			}
			if d.wrong == "copies" && rand.IntN(20) == 0 {
				go d.call(address, j)
				d.call(address, j)
			}
			return
		}
		mayHaveRun = mayHaveRun || ran
		d.mu.Lock()
		p := d.dests[j.dest]
		if d.wrong != "waits" {
			p.waitUntil = time.Now().Add(wait)
		}
		if status == 0 && d.wrong != "pushes" {
			p.slowUntil = time.Now().Add(12 * time.Second)
		}
		d.mu.Unlock()
		if mayHaveRun && j.grade.Repeat == rules.AtMostOnce && d.wrong != "repeats" {
			d.end(j, d.wrong != "dismisses")
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// choose finds a receiver that may be called now, and books the call.
func (d *double) choose(j *job) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.dests[j.dest]
	if p == nil {
		p = &place{}
		d.dests[j.dest] = p
	}
	now := time.Now()
	if now.Before(p.waitUntil) || now.Before(p.next) {
		return "", false
	}
	for _, m := range d.list {
		if m.Phase == "ready" && (m.Cell == j.dest || d.wrong == "strays" && rand.IntN(10) == 0) {
			if now.Before(p.slowUntil) {
				p.next = now.Add(600 * time.Millisecond)
			}
			return m.HostPort, true
		}
	}
	return "", false
}

// call makes one call; ran tells whether it may have run.
func (d *double) call(address string, j *job) (status int, wait time.Duration, ran bool) {
	request, _ := http.NewRequest("POST", "http://"+address+"/events", bytes.NewReader(j.body))
	request.Header.Set("Request-Id", j.id)
	if j.mark != "" {
		request.Header.Set("Idempotency-Key", j.mark)
	}
	answer, err := plainClient.Do(request)
	if err != nil {
		return 0, 0, !strings.Contains(err.Error(), "dial")
	}
	answer.Body.Close()
	if s, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		wait = time.Duration(s * float64(time.Second))
	}
	return answer.StatusCode, wait, answer.StatusCode == 500
}

func (d *double) end(j *job, mayHaveRun bool) {
	if d.wrong == "late" {
		time.Sleep(time.Until(j.until.Add(700 * time.Millisecond)))
	}
	outcome := directory.HandedBack
	if mayHaveRun {
		outcome = directory.GivenUp
	}
	line := fmt.Sprintf(`{"message":%q,"outcome":%q}`, j.id, outcome)
	if answer, err := plainClient.Post("http://"+d.config.Discovery+"/v2/finals", "application/json", strings.NewReader(line)); err == nil {
		answer.Body.Close()
	}
	if d.wrong == "goes on" {
		if address, ok := d.choose(j); ok {
			time.Sleep(200 * time.Millisecond)
			d.call(address, j)
		}
	}
}

// asDouble is the environment variable by which the test's own program becomes a double.
const asDouble = "CHUTEWEIR_DOUBLE"

func doubleMain() {
	if wrong, is := os.LookupEnv(asDouble); is {
		fmt.Fprintln(os.Stderr, runDouble(os.Args[1], wrong))
		os.Exit(1)
	}
}
