package ledger

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chuteweir.example/chuteweir/rules"
	"github.com/google/go-cmp/cmp"
)

var startTime = time.UnixMilli(1_800_000_000_000).UTC()

func newNotice(number rules.NoticeID, body string) Notice {
	return Notice{Number: number, ID: fmt.Sprintf("id-%d", number), Grade: "g", Destination: 7, Until: startTime,
		Body: []byte(body)}
}

func openLedger(t *testing.T, stateDir string, capacity int64) (*Ledger, string) {
	t.Helper()
	l, pending, err := Open(stateDir, capacity)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, n := range pending {
		fmt.Fprintf(&text, "%s to %d %q trips %d ran", n.ID, n.Destination, n.Body, n.Trips)
		for _, r := range n.PossibleRuns {
			fmt.Fprintf(&text, " %s+%d", r.Zone, r.At.Sub(startTime).Milliseconds())
		}
		fmt.Fprintf(&text, " %s %v\n", n.Outcome, n.RetryAfterMS)
	}
	return l, text.String()
}

func failOnError(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

func flush(l *Ledger) error {
	_, err := l.Flush()
	return err
}

// Guards against one write per record, against a call that is sent before its notice is in the file, and against a
// rejected notice that returns after a restart: acceptances wait for the next trip or Flush, and after a failed
// write Flush returns the notices that were lost and none of them is in the file.
func TestRecordsWaitForOneWrite(t *testing.T) {
	stateDir := t.TempDir()
	l, _ := openLedger(t, stateDir, 1<<20)
	failOnError(t, l.RecordAccepted(newNotice(1, "one")), l.RecordAccepted(newNotice(2, "two")))
	if l.Size() != 0 {
		t.Errorf("%d bytes were written before a trip or Flush, want 0", l.Size())
	}
	failOnError(t, l.RecordTrip(1, Trip{startTime, "a"}))
	if _, got := openLedger(t, stateDir, 1<<20); !strings.Contains(got, "two") || !strings.Contains(got, "a+0") {
		t.Errorf("the file lacks notices accepted before a recorded trip: %s", got)
	}
	stateDir = t.TempDir()
	l, _ = openLedger(t, stateDir, 1<<20)
	failOnError(t, l.RecordAccepted(newNotice(1, "one")), flush(l))
	writableFile := l.file
	readOnlyFile, err := os.Open(l.path()) // opened read-only, so that writes fail
	failOnError(t, err)
	l.file = readOnlyFile
	failOnError(t, l.RecordClosed(1), l.RecordAccepted(newNotice(3, "three")))
	if l.RecordTrip(3, Trip{startTime, "a"}) == nil {
		t.Error("RecordTrip returned no error although the file is not writable")
	}
	lost, err := l.Flush()
	if diff := cmp.Diff([]rules.NoticeID{3}, lost); err == nil || diff != "" {
		t.Errorf("Flush of an unwritable ledger: error %v, lost notices -want +got:\n%s", err, diff)
	}
	l.file = writableFile
	failOnError(t, l.RecordAccepted(newNotice(4, "four")), flush(l))
	if _, got := openLedger(t, stateDir, 1<<20); got != "id-4 to 7 \"four\" trips 0 ran  0\n" {
		t.Errorf("pending notices after the file became writable again: %q, want only the fourth", got)
	}
}

// Guards against trips, outcomes or closings that are lost or restored wrongly when the ledger is opened again.
func TestPendingNoticesSurviveRestart(t *testing.T) {
	stateDir := t.TempDir()
	l, _ := openLedger(t, stateDir, 1<<20)
	failOnError(t,
		l.RecordAccepted(newNotice(1, "one")), l.RecordAccepted(newNotice(2, "two")),
		l.RecordAccepted(newNotice(3, "three")), l.RecordAccepted(newNotice(4, "four")),
		l.RecordTrip(1, Trip{startTime, "a"}), l.RecordNotRun(1), l.RecordTrip(1,
			Trip{startTime.Add(time.Second), "b"}),
		l.RecordTrip(2, Trip{startTime, "a"}), l.RecordClosed(2), l.RecordClosed(2),
		l.RecordTrip(3, Trip{startTime, "a"}), l.RecordNotRun(3),
		l.RecordOutcome(4, "handed_back", 500), l.RecordClosed(9), flush(l),
	)
	want := `id-1 to 7 "one" trips 2 ran b+1000  0
id-3 to 7 "three" trips 1 ran  0
id-4 to 7 "four" trips 0 ran handed_back 500
`
	_, got := openLedger(t, stateDir, 1<<20)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("pending notices after a restart, -want +got:\n%s", diff)
	}
}

