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

func tryCommand() *cobra.Command {
	var name, keep, program, level string
	var senders, seeds, parallel int
	var seed uint64
	var length time.Duration
	var asJSON, list, mix bool
	c := &cobra.Command{
		Use: "try", Short: "Start senders among stand-ins, run a scenario and tell how it went", Args: cli.Args(cobra.NoArgs),
		Long: `try starts a stand-in platform, gateways and clients on free loopback ports and as many senders as the scenario
says, plays the scenario, audits what was seen against the six rules, and ends with a table. It fails if a rule was
broken. With --seeds it plays several seeds one after the other and tells a line for each.`,
		Example: `  chuteweir try
  chuteweir try --scenario mixed --senders 3 --seed 7
  chuteweir try --scenario my.toml --keep run --log-level debug
  chuteweir try --scenario brief --mix --seeds 200 --parallel 4`,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
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
			path, err := sender(program)
			if err != nil {
				return fmt.Errorf("no sender to try: %w", err)
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			prepare := func(i int) (trial.Options, error) {
				s, err := scenario.Load(name)
				if err != nil {
					return trial.Options{}, err
				}
				if c.Flags().Changed("seed") {
					s.Seed = seed
				}
				s.Seed += uint64(i)
				if senders > 0 {
					s.Senders, s.Settings.Senders = senders, senders
				}
				if length > 0 {
					s.Length = millis(length)
				}
				if mix {
					scenario.Mix(s)
				}
				o := trial.Options{Scenario: s, Start: trial.Serve(path, level), Keep: keep}
				if seeds > 1 && keep != "" {
					o.Keep = fmt.Sprintf("%s/seed-%d", keep, s.Seed)
				}
				if seeds == 1 && !asJSON && term.IsTerminal(int(os.Stderr.Fd())) {
					o.Progress = progress
				}
				return o, nil
			}
			broken := 0
			tell := func(r *trial.Result) error {
				if !r.Clean() {
					broken++
				}
				switch {
				case asJSON:
					return json.NewEncoder(out).Encode(r)
				case seeds == 1:
					r.Table(out)
					return nil
				}
				fmt.Fprintln(out, line(r))
				for _, b := range r.Breaches[:min(len(r.Breaches), 3)] {
					fmt.Fprintln(out, "  "+strings.ReplaceAll(b.String(), "\n", "\n  "))
				}
				return nil
			}
			err = each(seeds, parallel, func(i int) (*trial.Result, error) {
				o, err := prepare(i)
				if err != nil {
					return nil, err
				}
				r, err := trial.Run(ctx, o)
				if o.Progress != nil {
					fmt.Fprint(os.Stderr, "\r\x1b[K")
				}
				return r, err
			}, tell)
			if err != nil {
				return err
			}
			if broken > 0 {
				return fmt.Errorf("%d of %d runs broke a rule", broken, seeds)
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&name, "scenario", "calm", "a scenario's file, or the name of one that comes with the program")
	f.BoolVar(&list, "list", false, "list the scenarios that come with the program")
	f.IntVar(&senders, "senders", 0, "senders, in place of the scenario's number")
	f.Uint64Var(&seed, "seed", 1, "of all chance, in place of the scenario's")
	f.IntVar(&seeds, "seeds", 1, "how many seeds to play, one after the other")
	f.IntVar(&parallel, "parallel", 1, "with --seeds: how many runs at a time")
	f.BoolVar(&mix, "mix", false, "draw troubles by the seed in place of the scenario's own")
	f.DurationVar(&length, "length", 0, "how long notices come, in place of the scenario's length")
	f.BoolVar(&asJSON, "json", false, "the results as JSON, a line a run")
	f.StringVar(&keep, "keep", "", "a folder that keeps configurations, ledgers and logs")
	f.StringVar(&program, "program", "", "the sender's program; else the one beside this")
	f.StringVar(&level, "log-level", "info", "of the senders' logs: debug tells each notice's way")
	return c
}

// each makes runs, some at a time, and tells their results in their order.
func each(count, parallel int, run func(int) (*trial.Result, error), tell func(*trial.Result) error) error {
	type one struct {
		r   *trial.Result
		err error
	}
	results, free := make([]chan one, count), make(chan struct{}, max(parallel, 1))
	for i := range results {
		results[i] = make(chan one, 1)
	}
	go func() {
		for i := range count {
			free <- struct{}{}
			go func() {
				r, err := run(i)
				results[i] <- one{r, err}
				<-free
			}()
		}
	}()
	for i := range results {
		done := <-results[i]
		if done.err != nil {
			return done.err
		}
		if err := tell(done.r); err != nil {
			return err
		}
	}
	return nil
}

func progress(p trial.Progress) {
	fmt.Fprintf(os.Stderr, "\r\x1b[K%5.1f of %.0f s  %d notices, %d open", max(p.At/1000, 0), p.Length/1000, p.Offered, p.Open)
}

// line is a run in one line.
func line(r *trial.Result) string {
	verdict := "kept"
	if !r.Clean() {
		verdict = fmt.Sprintf("%d breaches", len(r.Breaches))
	}
	return fmt.Sprintf("seed %-4d credit %.3f (well %.3f)  delivered %d of %d  p50 %.1f p99 %.1f ms  calls %d  rules %s", r.Seed,
		r.All.Credit, r.Well.Credit, r.All.Delivered, r.All.Asked, r.All.Delivery.P50, r.All.Delivery.P99, r.Calls, verdict)
}
