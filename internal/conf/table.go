// Package conf reads TOML files against a table of the keys that they may hold. Whatever is wrong with a file is
// told at once, each fault with its place and with what would be right. The table that checks a file also writes
// the page that documents it.
package conf

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// Kind is what a key's value is.
type Kind int

// The kinds of value. Numbers come out of a Block in the unit named here.
const (
	Text    Kind = iota
	Address      // host:port
	Span         // "2.5s", in milliseconds
	Size         // "3MB", "64MiB", in bytes
	Rate         // "20/s", in a second
	Count        // a whole number
	Share        // a number from 0 to 1
	Number       // any number
	Flag         // true or false
	Choice       // one of Key.Choices
	Seed         // up to 16 hexadecimal digits
)

var kinds = map[Kind]struct{ name, example string }{
	Text: {"text", `"some words"`}, Address: {"address", `"127.0.0.1:8443"`}, Span: {"span", `"2.5s"`},
	Size: {"size", `"3MB"`}, Rate: {"rate", `"20/s"`}, Count: {"count", `12`}, Share: {"share", `0.25`},
	Number: {"number", `1.5`}, Flag: {"flag", `true`}, Choice: {"choice", ``}, Seed: {"seed", `"8c1f30d27a5be964"`},
}

// Key is one key of a section.
type Key struct {
	Name     string
	Kind     Kind
	Default  string // as it would stand in a file; empty: none, which for a number is 0
	Required bool
	Min, Max float64 // of a number in its kind's unit; no bounds where Max is 0, none above where it is infinite
	Choices  []string
	Doc      string
}

// Section is a table of the file, or with Many an array of tables. The section without a name is the file's top.
type Section struct {
	Name  string
	Many  bool
	Least int // with Many: how many there must be
	Doc   string
	Keys  []Key
}

// Table is all sections that a file may have.
type Table []Section

// Unbounded is a Max that any number keeps.
var Unbounded = math.Inf(1)

func (t Table) section(name string) *Section {
	for i := range t {
		if t[i].Name == name {
			return &t[i]
		}
	}
	return nil
}

func (s *Section) key(name string) *Key {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

// numeric tells whether values of a kind are kept as numbers.
func (k Kind) numeric() bool { return k >= Span && k <= Number }

// parse reads a value that stands in a file as text or as a bare literal, quoted or not.
func (k *Key) parse(text string, quoted bool) (any, error) {
	switch k.Kind {
	case Flag:
		if quoted || text != "true" && text != "false" {
			return nil, fmt.Errorf("%s is no flag", text)
		}
		return text == "true", nil
	case Text:
		if !quoted {
			return nil, fmt.Errorf("%s is not a quoted text", text)
		}
		return text, nil
	case Address:
		host, port, found := strings.Cut(text, ":")
		if i := strings.LastIndex(text, ":"); i > 0 {
			host, port = text[:i], text[i+1:]
		}
		if n, err := strconv.ParseUint(port, 10, 16); !quoted || !found || host == "" || err != nil || n > 65535 {
			return nil, fmt.Errorf("%q is no address with a port", text)
		}
		return text, nil
	case Choice:
		for _, c := range k.Choices {
			if quoted && text == c {
				return text, nil
			}
		}
		return nil, fmt.Errorf("%q is none of the choices", text)
	case Seed:
		n, err := strconv.ParseUint(text, 16, 64)
		if !quoted || err != nil {
			return nil, fmt.Errorf("%q is no hexadecimal number of 64 bits", text)
		}
		return n, nil
	}
	n, err := number(k.Kind, text, quoted)
	if err != nil {
		return nil, err
	}
	low, high := k.Min, k.Max
	if k.Kind == Share && high == 0 {
		high = 1
	}
	if high != 0 && (n < low || n > high) {
		return nil, fmt.Errorf("%s is out of range", text)
	}
	return n, nil
}

func number(kind Kind, text string, quoted bool) (float64, error) {
	plain := func() (float64, error) {
		n, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return 0, fmt.Errorf("%q is no number", text)
		}
		return n, nil
	}
	switch kind {
	case Span:
		d, err := time.ParseDuration(text)
		if err != nil || !quoted {
			return 0, fmt.Errorf("%s is no span with a unit", text)
		}
		return float64(d) / float64(time.Millisecond), nil
	case Size:
		if !quoted {
			return 0, fmt.Errorf("%s is no size with a unit", text)
		}
		n, err := humanize.ParseBytes(text)
		if err != nil {
			return 0, fmt.Errorf("%q is no size with a unit", text)
		}
		return float64(n), nil
	case Rate:
		bare, found := strings.CutSuffix(text, "/s")
		if !found || !quoted {
			return 0, fmt.Errorf("%s is no rate a second", text)
		}
		text = bare
		return plain()
	}
	if quoted {
		return 0, fmt.Errorf("%q is a text and no number", text)
	}
	n, err := plain()
	if err == nil && kind == Count && n != math.Trunc(n) {
		return 0, fmt.Errorf("%s is no whole number", text)
	}
	return n, err
}

