// Package http1 parses and writes HTTP/1.1 messages. It does no I/O: the parser is fed with bytes in pieces of any
// size.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"chuteweir.example/chuteweir/internal/buffers"
)

// ParseError is the error for a message that can't be parsed, with the HTTP status to answer it with.
type ParseError struct {
	Status int
	Reason string
}

// Error returns the reason.
func (e *ParseError) Error() string { return e.Reason }

var (
	errHeadTooLarge        = &ParseError{431, "head too large"}
	errBodyTooLarge        = &ParseError{413, "body too large"}
	errMalformed           = &ParseError{400, "malformed message"}
	errUnsupportedVersion  = &ParseError{505, "version not supported"}
	errUnsupportedEncoding = &ParseError{501, "transfer encoding not supported"}
	// ErrTruncated reports that the connection ended within a message.
	ErrTruncated = errors.New("message cut short")
)

// Field is one header field. The parser converts its name to lower case.
type Field struct{ Name, Value string }

// Message is a request or a response.
type Message struct {
	Method, Path string // of a request
	Status       int    // of a response
	Fields       []Field
	Body         *buffers.Chain
	Close        bool // the connection ends after this message
}

// Get returns the value of the first header field with a name in lower case, or "" if there is none.
func (m *Message) Get(name string) string {
	for _, f := range m.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// parserState is the part of a message that the parser reads next.
type parserState uint8

const (
	firstLine parserState = iota
	headers
	sizedBody // a body of Content-Length bytes
	chunkSize
	chunkData
	chunkEnd // the empty line after a chunk's data
	trailers
	untilClose // a response body without a stated length: it ends with the connection
	complete
)

// Parser parses the messages of one connection, one after another.
type Parser struct {
	maxHead, maxFields, maxBody int // limits: bytes of the first line and headers, header fields, bytes of the body
	pool                        *buffers.Pool
	responses                   bool // the messages are responses, not requests
	state                       parserState
	line                        *[]byte // the part of the current line that has arrived
	headLeft                    int     // bytes that the rest of the head, a chunk size line or the trailers may have
	bodyLeft                    int     // bytes left of a sized body or a chunk
	continueSent                bool    // TakeExpectContinue has returned true for this message
	message                     Message
}

// NewParser returns a parser of responses or of requests, with its limits: the bytes of the first line and headers, the
// number of header fields and the bytes of the body.
func NewParser(pool *buffers.Pool, responses bool, maxHead, maxFields, maxBody int) *Parser {
	p := &Parser{maxHead: maxHead, maxFields: maxFields, maxBody: maxBody, pool: pool, responses: responses}
	p.reset()
	return p
}

// reset prepares the parser for the next message.
func (p *Parser) reset() {
	p.state, p.headLeft, p.bodyLeft, p.continueSent, p.message = firstLine, p.maxHead, 0, false, Message{}
}

// Begun reports whether a message has begun and is not complete.
func (p *Parser) Begun() bool {
	return p.state != complete && (p.state != firstLine || p.headLeft != p.maxHead)
}

// Status returns the status code of a response, or 0 if its first line is incomplete or can't be parsed.
func (p *Parser) Status() int {
	if p.state == firstLine {
		return 0
	}
	return p.message.Status
}

// Held returns the number of bytes that the buffers of an incomplete message occupy.
func (p *Parser) Held() int {
	held := p.message.Body.Held()
	if p.line != nil {
		held += cap(*p.line)
	}
	return held
}

// HeadRead reports whether the first line and the headers have been read.
func (p *Parser) HeadRead() bool { return p.state > headers }

// TakeExpectContinue reports whether the client waits for "100 Continue" before it sends the body. It returns true once
// per request.
func (p *Parser) TakeExpectContinue() bool {
	waits := p.HeadRead() && !p.continueSent && strings.EqualFold(p.message.Get("expect"), "100-continue")
	p.continueSent = p.continueSent || waits
	return waits
}

// Feed parses bytes. Once the message is complete, done is true and rest holds the bytes after the message. An error is
// a *ParseError.
func (p *Parser) Feed(b []byte) (rest []byte, done bool, err error) {
	for p.state != complete {
		if len(b) == 0 {
			return nil, false, nil
		}
		switch p.state {
		case sizedBody, chunkData, untilClose:
			count, next := len(b), chunkEnd
			if p.state != untilClose {
				count = min(count, p.bodyLeft)
			}
			if p.state == sizedBody {
				next = complete
			}
			if p.message.Body.Len()+count > p.maxBody {
				return nil, false, errBodyTooLarge
			}
			p.body().Add(b[:count])
			b = b[count:]
			if p.state == untilClose {
				continue
			}
			if p.bodyLeft -= count; p.bodyLeft == 0 {
				p.state = next
			}
		default:
			var line []byte
			if line, b, err = p.takeLine(b); err != nil || line == nil {
				return nil, false, err
			}
			err = p.readLine(line)
			p.releaseLine()
			if err != nil {
				return nil, false, err
			}
		}
	}
	return b, true, nil
}

// Missing returns the number of bytes still missing from the message, or 0 if it is not known.
func (p *Parser) Missing() int {
	if p.state == sizedBody {
		return p.bodyLeft
	}
	return 0
}

// Take returns the message, whose head must have been read, and prepares the parser for the next one.
func (p *Parser) Take() *Message {
	m := p.message
	p.reset()
	return &m
}

// Message returns what has been parsed of the current message so far.
func (p *Parser) Message() *Message { return &p.message }

// End reports to the parser that the connection has ended, which completes a body without a stated length. It returns
// ErrTruncated in all other cases.
func (p *Parser) End() error {
	if p.state == untilClose {
		p.state = complete
		return nil
	}
	return ErrTruncated
}

// Free returns the parser's buffers to the pool and drops the current message.
func (p *Parser) Free() {
	p.releaseLine()
	p.message.Body.Free()
	p.reset()
}

// body returns the message's body, which it creates on the first call.
func (p *Parser) body() *buffers.Chain {
	if p.message.Body == nil {
		p.message.Body = p.pool.NewChain()
	}
	return p.message.Body
}

// takeLine returns a line without its line end, or nil if the line is incomplete, and the bytes after it.
func (p *Parser) takeLine(b []byte) (line, rest []byte, err error) {
	end := bytes.IndexByte(b, '\n')
	n := end + 1
	if end < 0 {
		n = len(b)
	}
	if p.headLeft -= n; p.headLeft < 0 {
		return nil, nil, errHeadTooLarge
	}
	if p.line == nil {
		p.line = p.pool.Get()
	}
	*p.line = append(*p.line, b[:n]...)
	if end < 0 {
		return nil, nil, nil
	}
	line = bytes.TrimSuffix((*p.line)[:len(*p.line)-1], []byte("\r"))
	if line == nil {
		line = []byte{}
	}
	return line, b[n:], nil
}

// releaseLine returns the current line's buffer to the pool.
func (p *Parser) releaseLine() {
	if p.line != nil {
		p.pool.Put(p.line)
		p.line = nil
	}
}

// readLine parses a whole line according to the state, and advances the state.
func (p *Parser) readLine(line []byte) error {
	switch p.state {
	case firstLine:
		if len(line) == 0 && !p.responses {
			return nil // empty lines before a request are skipped
		}
		p.state = headers
		if p.responses {
			return p.parseStatusLine(string(line))
		}
		return p.parseRequestLine(string(line))
	case headers:
		if len(line) > 0 {
			return p.parseHeader(string(line))
		}
		return p.startBody()
	case chunkSize:
		size, _, _ := strings.Cut(string(line), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return errMalformed
		}
		p.headLeft = p.maxHead
		if p.bodyLeft, p.state = int(n), chunkData; n == 0 {
			p.state = trailers
		}
	case chunkEnd:
		if len(line) > 0 {
			return errMalformed
		}
		p.state = chunkSize
	case trailers:
		if len(line) == 0 {
			p.state = complete
		}
	}
	return nil
}

// parseRequestLine parses "METHOD PATH VERSION".
func (p *Parser) parseRequestLine(line string) error {
	method, rest, _ := strings.Cut(line, " ")
	path, version, found := strings.Cut(rest, " ")
	if !found || !isToken(method) || path == "" || path[0] != '/' || strings.ContainsAny(path, " \t\x00") {
		return errMalformed
	}
	p.message.Method, p.message.Path = method, path
	return p.parseVersion(version)
}

// parseStatusLine parses "VERSION STATUS REASON", where the reason may be missing.
func (p *Parser) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 10)
	if err != nil || len(code) != 3 || status < 100 {
		return errMalformed
	}
	if err := p.parseVersion(version); err != nil {
		return err
	}
	p.message.Status = int(status)
	return nil
}

