package rules

import "fmt"

// The ids that reach the module from outside; none tells anything but sameness.
type (
	NoticeID      uint32
	ReceiverID    uint32
	DestinationID int32
	KeyID         uint64
	GradeID       uint16
	PortfolioID   uint32
	ZoneID        uint8
	KindID        uint16
	TimerID       uint64
)

// Millis is a time or a span in milliseconds.
type Millis float64

// Repeat tells whether a notice may run again.
type Repeat uint8

const (
	AtMostOnce Repeat = iota // must never run twice
	Numbered                 // a repeat is known by its mark
	Reissuable               // may run again
)

// Grade is a service grade.
type Grade struct {
	QuotedTime    Millis
	ClientTimeout Millis
	Credit        float64
	LateShare     float64 // share of the credit left at the client timeout
	Repeat        Repeat
	ZoneOnly      bool   // numbered: a repeat is known only within the zone of the first trip
	RemembersFor  Millis // numbered: how long a mark is remembered, from the first trip on
	InOrder       bool   // notices of one key take turns
}

// Kind is a kind of destination.
type Kind struct {
	PerCall int  // notices that one call may carry
	Apart   bool // its receivers are separate routes
}

// Settings is what a sender is told at its start.
type Settings struct {
	Grades      []Grade
	Kinds       []Kind
	Quotas      []float64 // notices a second within each portfolio's share, all senders together
	ZoneFees    []float64
	Senders     int
	Slots       int // calls out at once
	HoldLimit   int // notices held or out at once
	TripLimit   int
	CallOff     bool // trips may be called off
	Tick        Millis
	OverShare   float64 // what credit beyond a portfolio's share counts
	WholeGoal   float64 // how much all credit weighs in what the deployment aims for
	WorstGoal   float64 // and that of the grade served worst
	HalvesLate  bool    // credit halves with each further quoted time; else it falls evenly
	RetryAfter  bool    // a dismissal may tell when to come back
	RetryMost   Millis
	ListOnAsk   bool // list changes come only to those that watch
	AskWithin   Millis
	ListedError float64 // how far a listed rate may be too high, as a share of the true one; < 0: none listed
	ColdFrom    float64
	WarmWithin  Millis
	TipMultiple float64
	Fall        Millis
	KeyRest     Millis
	IdleKept    Millis // how long an idle connection is kept
	Stall       Millis // how long the process may be held up before it reads what has come, or writes what it decided
}

// Standing is what the list says of a receiver.
type Standing uint8

const (
	Gone Standing = iota
	Ready
	Draining
)

// Entry is one line of the list of receivers.
type Entry struct {
	Receiver    ReceiverID
	Destination DestinationID
	Kind        KindID
	Zone        ZoneID
	Standing    Standing
	ListedRate  float64 // calls a second that the destination, or the route apart, takes
}

// Result is how a trip ended.
type Result uint8

const (
	Handled Result = iota
	Errored
	Full // turned away unseen
	TimedOut
	NotConnected // never ran
	Reset
	Cancelled
	Moot      // not sent, and counts as a trip
	Short     // not sent, for a shortage of this sender's own: counts as no trip
	Recalled  // not sent, as it may not leave any more: counts as no trip
	Ambiguous // an answer came that may be another call's: it may have run
)

// String names a result.
func (r Result) String() string {
	names := [...]string{"handled", "errored", "full", "timed out", "not connected", "reset", "cancelled", "moot", "short",
		"recalled", "ambiguous"}
	return names[r]
}

// Event is something that happened to this sender.
type Event interface{ event() }

