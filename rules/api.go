package rules

import "fmt"

// The identifiers of the things that events and actions refer to. Those that are not described as an index
// are only compared for equality.
type (
	// NoticeID identifies a notice at this sender.
	NoticeID uint32
	// ReceiverID identifies a receiver.
	ReceiverID uint32
	// DestinationID identifies a destination.
	DestinationID int32
	// KeyID identifies the key of a notice; 0 is no key.
	KeyID uint64
	// GradeID is an index of Settings.Grades.
	GradeID uint16
	// PortfolioID is an index of Settings.Quotas.
	PortfolioID uint32
	// ZoneID is an index of Settings.ZoneFees.
	ZoneID uint8
	// KindID is an index of Settings.Kinds.
	KindID uint16
	// TimerID identifies a timer.
	TimerID uint64
)

// Millis is a duration in milliseconds, or a time in milliseconds since an origin that the caller chooses.
type Millis float64

// Repeat says how a notice that may have run can be sent again.
type Repeat uint8

const (
	AtMostOnce Repeat = iota // it must never run twice
	Numbered                 // receivers recognize a repeat by its mark
	Reissuable               // it may run any number of times
)

// Grade is a service grade.
type Grade struct {
	QuotedTime    Millis  // from the submission; a delivery within this time earns the full credit
	ClientTimeout Millis  // from the submission; a delivery after this time earns no credit
	Credit        float64 // full credit of one notice
	LateShare     float64 // share of the credit that any delivery before the client timeout earns at least
	Repeat        Repeat
	ZoneOnly      bool   // numbered: receivers recognize a repeat only within the zone of the first trip
	RemembersFor  Millis // numbered: how long receivers remember a mark, from the first trip on
	InOrder       bool   // notices of one key are sent one after the other, in the order of their acceptance
}

// Kind is a kind of destination.
type Kind struct {
	PerCall        int  // number of notices that one call may carry
	SeparateRoutes bool // its receivers are separate routes
}

// Settings configures a sender. It does not change while the sender runs.
type Settings struct {
	Grades            []Grade
	Kinds             []Kind
	Quotas            []float64 // of each portfolio, in notices per second for all senders together
	ZoneFees          []float64 // fee of a call to each zone
	Senders           int       // number of senders of the deployment
	Slots             int       // highest number of outstanding calls
	HoldLimit         int       // highest number of held notices, with those on a trip; 0: no limit
	TripLimit         int       // highest number of trips of a notice
	CancelTrips       bool      // outstanding trips may be cancelled
	Tick              Millis    // resolution of the caller's timers
	OverQuotaWeight   float64   // weight of the credit beyond a portfolio's quota
	TotalCreditWeight float64   // weight of the total credit in the goal of the deployment
	WorstGradeWeight  float64   // weight of the grade that is served worst in this goal
	LateCreditHalves  bool      // late credit halves with each further quoted time; else it falls linearly
	RetryAfter        bool      // a dismissal may say when to submit the notice again
	MaxRetryAfter     Millis    // longest time that a dismissal may say
	WatchOnRequest    bool      // the platform sends list changes only to senders that ask for a watch
	RewatchWithin     Millis    // time within which a broken watch of the list must be requested again
	ListedError       float64   // highest excess of a listed rate as a share of the true one; < 0: not listed
	ColdCapacity      float64   // share of its capacity that a destination has at the end of an outage
	WarmUpTime        Millis    // time within which it regains its full capacity
	// OverloadFactor and OverloadTime describe when a recovering destination is overloaded: it is sent more
	// than OverloadFactor times its present capacity for OverloadTime. The decisions also use OverloadTime as
	// the time scale of other measurements.
	OverloadFactor float64
	OverloadTime   Millis
	KeyCooldown    Millis // cooldown of a key after a call that may still be running
	IdleTimeout    Millis // how long receivers keep an idle connection
	// MaxPause is the longest pause of the process to expect before it reads what has arrived, or writes what
	// was decided.
	MaxPause Millis
}

// RouteState is the part of a route's state that a sender must still take into account after a restart. Ages
// are durations up to the time of the action or event that carries it.
type RouteState struct {
	InOutage         bool    `json:",omitempty"` // an outage was seen and its end was not
	Down             bool    `json:",omitempty"` // with InOutage: calls are spaced as during an outage
	Confirmed        bool    `json:",omitempty"` // with InOutage: the outage is confirmed
	OutageAge        Millis  `json:",omitempty"` // with InOutage: time since its first sign
	WarmingUp        bool    `json:",omitempty"` // an outage has ended, the warm-up after it is not over
	RecoveredAge     Millis  `json:",omitempty"` // with WarmingUp: time since the end of that outage
	OutageDuration   Millis  `json:",omitempty"` // with WarmingUp: length of that outage
	RateBeforeOutage float64 `json:",omitempty"` // calls per second handled before that outage
	Limit            float64 `json:",omitempty"` // calls per second that the receivers reported; 0: none
}

