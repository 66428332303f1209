package benchwire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"chuteweir.example/chuteweir/rules"
)

const (
	codeIssue         = 1000
	codePushBack      = 1010
	codeDropRequest   = 1020
	codeWithdraw      = 1030
	codeRemind        = 1040
	codeLetGo         = 1060
	codeEmit          = 1080
	codeStreamChanges = 1100
)

// Writer writes replies.
type Writer struct {
	out   *bufio.Writer
	body  []byte
	count uint32
}

// NewWriter writes frames to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriter(out)} }

// Add puts an instance's actions into the reply.
func (w *Writer) Add(who Instance, actions []rules.Action) error {
	for _, a := range actions {
		if err := w.add(who, a); err != nil {
			return err
		}
	}
	return nil
}

func (w *Writer) add(who Instance, action rules.Action) error {
	switch a := action.(type) {
	case rules.Send:
		w.head(codeIssue, 14, who)
		w.u32(uint32(a.Notice))
		w.u32(micro(a.TimeOut))
		w.u32(uint32(a.Receiver))
	case rules.Dismiss:
		w.head(codePushBack, 10, who)
		w.u32(uint32(a.Notice))
		w.u32(micro(a.RetryAfter))
	case rules.BreakOff:
		w.head(codeDropRequest, 6, who)
		w.u32(uint32(a.Notice))
	case rules.CallOff:
		w.head(codeWithdraw, 7, who)
		w.u32(uint32(a.Notice))
		w.body = append(w.body, uint8(a.Trip))
	case rules.LetGo:
		w.head(codeLetGo, 6, who)
		w.u32(uint32(a.Receiver))
	case rules.SetTimer:
		w.head(codeRemind, 14, who)
		w.u32(micro(a.After))
		w.body = binary.LittleEndian.AppendUint64(w.body, uint64(a.Timer))
	case rules.WatchList:
		w.head(codeStreamChanges, 3, who)
		w.body = append(w.body, 1)
	case rules.Turned:
		text := a.String()
		text = text[:min(len(text), math.MaxUint16)]
		w.head(codeEmit, 4+uint32(len(text)), who)
		w.body = binary.LittleEndian.AppendUint16(w.body, uint16(len(text)))
		w.body = append(w.body, text...)
	default:
		return fmt.Errorf("no wire form for %T", action)
	}
	return nil
}

// Flush sends all that was added as the reply to a batch.
func (w *Writer) Flush(number uint32) error {
	var head [12]byte
	binary.LittleEndian.PutUint32(head[0:], number)
	binary.LittleEndian.PutUint32(head[4:], w.count)
	binary.LittleEndian.PutUint32(head[8:], uint32(len(w.body)))
	w.out.Write(head[:])
	w.out.Write(w.body)
	w.body, w.count = w.body[:0], 0
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("reply %d: %w", number, err)
	}
	return nil
}

func (w *Writer) head(code uint16, size uint32, who Instance) {
	w.count++
	w.body = binary.LittleEndian.AppendUint16(w.body, code)
	w.u32(size)
	w.body = binary.LittleEndian.AppendUint16(w.body, uint16(who))
}

func (w *Writer) u32(v uint32) { w.body = binary.LittleEndian.AppendUint32(w.body, v) }

// micro rounds up, so that a timer never comes before its time.
func micro(m rules.Millis) uint32 {
	return uint32(min(math.Ceil(max(float64(m)*1000-1e-3, 0)), math.MaxUint32))
}
