// Package ledger keeps in the lasting folder what the sender owes, so that it outlives the process.
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

// ErrFull says that the folder has no room for a further notice.
var ErrFull = errors.New("the ledger is full")

// Trip is a trip that was begun and is not known never to have run.
type Trip struct {
	At   time.Time
	Zone string
}

// Notice is what is kept of a notice.
type Notice struct {
	Number      rules.NoticeID `json:"-"`
	ID          string
	Mark        string `json:",omitempty"`
	Grade       string
	Portfolio   string `json:",omitempty"`
	Key         rules.KeyID
	Destination rules.DestinationID
	Until       time.Time    // by the wall clock
	TakenAt     clock.Moment // tells steps of the wall clock since
	WaitedMS    int64        `json:",omitempty"` // it may have waited so long to be read
	Inherited   bool         `json:",omitempty"`
	Body        []byte       `json:"-"`

	Trips   int     `json:"-"` // begun
	Ran     []Trip  `json:"-"` // those that may have run
	Ended   string  `json:"-"` // the end that the platform has not taken yet, or empty
	RetryMS float64 `json:"-"`
}

// Adjust sets the notice's times by the wall clock right, as of a later moment, if that was stepped meanwhile.
func (n *Notice) Adjust(now clock.Moment) (stepped time.Duration) {
	stepped = n.TakenAt.Stepped(now)
	n.Until = n.Until.Add(stepped)
	for i := range n.Ran {
		n.Ran[i].At = n.Ran[i].At.Add(stepped)
	}
	return stepped
}

// The kinds of record. Each is a length, a checksum of the rest, the kind, the notice's number and what the kind needs.
const (
	kindTaken  = 'n' // length of the JSON, JSON, body
	kindTrip   = 't' // Unix milliseconds, zone
	kindUnrun  = 'u' // the last trip is known never to have run
	kindEnded  = 'e' // retry in milliseconds, outcome
	kindClosed = 'c' // nothing more is owed
	kindMade   = 'm' // how many trips were made and never ran
)

const (
	reserve  = 512 // bytes, for what is written of a notice that was taken
	usual    = 320 // bytes, of what else is written of it: ids, times, two trips
	headSize = 8
	leastLen = 5
	fileName = "ledger"
)

// Ledger is the file, and what it would take to write it anew.
type Ledger struct {
	folder  string
	room    int64
	file    *os.File
	size    int64
	live    int64
	notices map[rules.NoticeID]*kept
	out     []byte           // records that wait to be written
	unsure  []rules.NoticeID // taken by these
	stale   bool             // the file tells of notices that are over
	Torn    int              // bytes at the end of what an earlier process left that could not be read
}

// kept is what is live of a notice.
type kept struct {
	taken, ended []byte
	ran          [][]byte
	unrun        uint32 // trips made that never ran
}

// Open reads what an earlier process left in a folder and writes it anew. A torn end is passed over.
func Open(folder string, room int64) (*Ledger, []Notice, error) {
	l := &Ledger{folder: folder, room: room, notices: map[rules.NoticeID]*kept{}}
	os.Remove(l.path() + ".new")
	text, err := os.ReadFile(l.path())
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	report := scan(text, func(number rules.NoticeID, kind byte, record []byte, owed bool) {
		if owed {
			l.keep(number, kind, record)
		} else {
			l.drop(number)
		}
	})
	l.Torn = report.Torn
	if err := l.Compact(); err != nil {
		return nil, nil, err
	}
	return l, report.Owed, nil
}

// Report is what a ledger's file says.
type Report struct {
	Bytes, Records int
	Kinds          map[string]int // records by kind
	Torn           int            // bytes at the end that can't be read
	Owed           []Notice       // in the order taken
}

var kindNames = map[byte]string{kindTaken: "taken", kindTrip: "trip", kindUnrun: "never ran", kindEnded: "ended",
	kindClosed: "closed", kindMade: "trips made"}

// Read reads a folder's ledger and changes nothing, also while a sender writes to it: what that one is just writing
// may then stand at the end as torn.
func Read(folder string) (Report, error) {
	text, err := os.ReadFile(filepath.Join(folder, fileName))
	if err != nil {
		return Report{}, fmt.Errorf("reading the ledger: %w", err)
	}
	return scan(text, func(rules.NoticeID, byte, []byte, bool) {}), nil
}

