package scenario

import (
	_ "embed"
	"fmt"
	"slices"
)

//go:embed sick/base.toml
var failingBase string

//go:embed sick/hours.toml
var validationBase string

// setScenario is a scenario of a set; extra is the text that is appended to the set's base file.
type setScenario struct{ name, about, extra string }

// failingSet holds scenarios that differ only in their faults. The healthy destinations of each can be compared with
// those of a run of the same seed without faults, and the scenarios with one another.
var failingSet = []setScenario{
	{"sick-tenth-hang", "a tenth of the destinations read calls and never respond",
		destinationFault(Hang, "0.1", "")},
	{"sick-half-hang", "half of the destinations read calls and never respond", destinationFault(Hang, "0.5", "")},
	{"sick-most-hang", "nine tenths of the destinations read calls and never respond",
		destinationFault(Hang, "0.9", "")},
	{"sick-half-refuse", "half of the destinations refuse connections", destinationFault(Refuse, "0.5", "")},
	{"sick-half-never-up", "at half of the destinations new connections are never established",
		destinationFault(NeverUp, "0.5", "")},
	{"sick-half-dribble", "half of the destinations send their responses at one byte a second",
		destinationFault(Dribble, "0.5", "")},
	{"sick-half-flap", "half of the destinations refuse connections for half of every 3 s",
		destinationFault(Flap, "0.5", "each = \"3s\"\n")},
	{"sick-big-hangs", "one destination with four fifths of the traffic hangs", `
[[gateway]]
name = "big"
weight = 160
cores = 64
` + destinationFault(Hang, "1", "group = \"big\"\n")},
	{"sick-third-fails", "a third of the destinations fail all calls immediately, and all recover at the same time", `
[[gateway]]
name = "cold"
destinations = 20
limit = "20/s"
tips = true
` + destinationFault(Errors, "1", "group = \"cold\"\n")},
	{"sick-all-hang", "all destinations hang and recover at the same time", destinationFault(Hang, "1", "")},
	{"sick-no-files", "half of the destinations hang while clients use up the descriptors",
		destinationFault(Hang, "0.5", "") + `
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
	{"sick-restart", "half of the destinations hang, and the sender is killed and restarted meanwhile",
		destinationFault(Hang, "0.5", "") + `
[[fault]]
kind = "kill"
at = "3s"
for = "300ms"
`},
}

// destinationFault returns the text of a fault that affects destinations from 1 s on for 5 s.
func destinationFault(kind, part, extra string) string {
	return fmt.Sprintf("\n[[fault]]\nkind = %q\nat = \"1s\"\nfor = \"5s\"\npart = %s\n%s", kind, part, extra)
}

// validationSet holds the scenarios on which the model's predictions are compared with runs on sockets. Those whose
// names begin with "aside" were not run before the model was finished, so that it could not be fitted to them.
var validationSet = []setScenario{
	{"hour-slow-refuse", "half of the destinations slow down while others refuse connections",
		destinationFault(Slow, "0.5", "size = 30\n") + destinationFault(Refuse, "0.25", "")},
	{"hour-above-limits", "the traffic exceeds the limits of some destinations",
		destinationFault(LowLimit, "1", "group = \"limited\"\nsize = 0.2\n")},
	{"hour-cold-returns", "destinations that can be overloaded while cold recover from an outage",
		destinationFault(Refuse, "1", "group = \"limited\"\n")},
	{"hour-silent", "a third of the destinations send nothing on any connection",
		destinationFault(Silent, "0.34", "")},
	{"hour-half-restarts", "half of the senders are killed and restart", `
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
	{"hour-errors", "a fifth of all calls fail, half of them after they took effect",
		destinationFault(Errors, "1", "share = 0.2\n")},
	{"hour-resets", "a tenth of all calls are reset after they were read",
		destinationFault(ResetAfter, "1", "share = 0.1\n")},
	{"hour-shut", "a third of the destinations refuse all calls", destinationFault(Shut, "0.34", "")},
	{"aside-pauses", "a third of the destinations pause for half of each second",
		destinationFault(Pauses, "0.34", "each = \"1s\"\n")},
	{"aside-spoilt-slow", "a third of the destinations send malformed responses, others slow down",
		destinationFault(Malformed, "0.34", "share = 0.5\n") + destinationFault(Slow, "0.3", "size = 20\n")},
	{"aside-leave-refuse", "half of the senders shut down while destinations refuse connections",
		destinationFault(Refuse, "0.3", "") + `
[[fault]]
kind = "stop"
at = "2500ms"
for = "1s"
part = 0.5
`},
}

// setNames returns the names of a set's scenarios in their order.
func setNames(set []setScenario) (names []string) {
	for _, s := range set {
		names = append(names, s.name)
	}
	return names
}

// FailingSet returns the names of the scenarios in which some destinations fail, in the order of reports.
func FailingSet() []string { return setNames(failingSet) }

// ValidationSet returns the names of the scenarios on which the model is compared with socket runs.
func ValidationSet() []string { return setNames(validationSet) }

// setScenarioText returns the text of a scenario of one of the sets.
func setScenarioText(name string) (text string, ok bool) {
	for _, set := range []struct {
		base      string
		scenarios []setScenario
	}{{failingBase, failingSet}, {validationBase, validationSet}} {
		if i := slices.IndexFunc(set.scenarios, func(s setScenario) bool { return s.name == name }); i >= 0 {
			return fmt.Sprintf("name = %q\nabout = %q\n", name, set.scenarios[i].about) + set.base +
				set.scenarios[i].extra, true
		}
	}
	return "", false
}

// WithoutFaults returns a copy of the scenario without its faults.
func (s *Scenario) WithoutFaults() *Scenario {
	faultless := *s
	faultless.Faults = nil
	return &faultless
}
