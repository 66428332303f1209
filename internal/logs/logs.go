// Package logs writes the sender's log without blocking its caller: lines pass through a queue to a separate
// goroutine, and lines that find the queue full, because the reader is blocked, are dropped and counted. Frequent
// events are sampled.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	queueLength      = 1024 // lines waiting to be written
	maxPerInterval   = 10   // lines of one sampled event in a sampling interval
	samplingInterval = time.Second
	closeTimeout     = 200 * time.Millisecond // how long Close waits for the queued lines to be written
)

// Writer queues log lines for output without blocking, and counts the lines that are dropped or omitted.
type Writer struct {
	lines   chan []byte            // the queue
	done    chan struct{}          // closed when all queued lines are written
	once    sync.Once              // closes lines
	mu      sync.Mutex             // guards the fields below
	dropped int                    // lines dropped since the last LinesDropped line
	counts  map[string]*eventCount // by event name
}

// eventCount counts the lines of a sampled event in its current sampling interval.
type eventCount struct {
	start   time.Time // of the interval
	written int
	omitted int
}

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

// New returns a logger that writes to out, in the format "text" or "json", the lines of at least the given level.
// The caller closes the Writer at exit.
func New(out io.Writer, format, level string) (*slog.Logger, *Writer) {
	writer := &Writer{lines: make(chan []byte, queueLength), done: make(chan struct{}), counts: map[string]*eventCount{}}
	options := &slog.HandlerOptions{Level: levels[level]}
	var handler slog.Handler = slog.NewTextHandler(writer, options)
	if format == "json" {
		handler = slog.NewJSONHandler(writer, options)
	}
	go writer.writeLines(out, handler)
	return slog.New(&sampler{handler, writer}), writer
}

// Write queues a line, or drops it if the queue is full. It never fails.
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

// Dropped returns the number of dropped lines that no LinesDropped line has reported yet.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// writeLines writes the queued lines to out until the queue is closed, and logs the numbers of dropped and omitted
// lines. The number of dropped lines is logged when the queue is less than half full, so that it isn't dropped too.
func (w *Writer) writeLines(out io.Writer, handler slog.Handler) {
	defer close(w.done)
	ticker := time.NewTicker(samplingInterval)
	defer ticker.Stop()
	for {
		select {
		case line, more := <-w.lines:
			if !more {
				return
			}
			out.Write(line)
			if w.mu.Lock(); w.dropped > 0 && len(w.lines) < queueLength/2 {
				dropped := w.dropped
				w.dropped = 0
				w.mu.Unlock()
				w.logEvent(handler, slog.LevelWarn, LinesDropped, slog.Int("count", dropped))
			} else {
				w.mu.Unlock()
			}
		case now := <-ticker.C:
			for name, omitted := range w.endIntervals(now) {
				w.logEvent(handler, slog.LevelInfo, LinesOmitted, slog.String("event", name), slog.Int("count", omitted))
			}
		}
	}
}

// logEvent logs an event that concerns the log itself.
func (w *Writer) logEvent(handler slog.Handler, level slog.Level, name string, attrs ...slog.Attr) {
	record := slog.NewRecord(time.Now(), level, name, 0)
	record.AddAttrs(attrs...)
	handler.Handle(context.Background(), record)
}

// allow reports whether one more line of a sampled event may be written, and counts the line. An interval with omitted
// lines lasts until endIntervals has returned their number.
func (w *Writer) allow(name string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.counts[name]
	if current == nil {
		current = &eventCount{start: now}
		w.counts[name] = current
	}
	if now.Sub(current.start) >= samplingInterval && current.omitted == 0 {
		*current = eventCount{start: now}
	}
	if current.written >= maxPerInterval {
		current.omitted++
		return false
	}
	current.written++
	return true
}

// endIntervals ends the sampling intervals that are over, and returns the number of omitted lines by event name,
// for events with any.
func (w *Writer) endIntervals(now time.Time) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	omitted := map[string]int{}
	for name, current := range w.counts {
		if now.Sub(current.start) >= samplingInterval && current.omitted > 0 {
			omitted[name] = current.omitted
			*current = eventCount{start: now}
		}
	}
	return omitted
}

// Close writes the queued lines, but waits at most closeTimeout for that, because the reader may be blocked.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// sampler is a slog.Handler that omits lines of sampled events beyond the allowed rate.
type sampler struct {
	slog.Handler
	writer *Writer
}

// Handle implements slog.Handler.
func (s *sampler) Handle(ctx context.Context, record slog.Record) error {
	if e := findEvent(record.Message); e != nil && e.Sampled && !s.writer.allow(record.Message, record.Time) {
		return nil
	}
	return s.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (s *sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(attrs), s.writer}
}

// WithGroup implements slog.Handler.
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.writer}
}