// scan reads records up to the first that can't be read; each is told, and whether its notice is owed after it.
func scan(text []byte, each func(number rules.NoticeID, kind byte, record []byte, owed bool)) Report {
	report := Report{Bytes: len(text), Kinds: map[string]int{}}
	owed := map[rules.NoticeID]*Notice{}
	var order []rules.NoticeID
	for len(text) >= headSize {
		size := binary.LittleEndian.Uint32(text)
		if size < leastLen || uint64(size) > uint64(len(text)-headSize) {
			break
		}
		body := text[headSize : headSize+size]
		if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(text[4:]) {
			break
		}
		number := rules.NoticeID(binary.LittleEndian.Uint32(body[1:]))
		if n := replay(owed, number, body[0], body[leastLen:]); n != nil {
			order = append(order, number)
		}
		each(number, body[0], text[:headSize+size], owed[number] != nil)
		report.Records++
		report.Kinds[kindNames[body[0]]]++
		text = text[headSize+size:]
	}
	report.Torn = len(text)
	for _, number := range order {
		if n := owed[number]; n != nil {
			report.Owed = append(report.Owed, *n)
		}
	}
	return report
}

// replay takes a record; it returns the notice that a record begins.
func replay(owed map[rules.NoticeID]*Notice, number rules.NoticeID, kind byte, rest []byte) *Notice {
	if kind == kindTaken && len(rest) >= 4 {
		size := binary.LittleEndian.Uint32(rest)
		n := &Notice{Number: number}
		if uint64(size) > uint64(len(rest)-4) || json.Unmarshal(rest[4:4+size], n) != nil {
			return nil
		}
		n.Body = bytes.Clone(rest[4+size:])
		owed[number] = n
		return n
	}
	n := owed[number]
	if n == nil {
		return nil
	}
	switch {
	case kind == kindTrip && len(rest) >= 8:
		n.Trips++
		at := time.UnixMilli(int64(binary.LittleEndian.Uint64(rest)))
		n.Ran = append(n.Ran, Trip{At: at, Zone: string(rest[8:])})
	case kind == kindUnrun && len(n.Ran) > 0:
		n.Ran = n.Ran[:len(n.Ran)-1]
	case kind == kindMade && len(rest) >= 4:
		n.Trips += int(binary.LittleEndian.Uint32(rest))
	case kind == kindEnded && len(rest) >= 4:
		n.RetryMS, n.Ended = float64(binary.LittleEndian.Uint32(rest)), string(rest[4:])
	case kind == kindClosed:
		delete(owed, number)
	}
	return nil
}

// Folder is where the ledger is kept.
func (l *Ledger) Folder() string { return l.folder }

func (l *Ledger) path() string { return filepath.Join(l.folder, fileName) }

// Taken writes a notice down, if there is room for it and for what will be written of it.
func (l *Ledger) Taken(n Notice) error {
	about, err := json.Marshal(n)
	if err != nil {
		return err
	}
	rest := binary.LittleEndian.AppendUint32(nil, uint32(len(about)))
	rest = append(append(rest, about...), n.Body...)
	need := int64(headSize + leastLen + len(rest) + reserve)
	// What is live, and its copy while the file is written anew, must fit at once with what is out of date.
	if l.live+need > l.room*2/5 {
		return ErrFull
	}
	if l.size+int64(len(l.out))+need > l.room/2 || l.stale {
		if err := l.Compact(); err != nil {
			return err
		}
		if l.size+need > l.room/2 {
			return ErrFull
		}
	}
	return l.append(n.Number, kindTaken, rest)
}

// Share is the part of a ledger's room for live notices that one with a body of so many bytes takes, as a rule.
func Share(room int64, body int) float64 {
	return float64(headSize+leastLen+4+usual+body) / float64(room*2/5)
}

// Trip writes down that a call is about to leave.
func (l *Ledger) Trip(number rules.NoticeID, t Trip) error {
	rest := binary.LittleEndian.AppendUint64(nil, uint64(t.At.UnixMilli()))
	return l.append(number, kindTrip, append(rest, t.Zone...))
}

// Unrun writes down that the notice's last trip is known never to have run.
func (l *Ledger) Unrun(number rules.NoticeID) error { return l.append(number, kindUnrun, nil) }

// Ended writes down how a notice ended; it stays until Closed.
func (l *Ledger) Ended(number rules.NoticeID, outcome string, retryMS float64) error {
	rest := binary.LittleEndian.AppendUint32(nil, uint32(min(max(retryMS, 0), 1e9)))
	return l.append(number, kindEnded, append(rest, outcome...))
}

// Closed writes down that nothing more is owed for a notice.
func (l *Ledger) Closed(number rules.NoticeID) error {
	if l.notices[number] == nil {
		return nil
	}
	return l.append(number, kindClosed, nil)
}

// Size is the size of the file in bytes.
func (l *Ledger) Size() int64 { return l.size }

