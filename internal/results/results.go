// Package results sums up what notices came to: how many were delivered, the credit that they earned, and how long it
// took. Trials on sockets and the model in simulated time count by the same code.
package results

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"chuteweir.example/chuteweir/rules"
)

// Times is a spread of times in milliseconds.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   float64 `json:"max"`
}

// Spread reads a histogram of microseconds.
func Spread(h *hdrhistogram.Histogram) Times {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Times{h.TotalCount(), at(50), at(99), at(99.9), float64(h.Max()) / 1000}
}

// Share is what a part of the notices came to.
type Share struct {
	Name      string  `json:"name"`
	Asked     int     `json:"asked"` // notices wanted, however often handed in
	Delivered int     `json:"delivered"`
	Credit    float64 `json:"credit"` // earned of what was asked, from 0 to 1
	Delivery  Times   `json:"delivery_ms"`
}

// Tally counts a share up.
type Tally struct {
	share         Share
	asked, earned float64
	Spread        *hdrhistogram.Histogram // of deliveries, in microseconds
}

// NewTally begins a count.
func NewTally(name string) *Tally {
	return &Tally{share: Share{Name: name}, Spread: hdrhistogram.New(1, 3_600_000_000, 3)}
}

// Add counts a notice: the credit that it asked for and earned, and how long it took if it was delivered.
func (t *Tally) Add(asked, earned float64, delivered bool, after rules.Millis) {
	t.share.Asked++
	t.asked += asked
	t.earned += earned
	if delivered {
		t.share.Delivered++
		t.Spread.RecordValue(max(int64(after*1000), 1))
	}
}

// Share is the count so far.
func (t *Tally) Share() Share {
	s := t.share
	if t.asked > 0 {
		s.Credit = t.earned / t.asked
	}
	s.Delivery = Spread(t.Spread)
	return s
}
