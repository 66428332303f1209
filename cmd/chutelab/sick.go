package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"

	"chuteweir.example/chuteweir/internal/chart"
	"chuteweir.example/chuteweir/internal/cli"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/internal/trial"
	"github.com/spf13/cobra"
)

// sickness is what the command is asked for.
type sickness struct {
	only                         []string
	slots, destinations, sockets int
	rate                         float64
	parallel                     int
	seed                         uint64
	program, out, name           string
	relay                        bool
}

func sickCommand() *cobra.Command {
	var s sickness
	c := &cobra.Command{
		Use: "sick", Short: "Measure what sick destinations take from healthy ones", Args: cli.Args(cobra.NoArgs),
		Long: `sick plays the scenarios in which a part of the destinations is sick (try --list, those that begin with sick-), and each
of them with the same seed and no trouble. It tells what notices for the destinations that are well came to in both, how
many slots the sick held, and how many further calls were made; with --relay also what the plain relay makes of it. It
fails if a rule was broken.`,
		Example: `  chuteweir sick
  chuteweir sick --only sick-half-hang,sick-restart --relay
  chuteweir sick --slots 4 --destinations 4 --rate 40
  chuteweir sick --relay --out docs/measurements --name sick`,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, name := range s.only {
				if !slices.Contains(scenario.FailingSet(), name) {
					return cli.UsageErrorf("--only %s: one of %s", name, strings.Join(scenario.FailingSet(), ", "))
				}
			}
			if s.slots < 0 || s.destinations < 0 || s.rate < 0 || s.parallel < 1 {
				return cli.UsageErrorf("--slots, --destinations and --rate can't be below 0, --parallel not below 1")
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return s.run(ctx, c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringSliceVar(&s.only, "only", nil, "only these scenarios")
	f.IntVar(&s.slots, "slots", 0, "calls out at once, in place of the scenarios' 40")
	f.IntVar(&s.destinations, "destinations", 0, "destinations, in place of the scenarios' 40")
	f.IntVar(&s.sockets, "sockets", 0, "descriptors that the sender is told it has, in place of the scenarios' 1024")
	f.Float64Var(&s.rate, "rate", 0, "notices a second, in place of the scenarios' 400")
	f.Uint64Var(&s.seed, "seed", 1, "of all chance")
	f.IntVar(&s.parallel, "parallel", 1, "runs at a time")
	f.BoolVar(&s.relay, "relay", false, "run the plain relay beside")
	f.StringVar(&s.program, "program", "", "the sender's program; else the one beside this")
	f.StringVar(&s.out, "out", "", "a folder for the table and charts")
	f.StringVar(&s.name, "name", "sick", "with --out: the name of their files")
	return c
}

// sickCase is one scenario with all that was made of it.
type sickCase struct {
	name              string
	calm, hit, relay  *trial.Result
	trouble, baseline trial.FailureImpact
}

func (s *sickness) run(ctx context.Context, out io.Writer) error {
	program, err := sender(s.program)
	if err != nil {
		return fmt.Errorf("no sender to try: %w", err)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	names := s.only
	if len(names) == 0 {
		names = scenario.FailingSet()
	}
	var cases []*sickCase
	var runs []func() (*trial.Result, error)
	var put []func(*trial.Result)
	for _, name := range names {
		c := &sickCase{name: name}
		cases = append(cases, c)
		hit, err := scenario.Load(name)
		if err != nil {
			return err
		}
		s.scale(hit)
		struck := scenario.NewInstance(hit)
		isSick := func(d int) bool { return len(struck.Destinations[d-1].Faults) > 0 }
		play := func(sc *scenario.Scenario, start trial.NewCommand, to func(*trial.Result)) {
			runs = append(runs, func() (*trial.Result, error) {
				return trial.Run(ctx, trial.Options{Scenario: sc, Start: start, IsFailing: isSick})
			})
			put = append(put, to)
		}
		serve := trial.ServeCommand(program, "info")
		play(hit.WithoutFaults(), serve, func(r *trial.Result) { c.calm = r })
		play(hit, serve, func(r *trial.Result) { c.hit, c.trouble = r, r.FailureImpact(isSick) })
		if s.relay {
			play(hit, trial.RelayCommand(self), func(r *trial.Result) {
				c.relay, c.baseline = r,
					r.FailureImpact(isSick)
			})
		}
	}
	done := 0
	err = runParallel(len(runs), s.parallel, func(i int) (*trial.Result, error) { return runs[i]() }, func(r *trial.Result) error {
		put[done](r)
		done++
		return nil
	})
	if err != nil {
		return err
	}
	table := s.table(cases)
	fmt.Fprint(out, table)
	if s.out != "" {
		if err := s.keep(table, cases); err != nil {
			return err
		}
	}
	broken := 0
	for _, c := range cases {
		for _, r := range []*trial.Result{c.calm, c.hit} {
			if !r.Clean() {
				broken++
				fmt.Fprintf(out, "\n%s:\n%s", c.name, r.Breaches[0])
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d runs broke a rule", broken)
	}
	return nil
}

// scale puts the sizes asked for in place of a scenario's own.
func (s *sickness) scale(sc *scenario.Scenario) {
	sc.Seed = s.seed
	if s.slots > 0 {
		sc.Settings.Slots = s.slots
	}
	if s.sockets > 0 {
		sc.Machine.Sockets = s.sockets
	}
	if s.rate > 0 {
		sc.Traffic.Rate = s.rate
		sc.Settings.HoldLimit = max(sc.Settings.HoldLimit, int(10*s.rate))
		sc.Machine.MemoryMB = max(sc.Machine.MemoryMB, int(s.rate))
	}
	if s.destinations > 0 {
		// Groups keep their parts of each other.
		all := 0
		for _, g := range sc.Groups {
			all += g.Destinations
		}
		for i := range sc.Groups {
			g := &sc.Groups[i]
			if len(sc.Groups) > 1 && g.Destinations == 1 {
				g.Weight *= float64(s.destinations) / float64(all) // one against all others
				continue
			}
			g.Destinations = max(g.Destinations*s.destinations/all, 1)
		}
	}
}

func (s *sickness) table(cases []*sickCase) string {
	var b strings.Builder
	w := cases[0].hit.Instance
	fmt.Fprintf(&b, "%.0f notices a second, some %d destinations, %d slots, seed %d; sick from 1 to 6 s of 8; figures of destinations that are well,\n"+
		"against the same seed with no trouble\n\n", w.Traffic.Rate, len(w.Destinations), w.Settings.Slots, w.Seed)
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "scenario\tnotices\tcredit\tof calm\tp99 ms\tof calm\tslots of the sick\tfurther\tload of the sick\tCPU of calm\trules")
	if s.relay {
		fmt.Fprint(t, "\trelay: credit of calm\tp99 ms\tfurther\tload")
	}
	fmt.Fprintln(t)
	for _, c := range cases {
		calm, hit, verdict := c.calm.Well, c.hit.Well, "kept"
		if !c.calm.Clean() || !c.hit.Clean() {
			verdict = "BROKEN"
		}
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%s\t%.1f\t%s\t%.2f\t%.3f\t%.2f\t%.2f\t%s", strings.TrimPrefix(c.name, "sick-"), hit.Asked, hit.Credit,
			ratio(hit.Credit, calm.Credit), hit.Delivery.P99, ratio(hit.Delivery.P99, calm.Delivery.P99), c.trouble.MostSlots,
			c.trouble.Further, c.trouble.MostLoad, c.hit.CPU/c.calm.CPU, verdict)
		if s.relay {
			fmt.Fprintf(t, "\t%s\t%.1f\t%.3f\t%.2f", ratio(c.relay.Well.Credit, calm.Credit), c.relay.Well.Delivery.P99, c.baseline.Further,
				c.baseline.MostLoad)
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	fmt.Fprint(&b, `
slots of the sick: the most of all slots that calls to them held at once. further: calls for a notice beyond its first that a
gateway saw, for each notice wanted. load of the sick: the most calls in half a second that reached them, for each notice wanted
of them in that time in the mean; their own backlog is among it.
`)
	return b.String()
}

// ratio is a/b, or a dash where there is no b.
func ratio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", a/b)
}

// keep writes the table and the charts of slots and load over time.
func (s *sickness) keep(table string, cases []*sickCase) error {
	if err := os.MkdirAll(s.out, 0o755); err != nil {
		return fmt.Errorf("keeping the results: %w", err)
	}
	slots := chart.Chart{Title: "Slots held by sick destinations", X: "s", Y: "share of all slots", YMin: 0, YMax: 1,
		Bands: []chart.Band{{Name: "sick", From: 1, To: 6}}}
	load := chart.Chart{Title: "Calls that reached sick destinations", X: "s", Y: "for each notice wanted", Bands: slots.Bands}
	for _, c := range cases {
		one, other := chart.Series{Name: strings.TrimPrefix(c.name, "sick-")}, chart.Series{}
		other.Name = one.Name
		for i, at := range c.trouble.At {
			one.X, one.Y = append(one.X, float64(at)/1000), append(one.Y, c.trouble.SlotsShare[i])
			other.X, other.Y = append(other.X, float64(at)/1000), append(other.Y, c.trouble.Load[i])
		}
		slots.Lines, load.Lines = append(slots.Lines, one), append(load.Lines, other)
	}
	if err := slots.Save(filepath.Join(s.out, s.name+"-slots.svg")); err != nil {
		return err
	}
	if err := load.Save(filepath.Join(s.out, s.name+"-load.svg")); err != nil {
		return err
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "chutelab %s\n\n%s", strings.Join(os.Args[1:], " "), table)
	return os.WriteFile(filepath.Join(s.out, s.name+".txt"), text.Bytes(), 0o644)
}
