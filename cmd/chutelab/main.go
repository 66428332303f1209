// Command chutelab tests senders: with simulated clients, gateways and platform, under load, and compared with a plain
// relay. It is a separate program so that the sender doesn't contain code that only tests need; `chuteweir try`,
// `chuteweir load` and the like run it.
package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"

	"chuteweir.example/chuteweir/internal/cli"
	"github.com/spf13/cobra"
)

func main() {
	// Records are kept until they are audited, so frequent garbage collection would free little and take processor
	// time from the senders.
	debug.SetGCPercent(400)
	cli.Exit("chuteweir", commands().Execute())
}

// commands returns the root command with all subcommands.
func commands() *cobra.Command {
	root := cli.Prepare(&cobra.Command{
		Use:   "chutelab",
		Short: "Test senders with simulated clients, gateways and platform on loopback",
		Long: `chutelab runs scenarios against senders, with stand-in gateways, platform and clients on loopback sockets.
All figures are measured with these stand-ins on this machine. Exit status: 0 done, 1 failed or a rule broken, 2 wrong use.`,
	})
	root.AddCommand(tryCommand(), loadCommand(), sickCommand(), labCommand(), standinCommand(), relayCommand())
	return root
}

// senderProgram returns the path of the sender's program: the named one, or else chuteweir in this program's directory
// or in PATH.
func senderProgram(named string) (string, error) {
	if named != "" {
		return exec.LookPath(named)
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	beside := filepath.Join(filepath.Dir(self), "chuteweir")
	if _, err := os.Stat(beside); err == nil {
		return beside, nil
	}
	return exec.LookPath("chuteweir")
}
