// Package logs writes the sender's log. Whoever logs never waits: lines go through a queue to a goroutine of the
// log's own, and what a blocked reader leaves no room for is dropped and counted. Events that repeat are sampled.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	queued  = 1024        // lines that wait to be written
	often   = 10          // lines of a sampled event in a span
	pause   = time.Second // that span
	goodbye = 200 * time.Millisecond
)

// Writer passes lines on without making their writer wait.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	mu      sync.Mutex
	dropped int
	counts  map[string]*count
}

// count is how often a sampled event came in the present span.
type count struct {
	since   time.Time
	written int
	left    int
}

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

// New makes a logger of a format, text or json, that writes to out from a level on. Close the Writer at the end.
func New(out io.Writer, format, level string) (*slog.Logger, *Writer) {
	w := &Writer{lines: make(chan []byte, queued), done: make(chan struct{}), counts: map[string]*count{}}
	options := &slog.HandlerOptions{Level: levels[level]}
	var h slog.Handler = slog.NewTextHandler(w, options)
	if format == "json" {
		h = slog.NewJSONHandler(w, options)
	}
	go w.pass(out, h)
	return slog.New(&sampler{h, w}), w
}

// Write takes a line, or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.mu.Lock()
		w.dropped++
		w.mu.Unlock()
	}
	return len(line), nil
}

// Dropped is the number of lines dropped and not told yet.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// pass is the log's own goroutine.
func (w *Writer) pass(out io.Writer, h slog.Handler) {
	defer close(w.done)
	tell := time.NewTicker(pause)
	defer tell.Stop()
	for {
		select {
		case line, more := <-w.lines:
			if !more {
				return
			}
			out.Write(line)
			if w.mu.Lock(); w.dropped > 0 && len(w.lines) < queued/2 {
				n := w.dropped
				w.dropped = 0
				w.mu.Unlock()
				w.say(h, slog.LevelWarn, LinesDropped, slog.Int("count", n))
			} else {
				w.mu.Unlock()
			}
		case now := <-tell.C:
			for name, left := range w.due(now) {
				w.say(h, slog.LevelInfo, LeftOut, slog.String("event", name), slog.Int("count", left))
			}
		}
	}
}

func (w *Writer) say(h slog.Handler, level slog.Level, name string, attrs ...slog.Attr) {
	r := slog.NewRecord(time.Now(), level, name, 0)
	r.AddAttrs(attrs...)
	h.Handle(context.Background(), r)
}

// passes tells whether one more line of an event may be written.
func (w *Writer) passes(name string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts[name]
	if c == nil {
		c = &count{since: now}
		w.counts[name] = c
	}
	if now.Sub(c.since) >= pause && c.left == 0 {
		*c = count{since: now}
	}
	if c.written >= often {
		c.left++
		return false
	}
	c.written++
	return true
}

// due ends the spans that are over and returns how many lines each left out.
func (w *Writer) due(now time.Time) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := map[string]int{}
	for name, c := range w.counts {
		if now.Sub(c.since) >= pause && c.left > 0 {
			left[name] = c.left
			*c = count{since: now}
		}
	}
	return left
}

// Close writes what waits, for a short while at most: nobody may read any more.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(goodbye):
	}
}

// sampler leaves out repeated lines of the events that are sampled.
type sampler struct {
	slog.Handler
	w *Writer
}

func (s *sampler) Handle(c context.Context, r slog.Record) error {
	if e := event(r.Message); e != nil && e.Sampled && !s.w.passes(r.Message, r.Time) {
		return nil
	}
	return s.Handler.Handle(c, r)
}

func (s *sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(attrs), s.w}
}

func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.w}
}
