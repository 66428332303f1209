package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/gateway"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
	"github.com/valyala/fasthttp"
)

// Asked is a call that a receiver has read.
type Asked struct {
	ID, Mark, Receiver, Remote string
	Path                       string
	Body                       []byte
	Gone                       <-chan struct{} // closed when the sender ends the connection
}

// Reply is what a script answers to a call.
type Reply struct {
	Status int
	Fields []string // header lines
	Body   string
	Raw    string        // in place of all of these: these bytes
	After  time.Duration // before the answer
	Close  bool          // the connection ends behind it
	Reset  bool          // it is reset, after Raw
	Never  bool          // there is no answer
	Ran    bool          // it took effect
}

// Gateways is all destinations of a run.
type Gateways struct {
	env *Stage
	// Script answers calls in place of the scenario's shapes, for tests.
	Script func(*Asked) Reply

	mu           sync.Mutex
	destinations map[int]*destination
	receivers    map[string]*receiver
}

// dest is one destination.
type destination struct {
	*gateway.Site // under mu
	mu            sync.Mutex
	open          int // connections
}

// receiver is one of its receivers.
type receiver struct {
	id, address  string
	gateways     *Gateways
	destination  *destination
	mu           sync.Mutex
	listener     *net.TCPListener
	conns        map[net.Conn]bool
	queueFillers []net.Conn // connections that keep others from coming up
	paused       chan struct{}
	resetsUntil  time.Time // what the kernel had let up while nobody accepted is reset
	closed       bool
}

// NewGateways opens the receivers of a world.
func NewGateways(env *Stage) (*Gateways, error) {
	g := &Gateways{env: env, destinations: map[int]*destination{}, receivers: map[string]*receiver{}}
	for _, d := range env.World.Destinations {
		opened := &destination{Site: gateway.NewSite(env.World, d)}
		g.destinations[d.Number] = opened
		for _, id := range d.Receivers {
			if err := g.Open(id, d.Number); err != nil {
				return nil, err
			}
		}
		go g.watchOutages(opened)
	}
	return g, nil
}

// watchOutages tells a destination when its outages begin and end.
func (g *Gateways) watchOutages(d *destination) {
	for at := rules.Millis(0); ; {
		next := d.NextOutage(at)
		if next < 0 || !g.env.waitUntil(next) {
			return
		}
		at = next
		d.mu.Lock()
		d.StepOutage(at)
		d.mu.Unlock()
	}
}

// Open begins a receiver of a destination under a new id.
func (g *Gateways) Open(id string, number int) error {
	l, err := g.env.Listen()
	if err != nil {
		return err
	}
	return g.open(id, number, l)
}

// OpenAt begins a receiver at an address.
func (g *Gateways) OpenAt(id string, number int, address string) error {
	l, err := listenOn(address)
	if err != nil {
		return fmt.Errorf("opening receiver %s: %w", id, err)
	}
	return g.open(id, number, l)
}

func (g *Gateways) open(id string, number int, l net.Listener) error {
	r := &receiver{id: id, address: l.Addr().String(), gateways: g, destination: g.destinations[number], listener: l.(*net.TCPListener),
		conns: map[net.Conn]bool{}}
	g.mu.Lock()
	g.receivers[id] = r
	g.mu.Unlock()
	go r.accept(r.listener)
	go r.followFaults()
	go func() { <-g.env.done; r.close() }()
	return nil
}

// Gone ends a receiver for good.
func (g *Gateways) Gone(id string) {
	g.mu.Lock()
	r := g.receivers[id]
	delete(g.receivers, id)
	g.mu.Unlock()
	if r != nil {
		r.close()
	}
}

// Block keeps new connections to a receiver from coming up until Unblock.
func (g *Gateways) Block(id string) error { return g.withReceiver(id, (*receiver).block) }

// Unblock lets new connections to a receiver come up again.
func (g *Gateways) Unblock(id string) error { return g.withReceiver(id, (*receiver).unblock) }

func (g *Gateways) withReceiver(id string, do func(*receiver)) error {
	g.mu.Lock()
	r := g.receivers[id]
	g.mu.Unlock()
	if r == nil {
		return fmt.Errorf("no receiver %s", id)
	}
	do(r)
	return nil
}

// Address is where a receiver takes calls.
func (g *Gateways) Address(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.receivers[id]; r != nil {
		return r.address
	}
	return ""
}

func (r *receiver) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.refuse()
}

// refuse closes the listener and resets all connections.
func (r *receiver) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		r.listener.Close()
		r.listener = nil
	}
	for c := range r.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// listen opens the same address again.
