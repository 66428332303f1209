// Package http1 reads and writes HTTP/1.1 messages. It knows nothing of sockets: bytes go in as they come.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"chuteweir.example/chuteweir/internal/buffers"
)

// Fault is what is wrong with a message, with the status that tells so.
type Fault struct {
	Status int
	What   string
}

func (f *Fault) Error() string { return f.What }

var (
	errHead      = &Fault{431, "head too large"}
	errBody      = &Fault{413, "body too large"}
	errMalformed = &Fault{400, "malformed message"}
	errVersion   = &Fault{505, "version not supported"}
	errEncoding  = &Fault{501, "transfer encoding not supported"}
	// ErrCut says that the connection ended within a message.
	ErrCut = errors.New("message cut short")
)

// Field is one header; its name is in lower case.
type Field struct{ Name, Value string }

// Message is a request or an answer.
type Message struct {
	Method, Path string // of a request
	Status       int    // of an answer
	Fields       []Field
	Body         *buffers.Chain
	Close        bool // the connection ends with this message
}

// Get is a header's value, or empty.
func (m *Message) Get(name string) string {
	for _, f := range m.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

type stage uint8

const (
	firstLine stage = iota
	headers
	sized
	chunkSize
	chunkData
	chunkEnd
	trailers
	untilClose
	complete
)

// Parser reads one message after another from one connection.
type Parser struct {
	Head, Fields, Body int // limits
	pool               *buffers.Pool
	answers            bool
	stage              stage
	line               *[]byte // what has come of a line
	headLeft           int
	left               int // bytes left of a sized body or a chunk
	told               bool
	message            Message
}

// NewParser makes a parser of requests or of answers.
func NewParser(pool *buffers.Pool, answers bool, head, fields, body int) *Parser {
	p := &Parser{Head: head, Fields: fields, Body: body, pool: pool, answers: answers}
	p.reset()
	return p
}

func (p *Parser) reset() {
	p.stage, p.headLeft, p.left, p.told, p.message = firstLine, p.Head, 0, false, Message{}
}

// Begun tells whether a message has begun and is not complete.
func (p *Parser) Begun() bool {
	return p.stage != complete && (p.stage != firstLine || p.headLeft != p.Head)
}

// Status is what an answer's first line said, once it was read whole; 0 before, and of one that can't be read.
func (p *Parser) Status() int {
	if p.stage == firstLine {
		return 0
	}
	return p.message.Status
}

// Held is the number of bytes that the buffers of an unfinished message take.
func (p *Parser) Held() int {
	held := p.message.Body.Held()
	if p.line != nil {
		held += cap(*p.line)
	}
	return held
}

// HeadRead tells whether first line and headers are in.
func (p *Parser) HeadRead() bool { return p.stage > headers }

// Waits tells, once, that the request's sender waits to be told to send its body.
func (p *Parser) Waits() bool {
	waits := p.HeadRead() && !p.told && strings.EqualFold(p.message.Get("expect"), "100-continue")
	p.told = p.told || waits
	return waits
}

// Feed takes bytes and returns those behind the message, once it is complete.
func (p *Parser) Feed(b []byte) (rest []byte, done bool, err error) {
	for p.stage != complete {
		if len(b) == 0 {
			return nil, false, nil
		}
		switch p.stage {
		case sized, chunkData, untilClose:
			n, next := len(b), chunkEnd
			if p.stage != untilClose {
				n = min(n, p.left)
			}
			if p.stage == sized {
				next = complete
			}
			if p.message.Body.Len()+n > p.Body {
				return nil, false, errBody
			}
			p.body().Add(b[:n])
			b = b[n:]
			if p.stage == untilClose {
				continue
			}
			if p.left -= n; p.left == 0 {
				p.stage = next
			}
		default:
			var line []byte
			if line, b, err = p.takeLine(b); err != nil || line == nil {
				return nil, false, err
			}
			err = p.readLine(line)
			p.dropLine()
			if err != nil {
				return nil, false, err
			}
		}
	}
	return b, true, nil
}

// Missing is the number of bytes that are known to be missing of the message; 0 where that is not known.
func (p *Parser) Missing() int {
	if p.stage == sized {
		return p.left
	}
	return 0
}

// Take hands over the message, of which the head is in, and begins the next.
func (p *Parser) Take() *Message {
	m := p.message
	p.reset()
	return &m
}

// Message is what has come of the message so far.
func (p *Parser) Message() *Message { return &p.message }

// End tells that the connection has ended; a body that only this ends is complete then.
func (p *Parser) End() error {
	if p.stage == untilClose {
		p.stage = complete
		return nil
	}
	return ErrCut
}

// Free gives back what the parser holds.
func (p *Parser) Free() {
	p.dropLine()
	p.message.Body.Free()
	p.reset()
}

func (p *Parser) body() *buffers.Chain {
	if p.message.Body == nil {
		p.message.Body = p.pool.NewChain()
	}
	return p.message.Body
}

// takeLine returns a line without its end, or nil while it has not all come.
func (p *Parser) takeLine(b []byte) (line, rest []byte, err error) {
	end := bytes.IndexByte(b, '\n')
	n := end + 1
	if end < 0 {
		n = len(b)
	}
	if p.headLeft -= n; p.headLeft < 0 {
		return nil, nil, errHead
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

func (p *Parser) dropLine() {
	if p.line != nil {
		p.pool.Put(p.line)
		p.line = nil
	}
}

func (p *Parser) readLine(line []byte) error {
	switch p.stage {
	case firstLine:
		if len(line) == 0 && !p.answers {
			return nil // an empty line before a request is passed over
		}
		p.stage = headers
		if p.answers {
			return p.statusLine(string(line))
		}
		return p.requestLine(string(line))
	case headers:
		if len(line) > 0 {
			return p.header(string(line))
		}
		return p.headEnds()
	case chunkSize:
		size, _, _ := strings.Cut(string(line), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return errMalformed
		}
		p.headLeft = p.Head
		if p.left, p.stage = int(n), chunkData; n == 0 {
			p.stage = trailers
		}
	case chunkEnd:
		if len(line) > 0 {
			return errMalformed
		}
		p.stage = chunkSize
	case trailers:
		if len(line) == 0 {
			p.stage = complete
		}
	}
	return nil
}

func (p *Parser) requestLine(line string) error {
	method, rest, _ := strings.Cut(line, " ")
	path, version, found := strings.Cut(rest, " ")
	if !found || !token(method) || path == "" || path[0] != '/' || strings.ContainsAny(path, " \t\x00") {
		return errMalformed
	}
	p.message.Method, p.message.Path = method, path
	return p.version(version)
}

func (p *Parser) statusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 10)
	if err != nil || len(code) != 3 || status < 100 {
		return errMalformed
	}
	if err := p.version(version); err != nil {
		return err
	}
	p.message.Status = int(status)
	return nil
}

func (p *Parser) version(v string) error {
	switch v {
	case "HTTP/1.1":
	case "HTTP/1.0":
		p.message.Close = true
	default:
		if strings.HasPrefix(v, "HTTP/") {
			return errVersion
		}
		return errMalformed
	}
	return nil
}

func (p *Parser) header(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !token(name) || len(p.message.Fields) >= p.Fields {
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

// headEnds finds out how the body ends. Two statements that differ are an attack or a fault.
func (p *Parser) headEnds() error {
	length, coded := -1, false
	for _, f := range p.message.Fields {
		switch f.Name {
		case "content-length":
			n, err := strconv.ParseUint(f.Value, 10, 31)
			if err != nil || f.Value[0] == '+' || length >= 0 && length != int(n) {
				return errMalformed
			}
			length = int(n)
		case "transfer-encoding":
			if coded || !strings.EqualFold(f.Value, "chunked") {
				return errEncoding
			}
			coded = true
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
	case p.answers && status == 101:
		return errMalformed // nobody asked for another protocol
	case p.answers && status < 200:
		p.reset() // an interim answer: the real one follows
		return nil
	case p.answers && (status == 204 || status == 304):
		p.stage = complete
	case coded && length >= 0:
		return errMalformed
	case coded:
		p.stage, p.headLeft = chunkSize, p.Head
	case length > p.Body:
		return errBody
	case length > 0:
		p.stage, p.left = sized, length
	case length == 0 || !p.answers:
		p.stage = complete
	default:
		p.stage, p.message.Close = untilClose, true
	}
	return nil
}

func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

var reasons = map[int]string{
	200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// Continue tells a client to send its body.
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

// AppendAnswer writes an answer with its body.
func AppendAnswer(b []byte, status int, fields []Field, body string, closes bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasons[status]...)
	b = append(b, "\r\n"...)
	if closes {
		fields = append(fields, Field{"Connection", "close"})
	}
	return append(appendFields(b, fields, len(body)), body...)
}

// AppendRequest writes a request's head.
func AppendRequest(b []byte, method, path, host string, fields []Field, length int) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	return appendFields(b, fields, length)
}

// appendFields ends a head; a negative length leaves Content-Length out.
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
