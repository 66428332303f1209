package calls

import (
	"net/http"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/rules"
)

// Retry-After holds seconds or an HTTP date, may be repeated, and may be unusable.
func TestRetryAfterForms(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		values []string
		want   rules.Millis
	}{
		{nil, 0}, {[]string{"0"}, 0}, {[]string{"2"}, 2000}, {[]string{"0.25"}, 250},
		{[]string{"-1"}, 0}, {[]string{"soon"}, 0}, {[]string{"NaN"}, 0},
		{[]string{"1", "3", "2"}, 3000}, {[]string{"2000000"}, 1e9}, {[]string{"1e400"}, 1e9},
		{[]string{now.Add(90 * time.Second).UTC().Format(http.TimeFormat)}, 90_000},
		{[]string{now.Add(-time.Hour).UTC().Format(http.TimeFormat)}, 0},
	} {
		m := &http1.Message{}
		for _, value := range c.values {
			m.Fields = append(m.Fields, http1.Field{Name: "retry-after", Value: value})
		}
		if got := retryAfter(m, now); got != c.want {
			t.Errorf("Retry-After %q: wait of %.0f ms, want %.0f ms", c.values, got, c.want)
		}
	}
}
