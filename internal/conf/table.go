// Package conf reads TOML files against a table of the keys that they may have. It reports all faults of a file at
// once, each with its line and with what was expected. The page that documents the file is made from the same table.
package conf

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// Kind is the kind of value that a key takes.
type Kind int

// The kinds of value. Block.Number returns numbers in the unit named here.
const (
	Text    Kind = iota
	Address      // host:port
	Span         // a duration such as "2.5s", in milliseconds
	Size         // such as "3MB" or "64MiB", in bytes
	Rate         // such as "20/s", per second
	Count        // a whole number
	Share        // a number from 0 to 1
	Number       // any number
	Flag         // true or false
	Choice       // one of Key.Choices
	Seed         // up to 16 hexadecimal digits
)

// kinds holds the name of each kind and an example for error messages.
var kinds = map[Kind]struct{ name, example string }{
	Text: {"text", `"some words"`}, Address: {"address", `"127.0.0.1:8443"`}, Span: {"span", `"2.5s"`},
	Size: {"size", `"3MB"`}, Rate: {"rate", `"20/s"`}, Count: {"count", `12`}, Share: {"share", `0.25`},
	Number: {"number", `1.5`}, Flag: {"flag", `true`}, Choice: {"choice", ``}, Seed: {"seed", `"8c1f30d27a5be964"`},
}

// Key is one key of a section.
type Key struct {
	Name     string
	Kind     Kind
	Default  string // as written in a file; empty: no default, and a number is 0
	Required bool
	Min, Max float64 // bounds of a number, in its kind's unit, unless Max is 0: then none, and 0 to 1 for a Share
	Choices  []string
	Doc      string // the description in the table that Markdown returns
}

// Section is a TOML table, or with Repeated an array of tables. The section without a name holds the top-level keys.
type Section struct {
	Name     string
	Repeated bool
	MinCount int // with Repeated: the minimum number of tables
	Doc      string
	Keys     []Key
}

// Table is all sections that a file may have.
type Table []Section

// Unbounded is the Max of a key that has a minimum but no maximum.
var Unbounded = math.Inf(1)

// section returns the section with a name, or nil.
func (t Table) section(name string) *Section {
	for i := range t {
		if t[i].Name == name {
			return &t[i]
		}
	}
	return nil
}

// key returns the key with a name, or nil.
func (s *Section) key(name string) *Key {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

// isNumeric reports whether values of a kind are stored as numbers.
func (k Kind) isNumeric() bool { return k >= Span && k <= Number }

// parse converts a value from the file; quoted tells a TOML string from a bare literal.
func (k *Key) parse(text string, quoted bool) (any, error) {
	switch k.Kind {
	case Flag:
		if quoted || text != "true" && text != "false" {
			return nil, fmt.Errorf("%s is not a flag", text)
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
			return nil, fmt.Errorf("%q is not an address with a port", text)
		}
		return text, nil
	case Choice:
		for _, c := range k.Choices {
			if quoted && text == c {
				return text, nil
			}
		}
		return nil, fmt.Errorf("%q is not one of the choices", text)
	case Seed:
		n, err := strconv.ParseUint(text, 16, 64)
		if !quoted || err != nil {
			return nil, fmt.Errorf("%q is not a hexadecimal number of up to 64 bits", text)
		}
		return n, nil
	}
	n, err := parseNumber(k.Kind, text, quoted)
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

// parseNumber converts a value of a numeric kind to the kind's unit.
func parseNumber(kind Kind, text string, quoted bool) (float64, error) {
	parseFloat := func() (float64, error) {
		n, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return 0, fmt.Errorf("%q is not a number", text)
		}
		return n, nil
	}
	switch kind {
	case Span:
		d, err := time.ParseDuration(text)
		if err != nil || !quoted {
			return 0, fmt.Errorf("%s is not a span with a unit", text)
		}
		return float64(d) / float64(time.Millisecond), nil
	case Size:
		if !quoted {
			return 0, fmt.Errorf("%s is not a size with a unit", text)
		}
		n, err := humanize.ParseBytes(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a size with a unit", text)
		}
		return float64(n), nil
	case Rate:
		withoutUnit, found := strings.CutSuffix(text, "/s")
		if !found || !quoted {
			return 0, fmt.Errorf("%s is not a rate per second", text)
		}
		text = withoutUnit
		return parseFloat()
	}
	if quoted {
		return 0, fmt.Errorf("%q is a text, not a number", text)
	}
	n, err := parseFloat()
	if err == nil && kind == Count && n != math.Trunc(n) {
		return 0, fmt.Errorf("%s is not a whole number", text)
	}
	return n, err
}

// expected describes the valid values of a key.
func (k *Key) expected() string {
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

// bounds describes the valid range of a number, or is empty if there is none.
func (k *Key) bounds() string {
	high := k.Max
	if k.Kind == Share && high == 0 {
		high = 1
	}
	switch {
	case !k.Kind.isNumeric() || high == 0:
		return ""
	case math.IsInf(high, 1):
		return "at least " + k.format(k.Min)
	}
	return "from " + k.format(k.Min) + " to " + k.format(high)
}

// format formats a number of the key's kind.
func (k *Key) format(n float64) string { return FormatNumber(k.Kind, n) }

// FormatNumber formats a number of a kind as written in a file, without quotes.
func FormatNumber(kind Kind, n float64) string {
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

// Markdown returns the documentation of the table in Markdown, with one heading per section.
func (t Table) Markdown() string {
	var page strings.Builder
	for _, section := range t {
		name := "Top level"
		switch {
		case section.Repeated:
			name = "`[[" + section.Name + "]]`"
		case section.Name != "":
			name = "`[" + section.Name + "]`"
		}
		fmt.Fprintf(&page,
			"## %s\n\n%s\n\n| key | value | default | description |\n| --- | --- | --- | --- |\n",
			name, section.Doc)
		for i := range section.Keys {
			key := &section.Keys[i]
			value := kinds[key.Kind].name
			if key.Kind == Choice {
				value = "`" + strings.Join(key.Choices, "`, `") + "`"
			} else if bounds := key.bounds(); bounds != "" {
				value += ", " + bounds
			}
			defaultText := "none"
			switch {
			case key.Required:
				defaultText = "required"
			case key.Default != "":
				defaultText = "`" + key.Default + "`"
			}
			fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", key.Name, value, defaultText, key.Doc)
		}
		page.WriteString("\n")
	}
	return strings.TrimSuffix(page.String(), "\n")
}
