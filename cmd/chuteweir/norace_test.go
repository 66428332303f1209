//go:build !race

package main

// buildFlags build the program under test without the race detector, as the tests themselves.
var buildFlags = []string{}
