package lab

import (
	"fmt"
	"strings"
)

// FigureNames returns the names of Figures, in their order.
func FigureNames() (names []string) {
	for _, f := range Figures {
		names = append(names, f.Name)
	}
	return names
}

// SummaryTable returns a Markdown table with a line for each variant: the mean and 95% interval of each figure over
// the seeds.
func SummaryTable(rows []Row) string {
	var b strings.Builder
	names := FigureNames()
	fmt.Fprintf(&b, "| way | seeds | %s |\n|%s\n", strings.Join(names, " | "), strings.Repeat(" --- |", len(names)+2))
	for _, variant := range VariantNames(rows) {
		seeds := 0
		for _, r := range rows {
			if r.Variant == variant {
				seeds++
			}
		}
		fmt.Fprintf(&b, "| %s | %d", variant, seeds)
		for _, f := range names {
			values := Values(rows, variant, f)
			if len(values) == 0 {
				b.WriteString(" | -")
				continue
			}
			fmt.Fprintf(&b, " | %s", formatCell(EstimateMean(values)))
		}
		b.WriteString(" |\n")
	}
	return b.String()
}

// formatCell formats an estimate for a table, with one decimal from 10 up and three below.
func formatCell(e Estimate) string {
	digits := 3
	if e.Mean >= 10 || e.Mean <= -10 {
		digits = 1
	}
	if e.N < 2 {
		return fmt.Sprintf("%.*f", digits, e.Mean)
	}
	return fmt.Sprintf("%.*f ± %.*f", digits, e.Mean, digits, e.HalfWidth())
}

// CompareVariants returns a Markdown table of the differences between two variants over the seeds that both have.
func CompareVariants(rows []Row, a, b string) string {
	var first, second []Row
	for _, r := range rows {
		switch r.Variant {
		case a:
			first = append(first, r)
		case b:
			second = append(second, r)
		}
	}
	return comparisonTable(first, second, a, b)
}

// CompareRows returns a Markdown table of the differences between the runs of two builds over the seeds that both
// have. Both must have run the same scenario with the same settings.
func CompareRows(first, second []Row) (string, error) {
	if len(first) == 0 || len(second) == 0 {
		return "", fmt.Errorf("one of the two builds has no rows")
	}
	for _, r := range append(append([]Row(nil), first...), second...) {
		if r.Hash != first[0].Hash {
			return "", fmt.Errorf("seed %d of %s ran another scenario or other settings than the first row: hash %s, expected %s",
				r.Seed, r.Revision, r.Hash, first[0].Hash)
		}
	}
	return comparisonTable(first, second, first[0].Revision, second[0].Revision), nil
}

// comparisonTable returns a Markdown table of the figures of two sides, A and B, and their paired differences.
func comparisonTable(first, second []Row, nameA, nameB string) string {
	bySeed := map[uint64]Row{}
	for _, r := range second {
		bySeed[r.Seed] = r
	}
	var out strings.Builder
	pairs := 0
	for _, r := range first {
		if _, ok := bySeed[r.Seed]; ok {
			pairs++
		}
	}
	fmt.Fprintf(&out,
		"A: %s\nB: %s\n%d seeds, the same for both; 95%% intervals\n\n| figure | A | B | B less A | |\n| --- | --- | --- | --- | --- |\n",
		nameA, nameB, pairs)
	for _, f := range Figures {
		var valuesA, valuesB []float64
		for _, r := range first {
			other, ok := bySeed[r.Seed]
			x, xFound := r.Figures[f.Name]
			y, yFound := other.Figures[f.Name]
			if ok && xFound && yFound {
				valuesA, valuesB = append(valuesA, x), append(valuesB, y)
			}
		}
		if len(valuesA) == 0 {
			continue
		}
		difference, verdict := PairedDifference(valuesA, valuesB), "no difference seen"
		switch {
		case len(valuesA) < 2:
			verdict = "one seed is not enough"
		case difference.ExcludesZero() && (difference.Mean > 0) != f.LowerIsBetter:
			verdict = "B is better"
		case difference.ExcludesZero():
			verdict = "A is better"
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s |\n", f.Name, formatCell(EstimateMean(valuesA)),
			formatCell(EstimateMean(valuesB)), formatCell(difference), verdict)
	}
	return out.String()
}
