package main

import (
	"os"
	"os/signal"
	"syscall"

	"chuteweir.example/chuteweir/internal/cli"
	"chuteweir.example/chuteweir/internal/config"
	"chuteweir.example/chuteweir/internal/relay"
	"github.com/spf13/cobra"
)

// relayCommand returns the command that runs the plain relay.
func relayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "relay FILE", Short: "Run a plain relay as the baseline of comparisons", Args: cli.Args(cobra.ExactArgs(1)),
		Long: `relay runs a plain relay on net/http with a breaker for each destination (sony/gobreaker), using a sender's
configuration. It has no ledger and ignores requested waits, limits and grades. It is the baseline for comparisons.`,
		Example: "  chutelab relay sender.toml",
		RunE: func(c *cobra.Command, args []string) error {
			loaded, _, err := config.Load(args[0], "")
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return relay.New(loaded).Serve(ctx)
		},
	}
}
