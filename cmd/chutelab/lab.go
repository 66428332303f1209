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
func (l *labFlags) add(command *cobra.Command, seeds int) {
	flagSet := command.Flags()
	flagSet.StringVar(&l.scenario, "scenario", "calm", "scenario file, or the name of a built-in scenario")
	flagSet.Uint64Var(&l.seed, "seed", 1, "first seed")
	flagSet.IntVar(&l.seeds, "seeds", seeds, "number of seeds")
	flagSet.IntVar(&l.parallel, "parallel", runtime.GOMAXPROCS(0),
		"number of concurrent runs; the results don't depend on it")
	flagSet.BoolVar(&l.audit, "audit", false, "check the six rules on each run")
	flagSet.StringVar(&l.rows, "rows", "", "file to append the runs to, one line of JSON each")
	flagSet.StringVar(&l.out, "out", "", "directory for the report and its charts")
	flagSet.StringVar(&l.name, "name", command.Name(), "with --out: base name of the files")
	flagSet.DurationVar(&l.delay, "delay", 100*time.Microsecond, "minimum one-way network delay of a message")
	flagSet.DurationVar(&l.jitter, "jitter", 50*time.Microsecond, "mean of the random delay added to --delay")
	flagSet.Float64Var(&l.memory, "memory", 0,
		"memory limit in GB at which to stop and keep the completed runs; 0: no limit")
	flagSet.Float64Var(&l.network.Loss, "loss", 0, "share of the messages that the network loses and sends again")
}

// plan returns the plan that runs the variants as the flags say. As each run completes, it appends the row to --rows and
// shows the progress on a terminal.
func (l *labFlags) plan(variants []lab.Variant, command *cobra.Command) lab.Plan {
	l.network.Delay, l.network.Jitter = millis(l.delay), millis(l.jitter)
	total, done, start := len(variants)*l.seeds, 0, time.Now()
	plan := lab.Plan{Scenario: l.scenario, Variants: variants, Seeds: lab.ConsecutiveSeeds(l.seed, l.seeds),
		Parallel: l.parallel, Record: l.audit, Network: l.network, Command: "chutelab " + strings.Join(os.Args[1:], " ")}
	plan.OnRow = func(row lab.Row) {
		// Each row is appended at once, so that completed runs survive if the program is stopped.
		if l.rows != "" && l.rowsErr == nil {
			l.rowsErr = lab.AppendRows(l.rows, []lab.Row{row})
		}
		if done++; term.IsTerminal(int(os.Stderr.Fd())) {
			fmt.Fprintf(command.ErrOrStderr(), "\r\x1b[K%d of %d runs, %.0f s", done, total,
				time.Since(start).Seconds())
			if done == total {
				fmt.Fprint(command.ErrOrStderr(), "\r\x1b[K")
			}
		}
	}
	return plan
}

// finish prints the report and writes it to --out, also for a plan that was interrupted. It returns an error if a run of
// the variant "ours" broke a rule.
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
			text = fmt.Sprintf("    chutelab %s\n\nThe model's figures, revision %s.\n\n%s",
				strings.Join(os.Args[1:], " "), rows[0].Revision, text)
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

// labCommand returns the group of commands that run the model.
func labCommand() *cobra.Command {
	command := &cobra.Command{
		Use: "lab", Short: "Compare settings, policies and scenarios in simulated time, with confidence intervals",
		Long: `lab runs scenarios in a model: the sender's own decision code with simulated clients, network, gateways and platform. All
figures come from the model; docs/lab.md describes how they were validated on sockets. Ctrl-C keeps the completed runs.`,
	}
	command.AddCommand(labRun(), labCompare(), labSweep(), labSearch(), labReport(), labTruth(), labTrace())
	return command
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
				cancel(fmt.Errorf("%.1f GB of memory are in use, over --memory %g: lower --parallel or leave out --audit",
					used, l.memory))
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return ctx, func() { cancel(nil); stop() }
}

