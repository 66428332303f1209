// Package standin simulates everything that a sender communicates with: gateways with their receivers, the platform
// and clients. They use loopback sockets and the protocol in docs/sender.md, run a scenario and record what they
// observe in an audit.Record.
package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
)

// Clock measures the scenario's time, which starts at the first notice.
type Clock struct{ startedAt atomic.Int64 }

// Start starts the scenario's time now.
func (c *Clock) Start() { c.startedAt.Store(time.Now().UnixNano()) }

// Now returns the time in the scenario, -1 before it has begun.
func (c *Clock) Now() rules.Millis {
	startedAt := c.startedAt.Load()
	if startedAt == 0 {
		return -1
	}
	return rules.Millis(time.Now().UnixNano()-startedAt) / 1e6
}

// Until returns the duration from now to a time in the scenario.
func (c *Clock) Until(at rules.Millis) time.Duration {
	return time.Duration((at - c.Now()) * rules.Millis(time.Millisecond))
}

// toDuration converts milliseconds to a duration.
func toDuration(m rules.Millis) time.Duration {
	return time.Duration(m * rules.Millis(time.Millisecond))
}

// Environment is the test environment of one run, which all stand-ins share.
type Environment struct {
	Instance *scenario.Instance
	Clock    *Clock
	Record   *audit.Record
	// ServeUnknown lets gateways serve calls for notices that no client of this environment submitted.
	ServeUnknown  bool
	done          chan struct{}
	once          sync.Once
	netByte       byte // the run's own loopback addresses are 127.netByte.subnetByte.host
	subnetByte    byte
	addressesUsed atomic.Int64
}

// NewEnvironment returns the test environment for a run of a scenario instance.
func NewEnvironment(instance *scenario.Instance) *Environment {
	return &Environment{Instance: instance, Clock: &Clock{}, Record: audit.NewRecord(), done: make(chan struct{}),
		netByte: byte(20 + rand.IntN(200)), subnetByte: byte(1 + rand.IntN(250))}
}

// Close stops all stand-ins.
func (e *Environment) Close() { e.once.Do(func() { close(e.done) }) }

// sleep waits for a duration and reports whether the run goes on.
func (e *Environment) sleep(d time.Duration) bool {
	if d <= 0 {
		select {
		case <-e.done:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.done:
		return false
	}
}

// waitUntil waits for a time in the scenario and reports whether the run goes on. It sleeps for at
// most 20 ms at a time.
func (e *Environment) waitUntil(when rules.Millis) bool {
	for e.Clock.Now() < when {
		wait := e.Clock.Until(when)
		if e.Clock.Now() < 0 || wait > 20*time.Millisecond {
			wait = min(max(wait/2, time.Millisecond), 20*time.Millisecond)
		}
		if !e.sleep(wait) {
			return false
		}
	}
	return e.sleep(0)
}

// Listen listens on an unused loopback address of this run. Its port is below the range that the kernel assigns to
// outgoing connections, so the same address can be closed and opened again.
func (e *Environment) Listen() (net.Listener, error) {
	var lastErr error
	for range 200 {
		l, err := net.Listen("tcp", e.UnusedAddress())
		if err == nil {
			return l, nil
		}
		if lastErr = err; !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return nil, fmt.Errorf("listening on loopback: %w", lastErr)
}

// UnusedAddress returns an address that this run has not used yet.
func (e *Environment) UnusedAddress() string {
	n := e.addressesUsed.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d:%d", e.netByte, e.subnetByte, 1+n%250, 7000+n/250)
}

// Ended reports whether the run is over.
func (e *Environment) Ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// WaitUntil waits for a time in the scenario and reports whether the run goes on.
func (e *Environment) WaitUntil(when rules.Millis) bool { return e.waitUntil(when) }
