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

// loadOptions holds the flags of the load command.
type loadOptions struct {
	rate, hang               float64
	shape                    string
	destinations, hold       int
	held                     int
	sockets                  int
	senders, slots           int
	body, rounds             int
	length, mean, bound      time.Duration
	program, comparedProgram string
	relay, asJSON            bool
	targets                  []string
	platform, out, name      string
	pid                      int
}

// loadCommand returns the command that loads senders and measures them.
func loadCommand() *cobra.Command {
	var options loadOptions
	command := &cobra.Command{
		Use: "load", Short: "Load a sender and measure it", Args: cli.Args(cobra.NoArgs),
		Long: `load submits notices at scheduled times, independent of the answers (an open loop), and measures delivery from
the scheduled time of each. Gateways, platform and clients run in this process, each sender in a process of
its own, all over the loopback of one machine. With --relay or --against two programs run alternately, A B A
B, and the table contains the median, least and greatest ratio of the pairs. With --p99 it searches for the
rate at which the 99th percentile of the delivery time exceeds a bound, or deliveries are lost.`,
		Example: `  chuteweir load --rate 500 --destinations 20
  chuteweir load --rate 3000 --relay --rounds 3 --out docs/measurements --name relay-3000
  chuteweir load --against old/chuteweir --rounds 3
  chuteweir load --rate 1000 --p99 50ms
  chuteweir load --target 127.0.0.1:8443 --platform 127.0.0.1:8500 --pid 4711`,
		RunE: func(command *cobra.Command, _ []string) error {
			if options.rate <= 0 || options.destinations < 1 || options.senders < 1 || options.rounds < 1 ||
				options.hang < 0 || options.hang > 1 {
				return cli.UsageErrorf(
					"--rate, --destinations, --senders and --rounds must be above 0, --hang between 0 and 1")
			}
			if options.shape != "" && !slices.Contains([]string{"steady", "ramp", "peak"}, options.shape) {
				return cli.UsageErrorf("--shape %s: must be one of steady, ramp, peak", options.shape)
			}
			ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return options.run(ctx, command.OutOrStdout())
		},
	}
	flagSet := command.Flags()
	flagSet.Float64Var(&options.rate, "rate", 500, "mean number of notices a second")
	flagSet.StringVar(&options.shape, "shape", "steady",
		"steady; ramp: rising from 0 to twice the rate; peak: twice the rate in the middle")
	flagSet.IntVar(&options.destinations, "destinations", 20, "number of destinations, with one receiver each")
	flagSet.IntVar(&options.senders, "senders", 1, "number of sender processes")
	flagSet.IntVar(&options.slots, "slots", 4000, "maximum of outstanding calls of each sender")
	flagSet.IntVar(&options.sockets, "sockets", 19_000,
		"each sender's limit of file descriptors; a quarter of them are for receivers")
	flagSet.IntVar(&options.hold, "hold", 200_000, "maximum of notices that each sender holds")
	flagSet.IntVar(&options.body, "body", 200, "size of a notice's body in bytes")
	flagSet.Float64Var(&options.hang, "hang", 0,
		"share of the destinations that accept calls and never respond, after a fifth of the length")
	flagSet.IntVar(&options.held, "held", 0,
		"notices to destinations that refuse connections, submitted beforehand, held throughout and not measured")
	flagSet.DurationVar(&options.length, "length", 8*time.Second, "duration of the submission of notices")
	flagSet.DurationVar(&options.mean, "mean", 0, "mean service time of a call at the gateways; 0: they respond at once")
	flagSet.DurationVar(&options.bound, "p99", 0, "search for the rate at which p99 of the delivery time exceeds this")
	flagSet.StringVar(&options.program, "program", "",
		"the sender's program (A); by default the one in the directory of this program")
	flagSet.StringVar(&options.comparedProgram, "against", "", "another sender's program (B), to run alternately with A")
	flagSet.BoolVar(&options.relay, "relay", false, "run the plain relay (B) alternately with A")
	flagSet.IntVar(&options.rounds, "rounds", 1, "number of runs of A, or of A and B")
	flagSet.StringSliceVar(&options.targets, "target", nil, "addresses of running senders, in place of A")
	flagSet.StringVar(&options.platform, "platform", "",
		"with --target: the address at which these senders request the receiver list")
	flagSet.IntVar(&options.pid, "pid", 0, "with --target: the process whose CPU time and memory are measured")
	flagSet.StringVar(&options.out, "out", "", "directory for the table and the chart")
	flagSet.StringVar(&options.name, "name", "load", "with --out: base name of the files")
	flagSet.BoolVar(&options.asJSON, "json", false, "print the results as JSON, one line for each run")
	return command
}

