package conf

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one error in a file.
type Fault struct {
	File     string
	Line     int    // 0: the fault belongs to no single line
	Key      string // with its section, or empty
	Problem  string // what was found
	Expected string // what would be valid, or empty
}

// Error names the place, what was found and what was expected.
func (f Fault) Error() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	text := place + ": "
	if f.Key != "" {
		text += f.Key + ": "
	}
	text += f.Problem
	if f.Expected != "" {
		text += "; right would be " + f.Expected
	}
	return text
}

// Faults is all errors in a file, sorted by line.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// ErrorOrNil returns the faults as an error, or nil if there are none.
func (f Faults) ErrorOrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Block is one section as it occurs in a file. Keys that the file does not set have their defaults.
type Block struct {
	section *Section
	Line    int // of its header; 0: the file has no such section
	values  map[string]any
	lines   map[string]int
}

// File holds the values of a parsed file.
type File struct {
	Name   string
	table  Table
	blocks map[string][]*Block
	faults Faults
}

// Read parses a file's text. The File is complete even if there are faults: a key with an invalid value has its
// default.
func Read(name string, text []byte, table Table) (*File, Faults) {
	file := &File{Name: name, table: table, blocks: map[string][]*Block{}}
	top := file.addBlock(table.section(""), 0)
	current, sectionPath, skipping := top, "", false
	parser := unstable.Parser{}
	parser.Reset(text)
	lines := NewLineCounter(text) // the parser's own Shape counts from the beginning of the text each time
	lineOf := func(n *unstable.Node) int {
		if n == nil || n.Raw.Length == 0 {
			return 0
		}
		return lines.Line(int(n.Raw.Offset))
	}
	for parser.NextExpression() {
		expression := parser.Expression()
		path, firstKey := pathOf(expression)
		line := lineOf(firstKey)
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			current, sectionPath, skipping = file.openSection(path, line, expression.Kind == unstable.ArrayTable)
		case unstable.KeyValue:
			if skipping {
				continue
			}
			// A dotted key before the first header, such as sending.slots, sets a key of the section that it names.
			target := current
			if i := strings.LastIndex(path, "."); i >= 0 && sectionPath == "" {
				if target, _, skipping = file.openSection(path[:i], line, false); skipping {
					skipping = false
					continue
				}
				path = path[i+1:]
			}
			file.setKey(target, path, line, expression.Value(), &parser)
		}
	}
	var parseErr *unstable.ParserError
	if err := parser.Error(); errors.As(err, &parseErr) {
		line := 0
		if len(parseErr.Highlight) > 0 {
			line = lines.Line(int(parser.Range(parseErr.Highlight).Offset))
		}
		file.faults = append(file.faults,
			Fault{name, line, "", parseErr.Message, "a line of TOML; nothing after it was read"})
	} else if err != nil {
		file.faults = append(file.faults, Fault{name, 0, "", err.Error(), ""})
	}
	file.addMissing()
	return file, file.Faults()
}

// Faults returns the faults found so far, including those added by AddFault, sorted by line.
func (f *File) Faults() Faults {
	sort.SliceStable(f.faults, func(i, j int) bool { return f.faults[i].Line < f.faults[j].Line })
	return slices.Clone(f.faults)
}