// labRun returns the command that runs one scenario.
func labRun() *cobra.Command {
	var flags labFlags
	var variantText string
	var workers int
	command := &cobra.Command{
		Use: "run", Short: "Run one scenario over many seeds", Args: cli.Args(cobra.NoArgs),
		Example: `  chutelab lab run --scenario mixed --seeds 100 --audit
  chutelab lab run --scenario sick-half-hang --way policy=backoff,sending.slots=20
  chutelab lab run --scenario my.toml --seeds 20 --rows before.jsonl`,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := flags.interruptible(command)
			defer stop()
			variant, err := lab.ParseVariant(variantText)
			if err != nil {
				return cli.UsageErrorf("%s", err)
			}
			if workers > 1 { // a single large run on several processors
				loaded, err := variant.Scenario(flags.scenario, flags.seed)
				if err != nil {
					return err
				}
				policy, err := model.PolicyOf(variant.Policy, loaded)
				if err != nil {
					return err
				}
				flags.network.Delay, flags.network.Jitter = millis(flags.delay), millis(flags.jitter)
				result := model.Run(ctx, loaded, model.Options{Policy: policy, Workers: workers, Record: flags.audit,
					Network: flags.network})
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				fmt.Fprintf(command.OutOrStdout(),
					"%d senders, %d destinations, %.0f s simulated in %.1f s on %d workers: %d notices, %d events, "+
						"%.2f M events a second, %.1f GB from the system\ncredit %.4f, delivered %d, calls %d, further %d, p50 %.1f p99 %.1f ms\n",
					loaded.Senders, len(scenario.NewInstance(loaded).Destinations), float64(loaded.Length)/1000,
					result.Wall.Seconds(), workers, result.All.Asked, result.Events,
					float64(result.Events)/result.Wall.Seconds()/1e6, float64(mem.Sys)/1e9,
					result.All.Credit, result.All.Delivered, result.Calls, result.FurtherCalls,
					result.All.Delivery.P50, result.All.Delivery.P99)
				if result.Cancelled {
					return lab.ErrInterrupted
				}
				return nil
			}
			rows, err := flags.plan([]lab.Variant{variant}, command).Run(ctx)
			return flags.finish(command.OutOrStdout(), rows, err, func() (string, error) {
				text := lab.SummaryTable(rows)
				if flags.out != "" {
					if err := flags.charts(rows); err != nil {
						return "", err
					}
				}
				return text, nil
			})
		},
	}
	flags.add(command, 20)
	command.Flags().StringVar(&variantText, "way", "",
		"variant: policy=NAME, file=PATH, mix=true or section.key=value, separated by commas")
	command.Flags().IntVar(&workers, "workers", 1, "run one seed on this many processors and print the speed")
	return command
}