// right says what a key's value may be.
func (k *Key) right() string {
	if k.Kind == Choice {
		return "one of " + strings.Join(k.Choices, ", ")
	}
	text := "a " + kinds[k.Kind].name + " such as " + kinds[k.Kind].example
	if k.Kind == Address {
		text = "an address such as " + kinds[k.Kind].example
	}
	if bounds := k.bounds(); bounds != "" {
		text += ", " + bounds
	}
	return text
}

func (k *Key) bounds() string {
	high := k.Max
	if k.Kind == Share && high == 0 {
		high = 1
	}
	switch {
	case !k.Kind.numeric() || high == 0:
		return ""
	case math.IsInf(high, 1):
		return "at least " + k.show(k.Min)
	}
	return "from " + k.show(k.Min) + " to " + k.show(high)
}

// show writes a number in its kind's unit.
func (k *Key) show(n float64) string { return Show(k.Kind, n) }

// Show writes a number of a kind as it would stand in a file, without quotes.
func Show(kind Kind, n float64) string {
	switch kind {
	case Span:
		return time.Duration(math.Round(n * float64(time.Millisecond))).String()
	case Size:
		if n >= 1<<20 && math.Mod(n, 1<<20) == 0 {
			return strconv.FormatFloat(n/(1<<20), 'f', -1, 64) + "MiB"
		}
		for _, unit := range []struct {
			name string
			size float64
		}{{"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}} {
			if n >= unit.size && math.Mod(n*1000, unit.size) == 0 {
				return strconv.FormatFloat(n/unit.size, 'f', -1, 64) + unit.name
			}
		}
		return strconv.FormatFloat(n, 'f', -1, 64) + "B"
	case Rate:
		return strconv.FormatFloat(n, 'f', -1, 64) + "/s"
	}
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// Page documents the table in Markdown, a section each.
func (t Table) Page() string {
	var b strings.Builder
	for _, s := range t {
		name := "The top of the file"
		switch {
		case s.Many:
			name = "`[[" + s.Name + "]]`"
		case s.Name != "":
			name = "`[" + s.Name + "]`"
		}
		fmt.Fprintf(&b, "## %s\n\n%s\n\n| key | value | default | what it is |\n| --- | --- | --- | --- |\n", name, s.Doc)
		for i := range s.Keys {
			k := &s.Keys[i]
			value := kinds[k.Kind].name
			if k.Kind == Choice {
				value = "`" + strings.Join(k.Choices, "`, `") + "`"
			} else if bounds := k.bounds(); bounds != "" {
				value += ", " + bounds
			}
			def := "none"
			switch {
			case k.Required:
				def = "must be there"
			case k.Default != "":
				def = "`" + k.Default + "`"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, value, def, k.Doc)
		}
		b.WriteString("\n")
	}
	return strings.TrimSuffix(b.String(), "\n")
}
