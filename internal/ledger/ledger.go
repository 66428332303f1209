// Package ledger stores the notices that still need a delivery or a final outcome in a file in the state directory,
// so that they survive a restart of the sender. The file is a log of records that is appended to and compacted from
// time to time.
package ledger

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"time"

	"chuteweir.example/chuteweir/internal/clock"
	"chuteweir.example/chuteweir/rules"
)

// ErrFull reports that the ledger's capacity does not allow another notice.
var ErrFull = errors.New("the ledger is full")

// Trip is a delivery attempt that was started and may have taken effect at the receiver.
type Trip struct {
	At   time.Time // by the wall clock as it stood when the notice was accepted
	Zone string    // of the receiver
}

// Notice is a notice as the ledger stores it. Fields tagged `json:"-"` are stored in other parts of the records; the
// others are written as JSON under their Go names.
type Notice struct {
	Number      rules.NoticeID `json:"-"`
	ID          string
	Mark        string `json:",omitempty"` // by which a receiver recognizes a repeated request, or empty
	Grade       string
	Portfolio   string `json:",omitempty"`
	Key         rules.KeyID
	Destination rules.DestinationID
	Until       time.Time    // client timeout, by the wall clock as of TakenAt
	TakenAt     clock.Moment // when it was accepted; steps of the wall clock are measured from here
	WaitedMS    int64        `json:",omitempty"` // upper bound of the time that the request waited before it was read
	Inherited   bool         `json:",omitempty"` // another sender accepted it before and failed
	Body        []byte       `json:"-"`

	Trips        int     `json:"-"` // number of trips started
	PossibleRuns []Trip  `json:"-"` // trips that may have taken effect
	Outcome      string  `json:"-"` // final outcome that the platform has not accepted yet, or empty
	RetryAfterMS float64 `json:"-"` // with Outcome: when the client may submit it again, in milliseconds
}

// AdjustForClockStep corrects the notice's wall clock times if the wall clock was stepped between TakenAt and now. It
// returns the step.
func (n *Notice) AdjustForClockStep(now clock.Moment) (stepped time.Duration) {
	stepped = n.TakenAt.StepUntil(now)
	n.Until = n.Until.Add(stepped)
	for i := range n.PossibleRuns {
		n.PossibleRuns[i].At = n.PossibleRuns[i].At.Add(stepped)
	}
	return stepped
}

// The kinds of record. Each record consists of the length and the CRC-32 checksum of its body, and of the body: the
// kind, the notice's number and a payload that depends on the kind. Numbers are little-endian.
const (
	kindAccepted    = 'n' // payload: length of the JSON, JSON, the notice's body
	kindTrip        = 't' // payload: Unix milliseconds, zone
	kindNotRun      = 'u' // the last trip is known not to have run
	kindOutcome     = 'e' // payload: retry time in milliseconds, outcome
	kindClosed      = 'c' // nothing remains to be done for the notice
	kindTripsNotRun = 'm' // payload: number of trips that were made and did not run
	kindRoute       = 'r' // of no notice, with the number 0; payload: JSON of a RouteRecord
)

const (
	reservedPerNotice = 512 // bytes kept free per accepted notice for its later records
	typicalOverhead   = 320 // bytes written for a typical notice besides its body: ids, times, two trips
	headerSize        = 8   // bytes: length and checksum
	minRecordLen      = 5   // bytes of the shortest record body: kind and number
	fileName          = "ledger"
)

// Ledger is an open ledger file, with a copy of the live records from which Compact rewrites it.
type Ledger struct {
	stateDir        string
	capacity        int64
	file            *os.File
	size            int64 // of the file, in bytes
	liveBytes       int64 // of the live acceptance records, with reservedPerNotice for each notice
	notices         map[rules.NoticeID]*liveRecords
	routes          map[routeKey][]byte // live records of routes
	routeBytes      int64               // length of all of these
	buffered        []byte              // records that are not in the file yet
	bufferedNotices []rules.NoticeID    // notices whose acceptance is among the buffered records
	needsCompaction bool                // buffered records were dropped after a failed write
	Torn            int                 // unreadable bytes at the end of the file that an earlier process left
}

// liveRecords is the records of a notice that a compacted file contains.
type liveRecords struct {
	accepted, outcome []byte
	trips             [][]byte
	tripsNotRun       uint32 // trips that were made and did not run
}