func (r *receiver) listen() {
	for range 100 {
		r.mu.Lock()
		if r.closed || r.listener != nil {
			r.mu.Unlock()
			return
		}
		l, err := net.Listen("tcp", r.address)
		if err == nil {
			r.listener = l.(*net.TCPListener)
			go r.accept(r.listener)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		if !r.gateways.env.sleep(20 * time.Millisecond) {
			return
		}
	}
}

// block keeps new connections from coming up: nobody accepts, and the kernel's queue is full.
func (r *receiver) block() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil || r.paused != nil {
		return
	}
	r.paused = make(chan struct{})
	r.listener.SetDeadline(time.Unix(1, 0))
	setBacklog(r.listener, 0)
	for range 2 {
		if c, err := net.DialTimeout("tcp", r.address, 50*time.Millisecond); err == nil {
			r.queueFillers = append(r.queueFillers, c)
		}
	}
}

func (r *receiver) unblock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paused == nil {
		return
	}
	close(r.paused)
	r.paused = nil
	r.resetsUntil = time.Now().Add(30 * time.Millisecond)
	for _, c := range r.queueFillers {
		c.Close()
	}
	r.queueFillers = nil
	if r.listener != nil {
		r.listener.SetDeadline(time.Time{})
		setBacklog(r.listener, 4096)
	}
}

// followScript opens, closes and blocks the receiver as the faults say.
func (r *receiver) followFaults() {
	faults := r.destination.Faults
	for at := rules.Millis(0); ; {
		refused, blocked := false, false
		for _, f := range faults {
			switch f.Kind {
			case scenario.Refuse, scenario.Flap:
				refused = refused || f.Active(at)
			case scenario.Silent, scenario.NeverUp:
				blocked = blocked || f.Active(at)
			}
		}
		if r.gateways.env.Clock.Now() >= 0 {
			if refused {
				r.refuse()
			} else {
				r.listen()
			}
			if blocked {
				r.block()
			} else {
				r.unblock()
			}
		}
		next := rules.Millis(-1)
		for _, f := range faults {
			if n := f.Next(at); n >= 0 && (next < 0 || n < next) {
				next = n
			}
		}
		if next < 0 || !r.gateways.env.waitUntil(next) {
			return
		}
		at = next
	}
}

func (r *receiver) accept(l *net.TCPListener) {
	for {
		c, err := l.Accept()
		if err != nil {
			r.mu.Lock()
			paused := r.paused
			current := r.listener == l
			r.mu.Unlock()
			switch {
			case !current:
				return
			case paused != nil:
				select {
				case <-paused:
				case <-r.gateways.env.done:
					return
				}
			case !r.gateways.env.sleep(time.Millisecond):
				return
			}
			continue
		}
		d := r.destination
		d.mu.Lock()
		full := d.Group.Shape.Connections > 0 && d.open >= d.Group.Shape.Connections
		if !full {
			d.open++
		}
		d.mu.Unlock()
		r.mu.Lock()
		late := r.closed || r.listener != l || time.Now().Before(r.resetsUntil)
		if !late {
			r.conns[c] = true
		}
		r.mu.Unlock()
		if full || late {
			reset(c)
			if !full {
				d.mu.Lock()
				d.open--
				d.mu.Unlock()
			}
			continue
		}
		go r.serve(c)
	}
}

// read is a request as it came.
type receivedRequest struct {
	first, last    rules.Millis
	id, mark, path string
	body           []byte
}

// line is a connection from a sender, which one goroutine serves.
type connection struct {
	net.Conn
	reader        *bufio.Reader
	peerClosed    chan struct{} // closed when the sender has ended it; nil while nobody looks
	readable      chan struct{} // closed when there is something to read, or the end
	closedLocally atomic.Bool   // it ended from the gateway's side

	callCount   int            // calls
	retractable []answeredCall // that a sender may have taken for other calls' answers if the connection ends now
}

// answered is a call with the status of its answer.
type answeredCall struct {
	call   *audit.Call
	status int
}

// doubtfulKept is how many calls of a connection are told when it ends.
const maxRetractable = 64

// noteAnswered keeps a call that was answered. Of the calls before it goes which a like answer has followed that the sender must have heard,
// which it need not have heard of the last one.
func (l *connection) recordResponse(call *audit.Call, status int) {
	last := len(l.retractable) - 1
	switch {
	case last > 0 && l.retractable[last-1].status == l.retractable[last].status:
		l.retractable = slices.Delete(l.retractable, last-1, last)
	case len(l.retractable) == maxRetractable:
		l.retractable = slices.Delete(l.retractable, 0, 1)
	}
	l.retractable = append(l.retractable, answeredCall{call, status})
}

// noteEnd notes the end of a connection with the calls that were answered on it.
func (l *connection) recordEnd(env *Stage) {
	at := env.Clock.Now()
	for i, a := range l.retractable {
		last := i == len(l.retractable)-1
		env.Record.Update(a.call, func(c *audit.Call) {
			c.Ended = at
			// An answer that a reset follows may never have been read.
			if last && l.closedLocally.Load() && c.Closed == 0 {
				c.Closed = at
			}
		})
	}
}

