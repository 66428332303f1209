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

func relayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "relay FILE", Short: "Run a plain relay, the baseline of comparisons", Args: cli.Args(cobra.ExactArgs(1)),
		Long: `relay runs a plain relay on net/http with a breaker for each destination (sony/gobreaker), by a sender's
configuration. It has no ledger and keeps no waits, limits or grades: it is what a sender is compared with.`,
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
