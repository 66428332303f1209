//go:build race

package main

// buildFlags build the program under test with the race detector, as the tests themselves.
var buildFlags = []string{"-race"}
