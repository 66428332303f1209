package benchwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// frame encodes a batch of records, each given as a code and its fields in hex.
func frame(number uint32, records ...string) []byte {
	var body []byte
	for _, r := range records {
		code, fields, _ := strings.Cut(r, " ")
		b, err := hex.DecodeString(strings.ReplaceAll(fields, " ", ""))
		if err != nil {
			panic(err)
		}
		var n uint16
		fmt.Sscan(code, &n)
		body = binary.LittleEndian.AppendUint16(body, n)
		body = binary.LittleEndian.AppendUint32(body, uint32(len(b)))
		body = append(body, b...)
	}
	header := make([]byte, headerSize)
	binary.LittleEndian.PutUint32(header[0:], number)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(body)))
	binary.LittleEndian.PutUint64(header[8:], 8_412_250)
	binary.LittleEndian.PutUint32(header[16:], uint32(len(records)))
	return append(header, body...)
}

// Records in hex: two versions of list 5, the update that refers to it, a verdict and a submitted notice.
const (
	oneEntry   = "1080 05 01000000 0a000000 01 0200 0300 01 00002041 0000000000000000"
	otherEntry = "1080 05 01000000 0b000000 00 0200 0300 02 00002041 0000000000000000"
	listUpdate = "1000 0100 04 29000000 05"
	verdict    = "1050 0100 07000000 2c010000 a0860100 0b 00 01 0a000000 02 0000003f 0000a040"
	submit     = "1070 0100 07000000 0200 01000000 0900000000000000 40420f00 00000000 00004040 10"
)

