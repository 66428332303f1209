package scenario

import (
	_ "embed"
	"fmt"
	"slices"
)

//go:embed sick/base.toml
var sickBase string

// sickSet is scenarios alike but for their troubles: what is well in each can be held against the same seed without
// them, and one against the other.
var sickSet = []struct{ name, about, more string }{
	{"sick-tenth-hang", "a tenth of the destinations take calls and never answer", struck(Hang, "0.1", "")},
	{"sick-half-hang", "half of the destinations take calls and never answer", struck(Hang, "0.5", "")},
	{"sick-most-hang", "nine tenths of the destinations take calls and never answer", struck(Hang, "0.9", "")},
	{"sick-half-refuse", "half of the destinations refuse connections", struck(Refuse, "0.5", "")},
	{"sick-half-never-up", "at half of the destinations connections never come up", struck(NeverUp, "0.5", "")},
	{"sick-half-dribble", "half of the destinations answer every byte at one a second", struck(Dribble, "0.5", "")},
	{"sick-half-flap", "half of the destinations flap every 3 s", struck(Flap, "0.5", "each = \"3s\"\n")},
	{"sick-big-hangs", "one destination with four fifths of the traffic hangs", `
[[gateway]]
name = "big"
weight = 160
cores = 64
` + struck(Hang, "1", "group = \"big\"\n")},
	{"sick-third-fails", "a third of the destinations fail all calls at once, and come back at once", `
[[gateway]]
name = "cold"
destinations = 20
limit = "20/s"
tips = true
` + struck(Errors, "1", "group = \"cold\"\n")},
	{"sick-all-hang", "all destinations hang and come back at once", struck(Hang, "1", "")},
	{"sick-no-files", "half of the destinations hang while clients use up the descriptors", struck(Hang, "0.5", "") + `
[[fault]]
kind = "few-files"
at = "2s"
for = "3s"
size = 6
[[fault]]
kind = "hostile"
at = "2s"
for = "3s"
size = 20
`},
	{"sick-restart", "half of the destinations hang, and the sender is killed in the middle of it and started again", struck(Hang, "0.5", "") + `
[[fault]]
kind = "kill"
at = "3s"
for = "300ms"
`},
}

// struck is a fault of destinations, from a second on for five.
func struck(kind, part, more string) string {
	return fmt.Sprintf("\n[[fault]]\nkind = %q\nat = \"1s\"\nfor = \"5s\"\npart = %s\n%s", kind, part, more)
}

// SickSet names the scenarios in which a part of the destinations is sick, in the order in which they are told.
func SickSet() []string {
	var names []string
	for _, s := range sickSet {
		names = append(names, s.name)
	}
	return names
}

// sick is the text of a scenario of the set.
func sick(name string) (text string, ok bool) {
	i := slices.IndexFunc(sickSet, func(s struct{ name, about, more string }) bool { return s.name == name })
	if i < 0 {
		return "", false
	}
	return fmt.Sprintf("name = %q\nabout = %q\n", name, sickSet[i].about) + sickBase + sickSet[i].more, true
}

// Well is the same scenario without its faults.
func (s *Scenario) Well() *Scenario {
	well := *s
	well.Faults = nil
	return &well
}
