package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/metrics"
	"slices"
	"strings"
	"syscall"
	"time"

	"chuteweir.example/chuteweir/internal/chart"
	"chuteweir.example/chuteweir/internal/cli"
	"chuteweir.example/chuteweir/internal/lab"
	"chuteweir.example/chuteweir/internal/model"
	"chuteweir.example/chuteweir/internal/scenario"
	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// labFlags holds the flags that the lab's commands share.
type labFlags struct {
	scenario        string
	seed            uint64
	seeds, parallel int
	audit           bool
	rows, out, name string
	network         model.Network
	delay, jitter   time.Duration
	memory          float64
	rowsErr         error // from appending to the rows file
}

// add registers the shared flags; seeds is the default of --seeds.
func (l *labFlags) add(c *cobra.Command, seeds int) {
	f := c.Flags()
	f.StringVar(&l.scenario, "scenario", "calm", "scenario file, or the name of a built-in scenario")
	f.Uint64Var(&l.seed, "seed", 1, "first seed")
	f.IntVar(&l.seeds, "seeds", seeds, "number of seeds")
	f.IntVar(&l.parallel, "parallel", runtime.GOMAXPROCS(0), "number of concurrent runs; the results don't depend on it")
	f.BoolVar(&l.audit, "audit", false, "check the six rules on each run")
	f.StringVar(&l.rows, "rows", "", "file to append the runs to, one line of JSON each")
	f.StringVar(&l.out, "out", "", "directory for the report and its charts")
	f.StringVar(&l.name, "name", c.Name(), "with --out: base name of the files")
	f.DurationVar(&l.delay, "delay", 100*time.Microsecond, "minimum one-way network delay of a message")
	f.DurationVar(&l.jitter, "jitter", 50*time.Microsecond, "mean of the random delay added to --delay")
	f.Float64Var(&l.memory, "memory", 0, "memory limit in GB at which to stop and keep the completed runs; 0: no limit")
	f.Float64Var(&l.network.Loss, "loss", 0, "share of the messages that the network loses and sends again")
}

// plan returns the plan of the flags for the variants. It writes each row and the progress as runs complete.
func (l *labFlags) plan(variants []lab.Variant, c *cobra.Command) lab.Plan {
	l.network.Delay, l.network.Jitter = millis(l.delay), millis(l.jitter)
	total, done, start := len(variants)*l.seeds, 0, time.Now()
	p := lab.Plan{Scenario: l.scenario, Variants: variants, Seeds: lab.ConsecutiveSeeds(l.seed, l.seeds), Parallel: l.parallel, Record: l.audit,
		Network: l.network, Command: "chutelab " + strings.Join(os.Args[1:], " ")}
	p.OnRow = func(r lab.Row) {
		// Each row is appended at once, so that completed runs survive if the program is stopped.
		if l.rows != "" && l.rowsErr == nil {
			l.rowsErr = lab.AppendRows(l.rows, []lab.Row{r})
		}
		if done++; term.IsTerminal(int(os.Stderr.Fd())) {
			fmt.Fprintf(c.ErrOrStderr(), "\r\x1b[K%d of %d runs, %.0f s", done, total, time.Since(start).Seconds())
			if done == total {
				fmt.Fprint(c.ErrOrStderr(), "\r\x1b[K")
			}
		}
	}
	return p
}