// After returns the state a duration later, with its ages increased.
func (r RouteState) After(elapsed Millis) RouteState {
	if r.InOutage {
		r.OutageAge += elapsed
	}
	if r.WarmingUp {
		r.RecoveredAge += elapsed
	}
	return r
}

// ReceiverStatus is the status of a receiver in the receiver list.
type ReceiverStatus uint8

const (
	Gone     ReceiverStatus = iota // it is not in the list
	Ready                          // it accepts calls
	Draining                       // it must not get new calls
)

// Entry is one entry of the receiver list.
type Entry struct {
	Receiver    ReceiverID
	Destination DestinationID
	Kind        KindID
	Zone        ZoneID
	Status      ReceiverStatus
	ListedRate  float64 // calls per second that the destination, or the separate route, accepts
}

// Result is how a trip ended.
type Result uint8

const (
	Handled       Result = iota // delivered
	Errored                     // the receiver responded with an error; the call may have run
	Refused                     // refused without being processed
	TimedOut                    // no response came in time; the call may have run
	NotConnected                // no connection was established; the call did not run
	Reset                       // the connection broke; the call may have run
	Cancelled                   // the sender stopped waiting; the call may have run
	NotSent                     // not sent; counts as a trip
	LocalShortage               // not sent because of a local shortage; counts as no trip
	Recalled                    // not sent because it was recalled; counts as no trip
	Ambiguous                   // the response may belong to another call; the call may have run
)

// String returns the name of the result.
func (r Result) String() string {
	names := [...]string{"handled", "errored", "full", "timed out", "not connected", "reset", "cancelled",
		"moot", "short", "recalled", "ambiguous"}
	return names[r]
}

// Event is something that happened at this sender; Decide takes it into account.
type Event interface{ event() }

type (
	// NoticeAccepted reports that the sender accepted a notice, which requires exactly one final answer.
	NoticeAccepted struct {
		Notice      NoticeID
		Grade       GradeID
		Portfolio   PortfolioID
		Key         KeyID // 0: none
		Destination DestinationID
		TimeLeft    Millis  // time until the client timeout
		Waited      Millis  // how long it may have waited to be read; TimeLeft does not count this time
		Inherited   bool    // another sender accepted it before and failed
		SpaceShare  float64 // share of the space for notices at this sender (memory, ledger) that it takes

		// The fields below are set for a notice that this sender held before it restarted.

		Trips, PossibleRuns int    // number of trips, and of those that may have run
		FirstRunAgo         Millis // time since the first trip that may have run was sent
		FirstRunZone        ZoneID // zone of the receiver of that trip
	}
	// TripEnded reports the outcome of one trip.
	TripEnded struct {
		Notice        NoticeID
		Receiver      ReceiverID
		Result        Result
		Duration      Millis // duration of the call
		RequestedWait Millis // with Refused: the wait that the receiver requested; 0: none
		NoticeEnded   bool   // the notice has ended, by this outcome or before
		// Unconfirmed says that the connection had carried calls before, so that the response may belong to
		// another call: OutcomeConfirmed or OutcomeRetracted follows.
		Unconfirmed bool
		// MayBeDelivered says, with Ambiguous, that one of the possible responses was a success: nothing more
		// may be sent for the notice.
		MayBeDelivered bool
		LimitReported  bool    // the response reported a limit
		LimitRemaining float64 // share of the limit that is left
		LimitRate      float64 // calls per second; 0: no limit
	}
	// ConnectionUp reports that the connection for a call is established, and asks whether the call may still
	// be sent: the reply is Write or Recall. A call on an idle connection is written at once, without this
	// event.
	ConnectionUp struct{ Notice NoticeID }
	// WaitRequested reports a wait that a receiver requested, separately from the outcome of the call: before
	// or after it.
	WaitRequested struct {
		Receiver ReceiverID
		Wait     Millis
	}
	// OutcomeConfirmed reports that an unconfirmed outcome is certain.
	OutcomeConfirmed struct{ Notice NoticeID }
	// OutcomeRetracted retracts an unconfirmed outcome: the response may belong to another call, and the trip
	// may have run.
	OutcomeRetracted struct {
		Notice   NoticeID
		Receiver ReceiverID
		SentAgo  Millis // time since the call of the trip was written
	}
	// UnsolicitedBytes reports that a receiver sent unsolicited bytes.
	UnsolicitedBytes struct{ Receiver ReceiverID }
	// NoticeWithdrawn reports that a notice no longer requires a final answer.
	NoticeWithdrawn struct{ Notice NoticeID }
	// ListUpdated reports entries of the receiver list: all of them, or those that changed.
	ListUpdated struct {
		Complete bool // Entries is the whole list; receivers that are not in it are gone
		Entries  []Entry
	}
	// RouteStateRestored reports what an earlier process of this sender recorded of a route. It follows the
	// ListUpdated that first lists one of the route's receivers.
	RouteStateRestored struct {
		Receiver ReceiverID // any receiver of the route
		State    RouteState
	}
	// ListUnverified reports that the receiver list may be out of date, and that the caller is asking discovery
	// for changes: at the start, for a new address of discovery, when the watch of the list has failed, and when
	// the process was stopped.
	ListUnverified struct{}
	// ListVerified reports that discovery has answered. It follows the ListUpdated with the changes, if any.
	ListVerified struct{}
	// ListFailed reports that the watch of the receiver list could not be started, or broke.
	ListFailed struct{}
	// TimerDue reports that a timer fired.
	TimerDue struct{ Timer TimerID }
)

