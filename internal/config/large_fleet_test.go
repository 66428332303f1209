package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/conf"
	"chuteweir.example/chuteweir/internal/directory"
)

// The sizes of fleets that these tests compare.
const (
	usualReceivers = 200
	mostReceivers  = 3200
	// maxGrowth is how much longer reading may take with mostReceivers, as a multiple of linear growth.
	maxGrowth = 4
)

// fleetConfig returns a configuration with a number of receivers, and with a setting that is warned of.
func fleetConfig(t *testing.T, receivers int) Config {
	t.Helper()
	config, faults := FromTOML("f.toml", []byte(completeConfig))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	config.InitialList.Members = nil
	for i := range receivers {
		config.InitialList.Members = append(config.InitialList.Members, directory.Member{ID: fmt.Sprint("s-", i),
			HostPort: fmt.Sprintf("127.3.%d.%d:8443", i/250, 1+i%250), Phase: "ready", Size: 1})
	}
	config.Settings.Slots = -1
	return config
}

// shortestTime returns the shortest time that run takes in a few attempts.
func shortestTime(run func()) time.Duration {
	shortest := time.Hour
	for range 5 {
		started := time.Now()
		run()
		shortest = min(shortest, time.Since(started))
	}
	return shortest
}

// Guards against reading a configuration in a time that grows with the square of the receivers in it.
func TestTimeOfReadingGrowsLinearlyWithTheReceivers(t *testing.T) {
	platform := func(c Config, indent string, cut int) []byte {
		text, err := c.Platform()
		if err != nil {
			t.Fatal(err)
		}
		var formatted bytes.Buffer
		if indent == "" {
			json.Compact(&formatted, text)
		} else {
			json.Indent(&formatted, text, "", indent)
		}
		return formatted.Bytes()[:formatted.Len()-cut]
	}
	readPlatform := func(text []byte) { FromPlatform("c.json", text, "state") }
	for name, form := range map[string]struct {
		write func(Config) []byte
		read  func([]byte)
	}{
		"compact JSON":     {func(c Config) []byte { return platform(c, "", 0) }, readPlatform},
		"indented JSON":    {func(c Config) []byte { return platform(c, "        ", 0) }, readPlatform},
		"JSON cut short":   {func(c Config) []byte { return platform(c, " ", 2) }, readPlatform},
		"TOML":             {Config.TOML, func(text []byte) { FromTOML("f.toml", text) }},
		"TOML with faults": {faultyTOML, func(text []byte) { tomlFaults(text) }},
	} {
		t.Run(name, func(t *testing.T) {
			usual, most := form.write(fleetConfig(t, usualReceivers)), form.write(fleetConfig(t, mostReceivers))
			usualTime := shortestTime(func() { form.read(usual) })
			mostTime := shortestTime(func() { form.read(most) })
			if limit := usualTime * maxGrowth * time.Duration(len(most)) / time.Duration(len(usual)); mostTime > limit {
				t.Errorf("reading took %v with %d receivers and %v with %d, want at most %v", usualTime, usualReceivers,
					mostTime, mostReceivers, limit)
			}
		})
	}
}

// faultyTOML returns a configuration in TOML with a fault in each receiver.
func faultyTOML(c Config) []byte {
	return []byte(strings.ReplaceAll(string(c.TOML()), `standing = "ready"`, `standing = "lost"`))
}

// tomlFaults returns the text of the faults of a configuration in TOML.
func tomlFaults(text []byte) string {
	_, faults := FromTOML("f.toml", text)
	return faults.Error()
}

// Checks that a key's line is found behind a long list, whatever its place, and that malformed text has no lines.
func TestLinesOfKeys(t *testing.T) {
	text := "{\n\"known\": {\"members\": [{\"settings\": 1}]},\n\"settings\": {\n \"classes\": [\n  {\"aim\": 5},\n  {\n   \"aim\":\n 6}],\n \"tick\": 3}, \"seed\": 1}"
	lines := linesOfKeys([]byte(text), "settings")
	for key, want := range map[string]int{"settings": 3, "settings.classes.0.aim": 5, "settings.classes.1.aim": 7,
		"settings.tick": 9, "known": 0} {
		if lines[key] != want {
			t.Errorf("%s is on line %d, want %d", key, lines[key], want)
		}
	}
	for _, malformed := range []string{"", "[1]", "{", "{\"a\": [1, }", "{\"settings\": {\"a\": "} {
		linesOfKeys([]byte(malformed), "settings")
	}
}

// Checks that offsets may be asked for in any order.
func TestLineCounter(t *testing.T) {
	counter := conf.NewLineCounter([]byte("a\nb\n\nc"))
	for _, test := range []struct{ offset, line int }{{0, 1}, {2, 2}, {5, 4}, {3, 2}, {99, 4}, {1, 1}} {
		if line := counter.Line(test.offset); line != test.line {
			t.Errorf("offset %d is on line %d, want %d", test.offset, line, test.line)
		}
	}
}
