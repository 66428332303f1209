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
	var options sickOptions
	command := &cobra.Command{
		Use: "sick", Short: "Measure the effect of failing destinations on healthy ones", Args: cli.Args(cobra.NoArgs),
		Long: `sick runs the scenarios in which some destinations fail (in try --list, those that begin with sick-), and each
of them again with the same seed and without faults. It compares the notices to the healthy destinations of both runs
and reports the share of slots that calls to the failing destinations held, and the number of calls beyond each notice's
first. With --relay it runs the plain relay on the same scenarios too. It fails if a run broke a rule.`,
		Example: `  chuteweir sick
  chuteweir sick --only sick-half-hang,sick-restart --relay
  chuteweir sick --slots 4 --destinations 4 --rate 40
  chuteweir sick --relay --out docs/measurements --name sick`,
		RunE: func(command *cobra.Command, _ []string) error {
			for _, name := range options.only {
				if !slices.Contains(scenario.FailingSet(), name) {
					return cli.UsageErrorf("--only %s: must be one of %s", name,
						strings.Join(scenario.FailingSet(), ", "))
				}
			}
			if options.slots < 0 || options.destinations < 0 || options.rate < 0 || options.parallel < 1 {
				return cli.UsageErrorf("--slots, --destinations and --rate must be at least 0, --parallel at least 1")
			}
			ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return options.run(ctx, command.OutOrStdout())
		},
	}
	flagSet := command.Flags()
	flagSet.StringSliceVar(&options.only, "only", nil, "run only these scenarios")
	flagSet.IntVar(&options.slots, "slots", 0, "maximum of outstanding calls, in place of the scenarios' 40")
	flagSet.IntVar(&options.destinations, "destinations", 0, "number of destinations, in place of the scenarios' 40")
	flagSet.IntVar(&options.sockets, "sockets", 0,
		"the sender's limit of file descriptors, in place of the scenarios' 1024")
	flagSet.Float64Var(&options.rate, "rate", 0, "notices a second, in place of the scenarios' 400")
	flagSet.Uint64Var(&options.seed, "seed", 1, "seed of all random numbers")
	flagSet.IntVar(&options.parallel, "parallel", 1, "number of concurrent runs")
	flagSet.BoolVar(&options.relay, "relay", false, "run the plain relay too, as the baseline")
	flagSet.StringVar(&options.program, "program", "",
		"the sender's program; by default the one in the directory of this program")
	flagSet.StringVar(&options.out, "out", "", "directory for the table and charts")
	flagSet.StringVar(&options.name, "name", "sick", "with --out: base name of the files")
	return command
}

// sickCase holds the results of one scenario: calm without its faults, withFaults with them, and relay with them but
// with the plain relay in place of the sender. impact and relayImpact are the effects of the faults in withFaults and
// in relay.
type sickCase struct {
	name                    string
	calm, withFaults, relay *trial.Result
	impact, relayImpact     trial.FailureImpact
}

