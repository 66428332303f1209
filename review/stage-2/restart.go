package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// wrongDestination restarts a sender that holds messages for destination 1. While it is down, the receiver of
// destination 1 is replaced, and a new receiver of destination 2 takes the address of the old one. The known list of the
// configuration is what the sender had at its end.
func wrongDestination(s *stage) (int, error) {
	// A slow destination that takes 8.6 calls a second. A clump is about as many messages as it takes in 1.4 to 3 s.
	const atOnce, takes, clump = 6, 700 * time.Millisecond, 24
	all := &receivers{stage: s}
	first, err := all.open("s-1a", 1, "", atOnce, takes)
	if err != nil {
		return couldNot, err
	}
	other, err := all.open("s-2a", 2, "", atOnce, takes)
	if err != nil {
		return couldNot, err
	}
	p, err := s.newPlatform(first.member("ready"), other.member("ready"))
	if err != nil {
		return couldNot, err
	}
	n, err := s.newSender("n1", p.address, map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 512, "disk_mb": 3},
		settings(class("load-setpoint", "free", 3000, 12000, 5000), class("incentive-payout", "single_shot", 4000, 12000, 5000)),
		p.full())
	if err != nil {
		return couldNot, err
	}
	if err := n.start(); err != nil {
		return couldNot, err
	}
	// A clump of messages for destination 1.
	var messages []*message
	var wait sync.WaitGroup
	for i := range clump {
		m := &message{id: fmt.Sprintf("c6%08x", 0x51a0+i), class: []string{"load-setpoint", "incentive-payout"}[i%2],
			dest: 1, timeout: 12 * time.Second}
		messages = append(messages, m)
		wait.Add(1)
		go func() { defer wait.Done(); s.handIn(n, m) }()
		time.Sleep(3 * time.Millisecond)
	}
	wait.Wait()
	began := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(began.Add(after))) }
	if s.trouble {
		n.signal(syscall.SIGTERM)
	}
	// The change is told 3.3 s after the clump, or once the sender has ended: it exits within 3.2 s of SIGTERM.
	at(3300 * time.Millisecond)
	for s.trouble && n.running() && time.Since(began) < 3700*time.Millisecond {
		time.Sleep(5 * time.Millisecond)
	}
	second, err := all.open("s-1b", 1, "", atOnce, takes)
	if err != nil {
		return couldNot, err
	}
	p.change(first.member("gone"), second.member("ready"))
	told := time.Now()
	time.Sleep(time.Until(told.Add(600 * time.Millisecond))) // longer than the grace of 500 ms
	first.close()
	taker, err := all.open("s-2b", 2, first.address, atOnce, takes)
	if err != nil {
		return couldNot, err
	}
	p.change(taker.member("ready"))
	ready := time.Time{}
	if s.trouble {
		at(max(3700*time.Millisecond, time.Since(began)))
		if n.running() {
			n.signal(syscall.SIGKILL)
		}
		time.Sleep(600 * time.Millisecond)
		if err := n.start(); err != nil {
			return couldNot, err
		}
		ready = time.Now()
	}
	at(14 * time.Second)

	code, lost := held, 0
	for _, m := range messages {
		if !m.taken() {
			continue
		}
		delivered := false
		for _, c := range all.of(m.id) {
			if c.cell != m.dest {
				s.note("BROKEN: %s is for destination %d; it went to receiver %s of cell %d", m.id, m.dest, c.receiver, c.cell)
				code = broken
			} else if !c.answered.IsZero() && c.answered.Before(m.sent.Add(m.timeout+50*time.Millisecond)) {
				delivered = true
			}
		}
		f, ended := p.final(m.id)
		if bound := m.sent.Add(m.timeout + 500*time.Millisecond); !delivered &&
			(!ended || f.at.After(bound) && f.at.After(ready.Add(1500*time.Millisecond))) {
			lost++
			s.note("BROKEN: %s was taken on, and neither delivered nor ended", m.id)
			code = broken
		}
	}
	if lost > 0 {
		fmt.Println(lost, "messages were lost")
	}
	return code, nil
}