// TestRead decodes a batch with records of most kinds, one with an unknown code, and a list that is sent twice.
func TestRead(t *testing.T) {
	entry := rules.Entry{Receiver: 10, Destination: 3, Kind: 2, Zone: 1, Status: rules.Ready, ListedRate: 10}
	other := rules.Entry{Receiver: 11, Destination: 3, Kind: 2, Status: rules.Draining, ListedRate: 10}
	in := frame(12, oneEntry, listUpdate, otherEntry, listUpdate, "4711 ffff", "1030 0100 00000000000000000000000000",
		submit, verdict, "1060 0100 4d00000000000000", "1040 0100 07000000", "1000 0100 00 00000000 00", "1090 0100")
	reader := NewReader(bytes.NewReader(in))
	got, err := reader.Next()
	if err != nil {
		t.Fatal(err)
	}
	record := func(content any) Record { return Record{1, content} }
	want := Batch{Number: 12, Now: 8412.25, Records: []Record{
		record(rules.ListUpdated{Complete: true, Entries: []rules.Entry{entry}}),
		record(rules.ListUpdated{Complete: true, Entries: []rules.Entry{other}}),
		record(rules.NoticeAccepted{Notice: 7, Grade: 2, Portfolio: 1, Key: 9, Destination: 3,
			TimeLeft: 1000, Inherited: true}),
		record(rules.TripEnded{Notice: 7, Receiver: 10, Result: rules.Refused, Duration: 100, RequestedWait: 300,
			LimitReported: true, LimitRemaining: 0.5, LimitRate: 5}),
		record(rules.TimerDue{Timer: 77}),
		record(rules.NoticeWithdrawn{Notice: 7}),
		record(rules.ListFailed{}),
		record(Destroyed{}),
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
	if _, err := reader.Next(); err != io.EOF {
		t.Errorf("after the last batch: got %v, want io.EOF", err)
	}
}

// TestReadSettings decodes the simulator's settings; unknown fields are ignored.
func TestReadSettings(t *testing.T) {
	got, _, err := settings.Read([]byte(`{
		"classes": [{"aim": 2000000, "deadline": 16000000, "worth": 3, "late_worth": 0.3,
		"repeat": "guarded", "key_scope": "zone", "key_ttl": 5000000, "sequential": true, "unheard_of": [1]}],
		"kinds": ["a", "b"], "discovery": "subscribe", "group_size": 2, "goal": {"whole": 0.45, "worst_class": 0.2},
		"family_info": {"fee_by_zone": [0, 0.03], "loses_worth": "by_half", "per_call": [5], "separate_routes": [true],
		"slots": 11}, "limits": {"cancel": true, "conn_idle": 15000000, "max_retry_after": 3000000, "open_cap": 241,
		"retry_after": true,
		"send_cap": 12}, "obligations": {
		"cold_from": 0.16, "fall": 2000000, "key_rest": 300000, "must_ask_in": 10000000,
		"tip_multiple": 2, "warm_within": 10000000}, "over_share_worth": 0.2, "realms": [{"quota_per_s": 19}],
		"tick": 5000, "weight_source": "rough"}`))
	if err != nil {
		t.Fatal(err)
	}
	want := rules.Settings{
		Grades: []rules.Grade{{QuotedTime: 2000, ClientTimeout: 16_000, Credit: 3,
			LateShare: 0.3, Repeat: rules.Numbered, ZoneOnly: true, RemembersFor: 5000, InOrder: true}},
		Kinds:  []rules.Kind{{PerCall: 5, SeparateRoutes: true}, {PerCall: 1}},
		Quotas: []float64{19}, ZoneFees: []float64{0, 0.03},
		Senders: 2, Slots: 11, HoldLimit: 241, TripLimit: 12, CancelTrips: true, Tick: 5, OverQuotaWeight: 0.2,
		TotalCreditWeight: 0.45,
		WorstGradeWeight:  0.2, LateCreditHalves: true, RetryAfter: true, MaxRetryAfter: 3000, WatchOnRequest: true,
		RewatchWithin: 10_000,
		ListedError:   0.5, ColdCapacity: 0.16, WarmUpTime: 10_000, OverloadFactor: 2, OverloadTime: 2000,
		KeyCooldown: 300,
		IdleTimeout: 15_000,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// TestHugeList decodes a list larger than any usual buffer.
func TestHugeList(t *testing.T) {
	const count = 1 << 17
	entries := strings.Repeat("0a000000 01 0200 0300 01 00002041 0000000000000000", count)
	reader := NewReader(bytes.NewReader(frame(3, fmt.Sprintf("1080 05 %08x", 0x0200)+entries, listUpdate)))
	batch, err := reader.Next()
	if err != nil || len(batch.Records[0].Content.(rules.ListUpdated).Entries) != count {
		t.Errorf("want a list of %d entries; error: %v", count, err)
	}
}

// TestAbsentSettings submits a notice to a sender whose settings are empty: it is dismissed, without a panic.
func TestAbsentSettings(t *testing.T) {
	batch, err := NewReader(bytes.NewReader(frame(3, "1010 0100 0000000000000000 02000000 7b7d", submit))).Next()
	if err != nil {
		t.Fatal(err)
	}
	sender := rules.New(1, batch.Records[0].Content.(Created).Settings)
	got := sender.Decide(0, []rules.Event{batch.Records[1].Content.(rules.Event)})
	if diff := cmp.Diff([]rules.Action{rules.Dismiss{Notice: 7}}, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// TestMalformed checks that each malformed batch is an error and not the end of input.
func TestMalformed(t *testing.T) {
	complete := frame(3, oneEntry, listUpdate, submit)
	for name, in := range map[string][]byte{
		"header cut short":      complete[:7],
		"body cut short":        complete[:len(complete)-1],
		"record cut short":      frame(3, "1070 0100 07000000"),
		"list of another size":  frame(3, "1080 05 ffffffff 0a000000"),
		"list never sent":       frame(3, listUpdate),
		"unknown status":        frame(3, "1050 0100 07000000 00000000 00000000 63 00 00 0a000000 00"),
		"unknown readiness":     frame(3, strings.Replace(oneEntry, "01 00002041", "07 00002041", 1)),
		"settings are no JSON":  frame(3, "1010 0100 0000000000000000 02000000 7b22"),
		"settings cut short":    frame(3, "1010 0100 0000000000000000 09000000 7b22"),
		"more than was counted": append(frame(3), 0),
	} {
		if name == "more than was counted" {
			binary.LittleEndian.PutUint32(in[4:], 1)
		}
		_, err := NewReader(bytes.NewReader(in)).Next()
		if err == nil || err == io.EOF {
			t.Errorf("%s: got %v, want an error other than io.EOF", name, err)
		}
	}
}

// TestWrite encodes one action of each kind.
func TestWrite(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	err := w.Add(3, []rules.Action{
		rules.CloseIdleConnections{Receiver: 0x2c9011f2},
		rules.Send{Notice: 0x5d3a91c4, Receiver: 0x03124a07, Timeout: 80},
		rules.Dismiss{Notice: 7, RetryAfter: 250}, rules.BreakOff{Notice: 7}, rules.CancelTrip{Notice: 7, Trip: 2},
		rules.SetTimer{After: 500, Timer: 77}, rules.WatchList{},
		rules.BreakerChanged{Destination: 1, Route: 2, State: "open", Reason: "hi"},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := w.Flush(12); err != nil {
		t.Fatal(err)
	}
	want := strings.Join([]string{
		"0c000000 08000000 8e000000",
		"2404 06000000 0300 f211902c",
		"e803 0e000000 0300 c4913a5d 80380100 074a1203",
		"f203 0a000000 0300 07000000 90d00300",
		"fc03 06000000 0300 07000000",
		"0604 07000000 0300 07000000 02",
		"1004 0e000000 0300 20a10700 4d00000000000000",
		"4c04 03000000 0300 01",
		"3804 22000000 0300 1e00 64657374696e6174696f6e203120726f7574652032206f70656e3a206869",
	}, "")
	if diff := cmp.Diff(strings.ReplaceAll(want, " ", ""), hex.EncodeToString(out.Bytes())); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// FuzzRead checks that no input makes the reader panic or loop.
func FuzzRead(f *testing.F) {
	f.Add(frame(3, oneEntry, listUpdate, submit, verdict))
	f.Add(frame(4, "1010 0100 0000000000000000 02000000 7b7d", "1090 0100"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		for {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}
