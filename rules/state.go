package rules

import (
	"container/heap"
	"math"
	"slices"
)

// This file holds the state of a sender and the structures that keep it. It takes no decisions.

// breakerState is the state of a route's circuit breaker.
type breakerState string

const (
	closed   breakerState = "closed"
	open     breakerState = "open"
	halfOpen breakerState = "half-open"
)

// decayingSum is an exponentially decaying sum. The decay since the last access is applied when it is read.
type decayingSum struct {
	value     float64
	updatedAt Millis
}

func (d *decayingSum) read(now, timeConstant Millis) float64 {
	d.value *= math.Exp(-float64((now - d.updatedAt) / timeConstant))
	d.updatedAt = now
	return d.value
}

func (d *decayingSum) add(now, timeConstant Millis, x float64) {
	d.value = d.read(now, timeConstant) + x
}

// decayingMean is a mean of delays in which older samples weigh exponentially less.
type decayingMean struct{ total, count decayingSum }

// add adds a sample and returns the mean.
func (d *decayingMean) add(now, timeConstant, delay Millis) Millis {
	d.total.add(now, timeConstant, float64(delay))
	d.count.add(now, timeConstant, 1)
	return Millis(d.total.value / d.count.value)
}

// callOutcome is one entry of the breaker's sliding window.
type callOutcome struct {
	recordedAt Millis
	failed     bool
}

// call is one HTTP request to a receiver, which may carry several notices.
type call struct {
	receiver                   *receiver
	sentAt, overdueAfter       Millis // it is overdue when it has been outstanding for overdueAfter
	notices                    []*notice
	pendingOutcomes            int  // notices without an outcome yet
	recorded, trial, cancelled bool // recorded: counted; trial: sent while the breaker was half-open
	onIdleConnection           bool // the call was sent on a connection that may have been idle
	timeoutShortened           bool // the client timeout shortened the timeout of the call
}

// receiver is one endpoint of a destination.
type receiver struct {
	id              ReceiverID
	route           *route
	zone            ZoneID
	status          ReceiverStatus
	fee             float64 // of a call to its zone
	tokens          float64 // a call takes one; responses and time refill them
	tokensUpdatedAt Millis
	lastResponseAt  Millis
	recentCalls     decayingSum
	tieBreak        float64                 // drawn once: this sender's preference among equal receivers
	failuresByGrade map[*grade]*decayingSum // failures of a grade here since its last success
}

// gradeFailures returns the failed trips of a grade to this receiver since its last success.
func (rc *receiver) gradeFailures(g *grade) *decayingSum {
	if rc.failuresByGrade[g] == nil {
		rc.failuresByGrade[g] = &decayingSum{}
	}
	return rc.failuresByGrade[g]
}

// route is the unit that has its own breaker, delay window, wait and pace. It is a whole destination, or a
// single receiver where the receivers of a destination are separate routes.
type route struct {
	id          ReceiverID // of its first receiver
	destination *destination
	receivers   []*receiver
	outstanding []*call

	state                                breakerState
	outcomes                             slidingWindow
	halfOpenAt                           Millis
	succeededTrials, consecutiveFailures int
	overdueTotal                         float64 // sum over its calls of waiting time / overdueAfter
	delays                               decayingMean
	meanDelay, bestDelay, lastResponseAt Millis
	delayWindow                          float64
	waitUntil, backoff                   Millis
	// requestedWaitUntil is the end of the wait that the receivers requested. It is never after waitUntil.
	requestedWaitUntil Millis
	// limitRate is the limit that the receivers reported, in calls per millisecond, and limitRemaining the
	// share of it that is left.
	limitRate, limitRemaining float64
	// listedRate is the rate in the receiver list, in calls per millisecond.
	listedRate                  float64
	limitShare                  float64 // share of the limit that this sender may use
	lastReducedAt               Millis  // when limitShare or delayWindow was last reduced after a refusal
	recentHandled, recentFailed decayingSum
	handledCalls                decayingSum // over the statistics window
	// rateBeforeOutage is the rate, in calls per millisecond, at which the route handled calls when the present
	// or the last outage began.
	rateBeforeOutage float64
	// outageSince is the time of the first sign of the present outage, or never. lastOutageSignAt is the time
	// of the last sign, or the end of the wait if the route has one then. The outage ends when a call
	// succeeds that was sent at or after lastOutageSignAt.
	outageSince, lastOutageSignAt Millis
	// recoveredAt is the end of the last outage, as far as this sender saw it, and outageDuration its length.
	recoveredAt, outageDuration Millis
	pacingStart                 Millis
	down, outageConfirmed       bool    // down may be set on a suspicion; outageConfirmed implies down
	pacingPhase                 float64 // share of the interval between calls to wait from pacingStart
	lastListedAt, createdAt     Millis  // lastListedAt: when it last had a receiver
	creationOrder               uint64
	active, removed             bool // active: the route is in Sender.active
	stateChanged                bool // the route is in Sender.changedRoutes
	saved                       savedState
}

