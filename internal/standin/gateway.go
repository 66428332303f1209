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
	stage *Stage
	// Script answers calls in place of the scenario's shapes, for tests.
	Script func(*Asked) Reply

	mu        sync.Mutex
	dests     map[int]*dest
	receivers map[string]*receiver
}

// dest is one destination.
type dest struct {
	*gateway.Site // under mu
	mu            sync.Mutex
	open          int // connections
}

// receiver is one of its receivers.
type receiver struct {
	id, address string
	all         *Gateways
	dest        *dest
	mu          sync.Mutex
	listener    *net.TCPListener
	conns       map[net.Conn]bool
	fillers     []net.Conn // connections that keep others from coming up
	paused      chan struct{}
	resetsUntil time.Time // what the kernel had let up while nobody accepted is reset
	closed      bool
}

// NewGateways opens the receivers of a world.
func NewGateways(s *Stage) (*Gateways, error) {
	g := &Gateways{stage: s, dests: map[int]*dest{}, receivers: map[string]*receiver{}}
	for _, d := range s.World.Destinations {
		own := &dest{Site: gateway.NewSite(s.World, d)}
		g.dests[d.Number] = own
		for _, id := range d.Receivers {
			if err := g.Open(id, d.Number); err != nil {
				return nil, err
			}
		}
		go g.watchOutages(own)
	}
	return g, nil
}

// watchOutages tells a destination when its outages begin and end.
func (g *Gateways) watchOutages(d *dest) {
	for at := rules.Millis(0); ; {
		next := d.NextOutage(at)
		if next < 0 || !g.stage.at(next) {
			return
		}
		at = next
		d.mu.Lock()
		d.StepOutage(at)
		d.mu.Unlock()
	}
}

// Open begins a receiver of a destination under a new id.
func (g *Gateways) Open(id string, destination int) error {
	l, err := g.stage.Listen()
	if err != nil {
		return err
	}
	return g.open(id, destination, l)
}

// OpenAt begins a receiver at an address.
func (g *Gateways) OpenAt(id string, destination int, address string) error {
	l, err := listenOn(address)
	if err != nil {
		return fmt.Errorf("opening receiver %s: %w", id, err)
	}
	return g.open(id, destination, l)
}

func (g *Gateways) open(id string, destination int, l net.Listener) error {
	r := &receiver{id: id, address: l.Addr().String(), all: g, dest: g.dests[destination], listener: l.(*net.TCPListener),
		conns: map[net.Conn]bool{}}
	g.mu.Lock()
	g.receivers[id] = r
	g.mu.Unlock()
	go r.accept(r.listener)
	go r.followScript()
	go func() { <-g.stage.done; r.shut() }()
	return nil
}

// Gone ends a receiver for good.
func (g *Gateways) Gone(id string) {
	g.mu.Lock()
	r := g.receivers[id]
	delete(g.receivers, id)
	g.mu.Unlock()
	if r != nil {
		r.shut()
	}
}

// Block keeps new connections to a receiver from coming up until Unblock.
func (g *Gateways) Block(id string) error { return g.with(id, (*receiver).block) }

// Unblock lets new connections to a receiver come up again.
func (g *Gateways) Unblock(id string) error { return g.with(id, (*receiver).unblock) }

