package main

import (
	"time"

	"chuteweir.example/chuteweir/rules"
)

// millis converts a duration to milliseconds.
func millis(d time.Duration) rules.Millis { return rules.Millis(d) / rules.Millis(time.Millisecond) }