type (
	// NoticeTaken hands the sender a notice, to which it now owes one final answer.
	NoticeTaken struct {
		Notice      NoticeID
		Grade       GradeID
		Portfolio   PortfolioID
		Key         KeyID // 0: none
		Destination DestinationID
		Left        Millis  // until the client timeout
		Waited      Millis  // it may have waited so long to be read, which Left leaves out
		Inherited   bool    // another sender held it and died
		Room        float64 // share of the room for notices at this sender (memory, ledger) that it takes

		// Of a notice that this sender held before it was started anew.
		Trips, Ran int    // made, and those of them that may have run
		RanAgo     Millis // since the first of these was sent
		RanZone    ZoneID // and where to
	}
	// TripEnded tells the outcome of one trip.
	TripEnded struct {
		Notice   NoticeID
		Receiver ReceiverID
		Result   Result
		Spent    Millis
		Wait     Millis // with Full: told to wait so long; 0: not told
		Over     bool   // the notice is over, by this outcome or before
		// Unconfirmed says that its connection had carried calls before: OutcomeConfirmed or OutcomeDoubted follows.
		Unconfirmed bool
		// MayBeDelivered says, with Ambiguous, that one of the answers was a good one: nothing more may be sent for the notice.
		MayBeDelivered bool
		LimitTold      bool
		LimitLeft      float64 // share of the limit that is left
		LimitRate      float64 // calls a second; 0: no limit
	}
	// ConnectionUp says that the connection for a call has come up, and asks whether the call may still leave: the answer
	// is Write or Recall. A call that went on an idle connection was written at once.
	ConnectionUp struct{ Notice NoticeID }
	// WaitTold brings a wait before the outcome of its call is known, or after.
	WaitTold struct {
		Receiver ReceiverID
		Wait     Millis
	}
	// OutcomeConfirmed says that an unconfirmed outcome holds.
	OutcomeConfirmed struct{ Notice NoticeID }
	// OutcomeDoubted takes back an unconfirmed outcome: the answer may have been another call's, and the trip may have run.
	OutcomeDoubted struct {
		Notice   NoticeID
		Receiver ReceiverID
		SentAgo  Millis // since the trip's call was written
	}
	// SurplusHeard says that a receiver sent bytes that no call had asked for.
	SurplusHeard struct{ Receiver ReceiverID }
	// NoticeWithdrawn says that nothing more is owed for a notice.
	NoticeWithdrawn struct{ Notice NoticeID }
	// ListTold brings list entries: all of them, or those that changed.
	ListTold struct {
		Whole   bool
		Entries []Entry
	}
	// ListFailed says that a watch could not be had, or broke.
	ListFailed struct{}
	// TimerDue brings back a timer.
	TimerDue struct{ Timer TimerID }
)

func (NoticeTaken) event()      {}
func (TripEnded) event()        {}
func (ConnectionUp) event()     {}
func (WaitTold) event()         {}
func (OutcomeConfirmed) event() {}
func (OutcomeDoubted) event()   {}
func (SurplusHeard) event()     {}
func (NoticeWithdrawn) event()  {}
func (ListTold) event()         {}
func (ListFailed) event()       {}
func (TimerDue) event()         {}

// Action is something to be done for this sender, in the order given.
type Action interface{ action() }

type (
	// Send starts a trip.
	Send struct {
		Notice   NoticeID
		Receiver ReceiverID
		TimeOut  Millis
	}
	// Write lets a call leave whose connection has come up.
	Write struct{ Notice NoticeID }
	// Recall takes a call back whose connection has come up; its outcome is Recalled.
	Recall struct{ Notice NoticeID }
	// Dismiss ends a notice: trying again is harmless.
	Dismiss struct {
		Notice     NoticeID
		RetryAfter Millis // 0: no advice
		ForRoom    bool   // to make room in the hold
	}
	// BreakOff ends a notice and promises nothing.
	BreakOff struct{ Notice NoticeID }
	// CallOff stops waiting for a trip.
	CallOff struct {
		Notice NoticeID
		Trip   int
	}
	// LetGo closes this sender's idle connections to a receiver.
	LetGo struct{ Receiver ReceiverID }
	// SetTimer asks for TimerDue.
	SetTimer struct {
		After Millis
		Timer TimerID
	}
	// WatchList asks for list changes from now on.
	WatchList struct{}
	// Turned tells people that a route's breaker changed its state; Route is its first receiver.
	Turned struct {
		Destination DestinationID
		Route       ReceiverID
		State, Why  string
	}
)

func (Send) action()      {}
func (Write) action()     {}
func (Recall) action()    {}
func (Dismiss) action()   {}
func (BreakOff) action()  {}
func (CallOff) action()   {}
func (LetGo) action()     {}
func (SetTimer) action()  {}
func (WatchList) action() {}
func (Turned) action()    {}

// String is the change as a line of text.
func (t Turned) String() string {
	return fmt.Sprintf("destination %d route %d %s: %s", t.Destination, t.Route, t.State, t.Why)
}

// Ends is the final answers among actions, Dismiss or BreakOff, by their notices.
func Ends(actions []Action) map[NoticeID]Action {
	ends := map[NoticeID]Action{}
	for _, a := range actions {
		switch a := a.(type) {
		case Dismiss:
			ends[a.Notice] = a
		case BreakOff:
			ends[a.Notice] = a
		}
	}
	return ends
}
