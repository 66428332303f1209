// Package limits holds every size, count and time that the sender keeps to on sockets. They are filled in once,
// at start, from the machine's own limits and the settings, and handed down.
package limits

import (
	"time"

	"chuteweir.example/chuteweir/rules"
)

// Machine is what the platform grants the sender.
type Machine struct {
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
	Cores    float64 `json:"cores"`
}

// Limits is what the sender grants itself.
type Limits struct {
	Cores  float64 // granted, or a part of one
	Memory int64   // the Go runtime's own limit, in bytes
	Disk   int64   // bytes of the ledger and its copy while it is rewritten

	Buffer    int // size of every buffer
	Window    int // bytes read of a client at a time, unless more is known to be missing of its request
	Queued    int // bytes read from sockets and not yet seen by the loop
	Head      int // bytes of a first line with its headers
	Fields    int // headers of one message
	Body      int // bytes of a notice or an answer
	List      int // bytes of a list of receivers
	HeldBytes int // bytes of all bodies held
	Partial   int // bytes of all requests that are not whole yet

	Clients   int // connections from clients
	Crowd     int // of these: from so many on the ones quiet for longest make room
	Pages     int // asked for on one connection in one turn: with the last of these it ends
	Refused   int // requests refused on one connection: from so many on nothing more is read of it
	Discard   int // bytes read of a client behind something that can't be read
	Receivers int // connections to receivers

	RequestTime  time.Duration // from a request's first byte to its last
	FirstTime    time.Duration // from a client's connecting to its first request's last byte
	ClientIdle   time.Duration // how long a client's connection may stand idle
	ConnectTime  time.Duration
	RestTime     time.Duration // for the body of an answer whose head was enough
	ReceiverIdle time.Duration // how long a connection to a receiver may stand idle
	Turn         time.Duration // between the beginnings of two turns of a busy loop
	Sweep        time.Duration // between looks for what has taken too long
	Lag          time.Duration // a turn so long after the last one, or so old, may not know what has come
	SettleTime   time.Duration // a connection to a receiver stays unused behind an answer
	Unheard      time.Duration // until it is looked again whether what has come on a connection was heard
	Stall        time.Duration // the process may be held up for so long between reading its clock and writing

	Hold        time.Duration // how long discovery is asked to hold a watch
	Again       time.Duration // between watches that are not held
	AnswerTime  time.Duration // what discovery gets beyond that, and the platform for a notice of ends
	BackOff     time.Duration // after a first failure of either; doubles
	BackOffMost time.Duration

	SendUntil time.Duration // after SIGTERM: no trip is begun from here on
	ExitBy    time.Duration // after SIGTERM: out, whatever is still open
	Linger    time.Duration // after SIGTERM: clients are still answered for so long
}

// For fills the limits in.
func For(m Machine, s rules.Settings, connect rules.Millis) Limits {
	const mb = 1 << 20
	if m.MemoryMB <= 0 {
		m.MemoryMB = 192
	}
	if m.Sockets <= 0 {
		m.Sockets = 1024
	}
	if m.DiskMB <= 0 {
		m.DiskMB = 1
	}
	if m.Cores <= 0 {
		m.Cores = 1
	}
	l := Limits{
		Cores:  m.Cores,
		Memory: int64(m.MemoryMB) * mb / 2,
		Disk:   int64(m.DiskMB * 1e6 * 0.9),

		Buffer:    8 << 10,
		Window:    2 << 10,
		Queued:    min(4, m.MemoryMB/16) * mb,
		Head:      8 << 10,
		Fields:    64,
		Body:      64 << 10,
		List:      min(4, max(m.MemoryMB/16, 1)) * mb,
		Discard:   256 << 10,
		Pages:     4,
		Refused:   512,
		HeldBytes: m.MemoryMB * mb / 8,
		Partial:   m.MemoryMB * mb / 16,

		RequestTime:  2 * time.Second,
		FirstTime:    2500 * time.Millisecond,
		ClientIdle:   2 * time.Second,
		ConnectTime:  span(connect),
		RestTime:     250 * time.Millisecond,
		ReceiverIdle: span(s.IdleKept * 9 / 10),
		Turn:         span(s.Tick / 2),
		Sweep:        100 * time.Millisecond,
		Lag:          20 * time.Millisecond,
		SettleTime:   span(rules.SettleTime),
		Unheard:      time.Millisecond,
		Stall:        150 * time.Millisecond,

		Hold:        2 * time.Second,
		Again:       100 * time.Millisecond,
		AnswerTime:  time.Second,
		BackOff:     50 * time.Millisecond,
		BackOffMost: time.Second,

		SendUntil: 2400 * time.Millisecond,
		ExitBy:    3200 * time.Millisecond,
		Linger:    500 * time.Millisecond,
	}
	// A fresh connection to a receiver holds two descriptors for a moment, and the runtime, the ledger and discovery
	// need some. Usual clients hold a third for requests.
	l.Clients = max(m.Sockets*9/16, 8)
	l.Crowd = l.Clients * 3 / 4
	l.Receivers = max(m.Sockets/4, 8)
	if l.ConnectTime <= 0 {
		l.ConnectTime = time.Second
	}
	if l.ReceiverIdle <= 0 {
		l.ReceiverIdle = time.Second
	}
	return l
}

func span(m rules.Millis) time.Duration { return time.Duration(float64(m) * float64(time.Millisecond)) }
