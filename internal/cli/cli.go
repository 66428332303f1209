// Package cli holds what the command lines of chuteweir and chutelab share: the exit statuses and the reporting of
// usage errors.
package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit statuses other than 0.
const (
	StatusFailed = 1 // the command failed
	StatusUsage  = 2 // the command line is invalid
)

// UsageError reports an invalid command line.
type UsageError struct{ Err error }

// Error returns the text of the wrapped error.
func (w UsageError) Error() string { return w.Err.Error() }

// Unwrap returns the wrapped error.
func (w UsageError) Unwrap() error { return w.Err }

// UsageErrorf formats a UsageError.
func UsageErrorf(format string, args ...any) error { return UsageError{fmt.Errorf(format, args...)} }

// Args wraps a check of the positional arguments so that its error is a UsageError.
func Args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return UsageError{err}
		}
		return nil
	}
}

// Help prints the command's help. It is the RunE of a command that only has subcommands.
func Help(c *cobra.Command, _ []string) error { return c.Help() }

// Prepare sets up a root command: cobra prints neither errors nor usage, which is left to Exit, and invalid flags and
// arguments are usage errors.
func Prepare(root *cobra.Command) *cobra.Command {
	root.SilenceUsage, root.SilenceErrors = true, true
	root.Args, root.RunE = Args(cobra.NoArgs), Help
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return UsageError{err} })
	return root
}

// Exit prints an error and ends the program with StatusUsage for a UsageError, else with StatusFailed. Without an error
// it returns.
func Exit(program string, err error) {
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	var usageErr UsageError
	if errors.As(err, &usageErr) {
		os.Exit(StatusUsage)
	}
	os.Exit(StatusFailed)
}
