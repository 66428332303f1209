package http1

import (
	"fmt"
	"strings"
	"testing"

	"chuteweir.example/chuteweir/internal/buffers"
	"github.com/google/go-cmp/cmp"
)

// parseAll parses a text that arrives in pieces of a given size. It returns the printed messages and the error, if any.
func parseAll(text string, responses bool, pieceSize int) string {
	var out strings.Builder
	parser := NewParser(buffers.NewPool(16), responses, 120, 4, 20)
	defer parser.Free()
	printMessage := func() {
		m := parser.Take()
		fmt.Fprintf(&out, "%s%s%.0d %q close=%v", m.Method, m.Path, m.Status, m.Body.AppendTo(nil), m.Close)
		for _, f := range m.Fields {
			fmt.Fprintf(&out, " %s=%s", f.Name, f.Value)
		}
		out.WriteString("\n")
		m.Body.Free()
	}
	for len(text) > 0 {
		piece := []byte(text[:min(pieceSize, len(text))])
		text = text[len(piece):]
		for len(piece) > 0 {
			rest, done, err := parser.Feed(piece)
			if err != nil {
				fmt.Fprintf(&out, "%v %d\n", err, err.(*ParseError).Status)
				return out.String()
			}
			if piece = rest; done {
				printMessage()
			}
		}
	}
	if parser.Begun() {
		if err := parser.End(); err != nil {
			fmt.Fprintf(&out, "%v\n", err)
		} else {
			printMessage()
		}
	}
	return out.String()
}

// TestParser parses valid and invalid messages, each in pieces of several sizes.
func TestParser(t *testing.T) {
	const request, response = false, true
	for _, c := range []struct {
		name      string
		responses bool
		text      string
		want      string
	}{
		{"two requests in sequence", request,
			"\r\nPOST /a HTTP/1.1\r\nContent-Length: 3\r\nX-Y:  z \r\n\r\nabcGET /up HTTP/1.1\r\n\r\n",
			"POST/a \"abc\" close=false content-length=3 x-y=z\nGET/up \"\" close=false\n"},
		{"a chunked request", request,
			"POST /a HTTP/1.1\nTransfer-Encoding: chunked\n\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n",
			"POST/a \"abcde\" close=false transfer-encoding=chunked\n"},
		{"HTTP/1.0", request, "GET /a HTTP/1.0\r\n\r\n", "GET/a \"\" close=true\n"},
		{"connection close", request, "GET /a HTTP/1.1\r\nConnection: x, Close\r\n\r\n",
			"GET/a \"\" close=true connection=x, Close\n"},
		{"cut short", request, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", "message cut short\n"},
		{"contradictory lengths", request, "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
			"malformed message 400\n"},
		{"length and chunks", request, "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
			"malformed message 400\n"},
		{"signed length", request, "POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", "malformed message 400\n"},
		{"empty length", request, "POST /a HTTP/1.1\r\nContent-Length:\r\n\r\nabc", "malformed message 400\n"},
		{"other encoding", request, "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
			"transfer encoding not supported 501\n"},
		{"folded header", request, "GET /a HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n", "malformed message 400\n"},
		{"control byte", request, "GET /a HTTP/1.1\r\nA: b\x00\r\n\r\n", "malformed message 400\n"},
		{"too many headers", request, "GET /a HTTP/1.1\r\nA: b\r\nA: b\r\nA: b\r\nA: b\r\nA: b\r\n\r\n",
			"malformed message 400\n"},
		{"malformed request line", request, "hello\r\n", "malformed message 400\n"},
		{"other version", request, "GET /a HTTP/2.0\r\n", "version not supported 505\n"},
		{"long head", request, "GET /" + strings.Repeat("a", 120), "head too large 431\n"},
		{"long body", request, "POST /a HTTP/1.1\r\nContent-Length: 21\r\n\r\n", "body too large 413\n"},
		{"long chunks", request,
			"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n123456789012345\r\nf\r\n123456",
			"body too large 413\n"},
		{"responses", response,
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 204 No\r\n\r\nHTTP/1.1 503\r\nContent-Length: 0\r\n\r\n",
			"200 \"ok\" close=false content-length=2\n204 \"\" close=false\n503 \"\" close=false content-length=0\n"},
		{"body until close", response, "HTTP/1.1 500 Oops\r\n\r\nall of it", "500 \"all of it\" close=true\n"},
		{"malformed status line", response, "HTTP/1.1 2000 OK\r\n", "malformed message 400\n"},
	} {
		for _, size := range []int{1, 7, 1000} {
			if diff := cmp.Diff(c.want, parseAll(c.text, c.responses, size)); diff != "" {
				t.Errorf("%s, in pieces of %d bytes (-want +got):\n%s", c.name, size, diff)
			}
		}
	}
}

// FuzzParser checks that the result does not depend on the pieces in which a message arrives.
func FuzzParser(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false)
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	f.Fuzz(func(t *testing.T, text string, responses bool) {
		if diff := cmp.Diff(parseAll(text, responses, 1000), parseAll(text, responses, 1)); diff != "" {
			t.Errorf("parsed in pieces of 1000 bytes (-) and byte by byte (+):\n%s", diff)
		}
	})
}
