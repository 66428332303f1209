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

// Variant is a variant of a scenario: the policy to run it with and the settings that differ from the scenario file.
type Variant struct {
	Name     string
	Policy   string
	Settings []Setting
	File     string // TOML file whose [sending], [goal], [dismissal] and [return] replace the scenario's
	Mix      bool   // replace the scenario's faults by random ones that the seed determines
}

// Setting overrides a value of a scenario file. The key sending.slots means slots in [sending], grade.dispatch.timeout
// means timeout in the [[grade]] named dispatch, and top.KEY a key outside all sections.
type Setting struct{ Key, Value string }

// ParseVariant parses a variant: parts separated by commas, each policy=NAME, file=PATH, mix=true or
// section.key=value. An empty text means the scenario as its file has it, with the policy ours.
func ParseVariant(text string) (Variant, error) {
	variant := Variant{Name: text, Policy: "ours"}
	if text == "" {
		variant.Name = "ours"
		return variant, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(part), "=")
		switch {
		case !found:
			return variant, fmt.Errorf("variant %q: expected key=value, found %q", text, part)
		case key == "policy":
			variant.Policy = value
		case key == "file":
			variant.File = value
		case strings.Contains(key, "."):
			variant.Settings = append(variant.Settings, Setting{key, value})
		case key == "mix":
			variant.Mix = value == "true"
		default:
			return variant, fmt.Errorf("variant %q: expected policy=NAME, file=PATH, mix=true or section.key=value, found %q",
				text, part)
		}
	}
	return variant, nil
}

// Scenario returns the scenario with the variant's settings and the seed, validated like any scenario file.
func (v Variant) Scenario(name string, seed uint64) (*scenario.Scenario, error) {
	text, err := v.Text(name)
	if err != nil {
		return nil, err
	}
	s, faults := scenario.Read(name, text)
	if err := faults.ErrorOrNil(); err != nil {
		return nil, fmt.Errorf("variant %s: %w", v.Name, err)
	}
	s.Seed = seed
	if v.Mix {
		scenario.Mix(s)
	}
	return s, nil
}

