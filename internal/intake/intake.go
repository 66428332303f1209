// Package intake serves client connections: it reads the notices that clients submit and writes the responses.
package intake

import (
	"errors"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/internal/sockets"
	"chuteweir.example/chuteweir/rules"
)

// Request is a submitted notice whose client waits for Answer.
type Request struct {
	ID            string
	Mark          string // the idempotency key, by which a destination recognizes a repeated notice, or empty
	Grade         rules.GradeID
	Portfolio     rules.PortfolioID // the number of portfolios if the client's is not configured
	Key           rules.KeyID       // a hash of the affinity key; 0: none
	Destination   rules.DestinationID
	ClientTimeout rules.Millis // from the Request-Timeout-Ms header
	Inherited     bool         // a resubmission, after another sender that had the notice died or did not answer
	Body          *buffers.Chain
	// EarliestArrival is the earliest time at which the request can have arrived, if it waited unread in the kernel
	// while earlier requests of its client were served. Zero: it did not wait.
	EarliestArrival time.Time
	client          *clientConn
	response        *response
}

// Refusals counts the requests and connections that intake refused by itself, without asking the decision module, by
// reason.
type Refusals struct {
	// Requests that were answered with an error status: they can't be parsed, name an unknown grade or destination,
	// have an invalid method or header, were not received completely in time, or came during the shutdown.
	Unreadable, Unknown, Malformed, Late, DuringShutdown int
	// Connections that were closed: no request came in time, there were too many connections or partial requests, or
	// the client did not read its responses or sent more than allowed.
	Silent, Crowded, Flooding int
}

// Intake holds the connections of all clients.
type Intake struct {
	limits           limits.Limits
	pool             *buffers.Pool
	names            settings.Names
	knownDestination func(rules.DestinationID) bool
	countersPage     func() string
	clients          map[*sockets.Conn]*clientConn
	partial          map[*clientConn]bool // the clients whose current request is incomplete
	submitted        []*Request           // not yet returned by Take
	now              time.Time
	writeBuffer      []byte
	// ShuttingDown is set at shutdown: every response is then the last on its connection, and every notice is refused.
	ShuttingDown bool
	Refused      Refusals
}

// New returns an Intake without clients. known reports whether a destination exists, and counters renders the page of
// counters.
func New(lim limits.Limits, pool *buffers.Pool, names settings.Names, known func(rules.DestinationID) bool,
	counters func() string) *Intake {
	return &Intake{limits: lim, pool: pool, names: names, knownDestination: known, countersPage: counters,
		clients: map[*sockets.Conn]*clientConn{}, partial: map[*clientConn]bool{}}
}

// Opened registers a new client connection.
func (in *Intake) Opened(conn *sockets.Conn) {
	in.clients[conn] = &clientConn{conn: conn, openedAt: in.now, lastActivity: in.now, readWindow: in.limits.Window,
		parser: http1.NewParser(in.pool, false, in.limits.Head, in.limits.Fields, in.limits.Body)}
}

// Closed removes a connection that the client has closed or that has failed.
func (in *Intake) Closed(conn *sockets.Conn, _ error) {
	if client := in.clients[conn]; client != nil {
		in.remove(client)
	}
}

// Data processes input from a client.
func (in *Intake) Data(conn *sockets.Conn, data []byte) {
	client := in.clients[conn]
	if client == nil {
		return
	}
	if client.ignoresInput {
		in.discard(client, len(data))
		return
	}
	in.parse(client, data)
	if client.readWindow -= len(data); client.readWindow <= 0 && client.unreadSince.IsZero() {
		client.unreadSince = in.now
	}
	in.flush(client)
}

// parse parses input, and serves the requests that it completes in their order.
func (in *Intake) parse(client *clientConn, data []byte) {
	for !client.ignoresInput && len(data) > 0 {
		if !client.parser.Begun() {
			client.lastActivity = in.now
		}
		rest, done, err := client.parser.Feed(data)
		if err != nil {
			in.refuseUnreadable(client, err)
			break
		}
		data = rest
		if done {
			in.serve(client, client.parser.Take())
		} else if client.parser.TakeExpectContinue() {
			client.awaitsContinue = true
		}
	}
	if client.parser.Begun() {
		in.partial[client] = true
	} else {
		delete(in.partial, client)
	}
}

// refuseUnreadable answers a request that can't be parsed, with the status that the parser suggests, or 400.
func (in *Intake) refuseUnreadable(client *clientConn, err error) {
	status := 400
	var parseError *http1.ParseError
	if errors.As(err, &parseError) {
		status = parseError.Status
	}
	in.Refused.Unreadable++
	in.abandonRequest(client, status)
}