// finish prints the report and writes it to --out, also for a plan that was interrupted. It returns an error if a run
// broke a rule.
func (l *labFlags) finish(out io.Writer, rows []lab.Row, runErr error, report func() (string, error)) error {
	if l.rowsErr != nil {
		return errors.Join(runErr, l.rowsErr)
	}
	if runErr != nil && !errors.Is(runErr, lab.ErrInterrupted) {
		return runErr
	}
	if len(rows) > 0 {
		text, err := report()
		if err != nil {
			return errors.Join(runErr, err)
		}
		fmt.Fprint(out, text)
		if l.out != "" {
			if err := os.MkdirAll(l.out, 0o755); err != nil {
				return fmt.Errorf("writing the report: %w", err)
			}
			text = fmt.Sprintf("    chutelab %s\n\nThe model's figures, revision %s.\n\n%s", strings.Join(os.Args[1:], " "), rows[0].Revision, text)
			if err := os.WriteFile(filepath.Join(l.out, l.name+".md"), []byte(text), 0o644); err != nil {
				return fmt.Errorf("writing the report: %w", err)
			}
		}
	}
	if runErr != nil {
		return runErr
	}
	for _, r := range rows {
		if r.Variant == "ours" && r.Result != nil && len(r.Result.Breaches) > 0 {
			return fmt.Errorf("seed %d broke a rule: %s", r.Seed, r.Result.Breaches[0])
		}
	}
	return nil
}

func labCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "lab", Short: "Compare settings, policies and scenarios in simulated time, with confidence intervals",
		Long: `lab runs scenarios in a model: the sender's own decision code with simulated clients, network, gateways and platform. All
figures come from the model; docs/lab.md describes how they were validated on sockets. Ctrl-C keeps the completed runs.`,
	}
	c.AddCommand(labRun(), labCompare(), labSweep(), labSearch(), labReport(), labTruth(), labTrace())
	return c
}

