// Package directory follows the list of receivers and hands in the notices of ends.
package directory

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/internal/sockets"
	"chuteweir.example/chuteweir/rules"
)

// List is the platform's list of receivers, whole or what changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one receiver.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
}

var phases = map[string]rules.Standing{"ready": rules.Ready, "draining": rules.Draining, "gone": rules.Gone}

// retiredMost is how many receivers that are gone are still known by their ids.
const retiredMost = 1024

// identity is what stays the same of a receiver: its number for the decisions, and what that stands for.
type identity struct {
	number      rules.ReceiverID
	destination rules.DestinationID
	kind        rules.KindID
	zone        rules.ZoneID
}

// Receivers knows every receiver that is listed, by the number that the decisions use. A number is never used for another
// receiver; one that is gone and comes back has its old one, so that what it told before still holds.
type Receivers struct {
	names        settings.Names
	listed       map[string]identity
	retired      map[string]identity
	retiredOrder []string                     // oldest first; an id that came back may stand in it still
	destinations map[rules.DestinationID]bool // listed at any time: what is for them is held while they have no receiver
	gone         []rules.ReceiverID
	last         rules.ReceiverID
	Addresses    map[rules.ReceiverID]string
	Zones        map[rules.ReceiverID]rules.ZoneID
}

// NewReceivers knows none yet.
func NewReceivers(names settings.Names) *Receivers {
	return &Receivers{names: names, listed: map[string]identity{}, retired: map[string]identity{}, destinations: map[rules.DestinationID]bool{},
		Addresses: map[rules.ReceiverID]string{}, Zones: map[rules.ReceiverID]rules.ZoneID{}}
}

// Knows tells whether a destination was ever listed.
func (r *Receivers) Knows(d rules.DestinationID) bool { return r.destinations[d] }

// Gone hands over the receivers that are listed no more.
func (r *Receivers) Gone() []rules.ReceiverID {
	gone := r.gone
	r.gone = nil
	return gone
}

// Told puts a list into the decisions' words. What is gone from it is forgotten here at once.
func (r *Receivers) Told(list List) (rules.ListTold, error) {
	told := rules.ListTold{Whole: list.Complete}
	here := map[string]bool{}
	for _, m := range list.Members {
		standing, known := phases[m.Phase]
		if !known || m.ID == "" || m.Cell < 0 || m.Cell > 1<<30 || standing != rules.Gone && m.HostPort == "" {
			return told, fmt.Errorf("entry %q: cell %d, phase %q, address %q", m.ID, m.Cell, m.Phase, m.HostPort)
		}
		here[m.ID] = standing != rules.Gone
	}
	for id := range r.listed {
		if is, named := here[id]; named && !is || !named && list.Complete {
			r.forget(id, &told)
		}
	}
	slices.SortFunc(told.Entries, func(a, b rules.Entry) int { return cmp.Compare(a.Receiver, b.Receiver) })
	for _, m := range list.Members {
		if !here[m.ID] || phases[m.Phase] == rules.Gone {
			continue
		}
		known := r.identify(m, &told)
		r.Addresses[known.number], r.Zones[known.number], r.destinations[known.destination] = m.HostPort, known.zone, true
		told.Entries = append(told.Entries, rules.Entry{Receiver: known.number, Destination: known.destination,
			Standing: phases[m.Phase], Kind: known.kind, Zone: known.zone, ListedRate: m.Size})
	}
	return told, nil
}

// identify is the identity of a listed receiver. One that now stands for something else is another receiver.
func (r *Receivers) identify(m Member, told *rules.ListTold) identity {
	is := identity{destination: rules.DestinationID(m.Cell), kind: rules.KindID(settings.Index(r.names.Kinds, m.Flavor)),
		zone: rules.ZoneID(settings.Index(r.names.Zones, m.Locality))}
	known, listed := r.listed[m.ID]
	found := listed
	if !listed {
		known, found = r.retired[m.ID]
	}
	if is.number = known.number; !found || is != known {
		if listed {
			r.forget(m.ID, told)
		}
		r.last++
		is.number = r.last
	}
	delete(r.retired, m.ID)
	r.listed[m.ID] = is
	return is
}

// forget takes a receiver that is gone off the list. Its identity is kept for a while.
func (r *Receivers) forget(id string, told *rules.ListTold) {
	known := r.listed[id]
	r.gone = append(r.gone, known.number)
	told.Entries = append(told.Entries, rules.Entry{Receiver: known.number, Standing: rules.Gone})
	delete(r.listed, id)
	delete(r.Addresses, known.number)
	delete(r.Zones, known.number)
	r.retired[id] = known
	if r.retiredOrder = append(r.retiredOrder, id); len(r.retiredOrder) > retiredMost {
		delete(r.retired, r.retiredOrder[0])
		r.retiredOrder = slices.Delete(r.retiredOrder, 0, 1)
	}
}

