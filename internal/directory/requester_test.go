package directory

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/internal/sockets"
	"chuteweir.example/chuteweir/rules"
)

// platformTest is a Directory connected to a fake platform, whose responses the test scripts.
type platformTest struct {
	directory *Directory
	net       *sockets.Net
}

// platformRequest is a request that the platform has read.
type platformRequest struct {
	*http.Request
	body   string
	conn   net.Conn
	number int // of the request on its connection, from 1 on
}

// startPlatform starts a fake platform, and a Directory that knows revision 40 of its list.
func startPlatform(t *testing.T, respond func(platformRequest)) *platformTest {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				for number := 1; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(request.Body)
					respond(platformRequest{request, string(body), conn, number})
				}
			}()
		}
	}()
	lim := limits.For(limits.Machine{}, rules.Settings{}, 1000)
	pool := buffers.NewPool(lim.Buffer)
	test := &platformTest{directory: New(listener.Addr().String(), lim, pool, NewReceivers(settings.Names{}), 40)}
	if test.net, err = sockets.Start("127.0.0.1:0", lim, pool, nil); err != nil {
		t.Fatal(err)
	}
	test.directory.SetNet(test.net)
	t.Cleanup(func() { listener.Close(); test.net.Stop() })
	return test
}

// runUntil runs the directory until a condition holds, for 5 s at most.
func (p *platformTest) runUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not hold within 5 s")
		}
		time.Sleep(time.Millisecond)
		p.directory.SetTime(time.Now())
		p.net.Dispatch()
		p.directory.Step()
	}
}

// A platform that repeats its first response must not confirm the next outcome report with it. Each report
// therefore has a connection of its own.
func TestRepeatedResponseDoesNotConfirmTheNextReport(t *testing.T) {
	var mu sync.Mutex
	posts := 0
	test := startPlatform(t, func(request platformRequest) {
		mu.Lock()
		defer mu.Unlock()
		posts++
		switch {
		case posts != 2:
			io.WriteString(request.conn, "HTTP/1.1 204 No Content\r\n\r\n")
		case request.number > 1:
			io.WriteString(request.conn, "HTTP/1.1 204 No Content\r\n\r\n") // repeats the response to the first request
			fallthrough
		default:
			time.Sleep(20 * time.Millisecond)
			io.WriteString(request.conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}
	})
	var confirmed []rules.NoticeID
	for number := range rules.NoticeID(2) {
		test.directory.ReportOutcome(FinalOutcome{Notice: number, Message: fmt.Sprint(number), Outcome: GivenUp})
		test.runUntil(t, func() bool {
			confirmed = append(confirmed, test.directory.TakeConfirmed()...)
			return slices.Contains(confirmed, number)
		})
	}
	mu.Lock()
	defer mu.Unlock()
	if posts < 3 {
		t.Errorf("a report that the platform answered with status 500 counts as confirmed after %d requests", posts)
	}
}

// A repeated response with an older list, on a connection that was used before, must not list a removed receiver
// again: the complete list is requested instead.
func TestOlderListOnAUsedConnectionBringsNoReceiverBack(t *testing.T) {
	const gone, ready = `{"id":"a","host_port":"127.0.0.1:1","cell":1,"phase":"gone"}`,
		`{"id":"a","host_port":"127.0.0.1:1","cell":1,"phase":"ready"}`
	var fullListRequested atomic.Bool
	requests := 0
	test := startPlatform(t, func(request platformRequest) {
		switch requests++; {
		case requests == 1:
			sendList(request.conn, 41, true, ready)
		case requests == 2:
			sendList(request.conn, 43, false, gone)
		case requests == 3:
			sendList(request.conn, 41, true, ready) // repeats the first response
		case request.URL.RawQuery == "":
			sendList(request.conn, 43, true, "")
			fullListRequested.Store(true)
		}
	})
	test.directory.Watch()
	removed := false
	test.runUntil(t, func() bool {
		removed = removed || test.directory.revision == 43
		lists, _ := test.directory.TakeLists()
		for _, update := range lists {
			for _, entry := range update.Entries {
				if removed && entry.Status == rules.Ready {
					t.Fatalf("a removed receiver is listed again at revision %d", test.directory.revision)
				}
			}
		}
		return fullListRequested.Load()
	})
}
