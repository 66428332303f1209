package stage

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Final is a notice of an end that the platform was given.
type Final struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	At      time.Time
}

// Platform is discovery and the taker of notices of ends.
type Platform struct {
	stage   *Stage
	Address string

	mu     sync.Mutex
	list   List
	finals []Final
}

// NewPlatform listens on a free port.
func (s *Stage) NewPlatform(members []Member) (*Platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{stage: s, Address: l.Addr().String(), list: List{Revision: 1, Complete: true, Members: members}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// List is the whole list as it stands.
func (p *Platform) List() List {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.list
	list.Members = append([]Member(nil), p.list.Members...)
	return list
}

// Finals is the notices of ends so far.
func (p *Platform) Finals() []Final {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Final(nil), p.finals...)
}

func (p *Platform) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		switch request.URL.Path {
		case "/v2/finals":
			if !p.take(body) || !p.answer(c, 204, nil) {
				return
			}
		case "/discovery/hosts":
			list := p.wait(request)
			text, _ := json.Marshal(list)
			if !p.answer(c, 200, text) {
				return
			}
			p.stage.Say("discovery wrote revision %d, complete %v, %d bytes", list.Revision, list.Complete, len(text))
		default:
			p.answer(c, 404, nil)
		}
	}
}

func (p *Platform) answer(c net.Conn, status int, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if status != 204 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

func (p *Platform) take(body []byte) bool {
	for _, line := range bytes.Split(bytes.TrimSpace(body), []byte("\n")) {
		f := Final{At: time.Now()}
		if json.Unmarshal(line, &f) != nil {
			return false
		}
		p.mu.Lock()
		p.finals = append(p.finals, f)
		p.mu.Unlock()
		p.stage.Say("platform was told the end of %s: %s", f.Message, f.Outcome)
	}
	return true
}

// wait answers a request for the whole list, or holds a watch: the list does not change here.
func (p *Platform) wait(request *http.Request) List {
	list := p.List()
	if from, err := strconv.Atoi(request.FormValue("from")); err != nil || from < list.Revision {
		return list
	}
	hold, _ := strconv.Atoi(request.FormValue("hold_ms"))
	time.Sleep(time.Duration(hold) * time.Millisecond)
	return List{Revision: list.Revision, Members: []Member{}}
}

// Call is a call that has come to a receiver, whole.
type Call struct {
	ID   string
	Body []byte
	At   time.Time
	Conn net.Conn
	// Number counts the calls on its connection, from 1 on.
	Number int
	reader *bufio.Reader
}

// Buffered is how much of a further call was read already.
func (c Call) Buffered() int { return c.reader.Buffered() }

// Receiver is a receiver on a free port. Answer is called with each call; its result tells whether the connection goes on.
type Receiver struct {
	Member Member
	Answer func(Call) bool
}

// NewReceiver listens on a free port.
func (s *Stage) NewReceiver(id string, cell int, answer func(Call) bool) (*Receiver, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Receiver{Answer: answer, Member: Member{ID: id, HostPort: l.Addr().String(), Locality: "a", Flavor: "plain", Cell: cell,
		Phase: "ready", Size: 1}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *Receiver) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !r.Answer(Call{request.Header.Get("Request-Id"), body, time.Now(), c, n, reader}) {
			return
		}
	}
}

// Answer is an answer without a body.
func Answer(status int, headers string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), headers)
}

// Request is a client's request.
func Request(id, class string, dest, timeoutMS int, body []byte) []byte {
	head := fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: acme\r\n"+
		"Request-Timeout-Ms: %d\r\nContent-Length: %d\r\nX-Consignee: dest=%d\r\n\r\n", class, id, class, timeoutMS, len(body), dest)
	return append(head, body...)
}

// Patience is how long a client waits for its answer. Then it leaves, and what is done with its message counts for nothing.
const Patience = 400 * time.Millisecond

// HandIn hands in one message on a connection of its own and returns the status, or 0.
func HandIn(address, id, class string, dest, timeoutMS int, body []byte) (int, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(Patience))
	if _, err := c.Write(Request(id, class, dest, timeoutMS, body)); err != nil {
		return 0, err
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	a.Body.Close()
	return a.StatusCode, nil
}