func (NoticeAccepted) event()     {}
func (TripEnded) event()          {}
func (ConnectionUp) event()       {}
func (WaitRequested) event()      {}
func (OutcomeConfirmed) event()   {}
func (OutcomeRetracted) event()   {}
func (UnsolicitedBytes) event()   {}
func (NoticeWithdrawn) event()    {}
func (ListUpdated) event()        {}
func (ListUnverified) event()     {}
func (ListVerified) event()       {}
func (ListFailed) event()         {}
func (RouteStateRestored) event() {}
func (TimerDue) event()           {}

// Action is something that the caller must do for this sender, in the order that Decide returns.
type Action interface{ action() }

type (
	// Send starts a trip.
	Send struct {
		Notice   NoticeID
		Receiver ReceiverID
		Timeout  Millis // longest duration of the trip
	}
	// Write sends a call whose connection was established.
	Write struct{ Notice NoticeID }
	// Recall withdraws a call whose connection was established before it is written; its outcome is Recalled.
	Recall struct{ Notice NoticeID }
	// Dismiss ends a notice without delivery; submitting it again is harmless.
	Dismiss struct {
		Notice     NoticeID
		RetryAfter Millis // time after which the client should submit it again; 0: no advice
		ForSpace   bool   // dismissed to free space in the hold
	}
	// BreakOff ends a notice that may have taken effect.
	BreakOff struct{ Notice NoticeID }
	// CancelTrip cancels an outstanding trip; its outcome is Cancelled.
	CancelTrip struct {
		Notice NoticeID
		Trip   int // number of the trip of this notice, from 0
	}
	// CloseIdleConnections closes this sender's idle connections to a receiver.
	CloseIdleConnections struct{ Receiver ReceiverID }
	// SetTimer requests the event TimerDue after a time.
	SetTimer struct {
		After Millis
		Timer TimerID
	}
	// WatchList starts a watch of the receiver list.
	WatchList struct{}
	// BreakerChanged reports, for the log, that the breaker of a route changed its state.
	BreakerChanged struct {
		Destination   DestinationID
		Route         ReceiverID // first receiver of the route
		State, Reason string
	}
	// RouteStateChanged reports that a route's state changed in a way that must survive a restart of the sender.
	RouteStateChanged struct {
		Destination DestinationID
		Route       ReceiverID // first receiver of the route
		Separate    bool       // the route is that single receiver, not the whole destination
		Held        int        // held notices of the destination
		State       RouteState
	}
)

func (Send) action()                 {}
func (Write) action()                {}
func (Recall) action()               {}
func (Dismiss) action()              {}
func (BreakOff) action()             {}
func (CancelTrip) action()           {}
func (CloseIdleConnections) action() {}
func (SetTimer) action()             {}
func (WatchList) action()            {}
func (BreakerChanged) action()       {}
func (RouteStateChanged) action()    {}

// String returns the change of state as a line for the log.
func (b BreakerChanged) String() string {
	return fmt.Sprintf("destination %d route %d %s: %s", b.Destination, b.Route, b.State, b.Reason)
}

// FinalAnswers returns the final answers among the actions, each a Dismiss or a BreakOff, by their notices.
func FinalAnswers(actions []Action) map[NoticeID]Action {
	finalAnswers := map[NoticeID]Action{}
	for _, a := range actions {
		switch a := a.(type) {
		case Dismiss:
			finalAnswers[a.Notice] = a
		case BreakOff:
			finalAnswers[a.Notice] = a
		}
	}
	return finalAnswers
}