// destination is a destination with its routes and the notices that wait for it.
type destination struct {
	id          DestinationID
	kind        *kind
	heldNotices int // its notices in Sender.notices
	// noReuseUntil is until when no connection is reused, because a receiver sent unsolicited bytes.
	noReuseUntil Millis
	zones        []ZoneID // in which its receivers were ever listed

	waiting []*notice // held notices without a call, in no order
	// unrestricted is the heap of the waiting notices that could be sent to any receiver at once: those that
	// have no key, have trips left and no delay before the next one, and of which no trip may have run. The
	// first to expire is at the front.
	unrestricted byExpiry
	restricted   []*notice // the other waiting notices
	waitingIndex int       // in Sender.waitingDestinations

	fullInTurn     uint64 // the turn in which it was found to accept no more
	examinedInTurn uint64 // the turn in which the fields below were computed
	availableAt    Millis
	// unrestrictedSendableAt is when the notices in unrestricted may be sent at the earliest.
	unrestrictedSendableAt Millis
	listed, accepting      bool
	routes                 []*route
	removedRoutes          int // of these, during cleanUp
}

// listVerification is what is known of whether the receiver list is up to date.
type listVerification struct {
	pending         bool   // the list may be out of date, and discovery was asked for changes
	succeededBefore bool   // the list was verified before, by this process
	since           Millis // with pending: since when
}

// keyQueue holds the notices of one key in the order in which they were accepted.
type keyQueue struct {
	notices       []*notice
	cooldownUntil Millis
}

// grade is a service grade with the credit that its ended notices could have earned, the credit that they
// earned, and its weight.
type grade struct {
	Grade
	requestedCredit, earnedCredit decayingSum
	weight                        float64
}

// notice is a notice that this sender holds, or that ended while its call was outstanding.
type notice struct {
	id                          NoticeID
	grade                       *grade
	destination                 *destination
	key                         KeyID
	credit, urgency, spaceShare float64
	submittedAt, quotedUntil    Millis
	acceptedAt                  Millis // when this process got it, from its client or from the ledger
	expiresAt, notBefore        Millis // expiresAt is the client timeout; notBefore the end of a delay after a trip
	// surelyInTimeUntil is the latest time at which a response that is read certainly came before expiresAt,
	// however long the notice or the response itself waited to be read.
	surelyInTimeUntil       Millis
	trips, possibleRuns     int // possibleRuns counts the trips that may have run
	currentCall             *call
	mayHaveRun, zoneUnknown bool // a trip may have run; the zone of that trip is not known
	firstRunAt              Millis
	runZone                 ZoneID
	ended                   bool
	unconfirmed             bool   // the outcome of its last trip may yet be retracted
	unconfirmedUntil        Millis // until then the last trip may turn out to have run
	sendableAt              Millis // as computed in this turn
	acceptOrder             uint64
	waiting, unrestricted   bool // waiting: the notice is in the lists of its destination
	// waitingIndex is the index in destination.waiting, and listIndex the one in destination.unrestricted or
	// destination.restricted.
	waitingIndex, listIndex int
}

// byExpiry is a heap of notices ordered by their client timeout.
type byExpiry []*notice

func (h byExpiry) Len() int { return len(h) }
func (h byExpiry) Less(i, j int) bool {
	return h[i].expiresAt < h[j].expiresAt ||
		h[i].expiresAt == h[j].expiresAt && h[i].acceptOrder < h[j].acceptOrder
}
func (h byExpiry) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].listIndex, h[j].listIndex = i, j }
func (h *byExpiry) Push(x any)   { n := x.(*notice); n.listIndex = len(*h); *h = append(*h, n) }
func (h *byExpiry) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}

// connectionStats counts calls and those of them that were lost; recordConnection defines which were.
type connectionStats struct{ calls, lost decayingSum }

// kind is a kind of destination with statistics of the calls to all destinations of this kind.
type kind struct {
	Kind
	connections          connectionStats // lost: refused connections only
	waitTotal, waitCount decayingSum     // of requested waits
}

