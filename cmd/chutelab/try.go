package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"chuteweir.example/chuteweir/internal/cli"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/internal/trial"
	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// tryCommand returns the command that runs scenarios against senders on loopback sockets.
func tryCommand() *cobra.Command {
	var name, keep, program, level string
	var senders, seeds, parallel int
	var seed uint64
	var length time.Duration
	var asJSON, list, mix bool
	command := &cobra.Command{
		Use: "try", Short: "Run a scenario against senders with stand-ins and report the results",
		Args: cli.Args(cobra.NoArgs),
		Long: `try starts a stand-in platform, gateways and clients on free loopback ports and as many senders as the scenario
says, runs the scenario, checks the recorded events against the six rules, and prints a table. It fails if a rule was
broken. With --seeds it runs several seeds and prints a line for each.`,
		Example: `  chuteweir try
  chuteweir try --scenario mixed --senders 3 --seed 7
  chuteweir try --scenario my.toml --keep run --log-level debug
  chuteweir try --scenario brief --mix --seeds 200 --parallel 4`,
		RunE: func(command *cobra.Command, _ []string) error {
			out := command.OutOrStdout()
			if list {
				for _, name := range scenario.Builtin() {
					s, err := scenario.Load(name)
					if err != nil {
						return err
					}
					fmt.Fprintf(out, "%-14s %s\n", name, s.About)
				}
				return nil
			}
			path, err := senderProgram(program)
			if err != nil {
				return fmt.Errorf("finding the sender's program: %w", err)
			}
			ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			prepare := func(i int) (trial.Options, error) {
				loaded, err := scenario.Load(name)
				if err != nil {
					return trial.Options{}, err
				}
				if command.Flags().Changed("seed") {
					loaded.Seed = seed
				}
				loaded.Seed += uint64(i)
				if senders > 0 {
					loaded.Senders, loaded.Settings.Senders = senders, senders
				}
				if length > 0 {
					loaded.Length = millis(length)
				}
				if mix {
					scenario.Mix(loaded)
				}
				options := trial.Options{Scenario: loaded, Start: trial.ServeCommand(path, level), KeepDir: keep}
				if seeds > 1 && keep != "" {
					options.KeepDir = fmt.Sprintf("%s/seed-%d", keep, loaded.Seed)
				}
				if seeds == 1 && !asJSON && term.IsTerminal(int(os.Stderr.Fd())) {
					options.Progress = progress
				}
				return options, nil
			}
			broken := 0
			report := func(result *trial.Result) error {
				if !result.Clean() {
					broken++
				}
				switch {
				case asJSON:
					return json.NewEncoder(out).Encode(result)
				case seeds == 1:
					result.WriteTable(out)
					return nil
				}
				fmt.Fprintln(out, formatResult(result))
				for _, b := range result.Breaches[:min(len(result.Breaches), 3)] {
					fmt.Fprintln(out, "  "+strings.ReplaceAll(b.String(), "\n", "\n  "))
				}
				return nil
			}
			err = runParallel(seeds, parallel, func(i int) (*trial.Result, error) {
				options, err := prepare(i)
				if err != nil {
					return nil, err
				}
				result, err := trial.Run(ctx, options)
				if options.Progress != nil {
					fmt.Fprint(os.Stderr, "\r\x1b[K")
				}
				return result, err
			}, report)
			if err != nil {
				return err
			}
			if broken > 0 {
				return fmt.Errorf("%d of %d runs broke a rule", broken, seeds)
			}
			return nil
		},
	}
	flagSet := command.Flags()
	flagSet.StringVar(&name, "scenario", "calm", "scenario file, or the name of a built-in scenario")
	flagSet.BoolVar(&list, "list", false, "list the built-in scenarios")
	flagSet.IntVar(&senders, "senders", 0, "number of senders, instead of the scenario's")
	flagSet.Uint64Var(&seed, "seed", 1, "random seed, instead of the scenario's")
	flagSet.IntVar(&seeds, "seeds", 1, "number of seeds to run")
	flagSet.IntVar(&parallel, "parallel", 1, "with --seeds: number of concurrent runs")
	flagSet.BoolVar(&mix, "mix", false, "replace the scenario's faults by random ones that the seed determines")
	flagSet.DurationVar(&length, "length", 0,
		"duration in which notices are submitted, instead of the scenario's length")
	flagSet.BoolVar(&asJSON, "json", false, "print the results as JSON, one line for each run")
	flagSet.StringVar(&keep, "keep", "", "directory in which to keep configurations, ledgers and logs")
	flagSet.StringVar(&program, "program", "",
		"sender program; default: chuteweir in this program's directory, else in PATH")
	flagSet.StringVar(&level, "log-level", "info", "level of the senders' logs; debug traces each notice")
	return command
}

// runParallel makes count runs, up to parallel at a time, and passes their results to report in order. It stops at the
// first error.
func runParallel(count, parallel int, run func(int) (*trial.Result, error), report func(*trial.Result) error) error {
	type outcome struct {
		result *trial.Result
		err    error
	}
	results, slots := make([]chan outcome, count), make(chan struct{}, max(parallel, 1))
	for i := range results {
		results[i] = make(chan outcome, 1)
	}
	go func() {
		for i := range count {
			slots <- struct{}{}
			go func() {
				r, err := run(i)
				results[i] <- outcome{r, err}
				<-slots
			}()
		}
	}()
	for i := range results {
		done := <-results[i]
		if done.err != nil {
			return done.err
		}
		if err := report(done.result); err != nil {
			return err
		}
	}
	return nil
}

// progress rewrites the progress line of a terminal.
func progress(p trial.Progress) {
	fmt.Fprintf(os.Stderr, "\r\x1b[K%5.1f of %.0f s  %d notices, %d open",
		max(p.At/1000, 0), p.Length/1000, p.Submitted, p.Open)
}

// formatResult formats a run's result as one line.
func formatResult(r *trial.Result) string {
	verdict := "kept"
	if !r.Clean() {
		verdict = fmt.Sprintf("%d breaches", len(r.Breaches))
	}
	return fmt.Sprintf("seed %-4d credit %.3f (well %.3f)  delivered %d of %d  p50 %.1f p99 %.1f ms  calls %d  rules %s",
		r.Seed, r.All.Credit, r.Well.Credit, r.All.Delivered, r.All.Asked, r.All.Delivery.P50, r.All.Delivery.P99,
		r.Calls, verdict)
}