// run runs the chosen scenarios, prints the table and writes the files of --out. It returns an error if a run broke a
// rule.
func (s *sickOptions) run(ctx context.Context, out io.Writer) error {
	program, err := senderProgram(s.program)
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
		current := &sickCase{name: name}
		cases = append(cases, current)
		loaded, err := scenario.Load(name)
		if err != nil {
			return err
		}
		s.scale(loaded)
		instance := scenario.NewInstance(loaded)
		isFailing := func(d int) bool { return len(instance.Destinations[d-1].Faults) > 0 }
		addRun := func(toRun *scenario.Scenario, start trial.NewCommand, store func(*trial.Result)) {
			runs = append(runs, func() (*trial.Result, error) {
				return trial.Run(ctx, trial.Options{Scenario: toRun, Start: start, IsFailing: isFailing})
			})
			storeResults = append(storeResults, store)
		}
		serve := trial.ServeCommand(program, "info")
		addRun(loaded.WithoutFaults(), serve, func(r *trial.Result) { current.calm = r })
		addRun(loaded, serve, func(r *trial.Result) {
			current.withFaults, current.impact = r, r.FailureImpact(isFailing)
		})
		if s.relay {
			addRun(loaded, trial.RelayCommand(self), func(r *trial.Result) {
				current.relay, current.relayImpact = r, r.FailureImpact(isFailing)
			})
		}
	}
	done := 0
	err = runParallel(len(runs), s.parallel,
		func(i int) (*trial.Result, error) { return runs[i]() },
		func(r *trial.Result) error {
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
	for _, tested := range cases {
		for _, r := range []*trial.Result{tested.calm, tested.withFaults} {
			if !r.Clean() {
				broken++
				fmt.Fprintf(out, "\n%s:\n%s", tested.name, r.Breaches[0])
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d runs broke a rule", broken)
	}
	return nil
}

// scale replaces the sizes of a scenario by those that the flags give.
func (s *sickOptions) scale(target *scenario.Scenario) {
	target.Seed = s.seed
	if s.slots > 0 {
		target.Settings.Slots = s.slots
	}
	if s.sockets > 0 {
		target.Machine.Sockets = s.sockets
	}
	if s.rate > 0 {
		target.Traffic.Rate = s.rate
		target.Settings.HoldLimit = max(target.Settings.HoldLimit, int(10*s.rate))
		target.Machine.MemoryMB = max(target.Machine.MemoryMB, int(s.rate))
	}
	if s.destinations > 0 {
		// The sizes of the groups keep their proportions.
		all := 0
		for _, g := range target.Groups {
			all += g.Destinations
		}
		for i := range target.Groups {
			g := &target.Groups[i]
			if len(target.Groups) > 1 && g.Destinations == 1 {
				g.Weight *= float64(s.destinations) / float64(all) // a single destination keeps its share of the traffic
				continue
			}
			g.Destinations = max(g.Destinations*s.destinations/all, 1)
		}
	}
}

// table formats the figures of healthy destinations and the effect of the failing ones, one row for each scenario.
func (s *sickOptions) table(cases []*sickCase) string {
	var text strings.Builder
	instance := cases[0].withFaults.Instance
	fmt.Fprintf(&text, "%.0f notices a second, about %d destinations, %d slots, seed %d; faults from 1 to 6 s of 8; "+
		"figures of healthy destinations,\ncompared with a run of the same seed without faults (calm)\n\n",
		instance.Traffic.Rate, len(instance.Destinations), instance.Settings.Slots, instance.Seed)
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprint(writer,
		"scenario\tnotices\tcredit\tof calm\tp99 ms\tof calm\tslots of the sick\tfurther\tload of the sick\tCPU of calm\trules")
	if s.relay {
		fmt.Fprint(writer, "\trelay: credit of calm\tp99 ms\tfurther\tload")
	}
	fmt.Fprintln(writer)
	for _, tested := range cases {
		calm, withFaults, verdict := tested.calm.Well, tested.withFaults.Well, "kept"
		if !tested.calm.Clean() || !tested.withFaults.Clean() {
			verdict = "BROKEN"
		}
		fmt.Fprintf(writer, "%s\t%d\t%.3f\t%s\t%.1f\t%s\t%.2f\t%.3f\t%.2f\t%.2f\t%s",
			strings.TrimPrefix(tested.name, "sick-"), withFaults.Asked, withFaults.Credit,
			ratio(withFaults.Credit, calm.Credit), withFaults.Delivery.P99,
			ratio(withFaults.Delivery.P99, calm.Delivery.P99), tested.impact.MostSlots, tested.impact.FurtherCalls,
			tested.impact.MostLoad, tested.withFaults.CPU/tested.calm.CPU, verdict)
		if s.relay {
			fmt.Fprintf(writer, "\t%s\t%.1f\t%.3f\t%.2f", ratio(tested.relay.Well.Credit, calm.Credit),
				tested.relay.Well.Delivery.P99, tested.relayImpact.FurtherCalls, tested.relayImpact.MostLoad)
		}
		fmt.Fprintln(writer)
	}
	writer.Flush()
	fmt.Fprint(&text, `
slots of the sick: the highest share of all slots that calls to failing destinations held at once. further: calls beyond
each notice's first that a gateway saw, divided by the number of wanted notices. load of the sick: the highest number of
calls that reached failing destinations within half a second, divided by the mean number of their wanted notices in that
time; calls for their backlog count too.
`)
	return text.String()
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
	slots := chart.Chart{Title: "Slots held by failing destinations", X: "s", Y: "share of all slots", YMin: 0, YMax: 1,
		Bands: []chart.Band{{Name: "sick", From: 1, To: 6}}}
	load := chart.Chart{Title: "Calls that reached failing destinations", X: "s", Y: "for each notice wanted",
		Bands: slots.Bands}
	for _, tested := range cases {
		slotsLine, loadLine := chart.Series{Name: strings.TrimPrefix(tested.name, "sick-")}, chart.Series{}
		loadLine.Name = slotsLine.Name
		for i, at := range tested.impact.At {
			slotsLine.X, slotsLine.Y = append(slotsLine.X, float64(at)/1000),
				append(slotsLine.Y, tested.impact.SlotsShare[i])
			loadLine.X, loadLine.Y = append(loadLine.X, float64(at)/1000), append(loadLine.Y, tested.impact.Load[i])
		}
		slots.Lines, load.Lines = append(slots.Lines, slotsLine), append(load.Lines, loadLine)
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
