// Command chuteweir takes notices from clients and brings them to their destinations.
package main

import (
	"errors"
	"fmt"
	"os"
)

// What a script can tell from the exit status.
const (
	exitFailed = 1
	exitUsage  = 2
)

// wrongUse is a command line that can't be meant.
type wrongUse struct{ error }

func main() {
	err := run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "chuteweir:", err)
	if errors.As(err, &wrongUse{}) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func run() error {
	// The platform starts a sender without arguments: it is kept clear of what only people need.
	if len(os.Args) == 1 {
		path, state := os.Getenv("PROXY_CONFIG"), os.Getenv("PROXY_STATE")
		if path == "" || state == "" {
			return wrongUse{errors.New("PROXY_CONFIG and PROXY_STATE must name the configuration and the lasting folder; " +
				"or see chuteweir help")}
		}
		return serve(path, state, "", "")
	}
	return commands().Execute()
}
