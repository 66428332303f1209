// Command chuteweir takes notices from clients and brings them to their destinations.
package main

import (
	"os"

	"chuteweir.example/chuteweir/internal/cli"
)

func main() { cli.Exit("chuteweir", run()) }

func run() error {
	// The platform starts a sender without arguments: it is kept clear of what only people need.
	if len(os.Args) == 1 {
		path, state := os.Getenv("PROXY_CONFIG"), os.Getenv("PROXY_STATE")
		if path == "" || state == "" {
			return cli.Misused("PROXY_CONFIG and PROXY_STATE must name the configuration and the lasting folder; or see chuteweir help")
		}
		return serve(path, state, "", "")
	}
	return commands().Execute()
}