// charts draws credit over time for each variant, with the first six faults shaded.
func (l *labFlags) charts(rows []lab.Row) error {
	if err := os.MkdirAll(l.out, 0o755); err != nil {
		return fmt.Errorf("writing the charts: %w", err)
	}
	loaded, err := scenario.Load(l.scenario)
	if err != nil {
		return err
	}
	credit := chart.Chart{Title: "Credit over time, " + loaded.Name, X: "s from the first notice",
		Y: "share of the credit asked", YMin: 0, YMax: 1.02}
	for i, f := range loaded.Faults {
		if i < 6 {
			credit.Bands = append(credit.Bands, chart.Band{Name: f.Kind, From: float64(f.At) / 1000,
				To: min(float64(f.Until()), float64(loaded.Length)) / 1000})
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

// labCompare returns the command that compares two variants.
func labCompare() *cobra.Command {
	var flags labFlags
	var textA, textB, rowsA, rowsB, figure string
	var width float64
	var most int
	command := &cobra.Command{
		Use: "compare", Short: "Compare two settings, policies or builds over the same seeds",
		Args: cli.Args(cobra.NoArgs),
		Long: `compare runs both variants with the same seeds and estimates the mean difference of each figure over the pairs, with 95%
intervals. With --width it adds seeds until half the interval's width of the chosen figure is at most that, or --most
seeds have run. To compare two builds, write the rows of each with lab run --rows, and pass them as --rows-a and --rows-b.`,
		Example: `  chutelab lab compare --scenario my.toml --b sending.trips=8
  chutelab lab compare --scenario my.toml --a file=now.toml --b file=planned.toml --width 0.002
  chutelab lab compare --scenario mixed --b policy=backoff
  chutelab lab compare --rows-a before.jsonl --rows-b after.jsonl`,
		RunE: func(command *cobra.Command, _ []string) error {
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
				fmt.Fprint(command.OutOrStdout(), text)
				return err
			}
			ctx, stop := flags.interruptible(command)
			defer stop()
			variantA, err := lab.ParseVariant(textA)
			if err != nil {
				return cli.UsageErrorf("--a: %s", err)
			}
			variantB, err := lab.ParseVariant(textB)
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
				more, err := flags.plan([]lab.Variant{variantA, variantB}, command).Run(ctx)
				rows = append(rows, more...)
				difference := lab.PairedDifference(lab.Values(rows, variantA.Name, figure),
					lab.Values(rows, variantB.Name, figure))
				if err != nil || width <= 0 || difference.HalfWidth() <= width || len(rows)/2 >= most {
					return flags.finish(command.OutOrStdout(), rows, err, func() (string, error) {
						if flags.out != "" {
							if err := flags.charts(rows); err != nil {
								return "", err
							}
						}
						return lab.CompareVariants(rows, variantA.Name, variantB.Name), nil
					})
				}
				flags.seed += uint64(flags.seeds)
			}
		},
	}
	flags.add(command, 30)
	flagSet := command.Flags()
	flagSet.StringVar(&textA, "a", "", "first variant; empty: the policy ours with the scenario's own settings")
	flagSet.StringVar(&textB, "b", "", "second variant")
	flagSet.StringVar(&figure, "figure", "credit", "figure that --width applies to")
	flagSet.Float64Var(&width, "width", 0,
		"run more seeds until half the width of the difference's interval is at most this")
	flagSet.IntVar(&most, "most", 400, "with --width: maximum number of seeds")
	flagSet.StringVar(&rowsA, "rows-a", "", "rows file of the first build")
	flagSet.StringVar(&rowsB, "rows-b", "", "rows file of the second build")
	return command
}

// labSweep returns the command that varies settings.
func labSweep() *cobra.Command {
	var flags labFlags
	var params []string
	var samples int
	var variantText, figure string
	command := &cobra.Command{
		Use: "sweep", Short: "Run a scenario over a grid or a Latin hypercube of settings", Args: cli.Args(cobra.NoArgs),
		Example: `  chutelab lab sweep --scenario sick --param sending.slots=16,32,64 --param sending.trips=2,4,8
  chutelab lab sweep --scenario sick --param traffic.rate=100..900/s --param sending.slots=8..64 --samples 40`,
		RunE: func(command *cobra.Command, _ []string) error {
			if len(params) == 0 {
				return cli.UsageErrorf("expected at least one --param, such as sending.slots=16,32")
			}
			base, err := lab.ParseVariant(variantText)
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
				variants = lab.Hypercube(base, ranges, samples, flags.seed)
			} else if variants, err = lab.Grid(base, ranges); err != nil {
				return cli.UsageErrorf("%s", err)
			}
			ctx, stop := flags.interruptible(command)
			defer stop()
			rows, err := flags.plan(variants, command).Run(ctx)
			return flags.finish(command.OutOrStdout(), rows, err, func() (string, error) {
				if flags.out != "" && len(ranges) <= 2 && samples == 0 {
					if err := flags.sweepChart(rows, ranges, variants, figure); err != nil {
						return "", err
					}
				}
				return lab.SummaryTable(rows), nil
			})
		},
	}
	flags.add(command, 10)
	command.Flags().StringArrayVar(&params, "param", nil, "setting with its values, or with an interval for --samples")
	command.Flags().IntVar(&samples, "samples", 0, "number of samples of a Latin hypercube, instead of the grid")
	command.Flags().StringVar(&variantText, "way", "", "variant that all runs are based on")
	command.Flags().StringVar(&figure, "figure", "credit", "figure that the chart shows")
	return command
}

