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

// serve runs a sender until it is told to leave. state, format and level take the place of what the file says
// unless they are empty.
func serve(path, state, format, level string) error {
	leave, tell, reload := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM, os.Interrupt)
	signal.Notify(tell, syscall.SIGUSR1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more must not end the sender
	c, odd, err := config.Load(path, state)
	if err != nil {
		return err
	}
	if err := os.Mkdir(c.State, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("making the lasting folder: %w", err)
	}
	limits := c.Limits()
	debug.SetMemoryLimit(limits.Memory)
	// The poller waits in the kernel and the loop must not wait for it to be found there.
	runtime.GOMAXPROCS(max(int(math.Ceil(limits.Cores))+2, 3))
	if format != "" {
		c.Format = format
	}
	if level != "" {
		c.Level = level
	}
	log, lines := logs.New(os.Stderr, c.Format, c.Level)
	defer lines.Close()
	log = log.With("name", c.Name)
	l, err := loop.New(told(c), log)
	if err != nil {
		return err
	}
	for _, fault := range odd {
		log.Warn(logs.ConfigOdd, "why", fault.Error())
	}
	l.Run(loop.Signals{Leave: leave, Tell: tell, Reload: reload, Read: func() (loop.Config, error) {
		fresh, _, err := config.Load(path, state)
		return told(fresh), err
	}})
	return nil
}

func told(c config.Config) loop.Config {
	return loop.Config{Listen: c.Listen, Discovery: c.Discovery, State: c.State, Seed: c.Seed, Settings: c.Settings,
		Names: c.Names, Known: c.Known, Limits: c.Limits()}
}
