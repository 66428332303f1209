package conf

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// table has one key of each kind.
var table = Table{
	{Keys: []Key{
		{Name: "name", Kind: Text, Required: true}, {Name: "at", Kind: Address}, {Name: "seed", Kind: Seed}}},
	{Name: "one", Keys: []Key{
		{Name: "for", Kind: Span, Default: `"5ms"`, Min: 1, Max: 1000},
		{Name: "room", Kind: Size, Default: `"3MB"`},
		{Name: "pace", Kind: Rate}, {Name: "part", Kind: Share, Default: "0.5"},
		{Name: "many", Kind: Count, Max: Unbounded},
		{Name: "how", Kind: Choice, Choices: []string{"a", "b"}, Default: `"a"`},
		{Name: "yes", Kind: Flag, Default: "true"},
	}},
	{Name: "each", Repeated: true, MinCount: 1, Keys: []Key{
		{Name: "id", Kind: Text, Required: true}, {Name: "n", Kind: Number}}},
}

// TestReads reads a valid file with dotted keys and repeated sections.
func TestReads(t *testing.T) {
	f, faults := Read("f.toml", []byte(`
name = "x"  # a comment
seed = "ff"
one.pace = "20/s"
[[each]]
id = "first"
n = -1.5
[one]
for = "0.5s"
room = "64MiB"
many = 1_000
how = "b"
yes = false
[[each]]
id = "second"
`), table)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	one := f.Section("one")
	seed, set := f.Section("").Seed("seed")
	got := []any{f.Section("").Text("name"), seed, set, one.Number("for"), one.Number("room"),
		one.Number("pace"), one.Number("part"), one.Int("many"), one.Text("how"), one.Flag("yes"),
		len(f.Sections("each")),
		f.Sections("each")[0].Number("n"), f.Sections("each")[1].Text("id")}
	want := []any{"x", uint64(255), true, 500.0, float64(64 << 20), 20.0, 0.5, 1000, "b", false, 2, -1.5, "second"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestReportsAllFaults reads files with many faults: all are reported at once, each with its line.
func TestReportsAllFaults(t *testing.T) {
	for what, c := range map[string]struct{ text, want string }{
		"many": {`at = "nowhere"
[one]
for = "2s"
for = "3ms"
room = 12
pace = "20"
part = 1.5
many = 1.5
how = "c"
yes = "true"
size = 1
[none]
x = 1
[[one]]
[each]
`, `f.toml: name: is required but missing; right would be a text such as "some words"
f.toml: each: was found 0 times; right would be [[each]] at least 1 times
f.toml:1: at: "nowhere" is not an address with a port; right would be an address such as "127.0.0.1:8443"
f.toml:3: one.for: 2s is out of range; right would be a span such as "2.5s", from 1ms to 1s
f.toml:4: one.for: is already set on line 3; right would be only one of the two
f.toml:5: one.room: 12 is not a size with a unit; right would be a size such as "3MB"
f.toml:6: one.pace: 20 is not a rate per second; right would be a rate such as "20/s"
f.toml:7: one.part: 1.5 is out of range; right would be a share such as 0.25, from 0 to 1
f.toml:8: one.many: 1.5 is not a whole number; right would be a count such as 12, at least 0
f.toml:9: one.how: "c" is not one of the choices; right would be one of a, b
f.toml:10: one.yes: true is not a flag; right would be a flag such as true
f.toml:11: one.size: unknown key; right would be one of for, room, pace, part, many, how, yes
f.toml:12: none: unknown section; right would be one of one, each
f.toml:14: one: this section cannot be repeated; right would be [one]
f.toml:15: each: this section can be repeated; right would be [[each]]`},
		"broken": {"name = \"x\"\n[[each]]\nid = \"a\"\n[one\n",
			`f.toml:4: expected character ], right would be a line of TOML; nothing after it was read`},
		"an array": {"name = [1]\n[[each]]\nid = \"a\"\n",
			`f.toml:1: name: is not a text, a number or a flag; right would be a text such as "some words"`},
	} {
		_, faults := Read("f.toml", []byte(c.text), table)
		got := faults.Error()
		if what == "broken" { // the text of the TOML library's error is not fixed
			if !strings.HasPrefix(got, "f.toml:4: ") || len(faults) != 1 {
				t.Errorf("%s: got %s, want one fault, on line 4", what, got)
			}
			continue
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got:\n%s", what, diff)
		}
	}
}

// FuzzRead checks that any text leaves each key a value within its bounds.
func FuzzRead(f *testing.F) {
	f.Add([]byte("name = \"x\"\n[one]\nfor = \"1s\"\n[[each]]\nid='a'\nn = 1e3\n"))
	f.Add([]byte("one = {for = 1}\n[a.b]\nc.d = [1, 2]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, faults := Read("f", text, table)
		if file.Section("one").Number("for") < 1 || file.Section("one").Number("for") > 1000 {
			t.Errorf("one.for is not from 1 to 1000; faults: %v", faults)
		}
	})
}
