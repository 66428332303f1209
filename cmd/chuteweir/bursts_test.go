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

// burst sends requests at once on one connection and returns the statuses of their answers, as far as they come, and whether the
// last one said that the connection ends. It calls behind after the first answer.
func (w *world) burst(requests []string, behind func()) (statuses []int, closing bool) {
	w.t.Helper()
	c, err := net.Dial("tcp", w.listen)
	w.must(err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	go io.WriteString(c, strings.Join(requests, ""))
	reader := bufio.NewReader(c)
	for range requests {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		if statuses = append(statuses, answer.StatusCode); len(statuses) == 1 {
			behind()
		}
		closing = answer.Close
	}
	return statuses, closing
}

func nothing() {}

// handIns are good requests with ids and bodies of their own.
func handIns(name string, count, size int) (requests []string) {
	for i := range count {
		requests = append(requests, post("note", fmt.Sprintf("%s-%d", name, i), 12000, 1, strings.Repeat("x", size)))
	}
	return requests
}

func beginWide(t *testing.T) *world {
	w := begin(t, "hold = 50", "hold = 5000", `disk = "1MB"`, `disk = "50MB"`, `limit = "20/s"`, `limit = "2000/s"`)
	w.answers(fine)
	return w
}

// Guards against a burst of commands being dropped as one of them was taken on (review, case 3).
func TestEachCommandOfABurstIsAnswered(t *testing.T) {
	w := beginWide(t)
	for _, size := range []struct{ count, body int }{{16, 8 << 10}, {150, 40}, {400, 0}, {7, 20_000}, {3, 64 << 10}, {50, 8000}, {2, 8192 - 190}} {
		name := fmt.Sprintf("%dx%d", size.count, size.body)
		statuses, closing := w.burst(handIns(name, size.count, size.body), nothing)
		if len(statuses) != size.count || closing {
			t.Errorf("%s: %d answers, closing: %v", name, len(statuses), closing)
		}
		for i, status := range statuses {
			if status != 202 {
				t.Errorf("%s: answer %d is %d", name, i, status)
				break
			}
		}
	}
	w.leave()
}

// Guards against answers to a burst that come in another order than their commands.
func TestAnswersToABurstKeepItsOrder(t *testing.T) {
	w := beginWide(t)
	requests := handIns("first", 6, 10)
	requests[1] = post("note", "first-0", 12000, 1, "") // the same id
	requests[3] = "GET /up HTTP/1.1\r\n\r\n"
	requests[4] = post("x", "first-4", 12000, 1, "") // an unknown grade
	statuses, _ := w.burst(requests, nothing)
	if got := fmt.Sprint(statuses); got != "[202 409 202 200 404 202]" {
		t.Errorf("answers %s", got)
	}
	w.leave()
}

// Guards against commands that were read behind one whose answer ends the connection and that get no answer.
func TestCommandsBehindARefusedOneAreAnswered(t *testing.T) {
	w := beginWide(t)
	for _, refused := range []string{post("note", "lost", 12000, 70000, ""), post("x", "odd", 12000, 1, ""),
		"PUT /note HTTP/1.1\r\nContent-Length: 0\r\n\r\n", post("note", "", 12000, 1, "")} {
		name, _, _ := strings.Cut(refused, " HTTP")
		requests := append(append(handIns(name[1:4]+fmt.Sprint(len(refused)), 3, 10), refused), handIns(fmt.Sprint(len(refused)), 6, 9000)...)
		if statuses, closing := w.burst(requests, nothing); len(statuses) != 10 || closing {
			t.Errorf("behind %q: answers %v, closing: %v", name, statuses, closing)
		}
	}
	refused := slices.Repeat([]string{post("x", "a", 12000, 1, "")}, 300)
	if statuses, closing := w.burst(refused, nothing); len(statuses) != 300 || !closing {
		t.Errorf("300 refused at once: %d answers, closing: %v", len(statuses), closing)
	}
	w.leave()
}

// Guards against commands of a burst that get no answer when the sender is told to leave in its midst.
func TestEachCommandOfABurstIsAnsweredWhenTheSenderLeaves(t *testing.T) {
	for _, size := range []struct{ count, body int }{{150, 40}, {60, 4000}, {16, 8 << 10}} {
		w := beginWide(t)
		statuses, closing := w.burst(handIns("c", size.count, size.body), func() { w.sender.Process.Signal(syscall.SIGTERM) })
		for i, status := range statuses {
			if status != 202 && status != 503 {
				t.Errorf("answer %d is %d", i, status)
			}
		}
		if len(statuses) != size.count || statuses[len(statuses)-1] == 503 && !closing {
			t.Errorf("%d answers to %d commands of %d bytes, the last one closing: %v", len(statuses), size.count, size.body, closing)
		}
		w.sender.Wait()
	}
}

// Guards against a client that ends its sending side behind its request, and reads on, being taken for one that has gone.
func TestClientThatOnlyEndsItsSendingSideIsAnswered(t *testing.T) {
	w := beginWide(t)
	unanswered := 0
	for i := range 20 {
		c, err := net.Dial("tcp", w.listen)
		w.must(err)
		io.WriteString(c, post("note", fmt.Sprintf("half-%d", i), 12000, 1, "body"))
		w.must(c.(*net.TCPConn).CloseWrite())
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			unanswered++
		}
		c.Close()
	}
	if unanswered > 0 {
		t.Errorf("%d of 20 requests got no answer", unanswered)
	}
	w.leave()
}