// Open reads the ledger that an earlier process left in a state directory, compacts it, and returns the pending
// notices in the order in which they were accepted. Unreadable bytes at the end, such as a partly written record,
// are discarded and counted in Torn. The files of the state directory take up at most capacity bytes.
func Open(stateDir string, capacity int64) (*Ledger, []Notice, error) {
	l := &Ledger{stateDir: stateDir, capacity: capacity, notices: map[rules.NoticeID]*liveRecords{},
		routes: map[routeKey][]byte{}}
	os.Remove(l.path() + ".new")
	data, err := os.ReadFile(l.path())
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	report := scan(data, func(number rules.NoticeID, kind byte, record []byte, pending bool) {
		switch {
		case kind == kindRoute:
			l.applyRoute(record)
		case pending:
			l.apply(number, kind, record)
		default:
			l.forget(number)
		}
	})
	l.Torn = report.Torn
	if err := l.Compact(); err != nil {
		return nil, nil, err
	}
	return l, report.Pending, nil
}

// Report describes the contents of a ledger file.
type Report struct {
	Bytes, Records int
	Kinds          map[string]int // number of records by name of the kind
	Torn           int            // unreadable bytes at the end
	Pending        []Notice       // pending notices, in the order in which they were accepted
}

// kindNames maps the kinds of record to their names in a Report.
var kindNames = map[byte]string{kindAccepted: "taken", kindTrip: "trip", kindNotRun: "never ran", kindOutcome: "ended",
	kindClosed: "closed", kindTripsNotRun: "trips made", kindRoute: "route"}

// Read reads the ledger in a state directory without changing it. It can be used while a sender writes to the
// ledger; the record that is being written may then be counted as torn.
func Read(stateDir string) (Report, error) {
	data, err := os.ReadFile(filepath.Join(stateDir, fileName))
	if err != nil {
		return Report{}, fmt.Errorf("reading the ledger: %w", err)
	}
	return scan(data, func(rules.NoticeID, byte, []byte, bool) {}), nil
}

// scan reads records up to the first unreadable one. It calls visit for each, with whether the notice is pending
// after that record.
func scan(data []byte, visit func(number rules.NoticeID, kind byte, record []byte, pending bool)) Report {
	report := Report{Bytes: len(data), Kinds: map[string]int{}}
	pending := map[rules.NoticeID]*Notice{}
	var order []rules.NoticeID
	for len(data) >= headerSize {
		size := binary.LittleEndian.Uint32(data)
		if size < minRecordLen || uint64(size) > uint64(len(data)-headerSize) {
			break
		}
		body := data[headerSize : headerSize+size]
		if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(data[4:]) {
			break
		}
		number := rules.NoticeID(binary.LittleEndian.Uint32(body[1:]))
		if n := replay(pending, number, body[0], body[minRecordLen:]); n != nil {
			order = append(order, number)
		}
		visit(number, body[0], data[:headerSize+size], pending[number] != nil)
		report.Records++
		report.Kinds[kindNames[body[0]]]++
		data = data[headerSize+size:]
	}
	report.Torn = len(data)
	for _, number := range order {
		if n := pending[number]; n != nil {
			report.Pending = append(report.Pending, *n)
		}
	}
	return report
}

// replay applies a record to the pending notices. It returns the notice if the record is a notice's acceptance.
func replay(pending map[rules.NoticeID]*Notice, number rules.NoticeID, kind byte, payload []byte) *Notice {
	if kind == kindAccepted && len(payload) >= 4 {
		size := binary.LittleEndian.Uint32(payload)
		n := &Notice{Number: number}
		if uint64(size) > uint64(len(payload)-4) || json.Unmarshal(payload[4:4+size], n) != nil {
			return nil
		}
		n.Body = bytes.Clone(payload[4+size:])
		pending[number] = n
		return n
	}
	n := pending[number]
	if n == nil {
		return nil
	}
	switch {
	case kind == kindTrip && len(payload) >= 8:
		n.Trips++
		at := time.UnixMilli(int64(binary.LittleEndian.Uint64(payload)))
		n.PossibleRuns = append(n.PossibleRuns, Trip{At: at, Zone: string(payload[8:])})
	case kind == kindNotRun && len(n.PossibleRuns) > 0:
		n.PossibleRuns = n.PossibleRuns[:len(n.PossibleRuns)-1]
	case kind == kindTripsNotRun && len(payload) >= 4:
		n.Trips += int(binary.LittleEndian.Uint32(payload))
	case kind == kindOutcome && len(payload) >= 4:
		n.RetryAfterMS, n.Outcome = float64(binary.LittleEndian.Uint32(payload)), string(payload[4:])
	case kind == kindClosed:
		delete(pending, number)
	}
	return nil
}

