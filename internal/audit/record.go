// Package audit combines what clients, gateways and the platform observe of senders and checks the six rules on it. It
// uses no information that a sender reports about itself.
package audit

import (
	"sync"

	"chuteweir.example/chuteweir/rules"
)

// Submission is one submission of a notice by a client.
type Submission struct {
	ID, Effect  string // Effect stays the same when a client submits the notice again under another ID
	Mark        string // idempotency key; empty: none
	Grade       int
	Portfolio   int
	Key         int // ordering key; 0: none
	Dest        int
	Sender      int
	At, Until   rules.Millis // times of the submission and of the client timeout
	Intended    rules.Millis // intended time of the first submission of its effect
	Resubmitted bool         // a repeated submission of its effect
	Status      int          // of the sender's response; 0: none
	Answered    rules.Millis // time of the sender's response
}

// Accepted reports whether the sender accepted the notice.
func (s *Submission) Accepted() bool { return s.Status == 202 || s.Status == 200 }

// Call is a call that a gateway received, completely or until the gateway reset its connection.
type Call struct {
	ID, Receiver, Mark string
	Dest               int
	SeparateRoutes     bool         // the destination's receivers are separate routes
	First, Last        rules.Millis // times of its first and last byte
	Unread             bool         // the gateway did not read it completely, or lost it before handling it
	Ran                bool         // it took effect
	Status             int          // of the response; 0: none
	Malformed          bool         // the response is malformed and cannot be read to its end
	Unfinished         bool         // only a part of the response has been written
	Delivered          bool         // a complete status line with 200 was written
	RequestedWait      rules.Millis // the wait that the response asked for
	Replied            rules.Millis // when the response's status line was written; 0: not written
	Closed             rules.Millis // when the connection closed during the call; 0: it did not
	EarlierCalls       int          // number of earlier calls on its connection
	ConnectionEnded    rules.Millis // when its connection ended, if the outcome may be retracted then; 0: otherwise
	Fault              string       // kind of the injected fault that affected it; empty: none
}

// knownNotRun reports whether the sender can know that the call never ran.
func (c *Call) knownNotRun() bool {
	return c.Unread || !c.Malformed && (c.Status == 429 || c.Status == 503 || c.Status == 504 || c.Status == 410)
}

// responseSeen reports whether the sender must have received the response that delivered the notice.
func (c *Call) responseSeen(crossing rules.Millis) bool {
	return c.Delivered && (c.Closed == 0 || c.Closed > c.Replied+crossing)
}

// retractable reports whether the sender may retract the outcome of a response that it has received completely. On a
// connection with earlier calls, the response may be a duplicate of an earlier one if the connection ends within
// longest, the time within which the call's own response would have arrived.
func (c *Call) retractable(longest rules.Millis) bool {
	return c.EarlierCalls > 0 && c.ConnectionEnded > 0 && c.ConnectionEnded <= c.Replied+longest
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

// FinalOutcome is a final outcome of a notice that the platform accepted.
type FinalOutcome struct {
	ID, Outcome string
	Sender      int
	At          rules.Millis
}

// Listing is the status of one receiver in a receiver list that was sent to a sender.
type Listing struct {
	Receiver, Status string
	Sender           int
	At               rules.Millis
}

// SenderEvent is a change of a sender's process state.
type SenderEvent struct {
	Sender int
	What   string // killed, leaving, starting, frozen (paused), going on (resumed) or ready
	At     rules.Millis
}

// Overload is an overload of a destination on its return from an outage.
type Overload struct {
	Dest      int
	At        rules.Millis
	By        map[int]int  // number of calls by sender
	SawOutage map[int]bool // senders of which a call had failed or been refused there during the outage
}

// RefusedReport is a report of final outcomes by a sender that the platform refused.
type RefusedReport struct {
	Sender int
	At     rules.Millis
}

// Record collects everything observed in a run, with times in milliseconds since the same start. It is safe for
// concurrent use.
type Record struct {
	mu              sync.Mutex
	submissions     map[string]*Submission
	submissionOrder []*Submission
	calls           []*Call
	outcomes        []FinalOutcome
	listings        []Listing
	senderEvents    []SenderEvent
	overloads       []Overload
	refusedReports  []RefusedReport
	finished        map[string]bool // IDs that have their final answer
	unfinished      int             // accepted notices without a final answer
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{submissions: map[string]*Submission{}, finished: map[string]bool{}}
}

// finish records that a notice has its final answer. The caller holds r.mu.
func (r *Record) finish(id string) {
	if submission := r.submissions[id]; submission != nil && submission.Accepted() && !r.finished[id] {
		r.unfinished--
	}
	r.finished[id] = true
}

// Submitted records a submission just before the client sends it.
func (r *Record) Submitted(submission Submission) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submissions[submission.ID] = &submission
	r.submissionOrder = append(r.submissionOrder, &submission)
}

// Answered records the status and time of a sender's response to a submission.
func (r *Record) Answered(id string, status int, at rules.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if submission := r.submissions[id]; submission != nil {
		submission.Status, submission.Answered = status, at
		if submission.Accepted() && !r.finished[id] {
			r.unfinished++
		}
	}
}

// SubmissionOf returns the submission with an ID and whether there is one.
func (r *Record) SubmissionOf(id string) (Submission, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if submission := r.submissions[id]; submission != nil {
		return *submission, true
	}
	return Submission{}, false
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
func (r *Record) Outcome(outcome FinalOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
	r.finish(outcome.ID)
}

// Listed records a receiver's status in a list that was sent to a sender.
func (r *Record) Listed(listing Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listings = append(r.listings, listing)
}

// SenderChanged records a change of a sender's process state.
func (r *Record) SenderChanged(event SenderEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.senderEvents = append(r.senderEvents, event)
}

// ReportRefused records that the platform refused a report of final outcomes.
func (r *Record) ReportRefused(report RefusedReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedReports = append(r.refusedReports, report)
}

// Overloaded records that a destination was overloaded on its return from an outage.
func (r *Record) Overloaded(overload Overload) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloads = append(r.overloads, overload)
}

// View is a copy of a record, each list in the order of recording.
type View struct {
	Submissions    []Submission
	Calls          []Call
	Outcomes       []FinalOutcome
	Listings       []Listing
	SenderEvents   []SenderEvent
	Overloads      []Overload
	RefusedReports []RefusedReport
}

// View returns a copy of the record.
func (r *Record) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := View{Outcomes: append([]FinalOutcome(nil), r.outcomes...), Listings: append([]Listing(nil), r.listings...),
		SenderEvents: append([]SenderEvent(nil), r.senderEvents...), Overloads: append([]Overload(nil), r.overloads...),
		RefusedReports: append([]RefusedReport(nil), r.refusedReports...)}
	for _, submission := range r.submissionOrder {
		view.Submissions = append(view.Submissions, *submission)
	}
	for _, c := range r.calls {
		view.Calls = append(view.Calls, *c)
	}
	return view
}

// Unfinished returns the number of accepted notices without a final answer.
func (r *Record) Unfinished() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unfinished
}
