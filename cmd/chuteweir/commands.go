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

// rootCommand returns the root of the commands for operators and scripts.
func rootCommand() *cobra.Command {
	root := cli.Prepare(&cobra.Command{
		Use:   "chuteweir",
		Short: "Deliver notices to many destinations, some of which may be failing",
		Long: `chuteweir accepts notices from clients over HTTP/1.1, keeps each until its client timeout, and delivers
it to its destination by a call to one of the destination's receivers.

Without arguments it runs a sender with the configuration file PROXY_CONFIG and the state directory PROXY_STATE.
Exit status: 0 success, 1 failure, 2 wrong usage.`,
		Example: `  chuteweir try
  chuteweir config check sender.toml
  chuteweir serve sender.toml`,
	})
	root.AddCommand(serveCommand(), configCommand(), ledgerCommand(), versionCommand())
	for name, short := range map[string]string{
		"try":     "Run a scenario with a sender and simulated destinations, and report the results",
		"load":    "Put load on a sender and measure it",
		"lab":     "Compare settings, policies and scenarios in simulated time, with error bars",
		"sick":    "Measure how failing destinations affect healthy ones",
		"standin": "Run simulated gateways or a simulated platform",
		"relay":   "Run a plain relay, the baseline for comparisons",
	} {
		root.AddCommand(forwardedCommand(name, short))
	}
	return root
}

// serveCommand returns the command that runs a sender.
func serveCommand() *cobra.Command {
	var state, format, level string
	command := &cobra.Command{
		Use: "serve FILE", Short: "Run a sender with a configuration file", Args: cli.Args(cobra.ExactArgs(1)),
		Long: `serve runs a sender with a configuration in TOML (docs/configuration.md) or in the platform's JSON.
SIGTERM shuts it down, SIGHUP makes it reload the file, and SIGUSR1 makes it print its counters.`,
		Example: `  chuteweir serve sender.toml
  chuteweir serve --log-format json --log-level debug sender.toml`,
		RunE: func(_ *cobra.Command, args []string) error {
			if format != "" && format != "text" && format != "json" {
				return cli.UsageErrorf("--log-format is %q; it must be text or json", format)
			}
			if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, level) {
				return cli.UsageErrorf("--log-level is %q; it must be debug, info, warn or error", level)
			}
			return serve(args[0], state, format, level)
		},
	}
	command.Flags().StringVar(&state, "state", os.Getenv("PROXY_STATE"),
		"state directory; overrides the one in the configuration file")
	command.Flags().StringVar(&format, "log-format", "", "text or json; overrides the format in the configuration file")
	command.Flags().StringVar(&level, "log-level", "",
		"debug, info, warn or error; overrides the level in the configuration file")
	return command
}

// configCommand returns the group of commands that check, print and convert configuration files.
func configCommand() *cobra.Command {
	group := &cobra.Command{Use: "config", Short: "Check, print or convert a configuration",
		Args: cli.Args(cobra.NoArgs), RunE: cli.Help}
	checkCommand := &cobra.Command{
		Use: "check FILE...", Short: "List all errors and warnings in configuration files",
		Args:    cli.Args(cobra.MinimumNArgs(1)),
		Example: "  chuteweir config check sender.toml",
		RunE: func(command *cobra.Command, args []string) error {
			faulty := 0
			for _, path := range args {
				_, warnings, err := config.Load(path, "")
				if err != nil {
					fmt.Fprintln(command.OutOrStdout(), err)
					faulty++
				}
				for _, warning := range warnings {
					fmt.Fprintln(command.OutOrStdout(), warning)
				}
				if len(warnings) > 0 && err == nil {
					faulty++
				}
			}
			if faulty > 0 {
				return fmt.Errorf("%d of %d files have faults", faulty, len(args))
			}
			fmt.Fprintf(command.OutOrStdout(), "%d without a fault\n", len(args))
			return nil
		},
	}
	printCommand := &cobra.Command{
		Use: "print FILE", Short: "Print a configuration in TOML, each key with its effective value",
		Args:    cli.Args(cobra.ExactArgs(1)),
		Example: "  chuteweir config print sender.toml",
		RunE: func(command *cobra.Command, args []string) error {
			loaded, _, err := config.Load(args[0], "")
			if err == nil {
				_, err = command.OutOrStdout().Write(loaded.TOML())
			}
			return err
		},
	}
	convertCommand := &cobra.Command{
		Use: "convert FILE", Short: "Convert TOML into the platform's JSON, and JSON into TOML",
		Args: cli.Args(cobra.ExactArgs(1)),
		Long: `convert writes the other format to standard output. JSON cannot hold the state directory and the log
settings; TOML holds only those of the platform's settings that a sender reads.`,
		Example: "  chuteweir config convert config.json > sender.toml",
		RunE: func(command *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			loaded, _, err := config.Load(args[0], "")
			if err != nil {
				return err
			}
			converted := loaded.TOML()
			if !config.IsJSON(args[0], text) {
				if converted, err = loaded.Platform(); err != nil {
					return err
				}
				converted = append(converted, '\n')
			}
			_, err = command.OutOrStdout().Write(converted)
			return err
		},
	}
	group.AddCommand(checkCommand, printCommand, convertCommand)
	return group
}