// sweepChart draws a figure over the last parameter. With two parameters it draws a line for each value of the first.
func (l *labFlags) sweepChart(rows []lab.Row, ranges []lab.Range, variants []lab.Variant, figure string) error {
	last := ranges[len(ranges)-1]
	figureChart := chart.Chart{Title: figure + ", " + l.scenario, X: last.Key, Y: figure, MarkPoints: true}
	perLine := len(last.Values)
	for i := 0; i < len(variants); i += perLine {
		line := chart.Series{Name: ranges[0].Key + "=" + ranges[0].Values[(i/perLine)%len(ranges[0].Values)]}
		if len(ranges) == 1 {
			line.Name = figure
		}
		for j, v := range last.Values {
			x := float64(j)
			fmt.Sscanf(v, "%g", &x)
			line.X, line.Y = append(line.X, x),
				append(line.Y, lab.EstimateMean(lab.Values(rows, variants[i+j].Name, figure)).Mean)
		}
		figureChart.Lines = append(figureChart.Lines, line)
	}
	if err := os.MkdirAll(l.out, 0o755); err != nil {
		return fmt.Errorf("writing the chart: %w", err)
	}
	return figureChart.Save(filepath.Join(l.out, l.name+".svg"))
}

// labSearch returns the command that searches for bad scenarios.
func labSearch() *cobra.Command {
	var flags labFlags
	var variantText, reference, write string
	var breaches bool
	var keep float64
	command := &cobra.Command{
		Use: "search", Short: "Find the scenario with the worst result and simplify it", Args: cli.Args(cobra.NoArgs),
		Long: `search adds random faults to a scenario, others for each seed, and compares the policy under test with a reference policy
(the oracle knows each fault as it begins). It simplifies the worst scenario found while the result stays as bad. With
--breaches it looks for broken rules. --write writes the scenario to a file, which try can run on sockets.`,
		Example: `  chutelab lab search --scenario brief --seeds 2000 --write worst.toml
  chutelab lab search --scenario brief --seeds 5000 --breaches --write breach.toml`,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := flags.interruptible(command)
			defer stop()
			variant, err := lab.ParseVariant(variantText)
			if err != nil {
				return cli.UsageErrorf("--way: %s", err)
			}
			done := 0
			search := lab.Search{Base: flags.scenario, Variant: variant, Reference: reference,
				SearchBreaches: breaches, Seeds: lab.ConsecutiveSeeds(flags.seed, flags.seeds), Parallel: flags.parallel,
				OnFinding: func(f lab.Finding) {
					if done++; term.IsTerminal(int(os.Stderr.Fd())) {
						fmt.Fprintf(os.Stderr, "\r\x1b[K%d of %d seeds", done, flags.seeds)
					}
				}}
			out := command.OutOrStdout()
			found, err := search.Run(ctx)
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
			worst, shrinkErr := search.Shrink(ctx, found[0], keep)
			if shrinkErr != nil {
				return shrinkErr
			}
			fmt.Fprintf(out, "\nshortened: %s\n", formatFinding(worst))
			for _, f := range worst.Scenario.Faults {
				fmt.Fprintf(out, "  %5.1f to %.1f s  %s %s part %.2f share %.2f size %.2f\n",
					f.At/1000, f.Until()/1000, f.Kind, f.Grade, f.Part, f.Share, f.Size)
			}
			for _, b := range worst.Ours.Breaches[:min(len(worst.Ours.Breaches), 1)] {
				fmt.Fprintln(out, b)
			}
			if write != "" {
				text, err := search.ScenarioFile(worst, formatFinding(worst))
				if err != nil {
					return err
				}
				if err := os.WriteFile(write, text, 0o644); err != nil {
					return fmt.Errorf("writing the scenario: %w", err)
				}
			}
			if breaches {
				return fmt.Errorf("%d of %d runs broke a rule",
					len(slices.DeleteFunc(found, func(f lab.Finding) bool { return f.Badness == 0 })), flags.seeds)
			}
			return err
		},
	}
	flags.add(command, 200)
	flagSet := command.Flags()
	flagSet.StringVar(&variantText, "way", "", "variant of the policy under test")
	flagSet.StringVar(&reference, "against", model.Oracle, "reference policy to compare with")
	flagSet.BoolVar(&breaches, "breaches", false, "look for broken rules instead of lost credit")
	flagSet.Float64Var(&keep, "keep", 0.9, "share of the badness that the simplified scenario must keep")
	flagSet.StringVar(&write, "write", "", "file to write the simplified scenario to")
	return command
}