// watch looks, beside whoever serves the connection, whether the sender ends it.
func (l *connection) watchPeer() <-chan struct{} {
	if l.peerClosed == nil {
		l.peerClosed, l.readable = make(chan struct{}), make(chan struct{})
		go func(gone, next chan struct{}) {
			defer close(next)
			if !l.peekByte() {
				close(gone)
			}
		}(l.peerClosed, l.readable)
	}
	return l.peerClosed
}

// ended tells whether the sender has ended the connection, or its sending side.
func (l *connection) peerEnded() bool {
	select {
	case <-l.watchPeer():
		return true
	default:
		return false
	}
}

// await waits until there is something to read.
func (l *connection) awaitReadable(done <-chan struct{}) bool {
	if l.readable != nil {
		select {
		case <-l.readable:
		case <-done:
			return false
		}
		l.peerClosed, l.readable = nil, nil
	}
	return l.peekByte()
}

// peek waits for the next byte, and notes whose end it was if none comes.
func (l *connection) peekByte() bool {
	_, err := l.reader.Peek(1)
	if errors.Is(err, net.ErrClosed) {
		l.closedLocally.Store(true)
	}
	return err == nil
}

// serve answers the calls of one connection.
func (r *receiver) serve(c net.Conn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		r.destination.mu.Lock()
		r.destination.open--
		r.destination.mu.Unlock()
	}()
	l := &connection{Conn: c, reader: bufio.NewReaderSize(c, 4096)}
	defer l.recordEnd(r.gateways.env)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	for l.awaitReadable(r.gateways.env.done) {
		received, ok := r.receive(l, request)
		if !ok || !r.respond(l, received) {
			return
		}
	}
}

// receive reads a request.
func (r *receiver) receive(l *connection, request *fasthttp.Request) (receivedRequest, bool) {
	env := r.gateways.env
	received := receivedRequest{first: env.Clock.Now()}
	if r.waitOutFault(scenario.Silent) {
		reset(l.Conn)
		return received, false
	}
	if _, drawn := r.drawFault(scenario.ResetBefore, -1); drawn {
		env.Record.Call(audit.Call{Receiver: r.id, Dest: r.destination.Number, First: received.first, Last: received.first, Unread: true,
			Fault: scenario.ResetBefore})
		reset(l.Conn)
		return received, false
	}
	if request.ReadLimitBody(l.reader, 1<<20) != nil {
		return received, false
	}
	received.id, received.mark = string(request.Header.Peek("Request-Id")), string(request.Header.Peek("Idempotency-Key"))
	received.path, received.body, received.last = string(request.URI().Path()), request.Body(), env.Clock.Now()
	return received, true
}

// hold waits while a fault acts, and tells whether it did.
func (r *receiver) waitOutFault(kind string) bool {
	waited := false
	for {
		f, on := r.activeFault(kind)
		if !on {
			return waited
		}
		waited = true
		if !r.gateways.env.waitUntil(max(f.Next(r.gateways.env.Clock.Now()), r.gateways.env.Clock.Now()+1)) {
			return true
		}
	}
}

func (r *receiver) activeFault(kind string) (scenario.Fault, bool) {
	return r.destination.Active(kind, r.gateways.env.Clock.Now())
}

// strike draws whether a fault strikes a call of a grade, -1 for any.
func (r *receiver) drawFault(kind string, grade int) (scenario.Fault, bool) {
	r.destination.mu.Lock()
	defer r.destination.mu.Unlock()
	return r.destination.Strike(kind, grade, r.gateways.env.Clock.Now())
}

// fate is what happens to a call: what the destination decides, or a test's script.
type plannedResponse struct {
	Reply
	due           rules.Millis // when the answer is due
	requestedWait rules.Millis
	slow          bool // a byte a second
	malformed     bool
	fault         string
	lostUnseen    bool // lost before it was looked at
}

// decide says what happens to a call.
func (r *receiver) decide(now rules.Millis, sender, grade int) plannedResponse {
	d := r.destination
	d.mu.Lock()
	defer d.mu.Unlock()
	verdict := d.Decide(now, sender, grade)
	if verdict.Fell {
		r.gateways.env.Record.Overloaded(audit.Fall{Dest: d.Number, At: now, By: d.Core.Pushed(), Seen: d.SeenBy()})
	}
	return plannedResponse{Reply: Reply{Status: verdict.Status, Fields: verdict.Fields, Raw: verdict.Raw, Reset: verdict.Reset, Never: verdict.Never, Ran: verdict.Ran},
		due: verdict.At, requestedWait: verdict.Wait, slow: verdict.Slow, malformed: verdict.Spoilt, fault: verdict.Fault, lostUnseen: verdict.Unseen}
}

