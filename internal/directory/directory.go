// Package directory watches the platform's receiver list and sends outcome reports to the platform.
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

// List is the platform's receiver list, either complete or only the changes since an earlier revision.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one receiver in a List.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
}

// statusByPhase maps the phases of Members to the statuses that the rules use.
var statusByPhase = map[string]rules.ReceiverStatus{"ready": rules.Ready, "draining": rules.Draining,
	"gone": rules.Gone}

// maxDecodedAtOnce is the size of a list, in bytes, up to which it is decoded on the goroutine of the loop.
const maxDecodedAtOnce = 16 << 10

// maxRetired is the number of removed receivers whose identities are remembered.
const maxRetired = 1024

// identity holds what never changes about a receiver: its number in the rules, and what the number stands for.
type identity struct {
	number      rules.ReceiverID
	destination rules.DestinationID
	kind        rules.KindID
	zone        rules.ZoneID
}

// Receivers maps the listed receivers to the numbers that the rules use. A number is never reused for another receiver.
// A receiver that is removed and listed again gets its old number, so that what is recorded about it stays valid; only
// the identities of maxRetired removed receivers are remembered for this.
type Receivers struct {
	names             settings.Names
	listed            map[string]identity          // by receiver ID
	retired           map[string]identity          // removed receivers, by receiver ID
	retiredOrder      []string                     // oldest first; may still contain IDs that are listed again
	knownDestinations map[rules.DestinationID]bool // ever listed: notices for them are held while they have no receiver
	removed           []rules.ReceiverID           // not yet returned by TakeRemoved
	lastNumber        rules.ReceiverID
	Addresses         map[rules.ReceiverID]string // of the listed receivers: host and port
	Zones             map[rules.ReceiverID]rules.ZoneID
	ids               map[rules.ReceiverID]string // of the listed and the retired receivers
}

// NewReceivers returns an empty Receivers.
func NewReceivers(names settings.Names) *Receivers {
	return &Receivers{names: names, listed: map[string]identity{}, retired: map[string]identity{},
		knownDestinations: map[rules.DestinationID]bool{},
		Addresses:         map[rules.ReceiverID]string{}, Zones: map[rules.ReceiverID]rules.ZoneID{},
		ids: map[rules.ReceiverID]string{}}
}

// ID returns the ID of a receiver that is listed or was removed lately, otherwise "".
func (r *Receivers) ID(number rules.ReceiverID) string { return r.ids[number] }

// Knows reports whether a destination has ever been listed.
func (r *Receivers) Knows(d rules.DestinationID) bool { return r.knownDestinations[d] }

// TakeRemoved returns the receivers removed from the list since the last call.
func (r *Receivers) TakeRemoved() []rules.ReceiverID {
	removed := r.removed
	r.removed = nil
	return removed
}

// Apply applies a list and returns it in the form that the rules use. Receivers that the list removes are removed from
// Addresses and Zones at once. A list with an invalid entry is not applied.
func (r *Receivers) Apply(list List) (rules.ListUpdated, error) {
	update := rules.ListUpdated{Complete: list.Complete}
	present := map[string]bool{}
	for _, member := range list.Members {
		status, known := statusByPhase[member.Phase]
		if !known || member.ID == "" || member.Cell < 0 || member.Cell > 1<<30 ||
			status != rules.Gone && member.HostPort == "" {
			return update, fmt.Errorf("entry %q is invalid: cell %d, phase %q, address %q",
				member.ID, member.Cell, member.Phase, member.HostPort)
		}
		present[member.ID] = status != rules.Gone
	}
	for id := range r.listed {
		if isPresent, named := present[id]; named && !isPresent || !named && list.Complete {
			r.remove(id, &update)
		}
	}
	slices.SortFunc(update.Entries, func(a, b rules.Entry) int { return cmp.Compare(a.Receiver, b.Receiver) })
	for _, member := range list.Members {
		if !present[member.ID] || statusByPhase[member.Phase] == rules.Gone {
			continue
		}
		known := r.identify(member, &update)
		r.Addresses[known.number], r.Zones[known.number], r.knownDestinations[known.destination] =
			member.HostPort, known.zone, true
		update.Entries = append(update.Entries, rules.Entry{Receiver: known.number, Destination: known.destination,
			Status: statusByPhase[member.Phase], Kind: known.kind, Zone: known.zone, ListedRate: member.Size})
	}
	return update, nil
}