// parseVersion accepts HTTP/1.1, and HTTP/1.0, with which the connection ends after the message.
func (p *Parser) parseVersion(v string) error {
	switch v {
	case "HTTP/1.1":
	case "HTTP/1.0":
		p.message.Close = true
	default:
		if strings.HasPrefix(v, "HTTP/") {
			return errUnsupportedVersion
		}
		return errMalformed
	}
	return nil
}

// parseHeader parses a header line and adds its field to the message.
func (p *Parser) parseHeader(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !isToken(name) || len(p.message.Fields) >= p.maxFields {
		return errMalformed
	}
	value = strings.Trim(value, " \t")
	for i := range len(value) {
		if value[i] < ' ' && value[i] != '\t' || value[i] == 0x7f {
			return errMalformed
		}
	}
	p.message.Fields = append(p.message.Fields, Field{strings.ToLower(name), value})
	return nil
}

// startBody derives from the headers how the body is delimited, and sets the state. Contradictory headers are
// rejected: they are a request smuggling attack or a fault of the peer.
func (p *Parser) startBody() error {
	length, isChunked := -1, false
	for _, f := range p.message.Fields {
		switch f.Name {
		case "content-length":
			n, err := strconv.ParseUint(f.Value, 10, 31)
			if err != nil || f.Value[0] == '+' || length >= 0 && length != int(n) {
				return errMalformed
			}
			length = int(n)
		case "transfer-encoding":
			if isChunked || !strings.EqualFold(f.Value, "chunked") {
				return errUnsupportedEncoding
			}
			isChunked = true
		case "connection":
			for option := range strings.SplitSeq(f.Value, ",") {
				if strings.EqualFold(strings.TrimSpace(option), "close") {
					p.message.Close = true
				}
			}
		}
	}
	status := p.message.Status
	switch {
	case p.responses && status == 101:
		return errMalformed // no request asks for another protocol
	case p.responses && status < 200:
		p.reset() // an interim response: the final one follows
		return nil
	case p.responses && (status == 204 || status == 304):
		p.state = complete
	case isChunked && length >= 0:
		return errMalformed
	case isChunked:
		p.state, p.headLeft = chunkSize, p.maxHead
	case length > p.maxBody:
		return errBodyTooLarge
	case length > 0:
		p.state, p.bodyLeft = sizedBody, length
	case length == 0 || !p.responses:
		p.state = complete
	default:
		p.state, p.message.Close = untilClose, true
	}
	return nil
}

// isToken reports whether s is a valid method or header name.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// reasonPhrases holds the reason phrase of each status that the sender answers with.
var reasonPhrases = map[int]string{
	200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// Continue is the interim response that asks a client to send the request's body.
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

// AppendResponse appends a response with its body to b. With closeAfter the response says that the connection ends
// after it.
func AppendResponse(b []byte, status int, fields []Field, body string, closeAfter bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	b = append(b, "\r\n"...)
	if closeAfter {
		fields = append(fields, Field{"Connection", "close"})
	}
	return append(appendFields(b, fields, len(body)), body...)
}

// AppendRequest appends the first line and the headers of a request to b. A negative length leaves Content-Length out.
func AppendRequest(b []byte, method, path, host string, fields []Field, length int) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	return appendFields(b, fields, length)
}

// appendFields appends the header fields, Content-Length and the empty line that ends the headers. A negative length
// leaves Content-Length out.
func appendFields(b []byte, fields []Field, length int) []byte {
	for _, f := range fields {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if length >= 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
