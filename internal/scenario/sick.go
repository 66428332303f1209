package scenario

import (
	_ "embed"
	"fmt"
	"slices"
)

//go:embed sick/base.toml
var sickBase string

//go:embed sick/hours.toml
var hoursBase string

// one is a scenario of a set: what it has beyond the set's base.
type one struct{ name, about, more string }

// sickSet is scenarios alike but for their troubles: what is well in each can be held against the same seed without
// them, and one against the other.
var sickSet = []one{
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

// hourSet is hours on which the model's predictions are held against sockets. Those that begin with aside were played only
// once the model was done.
var hourSet = []one{
	{"hour-slow-refuse", "half of the destinations slow down while others refuse", struck(Slow, "0.5", "size = 30\n") + struck(Refuse, "0.25", "")},
	{"hour-above-limits", "more comes than the limits let through", struck(LowLimit, "1", "group = \"limited\"\nsize = 0.2\n")},
	{"hour-cold-returns", "destinations that fall over when pushed return from an outage", struck(Refuse, "1", "group = \"limited\"\n")},
	{"hour-silent", "a third of the destinations go silent", struck(Silent, "0.34", "")},
	{"hour-half-restarts", "half of the senders are killed and start again", `
[[fault]]
kind = "kill"
at = "2s"
for = "500ms"
part = 0.5
`},
	{"hour-burst", "twice as many notices for a while", `
[[fault]]
kind = "burst"
at = "2s"
for = "2s"
size = 2
`},
	{"hour-errors", "a fifth of all calls fail, half of them after they took effect", struck(Errors, "1", "share = 0.2\n")},
	{"hour-resets", "a tenth of all calls are reset after they were read", struck(ResetAfter, "1", "share = 0.1\n")},
	{"hour-shut", "a third of the destinations are shut", struck(Shut, "0.34", "")},
	{"aside-pauses", "a third of the destinations pause for half of each second", struck(Pauses, "0.34", "each = \"1s\"\n")},
	{"aside-spoilt-slow", "a third answer what can't be used, others slow down", struck(Spoilt, "0.34", "share = 0.5\n") + struck(Slow, "0.3", "size = 20\n")},
	{"aside-leave-refuse", "half of the senders leave while destinations refuse", struck(Refuse, "0.3", "") + `
[[fault]]
kind = "stop"
at = "2500ms"
for = "1s"
part = 0.5
`},
}

func names(set []one) (names []string) {
	for _, s := range set {
		names = append(names, s.name)
	}
	return names
}

// SickSet names the scenarios in which a part of the destinations is sick, in the order in which they are told.
func SickSet() []string { return names(sickSet) }

// HourSet names the scenarios on which predictions are held against sockets.
func HourSet() []string { return names(hourSet) }

// ofSet is the text of a scenario of one of the sets.
func ofSet(name string) (text string, ok bool) {
	for _, set := range []struct {
		base string
		all  []one
	}{{sickBase, sickSet}, {hoursBase, hourSet}} {
		if i := slices.IndexFunc(set.all, func(s one) bool { return s.name == name }); i >= 0 {
			return fmt.Sprintf("name = %q\nabout = %q\n", name, set.all[i].about) + set.base + set.all[i].more, true
		}
	}
	return "", false
}

// Well is the same scenario without its faults.
func (s *Scenario) Well() *Scenario {
	well := *s
	well.Faults = nil
	return &well
}
