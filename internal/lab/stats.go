// Package lab runs scenarios in the simulation model over many seeds and compares variants of a scenario, with
// confidence intervals. All of its figures come from the model, none from measurements on sockets.
package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean over seeds with its 95% confidence interval.
type Estimate struct {
	N         int     `json:"n"`
	Mean      float64 `json:"mean"`
	Low, High float64
	Deviation float64 `json:"deviation"` // standard deviation of single seeds
}

// EstimateMean estimates the mean of values, with an interval by Student's t distribution. The interval of a single
// value is infinite.
func EstimateMean(values []float64) Estimate {
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
	halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(e.N - 1)}.Quantile(0.975) *
		stat.StdErr(e.Deviation, float64(e.N))
	e.Low, e.High = e.Mean-halfWidth, e.Mean+halfWidth
	return e
}

// HalfWidth returns half of the interval's width.
func (e Estimate) HalfWidth() float64 { return (e.High - e.Low) / 2 }

// ExcludesZero reports whether 0 lies outside the interval.
func (e Estimate) ExcludesZero() bool { return e.Low > 0 || e.High < 0 }

// String formats the mean, followed by plus or minus half of the interval's width if there are two values or more.
func (e Estimate) String() string {
	if e.N < 2 {
		return fmt.Sprintf("%.4f", e.Mean)
	}
	return fmt.Sprintf("%.4f ± %.4f", e.Mean, e.HalfWidth())
}

// PairedDifference estimates the mean of b[i]-a[i]. The values of a pair come from the same seed, which cancels the
// random variation that both share.
func PairedDifference(a, b []float64) Estimate {
	var differences []float64
	for i := range min(len(a), len(b)) {
		differences = append(differences, b[i]-a[i])
	}
	return EstimateMean(differences)
}

// BootstrapInterval returns the 95% confidence interval of a statistic by resampling. It is for statistics to which
// Student's t distribution doesn't apply, such as percentiles. The seed determines the resampling.
func BootstrapInterval(values []float64, statistic func([]float64) float64, seed uint64) (low, high float64) {
	const resamples = 1000
	rng := rand.New(rand.NewPCG(seed, 1))
	sample, results := make([]float64, len(values)), make([]float64, resamples)
	for i := range results {
		for j := range sample {
			sample[j] = values[rng.IntN(len(values))]
		}
		results[i] = statistic(sample)
	}
	slices.Sort(results)
	return stat.Quantile(0.025, stat.Empirical, results, nil), stat.Quantile(0.975, stat.Empirical, results, nil)
}

// Median returns the median of values, the lower of the two middle values if their number is even.
func Median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return stat.Quantile(0.5, stat.Empirical, sorted, nil)
}