// identify returns the identity of a listed receiver. If the ID now stands for another destination, kind or zone,
// it is another receiver and gets a new number.
func (r *Receivers) identify(member Member, update *rules.ListUpdated) identity {
	current := identity{destination: rules.DestinationID(member.Cell),
		kind: rules.KindID(settings.Index(r.names.Kinds, member.Flavor)),
		zone: rules.ZoneID(settings.Index(r.names.Zones, member.Locality))}
	known, listed := r.listed[member.ID]
	found := listed
	if !listed {
		known, found = r.retired[member.ID]
	}
	if current.number = known.number; !found || current != known {
		if listed {
			r.remove(member.ID, update)
		}
		delete(r.ids, known.number)
		r.lastNumber++
		current.number = r.lastNumber
	}
	r.ids[current.number] = member.ID
	delete(r.retired, member.ID)
	r.listed[member.ID] = current
	return current
}

// remove takes a receiver off the list and adds the removal to update. The identity stays among the retired ones
// until maxRetired later removals.
func (r *Receivers) remove(id string, update *rules.ListUpdated) {
	known := r.listed[id]
	r.removed = append(r.removed, known.number)
	update.Entries = append(update.Entries, rules.Entry{Receiver: known.number, Status: rules.Gone})
	delete(r.listed, id)
	delete(r.Addresses, known.number)
	delete(r.Zones, known.number)
	r.retired[id] = known
	if r.retiredOrder = append(r.retiredOrder, id); len(r.retiredOrder) > maxRetired {
		if oldest, isRetired := r.retired[r.retiredOrder[0]]; isRetired {
			delete(r.ids, oldest.number)
		}
		delete(r.retired, r.retiredOrder[0])
		r.retiredOrder = r.retiredOrder[1:] // append moves the rest to a new array from time to time
	}
}

// FinalOutcome is the final outcome of one notice, in the form in which it is reported to the platform.
type FinalOutcome struct {
	Notice    rules.NoticeID `json:"-"`
	Message   string         `json:"message"`
	Outcome   string         `json:"outcome"`
	RetryInMS float64        `json:"retry_in_ms,omitempty"`
}

// The values of FinalOutcome.Outcome.
const (
	GivenUp    = "given_up"    // broken off: the notice may have taken effect
	HandedBack = "handed_back" // dismissed: trying the notice again is harmless
)

// Directory exchanges requests with the platform at one address: it watches the receiver list and sends outcome
// reports.
type Directory struct {
	net       *sockets.Net
	limits    limits.Limits
	pool      *buffers.Pool
	address   string
	receivers *Receivers

	watch, reports    requester
	revision          int64
	needsFullList     bool // the next watch asks for the complete list
	verified          bool // see Verified
	watching          bool
	decoding          *listDecoding       // the list that is being decoded, or nil
	lists             []rules.ListUpdated // not yet returned by TakeLists
	watchFailed       bool                // a watch has failed repeatedly since the last call of TakeLists
	UnusableResponses int                 // number of responses that could not be used
	LastError         string              // the reason of the last of these, until the caller clears it

	pending   []FinalOutcome   // not yet confirmed with status 204
	inFlight  int              // how many of pending, from the first on, the current request contains
	maxBatch  int              // how many the next request may contain; 0: as many as fit
	confirmed []rules.NoticeID // not yet returned by TakeConfirmed
	now       time.Time
}

// New returns a Directory that starts from a list of the given revision, which the receivers already contain.
func New(address string, lim limits.Limits, pool *buffers.Pool, receivers *Receivers, revision int64) *Directory {
	d := &Directory{limits: lim, pool: pool, address: address, receivers: receivers, revision: revision}
	d.watch = requester{directory: d, maxBody: lim.ReceiverListBytes, onResponse: d.handleList, onFailure: d.handleWatchFailure}
	d.reports = requester{directory: d, maxBody: lim.Body, singleUse: true, onResponse: d.handleReportResponse,
		onFailure: func() { d.inFlight = 0 }}
	return d
}

// SetNet sets the network through which the requests are sent.
func (d *Directory) SetNet(net *sockets.Net) { d.net = net }

