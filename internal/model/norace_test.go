//go:build !race

package model

// raced says whether the race detector is on.
const raced = false
