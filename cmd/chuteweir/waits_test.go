package main

import (
	"strings"
	"sync"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/standin"
)

// These tests hold calls of a real sender against the waits that its destination has told.

// waitWatch answers calls and notes those that come while a wait that it has told goes on.
type waitWatch struct {
	*world
	mu     sync.Mutex
	told   time.Time
	until  time.Time
	inWait []string
}

// crossing is how long after a told wait calls may come that had left before.
const crossing = 100 * time.Millisecond

func watchWaits(w *world) *waitWatch { return &waitWatch{world: w} }

// arrived notes a call.
func (w *waitWatch) arrived(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.After(w.told.Add(crossing)) && now.Before(w.until) {
		w.inWait = append(w.inWait, id)
	}
}

// tells notes that a wait is about to be told.
func (w *waitWatch) tells(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told, w.until = time.Now(), time.Now().Add(wait)
}

func (w *waitWatch) hasTold() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.told.IsZero()
}

func (w *waitWatch) checkWaits() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.inWait) > 0 {
		w.t.Errorf("called within a told wait: %s\n%s", strings.Join(w.inWait, ", "), w.log)
	}
}

func TestCallWhoseConnectionComesUpWithinToldWaitIsKeptBack(t *testing.T) {
	w := watchWaits(begin(t, `connect_time = "500ms"`, `connect_time = "3s"`))
	w.answers(func(a *standin.Asked) standin.Reply {
		w.arrived(a.ID)
		if a.ID != "tells" || w.hasTold() {
			return standin.Reply{Status: 200}
		}
		time.Sleep(300 * time.Millisecond)
		w.tells(2 * time.Second)
		return standin.Reply{Status: 429, Fields: []string{"Retry-After: 2"}}
	})
	w.hand("note", "warm", 9000, 1) // leaves an idle connection behind
	w.await(1, "receiver: POST /events warm")
	time.Sleep(100 * time.Millisecond)
	w.must(w.gateways.Block("s-1-1"))
	w.hand("note", "tells", 9000, 1)
	w.await(1, "receiver: POST /events tells")
	w.hand("note", "late", 9000, 1) // its connection comes up with the kernel's second attempt, after 1 s
	time.Sleep(500 * time.Millisecond)
	w.must(w.gateways.Unblock("s-1-1"))
	w.await(2, "receiver: POST /events tells")
	w.await(1, "receiver: POST /events late")
	w.checkWaits()
}

// heedsWait checks that nothing is sent within a wait of 2 s that is told by the way a receiver answers a first call.
func heedsWait(t *testing.T, first func(*waitWatch, *standin.Asked) standin.Reply, replaced ...string) {
	w := watchWaits(begin(t, replaced...))
	w.answers(func(a *standin.Asked) standin.Reply {
		w.arrived(a.ID)
		if a.ID != "tells" || w.hasTold() {
			return standin.Reply{Status: 200}
		}
		return first(w, a)
	})
	w.hand("note", "tells", 9000, 1)
	for !w.hasTold() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * crossing)
	w.hand("note", "next", 9000, 1)
	w.await(1, "receiver: POST /events next")
	w.checkWaits()
}

func TestWaitOfAnswerThatDoesNotEndIsHeeded(t *testing.T) {
	for name, raw := range map[string]string{
		"body": "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 2\r\nContent-Length: 10\r\n\r\nhalf",
		"head": "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nServer: slow",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			heedsWait(t, func(w *waitWatch, _ *standin.Asked) standin.Reply {
				w.tells(2 * time.Second)
				return standin.Reply{Raw: raw}
			})
		})
	}
}
func TestWaitOfAnswerThatCrossesGivingUpIsHeeded(t *testing.T) {
	heedsWait(t, func(w *waitWatch, a *standin.Asked) standin.Reply {
		<-a.Gone
		w.tells(2 * time.Second)
		return standin.Reply{Status: 429, Fields: []string{"Retry-After: 2"}}
	}, `quoted = "3s"`, `quoted = "300ms"`)
}
