package main

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"chuteweir.example/chuteweir/internal/config"
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/internal/loop"
)

// serve runs a sender until SIGTERM or SIGINT ends it. The state directory, log format and log level given here
// override those of the configuration file unless they are empty.
func serve(path, state, format, level string) error {
	terminate, printCounters, reload := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(printCounters, syscall.SIGUSR1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a log pipe whose reader is gone must not end the sender
	loaded, warnings, err := config.Load(path, state)
	if err != nil {
		return err
	}
	if err := os.Mkdir(loaded.StateDir, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("creating the state directory: %w", err)
	}
	limits := loaded.Limits()
	debug.SetMemoryLimit(limits.Memory)
	// The poller's thread blocks in a system call. With spare processors, the loop need not wait until the Go
	// scheduler notices that and hands its processor on.
	runtime.GOMAXPROCS(max(int(math.Ceil(limits.Cores))+2, 3))
	if format != "" {
		loaded.Format = format
	}
	if level != "" {
		loaded.Level = level
	}
	log, output := logs.New(os.Stderr, loaded.Format, loaded.Level)
	defer output.Close()
	log = log.With("name", loaded.Name)
	sender, err := loop.New(loopConfig(loaded), log)
	if err != nil {
		return err
	}
	for _, warning := range warnings {
		log.Warn(logs.ConfigWarning, "why", warning.Error())
	}
	sender.Run(loop.Signals{Shutdown: terminate, LogCounters: printCounters, Reload: reload,
		ReadConfig: func() (loop.Config, error) {
			reloaded, _, err := config.Load(path, state)
			return loopConfig(reloaded), err
		}})
	return nil
}

// loopConfig returns the part of a configuration that package loop uses.
func loopConfig(loaded config.Config) loop.Config {
	return loop.Config{Listen: loaded.Listen, Discovery: loaded.Discovery, StateDir: loaded.StateDir, Seed: loaded.Seed,
		Settings: loaded.Settings, Names: loaded.Names, InitialList: loaded.InitialList, Limits: loaded.Limits()}
}