// StateDir returns the state directory that the ledger is stored in.
func (l *Ledger) StateDir() string { return l.stateDir }

// path returns the path of the ledger file.
func (l *Ledger) path() string { return filepath.Join(l.stateDir, fileName) }

// RecordAccepted records that a notice was accepted. It returns ErrFull without capacity for it and for its later
// records.
func (l *Ledger) RecordAccepted(n Notice) error {
	metadata, err := json.Marshal(n)
	if err != nil {
		return err
	}
	payload := binary.LittleEndian.AppendUint32(nil, uint32(len(metadata)))
	payload = append(append(payload, metadata...), n.Body...)
	needed := int64(headerSize + minRecordLen + len(payload) + reservedPerNotice)
	// The live records must fit twice, since compaction copies them, along with the outdated records of the old
	// file.
	if l.liveBytes+l.routeBytes+needed > l.capacity*2/5 {
		return ErrFull
	}
	if l.size+int64(len(l.buffered))+needed > l.capacity/2 || l.needsCompaction {
		if err := l.Compact(); err != nil {
			return err
		}
		if l.size+needed > l.capacity/2 {
			return ErrFull
		}
	}
	return l.append(n.Number, kindAccepted, payload)
}

// CapacityShare returns the part of a ledger's capacity for live notices that a typical notice with a body of the given
// size uses.
func CapacityShare(capacity int64, bodySize int) float64 {
	return float64(headerSize+minRecordLen+4+typicalOverhead+bodySize) / float64(capacity*2/5)
}

// RecordTrip records that a call is about to be sent. The record is in the file when RecordTrip returns.
func (l *Ledger) RecordTrip(number rules.NoticeID, t Trip) error {
	payload := binary.LittleEndian.AppendUint64(nil, uint64(t.At.UnixMilli()))
	return l.append(number, kindTrip, append(payload, t.Zone...))
}

// RecordNotRun records that the notice's last trip is known not to have run.
func (l *Ledger) RecordNotRun(number rules.NoticeID) error { return l.append(number, kindNotRun, nil) }

// RecordOutcome records a notice's final outcome, which is kept until RecordClosed. The record is in the file when
// RecordOutcome returns.
func (l *Ledger) RecordOutcome(number rules.NoticeID, outcome string, retryAfterMS float64) error {
	payload := binary.LittleEndian.AppendUint32(nil, uint32(min(max(retryAfterMS, 0), 1e9)))
	return l.append(number, kindOutcome, append(payload, outcome...))
}

// RecordClosed records that nothing remains to be done for a notice.
func (l *Ledger) RecordClosed(number rules.NoticeID) error {
	if l.notices[number] == nil {
		return nil
	}
	return l.append(number, kindClosed, nil)
}

// Size returns the size of the file in bytes.
func (l *Ledger) Size() int64 { return l.size }

// append adds a record. Records of trips and of final outcomes are written at once. The others stay buffered until
// the next such record or Flush, so that the records of a turn of the loop need as few writes as possible.
func (l *Ledger) append(number rules.NoticeID, kind byte, payload []byte) error {
	start := len(l.buffered)
	l.buffered = appendRecord(l.buffered, number, kind, payload)
	record := l.buffered[start:]
	// The old file and its compacted copy, of up to 2/5 of the capacity, must fit into the capacity together. Later
	// records of accepted notices may grow the file a little beyond the limit for acceptances.
	if kind != kindAccepted && l.size+int64(len(l.buffered)) > l.capacity/2+l.capacity/20 {
		l.buffered = l.buffered[:start]
		if err := l.Compact(); err != nil {
			return err
		}
		start = 0
		l.buffered = appendRecord(l.buffered, number, kind, payload)
		record = l.buffered
	}
	if kind == kindTrip || kind == kindOutcome {
		if err := l.writeBuffered(); err != nil {
			l.buffered = l.buffered[:start]
			return err
		}
	}
	switch kind {
	case kindClosed:
		l.forget(number)
	case kindRoute:
		l.applyRoute(record)
	default:
		l.apply(number, kind, record)
		if kind == kindAccepted {
			l.bufferedNotices = append(l.bufferedNotices, number)
		}
	}
	if kind == kindTrip || kind == kindOutcome {
		l.markWritten()
	}
	return nil
}

// writeBuffered writes the buffered records to the file. After a partial write the file is truncated to its old size:
// some of the records may be complete, and a notice that is rejected must not be restored after a restart.
func (l *Ledger) writeBuffered() error {
	if _, err := l.file.WriteAt(l.buffered, l.size); err != nil {
		l.file.Truncate(l.size)
		return fmt.Errorf("writing the ledger: %w", err)
	}
	return nil
}

