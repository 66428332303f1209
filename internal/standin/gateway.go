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

// ReceivedCall is a call that a receiver has read, as passed to a test's script.
type ReceivedCall struct {
	ID, Mark, Receiver, RemoteAddress string
	Path                              string
	Body                              []byte
	PeerClosed                        <-chan struct{} // closed when the sender ends the connection
}

// Reply is the response to a call, as a test's script decides it.
type Reply struct {
	Status      int
	HeaderLines []string // without their line ends
	Body        string
	Raw         string        // bytes to write in place of a response made of the fields above
	Delay       time.Duration // delay before the response
	Close       bool          // close the connection after the response
	Reset       bool          // reset the connection, after writing Raw
	NoResponse  bool          // send no response
	Ran         bool          // the call took effect
}

// Gateways serves all destinations of a run.
type Gateways struct {
	env *Environment
	// Script, if set, decides the responses in place of the scenario's destinations. Tests use it.
	Script func(*ReceivedCall) Reply

	mu           sync.Mutex
	destinations map[int]*destination
	receivers    map[string]*receiver
}

// destination is one destination with all its receivers.
type destination struct {
	*gateway.Site // guarded by mu
	mu            sync.Mutex
	open          int // number of open connections
}

// receiver is one receiver of a destination, on its own address.
type receiver struct {
	id, address  string
	gateways     *Gateways
	destination  *destination
	mu           sync.Mutex
	listener     *net.TCPListener
	conns        map[net.Conn]bool
	queueFillers []net.Conn    // connections that fill the kernel's accept queue
	unblocked    chan struct{} // closed when a blocked receiver is unblocked; nil while it is not blocked
	resetsUntil  time.Time     // until then, connections are reset: the kernel established them during a block
	closed       bool
}

// NewGateways opens the receivers of a scenario instance.
func NewGateways(env *Environment) (*Gateways, error) {
	gateways := &Gateways{env: env, destinations: map[int]*destination{}, receivers: map[string]*receiver{}}
	for _, d := range env.Instance.Destinations {
		opened := &destination{Site: gateway.NewSite(env.Instance, d)}
		gateways.destinations[d.Number] = opened
		for _, id := range d.Receivers {
			if err := gateways.Open(id, d.Number); err != nil {
				return nil, err
			}
		}
		go gateways.watchOutages(opened)
	}
	return gateways, nil
}

// watchOutages updates a destination whenever one of its outages begins or ends.
func (g *Gateways) watchOutages(d *destination) {
	for at := rules.Millis(0); ; {
		next := d.NextOutage(at)
		if next < 0 || !g.env.waitUntil(next) {
			return
		}
		at = next
		d.mu.Lock()
		d.UpdateOutage(at)
		d.mu.Unlock()
	}
}

// Open opens a receiver of a destination under a new ID, on an unused address.
func (g *Gateways) Open(id string, number int) error {
	l, err := g.env.Listen()
	if err != nil {
		return err
	}
	return g.open(id, number, l)
}

// OpenAt opens a receiver of a destination at a given address.
func (g *Gateways) OpenAt(id string, number int, address string) error {
	l, err := listenOn(address)
	if err != nil {
		return fmt.Errorf("opening receiver %s: %w", id, err)
	}
	return g.open(id, number, l)
}

// open starts a receiver on a listener.
func (g *Gateways) open(id string, number int, l net.Listener) error {
	r := &receiver{id: id, address: l.Addr().String(), gateways: g, destination: g.destinations[number],
		listener: l.(*net.TCPListener), conns: map[net.Conn]bool{}}
	g.mu.Lock()
	g.receivers[id] = r
	g.mu.Unlock()
	go r.accept(r.listener)
	go r.followFaults()
	go func() { <-g.env.done; r.close() }()
	return nil
}

// Remove removes a receiver and resets its connections.
func (g *Gateways) Remove(id string) {
	g.mu.Lock()
	r := g.receivers[id]
	delete(g.receivers, id)
	g.mu.Unlock()
	if r != nil {
		r.close()
	}
}

// Block prevents new connections to a receiver from being established until Unblock is called.
func (g *Gateways) Block(id string) error { return g.withReceiver(id, (*receiver).block) }

// Unblock lets new connections to a receiver be established again.
func (g *Gateways) Unblock(id string) error { return g.withReceiver(id, (*receiver).unblock) }

// withReceiver calls a function with the receiver of an ID.
func (g *Gateways) withReceiver(id string, do func(*receiver)) error {
	g.mu.Lock()
	r := g.receivers[id]
	g.mu.Unlock()
	if r == nil {
		return fmt.Errorf("receiver %q does not exist", id)
	}
	do(r)
	return nil
}

