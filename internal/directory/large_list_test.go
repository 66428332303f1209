package directory

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// mostReceivers is the number of receivers in a large fleet.
const mostReceivers = 3200

// largeList returns the members of a list that is not decoded at once, in JSON.
func largeList(count int) string {
	members := make([]string, count)
	for i := range members {
		members[i] = fmt.Sprintf(`{"id":"s-%d","host_port":"127.0.0.1:1","cell":%d,"phase":"ready"}`, i, i)
	}
	return strings.Join(members, ",")
}

// Guards against decoding a large list on the goroutine of the loop.
func TestLargeListIsDecodedOnAnotherGoroutine(t *testing.T) {
	var requests atomic.Int32
	test := startPlatform(t, func(request platformRequest) {
		if requests.Add(1) == 1 {
			sendList(request.conn, 41, true, largeList(mostReceivers))
		}
	})
	test.directory.Watch()
	test.runUntil(t, func() bool { return test.directory.decoding != nil })
	time.Sleep(50 * time.Millisecond)
	test.directory.Step()
	if lists, _ := test.directory.TakeLists(); len(lists) > 0 || requests.Load() > 1 {
		t.Errorf("%d lists and %d requests before the loop has got the decoded list", len(lists), requests.Load())
	}
	test.runUntil(t, test.directory.Verified)
	if lists, _ := test.directory.TakeLists(); len(lists) != 1 || len(lists[0].Entries) != mostReceivers {
		t.Errorf("got %d lists, want one of all receivers", len(lists))
	}
	test.runUntil(t, func() bool { return requests.Load() == 2 })
}

// Guards against a list of the old address that is applied after the change to a new one.
func TestListOfTheOldAddressIsDiscardedWhileItIsDecoded(t *testing.T) {
	test := startPlatform(t, func(request platformRequest) {
		sendList(request.conn, 41, true, largeList(mostReceivers))
	})
	test.directory.Watch()
	test.runUntil(t, func() bool { return test.directory.decoding != nil })
	test.directory.SetAddress("127.0.0.1:1")
	for range 20 {
		time.Sleep(10 * time.Millisecond)
		test.net.Dispatch()
	}
	if lists, _ := test.directory.TakeLists(); len(lists) > 0 || test.directory.Verified() {
		t.Errorf("%d lists of the old address were applied", len(lists))
	}
}

// Guards against a watch that never continues after a large list that can't be decoded.
func TestWatchContinuesAfterAMalformedLargeList(t *testing.T) {
	var requests atomic.Int32
	test := startPlatform(t, func(request platformRequest) {
		if requests.Add(1) == 1 {
			sendList(request.conn, 41, true, largeList(mostReceivers)+",{")
			return
		}
		sendList(request.conn, 41, true, largeList(2))
	})
	test.directory.Watch()
	test.runUntil(t, test.directory.Verified)
	if lists, _ := test.directory.TakeLists(); len(lists) != 1 || len(lists[0].Entries) != 2 ||
		test.directory.UnusableResponses != 1 {
		t.Errorf("lists %+v after %d unusable responses, want the second list", lists, test.directory.UnusableResponses)
	}
}

// Guards against a large list that is lost when the platform closes the connection behind it.
func TestLargeListIsAppliedAfterItsConnectionHasClosed(t *testing.T) {
	var closed atomic.Bool
	test := startPlatform(t, func(request platformRequest) {
		if closed.Swap(true) {
			return
		}
		text := fmt.Sprintf(`{"revision":41,"complete":true,"members":[%s]}`, largeList(mostReceivers))
		response := http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: 200, Close: true,
			ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}
		response.Write(request.conn)
		request.conn.Close()
	})
	test.directory.Watch()
	test.runUntil(t, test.directory.Verified)
	if lists, _ := test.directory.TakeLists(); len(lists) != 1 || len(lists[0].Entries) != mostReceivers {
		t.Errorf("got %d lists, want one of all receivers", len(lists))
	}
}
