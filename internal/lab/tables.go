package lab

import (
	"fmt"
	"strings"
)

// FigureNames are the names of the figures.
func FigureNames() (names []string) {
	for _, f := range Figures {
		names = append(names, f.Name)
	}
	return names
}

// Table is a Markdown table of rows: a line for each way, mean and 95% interval over the seeds.
func Table(rows []Row) string {
	var b strings.Builder
	names := FigureNames()
	fmt.Fprintf(&b, "| way | seeds | %s |\n|%s\n", strings.Join(names, " | "), strings.Repeat(" --- |", len(names)+2))
	for _, way := range Ways(rows) {
		n := 0
		for _, r := range rows {
			if r.Way == way {
				n++
			}
		}
		fmt.Fprintf(&b, "| %s | %d", way, n)
		for _, f := range names {
			values := Values(rows, way, f)
			if len(values) == 0 {
				b.WriteString(" | -")
				continue
			}
			fmt.Fprintf(&b, " | %s", cell(Of(values)))
		}
		b.WriteString(" |\n")
	}
	return b.String()
}

func cell(e Estimate) string {
	digits := 3
	if e.Mean >= 10 || e.Mean <= -10 {
		digits = 1
	}
	if e.N < 2 {
		return fmt.Sprintf("%.*f", digits, e.Mean)
	}
	return fmt.Sprintf("%.*f ± %.*f", digits, e.Mean, digits, e.Half())
}

// Compare is a Markdown table of the difference between two ways over the seeds that both have.
func Compare(rows []Row, a, b string) string {
	var first, second []Row
	for _, r := range rows {
		switch r.Way {
		case a:
			first = append(first, r)
		case b:
			second = append(second, r)
		}
	}
	return compare(first, second, a, b)
}

// CompareRows compares the rows of two builds, over the seeds that both have; a scenario that differs is an error.
func CompareRows(first, second []Row) (string, error) {
	if len(first) == 0 || len(second) == 0 {
		return "", fmt.Errorf("no rows on one side")
	}
	for _, r := range append(append([]Row(nil), first...), second...) {
		if r.Hash != first[0].Hash {
			return "", fmt.Errorf("seed %d of %s was played on another scenario or with other settings (%s, not %s)", r.Seed, r.Revision, r.Hash, first[0].Hash)
		}
	}
	return compare(first, second, first[0].Revision, second[0].Revision), nil
}

func compare(first, second []Row, a, b string) string {
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
	fmt.Fprintf(&out, "A: %s\nB: %s\n%d seeds, the same for both; 95%% intervals\n\n| figure | A | B | B less A | |\n| --- | --- | --- | --- | --- |\n", a, b, pairs)
	for _, f := range Figures {
		var va, vb []float64
		for _, r := range first {
			o, ok := bySeed[r.Seed]
			x, has := r.Figures[f.Name]
			y, also := o.Figures[f.Name]
			if ok && has && also {
				va, vb = append(va, x), append(vb, y)
			}
		}
		if len(va) == 0 {
			continue
		}
		d, verdict := Difference(va, vb), "no difference seen"
		switch {
		case len(va) < 2:
			verdict = "one seed tells nothing"
		case d.Sure() && (d.Mean > 0) != f.Less:
			verdict = "B is better"
		case d.Sure():
			verdict = "A is better"
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s |\n", f.Name, cell(Of(va)), cell(Of(vb)), cell(d), verdict)
	}
	return out.String()
}