// answer answers one call, and tells whether the connection goes on.
func (r *receiver) respond(c *connection, received receivedRequest) bool {
	env, id, mark := r.gateways.env, received.id, received.mark
	submission, known := env.Record.SubmissionOf(id)
	observed := audit.Call{ID: id, Receiver: r.id, Mark: mark, Dest: r.destination.Number, Apart: r.hasSeparateRoutes(), First: received.first, Last: received.last,
		Before: c.callCount}
	c.callCount++
	var planned plannedResponse
	switch {
	case r.gateways.Script != nil:
		planned.Reply = r.gateways.Script(&Asked{ID: id, Mark: mark, Receiver: r.id, Remote: c.RemoteAddr().String(), Path: received.path,
			Body: received.body, Gone: c.watchPeer()})
		planned.due = env.Clock.Now() + rules.Millis(planned.After)/1e6
	case !known && !env.Strangers:
		planned = plannedResponse{Reply: Reply{Status: 400}, due: received.last}
	default:
		if !known {
			submission.Sender, submission.Grade = -1, -1
		}
		planned = r.decide(received.last, submission.Sender, submission.Grade)
	}
	observed.Ran, observed.Fault, observed.Unread = planned.Ran, planned.fault, planned.lostUnseen
	call := env.Record.Call(observed)
	recordClosed := func() {
		at := env.Clock.Now()
		env.Record.Update(call, func(c *audit.Call) { c.Closed = at })
	}
	if wait := max(env.Clock.Until(planned.due), planned.After); wait > 0 || planned.Never {
		due := time.NewTimer(wait)
		defer due.Stop()
		if planned.Never {
			due.Stop()
		}
		select {
		case <-due.C:
		case <-c.watchPeer():
			recordClosed()
			return false
		case <-env.done:
			return false
		}
	}
	if r.waitOutFault(scenario.Silent) {
		recordClosed()
		reset(c.Conn)
		return false
	}
	r.waitOutPause()
	if r.gateways.Script == nil && c.peerEnded() {
		recordClosed() // the sender has given the call up meanwhile: nothing is answered to it any more
		return false
	}
	if planned.Raw == "" && !planned.Reset {
		planned.Raw = formatResponse(planned.Reply)
	}
	if planned.Raw != "" {
		if !r.writeResponse(c, call, planned) {
			recordClosed()
			return false
		}
	}
	switch {
	case planned.Reset:
		recordClosed()
		reset(c.Conn)
		return false
	case planned.malformed:
		// The connection stays open and is of no further use.
		select {
		case <-c.watchPeer():
		case <-env.done:
		}
		return false
	}
	return !planned.Close
}

// holdPause waits while nothing moves.
func (r *receiver) waitOutPause() { r.waitOutFault(scenario.Pauses) }

func (r *receiver) hasSeparateRoutes() bool {
	for i, name := range r.gateways.env.World.Names.Kinds {
		if name == r.destination.Group.Kind {
			return r.gateways.env.World.Settings.Kinds[i].Apart
		}
	}
	return false
}

func formatResponse(reply Reply) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", reply.Status, http.StatusText(reply.Status))
	for _, field := range reply.Fields {
		text += field + "\r\n"
	}
	if reply.Close {
		text += "Connection: close\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(reply.Body), reply.Body)
}

// write writes an answer and notes when its first line was out.
func (r *receiver) writeResponse(c *connection, call *audit.Call, planned plannedResponse) bool {
	env := r.gateways.env
	recordWritten := func() {
		at := env.Clock.Now()
		env.Record.Update(call, func(c *audit.Call) {
			c.Replied, c.Status, c.Wait, c.Spoilt = at, planned.Status, planned.requestedWait, planned.malformed
			c.Delivered, c.Unfinished = planned.Status == 200, planned.slow
		})
	}
	if !planned.slow {
		recordWritten()
		c.recordResponse(call, planned.Status)
		_, err := io.WriteString(c, planned.Raw)
		if err != nil {
			env.Record.Update(call, func(c *audit.Call) { c.Delivered, c.Status = false, 0 })
		}
		return err == nil
	}
	lineEnd := 0
	for lineEnd < len(planned.Raw) && planned.Raw[lineEnd] != '\n' {
		lineEnd++
	}
	for i := range len(planned.Raw) {
		if i == lineEnd {
			recordWritten()
		}
		if _, err := c.Write([]byte{planned.Raw[i]}); err != nil {
			return false
		}
		select {
		case <-time.After(time.Second):
		case <-c.watchPeer():
			return false
		case <-env.done:
			return false
		}
	}
	env.Record.Update(call, func(c *audit.Call) { c.Unfinished = false })
	return true
}
