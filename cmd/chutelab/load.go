package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"chuteweir.example/chuteweir/internal/chart"
	"chuteweir.example/chuteweir/internal/cli"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/internal/trial"
	"github.com/spf13/cobra"
)

// load is what a load run is asked for.
type load struct {
	rate, hang          float64
	ramp                string
	destinations, hold  int
	held                int
	sockets             int
	senders, slots      int
	body, rounds        int
	length, mean, bound time.Duration
	program, against    string
	relay, asJSON       bool
	targets             []string
	platform, out, name string
	pid                 int
}

func loadCommand() *cobra.Command {
	var l load
	c := &cobra.Command{
		Use: "load", Short: "Load a sender and measure it", Args: cli.Args(cobra.NoArgs),
		Long: `load hands in notices at times of its own, whatever the answers (an open loop), and measures from the time at which
each was to be handed in. Gateways, platform and clients run in this process, the senders in theirs, on one machine's
loopback. With --relay or --against two programs run in turn, A B A B, and the ratio of each pair is told with its spread.
With --p99 it looks for the rate at which the 99th percentile of delivery passes a bound, or deliveries are lost.`,
		Example: `  chuteweir load --rate 500 --destinations 20
  chuteweir load --rate 3000 --relay --rounds 3 --out docs/measurements --name relay-3000
  chuteweir load --against old/chuteweir --rounds 3
  chuteweir load --rate 1000 --p99 50ms
  chuteweir load --target 127.0.0.1:8443 --platform 127.0.0.1:8500 --pid 4711`,
		RunE: func(c *cobra.Command, _ []string) error {
			if l.rate <= 0 || l.destinations < 1 || l.senders < 1 || l.rounds < 1 || l.hang < 0 || l.hang > 1 {
				return cli.UsageErrorf("--rate, --destinations, --senders and --rounds must be above 0, --hang from 0 to 1")
			}
			if l.ramp != "" && !slices.Contains([]string{"steady", "ramp", "peak"}, l.ramp) {
				return cli.UsageErrorf("--shape %s: one of steady, ramp, peak", l.ramp)
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return l.run(ctx, c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.Float64Var(&l.rate, "rate", 500, "notices a second, in the mean")
	f.StringVar(&l.ramp, "shape", "steady", "steady; ramp: from nothing to twice the rate; peak: twice the rate in the middle")
	f.IntVar(&l.destinations, "destinations", 20, "destinations with one receiver each")
	f.IntVar(&l.senders, "senders", 1, "sender processes")
	f.IntVar(&l.slots, "slots", 4000, "calls out at once, for each sender")
	f.IntVar(&l.sockets, "sockets", 19_000, "descriptors that each sender is told it has; a quarter of them are for receivers")
	f.IntVar(&l.hold, "hold", 200_000, "notices held at once, for each sender")
	f.IntVar(&l.body, "body", 200, "bytes of a notice's body")
	f.Float64Var(&l.hang, "hang", 0, "share of the destinations that take calls and never answer, from a fifth of the length on")
	f.IntVar(&l.held, "held", 0, "notices for destinations that refuse, handed in before and held throughout; they don't count")
	f.DurationVar(&l.length, "length", 8*time.Second, "how long notices come")
	f.DurationVar(&l.mean, "mean", 0, "mean time of a call at the gateways; 0: they answer at once")
	f.DurationVar(&l.bound, "p99", 0, "look for the rate at which p99 of delivery passes this")
	f.StringVar(&l.program, "program", "", "the sender's program (A); else the one beside this")
	f.StringVar(&l.against, "against", "", "another sender's program (B), to run in turn with A")
	f.BoolVar(&l.relay, "relay", false, "run the plain relay (B) in turn with A")
	f.IntVar(&l.rounds, "rounds", 1, "how often A, or A and B, run")
	f.StringSliceVar(&l.targets, "target", nil, "senders that run already, in place of A")
	f.StringVar(&l.platform, "platform", "", "with --target: where these ask for the list")
	f.IntVar(&l.pid, "pid", 0, "with --target: the process whose processor time and memory count")
	f.StringVar(&l.out, "out", "", "a folder for the table and a chart")
	f.StringVar(&l.name, "name", "load", "with --out: the name of their files")
	f.BoolVar(&l.asJSON, "json", false, "the results as JSON, a line a run")
	return c
}

// heldSpan is how long the notices that are held throughout take to come.
const heldSpan = 3 * time.Second

// scenario writes the scenario of a rate.
func (l *load) scenario(rate float64, seed int) (*scenario.Scenario, error) {
	service, length, settle := "fixed", l.length, "8s"
	if l.held > 0 {
		length, settle = length+heldSpan+time.Second, "500ms"
	}
	text := fmt.Sprintf(`
name = "load"
seed = %d
length = %q
settle = %q
[machine]
memory = "4GiB"
sockets = %d
disk = "4GB"
[traffic]
rate = "%f/s"
shape = %q
body = "%dB"
again = 0
patience = "5s"
[sending]
slots = %d
hold = %d
[senders]
count = %d
[[grade]]
name = "note"
quoted = "1s"
timeout = "6s"
repeat = "reissuable"
[[portfolio]]
name = "acme"
quota = "1000000/s"
[[gateway]]
name = "site"
destinations = %d
cores = 100000
service = %q
mean = %q
`, seed, length, settle, l.sockets, rate, l.ramp, l.body, l.slots, l.hold, l.senders, l.destinations, service, l.mean)
	if l.held > 0 {
		text = strings.Replace(text, "[traffic]", fmt.Sprintf("[traffic]\nfirst = %d\nfirst_group = \"dead\"\nfirst_grade = \"kept\"\nfirst_span = %q",
			l.held, heldSpan), 1) + `
[[grade]]
name = "kept"
quoted = "600s"
timeout = "1800s"
repeat = "reissuable"
share = 0
[[gateway]]
name = "dead"
destinations = 20
weight = 0
[[fault]]
kind = "refuse"
group = "dead"
at = "0s"
for = "1h"
`
	}
	if l.hang > 0 {
		text += fmt.Sprintf("[[fault]]\nkind = \"hang\"\nat = %q\nfor = %q\npart = %f\n", l.length/5, l.length, l.hang)
	}
	s, faults := scenario.Read("load", []byte(text))
	return s, faults.ErrorOrNil()
}

// side is one of the programs that are compared.
type side struct {
	name  string
	start trial.NewCommand
	runs  []*trial.Result
}

func (l *load) run(ctx context.Context, out io.Writer) error {
	var sides []*side
	if len(l.targets) == 0 {
		path, err := sender(l.program)
		if err != nil {
			return fmt.Errorf("no sender to load: %w", err)
		}
		sides = append(sides, &side{name: "chuteweir", start: trial.ServeCommand(path, "info")})
	} else {
		sides = append(sides, &side{name: strings.Join(l.targets, " ")})
	}
	if l.relay {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		sides = append(sides, &side{name: "relay", start: trial.RelayCommand(self)})
	}
	if l.against != "" {
		sides = append(sides, &side{name: l.against, start: trial.ServeCommand(l.against, "info")})
	}
	if l.bound > 0 {
		return l.search(ctx, out, sides)
	}
	for round := range l.rounds {
		for _, s := range sides {
			r, err := l.once(ctx, s, l.rate, round)
			if err != nil {
				return err
			}
			s.runs = append(s.runs, r)
			if l.asJSON {
				if err := json.NewEncoder(out).Encode(r); err != nil {
					return err
				}
			}
		}
	}
	table := l.table(sides)
	if !l.asJSON {
		fmt.Fprint(out, table)
	}
	if l.out != "" {
		if err := l.keep(table, sides); err != nil {
			return err
		}
	}
	for _, r := range sides[0].runs {
		if !r.Clean() && l.hang == 0 {
			return fmt.Errorf("a rule was broken: %s", r.Breaches[0])
		}
	}
	return nil
}

func (l *load) once(ctx context.Context, s *side, rate float64, seed int) (*trial.Result, error) {
	sc, err := l.scenario(rate, seed+1)
	if err != nil {
		return nil, err
	}
	o := trial.Options{Scenario: sc, Start: s.start, Targets: l.targets, Platform: l.platform, PID: l.pid}
	if l.held > 0 {
		o.CPUFrom = millis(heldSpan + time.Second)
	}
	return trial.Run(ctx, o)
}

// figures are what is compared.
var figures = []struct {
	name string
	of   func(*trial.Result) float64
}{
	{"delivered a second", func(r *trial.Result) float64 { return float64(r.All.Delivered) / r.Seconds }},
	{"delivered share, well", func(r *trial.Result) float64 { return share(r.Well) }},
	{"delivery p50 ms, well", func(r *trial.Result) float64 { return r.Well.Delivery.P50 }},
	{"delivery p99 ms, well", func(r *trial.Result) float64 { return r.Well.Delivery.P99 }},
	{"delivery p99.9 ms, well", func(r *trial.Result) float64 { return r.Well.Delivery.P999 }},
	{"answer p50 ms", func(r *trial.Result) float64 { return r.Answers.P50 }},
	{"answer p99 ms", func(r *trial.Result) float64 { return r.Answers.P99 }},
	{"CPU us a notice", func(r *trial.Result) float64 { return r.CPU }},
	{"peak RSS MB", func(r *trial.Result) float64 { return float64(r.PeakRSS) / 1e6 }},
	{"RSS kB a notice held", func(r *trial.Result) float64 {
		most := 1
		for _, p := range r.Held {
			most = max(most, p.Open)
		}
		return float64(r.PeakRSS-r.StartRSS) / 1e3 / float64(most*r.Senders)
	}},
	{"handed in late", func(r *trial.Result) float64 {
		return float64(r.LateSubmissions) / float64(max(r.All.Asked,
			1))
	}},
}

func share(s trial.Share) float64 { return float64(s.Delivered) / float64(max(s.Asked, 1)) }

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func collect(s *side, of func(*trial.Result) float64) (values []float64) {
	for _, r := range s.runs {
		values = append(values, of(r))
	}
	return values
}

// table tells medians, and with two programs the ratio of A to B over the pairs.
func (l *load) table(sides []*side) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.0f notices a second (%s) for %v, %d destinations, %d senders, %.2f of the destinations hang, %d held, %d rounds\n\n",
		l.rate, l.ramp, l.length, l.destinations, l.senders, l.hang, l.held, len(sides[0].runs))
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "median of the rounds")
	for _, s := range sides {
		fmt.Fprintf(t, "\t%s", s.name)
	}
	if len(sides) > 1 {
		fmt.Fprint(t, "\tratio\tleast\tmost")
	}
	fmt.Fprintln(t)
	for _, f := range figures {
		fmt.Fprint(t, f.name)
		for _, s := range sides {
			fmt.Fprintf(t, "\t%.3f", median(collect(s, f.of)))
		}
		if len(sides) > 1 {
			var ratios []float64
			a, b := collect(sides[0], f.of), collect(sides[1], f.of)
			for i := range a {
				if b[i] != 0 {
					ratios = append(ratios, a[i]/b[i])
				}
			}
			if len(ratios) > 0 {
				fmt.Fprintf(t, "\t%.2f\t%.2f\t%.2f", median(ratios), slices.Min(ratios), slices.Max(ratios))
			}
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	return b.String()
}

// keep writes the table and the deliveries' distribution.
func (l *load) keep(table string, sides []*side) error {
	if err := os.MkdirAll(l.out, 0o755); err != nil {
		return fmt.Errorf("keeping the results: %w", err)
	}
	c := chart.Chart{Title: fmt.Sprintf("Delivery, %.0f notices a second, %d destinations", l.rate, l.destinations),
		X: "ms from the intended hand-in", Y: "share delivered", LogX: true, YMin: 0, YMax: 1}
	for _, s := range sides {
		line := chart.Series{Name: s.name}
		r := s.runs[len(s.runs)-1]
		if r.Deliveries.TotalCount() == 0 {
			continue
		}
		for q := 0.5; q < 100; q += 0.5 {
			line.X = append(line.X, max(float64(r.Deliveries.ValueAtQuantile(q))/1000, 0.01))
			line.Y = append(line.Y, q/100*float64(r.All.Delivered)/float64(max(r.All.Asked, 1)))
		}
		c.Lines = append(c.Lines, line)
	}
	if err := c.Save(filepath.Join(l.out, l.name+".svg")); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(l.out, l.name+".txt"), []byte("chutelab "+strings.Join(os.Args[1:], " ")+"\n\n"+table), 0o644)
}

// search looks for the highest rate at which p99 stays under the bound and all is delivered.
func (l *load) search(ctx context.Context, out io.Writer, sides []*side) error {
	type point struct{ rate, p99 float64 }
	for _, s := range sides {
		var points []point
		holds := func(rate float64) (bool, error) {
			r, err := l.once(ctx, s, rate, 0)
			if err != nil {
				return false, err
			}
			late := float64(r.LateSubmissions) / float64(max(r.All.Asked, 1))
			points = append(points, point{rate, r.Well.Delivery.P99})
			fmt.Fprintf(out, "%s  %.0f a second: p50 %.1f ms, p99 %.1f ms, delivered %.4f, CPU %.0f us, handed in late %.3f\n", s.name, rate,
				r.Well.Delivery.P50, r.Well.Delivery.P99, share(r.Well), r.CPU, late)
			return r.Well.Delivery.P99 <= float64(l.bound)/1e6 && share(r.Well) > 0.999, nil
		}
		low, high := 0.0, l.rate
		for {
			ok, err := holds(high)
			if err != nil {
				return err
			}
			if !ok {
				break
			}
			if low, high = high, high*2; high > 200_000 {
				break
			}
		}
		for range 3 {
			middle := math.Round((low + high) / 2)
			ok, err := holds(middle)
			if err != nil {
				return err
			}
			if ok {
				low = middle
			} else {
				high = middle
			}
		}
		fmt.Fprintf(out, "%s: %.0f a second keep p99 under %v; %.0f do not. The load's own processes share this machine.\n", s.name, low, l.bound, high)
		if l.out != "" {
			slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.rate, b.rate) })
			line := chart.Series{Name: s.name}
			for _, p := range points {
				line.X, line.Y = append(line.X, p.rate), append(line.Y, max(p.p99, 0.01))
			}
			c := chart.Chart{Title: "p99 of delivery by rate", X: "notices a second", Y: "ms", LogX: true, LogY: true,
				MarkPoints: true,
				Lines:      []chart.Series{line}}
			if err := c.Save(filepath.Join(l.out, l.name+"-"+s.name+".svg")); err != nil {
				return err
			}
		}
	}
	return nil
}