// Address returns the address of a receiver, or "" if it does not exist.
func (g *Gateways) Address(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.receivers[id]; r != nil {
		return r.address
	}
	return ""
}

// close closes the receiver for good.
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

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// listen listens on the receiver's address again. If that fails, it retries for 2 s.
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

// block prevents new connections from being established: it stops accepting and fills the kernel's accept queue.
func (r *receiver) block() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil || r.unblocked != nil {
		return
	}
	r.unblocked = make(chan struct{})
	r.listener.SetDeadline(time.Unix(1, 0))
	setBacklog(r.listener, 0)
	for range 2 {
		if c, err := net.DialTimeout("tcp", r.address, 50*time.Millisecond); err == nil {
			r.queueFillers = append(r.queueFillers, c)
		}
	}
}

// unblock closes the connections that fill the accept queue, and accepts connections again.
func (r *receiver) unblock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unblocked == nil {
		return
	}
	close(r.unblocked)
	r.unblocked = nil
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

// followFaults opens, closes, blocks and unblocks the receiver at the times of its destination's faults.
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

// accept accepts connections until the listener is replaced or closed. It resets those over the destination's limit and
// those that arrived while the receiver was closed or blocked.
func (r *receiver) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			r.mu.Lock()
			unblocked := r.unblocked
			current := r.listener == listener
			r.mu.Unlock()
			switch {
			case !current:
				return
			case unblocked != nil:
				select {
				case <-unblocked:
				case <-r.gateways.env.done:
					return
				}
			case !r.gateways.env.sleep(time.Millisecond):
				return
			}
			continue
		}
		destination := r.destination
		destination.mu.Lock()
		full := destination.Group.Profile.Connections > 0 && destination.open >= destination.Group.Profile.Connections
		if !full {
			destination.open++
		}
		destination.mu.Unlock()
		r.mu.Lock()
		stale := r.closed || r.listener != listener || time.Now().Before(r.resetsUntil)
		if !stale {
			r.conns[conn] = true
		}
		r.mu.Unlock()
		if full || stale {
			reset(conn)
			if !full {
				destination.mu.Lock()
				destination.open--
				destination.mu.Unlock()
			}
			continue
		}
		go r.serve(conn)
	}
}

// receivedRequest is a request with the times of its first and last byte.
type receivedRequest struct {
	first, last    rules.Millis
	id, mark, path string
	body           []byte
}

// connection is a connection from a sender, served by one goroutine.
type connection struct {
	net.Conn
	reader        *bufio.Reader
	peerClosed    chan struct{} // closed when the sender has ended the connection; nil if not watched
	readable      chan struct{} // closed when a byte can be read or the connection has ended
	closedLocally atomic.Bool   // the gateway closed it

	callCount int // calls received so far
	// retractable holds the calls whose responses the sender may retract if the connection ends now.
	retractable []answeredCall
}

// answeredCall is a call with the status of its response.
type answeredCall struct {
	call   *audit.Call
	status int
}

// maxRetractable limits for how many calls of a connection its end is recorded.
const maxRetractable = 64

// recordResponse adds a call with its response to the retractable ones. If the last two before it have the same status,
// it drops the earlier of them: the sender has received the response to the later one, because it has sent a further
// call. Whether it receives the response to the new call is not known yet.
func (c *connection) recordResponse(call *audit.Call, status int) {
	last := len(c.retractable) - 1
	switch {
	case last > 0 && c.retractable[last-1].status == c.retractable[last].status:
		c.retractable = slices.Delete(c.retractable, last-1, last)
	case len(c.retractable) == maxRetractable:
		c.retractable = slices.Delete(c.retractable, 0, 1)
	}
	c.retractable = append(c.retractable, answeredCall{call, status})
}

// recordEnd records the end of the connection for the retractable calls.
func (c *connection) recordEnd(env *Environment) {
	at := env.Clock.Now()
	for i, a := range c.retractable {
		last := i == len(c.retractable)-1
		env.Record.Update(a.call, func(recorded *audit.Call) {
			recorded.ConnectionEnded = at
			// The sender may never have read a response that was followed by a reset.
			if last && c.closedLocally.Load() && recorded.Closed == 0 {
				recorded.Closed = at
			}
		})
	}
}

// watchPeer starts a goroutine, if none is running, that waits for the next byte while the connection is served. The
// channel that it returns is closed when the sender ends the connection.
func (c *connection) watchPeer() <-chan struct{} {
	if c.peerClosed == nil {
		c.peerClosed, c.readable = make(chan struct{}), make(chan struct{})
		go func(peerClosed, readable chan struct{}) {
			defer close(readable)
			if !c.peekByte() {
				close(peerClosed)
			}
		}(c.peerClosed, c.readable)
	}
	return c.peerClosed
}