// heldDuration is the time over which the notices that are held throughout are submitted.
const heldDuration = 3 * time.Second

// scenario returns the scenario for a rate in notices a second.
func (l *loadOptions) scenario(rate float64, seed int) (*scenario.Scenario, error) {
	service, length, settle := "fixed", l.length, "8s"
	if l.held > 0 {
		length, settle = length+heldDuration+time.Second, "500ms"
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
`, seed, length, settle, l.sockets, rate, l.shape, l.body, l.slots, l.hold, l.senders, l.destinations, service, l.mean)
	if l.held > 0 {
		text = strings.Replace(text, "[traffic]",
			fmt.Sprintf("[traffic]\nfirst = %d\nfirst_group = \"dead\"\nfirst_grade = \"kept\"\nfirst_span = %q",
				l.held, heldDuration), 1) + `
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

// side is one of the compared programs with the results of its runs.
type side struct {
	name  string
	start trial.NewCommand
	runs  []*trial.Result
}

// run runs the programs in rounds and prints and writes the results, or searches for the highest rate if a bound is
// given.
func (l *loadOptions) run(ctx context.Context, out io.Writer) error {
	var sides []*side
	if len(l.targets) == 0 {
		path, err := senderProgram(l.program)
		if err != nil {
			return fmt.Errorf("finding the sender's program: %w", err)
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
	if l.comparedProgram != "" {
		sides = append(sides, &side{name: l.comparedProgram, start: trial.ServeCommand(l.comparedProgram, "info")})
	}
	if l.bound > 0 {
		return l.search(ctx, out, sides)
	}
	for round := range l.rounds {
		for _, s := range sides {
			result, err := l.runOnce(ctx, s, l.rate, round)
			if err != nil {
				return err
			}
			s.runs = append(s.runs, result)
			if l.asJSON {
				if err := json.NewEncoder(out).Encode(result); err != nil {
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
		if err := l.writeFiles(table, sides); err != nil {
			return err
		}
	}
	for _, r := range sides[0].runs {
		if !r.Clean() && l.hang == 0 {
			return fmt.Errorf("the sender broke a rule: %s", r.Breaches[0])
		}
	}
	return nil
}

// runOnce runs one program once at a rate. With held notices, CPU time is measured only after they are submitted.
func (l *loadOptions) runOnce(ctx context.Context, s *side, rate float64, seed int) (*trial.Result, error) {
	loaded, err := l.scenario(rate, seed+1)
	if err != nil {
		return nil, err
	}
	trialOptions := trial.Options{Scenario: loaded, Start: s.start, Targets: l.targets, Platform: l.platform, PID: l.pid}
	if l.held > 0 {
		trialOptions.CPUFrom = millis(heldDuration + time.Second)
	}
	return trial.Run(ctx, trialOptions)
}

// figures are the rows of the table: values computed from the result of a run.
var figures = []struct {
	name  string
	value func(*trial.Result) float64
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
		return float64(r.LateSubmissions) / float64(max(r.All.Asked, 1))
	}},
}

// share returns the share of the notices that were delivered.
func share(s trial.Share) float64 { return float64(s.Delivered) / float64(max(s.Asked, 1)) }

// median returns the median of values, which must not be empty.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// collect returns a figure of each run of a side.
func collect(s *side, figure func(*trial.Result) float64) (values []float64) {
	for _, r := range s.runs {
		values = append(values, figure(r))
	}
	return values
}

// table formats the median of each figure, and with two programs the median, least and greatest ratio of A to B over
// the pairs of runs.
func (l *loadOptions) table(sides []*side) string {
	var text strings.Builder
	fmt.Fprintf(&text,
		"%.0f notices a second (%s) for %v, %d destinations, %d senders, %.2f of the destinations hang, %d held, %d rounds\n\n",
		l.rate, l.shape, l.length, l.destinations, l.senders, l.hang, l.held, len(sides[0].runs))
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprint(writer, "median of the rounds")
	for _, s := range sides {
		fmt.Fprintf(writer, "\t%s", s.name)
	}
	if len(sides) > 1 {
		fmt.Fprint(writer, "\tratio\tleast\tmost")
	}
	fmt.Fprintln(writer)
	for _, figure := range figures {
		fmt.Fprint(writer, figure.name)
		for _, s := range sides {
			fmt.Fprintf(writer, "\t%.3f", median(collect(s, figure.value)))
		}
		if len(sides) > 1 {
			var ratios []float64
			valuesA, valuesB := collect(sides[0], figure.value), collect(sides[1], figure.value)
			for i := range valuesA {
				if valuesB[i] != 0 {
					ratios = append(ratios, valuesA[i]/valuesB[i])
				}
			}
			if len(ratios) > 0 {
				fmt.Fprintf(writer, "\t%.2f\t%.2f\t%.2f", median(ratios), slices.Min(ratios), slices.Max(ratios))
			}
		}
		fmt.Fprintln(writer)
	}
	writer.Flush()
	return text.String()
}

// writeFiles writes the table and the chart of the distribution of delivery times.
func (l *loadOptions) writeFiles(table string, sides []*side) error {
	if err := os.MkdirAll(l.out, 0o755); err != nil {
		return fmt.Errorf("creating the directory for the results: %w", err)
	}
	distribution := chart.Chart{
		Title: fmt.Sprintf("Delivery, %.0f notices a second, %d destinations", l.rate, l.destinations),
		X:     "ms from the intended submission", Y: "share delivered", LogX: true, YMin: 0, YMax: 1}
	for _, s := range sides {
		line := chart.Series{Name: s.name}
		lastRun := s.runs[len(s.runs)-1]
		if lastRun.Deliveries.TotalCount() == 0 {
			continue
		}
		for q := 0.5; q < 100; q += 0.5 {
			line.X = append(line.X, max(float64(lastRun.Deliveries.ValueAtQuantile(q))/1000, 0.01))
			line.Y = append(line.Y, q/100*float64(lastRun.All.Delivered)/float64(max(lastRun.All.Asked, 1)))
		}
		distribution.Lines = append(distribution.Lines, line)
	}
	if err := distribution.Save(filepath.Join(l.out, l.name+".svg")); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(l.out, l.name+".txt"),
		[]byte("chutelab "+strings.Join(os.Args[1:], " ")+"\n\n"+table), 0o644)
}

// search finds, for each side, the highest rate at which p99 of the delivery time stays within the bound and more than
// 99.9 % of the notices are delivered: it doubles the rate until that fails, then bisects three times.
func (l *loadOptions) search(ctx context.Context, out io.Writer, sides []*side) error {
	type point struct{ rate, p99 float64 }
	for _, compared := range sides {
		var points []point
		meetsBound := func(rate float64) (bool, error) {
			result, err := l.runOnce(ctx, compared, rate, 0)
			if err != nil {
				return false, err
			}
			late := float64(result.LateSubmissions) / float64(max(result.All.Asked, 1))
			points = append(points, point{rate, result.Well.Delivery.P99})
			fmt.Fprintf(out,
				"%s  %.0f a second: p50 %.1f ms, p99 %.1f ms, delivered %.4f, CPU %.0f us, handed in late %.3f\n",
				compared.name, rate, result.Well.Delivery.P50, result.Well.Delivery.P99, share(result.Well), result.CPU,
				late)
			return result.Well.Delivery.P99 <= float64(l.bound)/1e6 && share(result.Well) > 0.999, nil
		}
		low, high := 0.0, l.rate
		for {
			ok, err := meetsBound(high)
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
			ok, err := meetsBound(middle)
			if err != nil {
				return err
			}
			if ok {
				low = middle
			} else {
				high = middle
			}
		}
		fmt.Fprintf(out,
			"%s: at %.0f a second p99 stays within %v, at %.0f it does not. The load's own processes share this machine.\n",
			compared.name, low, l.bound, high)
		if l.out != "" {
			slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.rate, b.rate) })
			line := chart.Series{Name: compared.name}
			for _, p := range points {
				line.X, line.Y = append(line.X, p.rate), append(line.Y, max(p.p99, 0.01))
			}
			rateChart := chart.Chart{Title: "p99 of delivery by rate", X: "notices a second", Y: "ms",
				LogX: true, LogY: true, MarkPoints: true, Lines: []chart.Series{line}}
			if err := rateChart.Save(filepath.Join(l.out, l.name+"-"+compared.name+".svg")); err != nil {
				return err
			}
		}
	}
	return nil
}
