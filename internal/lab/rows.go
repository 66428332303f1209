package lab

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"runtime/debug"
	"slices"
	"sync"

	"chuteweir.example/chuteweir/internal/model"
)

// Figure is a quantity that is computed from the result of each run.
type Figure struct {
	Name          string
	Value         func(*model.Result) float64
	LowerIsBetter bool
}

// ratio returns count/total. A total of 0 is taken as 1, so that the result is a number.
func ratio(count, total int) float64 { return float64(count) / float64(max(total, 1)) }

// Figures lists the figures that rows contain, in the order in which tables show them. Those that divide a count by
// All.Asked are per notice that clients submitted.
var Figures = []Figure{
	{"credit", func(r *model.Result) float64 { return r.All.Credit }, false},
	{"worst grade", func(r *model.Result) float64 {
		worst := 1.0
		for _, g := range r.Grades {
			if g.Asked > 0 {
				worst = min(worst, g.Credit)
			}
		}
		return worst
	}, false},
	{"delivered", func(r *model.Result) float64 { return ratio(r.All.Delivered, r.All.Asked) }, false},
	{"p50 ms", func(r *model.Result) float64 { return r.All.Delivery.P50 }, true},
	{"p99 ms", func(r *model.Result) float64 { return r.All.Delivery.P99 }, true},
	{"calls", func(r *model.Result) float64 { return ratio(r.Calls, r.All.Asked) }, true},
	{"refused calls", func(r *model.Result) float64 { return ratio(r.RefusedCalls, r.All.Asked) }, true},
	{"further", func(r *model.Result) float64 { return ratio(r.FurtherCalls, r.All.Asked) }, true},
	{"refused", func(r *model.Result) float64 { return ratio(r.Refused, r.All.Asked) }, true},
	{"dismissed", func(r *model.Result) float64 { return ratio(r.Dismissed, r.All.Asked) }, true},
	{"broken off", func(r *model.Result) float64 { return ratio(r.BrokenOff, r.All.Asked) }, true},
	{"second effects", func(r *model.Result) float64 { return float64(r.SecondEffects) }, true},
	{"pushed over", func(r *model.Result) float64 { return float64(r.Overloads) }, true},
	{"breaches", func(r *model.Result) float64 { return float64(len(r.Breaches)) }, true},
}

// Row is the record of one run, stored as a line of JSON.
type Row struct {
	Variant  string             `json:"way"`
	Scenario string             `json:"scenario"`
	Hash     string             `json:"hash"` // of the scenario file's text with the variant's settings applied
	Seed     uint64             `json:"seed"`
	Revision string             `json:"revision"`          // of the program's source
	Command  string             `json:"command,omitempty"` // command line that made the run
	Figures  map[string]float64 `json:"figures"`

	Result *model.Result `json:"-"`
}

// Revision returns the source revision that this program was built from, with a + if the source had uncommitted
// changes.
func Revision() string {
	revision, modified := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				revision = s.Value[:min(12, len(s.Value))]
			case "vcs.modified":
				if s.Value == "true" {
					modified = "+"
				}
			}
		}
	}
	return revision + modified
}

// Plan describes a series of runs: each variant of a scenario with each seed.
type Plan struct {
	Scenario string
	Variants []Variant
	Seeds    []uint64
	Parallel int  // runs at a time; below 1: one
	Record   bool // keep what the audit of the six rules needs, and audit each run
	Network  model.Network
	Command  string    // the command line, which rows record
	OnRow    func(Row) // called for each run, by seed and then by variant
}

// ErrInterrupted reports that a plan or search was interrupted. The runs that completed before are kept.
var ErrInterrupted = errors.New("interrupted: the completed runs are kept")

// interrupted returns ErrInterrupted, wrapped with the context's cause unless that is a plain cancellation, as by a
// signal.
func interrupted(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return fmt.Errorf("%w: %w", ErrInterrupted, cause)
	}
	return ErrInterrupted
}