// SetAddress switches to another platform address after a change of the configuration. The complete list is requested
// from the new address, because its revisions need not continue those of the old one, and it receives every report
// that the old one has not confirmed.
func (d *Directory) SetAddress(address string) {
	if address == d.address {
		return
	}
	d.address, d.needsFullList, d.inFlight = address, true, 0
	d.watch.failures, d.reports.failures = 0, 0
	d.reports.restart()
	d.VerifyAgain()
}

// VerifyAgain asks for the changes of the list on a new connection: what is known of it may be out of date.
func (d *Directory) VerifyAgain() {
	d.verified, d.decoding = false, nil
	d.watch.restart()
}

// Verified reports whether the platform's present address has answered a request for changes of the list, and no request
// has failed since: the list contains every change that the platform has told.
func (d *Directory) Verified() bool { return d.verified }

// Watch starts watching the receiver list, until Stop.
func (d *Directory) Watch() { d.watching = true }

// Stop stops the watch.
func (d *Directory) Stop() { d.watching = false }

// ReportOutcome queues an outcome report, which is kept until the platform has confirmed it.
func (d *Directory) ReportOutcome(e FinalOutcome) { d.pending = append(d.pending, e) }

// Pending returns the number of outcome reports that the platform has not confirmed yet.
func (d *Directory) Pending() int { return len(d.pending) }

// TakeLists returns the list updates received since the last call, and whether the watch has failed since then, at least
// twice in a row: the first failure of a watch is followed by another attempt in any case.
func (d *Directory) TakeLists() (lists []rules.ListUpdated, failed bool) {
	lists, failed = d.lists, d.watchFailed
	d.lists, d.watchFailed = nil, false
	return lists, failed
}

// TakeConfirmed returns the notices whose outcome reports were confirmed, or dropped as unreadable, since the last
// call.
func (d *Directory) TakeConfirmed() []rules.NoticeID {
	confirmed := d.confirmed
	d.confirmed = nil
	return confirmed
}

// SetTime sets the current time for the calls that follow.
func (d *Directory) SetTime(now time.Time) { d.now = now }

// Step sends the requests that are due, handles timeouts, and returns when to call it again.
func (d *Directory) Step() (next time.Time) {
	if d.watching {
		d.watch.provisional = !d.verified
		d.watch.step(d.watchTimeout(), func(buffer []byte) []byte {
			return http1.AppendRequest(buffer, "GET", d.watchPath(), d.address, nil, -1)
		})
		next = d.watch.due
	}
	if len(d.pending) > 0 {
		d.reports.step(d.limits.ResponseTimeout, func(buffer []byte) []byte {
			var lines []byte
			d.inFlight = 0
			for _, outcome := range d.pending {
				line, err := json.Marshal(outcome)
				if err != nil || len(lines)+len(line) >= d.limits.Body || d.maxBatch > 0 && d.inFlight == d.maxBatch {
					break
				}
				lines = append(append(lines, line...), '\n')
				d.inFlight++
			}
			return append(http1.AppendRequest(buffer, "POST", "/v2/finals", d.address, nil, len(lines)), lines...)
		})
		if next.IsZero() || d.reports.due.Before(next) {
			next = d.reports.due
		}
	}
	return next
}

// watchPath returns the path of the next request for the list. An unverified list is verified by a request that the
// platform answers at once: a watch would be answered only when the list changes.
func (d *Directory) watchPath() string {
	if d.needsFullList {
		return "/discovery/hosts"
	}
	hold := d.limits.WatchHold
	if !d.verified {
		hold = 0
	}
	return fmt.Sprintf("/discovery/hosts?from=%d&hold_ms=%d", d.revision, hold.Milliseconds())
}

// watchTimeout returns how long the next request for the list may take. One that verifies the list is given up early
// first, in case it was lost, and later after each further failure, in case the platform is slow.
func (d *Directory) watchTimeout() time.Duration {
	timeout := d.limits.WatchHold + d.limits.ResponseTimeout
	if !d.verified {
		timeout = min(timeout, time.Duration(1+d.watch.failures)*d.limits.ResponseTimeout)
	}
	return timeout
}

// handleWatchFailure notes that a request for the list has failed: the list may be out of date.
func (d *Directory) handleWatchFailure() {
	d.verified, d.decoding = false, nil
	d.watchFailed = d.watchFailed || d.watch.failures > 1
}

