package loop

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// reloaderTest is a reloader whose readings the test ends.
type reloaderTest struct {
	reloader
	begun   chan bool   // receives a value when a reading begins
	end     chan string // the address that the reading under way returns, or "" for a failure
	posted  chan func() // for the goroutine of the loop
	applied []string    // addresses, or "" for a failure
}

// newReloaderTest returns a reloaderTest without a reading.
func newReloaderTest() *reloaderTest {
	test := &reloaderTest{begun: make(chan bool, 10), end: make(chan string), posted: make(chan func(), 10)}
	test.reloader = reloader{post: func(run func()) { test.posted <- run },
		read: func() (Config, error) {
			test.begun <- true
			if address := <-test.end; address != "" {
				return Config{Discovery: address}, nil
			}
			return Config{}, errors.New("can't be read")
		},
		apply: func(result reloadResult) { test.applied = append(test.applied, result.config.Discovery) }}
	return test
}

// endReading ends the reading under way and applies its result.
func (test *reloaderTest) endReading(address string) {
	<-test.begun
	test.end <- address
	(<-test.posted)()
}

// Guards against a reading that stops the loop.
func TestRequestDoesNotWaitForTheReading(t *testing.T) {
	test := newReloaderTest()
	started := time.Now()
	for range 5 {
		test.request()
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("five requests took %v while a reading was under way", took)
	}
	test.endReading("a")
	test.endReading("b")
}

// Guards against a configuration that is missed because it was replaced while an earlier one was read, and against
// readings that overtake each other.
func TestConfigurationIsReadAgainAfterARequestDuringTheReading(t *testing.T) {
	test := newReloaderTest()
	for range 3 {
		test.request()
	}
	test.endReading("first")
	test.endReading("last")
	time.Sleep(10 * time.Millisecond)
	if len(test.begun) > 0 || test.reading {
		t.Error("the configuration was read more than once after the requests during its first reading")
	}
	test.request()
	test.endReading("")
	test.request()
	test.endReading("next")
	if want := []string{"first", "last", "", "next"}; !slices.Equal(test.applied, want) {
		t.Errorf("applied %q, want %q", test.applied, want)
	}
}

// Guards against thousands of log lines for a large file in which each receiver has a fault.
func TestLoggedFaultsAreBounded(t *testing.T) {
	var text strings.Builder
	for i := range 3 * maxLoggedFaults {
		fmt.Fprintf(&text, "c.toml:%d: fault\n", i)
	}
	lines := faultLines(errors.New(strings.TrimSpace(text.String())))
	if len(lines) != maxLoggedFaults+1 || lines[0] != "c.toml:0: fault" || lines[maxLoggedFaults] != "200 further faults" {
		t.Errorf("%d lines, the last is %q", len(lines), lines[len(lines)-1])
	}
	if lines := faultLines(errors.New("one\ntwo")); !slices.Equal(lines, []string{"one", "two"}) {
		t.Errorf("lines %q of an error with two", lines)
	}
	if faultLines(nil) != nil {
		t.Error("there are faults without an error")
	}
}
