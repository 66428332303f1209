//go:build !race

package trial

// buildFlags is empty when the tests run without the race detector.
var buildFlags []string
