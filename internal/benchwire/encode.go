package benchwire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"chuteweir.example/chuteweir/rules"
)

// The codes of the records in a reply.
const (
	codeIssue         = 1000
	codePushBack      = 1010
	codeDropRequest   = 1020
	codeWithdraw      = 1030
	codeRemind        = 1040
	codeCloseIdle     = 1060
	codeEmit          = 1080
	codeStreamChanges = 1100
)

// Writer writes the replies to batches. A reply holds the actions added since the last Flush.
type Writer struct {
	out   *bufio.Writer
	body  []byte
	count uint32
}

// NewWriter returns a Writer of frames to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriter(out)} }

// Add appends the actions of an instance to the reply.
func (w *Writer) Add(instance Instance, actions []rules.Action) error {
	for _, a := range actions {
		if err := w.add(instance, a); err != nil {
			return err
		}
	}
	return nil
}

// add appends one action to the reply.
func (w *Writer) add(instance Instance, action rules.Action) error {
	switch a := action.(type) {
	case rules.Send:
		w.header(codeIssue, 14, instance)
		w.u32(uint32(a.Notice))
		w.u32(toMicros(a.Timeout))
		w.u32(uint32(a.Receiver))
	case rules.Dismiss:
		w.header(codePushBack, 10, instance)
		w.u32(uint32(a.Notice))
		w.u32(toMicros(a.RetryAfter))
	case rules.BreakOff:
		w.header(codeDropRequest, 6, instance)
		w.u32(uint32(a.Notice))
	case rules.CancelTrip:
		w.header(codeWithdraw, 7, instance)
		w.u32(uint32(a.Notice))
		w.body = append(w.body, uint8(a.Trip))
	case rules.CloseIdleConnections:
		w.header(codeCloseIdle, 6, instance)
		w.u32(uint32(a.Receiver))
	case rules.SetTimer:
		w.header(codeRemind, 14, instance)
		w.u32(toMicros(a.After))
		w.body = binary.LittleEndian.AppendUint64(w.body, uint64(a.Timer))
	case rules.WatchList:
		w.header(codeStreamChanges, 3, instance)
		w.body = append(w.body, 1)
	case rules.BreakerChanged:
		text := a.String()
		text = text[:min(len(text), math.MaxUint16)]
		w.header(codeEmit, 4+uint32(len(text)), instance)
		w.body = binary.LittleEndian.AppendUint16(w.body, uint16(len(text)))
		w.body = append(w.body, text...)
	case rules.RouteStateChanged: // the simulator's senders keep nothing across a restart
	default:
		return fmt.Errorf("action %T has no record code", action)
	}
	return nil
}

// Flush writes the added actions as the reply to the batch with the given number.
func (w *Writer) Flush(number uint32) error {
	var header [12]byte
	binary.LittleEndian.PutUint32(header[0:], number)
	binary.LittleEndian.PutUint32(header[4:], w.count)
	binary.LittleEndian.PutUint32(header[8:], uint32(len(w.body)))
	w.out.Write(header[:])
	w.out.Write(w.body)
	w.body, w.count = w.body[:0], 0
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("reply %d: %w", number, err)
	}
	return nil
}

// header begins a record. The size covers the instance and the fields that follow.
func (w *Writer) header(code uint16, size uint32, instance Instance) {
	w.count++
	w.body = binary.LittleEndian.AppendUint16(w.body, code)
	w.u32(size)
	w.body = binary.LittleEndian.AppendUint16(w.body, uint16(instance))
}

func (w *Writer) u32(v uint32) { w.body = binary.LittleEndian.AppendUint32(w.body, v) }

// toMicros converts to the wire's microseconds. It rounds up so that a timer never fires early; the nanosecond that is
// subtracted first absorbs floating-point errors.
func toMicros(m rules.Millis) uint32 {
	return uint32(min(math.Ceil(max(float64(m)*1000-1e-3, 0)), math.MaxUint32))
}