func (g *Gateways) with(id string, do func(*receiver)) error {
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

func (r *receiver) shut() {
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
		if !r.all.stage.sleep(20 * time.Millisecond) {
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
	backlog(r.listener, 0)
	for range 2 {
		if c, err := net.DialTimeout("tcp", r.address, 50*time.Millisecond); err == nil {
			r.fillers = append(r.fillers, c)
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
	for _, c := range r.fillers {
		c.Close()
	}
	r.fillers = nil
	if r.listener != nil {
		r.listener.SetDeadline(time.Time{})
		backlog(r.listener, 4096)
	}
}

// followScript opens, closes and blocks the receiver as the faults say.
func (r *receiver) followScript() {
	faults := r.dest.Faults
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
		if r.all.stage.Clock.Now() >= 0 {
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
		if next < 0 || !r.all.stage.at(next) {
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
			mine := r.listener == l
			r.mu.Unlock()
			switch {
			case !mine:
				return
			case paused != nil:
				select {
				case <-paused:
				case <-r.all.stage.done:
					return
				}
			case !r.all.stage.sleep(time.Millisecond):
				return
			}
			continue
		}
		d := r.dest
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
type read struct {
	first, last    rules.Millis
	id, mark, path string
	body           []byte
}

// line is a connection from a sender, which one goroutine serves.
type line struct {
	net.Conn
	in   *bufio.Reader
	gone chan struct{} // closed when the sender has ended it; nil while nobody looks
	next chan struct{} // closed when there is something to read, or the end
	ours atomic.Bool   // it ended from the gateway's side

	received int        // calls
	doubtful []answered // that a sender may have taken for other calls' answers if the connection ends now
}

// answered is a call with the status of its answer.
type answered struct {
	call   *audit.Call
	status int
}

// doubtfulKept is how many calls of a connection are told when it ends.
const doubtfulKept = 64

// noteAnswered keeps a call that was answered. Of the calls before it goes which a like answer has followed that the sender must have heard,
// which it need not have heard of the last one.
func (l *line) noteAnswered(call *audit.Call, status int) {
	last := len(l.doubtful) - 1
	switch {
	case last > 0 && l.doubtful[last-1].status == l.doubtful[last].status:
		l.doubtful = slices.Delete(l.doubtful, last-1, last)
	case len(l.doubtful) == doubtfulKept:
		l.doubtful = slices.Delete(l.doubtful, 0, 1)
	}
	l.doubtful = append(l.doubtful, answered{call, status})
}

// noteEnd notes the end of a connection with the calls that were answered on it.
func (l *line) noteEnd(stage *Stage) {
	at := stage.Clock.Now()
	for i, a := range l.doubtful {
		last := i == len(l.doubtful)-1
		stage.Record.Change(a.call, func(c *audit.Call) {
			c.Ended = at
			// An answer that a reset follows may never have been read.
			if last && l.ours.Load() && c.Closed == 0 {
				c.Closed = at
			}
		})
	}
}

// watch looks, beside whoever serves the connection, whether the sender ends it.
func (l *line) watch() <-chan struct{} {
	if l.gone == nil {
		l.gone, l.next = make(chan struct{}), make(chan struct{})
		go func(gone, next chan struct{}) {
			defer close(next)
			if !l.peek() {
				close(gone)
			}
		}(l.gone, l.next)
	}
	return l.gone
}

// ended tells whether the sender has ended the connection, or its sending side.
func (l *line) ended() bool {
	select {
	case <-l.watch():
		return true
	default:
		return false
	}
}

// await waits until there is something to read.
func (l *line) await(done <-chan struct{}) bool {
	if l.next != nil {
		select {
		case <-l.next:
		case <-done:
			return false
		}
		l.gone, l.next = nil, nil
	}
	return l.peek()
}

// peek waits for the next byte, and notes whose end it was if none comes.
func (l *line) peek() bool {
	_, err := l.in.Peek(1)
	if errors.Is(err, net.ErrClosed) {
		l.ours.Store(true)
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
		r.dest.mu.Lock()
		r.dest.open--
		r.dest.mu.Unlock()
	}()
	l := &line{Conn: c, in: bufio.NewReaderSize(c, 4096)}
	defer l.noteEnd(r.all.stage)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	for l.await(r.all.stage.done) {
		q, ok := r.receive(l, request)
		if !ok || !r.answer(l, q) {
			return
		}
	}
}

// receive reads a request.
func (r *receiver) receive(l *line, request *fasthttp.Request) (read, bool) {
	stage := r.all.stage
	q := read{first: stage.Clock.Now()}
	if r.hold(scenario.Silent) {
		reset(l.Conn)
		return q, false
	}
	if _, struck := r.strike(scenario.ResetBefore, -1); struck {
		stage.Record.Call(audit.Call{Receiver: r.id, Dest: r.dest.Number, First: q.first, Last: q.first, Unread: true,
			Fault: scenario.ResetBefore})
		reset(l.Conn)
		return q, false
	}
	if request.ReadLimitBody(l.in, 1<<20) != nil {
		return q, false
	}
	q.id, q.mark = string(request.Header.Peek("Request-Id")), string(request.Header.Peek("Idempotency-Key"))
	q.path, q.body, q.last = string(request.URI().Path()), request.Body(), stage.Clock.Now()
	return q, true
}

// hold waits while a fault acts, and tells whether it did.
func (r *receiver) hold(kind string) bool {
	held := false
	for {
		f, on := r.active(kind)
		if !on {
			return held
		}
		held = true
		if !r.all.stage.at(max(f.Next(r.all.stage.Clock.Now()), r.all.stage.Clock.Now()+1)) {
			return true
		}
	}
}

func (r *receiver) active(kind string) (scenario.Fault, bool) {
	return r.dest.Active(kind, r.all.stage.Clock.Now())
}

// strike draws whether a fault strikes a call of a grade, -1 for any.
func (r *receiver) strike(kind string, grade int) (scenario.Fault, bool) {
	r.dest.mu.Lock()
	defer r.dest.mu.Unlock()
	return r.dest.Strike(kind, grade, r.all.stage.Clock.Now())
}

// fate is what happens to a call: what the destination decides, or a test's script.
type fate struct {
	Reply
	at     rules.Millis // when the answer is due
	wait   rules.Millis
	slow   bool // a byte a second
	spoilt bool
	fault  string
	unseen bool // lost before it was looked at
}

// decide says what happens to a call.
func (r *receiver) decide(now rules.Millis, sender, grade int) fate {
	d := r.dest
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.Decide(now, sender, grade)
	if f.Fell {
		r.all.stage.Record.Fell(audit.Fall{Dest: d.Number, At: now, By: d.Core.Pushed(), Seen: d.SeenBy()})
	}
	return fate{Reply: Reply{Status: f.Status, Fields: f.Fields, Raw: f.Raw, Reset: f.Reset, Never: f.Never, Ran: f.Ran},
		at: f.At, wait: f.Wait, slow: f.Slow, spoilt: f.Spoilt, fault: f.Fault, unseen: f.Unseen}
}

// answer answers one call, and tells whether the connection goes on.
func (r *receiver) answer(c *line, q read) bool {
	stage, id, mark := r.all.stage, q.id, q.mark
	hand, known := stage.Record.HandOf(id)
	noted := audit.Call{ID: id, Receiver: r.id, Mark: mark, Dest: r.dest.Number, Apart: r.apart(), First: q.first, Last: q.last,
		Before: c.received}
	c.received++
	var f fate
	switch {
	case r.all.Script != nil:
		f.Reply = r.all.Script(&Asked{ID: id, Mark: mark, Receiver: r.id, Remote: c.RemoteAddr().String(), Path: q.path,
			Body: q.body, Gone: c.watch()})
		f.at = stage.Clock.Now() + rules.Millis(f.After)/1e6
	case !known && !stage.Strangers:
		f = fate{Reply: Reply{Status: 400}, at: q.last}
	default:
		if !known {
			hand.Sender, hand.Grade = -1, -1
		}
		f = r.decide(q.last, hand.Sender, hand.Grade)
	}
	noted.Ran, noted.Fault, noted.Unread = f.Ran, f.fault, f.unseen
	call := stage.Record.Call(noted)
	closed := func() {
		at := stage.Clock.Now()
		stage.Record.Change(call, func(c *audit.Call) { c.Closed = at })
	}
	if wait := max(stage.Clock.Until(f.at), f.After); wait > 0 || f.Never {
		due := time.NewTimer(wait)
		defer due.Stop()
		if f.Never {
			due.Stop()
		}
		select {
		case <-due.C:
		case <-c.watch():
			closed()
			return false
		case <-stage.done:
			return false
		}
	}
	if r.hold(scenario.Silent) {
		closed()
		reset(c.Conn)
		return false
	}
	r.holdPause()
	if r.all.Script == nil && c.ended() {
		closed() // the sender has given the call up meanwhile: nothing is answered to it any more
		return false
	}
	if f.Raw == "" && !f.Reset {
		f.Raw = compose(f.Reply)
	}
	if f.Raw != "" {
		if !r.write(c, call, f) {
			closed()
			return false
		}
	}
	switch {
	case f.Reset:
		closed()
		reset(c.Conn)
		return false
	case f.spoilt:
		// The connection stays open and is of no further use.
		select {
		case <-c.watch():
		case <-stage.done:
		}
		return false
	}
	return !f.Close
}

// holdPause waits while nothing moves.
func (r *receiver) holdPause() { r.hold(scenario.Pauses) }

func (r *receiver) apart() bool {
	for i, name := range r.all.stage.World.Names.Kinds {
		if name == r.dest.Group.Kind {
			return r.all.stage.World.Settings.Kinds[i].Apart
		}
	}
	return false
}

func compose(r Reply) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", r.Status, http.StatusText(r.Status))
	for _, field := range r.Fields {
		text += field + "\r\n"
	}
	if r.Close {
		text += "Connection: close\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
}

// write writes an answer and notes when its first line was out.
func (r *receiver) write(c *line, call *audit.Call, f fate) bool {
	stage := r.all.stage
	note := func() {
		at := stage.Clock.Now()
		stage.Record.Change(call, func(c *audit.Call) {
			c.Replied, c.Status, c.Wait, c.Spoilt = at, f.Status, f.wait, f.spoilt
			c.Delivered, c.Unfinished = f.Status == 200, f.slow
		})
	}
	if !f.slow {
		note()
		c.noteAnswered(call, f.Status)
		_, err := io.WriteString(c, f.Raw)
		if err != nil {
			stage.Record.Change(call, func(c *audit.Call) { c.Delivered, c.Status = false, 0 })
		}
		return err == nil
	}
	line := 0
	for line < len(f.Raw) && f.Raw[line] != '\n' {
		line++
	}
	for i := range len(f.Raw) {
		if i == line {
			note()
		}
		if _, err := c.Write([]byte{f.Raw[i]}); err != nil {
			return false
		}
		select {
		case <-time.After(time.Second):
		case <-c.watch():
			return false
		case <-stage.done:
			return false
		}
	}
	stage.Record.Change(call, func(c *audit.Call) { c.Unfinished = false })
	return true
}
