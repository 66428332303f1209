// Package benchwire reads and writes the frames of the simulator's wire protocol. It converts between the simulator's
// records, with times in microseconds, and the events and actions of package rules, with times in milliseconds. All
// integers are little-endian.
package benchwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// Instance is the simulator's number of a sender.
type Instance uint16

// Created starts the sender of an instance.
type Created struct {
	Seed     uint64
	Settings rules.Settings
}

// Destroyed kills the sender of an instance, as a crash does.
type Destroyed struct{}

// Record is something that happened to an instance. Content is a Created, a Destroyed or a rules.Event.
type Record struct {
	Instance Instance
	Content  any
}

// Batch is all records of one point in time.
type Batch struct {
	Number  uint32
	Now     rules.Millis
	Records []Record
}

// Sizes in bytes of a batch header, a record header and an entry of a receiver list.
const (
	headerSize       = 20
	recordHeaderSize = 6
	entrySize        = 22
)

// The codes of the simulator's records.
const (
	codeDirectoryUpdate  = 1000
	codeCreate           = 1010
	codeSampled          = 1020
	codeEstablished      = 1030
	codeVanished         = 1040
	codeVerdict          = 1050
	codeTimeoutFired     = 1060
	codeSubmit           = 1070
	codeSnapshotRows     = 1080
	codeDestroy          = 1090
	codeNeighbourMessage = 1100
)

// The scopes of a directory update. Any other scope is a complete list.
const (
	scopeFailed = 0
	scopeDelta  = 1
)

// flagInherited marks a notice that another sender held until it died.
const flagInherited = 16

// statusByReadiness maps the readiness codes of list entries.
var statusByReadiness = map[uint8]rules.ReceiverStatus{0: rules.Gone, 1: rules.Ready, 2: rules.Draining}

// resultByStatus maps the status codes of verdicts, which are the outcomes of trips.
var resultByStatus = map[uint8]rules.Result{
	0: rules.Handled, 5: rules.Errored, 11: rules.Refused, 104: rules.Reset, 110: rules.TimedOut,
	111: rules.NotConnected, 114: rules.NotSent, 125: rules.Cancelled,
}

// Reader reads batches. It stores the receiver lists by their numbers; all instances refer to the same lists.
type Reader struct {
	in    io.Reader
	lists map[uint8][]rules.Entry
}

// NewReader returns a Reader of the frames from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: in, lists: map[uint8][]rules.Entry{}}
}

// Next returns the next batch, or io.EOF if the input ends between batches.
func (r *Reader) Next() (Batch, error) {
	var header [headerSize]byte
	if n, err := io.ReadFull(r.in, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch header: %d of %d bytes: %w", n, headerSize, err)
	}
	batch := Batch{
		Number: binary.LittleEndian.Uint32(header[0:]),
		Now:    millis(binary.LittleEndian.Uint64(header[8:])),
	}
	size, count := binary.LittleEndian.Uint32(header[4:]), binary.LittleEndian.Uint32(header[16:])
	var body bytes.Buffer
	if n, err := io.CopyN(&body, r.in, int64(size)); err != nil {
		return Batch{}, fmt.Errorf("batch %d: body: %d of %d bytes: %w", batch.Number, n, size, err)
	}
	if err := r.decodeRecords(&batch, body.Bytes(), count); err != nil {
		return Batch{}, fmt.Errorf("batch %d: %w", batch.Number, err)
	}
	return batch, nil
}

// decodeRecords appends the records of a batch's body to the batch.
func (r *Reader) decodeRecords(batch *Batch, body []byte, count uint32) error {
	offset := 0
	for i := range count {
		if len(body)-offset < recordHeaderSize {
			return fmt.Errorf("record %d at byte %d: header is truncated", i, offset)
		}
		code, size := binary.LittleEndian.Uint16(body[offset:]), binary.LittleEndian.Uint32(body[offset+2:])
		if uint64(len(body)-offset-recordHeaderSize) < uint64(size) {
			return fmt.Errorf("record %d (code %d) at byte %d: %d bytes announced, %d left",
				i, code, offset, size, len(body)-offset-recordHeaderSize)
		}
		in := &fields{remaining: body[offset+recordHeaderSize : offset+recordHeaderSize+int(size)]}
		record, err := r.decodeRecord(code, in)
		if err == nil && in.truncated {
			err = errors.New("fields are truncated")
		}
		if err != nil {
			return fmt.Errorf("record %d (code %d) at byte %d: %w", i, code, offset, err)
		}
		if record.Content != nil {
			batch.Records = append(batch.Records, record)
		}
		offset += recordHeaderSize + int(size)
	}
	if offset != len(body) {
		return fmt.Errorf("%d bytes after the last record", len(body)-offset)
	}
	return nil
}

// decodeRecord decodes one record, without the fields that package rules doesn't use. Content stays nil for records
// that no event of package rules corresponds to; their fields are read only to detect truncated records.
func (r *Reader) decodeRecord(code uint16, in *fields) (Record, error) {
	switch code {
	case codeSnapshotRows:
		return Record{}, r.decodeList(in)
	case codeDirectoryUpdate, codeCreate, codeSampled, codeEstablished, codeVanished, codeVerdict,
		codeTimeoutFired, codeSubmit, codeDestroy, codeNeighbourMessage:
	default:
		return Record{}, nil
	}
	record := Record{Instance: Instance(in.u16())}
	var err error
	switch code {
	case codeDirectoryUpdate:
		record.Content, err = r.decodeListUpdate(in)
	case codeCreate:
		record.Content, err = decodeCreated(in)
	case codeSampled:
		in.u32()
		in.u8()
		in.u32()
		in.report()
	case codeEstablished:
		in.bytes(13)
	case codeNeighbourMessage:
		in.u16()
		in.bytes(int(in.u16()))
	case codeVanished:
		record.Content = rules.NoticeWithdrawn{Notice: rules.NoticeID(in.u32())}
	case codeVerdict:
		record.Content, err = decodeTripEnded(in)
	case codeTimeoutFired:
		record.Content = rules.TimerDue{Timer: rules.TimerID(in.u64())}
	case codeSubmit:
		record.Content = decodeNotice(in)
	case codeDestroy:
		record.Content = Destroyed{}
	}
	return record, err
}