// interruptible returns a context that is cancelled by Ctrl-C, SIGTERM, or memory use above --memory.
func (l *labFlags) interruptible(c *cobra.Command) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	if l.memory <= 0 {
		return ctx, stop
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
		for ctx.Err() == nil {
			metrics.Read(sample)
			if used := float64(sample[0].Value.Uint64()-sample[1].Value.Uint64()) / 1e9; used > l.memory {
				cancel(fmt.Errorf("%.1f GB of memory are in use, over --memory %g: lower --parallel or leave out --audit", used, l.memory))
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return ctx, func() { cancel(nil); stop() }
}

func labRun() *cobra.Command {
	var l labFlags
	var variant string
	var workers int
	c := &cobra.Command{
		Use: "run", Short: "Run one scenario over many seeds", Args: cli.Args(cobra.NoArgs),
		Example: `  chutelab lab run --scenario mixed --seeds 100 --audit
  chutelab lab run --scenario sick-half-hang --way policy=backoff,sending.slots=20
  chutelab lab run --scenario my.toml --seeds 20 --rows before.jsonl`,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := l.interruptible(c)
			defer stop()
			w, err := lab.ParseVariant(variant)
			if err != nil {
				return cli.UsageErrorf("%s", err)
			}
			if workers > 1 { // a single large run on several processors
				s, err := w.Scenario(l.scenario, l.seed)
				if err != nil {
					return err
				}
				policy, err := model.PolicyOf(w.Policy, s)
				if err != nil {
					return err
				}
				l.network.Delay, l.network.Jitter = millis(l.delay), millis(l.jitter)
				r := model.Run(ctx, s, model.Options{Policy: policy, Workers: workers, Record: l.audit, Network: l.network})
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				fmt.Fprintf(c.OutOrStdout(), "%d senders, %d destinations, %.0f s simulated in %.1f s on %d workers: %d notices, %d events, "+
					"%.2f M events a second, %.1f GB from the system\ncredit %.4f, delivered %d, calls %d, further %d, p50 %.1f p99 %.1f ms\n",
					s.Senders, len(scenario.NewInstance(s).Destinations), float64(s.Length)/1000, r.Wall.Seconds(),
					workers, r.All.Asked, r.Events,
					float64(r.Events)/r.Wall.Seconds()/1e6, float64(mem.Sys)/1e9, r.All.Credit, r.All.Delivered, r.Calls, r.Further,
					r.All.Delivery.P50, r.All.Delivery.P99)
				if r.Broken {
					return lab.ErrInterrupted
				}
				return nil
			}
			rows, err := l.plan([]lab.Variant{w}, c).Run(ctx)
			return l.finish(c.OutOrStdout(), rows, err, func() (string, error) {
				text := lab.SummaryTable(rows)
				if l.out != "" {
					if err := l.charts(rows); err != nil {
						return "", err
					}
				}
				return text, nil
			})
		},
	}
	l.add(c, 20)
	c.Flags().StringVar(&variant, "way", "", "variant: policy=NAME, file=PATH, mix=true or section.key=value, separated by commas")
	c.Flags().IntVar(&workers, "workers", 1, "run one seed on this many processors and print the speed")
	return c
}

// charts draws credit over time for each variant, with the first six faults shaded.
func (l *labFlags) charts(rows []lab.Row) error {
	if err := os.MkdirAll(l.out, 0o755); err != nil {
		return fmt.Errorf("writing the charts: %w", err)
	}
	s, err := scenario.Load(l.scenario)
	if err != nil {
		return err
	}
	credit := chart.Chart{Title: "Credit over time, " + s.Name, X: "s from the first notice",
		Y: "share of the credit asked", YMin: 0, YMax: 1.02}
	for i, f := range s.Faults {
		if i < 6 {
			credit.Bands = append(credit.Bands, chart.Band{Name: f.Kind, From: float64(f.At) / 1000, To: min(float64(f.Until()), float64(s.Length)) / 1000})
		}
	}
	for _, variant := range lab.VariantNames(rows) {
		line := chart.Series{Name: variant}
		var asked, earned []float64
		for _, r := range rows {
			if r.Variant != variant || r.Result == nil {
				continue
			}
			for i, b := range r.Result.Bins {
				if i >= len(asked) {
					asked, earned = append(asked, 0), append(earned, 0)
				}
				asked[i] += b.Asked
				earned[i] += b.Earned
			}
		}
		for i := range asked {
			if asked[i] > 0 {
				line.X, line.Y = append(line.X, (float64(i)+0.5)*0.5), append(line.Y, earned[i]/asked[i])
			}
		}
		credit.Lines = append(credit.Lines, line)
	}
	return credit.Save(filepath.Join(l.out, l.name+"-credit.svg"))
}

func labCompare() *cobra.Command {
	var l labFlags
	var a, b, rowsA, rowsB, figure string
	var width float64
	var most int
	c := &cobra.Command{
		Use: "compare", Short: "Compare two settings, policies or builds over the same seeds", Args: cli.Args(cobra.NoArgs),
		Long: `compare runs both variants with the same seeds and estimates the mean difference of each figure over the pairs, with 95%
intervals. With --width it adds seeds until half the interval's width of the chosen figure is at most that, or --most
seeds have run. To compare two builds, write the rows of each with lab run --rows, and pass them as --rows-a and --rows-b.`,
		Example: `  chutelab lab compare --scenario my.toml --b sending.trips=8
  chutelab lab compare --scenario my.toml --a file=now.toml --b file=planned.toml --width 0.002
  chutelab lab compare --scenario mixed --b policy=backoff
  chutelab lab compare --rows-a before.jsonl --rows-b after.jsonl`,
		RunE: func(c *cobra.Command, _ []string) error {
			if (rowsA == "") != (rowsB == "") {
				return cli.UsageErrorf("--rows-a and --rows-b go together: only one is set")
			}
			if rowsA != "" {
				first, err := lab.LoadRows(rowsA)
				if err != nil {
					return err
				}
				second, err := lab.LoadRows(rowsB)
				if err != nil {
					return err
				}
				text, err := lab.CompareRows(first, second)
				fmt.Fprint(c.OutOrStdout(), text)
				return err
			}
			ctx, stop := l.interruptible(c)
			defer stop()
			variantA, err := lab.ParseVariant(a)
			if err != nil {
				return cli.UsageErrorf("--a: %s", err)
			}
			variantB, err := lab.ParseVariant(b)
			if err != nil {
				return cli.UsageErrorf("--b: %s", err)
			}
			if variantA.Name == variantB.Name {
				return cli.UsageErrorf("--a and --b are the same variant")
			}
			if !slices.ContainsFunc(lab.Figures, func(f lab.Figure) bool { return f.Name == figure }) {
				return cli.UsageErrorf("--figure %q: expected one of %s", figure, strings.Join(lab.FigureNames(), ", "))
			}
			var rows []lab.Row
			for {
				more, err := l.plan([]lab.Variant{variantA, variantB}, c).Run(ctx)
				rows = append(rows, more...)
				d := lab.PairedDifference(lab.Values(rows, variantA.Name, figure), lab.Values(rows, variantB.Name, figure))
				if err != nil || width <= 0 || d.HalfWidth() <= width || len(rows)/2 >= most {
					return l.finish(c.OutOrStdout(), rows, err, func() (string, error) {
						if l.out != "" {
							if err := l.charts(rows); err != nil {
								return "", err
							}
						}
						return lab.CompareVariants(rows, variantA.Name, variantB.Name), nil
					})
				}
				l.seed += uint64(l.seeds)
			}
		},
	}
	l.add(c, 30)
	f := c.Flags()
	f.StringVar(&a, "a", "", "first variant; empty: the policy ours with the scenario's own settings")
	f.StringVar(&b, "b", "", "second variant")
	f.StringVar(&figure, "figure", "credit", "figure that --width applies to")
	f.Float64Var(&width, "width", 0, "run more seeds until half the width of the difference's interval is at most this")
	f.IntVar(&most, "most", 400, "with --width: maximum number of seeds")
	f.StringVar(&rowsA, "rows-a", "", "rows file of the first build")
	f.StringVar(&rowsB, "rows-b", "", "rows file of the second build")
	return c
}

func labSweep() *cobra.Command {
	var l labFlags
	var params []string
	var samples int
	var variant, figure string
	c := &cobra.Command{
		Use: "sweep", Short: "Run a scenario over a grid or a Latin hypercube of settings", Args: cli.Args(cobra.NoArgs),
		Example: `  chutelab lab sweep --scenario sick --param sending.slots=16,32,64 --param sending.trips=2,4,8
  chutelab lab sweep --scenario sick --param traffic.rate=100..900/s --param sending.slots=8..64 --samples 40`,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(params) == 0 {
				return cli.UsageErrorf("expected at least one --param, such as sending.slots=16,32")
			}
			base, err := lab.ParseVariant(variant)
			if err != nil {
				return cli.UsageErrorf("--way: %s", err)
			}
			var ranges []lab.Range
			for _, p := range params {
				r, err := lab.ParseRange(p)
				if err != nil {
					return cli.UsageErrorf("--param %s", err)
				}
				ranges = append(ranges, r)
			}
			var variants []lab.Variant
			if samples > 0 {
				variants = lab.Hypercube(base, ranges, samples, l.seed)
			} else if variants, err = lab.Grid(base, ranges); err != nil {
				return cli.UsageErrorf("%s", err)
			}
			ctx, stop := l.interruptible(c)
			defer stop()
			rows, err := l.plan(variants, c).Run(ctx)
			return l.finish(c.OutOrStdout(), rows, err, func() (string, error) {
				if l.out != "" && len(ranges) <= 2 && samples == 0 {
					if err := l.sweepChart(rows, ranges, variants, figure); err != nil {
						return "", err
					}
				}
				return lab.SummaryTable(rows), nil
			})
		},
	}
	l.add(c, 10)
	c.Flags().StringArrayVar(&params, "param", nil, "setting with its values, or with an interval for --samples")
	c.Flags().IntVar(&samples, "samples", 0, "number of samples of a Latin hypercube, instead of the grid")
	c.Flags().StringVar(&variant, "way", "", "variant that all runs are based on")
	c.Flags().StringVar(&figure, "figure", "credit", "figure that the chart shows")
	return c
}

