package calls

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/rules"
)

// maxWaitSeconds is the upper bound of a requested wait: about eleven days.
const maxWaitSeconds = 1e6

// retryAfter returns the wait that the Retry-After headers of a response request. A header holds seconds, with
// decimals allowed, or an HTTP date, which is compared with now. The longest of several applies. The result is 0 if
// there is none that can be parsed.
func retryAfter(message *http1.Message, now time.Time) rules.Millis {
	longest := 0.0
	for _, field := range message.Fields {
		if field.Name == "retry-after" {
			longest = max(longest, parseRetryAfter(field.Value, now))
		}
	}
	return rules.Millis(min(longest, maxWaitSeconds) * 1000)
}

// parseRetryAfter returns the wait in seconds that the value of one Retry-After header requests; 0 if it can't be
// parsed. Negative seconds and dates in the past give a negative number.
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
