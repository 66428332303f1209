// Package lab plays scenarios in the model many times over, and says what the difference between two ways is worth,
// with error bars. All of its figures are the model's.
package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean over seeds with its 95% interval.
type Estimate struct {
	N         int     `json:"n"`
	Mean      float64 `json:"mean"`
	Low, High float64
	Deviation float64 `json:"deviation"` // of single seeds
}

// Of estimates a mean by Student's t. One value alone has no interval.
func Of(values []float64) Estimate {
	e := Estimate{N: len(values)}
	if e.N == 0 {
		e.Mean, e.Low, e.High = math.NaN(), math.NaN(), math.NaN()
		return e
	}
	e.Mean, e.Deviation = stat.MeanStdDev(values, nil)
	if e.Low, e.High = e.Mean, e.Mean; e.N < 2 {
		e.Deviation, e.Low, e.High = 0, math.Inf(-1), math.Inf(1)
		return e
	}
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(e.N - 1)}.Quantile(0.975) * stat.StdErr(e.Deviation, float64(e.N))
	e.Low, e.High = e.Mean-half, e.Mean+half
	return e
}

// Half is half of the interval's width.
func (e Estimate) Half() float64 { return (e.High - e.Low) / 2 }

// Sure tells whether the interval does not hold 0.
func (e Estimate) Sure() bool { return e.Low > 0 || e.High < 0 }

func (e Estimate) String() string {
	if e.N < 2 {
		return fmt.Sprintf("%.4f", e.Mean)
	}
	return fmt.Sprintf("%.4f ± %.4f", e.Mean, e.Half())
}

// Difference estimates b-a over pairs that share their seeds: what both have by chance falls out.
func Difference(a, b []float64) Estimate {
	var differences []float64
	for i := range min(len(a), len(b)) {
		differences = append(differences, b[i]-a[i])
	}
	return Of(differences)
}

// Bootstrap is the 95% interval of a statistic by resampling, for figures that Student's t doesn't suit, such as
// percentiles. Its chance comes from the seed.
func Bootstrap(values []float64, statistic func([]float64) float64, seed uint64) (low, high float64) {
	const rounds = 1000
	draw := rand.New(rand.NewPCG(seed, 1))
	sample, found := make([]float64, len(values)), make([]float64, rounds)
	for i := range found {
		for j := range sample {
			sample[j] = values[draw.IntN(len(values))]
		}
		found[i] = statistic(sample)
	}
	slices.Sort(found)
	return stat.Quantile(0.025, stat.Empirical, found, nil), stat.Quantile(0.975, stat.Empirical, found, nil)
}

// Median of values.
func Median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return stat.Quantile(0.5, stat.Empirical, sorted, nil)
}
