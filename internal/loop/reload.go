package loop

import (
	"fmt"
	"slices"
	"strings"

	"chuteweir.example/chuteweir/internal/logs"
)

// maxLoggedFaults is the number of faults of a configuration that are logged.
const maxLoggedFaults = 100

// reloadResult is what reading a configuration has returned.
type reloadResult struct {
	config Config
	faults []string // why the configuration can't be used; empty if it can
}

// reloader reads the configuration on a goroutine of its own, because that takes a time that grows with the fleet. One
// reading is under way at a time, so that a result never follows that of a later request.
type reloader struct {
	read  func() (Config, error)
	post  func(func())       // calls a function on the loop's goroutine
	apply func(reloadResult) // called on the loop's goroutine
	// reading says that a reading is under way, and again that it was requested once more since it began.
	reading, again bool
}

// request begins to read the configuration, now or after the reading that is under way: the file may have been replaced
// since that began.
func (r *reloader) request() {
	if r.reading {
		r.again = true
		return
	}
	r.reading = true
	go func() {
		config, err := r.read()
		result := reloadResult{config, faultLines(err)}
		r.post(func() { r.finish(result) })
	}()
}

// finish applies the result of a reading, and begins the next one if it was requested.
func (r *reloader) finish(result reloadResult) {
	r.reading = false
	r.apply(result)
	if r.again {
		r.again = false
		r.request()
	}
}

// faultLines returns the lines of an error, of which there may be thousands: the first maxLoggedFaults, and a line
// with the number of the others.
func faultLines(err error) []string {
	if err == nil {
		return nil
	}
	var lines []string
	for line := range strings.Lines(err.Error()) {
		lines = append(lines, strings.TrimSpace(line))
	}
	if others := len(lines) - maxLoggedFaults; others > 0 {
		lines = append(slices.Clone(lines[:maxLoggedFaults]), fmt.Sprintf("%d further faults", others))
	}
	return lines
}

// applyReload applies a new configuration, of which only the address of the directory is used. An unusable
// configuration changes nothing.
func (l *Loop) applyReload(result reloadResult) {
	if len(result.faults) > 0 {
		for _, fault := range result.faults {
			l.log.Error(logs.ReloadRefused, "why", fault)
		}
		return
	}
	l.counters.Reloads++
	l.log.Info(logs.Reloaded, "discovery", result.config.Discovery, "owed", l.directory.Pending())
	l.directory.SetAddress(result.config.Discovery)
}
