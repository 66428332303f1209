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

// sickOptions holds the flags of the sick command. A size of 0 leaves the scenario's own.
type sickOptions struct {
	only                         []string
	slots, destinations, sockets int
	rate                         float64
	parallel                     int
	seed                         uint64
	program, out, name           string
	relay                        bool
}

// sickCommand returns the command that measures the effect of failing destinations on healthy ones.
func sickCommand() *cobra.Command {
	var s sickOptions
	c := &cobra.Command{
		Use: "sick", Short: "Measure the effect of failing destinations on healthy ones", Args: cli.Args(cobra.NoArgs),
		Long: `sick runs the scenarios in which some destinations fail (in try --list, those that begin with sick-), and each
of them again with the same seed and without faults. It compares the notices to the healthy destinations of both runs
and reports the share of slots that calls to the failing destinations held, and the number of calls beyond each notice's
first. With --relay it runs the plain relay on the same scenarios too. It fails if a run broke a rule.`,
		Example: `  chuteweir sick
  chuteweir sick --only sick-half-hang,sick-restart --relay
  chuteweir sick --slots 4 --destinations 4 --rate 40
  chuteweir sick --relay --out docs/measurements --name sick`,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, name := range s.only {
				if !slices.Contains(scenario.FailingSet(), name) {
					return cli.UsageErrorf("--only %s: must be one of %s", name, strings.Join(scenario.FailingSet(), ", "))
				}
			}
			if s.slots < 0 || s.destinations < 0 || s.rate < 0 || s.parallel < 1 {
				return cli.UsageErrorf("--slots, --destinations and --rate must be at least 0, --parallel at least 1")
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return s.run(ctx, c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringSliceVar(&s.only, "only", nil, "run only these scenarios")
	f.IntVar(&s.slots, "slots", 0, "maximum of outstanding calls, in place of the scenarios' 40")
	f.IntVar(&s.destinations, "destinations", 0, "number of destinations, in place of the scenarios' 40")
	f.IntVar(&s.sockets, "sockets", 0, "the sender's limit of file descriptors, in place of the scenarios' 1024")
	f.Float64Var(&s.rate, "rate", 0, "notices a second, in place of the scenarios' 400")
	f.Uint64Var(&s.seed, "seed", 1, "seed of all random numbers")
	f.IntVar(&s.parallel, "parallel", 1, "number of concurrent runs")
	f.BoolVar(&s.relay, "relay", false, "run the plain relay too, as the baseline")
	f.StringVar(&s.program, "program", "", "the sender's program; by default the one in the directory of this program")
	f.StringVar(&s.out, "out", "", "directory for the table and charts")
	f.StringVar(&s.name, "name", "sick", "with --out: base name of the files")
	return c
}

// sickCase holds the results of one scenario: calm without its faults, hit with them, and relay with them but with the
// plain relay in place of the sender. trouble and baseline are the effects of the faults in hit and in relay.
type sickCase struct {
	name              string
	calm, hit, relay  *trial.Result
	trouble, baseline trial.FailureImpact
}

// run runs the chosen scenarios, prints the table and writes the files of --out. It returns an error if a run broke a
// rule.
func (s *sickOptions) run(ctx context.Context, out io.Writer) error {
	program, err := sender(s.program)
	if err != nil {
		return fmt.Errorf("finding the sender's program: %w", err)
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
	var storeResults []func(*trial.Result)
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
			storeResults = append(storeResults, to)
		}
		serve := trial.ServeCommand(program, "info")
		play(hit.WithoutFaults(), serve, func(r *trial.Result) { c.calm = r })
		play(hit, serve, func(r *trial.Result) { c.hit, c.trouble = r, r.FailureImpact(isSick) })
		if s.relay {
			play(hit, trial.RelayCommand(self), func(r *trial.Result) { c.relay, c.baseline = r, r.FailureImpact(isSick) })
		}
	}
	done := 0
	err = runParallel(len(runs), s.parallel, func(i int) (*trial.Result, error) { return runs[i]() }, func(r *trial.Result) error {
		storeResults[done](r)
		done++
		return nil
	})
	if err != nil {
		return err
	}
	table := s.table(cases)
	fmt.Fprint(out, table)
	if s.out != "" {
		if err := s.writeFiles(table, cases); err != nil {
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

// scale replaces the sizes of a scenario by those that the flags give.
func (s *sickOptions) scale(sc *scenario.Scenario) {
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
		// The sizes of the groups keep their proportions.
		all := 0
		for _, g := range sc.Groups {
			all += g.Destinations
		}
		for i := range sc.Groups {
			g := &sc.Groups[i]
			if len(sc.Groups) > 1 && g.Destinations == 1 {
				g.Weight *= float64(s.destinations) / float64(all) // a single destination keeps its share of the traffic
				continue
			}
			g.Destinations = max(g.Destinations*s.destinations/all, 1)
		}
	}
}

// table formats the figures of healthy destinations and the effect of the failing ones, one row for each scenario.
func (s *sickOptions) table(cases []*sickCase) string {
	var b strings.Builder
	w := cases[0].hit.Instance
	fmt.Fprintf(&b, "%.0f notices a second, about %d destinations, %d slots, seed %d; faults from 1 to 6 s of 8; "+
		"figures of healthy destinations,\ncompared with a run of the same seed without faults (calm)\n\n",
		w.Traffic.Rate, len(w.Destinations), w.Settings.Slots, w.Seed)
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
slots of the sick: the highest share of all slots that calls to failing destinations held at once. further: calls beyond
each notice's first that a gateway saw, divided by the number of wanted notices. load of the sick: the highest number of
calls that reached failing destinations within half a second, divided by the mean number of their wanted notices in that
time; calls for their backlog count too.
`)
	return b.String()
}

// ratio formats a/b, or a dash if b is 0.
func ratio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", a/b)
}

// writeFiles writes the table and the charts of slots and load over time to the directory of --out.
func (s *sickOptions) writeFiles(table string, cases []*sickCase) error {
	if err := os.MkdirAll(s.out, 0o755); err != nil {
		return fmt.Errorf("creating the directory for the results: %w", err)
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