// sweepChart draws a figure over the last parameter. With two parameters it draws a line for each value of the first.
func (l *labFlags) sweepChart(rows []lab.Row, ranges []lab.Range, ways []lab.Variant, figure string) error {
	last := ranges[len(ranges)-1]
	c := chart.Chart{Title: figure + ", " + l.scenario, X: last.Key, Y: figure, MarkPoints: true}
	per := len(last.Values)
	for i := 0; i < len(ways); i += per {
		line := chart.Series{Name: ranges[0].Key + "=" + ranges[0].Values[(i/per)%len(ranges[0].Values)]}
		if len(ranges) == 1 {
			line.Name = figure
		}
		for j, v := range last.Values {
			x := float64(j)
			fmt.Sscanf(v, "%g", &x)
			line.X, line.Y = append(line.X, x), append(line.Y, lab.EstimateMean(lab.Values(rows, ways[i+j].Name, figure)).Mean)
		}
		c.Lines = append(c.Lines, line)
	}
	if err := os.MkdirAll(l.out, 0o755); err != nil {
		return fmt.Errorf("writing the chart: %w", err)
	}
	return c.Save(filepath.Join(l.out, l.name+".svg"))
}

func labSearch() *cobra.Command {
	var l labFlags
	var variant, reference, write string
	var breaches bool
	var keep float64
	c := &cobra.Command{
		Use: "search", Short: "Find the scenario with the worst result and simplify it", Args: cli.Args(cobra.NoArgs),
		Long: `search adds random faults to a scenario, others for each seed, and compares the policy under test with a reference policy
(the oracle knows each fault as it begins). It simplifies the worst scenario found while the result stays as bad. With
--breaches it looks for broken rules. --write writes the scenario to a file, which try can run on sockets.`,
		Example: `  chutelab lab search --scenario brief --seeds 2000 --write worst.toml
  chutelab lab search --scenario brief --seeds 5000 --breaches --write breach.toml`,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := l.interruptible(c)
			defer stop()
			w, err := lab.ParseVariant(variant)
			if err != nil {
				return cli.UsageErrorf("--way: %s", err)
			}
			done := 0
			s := lab.Search{Base: l.scenario, Variant: w, Reference: reference, SearchBreaches: breaches, Seeds: lab.ConsecutiveSeeds(l.seed, l.seeds),
				Parallel: l.parallel, OnFinding: func(f lab.Finding) {
					if done++; term.IsTerminal(int(os.Stderr.Fd())) {
						fmt.Fprintf(os.Stderr, "\r\x1b[K%d of %d seeds", done, l.seeds)
					}
				}}
			out := c.OutOrStdout()
			found, err := s.Run(ctx)
			if err != nil && !errors.Is(err, lab.ErrInterrupted) || len(found) == 0 {
				return err
			}
			for _, f := range found[:min(len(found), 10)] {
				fmt.Fprintln(out, formatFinding(f))
			}
			if breaches && found[0].Badness == 0 {
				fmt.Fprintf(out, "no rule broken in %d runs\n", len(found))
				return err
			}
			worst, shrinkErr := s.Shrink(ctx, found[0], keep)
			if shrinkErr != nil {
				return shrinkErr
			}
			fmt.Fprintf(out, "\nshortened: %s\n", formatFinding(worst))
			for _, f := range worst.Scenario.Faults {
				fmt.Fprintf(out, "  %5.1f to %.1f s  %s %s part %.2f share %.2f size %.2f\n", f.At/1000, f.Until()/1000, f.Kind, f.Grade, f.Part, f.Share, f.Size)
			}
			for _, b := range worst.Ours.Breaches[:min(len(worst.Ours.Breaches), 1)] {
				fmt.Fprintln(out, b)
			}
			if write != "" {
				text, err := s.ScenarioFile(worst, formatFinding(worst))
				if err != nil {
					return err
				}
				if err := os.WriteFile(write, text, 0o644); err != nil {
					return fmt.Errorf("writing the scenario: %w", err)
				}
			}
			if breaches {
				return fmt.Errorf("%d of %d runs broke a rule", len(slices.DeleteFunc(found, func(f lab.Finding) bool { return f.Badness == 0 })), l.seeds)
			}
			return err
		},
	}
	l.add(c, 200)
	f := c.Flags()
	f.StringVar(&variant, "way", "", "variant of the policy under test")
	f.StringVar(&reference, "against", model.Oracle, "reference policy to compare with")
	f.BoolVar(&breaches, "breaches", false, "look for broken rules instead of lost credit")
	f.Float64Var(&keep, "keep", 0.9, "share of the badness that the simplified scenario must keep")
	f.StringVar(&write, "write", "", "file to write the simplified scenario to")
	return c
}

