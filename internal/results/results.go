// Package results summarizes the outcomes of notices: how many were delivered, the credit that they earned, and how
// long the delivery took. Runs on sockets and the model in simulated time use the same code.
package results

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"chuteweir.example/chuteweir/rules"
)

// Times holds quantiles of a distribution of times, in milliseconds.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   float64 `json:"max"`
}

// Summarize converts a histogram of microseconds into Times.
func Summarize(h *hdrhistogram.Histogram) Times {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Times{h.TotalCount(), at(50), at(99), at(99.9), float64(h.Max()) / 1000}
}

// Share is the result of a subset of the notices, such as those of one grade.
type Share struct {
	Name      string  `json:"name"`
	Asked     int     `json:"asked"` // distinct notices, however often each was submitted
	Delivered int     `json:"delivered"`
	Credit    float64 `json:"credit"` // earned share of the credit that the notices were worth, from 0 to 1
	Delivery  Times   `json:"delivery_ms"`
}

// Tally collects the results of a subset of the notices.
type Tally struct {
	share                     Share
	creditAsked, creditEarned float64
	Deliveries                *hdrhistogram.Histogram // delivery times, in microseconds
}

// NewTally creates an empty tally. It records delivery times from 1 µs to an hour with three significant digits.
func NewTally(name string) *Tally {
	return &Tally{share: Share{Name: name}, Deliveries: hdrhistogram.New(1, 3_600_000_000, 3)}
}

// Add counts a notice: the credit that it was worth, the credit that it earned, and the delivery time if it was
// delivered.
func (t *Tally) Add(asked, earned float64, delivered bool, deliveryTime rules.Millis) {
	t.share.Asked++
	t.creditAsked += asked
	t.creditEarned += earned
	if delivered {
		t.share.Delivered++
		t.Deliveries.RecordValue(max(int64(deliveryTime*1000), 1))
	}
}

// Share returns the result of the notices counted so far.
func (t *Tally) Share() Share {
	s := t.share
	if t.creditAsked > 0 {
		s.Credit = t.creditEarned / t.creditAsked
	}
	s.Delivery = Summarize(t.Deliveries)
	return s
}