// handleList decodes the list in a response and applies it. A large list is decoded on another goroutine: that takes a time
// that grows with the fleet.
func (d *Directory) handleList(message *http1.Message) verdict {
	if message.Status != 200 {
		d.countUnusable(fmt.Errorf("receiver list: expected status 200, got %d", message.Status))
		return unusable
	}
	text := message.Body.AppendTo(make([]byte, 0, message.Body.Len()))
	if len(text) <= maxDecodedAtOnce {
		return d.applyList(decodeList(text))
	}
	decoding := &listDecoding{text}
	d.decoding = decoding
	go func() {
		list, err := decodeList(decoding.text)
		d.net.Post(func() {
			if d.decoding == decoding {
				d.decoding = nil
				d.watch.conclude(d.applyList(list, err))
			}
		})
	}()
	return undecided
}

// listDecoding is the decoding of a list on another goroutine.
type listDecoding struct{ text []byte }

// decodeList decodes a list from JSON.
func decodeList(text []byte) (list List, err error) {
	err = json.Unmarshal(text, &list)
	return list, err
}

// applyList applies a list that was decoded, and returns whether it was usable. After an unusable response, the last
// list stays in force and the watch continues after the backoff. A list that is older than the last one, on a
// connection that was used before, is unusable too: it may repeat an earlier response, so the complete list is
// requested on a new connection. Older changes on a new connection come from a platform that counts revisions
// differently, so the complete list is requested, too.
func (d *Directory) applyList(list List, err error) verdict {
	if err == nil && !d.needsFullList && list.Revision < d.revision {
		if d.watch.requests == 1 && !list.Complete {
			d.needsFullList, d.verified = true, false
			return usable
		}
		if d.watch.requests > 1 {
			d.needsFullList = true
			err = fmt.Errorf("revision %d is older than the last revision %d", list.Revision, d.revision)
		}
	}
	var update rules.ListUpdated
	if err == nil {
		update, err = d.receivers.Apply(list)
	}
	if err != nil {
		d.countUnusable(fmt.Errorf("receiver list: %w", err))
		return unusable
	}
	if d.verified && list.Revision <= d.revision && d.now.Sub(d.watch.requestedAt) < d.limits.WatchHold/2 {
		// The platform does not hold watches open: don't poll in a tight loop.
		d.watch.due = d.now.Add(d.limits.WatchInterval)
	}
	d.revision, d.needsFullList, d.verified = list.Revision, false, true
	if len(update.Entries) > 0 || update.Complete {
		d.lists = append(d.lists, update)
	}
	return usable
}

// countUnusable counts a response that could not be used, and keeps the reason for the log.
func (d *Directory) countUnusable(err error) {
	d.UnusableResponses++
	d.LastError = err.Error()
}

// handleReportResponse processes the response to a batch of outcome reports, and returns unusable if the next batch is
// to be sent after a backoff.
func (d *Directory) handleReportResponse(message *http1.Message) verdict {
	if message.Status != 204 {
		d.countUnusable(fmt.Errorf("outcome reports: expected status 204, got %d", message.Status))
		if message.Status != 400 || d.inFlight == 0 {
			return unusable
		}
		// One report that the platform can't read must not block all others: halving the batch finds it, and it is
		// dropped.
		if d.inFlight > 1 {
			d.maxBatch = d.inFlight / 2
			return usable
		}
		d.LastError = fmt.Sprintf("the platform can't read the outcome report of notice %q: dropped",
			d.pending[0].Message)
	}
	d.maxBatch = 0
	for _, outcome := range d.pending[:d.inFlight] {
		d.confirmed = append(d.confirmed, outcome.Notice)
	}
	d.pending = slices.Delete(d.pending, 0, d.inFlight)
	d.inFlight = 0
	return usable
}

// verdict says whether a response can be used.
type verdict uint8

const (
	usable    verdict = iota // the next request may follow without a backoff
	unusable                 // the next request follows after a backoff, on a new connection
	undecided                // conclude follows; no request is sent before that
)