// pathOf returns the dotted key of an expression and the node of its first part.
func pathOf(expression *unstable.Node) (string, *unstable.Node) {
	var parts []string
	var first *unstable.Node
	for it := expression.Key(); it.Next(); {
		if first == nil {
			first = it.Node()
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), first
}

// addBlock adds an empty block of a section.
func (f *File) addBlock(section *Section, line int) *Block {
	b := &Block{section: section, Line: line, values: map[string]any{}, lines: map[string]int{}}
	f.blocks[section.Name] = append(f.blocks[section.Name], b)
	return b
}

// openSection returns the block that a section header or a dotted key opens, and the section's path. If the section is
// unknown or is written in the wrong form, it records a fault and returns skipping as true: the keys up to the next
// header, or the dotted key, are skipped.
func (f *File) openSection(path string, line int, isArray bool) (block *Block, sectionPath string, skipping bool) {
	section := f.table.section(path)
	reject := func(problem, expected string) (*Block, string, bool) {
		f.faults = append(f.faults, Fault{f.Name, line, path, problem, expected})
		return nil, path, true
	}
	switch {
	case section == nil || path == "":
		return reject("unknown section", "one of "+f.table.sectionNames())
	case section.Repeated && !isArray:
		return reject("this section can be repeated", "[["+path+"]]")
	case !section.Repeated && isArray:
		return reject("this section cannot be repeated", "["+path+"]")
	case !section.Repeated && len(f.blocks[path]) > 0:
		return f.blocks[path][0], path, false
	}
	return f.addBlock(section, line), path, false
}

// sectionNames lists the names of the sections, for error messages.
func (t Table) sectionNames() string {
	var names []string
	for _, s := range t {
		if s.Name != "" {
			names = append(names, s.Name)
		}
	}
	return strings.Join(names, ", ")
}

// setKey records the value of a key, or a fault if the key is unknown, repeated or has an invalid value.
func (f *File) setKey(block *Block, name string, line int, value *unstable.Node, parser *unstable.Parser) {
	fullName := block.keyPath(name)
	key := block.section.key(name)
	if key == nil {
		var names []string
		for _, k := range block.section.Keys {
			names = append(names, k.Name)
		}
		f.faults = append(f.faults, Fault{f.Name, line, fullName, "unknown key", "one of " + strings.Join(names, ", ")})
		return
	}
	if firstLine, duplicate := block.lines[name]; duplicate {
		f.faults = append(f.faults, Fault{f.Name, line, fullName,
			fmt.Sprintf("is already set on line %d", firstLine), "only one of the two"})
		return
	}
	block.lines[name] = line
	switch value.Kind {
	case unstable.String, unstable.Bool, unstable.Integer, unstable.Float:
	default:
		f.faults = append(f.faults,
			Fault{f.Name, line, fullName, "is not a text, a number or a flag", key.expected()})
		return
	}
	parsed, err := key.parse(string(value.Data), value.Kind == unstable.String)
	if err != nil {
		f.faults = append(f.faults, Fault{f.Name, line, fullName, err.Error(), key.expected()})
		return
	}
	block.values[name] = parsed
}

// keyPath returns the name of a key with its section.
func (b *Block) keyPath(name string) string {
	if b.section.Name == "" {
		return name
	}
	return b.section.Name + "." + name
}

// addMissing adds a block for each section that the file lacks, and a fault for each required section or key that is
// missing.
func (f *File) addMissing() {
	for i := range f.table {
		section := &f.table[i]
		if count := len(f.blocks[section.Name]); section.Repeated && count < section.MinCount {
			f.faults = append(f.faults, Fault{f.Name, 0, section.Name, fmt.Sprintf("was found %d times", count),
				fmt.Sprintf("[[%s]] at least %d times", section.Name, section.MinCount)})
		}
		if !section.Repeated && len(f.blocks[section.Name]) == 0 {
			f.addBlock(section, 0)
		}
		for _, block := range f.blocks[section.Name] {
			for i := range section.Keys {
				key := &section.Keys[i]
				if _, present := block.lines[key.Name]; key.Required && !present {
					f.faults = append(f.faults,
						Fault{f.Name, block.Line, block.keyPath(key.Name), "is required but missing", key.expected()})
				}
			}
		}
	}
}

// Section returns the block of a section that cannot be repeated.
func (f *File) Section(section string) *Block { return f.blocks[section][0] }

// Sections returns the blocks of a section that can be repeated, in the file's order.
func (f *File) Sections(section string) []*Block { return f.blocks[section] }

// AddFault records a fault of a key that the table cannot check, such as one that depends on other keys.
func (f *File) AddFault(block *Block, key, problem, expected string) {
	line := block.Line
	if keyLine := block.lines[key]; keyLine > 0 {
		line = keyLine
	}
	f.faults = append(f.faults, Fault{f.Name, line, block.keyPath(key), problem, expected})
}

// IsSet reports whether the file itself sets a key to a valid value.
func (b *Block) IsSet(key string) bool { _, set := b.values[key]; return set }

// value returns the value of a key: from the file, else the default, else nil. It panics if the key is not in the
// table.
func (b *Block) value(key string) any {
	if v, set := b.values[key]; set {
		return v
	}
	declared := b.section.key(key)
	if declared == nil {
		panic("conf: unknown key " + b.keyPath(key))
	}
	if declared.Default == "" {
		return nil
	}
	text := declared.Default
	quoted := strings.HasPrefix(text, `"`)
	v, err := declared.parse(strings.Trim(text, `"`), quoted)
	if err != nil {
		panic("conf: invalid default of " + b.keyPath(key) + ": " + err.Error())
	}
	return v
}

// Number returns a number in its kind's unit, or 0 if the key has no value.
func (b *Block) Number(key string) float64 { n, _ := b.value(key).(float64); return n }

// Int returns a whole number, or 0 if the key has no value.
func (b *Block) Int(key string) int { return int(b.Number(key)) }

// Text returns a text, address or choice, or an empty text if the key has no value.
func (b *Block) Text(key string) string { s, _ := b.value(key).(string); return s }

// Flag returns a flag, or false if the key has no value.
func (b *Block) Flag(key string) bool { v, _ := b.value(key).(bool); return v }

// Seed returns a seed and whether the file sets one.
func (b *Block) Seed(key string) (uint64, bool) { n, set := b.value(key).(uint64); return n, set }
