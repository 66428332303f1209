package rules

import (
	"container/heap"
	"math"
	"slices"
)

// What a sender remembers, the two tools that it keeps it with, and what the settings make a notice worth. Nothing
// is decided here.

type breakerState string

const (
	closed   breakerState = "closed"
	open     breakerState = "open"
	halfOpen breakerState = "half-open"
)

// sum is a decaying sum, brought up to date when it is read.
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

// delays is how long answers take, the older the less each counts.
type decayingMean struct{ total, count decayingSum }

// add counts one more and returns the mean.
func (d *decayingMean) add(now, timeConstant, delay Millis) Millis {
	d.total.add(now, timeConstant, float64(delay))
	d.count.add(now, timeConstant, 1)
	return Millis(d.total.value / d.count.value)
}

type callOutcome struct {
	recordedAt Millis
	failed     bool
}

// call is one trip to a receiver, with all the notices that travel on it.
type call struct {
	receiver                   *receiver
	sentAt, overdueAfter       Millis // patience: when out for so long, it is overdue
	notices                    []*notice
	pendingOutcomes            int // riders without an outcome yet
	recorded, trial, cancelled bool
	onIdleConnection           bool // went out on a connection that may have been idle
	timeoutShortened           bool // its time-out was cut short by the client timeout
}

type receiver struct {
	id              ReceiverID
	route           *route
	zone            ZoneID
	status          Standing
	fee             float64
	tokens          float64
	tokensUpdatedAt Millis
	lastResponseAt  Millis
	recentCalls     decayingSum             // calls
	tieBreak        float64                 // drawn once: which of equal receivers this sender prefers
	failuresByGrade map[*grade]*decayingSum // failures of a service grade here since its last success
}

// failed is what trips of a grade have failed here since its last success.
func (rc *receiver) gradeFailures(g *grade) *decayingSum {
	if rc.failuresByGrade[g] == nil {
		rc.failuresByGrade[g] = &decayingSum{}
	}
	return rc.failuresByGrade[g]
}

// route is what has a breaker, a delay window, a wait and a pace of its own: a destination, or where a
// destination's receivers are separate routes, one of these.
type route struct {
	id          ReceiverID // of its first receiver
	destination *destination
	receivers   []*receiver
	outstanding []*call

	state                                breakerState
	outcomes                             slidingWindow
	halfOpenAt                           Millis
	succeededTrials, consecutiveFailures int     // trials succeeded; failures since the last success
	overdueTotal                         float64 // how overdue its calls are together, in patiences
	delays                               decayingMean
	meanDelay, bestDelay, lastResponseAt Millis
	delayWindow                          float64
	waitUntil, backoff                   Millis
	requestedWaitUntil                   Millis  // until when it has told to wait: no more than waitUntil
	limitRate, limitRemaining            float64 // as told, a millisecond, and the share that is left
	listedRate                           float64 // as listed, a millisecond
	limitShare                           float64 // of the limit, that this sender may use
	lastReducedAt                        Millis
	recentHandled, recentFailed          decayingSum
	handledCalls                         decayingSum // calls handled, over the statistics window
	maxRateBeforeOutage                  float64     // a millisecond, as the present or last outage began, and no less than it may have been
	outageSince, lastOutageSignAt        Millis      // first and last sign of an outage with no success of a later call
	recoveredAt, outageDuration          Millis      // the end of the last outage, as far as seen, and its length
	pacingStart                          Millis
	down, outageConfirmed                bool    // an outage is sure and goes on
	pacingPhase                          float64 // part of the span between calls until the next one
	lastListedAt, createdAt              Millis  // when it had a receiver last, and its first
	creationOrder                        uint64  // of its making
	active, removed                      bool    // stirs: it is among those with something to look after
}

type destination struct {
	id           DestinationID
	kind         *kind
	heldNotices  int      // notices of its own that are not over
	noReuseUntil Millis   // its receivers sent more than they were asked for: until then no connection is used again
	zones        []ZoneID // in which receivers of it were ever listed

	waiting      []*notice // held and not out, in no order
	unrestricted byExpiry  // of these, those that no earlier trip, rest or key holds back: the first to end in front
	restricted   []*notice // and the others
	waitingIndex int       // among the destinations that have some waiting

	fullInTurn             uint64 // the turn in which it takes no more
	examinedInTurn         uint64 // the turn in which the rest was found out
	availableAt            Millis
	unrestrictedSendableAt Millis // opensAt of its plain notices
	listed, accepting      bool
	routes                 []*route
}

// keyLine holds the notices of one key in the order in which they were taken.
type keyQueue struct {
	notices       []*notice
	cooldownUntil Millis
}

// grade is a service grade with the credit that its notices asked for and earned, and its weight.
type grade struct {
	Grade
	requestedCredit, earnedCredit decayingSum
	weight                        float64
}