// Sender holds the state of one sender and takes its decisions.
type Sender struct {
	settings                            Settings
	randomState                         uint64
	now                                 Millis
	turnNumber                          uint64 // of the present call of Decide
	actions                             []Action
	notices                             map[NoticeID]*notice
	heldCount                           int     // notices that have not ended
	usedSpace                           float64 // share of this sender's space that they take
	acceptedCount                       uint64
	waitingDestinations                 []*destination // those with waiting notices
	active                              []*route       // see activeRoutes
	changedRoutes                       []*route       // whose state may have to be reported in this turn
	routesCreated                       uint64
	destinations                        map[DestinationID]*destination
	routes                              []*route
	receivers                           map[ReceiverID]*receiver
	keys                                map[KeyID]*keyQueue
	unconfirmed                         map[NoticeID]*notice // ended notices still in their key's queue
	portfolioNotices                    []decayingSum
	kinds                               []*kind
	grades                              []*grade
	maxTokens                           float64 // of a receiver
	slotsInUse                          int
	delays                              decayingMean
	meanDelay                           Millis  // of recent responses from all receivers
	maxSuspectSlots                     int     // slots that all suspect routes may use together
	suspectSlots                        int     // slots in use at routes that are suspect
	shortageUntil                       Millis  // until then nothing is sent, because of a local shortage
	shortagePause                       Millis  // length of the last such pause
	newCalls                            []*call // begun in this turn
	furtherTrips, succeededFurtherTrips decayingSum
	idleConnections, busyConnections    connectionStats
	timerAt                             Millis
	watchListAt                         Millis
	cleanUpAt                           Millis
	listVerification                    listVerification
}

// newSender returns a sender with empty state.
func newSender(seed uint64, settings Settings) *Sender {
	s := &Sender{
		settings:         settings,
		randomState:      seed,
		notices:          map[NoticeID]*notice{},
		destinations:     map[DestinationID]*destination{},
		receivers:        map[ReceiverID]*receiver{},
		keys:             map[KeyID]*keyQueue{},
		unconfirmed:      map[NoticeID]*notice{},
		portfolioNotices: make([]decayingSum, len(settings.Quotas)),
		timerAt:          never,
		watchListAt:      never,
	}
	for _, g := range settings.Grades {
		s.grades = append(s.grades, &grade{Grade: g})
	}
	for _, k := range settings.Kinds {
		s.kinds = append(s.kinds, &kind{Kind: k})
	}
	return s
}

// random returns the next number of a permuted congruential generator, at least 0 and below 1.
func (s *Sender) random() float64 {
	old := s.randomState
	s.randomState = old*6364136223846793005 + 1442695040888963407
	x := uint32(((old >> 18) ^ old) >> 27)
	r := uint32(old >> 59)
	return float64(x>>r|x<<(-r&31)) / (1 << 32)
}

// destination returns the state of a destination, which is created at the first mention of its id.
func (s *Sender) destination(id DestinationID) *destination {
	d := s.destinations[id]
	if d == nil {
		d = &destination{id: id, kind: &kind{Kind: Kind{PerCall: 1}}}
		s.destinations[id] = d
	}
	return d
}

// addReceiver creates a receiver, with a route of its own or on the route of its destination.
func (s *Sender) addReceiver(entry Entry, initialWindow float64) *receiver {
	d := s.destination(entry.Destination)
	if int(entry.Kind) < len(s.kinds) {
		d.kind = s.kinds[entry.Kind]
	}
	if len(d.routes) == 0 || d.kind.SeparateRoutes {
		s.routesCreated++
		created := &route{id: entry.Receiver, destination: d, state: closed, delayWindow: initialWindow,
			limitShare: 1, outageSince: never, recoveredAt: -never,
			saved:         savedState{outageSince: never, recoveredAt: -never},
			creationOrder: s.routesCreated, createdAt: s.now}
		d.routes = append(d.routes, created)
		s.routes = append(s.routes, created)
	}
	rc := &receiver{id: entry.Receiver, zone: entry.Zone, tokens: s.maxTokens, tokensUpdatedAt: s.now,
		tieBreak: s.random(), failuresByGrade: map[*grade]*decayingSum{}}
	if d.kind.SeparateRoutes && int(entry.Zone) < len(s.settings.ZoneFees) {
		rc.fee = s.settings.ZoneFees[entry.Zone]
	}
	if !slices.Contains(d.zones, entry.Zone) {
		d.zones = append(d.zones, entry.Zone)
	}
	rc.route = d.routes[len(d.routes)-1]
	rc.route.receivers = append(rc.route.receivers, rc)
	s.receivers[entry.Receiver] = rc
	return rc
}

// holdNotice adds an accepted notice to the hold.
func (s *Sender) holdNotice(n *notice) {
	s.acceptedCount++
	n.acceptOrder = s.acceptedCount
	s.notices[n.id] = n
	s.heldCount++
	s.usedSpace += n.spaceShare
	n.destination.heldNotices++
	s.enqueue(n)
}

