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

// Figure is something that runs are measured by.
type Figure struct {
	Name string
	Of   func(*model.Result) float64
	Less bool // less is better
}

func each(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// Figures are those that rows hold, in the order in which tables tell them.
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
	{"delivered", func(r *model.Result) float64 { return each(r.All.Delivered, r.All.Asked) }, false},
	{"p50 ms", func(r *model.Result) float64 { return r.All.Delivery.P50 }, true},
	{"p99 ms", func(r *model.Result) float64 { return r.All.Delivery.P99 }, true},
	{"calls", func(r *model.Result) float64 { return each(r.Calls, r.All.Asked) }, true},
	{"refused calls", func(r *model.Result) float64 { return each(r.CallsFull, r.All.Asked) }, true},
	{"further", func(r *model.Result) float64 { return each(r.Further, r.All.Asked) }, true},
	{"refused", func(r *model.Result) float64 { return each(r.Refused, r.All.Asked) }, true},
	{"dismissed", func(r *model.Result) float64 { return each(r.Dismissed, r.All.Asked) }, true},
	{"broken off", func(r *model.Result) float64 { return each(r.BrokenOff, r.All.Asked) }, true},
	{"second effects", func(r *model.Result) float64 { return float64(r.Second) }, true},
	{"pushed over", func(r *model.Result) float64 { return float64(r.Falls) }, true},
	{"breaches", func(r *model.Result) float64 { return float64(len(r.Breaches)) }, true},
}

// Row is one run, as it is kept.
type Row struct {
	Way      string             `json:"way"`
	Scenario string             `json:"scenario"`
	Hash     string             `json:"hash"` // of the scenario's text with the way's settings
	Seed     uint64             `json:"seed"`
	Revision string             `json:"revision"` // of the program
	Command  string             `json:"command,omitempty"`
	Figures  map[string]float64 `json:"figures"`

	Result *model.Result `json:"-"`
}

// Revision is the revision that this program was built from, with a + if it was changed since.
func Revision() string {
	revision, changed := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				revision = s.Value[:min(12, len(s.Value))]
			case "vcs.modified":
				if s.Value == "true" {
					changed = "+"
				}
			}
		}
	}
	return revision + changed
}

// Plan is what is to be played.
type Plan struct {
	Scenario string
	Ways     []Way
	Seeds    []uint64
	Parallel int
	Record   bool // audit each run
	Network  model.Network
	Command  string
	Done     func(Row) // told of each run, in the order of ways and seeds
}

// ErrEnded says that a plan was broken off; what is done is kept.
var ErrEnded = errors.New("broken off: the runs that were done are kept")

// ended is ErrEnded with its cause, if that is not a signal's.
func ended(ctx context.Context) error {
	if why := context.Cause(ctx); why != nil && !errors.Is(why, context.Canceled) {
		return fmt.Errorf("%w: %w", ErrEnded, why)
	}
	return ErrEnded
}

// Run plays a plan: ways times seeds, some at a time, each on one processor. Its rows come in the same order, and with the
// same figures, however many are played at a time.
func (p Plan) Run(ctx context.Context) ([]Row, error) {
	type job struct {
		way  Way
		seed uint64
		row  Row
		err  error
		done chan struct{}
	}
	var jobs []*job
	for _, seed := range p.Seeds {
		for _, w := range p.Ways {
			jobs = append(jobs, &job{way: w, seed: seed, done: make(chan struct{})})
		}
	}
	next, revision := make(chan *job), Revision()
	var workers sync.WaitGroup
	for range max(p.Parallel, 1) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for j := range next {
				j.row, j.err = p.one(ctx, j.way, j.seed, revision)
				close(j.done)
			}
		}()
	}
	go func() {
		defer close(next)
		for _, j := range jobs {
			select {
			case next <- j:
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
			return rows, ended(ctx)
		}
		if j.err != nil {
			return rows, j.err
		}
		if j.row.Result.Broken {
			return rows, ended(ctx)
		}
		rows = append(rows, j.row)
		if p.Done != nil {
			p.Done(j.row)
		}
	}
	return rows, nil
}

func (p Plan) one(ctx context.Context, w Way, seed uint64, revision string) (Row, error) {
	s, err := w.Scenario(p.Scenario, seed)
	if err != nil {
		return Row{}, err
	}
	text, err := w.Text(p.Scenario)
	if err != nil {
		return Row{}, err
	}
	policy, err := model.PolicyOf(w.Policy, s)
	if err != nil {
		return Row{}, err
	}
	r := model.Run(ctx, s, model.Options{Policy: policy, Workers: 1, Record: p.Record, Network: p.Network})
	sum := sha256.Sum256(text)
	row := Row{Way: w.Name, Scenario: s.Name, Hash: hex.EncodeToString(sum[:6]), Seed: seed, Revision: revision, Command: p.Command,
		Figures: map[string]float64{}, Result: r}
	for _, f := range Figures {
		if x := f.Of(r); x == x {
			row.Figures[f.Name] = x
		}
	}
	return row, nil
}

// Keep adds rows to a file, a line each.
func Keep(path string, rows []Row) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("keeping rows: %w", err)
	}
	defer f.Close()
	out := json.NewEncoder(f)
	for _, r := range rows {
		if err := out.Encode(r); err != nil {
			return fmt.Errorf("keeping rows: %w", err)
		}
	}
	return f.Close()
}

// Load reads rows that were kept.
func Load(path string) ([]Row, error) {
	f, err := os.Open(path)
	if err != nil {
		if errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("rows: no file %s: lab run --rows writes one", path)
		}
		return nil, fmt.Errorf("rows: %w", err)
	}
	defer f.Close()
	var rows []Row
	in := bufio.NewReader(f)
	for line := 1; ; line++ {
		text, err := in.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) > 0 {
			var r Row
			if err := json.Unmarshal(text, &r); err != nil {
				return nil, fmt.Errorf("%s:%d: %w", path, line, err)
			}
			rows = append(rows, r)
		}
		if err == io.EOF {
			return rows, nil
		}
		if err != nil {
			return nil, fmt.Errorf("rows: %w", err)
		}
	}
}

// Values are a way's figure by seed, in the order of the seeds.
func Values(rows []Row, way, figure string) (values []float64) {
	var own []Row
	for _, r := range rows {
		if r.Way == way {
			own = append(own, r)
		}
	}
	slices.SortStableFunc(own, func(a, b Row) int { return cmp.Compare(a.Seed, b.Seed) })
	for _, r := range own {
		if x, ok := r.Figures[figure]; ok {
			values = append(values, x)
		}
	}
	return values
}

// Ways names the ways of rows in their order.
func Ways(rows []Row) (names []string) {
	for _, r := range rows {
		if !slices.Contains(names, r.Way) {
			names = append(names, r.Way)
		}
	}
	return names
}

// Seeds are so many seeds from one on.
func Seeds(from uint64, count int) (seeds []uint64) {
	for i := range count {
		seeds = append(seeds, from+uint64(i))
	}
	return seeds
}
