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
type sum struct {
	value float64
	at    Millis
}

func (d *sum) read(now, span Millis) float64 {
	d.value *= math.Exp(-float64((now - d.at) / span))
	d.at = now
	return d.value
}

func (d *sum) add(now, span Millis, x float64) { d.value = d.read(now, span) + x }

// delays is how long answers take, the older the less each counts.
type delays struct{ spent, answers sum }

// add counts one more and returns the mean.
func (d *delays) add(now, span, spent Millis) Millis {
	d.spent.add(now, span, float64(spent))
	d.answers.add(now, span, 1)
	return Millis(d.spent.value / d.answers.value)
}

type outcome struct {
	at     Millis
	failed bool
}

// call is one trip to a receiver, with all the notices that travel on it.
type call struct {
	receiver           *receiver
	sentAt, patience   Millis // patience: when out for so long, it is overdue
	riders             []*notice
	waiting            int // riders without an outcome yet
	judged, trial, off bool
	idle               bool // went out on a connection that may have been idle
	curbed             bool // its time-out was cut short by the client timeout
}

type receiver struct {
	id         ReceiverID
	route      *route
	zone       ZoneID
	standing   Standing
	fee        float64
	credits    float64
	creditAt   Millis
	answeredAt Millis
	used       sum             // calls
	lot        float64         // drawn once: which of equal receivers this sender prefers
	failures   map[*grade]*sum // failures of a service grade here since its last success
}

// failed is what trips of a grade have failed here since its last success.
func (rc *receiver) failed(g *grade) *sum {
	if rc.failures[g] == nil {
		rc.failures[g] = &sum{}
	}
	return rc.failures[g]
}

// route is what has a breaker, a delay window, a wait and a pace of its own: a destination, or where a
// destination's receivers are separate routes, one of these.
type route struct {
	id          ReceiverID // of its first receiver
	destination *destination
	receivers   []*receiver
	out         []*call

	state                  breakerState
	outcomes               window
	reopenAt               Millis
	proved, run            int     // trials succeeded; failures since the last success
	owed                   float64 // how overdue its calls are together, in patiences
	delays                 delays
	mean, best, answeredAt Millis
	window                 float64
	waitUntil, backoff     Millis
	toldUntil              Millis  // until when it has told to wait: no more than waitUntil
	limitRate, limitLeft   float64 // as told, a millisecond, and the share that is left
	listedRate             float64 // as listed, a millisecond
	share                  float64 // of the limit, that this sender may use
	yieldedAt              Millis
	handled, failed        sum
	served                 sum     // calls handled, over the statistics window
	servedRate             float64 // a millisecond, as the present or last outage began, and no less than it may have been
	badSince, badAt        Millis  // first and last sign of an outage with no success of a later call
	returnedAt, downFor    Millis  // the end of the last outage, as far as seen, and its length
	pacedFrom              Millis
	down, sure             bool    // an outage is sure and goes on
	phase                  float64 // part of the span between calls until the next one
	listedAt, madeAt       Millis  // when it had a receiver last, and its first
	order                  uint64  // of its making
	stirs, gone            bool    // stirs: it is among those with something to look after
}

type destination struct {
	id           DestinationID
	kind         *kind
	held         int      // notices of its own that are not over
	surplusUntil Millis   // its receivers sent more than they were asked for: until then no connection is used again
	zones        []ZoneID // in which receivers of it were ever listed

	waiting []*notice // held and not out, in no order
	plain   byUntil   // of these, those that no earlier trip, rest or key holds back: the first to end in front
	special []*notice // and the others
	place   int       // among the destinations that have some waiting

	fullAt        uint64 // the turn in which it takes no more
	lookedAt      uint64 // the turn in which the rest was found out
	opensAt       Millis
	plainAt       Millis // opensAt of its plain notices
	listed, takes bool
	routes        []*route
}

// keyLine holds the notices of one key in the order in which they were taken.
type keyLine struct {
	line      []*notice
	restUntil Millis
}

