package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"chuteweir.example/chuteweir/internal/cli"
	"chuteweir.example/chuteweir/internal/config"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/internal/standin"
	"github.com/spf13/cobra"
)

func standinCommand() *cobra.Command {
	group := &cobra.Command{Use: "standin", Short: "Run stand-in gateways or a stand-in platform", Args: cli.Args(cobra.NoArgs), RunE: cli.Help}
	group.AddCommand(standinGateway(), standinPlatform())
	return group
}

// stage lays out a scenario for senders that somebody else runs.
func stage(name string) (*standin.Environment, *standin.Gateways, error) {
	s, err := scenario.Load(name)
	if err != nil {
		return nil, nil, err
	}
	st := standin.NewEnvironment(scenario.NewInstance(s))
	st.ServeUnknown = true
	g, err := standin.NewGateways(st)
	if err != nil {
		st.Close()
		return nil, nil, err
	}
	return st, g, nil
}

// watch tells what arrives until the command is ended.
func watch(c *cobra.Command, st *standin.Environment, verbose bool) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	st.Clock.Start()
	told := 0
	for {
		select {
		case <-stop:
			v := st.Record.View()
			ran, delivered := 0, 0
			for _, call := range v.Calls {
				if call.Ran {
					ran++
				}
				if call.Delivered {
					delivered++
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "calls %d, took effect %d, answered 200 %d; ends told %d\n", len(v.Calls), ran,
				delivered, len(v.Outcomes))
			return
		case <-time.After(200 * time.Millisecond):
		}
		if !verbose {
			continue
		}
		calls := st.Record.View().Calls
		for _, call := range calls[told:] {
			fmt.Fprintf(c.OutOrStdout(), "%9.1f  %s called at %s: took effect %v, status %d, wait %.0f %s\n", call.First, call.ID, call.Receiver,
				call.Ran, call.Status, call.RequestedWait, call.Fault)
		}
		told = len(calls)
	}
}

func standinGateway() *cobra.Command {
	var name, listen string
	var verbose bool
	c := &cobra.Command{
		Use: "gateway", Short: "Run a scenario's first destination at an address", Args: cli.Args(cobra.NoArgs),
		Long: `gateway runs one receiver of a scenario's first destination, with its limit, times and faults, until it is ended.
Faults count from its start.`,
		Example: "  chuteweir standin gateway --listen 127.0.0.1:9000 --verbose",
		RunE: func(c *cobra.Command, _ []string) error {
			st, g, err := stage(name)
			if err != nil {
				return err
			}
			defer st.Close()
			if err := g.OpenAt("gateway", 1, listen); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "a gateway takes calls at %s\n", listen)
			watch(c, st, verbose)
			return nil
		},
	}
	c.Flags().StringVar(&name, "scenario", "calm", "a scenario's file, or the name of one that comes with the program")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "where it takes calls")
	c.Flags().BoolVar(&verbose, "verbose", false, "tell each call")
	return c
}

func standinPlatform() *cobra.Command {
	var name, listen, write, serve, state string
	var verbose bool
	c := &cobra.Command{
		Use: "platform", Short: "Run a platform with all of a scenario's gateways", Args: cli.Args(cobra.NoArgs),
		Long: `platform runs a platform at an address and all gateways of a scenario on free ports, until it is ended. With
--write it writes the configuration of a sender that serves among them.`,
		Example: `  chuteweir standin platform --listen 127.0.0.1:8500 --write sender.toml
  chuteweir serve sender.toml`,
		RunE: func(c *cobra.Command, _ []string) error {
			st, g, err := stage(name)
			if err != nil {
				return err
			}
			defer st.Close()
			p, err := standin.NewPlatform(st, g, 0)
			if err != nil {
				return err
			}
			if err := p.Listen(0, listen); err != nil {
				return err
			}
			if write != "" {
				w := st.Instance
				sender := config.Config{Name: "n0", Listen: serve, Discovery: listen, State: state, RandomSeed: true,
					Format: "text", Level: "info",
					Machine: w.Machine, Settings: w.Settings, Names: w.Names}
				if err := os.WriteFile(write, sender.TOML(), 0o644); err != nil {
					return fmt.Errorf("writing a sender's configuration: %w", err)
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "a platform answers at %s, with %d destinations\n", listen,
				len(st.Instance.Destinations))
			watch(c, st, verbose)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&name, "scenario", "calm", "a scenario's file, or the name of one that comes with the program")
	f.StringVar(&listen, "listen", "127.0.0.1:8500", "where the platform answers")
	f.StringVar(&write, "write", "", "write a sender's configuration to this file")
	f.StringVar(&serve, "serve", "127.0.0.1:8443", "with --write: where that sender serves")
	f.StringVar(&state, "state", "state", "with --write: its lasting folder")
	f.BoolVar(&verbose, "verbose", false, "tell each call")
	return c
}