// Run runs each variant with each seed, up to Parallel runs at a time, each on one processor. The order of the rows
// and their figures don't depend on Parallel. If ctx is cancelled, Run returns the rows so far and ErrInterrupted.
func (p Plan) Run(ctx context.Context) ([]Row, error) {
	type job struct {
		variant Variant
		seed    uint64
		row     Row
		err     error
		done    chan struct{}
	}
	var jobs []*job
	for _, seed := range p.Seeds {
		for _, variant := range p.Variants {
			jobs = append(jobs, &job{variant: variant, seed: seed, done: make(chan struct{})})
		}
	}
	queue, revision := make(chan *job), Revision()
	var workers sync.WaitGroup
	for range max(p.Parallel, 1) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for j := range queue {
				j.row, j.err = p.runOne(ctx, j.variant, j.seed, revision)
				close(j.done)
			}
		}()
	}
	go func() {
		defer close(queue)
		for _, j := range jobs {
			select {
			case queue <- j:
			case <-ctx.Done():
				return
			}
		}
	}()
	var rows []Row
	for _, j := range jobs {
		select {
		case <-j.done:
		case <-ctx.Done():
			workers.Wait()
			return rows, interrupted(ctx)
		}
		if j.err != nil {
			return rows, j.err
		}
		if j.row.Result.Cancelled {
			return rows, interrupted(ctx)
		}
		rows = append(rows, j.row)
		if p.OnRow != nil {
			p.OnRow(j.row)
		}
	}
	return rows, nil
}

// runOne runs one variant with one seed. Figures that are NaN are left out of the row.
func (p Plan) runOne(ctx context.Context, variant Variant, seed uint64, revision string) (Row, error) {
	s, err := variant.Scenario(p.Scenario, seed)
	if err != nil {
		return Row{}, err
	}
	text, err := variant.Text(p.Scenario)
	if err != nil {
		return Row{}, err
	}
	policy, err := model.PolicyOf(variant.Policy, s)
	if err != nil {
		return Row{}, err
	}
	r := model.Run(ctx, s, model.Options{Policy: policy, Workers: 1, Record: p.Record, Network: p.Network})
	digest := sha256.Sum256(text)
	row := Row{Variant: variant.Name, Scenario: s.Name, Hash: hex.EncodeToString(digest[:6]), Seed: seed,
		Revision: revision, Command: p.Command,
		Figures: map[string]float64{}, Result: r}
	for _, f := range Figures {
		if x := f.Value(r); x == x {
			row.Figures[f.Name] = x
		}
	}
	return row, nil
}

// AppendRows appends rows to a file, one line of JSON each.
func AppendRows(path string, rows []Row) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("appending rows: %w", err)
	}
	defer f.Close()
	out := json.NewEncoder(f)
	for _, r := range rows {
		if err := out.Encode(r); err != nil {
			return fmt.Errorf("appending rows: %w", err)
		}
	}
	return f.Close()
}

// LoadRows reads a file that AppendRows wrote.
func LoadRows(path string) ([]Row, error) {
	f, err := os.Open(path)
	if err != nil {
		if errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("rows file %s does not exist: lab run --rows writes one", path)
		}
		return nil, fmt.Errorf("reading rows: %w", err)
	}
	defer f.Close()
	var rows []Row
	in := bufio.NewReader(f)
	for line := 1; ; line++ {
		text, err := in.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) > 0 {
			var r Row
			if err := json.Unmarshal(text, &r); err != nil {
				return nil, fmt.Errorf("%s:%d: expected a row in JSON: %w", path, line, err)
			}
			rows = append(rows, r)
		}
		if err == io.EOF {
			return rows, nil
		}
		if err != nil {
			return nil, fmt.Errorf("reading rows: %w", err)
		}
	}
}

// Values returns a figure of a variant's runs, ordered by seed. Rows without the figure are left out.
func Values(rows []Row, variant, figure string) (values []float64) {
	var selected []Row
	for _, r := range rows {
		if r.Variant == variant {
			selected = append(selected, r)
		}
	}
	slices.SortStableFunc(selected, func(a, b Row) int { return cmp.Compare(a.Seed, b.Seed) })
	for _, r := range selected {
		if x, ok := r.Figures[figure]; ok {
			values = append(values, x)
		}
	}
	return values
}

// VariantNames returns the names of the variants in rows, in the order of their first rows.
func VariantNames(rows []Row) (names []string) {
	for _, r := range rows {
		if !slices.Contains(names, r.Variant) {
			names = append(names, r.Variant)
		}
	}
	return names
}

// ConsecutiveSeeds returns count seeds: first, first+1 and so on.
func ConsecutiveSeeds(first uint64, count int) (seeds []uint64) {
	for i := range count {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}