// formatFinding formats a finding as one line.
func formatFinding(f lab.Finding) string {
	if f.Reference == nil {
		return fmt.Sprintf("seed %d: %d breaches, credit %.3f", f.Seed, len(f.Ours.Breaches), f.Ours.All.Credit)
	}
	return fmt.Sprintf("seed %d: %.3f lost: credit %.3f, the other %.3f, %d notices, %d faults", f.Seed, f.Badness, f.Ours.All.Credit, f.Reference.All.Credit,
		f.Ours.All.Asked, len(f.Scenario.Faults))
}

func labReport() *cobra.Command {
	var against string
	c := &cobra.Command{
		Use: "report ROWS...", Short: "Print tables of rows files", Args: cli.Args(cobra.MinimumNArgs(1)),
		Example: `  chutelab lab report rows.jsonl
  chutelab lab report --against ours rows.jsonl`,
		RunE: func(c *cobra.Command, files []string) error {
			var rows []lab.Row
			for _, f := range files {
				more, err := lab.LoadRows(f)
				if err != nil {
					return err
				}
				rows = append(rows, more...)
			}
			if len(rows) == 0 {
				return errors.New("the files contain no rows")
			}
			fmt.Fprint(c.OutOrStdout(), lab.SummaryTable(rows))
			if against != "" {
				for _, w := range lab.VariantNames(rows) {
					if w != against {
						fmt.Fprintf(c.OutOrStdout(), "\n%s", lab.CompareVariants(rows, against, w))
					}
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&against, "against", "", "variant to compare all others with")
	return c
}

func labTruth() *cobra.Command {
	var l labFlags
	var program string
	var tries int
	var names []string
	c := &cobra.Command{
		Use: "truth", Short: "Validate the model's predictions by runs on sockets", Args: cli.Args(cobra.NoArgs),
		Long: `truth runs scenarios in the model over many seeds and on loopback sockets with other seeds. For each run on sockets it
reports whether the measured credit lies within the interval that the model predicts for a single run.`,
		Example: `  chutelab lab truth --scenarios calm,sick,mixed --seeds 60 --tries 2`,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := l.interruptible(c)
			defer stop()
			path, err := sender(program)
			if err != nil {
				return fmt.Errorf("finding the sender's program: %w", err)
			}
			text, held, err := l.validateModel(ctx, path, names, tries)
			fmt.Fprint(c.OutOrStdout(), text)
			if err != nil {
				return err
			}
			if l.out != "" {
				if err := os.MkdirAll(l.out, 0o755); err != nil {
					return err
				}
				text = fmt.Sprintf("    chutelab %s\n\n%s", strings.Join(os.Args[1:], " "), text)
				if err := os.WriteFile(filepath.Join(l.out, l.name+".md"), []byte(text), 0o644); err != nil {
					return err
				}
			}
			if held < 1 {
				return fmt.Errorf("%.0f%% of the runs on sockets fell within the prediction", 100*held)
			}
			return nil
		},
	}
	l.add(c, 60)
	c.Flags().StringSliceVar(&names, "scenarios", nil, "scenarios to run; default: the built-in ones")
	c.Flags().StringVar(&program, "program", "", "sender program; default: chuteweir in this program's directory, else in PATH")
	c.Flags().IntVar(&tries, "tries", 2, "number of runs on sockets for each scenario")
	return c
}
