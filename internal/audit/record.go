// Package audit joins what clients, gateways and the platform saw of senders, and checks the six rules on it. It
// believes nothing that a sender says of itself.
package audit

import (
	"sync"

	"chuteweir.example/chuteweir/rules"
)

// Hand is a notice handed in once.
type Hand struct {
	ID, Effect string // the effect stays the same when a client hands in again
	Mark       string
	Grade      int
	Portfolio  int
	Key        int // 0: none
	Dest       int
	Sender     int
	At, Until  rules.Millis // handed in, and its client timeout
	Intended   rules.Millis // when its effect was to be handed in first
	Again      bool         // after a dismissal
	Status     int          // of the sender's answer; 0: none
	Answered   rules.Millis
}

// Taken tells whether the sender took it on.
func (h *Hand) Taken() bool { return h.Status == 202 || h.Status == 200 }

// Call is a call that reached a gateway whole, or was cut off there.
type Call struct {
	ID, Receiver, Mark string
	Dest               int
	Apart              bool         // its receivers are separate routes
	First, Last        rules.Millis // its first and last byte
	Unread             bool         // the connection was reset before its last byte was read
	Ran                bool         // it took effect
	Status             int          // the answer's; 0: none
	Spoilt             bool         // the answer could not be read to its end
	Unfinished         bool         // only a part of the answer has been written
	Delivered          bool         // a whole first line with 200 was written
	Wait               rules.Millis // told
	Replied            rules.Millis // when the answer's first line was written; 0: not
	Closed             rules.Millis // when the connection ended under it; 0: not
	Before             int          // calls that came on its connection before it
	Ended              rules.Millis // when its connection ended, if it may be doubted then (standin.line.doubtful); 0: not
	Fault              string       // what struck it, if anything
}

// known tells whether the sender can know that the call never ran.
func (c *Call) known() bool {
	return c.Unread || !c.Spoilt && (c.Status == 429 || c.Status == 503 || c.Status == 504 || c.Status == 410)
}

// sure tells whether the sender must have seen the answer that delivered it.
func (c *Call) sure(crossing rules.Millis) bool {
	return c.Delivered && (c.Closed == 0 || c.Closed > c.Replied+crossing)
}

// doubtful tells whether the sender may doubt an answer that it has seen whole: on a connection that has carried calls before it may be a
// copy, if the connection ends within the longest time in which the true one would have come.
func (c *Call) doubtful(longest rules.Millis) bool {
	return c.Before > 0 && c.Ended > 0 && c.Ended <= c.Replied+longest
}

// Over is when the call was over for the sender; the greatest number there is: never.
func (c *Call) Over() rules.Millis {
	switch {
	case c.Replied > 0 && c.Closed > 0:
		return min(c.Replied, c.Closed)
	case c.Replied > 0 || c.Closed > 0:
		return max(c.Replied, c.Closed)
	}
	return never
}

// End is a notice of an end that the platform took.
type End struct {
	ID, Outcome string
	Sender      int
	At          rules.Millis
}

// Told is what the list told a sender of a receiver.
type Told struct {
	Receiver, Standing string
	Sender             int
	At                 rules.Millis
}

// Life is a change in a sender's life.
type Life struct {
	Sender int
	What   string // killed, leaving, starting, frozen, going on, ready
	At     rules.Millis
}

// Fall is a destination that fell over on its return from an outage.
type Fall struct {
	Dest int
	At   rules.Millis
	By   map[int]int  // calls by sender
	Seen map[int]bool // senders that had seen a call fail or be refused there during the outage
}

// Shut is a time at which the platform did not take the ends that a sender told.
type Shut struct {
	Sender int
	At     rules.Millis
}

// Record is all that was seen, in milliseconds since one beginning. It may be used by many goroutines.
type Record struct {
	mu    sync.Mutex
	hands map[string]*Hand
	order []*Hand
	calls []*Call
	ends  []End
	told  []Told
	lives []Life
	falls []Fall
	shut  []Shut
	over  map[string]bool
	open  int
}

// NewRecord makes an empty record.
func NewRecord() *Record { return &Record{hands: map[string]*Hand{}, over: map[string]bool{}} }

// isOver notes that an id has its final answer.
func (r *Record) isOver(id string) {
	if h := r.hands[id]; h != nil && h.Taken() && !r.over[id] {
		r.open--
	}
	r.over[id] = true
}

// Hand notes a notice just before it is handed in.
func (r *Record) Hand(h Hand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hands[h.ID] = &h
	r.order = append(r.order, &h)
}

// Answered notes what a sender answered to it.
func (r *Record) Answered(id string, status int, at rules.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.hands[id]; h != nil {
		h.Status, h.Answered = status, at
		if h.Taken() && !r.over[id] {
			r.open++
		}
	}
}

// HandOf is the hand-in of an id.
func (r *Record) HandOf(id string) (Hand, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.hands[id]; h != nil {
		return *h, true
	}
	return Hand{}, false
}

// Call notes a call; what comes of it is told by Change.
func (r *Record) Call(c Call) *Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, &c)
	return &c
}

// Change lets a gateway change what it noted of a call.
func (r *Record) Change(c *Call, change func(*Call)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change(c); c.Delivered && !r.over[c.ID] {
		r.isOver(c.ID)
	}
}

// End notes the end of a notice.
func (r *Record) End(e End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, e)
	r.isOver(e.ID)
}

// Told notes what the list told.
func (r *Record) Told(t Told) { r.mu.Lock(); defer r.mu.Unlock(); r.told = append(r.told, t) }

// Life notes a change in a sender's life.
func (r *Record) Life(l Life) { r.mu.Lock(); defer r.mu.Unlock(); r.lives = append(r.lives, l) }

// Shut notes that the platform did not take ends.
func (r *Record) Shut(s Shut) { r.mu.Lock(); defer r.mu.Unlock(); r.shut = append(r.shut, s) }

// Fell notes that a destination fell over.
func (r *Record) Fell(f Fall) { r.mu.Lock(); defer r.mu.Unlock(); r.falls = append(r.falls, f) }

// View is a copy of what was seen, in the order noted.
type View struct {
	Hands []Hand
	Calls []Call
	Ends  []End
	Told  []Told
	Lives []Life
	Falls []Fall
	Shut  []Shut
}

// View copies the record.
func (r *Record) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := View{Ends: append([]End(nil), r.ends...), Told: append([]Told(nil), r.told...),
		Lives: append([]Life(nil), r.lives...), Falls: append([]Fall(nil), r.falls...), Shut: append([]Shut(nil), r.shut...)}
	for _, h := range r.order {
		v.Hands = append(v.Hands, *h)
	}
	for _, c := range r.calls {
		v.Calls = append(v.Calls, *c)
	}
	return v
}

// Open is the number of notices taken on that have no end yet.
func (r *Record) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}