// ledgerCommand returns the group of commands that inspect a ledger.
func ledgerCommand() *cobra.Command {
	group := &cobra.Command{Use: "ledger", Short: "Inspect the pending notices in a sender's ledger, read-only",
		Args: cli.Args(cobra.NoArgs), RunE: cli.Help}
	var asJSON bool
	showCommand := &cobra.Command{
		Use: "show FOLDER", Short: "List a sender's pending notices", Args: cli.Args(cobra.ExactArgs(1)),
		Long: `show reads the ledger in the state directory of a stopped or running sender and changes nothing. It lists
the notices that are not delivered yet and those whose final outcome is not reported yet. MAY HAVE RUN counts the
trips whose call may have taken effect.`,
		Example: "  chuteweir ledger show /var/lib/chuteweir\n  chuteweir ledger show --json /var/lib/chuteweir",
		RunE: func(command *cobra.Command, args []string) error {
			report, err := ledger.Read(args[0])
			if err != nil {
				return err
			}
			return showLedger(command.OutOrStdout(), report, asJSON, time.Now())
		},
	}
	showCommand.Flags().BoolVar(&asJSON, "json", false, "print one JSON object per line for each notice")
	verifyCommand := &cobra.Command{
		Use: "verify FOLDER", Short: "Read a whole ledger and summarize its contents",
		Args: cli.Args(cobra.ExactArgs(1)),
		Long: `verify reads the whole ledger. It fails if bytes at the end can't be read. While a sender runs, these may
be a record that is just being written, so run the command again before concluding that the ledger is damaged.`,
		Example: "  chuteweir ledger verify /var/lib/chuteweir",
		RunE: func(command *cobra.Command, args []string) error {
			report, err := ledger.Read(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%d bytes, %d records, %d notices pending\n", report.Bytes,
				report.Records, len(report.Pending))
			for _, kind := range slices.Sorted(mapKeys(report.Kinds)) {
				fmt.Fprintf(command.OutOrStdout(), "  %-12s %d\n", kind, report.Kinds[kind])
			}
			if report.Torn > 0 {
				return fmt.Errorf("%d bytes at the end of the ledger can't be read; the records before them are intact",
					report.Torn)
			}
			return nil
		},
	}
	group.AddCommand(showCommand, verifyCommand)
	return group
}

// mapKeys iterates over the keys of a map.
func mapKeys(counts map[string]int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for key := range counts {
			if !yield(key) {
				return
			}
		}
	}
}

// showLedger prints the pending notices of a ledger, as a table or as one JSON object per line.
func showLedger(out io.Writer, report ledger.Report, asJSON bool, now time.Time) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		for _, notice := range report.Pending {
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
			}{uint32(notice.Number), notice.ID, notice.Grade, notice.Portfolio, int32(notice.Destination), notice.Until,
				notice.Trips, len(notice.PossibleRuns), notice.Outcome, len(notice.Body)}); err != nil {
				return err
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ID\tGRADE\tDESTINATION\tTIME LEFT\tTRIPS\tMAY HAVE RUN\tENDED\tBYTES")
	for _, notice := range report.Pending {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%d\t%s\t%d\n", notice.ID, notice.Grade, notice.Destination,
			notice.Until.Sub(now).Round(time.Millisecond), notice.Trips,
			len(notice.PossibleRuns), notice.Outcome, len(notice.Body))
	}
	return table.Flush()
}

// versionCommand returns the command that prints the version of the program.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version and the revision it was built from", Args: cli.Args(cobra.NoArgs),
		Run: func(command *cobra.Command, _ []string) {
			info, _ := debug.ReadBuildInfo()
			revision, modified := "unknown", ""
			for _, setting := range info.Settings {
				switch {
				case setting.Key == "vcs.revision":
					revision = setting.Value
				case setting.Key == "vcs.modified" && setting.Value == "true":
					modified = " with uncommitted changes"
				}
			}
			fmt.Fprintf(command.OutOrStdout(), "chuteweir %s, revision %s%s, %s\n", info.Main.Version, revision,
				modified, info.GoVersion)
		},
	}
}

// forwardedCommand returns a command that executes chutelab with the same name and arguments. chutelab is a separate
// program, so that its dependencies don't make the sender larger.
func forwardedCommand(name, short string) *cobra.Command {
	return &cobra.Command{
		Use: name, Short: short + " (by chutelab)", DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			labPath := filepath.Join(filepath.Dir(executable), "chutelab")
			if _, err := os.Stat(labPath); err != nil {
				if labPath, err = exec.LookPath("chutelab"); err != nil {
					return errors.New(
						"chutelab is neither next to this program nor in PATH; go build -o bin/ ./cmd/... builds both")
				}
			}
			return syscall.Exec(labPath, append([]string{"chutelab", name}, args...), os.Environ())
		},
	}
}