// Text returns the text of the scenario file with the variant's settings applied.
func (v Variant) Text(name string) ([]byte, error) {
	text, err := scenario.Text(name)
	if err != nil || len(v.Settings) == 0 && v.File == "" {
		return text, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if v.File != "" {
		file, err := os.ReadFile(v.File)
		if err != nil {
			return nil, fmt.Errorf("variant %s: %w", v.Name, err)
		}
		var sections map[string]any
		if err := toml.Unmarshal(file, &sections); err != nil {
			return nil, fmt.Errorf("variant %s: %s: %w", v.Name, v.File, err)
		}
		for _, key := range []string{"sending", "goal", "dismissal", "return"} {
			if section, ok := sections[key]; ok {
				tree[key] = section
			}
		}
	}
	for _, s := range v.Settings {
		if err := s.apply(tree); err != nil {
			return nil, fmt.Errorf("variant %s: %w", v.Name, err)
		}
	}
	return toml.Marshal(tree)
}

// apply sets the value in a parsed scenario file. It parses the value as an integer, a float or a boolean if possible.
func (s Setting) apply(tree map[string]any) error {
	path := strings.Split(s.Key, ".")
	var value any = s.Value
	if n, err := strconv.ParseInt(s.Value, 10, 64); err == nil {
		value = n
	} else if f, err := strconv.ParseFloat(s.Value, 64); err == nil {
		value = f
	} else if b, err := strconv.ParseBool(s.Value); err == nil {
		value = b
	}
	if len(path) == 2 && path[0] == "top" {
		tree[path[1]] = value
		return nil
	}
	switch section := tree[path[0]].(type) {
	case nil:
		if len(path) != 2 {
			return fmt.Errorf("%s: the scenario has no section [[%s]]", s.Key, path[0])
		}
		tree[path[0]] = map[string]any{path[1]: value}
	case map[string]any:
		if len(path) != 2 {
			return fmt.Errorf("%s: expected %s.key", s.Key, path[0])
		}
		section[path[1]] = value
	case []any:
		if len(path) != 3 {
			return fmt.Errorf("%s: expected %s.NAME.key, or %s.*.key for all", s.Key, path[0], path[0])
		}
		found := false
		for _, element := range section {
			if table, ok := element.(map[string]any); ok &&
				(path[1] == "*" || table["name"] == path[1] || table["kind"] == path[1]) {
				table[path[2]], found = value, true
			}
		}
		if !found {
			return fmt.Errorf("%s: no [[%s]] has the name %q", s.Key, path[0], path[1])
		}
	default:
		return fmt.Errorf("%s: %s is not a section of the scenario", s.Key, path[0])
	}
	return nil
}

// Range is a parameter of a sweep: a list of values, or an interval from Low to High.
type Range struct {
	Key    string
	Values []string
	Low    float64
	High   float64
	Unit   string // follows the number, as in 100/s
}

// ParseRange parses key=a,b,c or key=low..high with an optional unit: sending.slots=10,20,40 or
// traffic.rate=100..800/s.
func ParseRange(text string) (Range, error) {
	key, rest, found := strings.Cut(text, "=")
	r := Range{Key: key}
	if !found || key == "" || rest == "" {
		return r, fmt.Errorf("expected key=a,b,c or key=low..high, found %q", text)
	}
	low, high, isRange := strings.Cut(rest, "..")
	if !isRange {
		r.Values = strings.Split(rest, ",")
		return r, nil
	}
	unitStart := strings.LastIndexAny(high, "0123456789") + 1
	r.Unit = high[unitStart:]
	var lowErr, highErr error
	r.Low, lowErr = strconv.ParseFloat(strings.TrimSuffix(low, r.Unit), 64)
	r.High, highErr = strconv.ParseFloat(high[:unitStart], 64)
	if lowErr != nil || highErr != nil || r.High < r.Low {
		return r, fmt.Errorf("%q: expected two numbers, the lower first, such as %s=10..40", text, key)
	}
	return r, nil
}

// Grid returns variants of base with all combinations of the ranges' values.
func Grid(base Variant, ranges []Range) ([]Variant, error) {
	variants := []Variant{base}
	for _, r := range ranges {
		if len(r.Values) == 0 {
			return nil, fmt.Errorf("%s: a grid needs values, such as %s=10,20,40; an interval needs --samples", r.Key,
				r.Key)
		}
		var next []Variant
		for _, variant := range variants {
			for _, value := range r.Values {
				next = append(next, variant.withSetting(r.Key, value))
			}
		}
		variants = next
	}
	return variants, nil
}

// withSetting returns a copy of the variant with one more setting, which becomes part of its name. The key policy sets
// the policy.
func (v Variant) withSetting(key, value string) Variant {
	if key == "policy" {
		v.Policy = value
	} else {
		v.Settings = append(slices.Clone(v.Settings), Setting{key, value})
	}
	if name := key + "=" + value; v.Name == "" || v.Name == "ours" {
		v.Name = name
	} else {
		v.Name += "," + name
	}
	return v
}

// Hypercube returns variants of base that form a Latin hypercube sample of the ranges: each range is divided into as
// many equal parts as there are samples, and each part contains one sample.
func Hypercube(base Variant, ranges []Range, samples int, seed uint64) []Variant {
	rng := rand.New(rand.NewPCG(seed, 2))
	variants := make([]Variant, samples)
	for i := range variants {
		variants[i] = base
	}
	for _, r := range ranges {
		for i, stratum := range rng.Perm(samples) {
			position := (float64(stratum) + rng.Float64()) / float64(samples)
			if len(r.Values) > 0 {
				variants[i] = variants[i].withSetting(r.Key, r.Values[int(position*float64(len(r.Values)))])
				continue
			}
			variants[i] = variants[i].withSetting(r.Key,
				strconv.FormatFloat(r.Low+position*(r.High-r.Low), 'f', 3, 64)+r.Unit)
		}
	}
	return variants
}
