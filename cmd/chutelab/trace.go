package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"chuteweir.example/chuteweir/internal/cli"
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
	"github.com/spf13/cobra"
)

// labTrace returns the command that converts senders' logs to recorded traffic.
func labTrace() *cobra.Command {
	return &cobra.Command{
		Use: "trace LOG...", Short: "Convert senders' logs to recorded traffic", Args: cli.Args(cobra.MinimumNArgs(1)),
		Long: `trace reads logs that senders wrote as JSON at level debug and writes the accepted notices as recorded traffic, a file that a
scenario can name as traffic.trace. Destinations are the numbers that the senders gave them; the scenario must have as
many. Notices that were rejected are not included.`,
		Example: `  chuteweir serve --log-format json --log-level debug sender.toml 2>n0.log
  chutelab lab trace n0.log n1.log > peak.csv`,
		RunE: func(command *cobra.Command, paths []string) error {
			var notices []scenario.Recorded
			var times []time.Time
			keys := map[string]int{}
			for _, path := range paths {
				file, err := os.Open(path)
				if err != nil {
					return fmt.Errorf("reading a log: %w", err)
				}
				defer file.Close()
				lines := bufio.NewScanner(file)
				lines.Buffer(nil, 1<<20)
				for line := 1; lines.Scan(); line++ {
					var entry struct {
						Time        time.Time `json:"time"`
						Message     string    `json:"msg"`
						Grade       string    `json:"grade"`
						Portfolio   string    `json:"portfolio"`
						Key         string    `json:"key"`
						Destination int       `json:"destination"`
						Body        int       `json:"body"`
					}
					if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
						return fmt.Errorf("%s:%d: expected a log line in JSON: %w", path, line, err)
					}
					if entry.Message != logs.Accepted {
						continue
					}
					if entry.Key != "" && entry.Key != "0" && keys[entry.Key] == 0 {
						keys[entry.Key] = len(keys) + 1
					}
					notices = append(notices, scenario.Recorded{Destination: entry.Destination, Grade: entry.Grade,
						Portfolio: entry.Portfolio, Key: keys[entry.Key], Body: entry.Body})
					times = append(times, entry.Time)
				}
				if err := lines.Err(); err != nil {
					return fmt.Errorf("reading %s: %w", path, err)
				}
			}
			if len(notices) == 0 {
				return fmt.Errorf("no accepted notices in %v: expected logs in JSON at level debug", paths)
			}
			first := slices.MinFunc(times, time.Time.Compare)
			for i := range notices {
				notices[i].At = rules.Millis(times[i].Sub(first)) / rules.Millis(time.Millisecond)
			}
			slices.SortStableFunc(notices, func(a, b scenario.Recorded) int { return cmp.Compare(a.At, b.At) })
			return scenario.WriteTrace(command.OutOrStdout(), notices)
		},
	}
}
