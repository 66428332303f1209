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

// platformStage is a directory with a platform of the test's own, which answers each request by a script.
type platformStage struct {
	directory *Directory
	net       *sockets.Net
}

// platformRequest is a request that the platform has read.
type platformRequest struct {
	*http.Request
	body   string
	conn   net.Conn
	number int // of its connection, from 1 on
}

func beginPlatform(t *testing.T, answer func(platformRequest)) *platformStage {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(c)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					answer(platformRequest{r, string(body), c, n})
				}
			}()
		}
	}()
	l := limits.For(limits.Machine{}, rules.Settings{}, 1000)
	pool := buffers.NewPool(l.Buffer)
	s := &platformStage{directory: New(listener.Addr().String(), l, pool, NewReceivers(settings.Names{}), 40)}
	if s.net, err = sockets.Start("127.0.0.1:0", l, pool, nil); err != nil {
		t.Fatal(err)
	}
	s.directory.Use(s.net)
	t.Cleanup(func() { listener.Close(); s.net.Stop() })
	return s
}

// until plays turns until a condition holds, for 5 s at most.
func (s *platformStage) until(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); {
		if time.Now().After(end) {
			t.Fatal("it did not come to that")
		}
		time.Sleep(time.Millisecond)
		s.directory.At(time.Now())
		s.net.Gather()
		s.directory.Step()
	}
}

func TestCopyOfThePlatformsAnswerIsNotTakenForTheNextEnds(t *testing.T) {
	var mu sync.Mutex
	posts := 0
	s := beginPlatform(t, func(r platformRequest) {
		mu.Lock()
		defer mu.Unlock()
		posts++
		switch {
		case posts != 2:
			io.WriteString(r.conn, "HTTP/1.1 204 No Content\r\n\r\n")
		case r.number > 1:
			io.WriteString(r.conn, "HTTP/1.1 204 No Content\r\n\r\n") // the first request's once more
			fallthrough
		default:
			time.Sleep(20 * time.Millisecond)
			io.WriteString(r.conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}
	})
	var taken []rules.NoticeID
	for number := range rules.NoticeID(2) {
		s.directory.Ended(End{Notice: number, Message: fmt.Sprint(number), Outcome: GivenUp})
		s.until(t, func() bool {
			taken = append(taken, s.directory.Told()...)
			return slices.Contains(taken, number)
		})
	}
	mu.Lock()
	defer mu.Unlock()
	if posts < 3 {
		t.Errorf("an end that the platform answered 500 counts as taken after %d requests", posts)
	}
}

func TestOlderListOnAUsedConnectionBringsNoReceiverBack(t *testing.T) {
	list := func(c net.Conn, revision int, complete bool, members string) {
		text := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, members)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	const gone, ready = `{"id":"a","host_port":"127.0.0.1:1","cell":1,"phase":"gone"}`, `{"id":"a","host_port":"127.0.0.1:1","cell":1,"phase":"ready"}`
	var askedAnew atomic.Bool
	requests := 0
	s := beginPlatform(t, func(r platformRequest) {
		switch requests++; {
		case requests == 1:
			list(r.conn, 41, true, ready)
		case requests == 2:
			list(r.conn, 43, false, gone)
		case requests == 3:
			list(r.conn, 41, true, ready) // the first once more
		case r.URL.RawQuery == "":
			list(r.conn, 43, true, "")
			askedAnew.Store(true)
		}
	})
	s.directory.Watch()
	newer := false
	s.until(t, func() bool {
		newer = newer || s.directory.revision == 43
		lists, _ := s.directory.Lists()
		for _, told := range lists {
			for _, e := range told.Entries {
				if newer && e.Standing == rules.Ready {
					t.Fatalf("a receiver that is gone is back at revision %d", s.directory.revision)
				}
			}
		}
		return askedAnew.Load()
	})
}