// decodeList decodes a receiver list and stores it by its number.
func (r *Reader) decodeList(in *fields) error {
	number, count := in.u8(), in.u32()
	if uint64(count)*entrySize > uint64(len(in.remaining)) {
		return fmt.Errorf("list %d: %d entries announced, but the record has space for %d",
			number, count, len(in.remaining)/entrySize)
	}
	entries := make([]rules.Entry, count)
	for i := range entries {
		entry := &entries[i]
		entry.Receiver = rules.ReceiverID(in.u32())
		entry.Zone = rules.ZoneID(in.u8())
		entry.Kind = rules.KindID(in.u16())
		entry.Destination = rules.DestinationID(in.u16())
		status, known := statusByReadiness[in.u8()]
		if !known {
			return fmt.Errorf("list %d: entry %d: unknown readiness code", number, i)
		}
		entry.Status = status
		entry.ListedRate = in.float()
		in.u64()
	}
	r.lists[number] = entries
	return nil
}

// decodeListUpdate decodes an update that refers to a list by its number, or reports that discovery failed.
func (r *Reader) decodeListUpdate(in *fields) (any, error) {
	scope := in.u8()
	in.u32()
	number := in.u8()
	if scope == scopeFailed {
		return rules.ListFailed{}, nil
	}
	entries, known := r.lists[number]
	if !known && !in.truncated {
		return nil, fmt.Errorf("update refers to list %d, which was never sent", number)
	}
	return rules.ListUpdated{Complete: scope != scopeDelta, Entries: entries}, nil
}

// decodeCreated decodes the seed and the settings of a new sender.
func decodeCreated(in *fields) (any, error) {
	seed := in.u64()
	text := in.bytes(int(in.u32()))
	if in.truncated {
		return nil, nil
	}
	decoded, _, err := settings.Read(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Created{Seed: seed, Settings: decoded}, nil
}

// decodeTripEnded decodes the outcome of a trip. With rules.Refused, the status detail is the requested wait in
// milliseconds, unlike the wire's other times. A report has the share of the limit that is left and the limit in calls
// per second.
func decodeTripEnded(in *fields) (any, error) {
	ended := rules.TripEnded{Notice: rules.NoticeID(in.u32())}
	statusDetail := in.u32()
	ended.Duration = millis(in.u32())
	status := in.u8()
	ended.NoticeEnded = in.u8() != 0
	in.u8()
	ended.Receiver = rules.ReceiverID(in.u32())
	report := in.report()
	result, known := resultByStatus[status]
	if !known && !in.truncated {
		return nil, fmt.Errorf("unknown status %d", status)
	}
	ended.Result = result
	if result == rules.Refused {
		ended.RequestedWait = rules.Millis(statusDetail)
	}
	if len(report) >= 2 {
		ended.LimitReported, ended.LimitRemaining, ended.LimitRate = true, report[0], report[1]
	}
	return ended, nil
}

// decodeNotice decodes a notice that the sender has accepted.
func decodeNotice(in *fields) any {
	notice := rules.NoticeAccepted{Notice: rules.NoticeID(in.u32())}
	notice.Grade = rules.GradeID(in.u16())
	notice.Portfolio = rules.PortfolioID(in.u32())
	notice.Key = rules.KeyID(in.u64())
	notice.TimeLeft = millis(in.u32())
	in.u32()
	notice.Destination = destinationID(in.float())
	notice.Inherited = in.u8()&flagInherited != 0
	return notice
}

// destinationID converts the wire's floating-point number to an id. A number that cannot occur in a receiver list
// becomes -1.
func destinationID(number float64) rules.DestinationID {
	if number < 0 || number > math.MaxUint16 || number != math.Trunc(number) {
		return -1
	}
	return rules.DestinationID(number)
}

// millis converts the wire's microseconds to the unit of package rules.
func millis[T uint32 | uint64](us T) rules.Millis { return rules.Millis(us) / 1000 }

// fields decodes the fields of a record in order. Reading past the end yields zeros and sets truncated.
type fields struct {
	remaining []byte
	truncated bool
}

// zeros is what bytes returns past the end. The largest number has eight bytes.
var zeros [8]byte

// bytes returns the next n bytes. Past the end, it returns at most len(zeros) zeros.
func (f *fields) bytes(n int) []byte {
	if n < 0 || n > len(f.remaining) {
		f.truncated, f.remaining = true, nil
		return zeros[:min(max(n, 0), len(zeros))]
	}
	b := f.remaining[:n]
	f.remaining = f.remaining[n:]
	return b
}

func (f *fields) u8() uint8   { return f.bytes(1)[0] }
func (f *fields) u16() uint16 { return binary.LittleEndian.Uint16(f.bytes(2)) }
func (f *fields) u32() uint32 { return binary.LittleEndian.Uint32(f.bytes(4)) }
func (f *fields) u64() uint64 { return binary.LittleEndian.Uint64(f.bytes(8)) }

// float reads a 32-bit float; one that is not finite is read as 0.
func (f *fields) float() float64 {
	v := float64(math.Float32frombits(f.u32()))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// report reads a load report: a list of floats preceded by its length.
func (f *fields) report() []float64 {
	values := make([]float64, f.u8())
	for i := range values {
		values[i] = f.float()
	}
	return values
}
