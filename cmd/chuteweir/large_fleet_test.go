package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/directory"
)

// These tests check that a sender goes on serving while it reads what grows with the fleet.

const (
	mostReceivers = 3200 // in a fleet
	// maxStall is how long a sender may not respond: a notice must be ended within 300 ms of its time.
	maxStall = 300 * time.Millisecond
)

// replaceConfigByPipe makes the configuration file a pipe, so that a reading lasts until writeConfigPipe.
func (env *environment) replaceConfigByPipe() {
	env.t.Helper()
	env.must(syscall.Mkfifo(env.configPath+".pipe", 0o600))
	env.must(os.Rename(env.configPath+".pipe", env.configPath))
}

// writeConfigPipe ends a reading of the pipe with the present address of the platform.
func (env *environment) writeConfigPipe() {
	env.t.Helper()
	env.config.Discovery = env.platform.Address(0)
	text, err := env.config.Platform()
	env.must(err)
	pipe, err := os.OpenFile(env.configPath, os.O_WRONLY, 0)
	env.must(err)
	_, err = pipe.Write(text)
	env.must(err)
	env.must(pipe.Close())
}

// reload sends SIGHUP and gives the sender time to begin to read its configuration.
func (env *environment) reload() {
	env.t.Helper()
	env.must(env.sender.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
}

// Guards against a sender that does nothing else while it reads its configuration.
func TestSenderServesWhileItReadsItsConfiguration(t *testing.T) {
	t.Parallel()
	env := startEnvironment(t)
	env.replaceConfigByPipe()
	env.reload()
	if answer := env.sendRaw(submission("note", "n-1", 12000, 1, "body")); answer != "202 Accepted" {
		t.Fatalf("%s to a notice during the reading", answer)
	}
	env.awaitLines(1, "receiver")
	env.reload() // during the reading: the configuration is read again
	env.writeConfigPipe()
	env.awaitLog("msg=reloaded")
	env.platform = env.newPlatform("moved")
	env.replaceReceiver(env.platform)
	env.writeConfigPipe()
	env.awaitLog("discovery=" + env.platform.Address(0))
	env.submit("note", "n-2", 12000, 1)
	env.awaitLines(1, "other")
	if count := strings.Count(env.log.String(), "msg=reloaded"); count != 2 {
		t.Errorf("%d configurations were applied, want 2", count)
	}
	env.reload()
	env.submit("note", "n-3", 12000, 1)
	env.awaitLines(2, "other")
	env.shutDown() // during the reading
}

// fleet returns the entries of receivers that are never called.
func (env *environment) fleet(prefix string, phase string) []directory.Member {
	var members []directory.Member
	for i := range mostReceivers {
		members = append(members, directory.Member{ID: fmt.Sprint(prefix, i), HostPort: fmt.Sprintf("127.3.%d.%d:8443",
			i/250, 1+i%250), Locality: "here", Flavor: "shop", Cell: int64(10 + i/2), Phase: phase, Size: 20})
	}
	return members
}

// expectResponsive requests /up for a duration and expects each response within maxStall.
func (env *environment) expectResponsive(duration time.Duration, during string) {
	env.t.Helper()
	longest := time.Duration(0)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(time.Millisecond) {
		started := time.Now()
		response, err := client.Get("http://" + env.listen + "/up")
		env.must(err)
		response.Body.Close()
		longest = max(longest, time.Since(started))
	}
	env.t.Logf("%s: longest response time %v", during, longest)
	if longest > maxStall {
		env.t.Errorf("%s: longest response time %v, want at most maxStall", during, longest)
	}
}

// Guards against a sender that does not respond while it reads the configuration or the list of a large fleet.
func TestLargeFleetDoesNotStallTheSender(t *testing.T) {
	env := startEnvironment(t)
	env.platform.Change(env.fleet("s-", "ready")...)
	env.expectResponsive(500*time.Millisecond, "3,200 receivers are listed")
	for range 3 {
		env.platform = env.newPlatform("moved")
		env.platform.Change(env.fleet("s-", "ready")...)
		env.writeConfig()
		env.must(env.sender.Process.Signal(syscall.SIGHUP))
		env.expectResponsive(time.Second, "SIGHUP")
	}
	env.must(os.WriteFile(env.configPath, []byte(`{"known": {"members": [`), 0o600))
	env.must(env.sender.Process.Signal(syscall.SIGHUP))
	env.expectResponsive(300*time.Millisecond, "SIGHUP with an unusable file")
	env.platform.Change(append(env.fleet("s-", "gone"), env.fleet("r-", "ready")...)...)
	env.expectResponsive(time.Second, "all receivers are replaced")
	started := time.Now()
	env.killSender()
	env.startSender()
	if took := time.Since(started); took > time.Second {
		t.Errorf("ready %v after the start, want at most 1 s", took)
	}
	env.expectResponsive(500*time.Millisecond, "start")
}