type notice struct {
	id                                NoticeID
	grade                             *grade
	destination                       *destination
	key                               KeyID
	credit, urgency, spaceShare       float64
	quotedUntil, expiresAt, notBefore Millis
	surelyInTimeUntil                 Millis // what is heard by then came before until, however late the notice was read
	trips, possibleRuns               int    // and those that may have run
	currentCall                       *call
	mayHaveRun, zoneUnknown           bool
	firstRunAt                        Millis // the first trip that may have run
	runZone                           ZoneID
	ended                             bool
	unconfirmed                       bool   // the outcome of its last trip may be doubted yet
	unconfirmedUntil                  Millis // its last trip may turn out to have run
	sendableAt                        Millis // as found out in this turn
	acceptOrder                       uint64 // in which it was taken
	waiting, unrestricted             bool   // it is in its destination's lists
	waitingIndex, listIndex           int    // where there: in waiting, and in plain or special
}

// byUntil is a heap of notices by their client timeout.
type byExpiry []*notice

func (h byExpiry) Len() int { return len(h) }
func (h byExpiry) Less(i, j int) bool {
	return h[i].expiresAt < h[j].expiresAt || h[i].expiresAt == h[j].expiresAt && h[i].acceptOrder < h[j].acceptOrder
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

// connections counts calls, and those that broke or were swallowed.
type connectionStats struct{ calls, lost decayingSum }

// kind is a kind of destination with the calls made to it, and those that found no connection.
type kind struct {
	Kind
	connections          connectionStats
	waitTotal, waitCount decayingSum
}

// Sender decides for one sender.
type Sender struct {
	settings                            Settings
	randomState                         uint64
	now                                 Millis
	turnNumber                          uint64
	actions                             []Action
	notices                             map[NoticeID]*notice
	heldCount                           int            // notices that are not over
	usedSpace                           float64        // by them, of the room at this sender
	acceptedCount                       uint64         // notices so far
	waitingDestinations                 []*destination // with notices that wait
	active                              []*route       // with calls out or a breaker that is not closed, by order
	routesCreated                       uint64
	destinations                        map[DestinationID]*destination
	routes                              []*route
	receivers                           map[ReceiverID]*receiver
	keys                                map[KeyID]*keyQueue
	unconfirmed                         map[NoticeID]*notice // over, and still in the lines of their keys
	portfolioNotices                    []decayingSum
	kinds                               []*kind
	grades                              []*grade
	maxTokens                           float64 // of a receiver, at most
	slotsInUse                          int
	delays                              decayingMean
	meanDelay                           Millis      // mean delay of all recent answers
	maxSuspectSlots                     int         // slots that all doubtful routes may hold together
	suspectSlots                        int         // calls out at routes that were doubtful as the turn began, and those sent to such since
	shortageUntil                       Millis      // nothing is sent, for a shortage of this sender's own
	shortagePause                       Millis      // the last such pause
	newCalls                            []*call     // calls begun in this turn
	furtherTrips, succeededFurtherTrips decayingSum // further trips and those that succeeded
	idleConnections, busyConnections    connectionStats
	timerAt                             Millis
	watchListAt                         Millis
	cleanUpAt                           Millis
}

// remember makes a sender with an empty memory.
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

// random is a permuted congruential generator's next number, from 0 to below 1.
func (s *Sender) random() float64 {
	old := s.randomState
	s.randomState = old*6364136223846793005 + 1442695040888963407
	x := uint32(((old >> 18) ^ old) >> 27)
	r := uint32(old >> 59)
	return float64(x>>r|x<<(-r&31)) / (1 << 32)
}

// destination is what is remembered of a destination, from the first mention on.
func (s *Sender) destination(id DestinationID) *destination {
	d := s.destinations[id]
	if d == nil {
		d = &destination{id: id, kind: &kind{Kind: Kind{PerCall: 1}}}
		s.destinations[id] = d
	}
	return d
}

// place makes room for a new receiver: a route of its own, or a place on its destination's.
func (s *Sender) addReceiver(entry Entry, initialWindow float64) *receiver {
	d := s.destination(entry.Destination)
	if int(entry.Kind) < len(s.kinds) {
		d.kind = s.kinds[entry.Kind]
	}
	if len(d.routes) == 0 || d.kind.Apart {
		s.routesCreated++
		created := &route{id: entry.Receiver, destination: d, state: closed, delayWindow: initialWindow, limitShare: 1,
			outageSince: never, recoveredAt: -never, creationOrder: s.routesCreated, createdAt: s.now}
		d.routes = append(d.routes, created)
		s.routes = append(s.routes, created)
	}
	rc := &receiver{id: entry.Receiver, zone: entry.Zone, tokens: s.maxTokens, tokensUpdatedAt: s.now, tieBreak: s.random(),
		failuresByGrade: map[*grade]*decayingSum{}}
	if d.kind.Apart && int(entry.Zone) < len(s.settings.ZoneFees) {
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

// hold begins to remember a notice.
func (s *Sender) holdNotice(n *notice) {
	s.acceptedCount++
	n.acceptOrder = s.acceptedCount
	s.notices[n.id] = n
	s.heldCount++
	s.usedSpace += n.spaceShare
	n.destination.heldNotices++
	s.enqueue(n)
}

// wait puts a notice that has no trip out among those that wait for its destination.
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

// sort puts a waiting notice among the plain or the special ones.
func (s *Sender) addToList(n *notice) {
	d := n.destination
	if n.unrestricted = n.key == 0 && !n.mayHaveRun && n.notBefore <= s.now && n.trips < s.settings.TripLimit; n.unrestricted {
		heap.Push(&d.unrestricted, n)
		return
	}
	n.listIndex = len(d.restricted)
	d.restricted = append(d.restricted, n)
}

// leave takes a notice away from those that wait.
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

func (s *Sender) removeFromList(n *notice) {
	d := n.destination
	switch {
	case n.listIndex < 0: // nextPlain has taken it out
	case n.unrestricted:
		heap.Remove(&d.unrestricted, n.listIndex)
	default:
		last := d.restricted[len(d.restricted)-1]
		d.restricted[n.listIndex], last.listIndex = last, n.listIndex
		d.restricted = dropLast(d.restricted)
	}
	n.listIndex = -1
}

// trim drops the last of a list, and the list with its last.
func dropLast[T any](list []*T) []*T {
	list[len(list)-1] = nil
	if len(list) == 1 {
		return nil
	}
	return list[:len(list)-1]
}

// nextPlain takes out the plain notice that ends first.
func (d *destination) popUnrestricted() *notice {
	n := heap.Pop(&d.unrestricted).(*notice)
	n.listIndex = -1
	return n
}

// rested moves notices whose rest is over among the plain ones.
func (s *Sender) moveToUnrestricted(d *destination) {
	for i := 0; i < len(d.restricted); i++ {
		if n := d.restricted[i]; n.key == 0 && !n.mayHaveRun && n.notBefore <= s.now && n.trips < s.settings.TripLimit {
			s.removeFromList(n)
			s.addToList(n)
			i--
		}
	}
}

// stir notes that a route has something to look after each turn.
func (s *Sender) activate(r *route) {
	if r.active {
		return
	}
	r.active = true
	at, _ := slices.BinarySearchFunc(s.active, r, func(a, b *route) int { return int(a.creationOrder) - int(b.creationOrder) })
	s.active = slices.Insert(s.active, at, r)
}

// stirring is the routes with calls out or a breaker that is not closed, in the order of their making.
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

// forget lets go of a notice that is over; while its trip is out, it keeps its place in the key's line.
func (s *Sender) releaseNotice(n *notice) {
	if !n.ended {
		n.ended = true
		s.heldCount--
		if s.usedSpace -= n.spaceShare; s.heldCount == 0 {
			s.usedSpace = 0 // what rounding left
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

// leaveLine lets the next notice of a key go, once what the last trip of this one came to is sure.
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

// release forgets a destination of which nothing is listed or held.
func (s *Sender) releaseDestination(d *destination) {
	if d.heldNotices == 0 && len(d.routes) == 0 {
		delete(s.destinations, d.id)
	}
}

// tidy forgets what is gone, so that a sender that runs for long holds no more than one just started: receivers
// without a call out, keys without notices or a rest, and routes that had no receiver while the breaker's window
// passed. A destination's last route outlives a change of all its receivers.
func (s *Sender) cleanUp() {
	if s.now < s.cleanUpAt {
		return
	}
	s.cleanUpAt = s.now + s.settings.Fall
	s.routes = slices.DeleteFunc(s.routes, func(r *route) bool {
		r.receivers = slices.DeleteFunc(r.receivers, func(rc *receiver) bool {
			if rc.status != Gone || s.now < rc.route.requestedWaitUntil || slices.ContainsFunc(r.outstanding, func(c *call) bool { return c.receiver == rc }) {
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
		case len(d.routes) == 1 && (d.heldNotices > 0 || s.now < max(r.lastListedAt+statisticsWindow, r.waitUntil)):
			return false
		}
		d.routes = slices.DeleteFunc(d.routes, func(o *route) bool { return o == r })
		r.removed = true
		s.releaseDestination(d)
		return true
	})
	for id, queue := range s.keys {
		if len(queue.notices) == 0 && queue.cooldownUntil <= s.now {
			delete(s.keys, id)
		}
	}
}

// worth is the credit that a notice earns when it is handled at a time.
func (s *Sender) creditAt(n *notice, at Millis) float64 {
	switch lateness := float64((at - n.quotedUntil) / (n.expiresAt - n.quotedUntil)); {
	case at >= n.expiresAt:
		return 0
	case at <= n.quotedUntil:
		return n.credit
	case s.settings.HalvesLate:
		quotedTimes := float64((at - n.quotedUntil) / n.grade.QuotedTime)
		return n.credit * max(n.grade.LateShare, math.Exp2(-quotedTimes))
	default:
		return n.credit * (1 - (1-n.grade.LateShare)*lateness)
	}
}

// window is the outcomes of a sliding window, oldest first.
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

// tally counts the outcomes since a time, and forgets those before.
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
