package logs

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a reader that reads nothing until it is freed.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// A log that nobody reads must not make its writer wait; what is lost is counted.
func TestNeverWaits(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	log, lines := New(out, "text", "info")
	done := make(chan struct{})
	go func() {
		for range 3 * queued {
			log.Info(Breaker, "state", "open")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the writer waits")
	}
	if n := lines.Dropped(); n < 2*queued-2 || n > 2*queued {
		t.Errorf("%d lines dropped", n)
	}
	close(out.free)
	for range 1000 {
		if lines.Dropped() == 0 && len(lines.lines) == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	lines.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if written := strings.Count(out.text.String(), "msg="+Breaker); written < queued || written > queued+2 ||
		strings.Count(out.text.String(), "msg="+LinesDropped) != 1 {
		t.Errorf("%d written, and\n%s", written, out.text.String()[max(0, out.text.Len()-500):])
	}
}

// What repeats is left out and counted; what tells a change of state never is.
func TestSamples(t *testing.T) {
	_, w := New(io.Discard, "json", "info")
	defer w.Close()
	now := time.Now()
	passed := 0
	for i := range 100 {
		if w.passes(LedgerFailed, now.Add(time.Duration(i)*time.Millisecond)) {
			passed++
		}
	}
	if passed != often {
		t.Errorf("%d passed", passed)
	}
	if left := w.due(now.Add(500 * time.Millisecond)); len(left) > 0 {
		t.Errorf("told too soon: %v", left)
	}
	if left := w.due(now.Add(pause)); left[LedgerFailed] != 100-often {
		t.Errorf("left out: %v", left)
	}
	if !w.passes(LedgerFailed, now.Add(pause)) {
		t.Error("none passes in the next span")
	}
}
