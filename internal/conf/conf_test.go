package conf

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var table = Table{
	{Keys: []Key{{Name: "name", Kind: Text, Required: true}, {Name: "at", Kind: Address}, {Name: "seed", Kind: Seed}}},
	{Name: "one", Keys: []Key{
		{Name: "for", Kind: Span, Default: `"5ms"`, Min: 1, Max: 1000}, {Name: "room", Kind: Size, Default: `"3MB"`},
		{Name: "pace", Kind: Rate}, {Name: "part", Kind: Share, Default: "0.5"}, {Name: "many", Kind: Count, Max: Unbounded},
		{Name: "how", Kind: Choice, Choices: []string{"a", "b"}, Default: `"a"`}, {Name: "yes", Kind: Flag, Default: "true"},
	}},
	{Name: "each", Many: true, Least: 1, Keys: []Key{{Name: "id", Kind: Text, Required: true}, {Name: "n", Kind: Number}}},
}

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
	one := f.One("one")
	seed, said := f.One("").Seed("seed")
	got := []any{f.One("").Text("name"), seed, said, one.Number("for"), one.Number("room"), one.Number("pace"), one.Number("part"),
		one.Int("many"), one.Text("how"), one.Flag("yes"), len(f.All("each")), f.All("each")[0].Number("n"), f.All("each")[1].Text("id")}
	want := []any{"x", uint64(255), true, 500.0, float64(64 << 20), 20.0, 0.5, 1000, "b", false, 2, -1.5, "second"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// All that is wrong with a file is told at once, each with its line.
func TestTellsAllFaults(t *testing.T) {
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
`, `f.toml: name: must be there; right would be a text such as "some words"
f.toml: each: stands 0 times; right would be [[each]] at least 1 times
f.toml:1: at: "nowhere" is no address with a port; right would be an address such as "127.0.0.1:8443"
f.toml:3: one.for: 2s is out of range; right would be a span such as "2.5s", from 1ms to 1s
f.toml:4: one.for: stands at line 3 already; right would be one of the two
f.toml:5: one.room: 12 is no size with a unit; right would be a size such as "3MB"
f.toml:6: one.pace: 20 is no rate a second; right would be a rate such as "20/s"
f.toml:7: one.part: 1.5 is out of range; right would be a share such as 0.25, from 0 to 1
f.toml:8: one.many: 1.5 is no whole number; right would be a count such as 12, at least 0
f.toml:9: one.how: "c" is none of the choices; right would be one of a, b
f.toml:10: one.yes: true is no flag; right would be a flag such as true
f.toml:11: one.size: no such key; right would be one of for, room, pace, part, many, how, yes
f.toml:12: none: no such section; right would be one of one, each
f.toml:14: one: this section stands once; right would be [one]
f.toml:15: each: this section may stand more than once; right would be [[each]]`},
		"broken": {"name = \"x\"\n[[each]]\nid = \"a\"\n[one\n",
			`f.toml:4: expected character ], right would be a line of TOML; nothing behind it was read`},
		"an array": {"name = [1]\n[[each]]\nid = \"a\"\n",
			`f.toml:1: name: is neither text nor number nor flag; right would be a text such as "some words"`},
	} {
		_, faults := Read("f.toml", []byte(c.text), table)
		got := faults.Error()
		if what == "broken" { // the library's words
			if !strings.HasPrefix(got, "f.toml:4: ") || len(faults) != 1 {
				t.Errorf("%s: %s", what, got)
			}
			continue
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got:\n%s", what, diff)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("name = \"x\"\n[one]\nfor = \"1s\"\n[[each]]\nid='a'\nn = 1e3\n"))
	f.Add([]byte("one = {for = 1}\n[a.b]\nc.d = [1, 2]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, faults := Read("f", text, table)
		if file.One("one").Number("for") < 1 || file.One("one").Number("for") > 1000 {
			t.Errorf("out of range, with faults %v", faults)
		}
	})
}
