package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"chuteweir.example/chuteweir/internal/cli"
	"chuteweir.example/chuteweir/internal/config"
	"chuteweir.example/chuteweir/internal/ledger"
	"github.com/spf13/cobra"
)

// commands is the command line of a person or a script.
func commands() *cobra.Command {
	root := cli.Prepare(&cobra.Command{
		Use:   "chuteweir",
		Short: "Delivers notices to many destinations, and keeps its decisions good when they fail",
		Long: `chuteweir takes notices from clients over HTTP/1.1, keeps each until its client timeout, and brings it to its
destination by a call to one of the destination's receivers.

Without arguments it serves what PROXY_CONFIG and PROXY_STATE name. Exit status: 0 done, 1 failed, 2 wrong use.`,
		Example: `  chuteweir try
  chuteweir config check sender.toml
  chuteweir serve sender.toml`,
	})
	root.AddCommand(serveCommand(), configCommand(), ledgerCommand(), versionCommand())
	for name, short := range map[string]string{
		"try":     "Start a sender among stand-ins, run a scenario and tell how it went",
		"load":    "Load a sender and measure it",
		"lab":     "Try settings, policies and scenarios in simulated time, with error bars",
		"sick":    "Measure what sick destinations take from healthy ones",
		"standin": "Run stand-in gateways or a stand-in platform",
		"relay":   "Run a plain relay, the baseline of comparisons",
	} {
		root.AddCommand(labCommand(name, short))
	}
	return root
}

func serveCommand() *cobra.Command {
	var state, format, level string
	c := &cobra.Command{
		Use: "serve FILE", Short: "Run a sender by a configuration file", Args: cli.Args(cobra.ExactArgs(1)),
		Long: `serve runs a sender by a configuration in TOML (docs/configuration.md) or in the platform's JSON. SIGTERM lets it
leave, SIGHUP makes it read the file again, SIGUSR1 prints its counters.`,
		Example: `  chuteweir serve sender.toml
  chuteweir serve --log-format json --log-level debug sender.toml`,
		RunE: func(_ *cobra.Command, a []string) error {
			if format != "" && format != "text" && format != "json" {
				return cli.Misused("--log-format %s: one of text, json", format)
			}
			if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, level) {
				return cli.Misused("--log-level %s: one of debug, info, warn, error", level)
			}
			return serve(a[0], state, format, level)
		},
	}
	c.Flags().StringVar(&state, "state", os.Getenv("PROXY_STATE"), "the lasting folder, in place of the file's")
	c.Flags().StringVar(&format, "log-format", "", "text or json, in place of the file's")
	c.Flags().StringVar(&level, "log-level", "", "debug, info, warn or error, in place of the file's")
	return c
}

func configCommand() *cobra.Command {
	group := &cobra.Command{Use: "config", Short: "Check, print or convert a configuration",
		Args: cli.Args(cobra.NoArgs), RunE: cli.Help}
	check := &cobra.Command{
		Use: "check FILE...", Short: "List all that is wrong with configuration files", Args: cli.Args(cobra.MinimumNArgs(1)),
		Example: "  chuteweir config check sender.toml",
		RunE: func(c *cobra.Command, a []string) error {
			bad := 0
			for _, path := range a {
				_, odd, err := config.Load(path, "")
				if err != nil {
					fmt.Fprintln(c.OutOrStdout(), err)
					bad++
				}
				for _, fault := range odd {
					fmt.Fprintln(c.OutOrStdout(), fault)
				}
				if len(odd) > 0 && err == nil {
					bad++
				}
			}
			if bad > 0 {
				return fmt.Errorf("%d of %d files have faults", bad, len(a))
			}
			fmt.Fprintf(c.OutOrStdout(), "%d without a fault\n", len(a))
			return nil
		},
	}
	print := &cobra.Command{
		Use: "print FILE", Short: "Print a configuration in TOML, each key with the value in force", Args: cli.Args(cobra.ExactArgs(1)),
		Example: "  chuteweir config print sender.toml",
		RunE: func(c *cobra.Command, a []string) error {
			loaded, _, err := config.Load(a[0], "")
			if err == nil {
				_, err = c.OutOrStdout().Write(loaded.TOML())
			}
			return err
		},
	}
	convert := &cobra.Command{
		Use: "convert FILE", Short: "Convert TOML into the platform's JSON, and JSON into TOML", Args: cli.Args(cobra.ExactArgs(1)),
		Long: `convert writes the other form to standard output. JSON has no place for the lasting folder and the log; TOML
holds what a sender reads of the platform's settings and no more.`,
		Example: "  chuteweir config convert config.json > sender.toml",
		RunE: func(c *cobra.Command, a []string) error {
			text, err := os.ReadFile(a[0])
			if err != nil {
				return err
			}
			loaded, _, err := config.Load(a[0], "")
			if err != nil {
				return err
			}
			out := loaded.TOML()
			if !config.IsJSON(a[0], text) {
				if out, err = loaded.Platform(); err != nil {
					return err
				}
				out = append(out, '\n')
			}
			_, err = c.OutOrStdout().Write(out)
			return err
		},
	}
	group.AddCommand(check, print, convert)
	return group
}