// peerEnded reports whether the sender has closed the connection or its sending side.
func (c *connection) peerEnded() bool {
	select {
	case <-c.watchPeer():
		return true
	default:
		return false
	}
}

// awaitReadable waits for the next byte and reports whether there is one.
func (c *connection) awaitReadable(done <-chan struct{}) bool {
	if c.readable != nil {
		select {
		case <-c.readable:
		case <-done:
			return false
		}
		c.peerClosed, c.readable = nil, nil
	}
	return c.peekByte()
}

// peekByte waits for the next byte and reports whether there is one. If the gateway closed the connection, it records
// that.
func (c *connection) peekByte() bool {
	_, err := c.reader.Peek(1)
	if errors.Is(err, net.ErrClosed) {
		c.closedLocally.Store(true)
	}
	return err == nil
}

// serve responds to the calls of one connection.
func (r *receiver) serve(netConn net.Conn) {
	defer func() {
		netConn.Close()
		r.mu.Lock()
		delete(r.conns, netConn)
		r.mu.Unlock()
		r.destination.mu.Lock()
		r.destination.open--
		r.destination.mu.Unlock()
	}()
	conn := &connection{Conn: netConn, reader: bufio.NewReaderSize(netConn, 4096)}
	defer conn.recordEnd(r.gateways.env)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	for conn.awaitReadable(r.gateways.env.done) {
		received, ok := r.receive(conn, request)
		if !ok || !r.respond(conn, received) {
			return
		}
	}
}

// receive reads a request. It returns false if the connection cannot be used any further.
func (r *receiver) receive(conn *connection, request *fasthttp.Request) (receivedRequest, bool) {
	env := r.gateways.env
	received := receivedRequest{first: env.Clock.Now()}
	if r.waitOutFault(scenario.Silent) {
		reset(conn.Conn)
		return received, false
	}
	if _, drawn := r.drawFault(scenario.ResetBefore, -1); drawn {
		env.Record.Call(audit.Call{Receiver: r.id, Dest: r.destination.Number, First: received.first,
			Last: received.first, Unread: true, Fault: scenario.ResetBefore})
		reset(conn.Conn)
		return received, false
	}
	if request.ReadLimitBody(conn.reader, 1<<20) != nil {
		return received, false
	}
	received.id, received.mark = string(request.Header.Peek("Request-Id")),
		string(request.Header.Peek("Idempotency-Key"))
	received.path, received.body, received.last = string(request.URI().Path()), request.Body(), env.Clock.Now()
	return received, true
}

// waitOutFault waits until no fault of a kind is active, and reports whether one was.
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

// activeFault returns the fault of a kind that is active now, if there is one.
func (r *receiver) activeFault(kind string) (scenario.Fault, bool) {
	return r.destination.Active(kind, r.gateways.env.Clock.Now())
}

// drawFault decides at random whether a fault of a kind affects a call of a grade, where -1 stands for any grade.
func (r *receiver) drawFault(kind string, grade int) (scenario.Fault, bool) {
	r.destination.mu.Lock()
	defer r.destination.mu.Unlock()
	return r.destination.DrawFault(kind, grade, r.gateways.env.Clock.Now())
}

// plannedResponse is what happens to a call, as decided by the destination or by a test's script.
type plannedResponse struct {
	Reply
	due           rules.Millis // when to write the response
	requestedWait rules.Millis // the wait that the response asks for
	slow          bool         // write one byte a second
	malformed     bool         // the response cannot be read to its end
	fault         string       // kind of the injected fault that causes it; empty: none
	lostUnread    bool         // the call is lost before the destination reads it
}

// decide asks the destination what happens to a call, and records an overload that the call causes.
func (r *receiver) decide(now rules.Millis, sender, grade int) plannedResponse {
	d := r.destination
	d.mu.Lock()
	defer d.mu.Unlock()
	verdict := d.Decide(now, sender, grade)
	if verdict.CausedOverload {
		r.gateways.env.Record.Overloaded(audit.Overload{Dest: d.Number, At: now, By: d.Gateway.CallsBySender(),
			SawOutage: d.SendersThatSawOutage()})
	}
	return plannedResponse{
		Reply: Reply{Status: verdict.Status, HeaderLines: verdict.HeaderLines, Raw: verdict.Raw, Reset: verdict.Reset,
			NoResponse: verdict.NoResponse, Ran: verdict.TookEffect},
		due: verdict.At, requestedWait: verdict.Wait, slow: verdict.Dribbled, malformed: verdict.Malformed,
		fault: verdict.Fault, lostUnread: verdict.LostUnread}
}

