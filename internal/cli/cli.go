// Package cli holds what both programs' command lines share: exit status and how wrong use is told.
package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// The exit status besides 0, done.
const (
	Failed = 1
	Usage  = 2
)

// WrongUse is a command line that can't be meant.
type WrongUse struct{ Why error }

func (w WrongUse) Error() string { return w.Why.Error() }

// Unwrap is why.
func (w WrongUse) Unwrap() error { return w.Why }

// Misused makes an error of wrong use.
func Misused(format string, args ...any) error { return WrongUse{fmt.Errorf(format, args...)} }

// Args makes a wrong number of arguments wrong use.
func Args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return WrongUse{err}
		}
		return nil
	}
}

// Help shows a command's help, for those that only have others below them.
func Help(c *cobra.Command, _ []string) error { return c.Help() }

// Prepare makes a root command tell errors by its program's exit status alone.
func Prepare(root *cobra.Command) *cobra.Command {
	root.SilenceUsage, root.SilenceErrors = true, true
	root.Args, root.RunE = Args(cobra.NoArgs), Help
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return WrongUse{err} })
	return root
}

// Exit ends a program by what it came to.
func Exit(program string, err error) {
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	var wrong WrongUse
	if errors.As(err, &wrong) {
		os.Exit(Usage)
	}
	os.Exit(Failed)
}
