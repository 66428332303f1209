package calls

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/rules"
)

// longestWait is what a wait is cut to, in seconds: some eleven days.
const maxWaitSeconds = 1e6

// retryAfter is the time for which an answer asks not to be called, by its Retry-After fields: seconds, decimals allowed, or
// a date by the wall clock. Of several the longest holds; 0: none, or none that can be read.
func retryAfter(message *http1.Message, now time.Time) rules.Millis {
	longest := 0.0
	for _, field := range message.Fields {
		if field.Name == "retry-after" {
			longest = max(longest, parseRetryAfter(field.Value, now))
		}
	}
	return rules.Millis(min(longest, maxWaitSeconds) * 1000)
}

func parseRetryAfter(text string, now time.Time) float64 {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil || math.IsInf(seconds, 1) {
		if math.IsNaN(seconds) {
			return 0
		}
		return seconds
	}
	if date, err := http.ParseTime(text); err == nil {
		return date.Sub(now).Seconds()
	}
	return 0
}
