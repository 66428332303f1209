package main

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRun checks the replies to an empty batch, to input that ends early and to a record for an instance without a
// sender.
func TestRun(t *testing.T) {
	const (
		empty = "01000000 00000000 5a5c800000000000 00000000"
		reply = "01000000 00000000 00000000"
	)
	for name, c := range map[string]struct{ in, out, err string }{
		"no input":        {"", "", "<nil>"},
		"an empty batch":  {empty, reply, "<nil>"},
		"a cut header":    {empty + "0200", reply, "batch header: 2 of 20 bytes: unexpected EOF"},
		"a dead instance": {"01000000 0c000000 5a5c800000000000 01000000 1004 06000000 0500 192b6f0e", reply, "<nil>"},
	} {
		in, err := hex.DecodeString(strings.ReplaceAll(c.in, " ", ""))
		if err != nil {
			t.Fatal(name, err)
		}
		var out bytes.Buffer
		message := "<nil>"
		if err := run(bytes.NewReader(in), &out); err != nil {
			message = err.Error()
		}
		got := []string{hex.EncodeToString(out.Bytes()), message}
		if diff := cmp.Diff([]string{strings.ReplaceAll(c.out, " ", ""), c.err}, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