func ledgerCommand() *cobra.Command {
	group := &cobra.Command{Use: "ledger", Short: "Look at what a sender owes, without changing it",
		Args: cli.Args(cobra.NoArgs), RunE: cli.Help}
	var lines bool
	show := &cobra.Command{
		Use: "show FOLDER", Short: "List the notices that a sender owes", Args: cli.Args(cobra.ExactArgs(1)),
		Long: `show reads the ledger in a sender's lasting folder, of a stopped sender or of one that runs, and changes
nothing. "may have run" counts the trips whose call may have taken effect.`,
		Example: "  chuteweir ledger show /var/lib/chuteweir\n  chuteweir ledger show --json /var/lib/chuteweir",
		RunE: func(c *cobra.Command, a []string) error {
			report, err := ledger.Read(a[0])
			if err != nil {
				return err
			}
			return showLedger(c.OutOrStdout(), report, lines, time.Now())
		},
	}
	show.Flags().BoolVar(&lines, "json", false, "a JSON object for each notice, a line each")
	verify := &cobra.Command{
		Use: "verify FOLDER", Short: "Read a ledger to its end and tell what it holds", Args: cli.Args(cobra.ExactArgs(1)),
		Long: `verify reads the whole ledger. It fails if bytes at the end can't be read; while a sender runs, that may be a
record being written just then, so look twice.`,
		Example: "  chuteweir ledger verify /var/lib/chuteweir",
		RunE: func(c *cobra.Command, a []string) error {
			report, err := ledger.Read(a[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d bytes, %d records, %d notices owed\n", report.Bytes, report.Records, len(report.Owed))
			for _, kind := range slices.Sorted(mapKeys(report.Kinds)) {
				fmt.Fprintf(c.OutOrStdout(), "  %-12s %d\n", kind, report.Kinds[kind])
			}
			if report.Torn > 0 {
				return fmt.Errorf("%d bytes at the end can't be read; what is before them is whole", report.Torn)
			}
			return nil
		},
	}
	group.AddCommand(show, verify)
	return group
}

func mapKeys(m map[string]int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// showLedger lists what is owed.
func showLedger(out io.Writer, report ledger.Report, lines bool, now time.Time) error {
	if lines {
		encoder := json.NewEncoder(out)
		for _, n := range report.Owed {
			if err := encoder.Encode(struct {
				Number      uint32    `json:"number"`
				ID          string    `json:"id"`
				Grade       string    `json:"grade"`
				Portfolio   string    `json:"portfolio,omitempty"`
				Destination int32     `json:"destination"`
				Until       time.Time `json:"until"`
				Trips       int       `json:"trips"`
				MayHaveRun  int       `json:"may_have_run"`
				Ended       string    `json:"ended,omitempty"`
				Bytes       int       `json:"bytes"`
			}{uint32(n.Number), n.ID, n.Grade, n.Portfolio, int32(n.Destination), n.Until, n.Trips, len(n.Ran), n.Ended, len(n.Body)}); err != nil {
				return err
			}
		}
		return nil
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ID\tGRADE\tDESTINATION\tTIME LEFT\tTRIPS\tMAY HAVE RUN\tENDED\tBYTES")
	for _, n := range report.Owed {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%d\t%s\t%d\n", n.ID, n.Grade, n.Destination, n.Until.Sub(now).Round(time.Millisecond),
			n.Trips, len(n.Ran), n.Ended, len(n.Body))
	}
	return t.Flush()
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Tell the version and the build", Args: cli.Args(cobra.NoArgs),
		Run: func(c *cobra.Command, _ []string) {
			info, _ := debug.ReadBuildInfo()
			revision, changed := "unknown", ""
			for _, s := range info.Settings {
				switch {
				case s.Key == "vcs.revision":
					revision = s.Value
				case s.Key == "vcs.modified" && s.Value == "true":
					changed = " with changes"
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "chuteweir %s, revision %s%s, %s\n", info.Main.Version, revision, changed, info.GoVersion)
		},
	}
}

// labCommand hands a command on to chutelab, which stands beside this program: what it needs would only make a
// sender larger.
func labCommand(name, short string) *cobra.Command {
	return &cobra.Command{
		Use: name, Short: short + " (by chutelab)", DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, a []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			lab := filepath.Join(filepath.Dir(self), "chutelab")
			if _, err := os.Stat(lab); err != nil {
				if lab, err = exec.LookPath("chutelab"); err != nil {
					return errors.New("chutelab is neither beside this program nor on the path: go build -o bin/ ./cmd/... makes both")
				}
			}
			return syscall.Exec(lab, append([]string{"chutelab", name}, a...), os.Environ())
		},
	}
}
