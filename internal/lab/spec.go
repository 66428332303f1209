package lab

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"

	"chuteweir.example/chuteweir/internal/scenario"
	"github.com/pelletier/go-toml/v2"
)

// Way is one way to play a scenario: its policy and what is set otherwise than the file says.
type Way struct {
	Name   string
	Policy string
	Set    []Setting
	File   string // sections of this file take the place of the scenario's
	Mix    bool   // troubles drawn by the seed take the place of the scenario's
}

// Setting puts a value in place of the scenario's: sending.slots=20, or grade.dispatch.timeout=3s for the section of
// that name.
type Setting struct{ Key, Value string }

// ParseWay reads a way: parts with commas between, each policy=NAME, file=PATH or section.key=value.
func ParseWay(text string) (Way, error) {
	w := Way{Name: text, Policy: "ours"}
	if text == "" {
		w.Name = "ours"
		return w, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(part), "=")
		switch {
		case !found:
			return w, fmt.Errorf("way %q: %q is no key=value", text, part)
		case key == "policy":
			w.Policy = value
		case key == "file":
			w.File = value
		case strings.Contains(key, "."):
			w.Set = append(w.Set, Setting{key, value})
		case key == "mix":
			w.Mix = value == "true"
		default:
			return w, fmt.Errorf("way %q: %q: right would be policy=NAME, file=PATH, mix=true or section.key=value", text, part)
		}
	}
	return w, nil
}

// Scenario makes the scenario of a way, checked as any file is.
func (w Way) Scenario(name string, seed uint64) (*scenario.Scenario, error) {
	text, err := w.Text(name)
	if err != nil {
		return nil, err
	}
	s, faults := scenario.Read(name, text)
	if err := faults.Or(); err != nil {
		return nil, fmt.Errorf("way %s: %w", w.Name, err)
	}
	s.Seed = seed
	if w.Mix {
		scenario.Mix(s)
	}
	return s, nil
}

// Text is the scenario's file with the way's settings in it.
func (w Way) Text(name string) ([]byte, error) {
	text, err := scenario.Text(name)
	if err != nil || len(w.Set) == 0 && w.File == "" {
		return text, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if w.File != "" {
		other, err := os.ReadFile(w.File)
		if err != nil {
			return nil, fmt.Errorf("way %s: %w", w.Name, err)
		}
		var sections map[string]any
		if err := toml.Unmarshal(other, &sections); err != nil {
			return nil, fmt.Errorf("way %s: %s: %w", w.Name, w.File, err)
		}
		for _, key := range []string{"sending", "goal", "dismissal", "return"} {
			if section, ok := sections[key]; ok {
				tree[key] = section
			}
		}
	}
	for _, s := range w.Set {
		if err := s.put(tree); err != nil {
			return nil, fmt.Errorf("way %s: %w", w.Name, err)
		}
	}
	return toml.Marshal(tree)
}

// put puts the value into a file's tree.
func (s Setting) put(tree map[string]any) error {
	parts := strings.Split(s.Key, ".")
	var value any = s.Value
	if n, err := strconv.ParseInt(s.Value, 10, 64); err == nil {
		value = n
	} else if f, err := strconv.ParseFloat(s.Value, 64); err == nil {
		value = f
	} else if b, err := strconv.ParseBool(s.Value); err == nil {
		value = b
	}
	if len(parts) == 2 && parts[0] == "top" {
		tree[parts[1]] = value
		return nil
	}
	switch section := tree[parts[0]].(type) {
	case nil:
		if len(parts) != 2 {
			return fmt.Errorf("%s: the scenario has no [[%s]]", s.Key, parts[0])
		}
		tree[parts[0]] = map[string]any{parts[1]: value}
	case map[string]any:
		if len(parts) != 2 {
			return fmt.Errorf("%s: right would be %s.key", s.Key, parts[0])
		}
		section[parts[1]] = value
	case []any:
		if len(parts) != 3 {
			return fmt.Errorf("%s: right would be %s.NAME.key, or %s.*.key for all", s.Key, parts[0], parts[0])
		}
		put := false
		for _, one := range section {
			if m, ok := one.(map[string]any); ok && (parts[1] == "*" || m["name"] == parts[1] || m["kind"] == parts[1]) {
				m[parts[2]], put = value, true
			}
		}
		if !put {
			return fmt.Errorf("%s: no [[%s]] has the name %q", s.Key, parts[0], parts[1])
		}
	default:
		return fmt.Errorf("%s: %s is no section", s.Key, parts[0])
	}
	return nil
}

// Range is a parameter of a sweep: values, or from low to high.
type Range struct {
	Key    string
	Values []string
	Low    float64
	High   float64
	Unit   string // behind the number
}

// ParseRange reads key=a,b,c or key=low..high with a unit: sending.slots=10,20,40 or traffic.rate=100..800/s.
func ParseRange(text string) (Range, error) {
	key, rest, found := strings.Cut(text, "=")
	r := Range{Key: key}
	if !found || key == "" || rest == "" {
		return r, fmt.Errorf("%q: right would be key=a,b,c or key=low..high", text)
	}
	low, high, span := strings.Cut(rest, "..")
	if !span {
		r.Values = strings.Split(rest, ",")
		return r, nil
	}
	i := strings.LastIndexAny(high, "0123456789") + 1
	r.Unit = high[i:]
	var err, also error
	r.Low, err = strconv.ParseFloat(strings.TrimSuffix(low, r.Unit), 64)
	r.High, also = strconv.ParseFloat(high[:i], 64)
	if err != nil || also != nil || r.High < r.Low {
		return r, fmt.Errorf("%q: right would be two numbers, the lower first, such as %s=10..40", text, key)
	}
	return r, nil
}

// Grid is all combinations of the ranges' values.
func Grid(base Way, ranges []Range) ([]Way, error) {
	ways := []Way{base}
	for _, r := range ranges {
		if len(r.Values) == 0 {
			return nil, fmt.Errorf("%s: a grid needs values, such as %s=10,20,40; --samples takes a span", r.Key, r.Key)
		}
		var next []Way
		for _, w := range ways {
			for _, v := range r.Values {
				next = append(next, w.with(r.Key, v))
			}
		}
		ways = next
	}
	return ways, nil
}

func (w Way) with(key, value string) Way {
	if key == "policy" {
		w.Policy = value
	} else {
		w.Set = append(slices.Clone(w.Set), Setting{key, value})
	}
	if name := key + "=" + value; w.Name == "" || w.Name == "ours" {
		w.Name = name
	} else {
		w.Name += "," + name
	}
	return w
}

// Hypercube is a Latin hypercube of samples over the ranges: of each parameter, one sample in each of as many equal parts.
func Hypercube(base Way, ranges []Range, samples int, seed uint64) []Way {
	draw := rand.New(rand.NewPCG(seed, 2))
	ways := make([]Way, samples)
	for i := range ways {
		ways[i] = base
	}
	for _, r := range ranges {
		for i, part := range draw.Perm(samples) {
			x := (float64(part) + draw.Float64()) / float64(samples)
			if len(r.Values) > 0 {
				ways[i] = ways[i].with(r.Key, r.Values[int(x*float64(len(r.Values)))])
				continue
			}
			ways[i] = ways[i].with(r.Key, strconv.FormatFloat(r.Low+x*(r.High-r.Low), 'f', 3, 64)+r.Unit)
		}
	}
	return ways
}