// append takes a record. What tells of notices taken and of ends waits for the next record that must be on disk at once, or
// for Flush: the records of a turn are one write where they can be.
func (l *Ledger) append(number rules.NoticeID, kind byte, rest []byte) error {
	begin := len(l.out)
	l.out = appendRecord(l.out, number, kind, rest)
	record := l.out[begin:]
	if kind != kindTaken && l.size+int64(len(l.out)) > l.room/2+l.room/20 {
		l.out = l.out[:begin]
		if err := l.Compact(); err != nil {
			return err
		}
		begin = 0
		l.out = appendRecord(l.out, number, kind, rest)
		record = l.out
	}
	if kind == kindTrip || kind == kindEnded {
		if err := l.write(); err != nil {
			l.out = l.out[:begin]
			return err
		}
	}
	switch kind {
	case kindClosed:
		l.drop(number)
	default:
		l.keep(number, kind, record)
		if kind == kindTaken {
			l.unsure = append(l.unsure, number)
		}
	}
	if kind == kindTrip || kind == kindEnded {
		l.settle()
	}
	return nil
}

// write puts what waits into the file. What was written in part is cut off: of several records some may be whole, and a
// notice whose client is turned away must not come back to life.
func (l *Ledger) write() error {
	if _, err := l.file.WriteAt(l.out, l.size); err != nil {
		l.file.Truncate(l.size)
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// settle notes that what waited is in the file.
func (l *Ledger) settle() {
	l.size += int64(len(l.out))
	l.out, l.unsure = l.out[:0], l.unsure[:0]
}

// Flush writes what waits. Of notices taken that could not be written it forgets all and returns them: nobody may be told that
// they were.
func (l *Ledger) Flush() (lost []rules.NoticeID, err error) {
	if len(l.out) == 0 {
		return nil, nil
	}
	if l.stale {
		err = l.Compact()
	} else {
		err = l.write()
	}
	if err != nil {
		lost = slices.Clone(l.unsure)
		for _, number := range lost {
			l.drop(number)
		}
		// What else waits, that a notice is over, is told again by compacting.
		l.out, l.unsure, l.stale = l.out[:0], l.unsure[:0], true
		return lost, err
	}
	l.settle()
	return nil, nil
}

func appendRecord(b []byte, number rules.NoticeID, kind byte, rest []byte) []byte {
	at := len(b)
	b = append(b, make([]byte, headSize)...)
	b = append(b, kind)
	b = binary.LittleEndian.AppendUint32(b, uint32(number))
	b = append(b, rest...)
	body := b[at+headSize:]
	binary.LittleEndian.PutUint32(b[at:], uint32(len(body)))
	binary.LittleEndian.PutUint32(b[at+4:], crc32.ChecksumIEEE(body))
	return b
}

// keep remembers what a record says.
func (l *Ledger) keep(number rules.NoticeID, kind byte, record []byte) {
	k := l.notices[number]
	if k == nil {
		k = &kept{}
		l.notices[number] = k
		l.live += reserve
	}
	switch kind {
	case kindTaken:
		k.taken = bytes.Clone(record)
		l.live += int64(len(record))
	case kindTrip:
		k.ran = append(k.ran, bytes.Clone(record))
	case kindUnrun:
		if len(k.ran) > 0 {
			k.ran = k.ran[:len(k.ran)-1]
			k.unrun++
		}
	case kindMade:
		k.unrun += binary.LittleEndian.Uint32(record[headSize+leastLen:])
	case kindEnded:
		k.ended = bytes.Clone(record)
	}
}

func (l *Ledger) drop(number rules.NoticeID) {
	if k := l.notices[number]; k != nil {
		l.live -= int64(len(k.taken) + reserve)
		delete(l.notices, number)
	}
}

// Compact writes the live records to a new file, which takes the old one's place in one step.
func (l *Ledger) Compact() error {
	numbers := make([]rules.NoticeID, 0, len(l.notices))
	for number := range l.notices {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	var text []byte
	for _, number := range numbers {
		k := l.notices[number]
		text = append(text, k.taken...)
		if k.unrun > 0 {
			text = appendRecord(text, number, kindMade, binary.LittleEndian.AppendUint32(nil, k.unrun))
		}
		for _, trip := range k.ran {
			text = append(text, trip...)
		}
		text = append(text, k.ended...)
	}
	fresh, err := os.OpenFile(l.path()+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = fresh.Write(text); err == nil {
		err = os.Rename(l.path()+".new", l.path())
	}
	if err != nil {
		fresh.Close()
		os.Remove(l.path() + ".new")
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size = fresh, int64(len(text))
	l.out, l.unsure, l.stale = l.out[:0], l.unsure[:0], false // all is in what is live
	return nil
}

// Close writes what waits and closes the file.
func (l *Ledger) Close() error {
	_, err := l.Flush()
	return errors.Join(err, l.file.Close())
}
