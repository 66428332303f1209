// Package audit combines what clients, gateways and the platform observe of senders and checks the six rules on it. It
// uses no information that a sender reports about itself.
package audit

import (
	"sync"

	"chuteweir.example/chuteweir/rules"
)

// Hand is one submission of a notice by a client.
type Hand struct {
	ID, Effect string // Effect stays the same when a client submits the notice again under another ID
	Mark       string // idempotency key; empty: none
	Grade      int
	Portfolio  int
	Key        int // ordering key; 0: none
	Dest       int
	Sender     int
	At, Until  rules.Millis // times of the submission and of the client timeout
	Intended   rules.Millis // intended time of the first submission of its effect
	Again      bool         // a repeated submission of its effect
	Status     int          // of the sender's response; 0: none
	Answered   rules.Millis // time of the sender's response
}

// Taken reports whether the sender accepted the notice.
func (h *Hand) Taken() bool { return h.Status == 202 || h.Status == 200 }

// Call is a call that reached a gateway completely, or that the gateway cut off.
type Call struct {
	ID, Receiver, Mark string
	Dest               int
	Apart              bool         // the destination's receivers are separate routes
	First, Last        rules.Millis // times of its first and last byte
	Unread             bool         // the gateway did not read it completely, or lost it unseen
	Ran                bool         // it took effect
	Status             int          // of the response; 0: none
	Spoilt             bool         // the response is malformed and cannot be read to its end
	Unfinished         bool         // only a part of the response has been written
	Delivered          bool         // a complete status line with 200 was written
	Wait               rules.Millis // the wait that the response asked for
	Replied            rules.Millis // when the response's status line was written; 0: not written
	Closed             rules.Millis // when the connection closed during the call; 0: it did not
	Before             int          // number of earlier calls on its connection
	Ended              rules.Millis // when its connection ended, if the outcome may be retracted then; 0: otherwise
	Fault              string       // kind of the injected fault that affected it; empty: none
}

// knownNotRun reports whether the sender can know that the call never ran.
func (c *Call) knownNotRun() bool {
	return c.Unread || !c.Spoilt && (c.Status == 429 || c.Status == 503 || c.Status == 504 || c.Status == 410)
}

// responseSeen reports whether the sender must have received the response that delivered the notice.
func (c *Call) responseSeen(crossing rules.Millis) bool {
	return c.Delivered && (c.Closed == 0 || c.Closed > c.Replied+crossing)
}

// retractable reports whether the sender may retract the outcome of a response that it has received completely. On a
// connection with earlier calls, the response may be a duplicate of an earlier one if the connection ends within
// longest, the time within which the call's own response would have arrived.
func (c *Call) retractable(longest rules.Millis) bool {
	return c.Before > 0 && c.Ended > 0 && c.Ended <= c.Replied+longest
}

// Over returns when the call ended for the sender, or the greatest Millis if it never did.
func (c *Call) Over() rules.Millis {
	switch {
	case c.Replied > 0 && c.Closed > 0:
		return min(c.Replied, c.Closed)
	case c.Replied > 0 || c.Closed > 0:
		return max(c.Replied, c.Closed)
	}
	return never
}

// End is a final outcome of a notice that the platform accepted.
type End struct {
	ID, Outcome string
	Sender      int
	At          rules.Millis
}

// Told is the standing of one receiver in a receiver list that was sent to a sender.
type Told struct {
	Receiver, Standing string
	Sender             int
	At                 rules.Millis
}

// Life is a change of a sender's process state.
type Life struct {
	Sender int
	What   string // killed, leaving, starting, frozen (paused), going on (resumed) or ready
	At     rules.Millis
}

// Fall is an overload of a destination on its return from an outage.
type Fall struct {
	Dest int
	At   rules.Millis
	By   map[int]int  // number of calls by sender
	Seen map[int]bool // senders of which a call had failed or been refused there during the outage
}

// Shut is a report of final outcomes by a sender that the platform refused.
type Shut struct {
	Sender int
	At     rules.Millis
}

// Record collects everything observed in a run, with times in milliseconds since the same start. It is safe for
// concurrent use.
type Record struct {
	mu              sync.Mutex
	submissions     map[string]*Hand
	submissionOrder []*Hand
	calls           []*Call
	outcomes        []End
	listings        []Told
	senderEvents    []Life
	overloads       []Fall
	refusedReports  []Shut
	finished        map[string]bool // IDs that have their final answer
	unfinished      int             // accepted notices without a final answer
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{submissions: map[string]*Hand{}, finished: map[string]bool{}}
}

// finish records that a notice has its final answer.
func (r *Record) finish(id string) {
	if h := r.submissions[id]; h != nil && h.Taken() && !r.finished[id] {
		r.unfinished--
	}
	r.finished[id] = true
}

// Submitted records a submission just before the client sends it.
func (r *Record) Submitted(submission Hand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submissions[submission.ID] = &submission
	r.submissionOrder = append(r.submissionOrder, &submission)
}

// Answered records the status and time of a sender's response to a submission.
func (r *Record) Answered(id string, status int, at rules.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.submissions[id]; h != nil {
		h.Status, h.Answered = status, at
		if h.Taken() && !r.finished[id] {
			r.unfinished++
		}
	}
}

// SubmissionOf returns the submission with an ID and whether there is one.
func (r *Record) SubmissionOf(id string) (Hand, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.submissions[id]; h != nil {
		return *h, true
	}
	return Hand{}, false
}

// Call records a call. Use Update on the result to record what becomes of it.
func (r *Record) Call(c Call) *Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, &c)
	return &c
}

// Update changes a recorded call under the record's lock.
func (r *Record) Update(c *Call, change func(*Call)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change(c); c.Delivered && !r.finished[c.ID] {
		r.finish(c.ID)
	}
}

// Outcome records a final outcome that the platform accepted.
func (r *Record) Outcome(e End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, e)
	r.finish(e.ID)
}

// Listed records a receiver's standing in a list that was sent to a sender.
func (r *Record) Listed(t Told) { r.mu.Lock(); defer r.mu.Unlock(); r.listings = append(r.listings, t) }

// Life records a change of a sender's process state.
func (r *Record) Life(l Life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.senderEvents = append(r.senderEvents, l)
}

// ReportRefused records that the platform refused a report of final outcomes.
func (r *Record) ReportRefused(s Shut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedReports = append(r.refusedReports, s)
}

// Overloaded records that a destination was overloaded on its return from an outage.
func (r *Record) Overloaded(f Fall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloads = append(r.overloads, f)
}

// View is a copy of a record, each list in the order of recording.
type View struct {
	Hands []Hand
	Calls []Call
	Ends  []End
	Told  []Told
	Lives []Life
	Falls []Fall
	Shut  []Shut
}

// View returns a copy of the record.
func (r *Record) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := View{Ends: append([]End(nil), r.outcomes...), Told: append([]Told(nil), r.listings...),
		Lives: append([]Life(nil), r.senderEvents...), Falls: append([]Fall(nil), r.overloads...),
		Shut: append([]Shut(nil), r.refusedReports...)}
	for _, h := range r.submissionOrder {
		v.Hands = append(v.Hands, *h)
	}
	for _, c := range r.calls {
		v.Calls = append(v.Calls, *c)
	}
	return v
}

// Open returns the number of accepted notices without a final answer.
func (r *Record) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unfinished
}
