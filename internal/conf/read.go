package conf

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one thing that is wrong with a file.
type Fault struct {
	File  string
	Line  int    // 0: not in one place
	Key   string // with its section
	What  string // is wrong
	Right string // would be right, or empty
}

func (f Fault) Error() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	text := place + ": "
	if f.Key != "" {
		text += f.Key + ": "
	}
	text += f.What
	if f.Right != "" {
		text += "; right would be " + f.Right
	}
	return text
}

// Faults is all that is wrong with a file, in the order of its lines.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Or is the faults as an error, or nil if there are none.
func (f Faults) Or() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Block is one section of a file, with the defaults of the keys that it leaves out.
type Block struct {
	section *Section
	Line    int // of its head; 0: the file has none
	values  map[string]any
	lines   map[string]int
}

// File is what a file says.
type File struct {
	Name   string
	table  Table
	blocks map[string][]*Block
	faults Faults
}

// Read reads a file's text. The File is whole even if there are faults: what is wrong has its default.
func Read(name string, text []byte, table Table) (*File, Faults) {
	f := &File{Name: name, table: table, blocks: map[string][]*Block{}}
	top := f.block(table.section(""), 0)
	here, prefix, skipping := top, "", false
	parser := unstable.Parser{}
	parser.Reset(text)
	line := func(n *unstable.Node) int {
		if n == nil || n.Raw.Length == 0 {
			return 0
		}
		return parser.Shape(n.Raw).Start.Line
	}
	for parser.NextExpression() {
		e := parser.Expression()
		path, first := pathOf(e)
		at := line(first)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			here, prefix, skipping = f.open(path, at, e.Kind == unstable.ArrayTable)
		case unstable.KeyValue:
			if skipping {
				continue
			}
			to := here
			if i := strings.LastIndex(path, "."); i >= 0 && prefix == "" {
				if to, _, skipping = f.open(path[:i], at, false); skipping {
					skipping = false
					continue
				}
				path = path[i+1:]
			}
			f.set(to, path, at, e.Value(), &parser)
		}
	}
	var broken *unstable.ParserError
	if err := parser.Error(); errors.As(err, &broken) {
		at := 0
		if len(broken.Highlight) > 0 {
			at = parser.Shape(parser.Range(broken.Highlight)).Start.Line
		}
		f.faults = append(f.faults, Fault{name, at, "", broken.Message, "a line of TOML; nothing behind it was read"})
	} else if err != nil {
		f.faults = append(f.faults, Fault{name, 0, "", err.Error(), ""})
	}
	f.complete()
	return f, f.Faults()
}

// Faults is what was found wrong so far, sorted by line.
func (f *File) Faults() Faults {
	sort.SliceStable(f.faults, func(i, j int) bool { return f.faults[i].Line < f.faults[j].Line })
	return slices.Clone(f.faults)
}