// End is one notice's end, as the platform wants it.
type End struct {
	Notice    rules.NoticeID `json:"-"`
	Message   string         `json:"message"`
	Outcome   string         `json:"outcome"`
	RetryInMS float64        `json:"retry_in_ms,omitempty"`
}

// The two ends that a notice of ends can tell.
const (
	GivenUp    = "given_up"
	HandedBack = "handed_back"
)

// Directory speaks with the platform at one address.
type Directory struct {
	net       *sockets.Net
	limits    limits.Limits
	pool      *buffers.Pool
	address   string
	receivers *Receivers

	watch, ends exchange
	revision    int64
	anew        bool // the whole list is asked for next
	watching    bool
	lists       []rules.ListTold
	failed      bool // a watch broke since the last time
	Broken      int  // answers that could not be read
	Why         string

	owed  []End // not yet answered 204
	sent  int   // of these, how many the request under way holds
	batch int   // how many the next request may hold; 0: as many as fit
	told  []rules.NoticeID
	now   time.Time
}

// New makes a directory that knows a list up to a revision.
func New(address string, l limits.Limits, pool *buffers.Pool, r *Receivers, revision int64) *Directory {
	d := &Directory{limits: l, pool: pool, address: address, receivers: r, revision: revision}
	d.watch = exchange{d: d, body: l.List, done: d.listed, failed: func() { d.failed = true }}
	d.ends = exchange{d: d, body: l.Body, once: true, done: d.accepted, failed: func() { d.sent = 0 }}
	return d
}

// Use says on which sockets the exchanges go.
func (d *Directory) Use(net *sockets.Net) { d.net = net }

// Move goes on at another address, as a new configuration says: it is asked for the whole list, since what the old
// one told last may not be what the new one counts from, and it gets every end that the old one has not taken.
func (d *Directory) Move(address string) {
	if address == d.address {
		return
	}
	d.address, d.anew, d.sent = address, true, 0
	for _, x := range []*exchange{&d.watch, &d.ends} {
		x.end()
		x.pause, x.due = 0, time.Time{}
	}
}

// Watch begins to follow the list, and goes on until Stop.
func (d *Directory) Watch() { d.watching = true }

// Stop ends the watch.
func (d *Directory) Stop() { d.watching = false }

// Ended hands in a notice of an end; it is kept until the platform has taken it.
func (d *Directory) Ended(e End) { d.owed = append(d.owed, e) }

// Owed is the number of ends not taken yet.
func (d *Directory) Owed() int { return len(d.owed) }

// Lists hands over what the watch told, and whether it broke.
func (d *Directory) Lists() (lists []rules.ListTold, failed bool) {
	lists, failed = d.lists, d.failed
	d.lists, d.failed = nil, false
	return lists, failed
}

// Told hands over the notices whose ends the platform has taken.
func (d *Directory) Told() []rules.NoticeID {
	told := d.told
	d.told = nil
	return told
}

// At sets the time for what comes next.
func (d *Directory) At(now time.Time) { d.now = now }

// Step begins what is due and returns when it wants to be called again.
func (d *Directory) Step() (next time.Time) {
	if d.watching {
		d.watch.step(d.limits.Hold+d.limits.AnswerTime, func(b []byte) []byte {
			path := fmt.Sprintf("/discovery/hosts?from=%d&hold_ms=%d", d.revision, d.limits.Hold.Milliseconds())
			if d.anew {
				path = "/discovery/hosts"
			}
			return http1.AppendRequest(b, "GET", path, d.address, nil, -1)
		})
		next = d.watch.due
	}
	if len(d.owed) > 0 {
		d.ends.step(d.limits.AnswerTime, func(b []byte) []byte {
			var lines []byte
			d.sent = 0
			for _, e := range d.owed {
				line, err := json.Marshal(e)
				if err != nil || len(lines)+len(line) >= d.limits.Body || d.batch > 0 && d.sent == d.batch {
					break
				}
				lines = append(append(lines, line...), '\n')
				d.sent++
			}
			return append(http1.AppendRequest(b, "POST", "/v2/finals", d.address, nil, len(lines)), lines...)
		})
		if next.IsZero() || d.ends.due.Before(next) {
			next = d.ends.due
		}
	}
	return next
}

