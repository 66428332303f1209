// Package limits defines the sizes, counts and durations that bound the sender's use of sockets, memory and disk.
// They are computed once, at start, from the machine's limits and the settings, and then passed to the other
// packages.
package limits

import (
	"time"

	"chuteweir.example/chuteweir/rules"
)

// Machine holds the resources that the platform grants the sender. A value of 0 or less stands for the default of For.
type Machine struct {
	MemoryMB int     `json:"memory_mb"` // in MiB
	Sockets  int     `json:"sockets"`   // file descriptors, of which the sender uses most for connections
	DiskMB   float64 `json:"disk_mb"`   // in units of 10^6 bytes
	Cores    float64 `json:"cores"`
}

// Limits holds the bounds that the sender sets itself.
type Limits struct {
	Cores  float64 // cores granted; may be a fraction
	Memory int64   // soft memory limit of the Go runtime, in bytes
	Disk   int64   // bytes of the ledger, together with its copy while it is rewritten

	Buffer            int // bytes of every buffer
	Window            int // bytes read from a client at a time, unless its request is known to lack more
	QueuedBytes       int // bytes read from sockets and not yet processed by the loop; above this, reading pauses
	Head              int // bytes of a first line with its headers
	Fields            int // header fields of one message
	Body              int // bytes of the body of a request or a response
	ReceiverListBytes int // bytes of a receiver list, and bytes that may wait to be written on one connection
	HeldBytes         int // bytes of the bodies of all notices held
	PartialBytes      int // bytes of all incomplete requests

	MaxClients             int // connections from clients; further ones wait in the kernel
	CloseIdleAbove         int // above this number of client connections, those idle for longest are closed
	PagesPerTurn           int // pages served on one connection in one turn; after the last, the connection is closed
	RefusedPerConnection   int // after this many refused requests on one connection, nothing more is read from it
	MaxDiscarded           int // bytes read and discarded from a client after a request that can't be parsed
	MaxReceiverConnections int // connections to receivers

	RequestTime        time.Duration // from the first byte of a request to the last
	FirstRequestTime   time.Duration // from a client's connecting to the last byte of its first request
	ClientIdle         time.Duration // how long a client's connection may be idle
	ConnectTime        time.Duration // for connecting to a receiver
	RemainderTime      time.Duration // for the rest of a response to a call that has ended, before the close
	ReceiverIdle       time.Duration // how long a connection to a receiver may be idle
	TurnInterval       time.Duration // between the starts of two turns of a busy loop
	SweepInterval      time.Duration // between checks for timeouts
	MaxTurnLag         time.Duration // after a longer time since the loop read the clock, data may have arrived unread
	SettleTime         time.Duration // how long a connection to a receiver stays unused after a response
	UnreadRecheckDelay time.Duration // until a connection with data not yet processed is checked again
	MaxPause           time.Duration // see rules.Settings.MaxPause
	// MaxListAge is the longest time between two turns of the loop after which the receiver list still counts as
	// verified. It is the shortest time that draining receivers are given to end.
	MaxListAge time.Duration

	WatchHold       time.Duration // how long discovery is asked to hold a watch request
	WatchInterval   time.Duration // between watch requests that discovery does not hold
	ResponseTimeout time.Duration // of discovery, added to WatchHold; of the platform, for an outcome report
	BackOff         time.Duration // pause after a failed watch or report; doubles with each further failure in a row
	MaxBackOff      time.Duration // upper bound of that pause

	SendUntil time.Duration // after SIGTERM: no trip starts from then on
	ExitBy    time.Duration // after SIGTERM: the process exits, even with work left
	// Linger is how long clients still get answers after SIGTERM, and how long a client may take to close its
	// connection after the last answer on it.
	Linger time.Duration
}

// For returns the limits for a machine, with defaults for what it does not state.
func For(machine Machine, settings rules.Settings, connectTimeout rules.Millis) Limits {
	const mib = 1 << 20
	if machine.MemoryMB <= 0 {
		machine.MemoryMB = 192
	}
	if machine.Sockets <= 0 {
		machine.Sockets = 1024
	}
	if machine.DiskMB <= 0 {
		machine.DiskMB = 1
	}
	if machine.Cores <= 0 {
		machine.Cores = 1
	}
	limits := Limits{
		Cores:  machine.Cores,
		Memory: int64(machine.MemoryMB) * mib / 2,
		Disk:   int64(machine.DiskMB * 1e6 * 0.9),

		Buffer:               8 << 10,
		Window:               2 << 10,
		QueuedBytes:          min(4, machine.MemoryMB/16) * mib,
		Head:                 8 << 10,
		Fields:               64,
		Body:                 64 << 10,
		ReceiverListBytes:    min(4, max(machine.MemoryMB/16, 1)) * mib,
		MaxDiscarded:         256 << 10,
		PagesPerTurn:         4,
		RefusedPerConnection: 512,
		HeldBytes:            machine.MemoryMB * mib / 8,
		PartialBytes:         machine.MemoryMB * mib / 16,

		RequestTime:        2 * time.Second,
		FirstRequestTime:   2500 * time.Millisecond,
		ClientIdle:         2 * time.Second,
		ConnectTime:        toDuration(connectTimeout),
		RemainderTime:      250 * time.Millisecond,
		ReceiverIdle:       toDuration(settings.IdleTimeout * 9 / 10),
		TurnInterval:       toDuration(settings.Tick / 2),
		SweepInterval:      100 * time.Millisecond,
		MaxTurnLag:         20 * time.Millisecond,
		SettleTime:         toDuration(rules.SettleTime),
		UnreadRecheckDelay: time.Millisecond,
		MaxPause:           150 * time.Millisecond,
		MaxListAge:         500 * time.Millisecond,

		WatchHold:       2 * time.Second,
		WatchInterval:   100 * time.Millisecond,
		ResponseTimeout: time.Second,
		BackOff:         50 * time.Millisecond,
		MaxBackOff:      time.Second,

		SendUntil: 2400 * time.Millisecond,
		ExitBy:    3200 * time.Millisecond,
		Linger:    500 * time.Millisecond,
	}
	// A new connection to a receiver briefly holds two descriptors, and the runtime, the ledger and discovery need
	// some. Under usual load, clients hold a third of the descriptors for their requests.
	limits.MaxClients = max(machine.Sockets*9/16, 8)
	limits.CloseIdleAbove = limits.MaxClients * 3 / 4
	limits.MaxReceiverConnections = max(machine.Sockets/4, 8)
	if limits.ConnectTime <= 0 {
		limits.ConnectTime = time.Second
	}
	if limits.ReceiverIdle <= 0 {
		limits.ReceiverIdle = time.Second
	}
	return limits
}

// toDuration converts milliseconds to a duration.
func toDuration(millis rules.Millis) time.Duration {
	return time.Duration(float64(millis) * float64(time.Millisecond))
}
