package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// burst sends several requests at once on one connection, and calls afterFirst after the first answer. It returns the
// statuses of the answers that arrive, and whether the last one announces that the connection is closed.
func (env *environment) burst(requests []string, afterFirst func()) (statuses []int, closing bool) {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.listen)
	env.must(err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	go io.WriteString(conn, strings.Join(requests, ""))
	reader := bufio.NewReader(conn)
	for range requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		if statuses = append(statuses, response.StatusCode); len(statuses) == 1 {
			afterFirst()
		}
		closing = response.Close
	}
	return statuses, closing
}

// doNothing is the afterFirst of bursts with nothing to do after the first answer.
func doNothing() {}

// submissions returns valid requests with different ids and with bodies of a size.
func submissions(name string, count, size int) (requests []string) {
	for i := range count {
		requests = append(requests, submission("note", fmt.Sprintf("%s-%d", name, i), 12000, 1,
			strings.Repeat("x", size)))
	}
	return requests
}

// startLargeEnvironment starts a sender that has capacity for all notices of a burst.
func startLargeEnvironment(t *testing.T) *environment {
	env := startEnvironment(t, "hold = 50", "hold = 5000",
		`disk = "1MB"`, `disk = "50MB"`, `limit = "20/s"`, `limit = "2000/s"`)
	env.respondWith(respondOK)
	return env
}

// Guards against the remaining requests of a burst being dropped when one of them is accepted.
func TestEachRequestOfABurstIsAnswered(t *testing.T) {
	env := startLargeEnvironment(t)
	for _, size := range []struct{ count, body int }{{16, 8 << 10}, {150, 40}, {400, 0}, {7, 20_000}, {3, 64 << 10},
		{50, 8000}, {2, 8192 - 190}} {
		name := fmt.Sprintf("%dx%d", size.count, size.body)
		statuses, closing := env.burst(submissions(name, size.count, size.body), doNothing)
		if len(statuses) != size.count || closing {
			t.Errorf("%s: %d answers, closing: %v; want one for each request, and an open connection",
				name, len(statuses), closing)
		}
		for i, status := range statuses {
			if status != 202 {
				t.Errorf("%s: answer %d is %d, want 202", name, i, status)
				break
			}
		}
	}
	env.shutDown()
}

// Guards against the answers to a burst arriving in another order than its requests.
func TestAnswersToABurstKeepItsOrder(t *testing.T) {
	env := startLargeEnvironment(t)
	requests := submissions("first", 6, 10)
	requests[1] = submission("note", "first-0", 12000, 1, "") // the same id
	requests[3] = "GET /up HTTP/1.1\r\n\r\n"
	requests[4] = submission("x", "first-4", 12000, 1, "") // an unknown grade
	statuses, _ := env.burst(requests, doNothing)
	if got := fmt.Sprint(statuses); got != "[202 409 202 200 404 202]" {
		t.Errorf("answers are %s; want [202 409 202 200 404 202]", got)
	}
	env.shutDown()
}

// Guards against leaving requests unanswered that were read after a refused one whose answer could close the
// connection.
func TestRequestsAfterARefusedOneAreAnswered(t *testing.T) {
	env := startLargeEnvironment(t)
	for _, refused := range []string{submission("note", "lost", 12000, 70000, ""), submission("x", "odd", 12000, 1, ""),
		"PUT /note HTTP/1.1\r\nContent-Length: 0\r\n\r\n", submission("note", "", 12000, 1, "")} {
		name, _, _ := strings.Cut(refused, " HTTP")
		requests := append(append(submissions(name[1:4]+fmt.Sprint(len(refused)), 3, 10), refused),
			submissions(fmt.Sprint(len(refused)), 6, 9000)...)
		if statuses, closing := env.burst(requests, doNothing); len(statuses) != 10 || closing {
			t.Errorf("requests after %q: answers %v, closing: %v; want 10 answers and an open connection",
				name, statuses, closing)
		}
	}
	refused := slices.Repeat([]string{submission("x", "a", 12000, 1, "")}, 300)
	if statuses, closing := env.burst(refused, doNothing); len(statuses) != 300 || !closing {
		t.Errorf("300 refused at once: %d answers, closing: %v; want 300, the last one closing", len(statuses), closing)
	}
	env.shutDown()
}

// Guards against leaving requests of a burst unanswered when SIGTERM arrives during the burst.
func TestEachRequestOfABurstIsAnsweredDuringShutdown(t *testing.T) {
	for _, size := range []struct{ count, body int }{{150, 40}, {60, 4000}, {16, 8 << 10}} {
		env := startLargeEnvironment(t)
		statuses, closing := env.burst(submissions("c", size.count, size.body),
			func() { env.sender.Process.Signal(syscall.SIGTERM) })
		for i, status := range statuses {
			if status != 202 && status != 503 {
				t.Errorf("answer %d is %d, want 202 or 503", i, status)
			}
		}
		if len(statuses) != size.count || statuses[len(statuses)-1] == 503 && !closing {
			t.Errorf("%d answers to %d requests of %d bytes, the last one closing: %v; want all, and a close after a 503",
				len(statuses), size.count, size.body, closing)
		}
		env.sender.Wait()
	}
}

// Guards against dropping a client that closes only its sending side after the request and still reads the answer.
func TestClientThatOnlyEndsItsSendingSideIsAnswered(t *testing.T) {
	env := startLargeEnvironment(t)
	unanswered := 0
	for i := range 20 {
		conn, err := net.Dial("tcp", env.listen)
		env.must(err)
		io.WriteString(conn, submission("note", fmt.Sprintf("half-%d", i), 12000, 1, "body"))
		env.must(conn.(*net.TCPConn).CloseWrite())
		conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			unanswered++
		}
		conn.Close()
	}
	if unanswered > 0 {
		t.Errorf("%d of 20 requests got no answer", unanswered)
	}
	env.shutDown()
}
