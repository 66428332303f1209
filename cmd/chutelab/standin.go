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
func newEnvironment(scenarioName string) (*standin.Environment, *standin.Gateways, error) {
	s, err := scenario.Load(scenarioName)
	if err != nil {
		return nil, nil, err
	}
	environment := standin.NewEnvironment(scenario.NewInstance(s))
	environment.ServeUnknown = true
	gateways, err := standin.NewGateways(environment)
	if err != nil {
		environment.Close()
		return nil, nil, err
	}
	return environment, gateways, nil
}

// watch starts the scenario's clock and waits for an interrupt, upon which it prints a summary of the calls. With
// verbose it also prints each call.
func watch(command *cobra.Command, environment *standin.Environment, verbose bool) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	environment.Clock.Start()
	printed := 0
	for {
		select {
		case <-stop:
			view := environment.Record.View()
			ran, delivered := 0, 0
			for _, call := range view.Calls {
				if call.Ran {
					ran++
				}
				if call.Delivered {
					delivered++
				}
			}
			fmt.Fprintf(command.OutOrStdout(), "calls %d, took effect %d, answered 200 %d; outcomes reported %d\n",
				len(view.Calls), ran, delivered, len(view.Outcomes))
			return
		case <-time.After(200 * time.Millisecond):
		}
		if !verbose {
			continue
		}
		calls := environment.Record.View().Calls
		for _, call := range calls[printed:] {
			fmt.Fprintf(command.OutOrStdout(), "%9.1f  %s called at %s: took effect %v, status %d, wait %.0f %s\n",
				call.First, call.ID, call.Receiver, call.Ran, call.Status, call.RequestedWait, call.Fault)
		}
		printed = len(calls)
	}
}

// standinGateway returns the command that runs one gateway.
func standinGateway() *cobra.Command {
	var name, listen string
	var verbose bool
	command := &cobra.Command{
		Use: "gateway", Short: "Run a gateway for a scenario's first destination", Args: cli.Args(cobra.NoArgs),
		Long: `gateway runs one receiver of a scenario's first destination, with its limit, response times and faults, until
it is interrupted. Faults are timed from its start.`,
		Example: "  chuteweir standin gateway --listen 127.0.0.1:9000 --verbose",
		RunE: func(command *cobra.Command, _ []string) error {
			environment, gateways, err := newEnvironment(name)
			if err != nil {
				return err
			}
			defer environment.Close()
			if err := gateways.OpenAt("gateway", 1, listen); err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "gateway listening at %s\n", listen)
			watch(command, environment, verbose)
			return nil
		},
	}
	command.Flags().StringVar(&name, "scenario", "calm", "a scenario file, or the name of a built-in scenario")
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "the address at which the gateway accepts calls")
	command.Flags().BoolVar(&verbose, "verbose", false, "print each call")
	return command
}

// standinPlatform returns the command that runs the platform and all gateways of a scenario.
func standinPlatform() *cobra.Command {
	var name, listen, write, serve, state string
	var verbose bool
	command := &cobra.Command{
		Use: "platform", Short: "Run a platform with all of a scenario's gateways", Args: cli.Args(cobra.NoArgs),
		Long: `platform runs a platform at an address and all gateways of a scenario on unused ports, until it is interrupted.
With --write it writes the configuration of a sender that uses this platform and these gateways.`,
		Example: `  chuteweir standin platform --listen 127.0.0.1:8500 --write sender.toml
  chuteweir serve sender.toml`,
		RunE: func(command *cobra.Command, _ []string) error {
			environment, gateways, err := newEnvironment(name)
			if err != nil {
				return err
			}
			defer environment.Close()
			platform, err := standin.NewPlatform(environment, gateways, 0)
			if err != nil {
				return err
			}
			if err := platform.Listen(0, listen); err != nil {
				return err
			}
			if write != "" {
				instance := environment.Instance
				sender := config.Config{Name: "n0", Listen: serve, Discovery: listen, StateDir: state, RandomSeed: true,
					Format: "text", Level: "info", Machine: instance.Machine, Settings: instance.Settings,
					Names: instance.Names}
				if err := os.WriteFile(write, sender.TOML(), 0o644); err != nil {
					return fmt.Errorf("writing the sender's configuration: %w", err)
				}
			}
			fmt.Fprintf(command.OutOrStdout(), "a platform answers at %s, with %d destinations\n", listen,
				len(environment.Instance.Destinations))
			watch(command, environment, verbose)
			return nil
		},
	}
	flagSet := command.Flags()
	flagSet.StringVar(&name, "scenario", "calm", "a scenario file, or the name of a built-in scenario")
	flagSet.StringVar(&listen, "listen", "127.0.0.1:8500", "the address at which the platform listens")
	flagSet.StringVar(&write, "write", "", "write a sender's configuration to this file")
	flagSet.StringVar(&serve, "serve", "127.0.0.1:8443", "with --write: the address at which that sender listens")
	flagSet.StringVar(&state, "state", "state", "with --write: the state directory of that sender")
	flagSet.BoolVar(&verbose, "verbose", false, "print each call")
	return command
}