// enqueue adds a notice without a call to the waiting notices of its destination.
func (s *Sender) enqueue(n *notice) {
	d := n.destination
	if len(d.waiting) == 0 {
		d.waitingIndex = len(s.waitingDestinations)
		s.waitingDestinations = append(s.waitingDestinations, d)
	}
	n.waiting, n.waitingIndex = true, len(d.waiting)
	d.waiting = append(d.waiting, n)
	s.addToList(n)
}

// addToList adds a waiting notice to the unrestricted or the restricted notices of its destination.
func (s *Sender) addToList(n *notice) {
	d := n.destination
	if n.unrestricted = s.isUnrestricted(n); n.unrestricted {
		heap.Push(&d.unrestricted, n)
		return
	}
	n.listIndex = len(d.restricted)
	d.restricted = append(d.restricted, n)
}

// dequeue removes a notice from the waiting notices of its destination.
func (s *Sender) dequeue(n *notice) {
	if !n.waiting {
		return
	}
	n.waiting = false
	d := n.destination
	last := d.waiting[len(d.waiting)-1]
	d.waiting[n.waitingIndex], last.waitingIndex = last, n.waitingIndex
	d.waiting = dropLast(d.waiting)
	s.removeFromList(n)
	if len(d.waiting) == 0 {
		last := s.waitingDestinations[len(s.waitingDestinations)-1]
		s.waitingDestinations[d.waitingIndex], last.waitingIndex = last, d.waitingIndex
		s.waitingDestinations = dropLast(s.waitingDestinations)
	}
}

// removeFromList is the reverse of addToList.
func (s *Sender) removeFromList(n *notice) {
	d := n.destination
	switch {
	case n.listIndex < 0: // popUnrestricted has removed it
	case n.unrestricted:
		heap.Remove(&d.unrestricted, n.listIndex)
	default:
		last := d.restricted[len(d.restricted)-1]
		d.restricted[n.listIndex], last.listIndex = last, n.listIndex
		d.restricted = dropLast(d.restricted)
	}
	n.listIndex = -1
}

// dropLast removes the last element of a list. It returns nil for an empty list, so that its memory is freed.
func dropLast[T any](list []*T) []*T {
	list[len(list)-1] = nil
	if len(list) == 1 {
		return nil
	}
	return list[:len(list)-1]
}

// popUnrestricted removes and returns the unrestricted notice that expires first.
func (d *destination) popUnrestricted() *notice {
	n := heap.Pop(&d.unrestricted).(*notice)
	n.listIndex = -1
	return n
}

// moveToUnrestricted moves the restricted notices that may now be sent at any time to the unrestricted ones.
func (s *Sender) moveToUnrestricted(d *destination) {
	for i := 0; i < len(d.restricted); i++ {
		if n := d.restricted[i]; s.isUnrestricted(n) {
			s.removeFromList(n)
			s.addToList(n)
			i--
		}
	}
}

// isUnrestricted reports whether a waiting notice belongs into destination.unrestricted.
func (s *Sender) isUnrestricted(n *notice) bool {
	return n.key == 0 && !n.mayHaveRun && s.delayedUntil(n) <= s.now && n.trips < s.settings.TripLimit
}

// activate adds a route to those that are visited in each turn.
func (s *Sender) activate(r *route) {
	if r.active {
		return
	}
	r.active = true
	at, _ := slices.BinarySearchFunc(s.active, r, func(a, b *route) int {
		return int(a.creationOrder) - int(b.creationOrder)
	})
	s.active = slices.Insert(s.active, at, r)
}

// activeRoutes returns the routes that have outstanding calls or a breaker that is not closed, in the order
// of their creation. It drops the others from Sender.active.
func (s *Sender) activeRoutes() []*route {
	s.active = slices.DeleteFunc(s.active, func(r *route) bool {
		r.active = !r.removed && (r.state != closed || len(r.outstanding) > 0)
		if !r.active {
			r.overdueTotal = 0
		}
		return !r.active
	})
	return s.active
}

// releaseNotice ends a notice and frees what it takes. While its call is outstanding, the notice keeps its
// place in the queue of its key.
func (s *Sender) releaseNotice(n *notice) {
	if !n.ended {
		n.ended = true
		s.heldCount--
		if s.usedSpace -= n.spaceShare; s.heldCount == 0 {
			s.usedSpace = 0 // drops rounding errors
		}
	}
	if n.currentCall != nil {
		return
	}
	s.dequeue(n)
	delete(s.notices, n.id)
	n.destination.heldNotices--
	s.releaseDestination(n.destination)
	s.leaveKeyQueue(n)
}