// requester sends requests to the platform one after another, over a connection that it opens when needed.
type requester struct {
	directory  *Directory
	maxBody    int                          // bytes of a response body
	singleUse  bool                         // each request has its own connection, so that no response can belong to another request
	onResponse func(*http1.Message) verdict // handles a complete response
	onFailure  func()

	conn        *sockets.Conn
	parser      *http1.Parser
	connected   bool
	requests    int       // sent on this connection
	awaiting    bool      // a request is waiting for its response
	processing  bool      // onResponse has returned undecided
	requestedAt time.Time // when the last request was sent
	due         time.Time // when step sends the next request, or when the current request or connecting times out
	failures    int       // since the last usable response that was not provisional
	provisional bool      // a usable response does not end the backoff: the next request may fail again at once
	writeBuffer []byte
}

// step sends the next request once it is due, on a new connection if necessary. A request or a connection attempt
// that is still unfinished when it is due has timed out, and fails.
func (r *requester) step(timeout time.Duration, appendRequest func([]byte) []byte) {
	lim := r.directory.limits
	if r.processing || r.directory.now.Before(r.due) {
		return
	}
	if r.awaiting || r.conn != nil && !r.connected {
		r.fail()
		return
	}
	if r.conn == nil {
		r.parser = http1.NewParser(r.directory.pool, true, lim.Head, lim.Fields, r.maxBody)
		r.conn, r.connected, r.requests =
			r.directory.net.Dial(r.directory.address, lim.ConnectTime, lim.Head+r.maxBody, r), false, 0
		r.due = r.directory.now.Add(2 * lim.ConnectTime)
		return
	}
	r.requests++
	r.writeBuffer = appendRequest(r.writeBuffer[:0])
	r.awaiting, r.requestedAt, r.due = true, r.directory.now, r.directory.now.Add(timeout)
	r.conn.Write(r.writeBuffer)
}

// fail closes the connection and schedules the next attempt with exponential backoff.
func (r *requester) fail() {
	r.closeConn()
	backoff, maxBackoff := r.directory.limits.BackOff, r.directory.limits.MaxBackOff
	for i := 0; i < r.failures && backoff < maxBackoff; i++ {
		backoff *= 2
	}
	r.failures++
	r.processing = false
	r.due = r.directory.now.Add(min(backoff, maxBackoff))
	r.onFailure()
}

// closeConn closes the connection and abandons the request that waits on it.
func (r *requester) closeConn() {
	if r.conn != nil {
		r.conn.Close()
		r.parser.Free()
	}
	r.conn, r.awaiting, r.connected = nil, false, false
}

// restart abandons the present request. The next one is due at once, on a new connection.
func (r *requester) restart() {
	r.closeConn()
	r.processing, r.due = false, time.Time{}
}

// Opened implements sockets.Owner.
func (r *requester) Opened(conn *sockets.Conn) {
	if conn == r.conn {
		r.connected, r.due = true, time.Time{}
	}
}

// Data implements sockets.Owner. Bytes that arrive while no request waits for a response are a failure.
func (r *requester) Data(conn *sockets.Conn, data []byte) {
	if conn != r.conn {
		return
	}
	if !r.awaiting {
		r.fail()
		return
	}
	rest, done, err := r.parser.Feed(data)
	if err != nil {
		r.directory.countUnusable(err)
		r.fail()
	} else if done {
		r.handleResponse(r.parser.Take(), len(rest) > 0)
	}
}

// Closed implements sockets.Owner.
func (r *requester) Closed(conn *sockets.Conn, _ error) {
	switch {
	case conn != r.conn:
	case r.awaiting && r.parser.End() == nil:
		r.handleResponse(r.parser.Take(), true)
	case r.awaiting || !r.connected:
		r.fail()
	default: // the platform closed an idle connection
		r.parser.Free()
		r.conn = nil
	}
}

// handleResponse passes a complete response on, and closes the connection unless it can be used again.
func (r *requester) handleResponse(message *http1.Message, closes bool) {
	r.awaiting, r.due = false, time.Time{}
	result := r.onResponse(message)
	message.Body.Free()
	if result != unusable && (closes || message.Close || r.singleUse) {
		r.closeConn()
	}
	r.conclude(result)
}

// conclude acts on the verdict on a response.
func (r *requester) conclude(result verdict) {
	r.processing = result == undecided
	switch {
	case result == unusable:
		r.fail()
	case result == usable && !r.provisional:
		r.failures = 0
	}
}