func pathOf(e *unstable.Node) (string, *unstable.Node) {
	var parts []string
	var first *unstable.Node
	for it := e.Key(); it.Next(); {
		if first == nil {
			first = it.Node()
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), first
}

func (f *File) block(s *Section, line int) *Block {
	b := &Block{section: s, Line: line, values: map[string]any{}, lines: map[string]int{}}
	f.blocks[s.Name] = append(f.blocks[s.Name], b)
	return b
}

// open finds the block that a head begins, or says why there is none.
func (f *File) open(path string, line int, many bool) (b *Block, prefix string, skipping bool) {
	s := f.table.section(path)
	wrong := func(what, right string) (*Block, string, bool) {
		f.faults = append(f.faults, Fault{f.Name, line, path, what, right})
		return nil, path, true
	}
	switch {
	case s == nil || path == "":
		return wrong("no such section", "one of "+f.table.names())
	case s.Many && !many:
		return wrong("this section may stand more than once", "[["+path+"]]")
	case !s.Many && many:
		return wrong("this section stands once", "["+path+"]")
	case !s.Many && len(f.blocks[path]) > 0:
		return f.blocks[path][0], path, false
	}
	return f.block(s, line), path, false
}

// names lists the sections.
func (t Table) names() string {
	var names []string
	for _, s := range t {
		if s.Name != "" {
			names = append(names, s.Name)
		}
	}
	return strings.Join(names, ", ")
}

func (f *File) set(b *Block, name string, line int, value *unstable.Node, parser *unstable.Parser) {
	full := b.path(name)
	k := b.section.key(name)
	if k == nil {
		var names []string
		for _, k := range b.section.Keys {
			names = append(names, k.Name)
		}
		f.faults = append(f.faults, Fault{f.Name, line, full, "no such key", "one of " + strings.Join(names, ", ")})
		return
	}
	if at, twice := b.lines[name]; twice {
		f.faults = append(f.faults, Fault{f.Name, line, full, fmt.Sprintf("stands at line %d already", at), "one of the two"})
		return
	}
	b.lines[name] = line
	switch value.Kind {
	case unstable.String, unstable.Bool, unstable.Integer, unstable.Float:
	default:
		f.faults = append(f.faults, Fault{f.Name, line, full, "is neither text nor number nor flag", k.right()})
		return
	}
	v, err := k.parse(string(value.Data), value.Kind == unstable.String)
	if err != nil {
		f.faults = append(f.faults, Fault{f.Name, line, full, err.Error(), k.right()})
		return
	}
	b.values[name] = v
}

func (b *Block) path(name string) string {
	if b.section.Name == "" {
		return name
	}
	return b.section.Name + "." + name
}

// complete notes what must be there and is not.
func (f *File) complete() {
	for i := range f.table {
		s := &f.table[i]
		if n := len(f.blocks[s.Name]); s.Many && n < s.Least {
			f.faults = append(f.faults, Fault{f.Name, 0, s.Name, fmt.Sprintf("stands %d times", n),
				fmt.Sprintf("[[%s]] at least %d times", s.Name, s.Least)})
		}
		if !s.Many && len(f.blocks[s.Name]) == 0 {
			f.block(s, 0)
		}
		for _, b := range f.blocks[s.Name] {
			for i := range s.Keys {
				k := &s.Keys[i]
				if _, there := b.lines[k.Name]; k.Required && !there {
					f.faults = append(f.faults, Fault{f.Name, b.Line, b.path(k.Name), "must be there", k.right()})
				}
			}
		}
	}
}

// One is the block of a section that stands once.
func (f *File) One(section string) *Block { return f.blocks[section][0] }

// All is the blocks of a section that may stand more than once, in the file's order.
func (f *File) All(section string) []*Block { return f.blocks[section] }

// Wrong notes a fault of a key that only the reader of the whole file can see.
func (f *File) Wrong(b *Block, key, what, right string) {
	line := b.Line
	if at := b.lines[key]; at > 0 {
		line = at
	}
	f.faults = append(f.faults, Fault{f.Name, line, b.path(key), what, right})
}

// Said tells whether the file itself says a key.
func (b *Block) Said(key string) bool { _, said := b.values[key]; return said }

func (b *Block) value(key string) any {
	if v, said := b.values[key]; said {
		return v
	}
	k := b.section.key(key)
	if k == nil {
		panic("conf: no key " + b.path(key))
	}
	if k.Default == "" {
		return nil
	}
	text := k.Default
	quoted := strings.HasPrefix(text, `"`)
	v, err := k.parse(strings.Trim(text, `"`), quoted)
	if err != nil {
		panic("conf: default of " + b.path(key) + ": " + err.Error())
	}
	return v
}

// Number is a number in its kind's unit.
func (b *Block) Number(key string) float64 { n, _ := b.value(key).(float64); return n }

// Int is a whole number.
func (b *Block) Int(key string) int { return int(b.Number(key)) }

// Text is a text, address or choice.
func (b *Block) Text(key string) string { s, _ := b.value(key).(string); return s }

// Flag is a flag.
func (b *Block) Flag(key string) bool { v, _ := b.value(key).(bool); return v }

// Seed is a seed, and whether the file says one.
func (b *Block) Seed(key string) (uint64, bool) { n, said := b.value(key).(uint64); return n, said }