// formatFinding formats a finding as one line.
func formatFinding(f lab.Finding) string {
	if f.Reference == nil {
		return fmt.Sprintf("seed %d: %d breaches, credit %.3f", f.Seed, len(f.Ours.Breaches), f.Ours.All.Credit)
	}
	return fmt.Sprintf("seed %d: %.3f lost: credit %.3f, reference %.3f, %d notices, %d faults",
		f.Seed, f.Badness, f.Ours.All.Credit, f.Reference.All.Credit, f.Ours.All.Asked, len(f.Scenario.Faults))
}

// labReport returns the command that prints tables of earlier runs.
func labReport() *cobra.Command {
	var against string
	command := &cobra.Command{
		Use: "report ROWS...", Short: "Print tables of rows files", Args: cli.Args(cobra.MinimumNArgs(1)),
		Example: `  chutelab lab report rows.jsonl
  chutelab lab report --against ours rows.jsonl`,
		RunE: func(command *cobra.Command, files []string) error {
			var rows []lab.Row
			for _, file := range files {
				more, err := lab.LoadRows(file)
				if err != nil {
					return err
				}
				rows = append(rows, more...)
			}
			if len(rows) == 0 {
				return errors.New("the files contain no rows")
			}
			fmt.Fprint(command.OutOrStdout(), lab.SummaryTable(rows))
			if against != "" {
				for _, variant := range lab.VariantNames(rows) {
					if variant != against {
						fmt.Fprintf(command.OutOrStdout(), "\n%s", lab.CompareVariants(rows, against, variant))
					}
				}
			}
			return nil
		},
	}
	command.Flags().StringVar(&against, "against", "", "variant to compare all others with")
	return command
}

// labTruth returns the command that compares the model with runs on sockets.
func labTruth() *cobra.Command {
	var flags labFlags
	var program string
	var tries int
	var names []string
	command := &cobra.Command{
		Use: "truth", Short: "Validate the model's predictions by runs on sockets", Args: cli.Args(cobra.NoArgs),
		Long: `truth runs scenarios in the model over many seeds and on loopback sockets with other seeds. For each run on sockets it
reports whether the measured credit lies within the interval that the model predicts for a single run.`,
		Example: `  chutelab lab truth --scenarios calm,sick,mixed --seeds 60 --tries 2`,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := flags.interruptible(command)
			defer stop()
			path, err := senderProgram(program)
			if err != nil {
				return fmt.Errorf("finding the sender's program: %w", err)
			}
			text, shareWithin, err := flags.validateModel(ctx, path, names, tries)
			fmt.Fprint(command.OutOrStdout(), text)
			if err != nil {
				return err
			}
			if flags.out != "" {
				if err := os.MkdirAll(flags.out, 0o755); err != nil {
					return err
				}
				text = fmt.Sprintf("    chutelab %s\n\n%s", strings.Join(os.Args[1:], " "), text)
				if err := os.WriteFile(filepath.Join(flags.out, flags.name+".md"), []byte(text), 0o644); err != nil {
					return err
				}
			}
			if shareWithin < 1 {
				return fmt.Errorf("%.0f%% of the runs on sockets fell within the prediction", 100*shareWithin)
			}
			return nil
		},
	}
	flags.add(command, 60)
	command.Flags().StringSliceVar(&names, "scenarios", nil, "scenarios to run; default: the built-in ones")
	command.Flags().StringVar(&program, "program", "",
		"sender program; default: chuteweir in this program's directory, else in PATH")
	command.Flags().IntVar(&tries, "tries", 2, "number of runs on sockets for each scenario")
	return command
}