// grade is a service grade with the credit that its notices asked for and earned, and its weight.
type grade struct {
	Grade
	asked, earned sum
	weight        float64
}

type notice struct {
	id                         NoticeID
	grade                      *grade
	destination                *destination
	key                        KeyID
	credit, urgency, room      float64
	quotedAt, until, restUntil Millis
	surelyUntil                Millis // what is heard by then came before until, however late the notice was read
	trips, ran                 int    // and those that may have run
	out                        *call
	mayHaveRun, zoneUnknown    bool
	ranAt                      Millis // the first trip that may have run
	ranZone                    ZoneID
	over                       bool
	unconfirmed                bool   // the outcome of its last trip may be doubted yet
	unconfirmedUntil           Millis // its last trip may turn out to have run
	opens                      Millis // as found out in this turn
	order                      uint64 // in which it was taken
	waits, isPlain             bool   // it is in its destination's lists
	place, among               int    // where there: in waiting, and in plain or special
}

// byUntil is a heap of notices by their client timeout.
type byUntil []*notice

func (h byUntil) Len() int { return len(h) }
func (h byUntil) Less(i, j int) bool {
	return h[i].until < h[j].until || h[i].until == h[j].until && h[i].order < h[j].order
}
func (h byUntil) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].among, h[j].among = i, j }
func (h *byUntil) Push(x any)   { n := x.(*notice); n.among = len(*h); *h = append(*h, n) }
func (h *byUntil) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}

// connections counts calls, and those that broke or were swallowed.
type connections struct{ calls, broke sum }

// kind is a kind of destination with the calls made to it, and those that found no connection.
type kind struct {
	Kind
	made        connections
	waits, told sum
}

// Sender decides for one sender.
type Sender struct {
	settings     Settings
	chance       uint64
	now          Millis
	turns        uint64
	actions      []Action
	notices      map[NoticeID]*notice
	held         int            // notices that are not over
	roomTaken    float64        // by them, of the room at this sender
	taken        uint64         // notices so far
	waiting      []*destination // with notices that wait
	stirred      []*route       // with calls out or a breaker that is not closed, by order
	routesMade   uint64
	destinations map[DestinationID]*destination
	routes       []*route
	receivers    map[ReceiverID]*receiver
	keys         map[KeyID]*keyLine
	unconfirmed  map[NoticeID]*notice // over, and still in the lines of their keys
	portfolios   []sum
	kinds        []*kind
	grades       []*grade
	credits      float64 // of a receiver, at most
	slotsOut     int
	delays       delays
	usual        Millis  // mean delay of all recent answers
	doubted      int     // slots that all doubtful routes may hold together
	doubtOut     int     // calls out at routes that were doubtful as the turn began, and those sent to such since
	shortUntil   Millis  // nothing is sent, for a shortage of this sender's own
	shortFor     Millis  // the last such pause
	fresh        []*call // calls begun in this turn
	further, won sum     // further trips and those that succeeded
	idle, busy   connections
	timerAt      Millis
	watchAt      Millis
	tidyAt       Millis
}

