// Command chuteweir accepts notices from clients and delivers them to their destinations.
package main

import (
	"os"

	"chuteweir.example/chuteweir/internal/cli"
)

func main() { cli.Exit("chuteweir", run()) }

// run runs a sender with the environment's configuration if there are no arguments, else the command that they name.
func run() error {
	// The platform starts a sender without arguments, so this path does not build the command line for operators.
	if len(os.Args) == 1 {
		path, state := os.Getenv("PROXY_CONFIG"), os.Getenv("PROXY_STATE")
		if path == "" || state == "" {
			return cli.UsageErrorf(
				"PROXY_CONFIG must name the configuration file and PROXY_STATE the state directory; see chuteweir help")
		}
		return serve(path, state, "", "")
	}
	return rootCommand().Execute()
}
