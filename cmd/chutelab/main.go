// Command chutelab tries senders out: among stand-ins, under load, and against a plain relay. It is a program of its
// own so that a sender holds nothing of what only this needs; `chuteweir try` and its like hand over to it.
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
	// What is seen is kept until it is audited: collecting often would only take the machine from the senders.
	debug.SetGCPercent(400)
	cli.Exit("chuteweir", commands().Execute())
}

func commands() *cobra.Command {
	root := cli.Prepare(&cobra.Command{
		Use:   "chutelab",
		Short: "Tries senders out among stand-ins on loopback",
		Long: `chutelab plays scenarios against senders, among stand-in gateways, platform and clients on loopback sockets.
Every figure is of stand-ins on this machine. Exit status: 0 done, 1 failed or a rule broken, 2 wrong use.`,
	})
	root.AddCommand(tryCommand(), loadCommand(), sickCommand(), labCommand(), standinCommand(), relayCommand())
	return root
}

// sender finds the program of a sender: the one named, else the one beside this program.
func sender(named string) (string, error) {
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