// remember makes a sender with an empty memory.
func remember(seed uint64, settings Settings) *Sender {
	s := &Sender{
		settings:     settings,
		chance:       seed,
		notices:      map[NoticeID]*notice{},
		destinations: map[DestinationID]*destination{},
		receivers:    map[ReceiverID]*receiver{},
		keys:         map[KeyID]*keyLine{},
		unconfirmed:  map[NoticeID]*notice{},
		portfolios:   make([]sum, len(settings.Quotas)),
		timerAt:      never,
		watchAt:      never,
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
	old := s.chance
	s.chance = old*6364136223846793005 + 1442695040888963407
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
func (s *Sender) place(entry Entry, window float64) *receiver {
	d := s.destination(entry.Destination)
	if int(entry.Kind) < len(s.kinds) {
		d.kind = s.kinds[entry.Kind]
	}
	if len(d.routes) == 0 || d.kind.Apart {
		s.routesMade++
		fresh := &route{id: entry.Receiver, destination: d, state: closed, window: window, share: 1,
			badSince: never, returnedAt: -never, order: s.routesMade, madeAt: s.now}
		d.routes = append(d.routes, fresh)
		s.routes = append(s.routes, fresh)
	}
	rc := &receiver{id: entry.Receiver, zone: entry.Zone, credits: s.credits, creditAt: s.now, lot: s.random(),
		failures: map[*grade]*sum{}}
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
func (s *Sender) hold(n *notice) {
	s.taken++
	n.order = s.taken
	s.notices[n.id] = n
	s.held++
	s.roomTaken += n.room
	n.destination.held++
	s.wait(n)
}

// wait puts a notice that has no trip out among those that wait for its destination.
func (s *Sender) wait(n *notice) {
	d := n.destination
	if len(d.waiting) == 0 {
		d.place = len(s.waiting)
		s.waiting = append(s.waiting, d)
	}
	n.waits, n.place = true, len(d.waiting)
	d.waiting = append(d.waiting, n)
	s.sort(n)
}

// sort puts a waiting notice among the plain or the special ones.
func (s *Sender) sort(n *notice) {
	d := n.destination
	if n.isPlain = n.key == 0 && !n.mayHaveRun && n.restUntil <= s.now && n.trips < s.settings.TripLimit; n.isPlain {
		heap.Push(&d.plain, n)
		return
	}
	n.among = len(d.special)
	d.special = append(d.special, n)
}

// leave takes a notice away from those that wait.
func (s *Sender) leave(n *notice) {
	if !n.waits {
		return
	}
	n.waits = false
	d := n.destination
	last := d.waiting[len(d.waiting)-1]
	d.waiting[n.place], last.place = last, n.place
	d.waiting = trim(d.waiting)
	s.unsort(n)
	if len(d.waiting) == 0 {
		last := s.waiting[len(s.waiting)-1]
		s.waiting[d.place], last.place = last, d.place
		s.waiting = trim(s.waiting)
	}
}

func (s *Sender) unsort(n *notice) {
	d := n.destination
	switch {
	case n.among < 0: // nextPlain has taken it out
	case n.isPlain:
		heap.Remove(&d.plain, n.among)
	default:
		last := d.special[len(d.special)-1]
		d.special[n.among], last.among = last, n.among
		d.special = trim(d.special)
	}
	n.among = -1
}

// trim drops the last of a list, and the list with its last.
func trim[T any](list []*T) []*T {
	list[len(list)-1] = nil
	if len(list) == 1 {
		return nil
	}
	return list[:len(list)-1]
}

// nextPlain takes out the plain notice that ends first.
func (d *destination) nextPlain() *notice {
	n := heap.Pop(&d.plain).(*notice)
	n.among = -1
	return n
}

// rested moves notices whose rest is over among the plain ones.
func (s *Sender) rested(d *destination) {
	for i := 0; i < len(d.special); i++ {
		if n := d.special[i]; n.key == 0 && !n.mayHaveRun && n.restUntil <= s.now && n.trips < s.settings.TripLimit {
			s.unsort(n)
			s.sort(n)
			i--
		}
	}
}

// stir notes that a route has something to look after each turn.
func (s *Sender) stir(r *route) {
	if r.stirs {
		return
	}
	r.stirs = true
	at, _ := slices.BinarySearchFunc(s.stirred, r, func(a, b *route) int { return int(a.order) - int(b.order) })
	s.stirred = slices.Insert(s.stirred, at, r)
}

// stirring is the routes with calls out or a breaker that is not closed, in the order of their making.
func (s *Sender) stirring() []*route {
	s.stirred = slices.DeleteFunc(s.stirred, func(r *route) bool {
		r.stirs = !r.gone && (r.state != closed || len(r.out) > 0)
		if !r.stirs {
			r.owed = 0
		}
		return !r.stirs
	})
	return s.stirred
}

// forget lets go of a notice that is over; while its trip is out, it keeps its place in the key's line.
func (s *Sender) forget(n *notice) {
	if !n.over {
		n.over = true
		s.held--
		if s.roomTaken -= n.room; s.held == 0 {
			s.roomTaken = 0 // what rounding left
		}
	}
	if n.out != nil {
		return
	}
	s.leave(n)
	delete(s.notices, n.id)
	n.destination.held--
	s.release(n.destination)
	s.leaveLine(n)
}

// leaveLine lets the next notice of a key go, once what the last trip of this one came to is sure.
func (s *Sender) leaveLine(n *notice) {
	k := s.keys[n.key]
	if k == nil {
		return
	}
	if n.unconfirmed {
		s.unconfirmed[n.id] = n
		return
	}
	delete(s.unconfirmed, n.id)
	k.line = slices.DeleteFunc(k.line, func(o *notice) bool { return o == n })
	if len(k.line) == 0 && k.restUntil <= s.now {
		delete(s.keys, n.key)
	}
}

// release forgets a destination of which nothing is listed or held.
func (s *Sender) release(d *destination) {
	if d.held == 0 && len(d.routes) == 0 {
		delete(s.destinations, d.id)
	}
}

// tidy forgets what is gone, so that a sender that runs for long holds no more than one just started: receivers
// without a call out, keys without notices or a rest, and routes that had no receiver while the breaker's window
// passed. A destination's last route outlives a change of all its receivers.
func (s *Sender) tidy() {
	if s.now < s.tidyAt {
		return
	}
	s.tidyAt = s.now + s.settings.Fall
	s.routes = slices.DeleteFunc(s.routes, func(r *route) bool {
		r.receivers = slices.DeleteFunc(r.receivers, func(rc *receiver) bool {
			if rc.standing != Gone || s.now < rc.route.toldUntil || slices.ContainsFunc(r.out, func(c *call) bool { return c.receiver == rc }) {
				return false
			}
			delete(s.receivers, rc.id)
			return true
		})
		d := r.destination
		switch {
		case len(r.receivers) > 0:
			r.listedAt = s.now
			return false
		case len(d.routes) == 1 && (d.held > 0 || s.now < max(r.listedAt+statisticsWindow, r.waitUntil)):
			return false
		}
		d.routes = slices.DeleteFunc(d.routes, func(o *route) bool { return o == r })
		r.gone = true
		s.release(d)
		return true
	})
	for id, k := range s.keys {
		if len(k.line) == 0 && k.restUntil <= s.now {
			delete(s.keys, id)
		}
	}
}

// worth is the credit that a notice earns when it is handled at a time.
func (s *Sender) worth(n *notice, at Millis) float64 {
	switch late := float64((at - n.quotedAt) / (n.until - n.quotedAt)); {
	case at >= n.until:
		return 0
	case at <= n.quotedAt:
		return n.credit
	case s.settings.HalvesLate:
		quoted := float64((at - n.quotedAt) / n.grade.QuotedTime)
		return n.credit * max(n.grade.LateShare, math.Exp2(-quoted))
	default:
		return n.credit * (1 - (1-n.grade.LateShare)*late)
	}
}

// window is the outcomes of a sliding window, oldest first.
type window struct {
	outcomes []outcome
	failures int
}

func (w *window) add(o outcome) {
	w.outcomes = append(w.outcomes, o)
	if o.failed {
		w.failures++
	}
}

// tally counts the outcomes since a time, and forgets those before.
func (w *window) tally(since Millis) (calls, failures int) {
	gone := 0
	for gone < len(w.outcomes) && w.outcomes[gone].at < since {
		if w.outcomes[gone].failed {
			w.failures--
		}
		gone++
	}
	w.outcomes = w.outcomes[gone:]
	return len(w.outcomes), w.failures
}