// leaveKeyQueue removes an ended notice from the queue of its key, which lets the next one be sent. While the
// outcome of its last trip is unconfirmed, the notice stays in the queue.
func (s *Sender) leaveKeyQueue(n *notice) {
	queue := s.keys[n.key]
	if queue == nil {
		return
	}
	if n.unconfirmed {
		s.unconfirmed[n.id] = n
		return
	}
	delete(s.unconfirmed, n.id)
	queue.notices = slices.DeleteFunc(queue.notices, func(o *notice) bool { return o == n })
	if len(queue.notices) == 0 && queue.cooldownUntil <= s.now {
		delete(s.keys, n.key)
	}
}

// releaseDestination deletes a destination that has neither routes nor held notices.
func (s *Sender) releaseDestination(d *destination) {
	if d.heldNotices == 0 && len(d.routes) == 0 {
		delete(s.destinations, d.id)
	}
}

// cleanUp deletes state that is no longer needed, so that the memory of a long-running sender does not grow:
// receivers that are gone from the list and have neither an outstanding call nor a requested wait, keys
// without notices or a cooldown, and routes without receivers. The last route of a destination is kept while
// the destination has held notices, a wait, an outage that is remembered, or had a receiver within the breaker's
// statistics window: so its state survives when all its receivers are replaced. A receiver that is a route of
// its own is kept while an outage of it is remembered.
func (s *Sender) cleanUp() {
	if s.now < s.cleanUpAt {
		return
	}
	s.cleanUpAt = s.now + s.settings.OverloadTime
	var shrunk []*destination // with removed routes
	s.routes = slices.DeleteFunc(s.routes, func(r *route) bool {
		if r.saved.recoveredAt != -never && !s.warmingUp(r) {
			s.noteStateChange(r)
		}
		r.receivers = slices.DeleteFunc(r.receivers, func(rc *receiver) bool {
			if rc.status != Gone || s.now < r.requestedWaitUntil ||
				r.destination.kind.SeparateRoutes && s.remembersOutage(r) ||
				slices.ContainsFunc(r.outstanding, func(c *call) bool { return c.receiver == rc }) {
				return false
			}
			delete(s.receivers, rc.id)
			return true
		})
		d := r.destination
		switch {
		case len(r.receivers) > 0:
			r.lastListedAt = s.now
			return false
		case len(d.routes)-d.removedRoutes == 1 && (d.heldNotices > 0 || s.remembersOutage(r) ||
			s.now < max(r.lastListedAt+statisticsWindow, r.waitUntil)):
			return false
		}
		s.reportForgottenRoute(r)
		r.removed = true
		if d.removedRoutes++; d.removedRoutes == 1 {
			shrunk = append(shrunk, d)
		}
		return true
	})
	for _, d := range shrunk {
		d.removedRoutes = 0
		d.routes = slices.DeleteFunc(d.routes, func(r *route) bool { return r.removed })
		s.releaseDestination(d)
	}
	for id, queue := range s.keys {
		if len(queue.notices) == 0 && queue.cooldownUntil <= s.now {
			delete(s.keys, id)
		}
	}
}

// creditAt returns the credit that a notice earns if it is handled at a given time.
func (s *Sender) creditAt(n *notice, at Millis) float64 {
	switch lateness := float64((at - n.quotedUntil) / (n.expiresAt - n.quotedUntil)); {
	case at >= n.expiresAt:
		return 0
	case at <= n.quotedUntil:
		return n.credit
	case s.settings.LateCreditHalves:
		quotedTimes := float64((at - n.quotedUntil) / n.grade.QuotedTime)
		return n.credit * max(n.grade.LateShare, math.Exp2(-quotedTimes))
	default:
		return n.credit * (1 - (1-n.grade.LateShare)*lateness)
	}
}

// slidingWindow holds the call outcomes that the breaker counts, oldest first.
type slidingWindow struct {
	outcomes []callOutcome
	failures int
}

func (w *slidingWindow) add(o callOutcome) {
	w.outcomes = append(w.outcomes, o)
	if o.failed {
		w.failures++
	}
}

// countSince returns the number of calls and of failures since a time, and drops older outcomes.
func (w *slidingWindow) countSince(since Millis) (calls, failures int) {
	expired := 0
	for expired < len(w.outcomes) && w.outcomes[expired].recordedAt < since {
		if w.outcomes[expired].failed {
			w.failures--
		}
		expired++
	}
	w.outcomes = w.outcomes[expired:]
	return len(w.outcomes), w.failures
}