// serve answers a request, or queues it for Take if it is a valid notice. After the response to a request with
// "Connection: close", the connection closes.
func (in *Intake) serve(client *clientConn, message *http1.Message) {
	pending := in.enqueueResponse(client)
	if message.Close {
		pending.closeMode, client.ignoresInput = closeAtOnce, true
	}
	path, _, _ := strings.Cut(message.Path, "?")
	switch {
	case path == "/up" || path == "/counters":
		message.Body.Free()
		in.servePage(client, pending, message.Method, path)
	case message.Method != "POST":
		message.Body.Free()
		in.Refused.Malformed++
		in.refuse(client, pending, 405)
	case in.ShuttingDown:
		message.Body.Free()
		in.Refused.DuringShutdown++
		in.refuse(client, pending, 503)
	default:
		request, status := in.parseNotice(message, path)
		if status != 0 {
			message.Body.Free()
			in.refuse(client, pending, status)
			return
		}
		request.client, request.response, request.EarliestArrival = client, pending, client.unreadSince
		in.submitted = append(in.submitted, request)
	}
}

// servePage answers a request for a page. A client that requests more pages in one turn than it can be reading gets
// no further pages, and no more of its input is read, because a page costs the sender more than the request costs
// the client.
func (in *Intake) servePage(client *clientConn, pending *response, method, path string) {
	if client.pageTurn != in.now {
		client.pageRequests, client.pageTurn = 0, in.now
	}
	if client.pageRequests++; client.pageRequests == in.limits.PagesPerTurn {
		in.Refused.Flooding++
		client.readStopped, client.flooding = true, true
	}
	mode := keepOpen
	if in.ShuttingDown || client.flooding {
		mode = closeWhenQuiet
	}
	switch {
	case method != "GET":
		pending.finish(405, mode)
	case client.pageRequests > in.limits.PagesPerTurn:
		pending.finish(429, mode)
	case path == "/counters":
		pending.body = in.countersPage()
		pending.finish(200, mode)
	case in.ShuttingDown:
		pending.finish(503, mode)
	default:
		pending.finish(200, mode)
	}
}

// parseNotice reads the notice in a request. The grade is named in the Request-Class header, or else in the first part
// of the path. If the request is unusable, parseNotice returns the response status instead.
func (in *Intake) parseNotice(message *http1.Message, path string) (*Request, int) {
	grade := message.Get("request-class")
	if grade == "" {
		grade, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	}
	gradeIndex := slices.Index(in.names.Grades, grade)
	if gradeIndex < 0 {
		in.Refused.Unknown++
		return nil, 404
	}
	request := &Request{ID: message.Get("request-id"), Mark: message.Get("idempotency-key"),
		Grade: rules.GradeID(gradeIndex), Inherited: message.Get("client-retry") == "again", Body: message.Body}
	timeout, err := strconv.ParseUint(message.Get("request-timeout-ms"), 10, 32)
	destination, found := parseDestination(message.Get("x-consignee"))
	if err != nil || !found || request.ID == "" || !isPrintableASCII(request.ID) || !isPrintableASCII(request.Mark) {
		in.Refused.Malformed++
		return nil, 400
	}
	if !in.knownDestination(destination) {
		in.Refused.Unknown++
		return nil, 503 // the destination may be listed later, and the client can safely resubmit
	}
	request.ClientTimeout, request.Destination = rules.Millis(timeout), destination
	request.Portfolio = rules.PortfolioID(settings.Index(in.names.Portfolios, message.Get("tenant")))
	if key := message.Get("affinity-key"); key != "" {
		hash := fnv.New64a()
		hash.Write([]byte(key))
		request.Key = rules.KeyID(max(hash.Sum64(), 1))
	}
	return request, 0
}

// isPrintableASCII reports whether a notice's ID or idempotency key can be passed on unescaped in headers and in
// JSON. It also limits the length to 256 bytes.
func isPrintableASCII(s string) bool {
	return len(s) <= 256 && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' })
}

// parseDestination finds the destination number in a header value such as "dest=7", which may have other parts,
// separated by commas, semicolons or spaces.
func parseDestination(value string) (rules.DestinationID, bool) {
	for part := range strings.FieldsFuncSeq(value, func(r rune) bool { return r == ',' || r == ';' || r == ' ' }) {
		if number, found := strings.CutPrefix(part, "dest="); found {
			id, err := strconv.ParseUint(number, 10, 31)
			return rules.DestinationID(id), err == nil
		}
	}
	return 0, false
}

// Take returns the notices submitted since the last call.
func (in *Intake) Take() []*Request {
	submitted := in.submitted
	in.submitted = nil
	return submitted
}

// Answer sends the response to a notice, after the responses to its client's earlier requests. A positive
// retryAfter, in milliseconds, is sent as a Retry-After header in seconds.
func (in *Intake) Answer(request *Request, status int, retryAfter rules.Millis) {
	client := request.client
	if in.clients[client.conn] != client {
		return // the client has disconnected
	}
	if retryAfter > 0 {
		request.response.fields = append(request.response.fields, http1.Field{Name: "Retry-After",
			Value: strconv.FormatFloat(float64(retryAfter)/1000, 'f', 3, 64)})
	}
	mode := keepOpen
	if in.ShuttingDown {
		mode = closeWhenQuiet
	}
	request.response.finish(status, mode)
	in.flush(client)
}

// SetTime sets the current time for the calls that follow.
func (in *Intake) SetTime(now time.Time) { in.now = now }