// markWritten notes that the buffered records are in the file.
func (l *Ledger) markWritten() {
	l.size += int64(len(l.buffered))
	l.buffered, l.bufferedNotices = l.buffered[:0], l.bufferedNotices[:0]
}

// Flush writes the buffered records. If that fails, it forgets the notices whose acceptance is not in the file and
// returns them: their clients must not be told that they were accepted.
func (l *Ledger) Flush() (lost []rules.NoticeID, err error) {
	if len(l.buffered) == 0 {
		return nil, nil
	}
	if l.needsCompaction {
		err = l.Compact()
	} else {
		err = l.writeBuffered()
	}
	if err != nil {
		lost = slices.Clone(l.bufferedNotices)
		for _, number := range lost {
			l.forget(number)
		}
		// The other buffered records are of closed notices or of trips that did not run. The next compaction covers
		// them.
		l.buffered, l.bufferedNotices, l.needsCompaction = l.buffered[:0], l.bufferedNotices[:0], true
		return lost, err
	}
	l.markWritten()
	return nil, nil
}

// RetryFailedWrite writes again what a failed write has left out, if anything.
func (l *Ledger) RetryFailedWrite() error {
	if !l.needsCompaction {
		return nil
	}
	return l.Compact()
}

// appendRecord appends a record with its header to a buffer.
func appendRecord(buffer []byte, number rules.NoticeID, kind byte, payload []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, make([]byte, headerSize)...)
	buffer = append(buffer, kind)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(number))
	buffer = append(buffer, payload...)
	body := buffer[start+headerSize:]
	binary.LittleEndian.PutUint32(buffer[start:], uint32(len(body)))
	binary.LittleEndian.PutUint32(buffer[start+4:], crc32.ChecksumIEEE(body))
	return buffer
}

// apply updates the live records of a notice with a record.
func (l *Ledger) apply(number rules.NoticeID, kind byte, record []byte) {
	records := l.notices[number]
	if records == nil {
		records = &liveRecords{}
		l.notices[number] = records
		l.liveBytes += reservedPerNotice
	}
	switch kind {
	case kindAccepted:
		records.accepted = bytes.Clone(record)
		l.liveBytes += int64(len(record))
	case kindTrip:
		records.trips = append(records.trips, bytes.Clone(record))
	case kindNotRun:
		if len(records.trips) > 0 {
			records.trips = records.trips[:len(records.trips)-1]
			records.tripsNotRun++
		}
	case kindTripsNotRun:
		records.tripsNotRun += binary.LittleEndian.Uint32(record[headerSize+minRecordLen:])
	case kindOutcome:
		records.outcome = bytes.Clone(record)
	}
}

// forget removes the live records of a notice.
func (l *Ledger) forget(number rules.NoticeID) {
	if records := l.notices[number]; records != nil {
		l.liveBytes -= int64(len(records.accepted) + reservedPerNotice)
		delete(l.notices, number)
	}
}

// Compact writes the live records, with those that are still buffered, to a new file and renames it over the old one.
func (l *Ledger) Compact() error {
	numbers := make([]rules.NoticeID, 0, len(l.notices))
	for number := range l.notices {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	var data []byte
	for _, record := range l.routes {
		data = append(data, record...)
	}
	for _, number := range numbers {
		records := l.notices[number]
		data = append(data, records.accepted...)
		if records.tripsNotRun > 0 {
			data = appendRecord(data, number, kindTripsNotRun,
				binary.LittleEndian.AppendUint32(nil, records.tripsNotRun))
		}
		for _, trip := range records.trips {
			data = append(data, trip...)
		}
		data = append(data, records.outcome...)
	}
	newFile, err := os.OpenFile(l.path()+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = newFile.Write(data); err == nil {
		err = os.Rename(l.path()+".new", l.path())
	}
	if err != nil {
		newFile.Close()
		os.Remove(l.path() + ".new")
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size = newFile, int64(len(data))
	// The buffered records were written as part of the live ones.
	l.buffered, l.bufferedNotices, l.needsCompaction = l.buffered[:0], l.bufferedNotices[:0], false
	return nil
}

// Close writes the buffered records and closes the file.
func (l *Ledger) Close() error {
	retryErr := l.RetryFailedWrite()
	_, err := l.Flush()
	return errors.Join(retryErr, err, l.file.Close())
}
