//go:build race

package trial

// buildFlags builds the sender with the race detector when the tests run with it.
var buildFlags = []string{"-race"}
