package main

import (
	"context"
	"fmt"
	"math"
	"strings"

	"chuteweir.example/chuteweir/internal/lab"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/internal/trial"
)

// validateModel compares the model's predictions with runs on sockets. It returns a table, and the share of the runs
// whose credit lies within the predicted interval. The interval is for a single run: it covers the deviation of single
// seeds and the error of the mean, and its half width is at least minHalfWidth, which allows for the credit that any
// run loses on a busy machine.
func (l *labFlags) validateModel(ctx context.Context, program string, names []string,
	tries int) (text string, shareWithin float64, err error) {
	const minHalfWidth = 0.005
	if len(names) == 0 {
		names = scenario.Builtin()
	}
	var table strings.Builder
	fmt.Fprintf(&table,
		"Predicted by the model over %d seeds; measured by `try` on loopback, %d other seeds each. A measured run holds if it falls "+
			"within the prediction of a single run (95%%, and %.3f at the least).\n\n"+
			"| scenario | credit predicted | for a single run | credit measured | calls a notice | measured | dismissed a notice | measured | holds |\n"+
			"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", l.seeds, tries, minHalfWidth)
	within, total := 0, 0
	l.network.Delay, l.network.Jitter = millis(l.delay), millis(l.jitter)
	for _, name := range names {
		plan := lab.Plan{Scenario: name, Variants: []lab.Variant{{Name: "ours", Policy: "ours"}},
			Seeds: lab.ConsecutiveSeeds(l.seed, l.seeds), Parallel: l.parallel, Network: l.network}
		rows, err := plan.Run(ctx)
		if err != nil {
			return table.String(), 0, err
		}
		credit := lab.EstimateMean(lab.Values(rows, "ours", "credit"))
		halfWidth := max(1.96*credit.Deviation*math.Sqrt(1+1/float64(credit.N))*1.02, minHalfWidth)
		calls, dismissed := lab.EstimateMean(lab.Values(rows, "ours", "calls")),
			lab.EstimateMean(lab.Values(rows, "ours", "dismissed"))
		var creditMeasured, callsMeasured, dismissedMeasured, verdict []string
		err = runParallel(tries, tries, func(i int) (*trial.Result, error) {
			s, err := scenario.Load(name)
			if err != nil {
				return nil, err
			}
			s.Seed = l.seed + uint64(l.seeds+i)
			return trial.Run(ctx, trial.Options{Scenario: s, Start: trial.ServeCommand(program, "info")})
		}, func(result *trial.Result) error {
			asked := float64(max(result.All.Asked, 1))
			creditMeasured = append(creditMeasured, fmt.Sprintf("%.4f", result.All.Credit))
			callsMeasured = append(callsMeasured, fmt.Sprintf("%.3f", float64(result.Calls)/asked))
			dismissedMeasured = append(dismissedMeasured, fmt.Sprintf("%.3f", float64(result.Dismissed)/asked))
			total++
			if math.Abs(result.All.Credit-credit.Mean) <= halfWidth {
				within++
				verdict = append(verdict, "yes")
			} else {
				verdict = append(verdict, "**no**")
			}
			return nil
		})
		if err != nil {
			return table.String(), 0, err
		}
		fmt.Fprintf(&table, "| %s | %.4f ± %.4f | ± %.4f | %s | %.3f | %s | %.3f | %s | %s |\n", name, credit.Mean,
			credit.HalfWidth(), halfWidth, strings.Join(creditMeasured, ", "), calls.Mean,
			strings.Join(callsMeasured, ", "), dismissed.Mean, strings.Join(dismissedMeasured, ", "),
			strings.Join(verdict, ", "))
	}
	return table.String(), float64(within) / float64(max(total, 1)), nil
}
