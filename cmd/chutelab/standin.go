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

// standinCommand returns the group of commands that run stand-ins for senders started by the user.
func standinCommand() *cobra.Command {
	group := &cobra.Command{Use: "standin", Short: "Run stand-in gateways or a stand-in platform",
		Args: cli.Args(cobra.NoArgs), RunE: cli.Help}
	group.AddCommand(standinGateway(), standinPlatform())
	return group
}

// newEnvironment loads a scenario and creates its test environment and gateways, for senders that the user runs.
func newEnvironment(name string) (*standin.Environment, *standin.Gateways, error) {
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

// watch starts the scenario's clock and waits for an interrupt, upon which it prints a summary of the calls. With
// verbose it also prints each call.
func watch(c *cobra.Command, st *standin.Environment, verbose bool) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	st.Clock.Start()
	printed := 0
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
			fmt.Fprintf(c.OutOrStdout(), "calls %d, took effect %d, answered 200 %d; outcomes reported %d\n",
				len(v.Calls), ran, delivered, len(v.Outcomes))
			return
		case <-time.After(200 * time.Millisecond):
		}
		if !verbose {
			continue
		}
		calls := st.Record.View().Calls
		for _, call := range calls[printed:] {
			fmt.Fprintf(c.OutOrStdout(), "%9.1f  %s called at %s: took effect %v, status %d, wait %.0f %s\n",
				call.First, call.ID, call.Receiver, call.Ran, call.Status, call.RequestedWait, call.Fault)
		}
		printed = len(calls)
	}
}

// standinGateway returns the command that runs one gateway.
func standinGateway() *cobra.Command {
	var name, listen string
	var verbose bool
	c := &cobra.Command{
		Use: "gateway", Short: "Run a gateway for a scenario's first destination", Args: cli.Args(cobra.NoArgs),
		Long: `gateway runs one receiver of a scenario's first destination, with its limit, response times and faults, until
it is interrupted. Faults are timed from its start.`,
		Example: "  chuteweir standin gateway --listen 127.0.0.1:9000 --verbose",
		RunE: func(c *cobra.Command, _ []string) error {
			st, g, err := newEnvironment(name)
			if err != nil {
				return err
			}
			defer st.Close()
			if err := g.OpenAt("gateway", 1, listen); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "gateway listening at %s\n", listen)
			watch(c, st, verbose)
			return nil
		},
	}
	c.Flags().StringVar(&name, "scenario", "calm", "a scenario file, or the name of a built-in scenario")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "the address at which the gateway accepts calls")
	c.Flags().BoolVar(&verbose, "verbose", false, "print each call")
	return c
}

// standinPlatform returns the command that runs the platform and all gateways of a scenario.
func standinPlatform() *cobra.Command {
	var name, listen, write, serve, state string
	var verbose bool
	c := &cobra.Command{
		Use: "platform", Short: "Run a platform with all of a scenario's gateways", Args: cli.Args(cobra.NoArgs),
		Long: `platform runs a platform at an address and all gateways of a scenario on unused ports, until it is interrupted.
With --write it writes the configuration of a sender that uses this platform and these gateways.`,
		Example: `  chuteweir standin platform --listen 127.0.0.1:8500 --write sender.toml
  chuteweir serve sender.toml`,
		RunE: func(c *cobra.Command, _ []string) error {
			st, g, err := newEnvironment(name)
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
				sender := config.Config{Name: "n0", Listen: serve, Discovery: listen, State: state, RandomSeed: true, Format: "text", Level: "info",
					Machine: w.Machine, Settings: w.Settings, Names: w.Names}
				if err := os.WriteFile(write, sender.TOML(), 0o644); err != nil {
					return fmt.Errorf("writing the sender's configuration: %w", err)
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "a platform answers at %s, with %d destinations\n", listen, len(st.Instance.Destinations))
			watch(c, st, verbose)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&name, "scenario", "calm", "a scenario file, or the name of a built-in scenario")
	f.StringVar(&listen, "listen", "127.0.0.1:8500", "the address at which the platform listens")
	f.StringVar(&write, "write", "", "write a sender's configuration to this file")
	f.StringVar(&serve, "serve", "127.0.0.1:8443", "with --write: the address at which that sender listens")
	f.StringVar(&state, "state", "state", "with --write: the state directory of that sender")
	f.BoolVar(&verbose, "verbose", false, "print each call")
	return c
}
