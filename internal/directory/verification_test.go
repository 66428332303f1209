package directory

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// These tests check that the receiver list is verified by requests that the platform answers at once.

// sendList answers a request with a list.
func sendList(conn net.Conn, revision int, complete bool, members string) {
	text := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, members)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// Guards against a first request that the platform answers only when the list changes.
func TestListIsVerifiedByARequestThatIsNotHeld(t *testing.T) {
	requests := make(chan string, 10)
	test := startPlatform(t, func(request platformRequest) {
		requests <- request.URL.RawQuery
		if request.URL.Query().Get("hold_ms") == "0" {
			sendList(request.conn, 40, false, "")
		}
	})
	test.directory.Watch()
	if test.directory.Verified() {
		t.Error("the list counts as verified before any request")
	}
	test.runUntil(t, test.directory.Verified)
	test.runUntil(t, func() bool { return len(requests) == 2 })
	if first, second := <-requests, <-requests; first != "from=40&hold_ms=0" || second != "from=40&hold_ms=2000" {
		t.Errorf("requests %q and %q, want one that is not held, and a watch right behind it", first, second)
	}
}

// Guards against verifying the list by the changes of a platform that counts revisions differently.
func TestListIsNotVerifiedByAPlatformWithOlderRevisions(t *testing.T) {
	var fullListRequested atomic.Bool
	test := startPlatform(t, func(request platformRequest) {
		if request.URL.RawQuery == "" {
			fullListRequested.Store(true)
			sendList(request.conn, 3, true, `{"id":"a","host_port":"127.0.0.1:1","cell":1,"phase":"ready"}`)
		} else if request.number == 1 {
			sendList(request.conn, 3, false, "")
		}
	})
	test.directory.Watch()
	test.runUntil(t, test.directory.Verified)
	lists, _ := test.directory.TakeLists()
	if !fullListRequested.Load() || len(lists) != 1 || !lists[0].Complete || len(lists[0].Entries) != 1 {
		t.Errorf("verified by the lists %+v, want the complete one", lists)
	}
}

// Guards against requests in a tight loop at a platform that answers at once but refuses watches.
func TestRefusedWatchesAreSpaced(t *testing.T) {
	var refused atomic.Int32
	test := startPlatform(t, func(request platformRequest) {
		if request.URL.Query().Get("hold_ms") == "0" {
			sendList(request.conn, 40, false, "")
			return
		}
		refused.Add(1)
		io.WriteString(request.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	})
	test.directory.Watch()
	started := time.Now()
	test.runUntil(t, func() bool { return time.Since(started) > time.Second })
	// Pauses of 50, 100, 200 and 400 ms.
	if count := refused.Load(); count < 2 || count > 5 {
		t.Errorf("%d watches were refused within 1 s, want 2 to 5", count)
	}
}

// Guards against giving up each request too early at a slow platform, and against waiting long for a lost one.
func TestVerificationSucceedsAtASlowPlatformAndAfterALostRequest(t *testing.T) {
	for name, respond := range map[string]func(requests int32, request platformRequest){
		"slow": func(_ int32, request platformRequest) {
			time.Sleep(1500 * time.Millisecond)
			sendList(request.conn, 40, false, "")
		},
		"first request lost": func(requests int32, request platformRequest) {
			if requests > 1 {
				sendList(request.conn, 40, false, "")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			test := startPlatform(t, func(request platformRequest) { respond(requests.Add(1), request) })
			test.directory.Watch()
			started := time.Now()
			test.runUntil(t, test.directory.Verified)
			if took := time.Since(started); took > 3*time.Second {
				t.Errorf("verified after %v, want at most the time of a watch", took)
			}
		})
	}
}

// Guards against a list that counts as verified although a request for its changes has failed since.
func TestListIsUnverifiedAfterAFailedWatchAndForANewAddress(t *testing.T) {
	var watches atomic.Int32
	test := startPlatform(t, func(request platformRequest) {
		switch {
		case request.URL.Query().Get("hold_ms") == "0" && watches.Load() < 1:
			sendList(request.conn, 40, false, "")
		case watches.Add(1) == 1:
			request.conn.Close()
		}
	})
	test.directory.Watch()
	test.runUntil(t, test.directory.Verified)
	test.runUntil(t, func() bool { return !test.directory.Verified() })
	test.directory.verified = true
	test.directory.SetAddress("127.0.0.1:1")
	if test.directory.Verified() {
		t.Error("the list counts as verified before the new address was asked")
	}
}