// respond handles one call and reports whether the connection stays in use.
func (r *receiver) respond(conn *connection, received receivedRequest) bool {
	env, id, mark := r.gateways.env, received.id, received.mark
	submission, known := env.Record.SubmissionOf(id)
	observed := audit.Call{ID: id, Receiver: r.id, Mark: mark, Dest: r.destination.Number,
		SeparateRoutes: r.hasSeparateRoutes(), First: received.first, Last: received.last, EarlierCalls: conn.callCount}
	conn.callCount++
	var planned plannedResponse
	switch {
	case r.gateways.Script != nil:
		planned.Reply = r.gateways.Script(&ReceivedCall{ID: id, Mark: mark, Receiver: r.id,
			RemoteAddress: conn.RemoteAddr().String(),
			Path:          received.path, Body: received.body, PeerClosed: conn.watchPeer()})
		planned.due = env.Clock.Now() + rules.Millis(planned.Delay)/1e6
	case !known && !env.ServeUnknown:
		planned = plannedResponse{Reply: Reply{Status: 400}, due: received.last}
	default:
		if !known {
			submission.Sender, submission.Grade = -1, -1
		}
		planned = r.decide(received.last, submission.Sender, submission.Grade)
	}
	observed.Ran, observed.Fault, observed.Unread = planned.Ran, planned.fault, planned.lostUnread
	call := env.Record.Call(observed)
	recordClosed := func() {
		at := env.Clock.Now()
		env.Record.Update(call, func(recorded *audit.Call) { recorded.Closed = at })
	}
	if wait := max(env.Clock.Until(planned.due), planned.Delay); wait > 0 || planned.NoResponse {
		due := time.NewTimer(wait)
		defer due.Stop()
		if planned.NoResponse {
			due.Stop()
		}
		select {
		case <-due.C:
		case <-conn.watchPeer():
			recordClosed()
			return false
		case <-env.done:
			return false
		}
	}
	if r.waitOutFault(scenario.Silent) {
		recordClosed()
		reset(conn.Conn)
		return false
	}
	r.waitOutPause()
	if r.gateways.Script == nil && conn.peerEnded() {
		recordClosed() // the sender has abandoned the call in the meantime, so there is no response
		return false
	}
	if planned.Raw == "" && !planned.Reset {
		planned.Raw = formatResponse(planned.Reply)
	}
	if planned.Raw != "" {
		if !r.writeResponse(conn, call, planned) {
			recordClosed()
			return false
		}
	}
	switch {
	case planned.Reset:
		recordClosed()
		reset(conn.Conn)
		return false
	case planned.malformed:
		// After a malformed response the connection stays open but serves no further call.
		select {
		case <-conn.watchPeer():
		case <-env.done:
		}
		return false
	}
	return !planned.Close
}

// waitOutPause waits until no pause fault is active.
func (r *receiver) waitOutPause() { r.waitOutFault(scenario.Pauses) }

// hasSeparateRoutes reports whether senders treat the destination's receivers as separate routes.
func (r *receiver) hasSeparateRoutes() bool {
	for i, name := range r.gateways.env.Instance.Names.Kinds {
		if name == r.destination.Group.Kind {
			return r.gateways.env.Instance.Settings.Kinds[i].SeparateRoutes
		}
	}
	return false
}

// formatResponse returns the bytes of a response.
func formatResponse(reply Reply) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", reply.Status, http.StatusText(reply.Status))
	for _, headerLine := range reply.HeaderLines {
		text += headerLine + "\r\n"
	}
	if reply.Close {
		text += "Connection: close\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(reply.Body), reply.Body)
}

// writeResponse writes a response and records when its status line was written. It returns false if writing failed or
// the run ended.
func (r *receiver) writeResponse(conn *connection, call *audit.Call, planned plannedResponse) bool {
	env := r.gateways.env
	recordWritten := func() {
		at := env.Clock.Now()
		env.Record.Update(call, func(recorded *audit.Call) {
			recorded.Replied, recorded.Status, recorded.RequestedWait, recorded.Malformed = at, planned.Status,
				planned.requestedWait, planned.malformed
			recorded.Delivered, recorded.Unfinished = planned.Status == 200, planned.slow
		})
	}
	if !planned.slow {
		recordWritten()
		conn.recordResponse(call, planned.Status)
		_, err := io.WriteString(conn, planned.Raw)
		if err != nil {
			env.Record.Update(call, func(recorded *audit.Call) { recorded.Delivered, recorded.Status = false, 0 })
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
		if _, err := conn.Write([]byte{planned.Raw[i]}); err != nil {
			return false
		}
		select {
		case <-time.After(time.Second):
		case <-conn.watchPeer():
			return false
		case <-env.done:
			return false
		}
	}
	env.Record.Update(call, func(recorded *audit.Call) { recorded.Unfinished = false })
	return true
}
