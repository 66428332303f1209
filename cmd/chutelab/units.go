package main

import (
	"time"

	"chuteweir.example/chuteweir/rules"
)

func millis(d time.Duration) rules.Millis { return rules.Millis(d) / rules.Millis(time.Millisecond) }