// listed takes a list. A broken one is passed over: the last list holds, and the watch goes on after a pause. So is one that is
// older than the last: it may be a copy of an earlier answer, and the whole list is asked for on another connection.
func (d *Directory) listed(m *http1.Message) bool {
	var list List
	err := json.Unmarshal(m.Body.AppendTo(nil), &list)
	if m.Status != 200 {
		err = fmt.Errorf("status %d", m.Status)
	}
	if err == nil && !d.anew && list.Revision < d.revision && d.watch.carried > 1 {
		d.anew = true
		err = fmt.Errorf("revision %d after %d", list.Revision, d.revision)
	}
	var told rules.ListTold
	if err == nil {
		told, err = d.receivers.Told(list)
	}
	if err != nil {
		d.broken(fmt.Errorf("list: %w", err))
		return false
	}
	if !d.anew && list.Revision <= d.revision && d.now.Sub(d.watch.began) < d.limits.Hold/2 {
		d.watch.due = d.now.Add(d.limits.Again) // it does not hold watches: don't ask without end
	}
	d.revision, d.anew = list.Revision, false
	if len(told.Entries) > 0 || told.Whole {
		d.lists = append(d.lists, told)
	}
	return true
}

func (d *Directory) broken(err error) {
	d.Broken++
	d.Why = err.Error()
}

// accepted takes the platform's word on a batch of ends.
func (d *Directory) accepted(m *http1.Message) bool {
	if m.Status != 204 {
		d.broken(fmt.Errorf("notices of ends: status %d", m.Status))
		if m.Status != 400 || d.sent == 0 {
			return false
		}
		// One that can't be read must not keep all others: halves tell which it is, and it is given up.
		if d.sent > 1 {
			d.batch = d.sent / 2
			return true
		}
		d.Why = fmt.Sprintf("the platform can't read the end of %q, which is given up", d.owed[0].Message)
	}
	d.batch = 0
	for _, e := range d.owed[:d.sent] {
		d.told = append(d.told, e.Notice)
	}
	d.owed = slices.Delete(d.owed, 0, d.sent)
	d.sent = 0
	return true
}

// exchange is a connection that carries one request after another to the platform.
type exchange struct {
	d      *Directory
	body   int
	once   bool // each request has a connection of its own, so that no answer can be another request's
	done   func(*http1.Message) bool
	failed func()

	conn    *sockets.Conn
	parser  *http1.Parser
	up      bool
	carried int       // requests on this connection
	asked   bool      // a request is under way
	began   time.Time // when it was asked
	due     time.Time
	pause   time.Duration
	out     []byte
}

// step writes the next request when it is time, on a new connection if need be, and gives up a late one.
func (x *exchange) step(patience time.Duration, request func([]byte) []byte) {
	l := x.d.limits
	if x.d.now.Before(x.due) {
		return
	}
	if x.asked || x.conn != nil && !x.up {
		x.fail()
		return
	}
	if x.conn == nil {
		x.parser = http1.NewParser(x.d.pool, true, l.Head, l.Fields, x.body)
		x.conn, x.up, x.carried = x.d.net.Dial(x.d.address, l.ConnectTime, l.Head+x.body, x), false, 0
		x.due = x.d.now.Add(2 * l.ConnectTime)
		return
	}
	x.carried++
	x.out = request(x.out[:0])
	x.asked, x.began, x.due = true, x.d.now, x.d.now.Add(patience)
	x.conn.Write(x.out)
}

// fail lets the connection go and waits, longer each time.
func (x *exchange) fail() {
	x.end()
	x.pause = min(max(2*x.pause, x.d.limits.BackOff), x.d.limits.BackOffMost)
	x.due = x.d.now.Add(x.pause)
	x.failed()
}

// end lets the connection go, and what was asked on it.
func (x *exchange) end() {
	if x.conn != nil {
		x.conn.Close()
		x.parser.Free()
	}
	x.conn, x.asked, x.up = nil, false, false
}

func (x *exchange) Opened(conn *sockets.Conn) {
	if conn == x.conn {
		x.up, x.due = true, time.Time{}
	}
}

func (x *exchange) Data(conn *sockets.Conn, b []byte) {
	if conn != x.conn {
		return
	}
	if !x.asked {
		x.fail()
		return
	}
	rest, done, err := x.parser.Feed(b)
	if err != nil {
		x.d.broken(err)
		x.fail()
	} else if done {
		x.answered(x.parser.Take(), len(rest) > 0)
	}
}

func (x *exchange) Closed(conn *sockets.Conn, _ error) {
	switch {
	case conn != x.conn:
	case x.asked && x.parser.End() == nil:
		x.answered(x.parser.Take(), true)
	case x.asked || !x.up:
		x.fail()
	default: // an idle connection ended
		x.parser.Free()
		x.conn = nil
	}
}

func (x *exchange) answered(m *http1.Message, closes bool) {
	x.asked, x.due = false, time.Time{}
	fine := x.done(m)
	m.Body.Free()
	if !fine {
		x.fail()
		return
	}
	x.pause = 0
	if closes || m.Close || x.once {
		x.end()
	}
}