// Guards against a record that was cut off at any byte by a kill during its write: the records before it are read,
// and those that are written after the restart too.
func TestTornEnd(t *testing.T) {
	stateDir := t.TempDir()
	l, _ := openLedger(t, stateDir, 1<<20)
	failOnError(t, l.RecordAccepted(newNotice(1, "one")), flush(l))
	firstRecordEnd := l.Size()
	failOnError(t, l.RecordAccepted(newNotice(2, "two")), flush(l))
	path := filepath.Join(stateDir, fileName)
	data, err := os.ReadFile(path)
	failOnError(t, err)
	for size := firstRecordEnd; size < int64(len(data)); size++ {
		failOnError(t, os.WriteFile(path, data[:size], 0o600))
		l, got := openLedger(t, stateDir, 1<<20)
		if diff := cmp.Diff("id-1 to 7 \"one\" trips 0 ran  0\n", got); diff != "" {
			t.Fatalf("%d bytes of the second record: pending notices, -want +got:\n%s", size-firstRecordEnd, diff)
		}
		if l.Torn != int(size-firstRecordEnd) {
			t.Fatalf("%d bytes of the second record: Torn is %d, want the number of these bytes",
				size-firstRecordEnd, l.Torn)
		}
		failOnError(t, l.RecordAccepted(newNotice(5, "five")), flush(l))
		if _, got = openLedger(t, stateDir, 1<<20); !strings.Contains(got, "five") {
			t.Fatalf("a notice written after a torn end is missing: %s", got)
		}
	}
	data[len(data)-1] ^= 1
	failOnError(t, os.WriteFile(path, data, 0o600))
	if _, got := openLedger(t, stateDir, 1<<20); strings.Contains(got, "two") {
		t.Errorf("a record with a wrong checksum was read: %s", got)
	}
}

// diskUsage returns the size of the state directory's files, each rounded up to blocks of 512 bytes.
func diskUsage(t *testing.T, stateDir string) (size int64) {
	files, err := os.ReadDir(stateDir)
	failOnError(t, err)
	for _, f := range files {
		info, err := f.Info()
		failOnError(t, err)
		size += (info.Size() + 511) / 512 * 512
	}
	return size
}

// Guards against a ledger that outgrows its capacity, and against a full one that cannot record the trips of its
// notices.
func TestStaysWithinCapacity(t *testing.T) {
	const capacity = 64 << 10
	stateDir := t.TempDir()
	l, _ := openLedger(t, stateDir, capacity)
	body := strings.Repeat("b", 1000)
	var number rules.NoticeID
	for range 500 { // many more than the capacity allows at once
		number++
		failOnError(t, l.RecordAccepted(newNotice(number, body)), l.RecordTrip(number, Trip{startTime, "a"}),
			l.RecordClosed(number))
		if size := diskUsage(t, stateDir); size > capacity {
			t.Fatalf("%d bytes on disk, more than the capacity", size)
		}
	}
	live := 0
	for ; ; live++ {
		number++
		if err := l.RecordAccepted(newNotice(number, body)); errors.Is(err, ErrFull) {
			break
		} else {
			failOnError(t, err)
		}
	}
	for range 12 { // the accepted notices can still record trips
		for n := number - rules.NoticeID(live); n < number; n++ {
			failOnError(t, l.RecordTrip(n, Trip{startTime, "a"}), l.RecordNotRun(n))
		}
		if size := diskUsage(t, stateDir); size > capacity {
			t.Fatalf("%d bytes on disk with a full ledger, more than the capacity", size)
		}
	}
	failOnError(t, flush(l))
	_, got := openLedger(t, stateDir, capacity)
	if n := strings.Count(got, "trips 12"); n != live || live < 15 {
		t.Errorf("%d of %d notices were restored with 12 trips, want all and at least 15", n, live)
	}
}
