package logs

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output that blocks every write until free is closed.
type blockedOutput struct {
	free chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (o *blockedOutput) Write(line []byte) (int, error) {
	<-o.free
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(line)
}

// A blocked output must not block the callers of the logger. The lines that are lost are counted.
func TestNeverWaits(t *testing.T) {
	out := &blockedOutput{free: make(chan struct{})}
	log, writer := New(out, "text", "info")
	done := make(chan struct{})
	go func() {
		for range 3 * queueLength {
			log.Info(Breaker, "state", "open")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging to a blocked output took more than 10 s")
	}
	if dropped := writer.Dropped(); dropped < 2*queueLength-2 || dropped > 2*queueLength {
		t.Errorf("%d lines dropped, want 2*queueLength or up to 2 fewer", dropped)
	}
	close(out.free)
	for range 1000 {
		if writer.Dropped() == 0 && len(writer.lines) == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	writer.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if written := strings.Count(out.text.String(), "msg="+Breaker); written < queueLength || written > queueLength+2 ||
		strings.Count(out.text.String(), "msg="+LinesDropped) != 1 {
		t.Errorf("%d lines written, want queueLength to queueLength+2 and one LinesDropped line; the last are\n%s", written,
			out.text.String()[max(0, out.text.Len()-500):])
	}
}

// Lines of a sampled event beyond the limit are omitted and counted, until the next sampling interval.
func TestSamples(t *testing.T) {
	_, writer := New(io.Discard, "json", "info")
	defer writer.Close()
	now := time.Now()
	allowed := 0
	for i := range 100 {
		if writer.allow(LedgerFailed, now.Add(time.Duration(i)*time.Millisecond)) {
			allowed++
		}
	}
	if allowed != maxPerInterval {
		t.Errorf("%d lines allowed, want maxPerInterval", allowed)
	}
	if omitted := writer.endIntervals(now.Add(500 * time.Millisecond)); len(omitted) > 0 {
		t.Errorf("omitted lines reported before the interval ended: %v", omitted)
	}
	if omitted := writer.endIntervals(now.Add(samplingInterval)); omitted[LedgerFailed] != 100-maxPerInterval {
		t.Errorf("omitted lines: %v, want all beyond maxPerInterval", omitted)
	}
	if !writer.allow(LedgerFailed, now.Add(samplingInterval)) {
		t.Error("no line is allowed in the next interval")
	}
}
