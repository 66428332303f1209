package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// fleetReceivers is the most receivers that the pages name for a fleet.
const fleetReceivers = 3200

// silentMembers returns entries of receivers that nothing is sent to. Nobody listens on their loopback addresses.
func silentMembers(count int) []member {
	var members []member
	for i := range count {
		members = append(members, member{ID: fmt.Sprintf("s-%08x", 0x5be2a07c+uint32(i)*7919),
			HostPort: fmt.Sprintf("127.3.%d.%d:8443", i/250, 1+i%250), Locality: "a", Flavor: "resorts", Cell: 10 + i/2,
			Phase: "ready", Size: 1})
	}
	return members
}

// reloadStalls replaces the configuration of a sender in a large fleet and sends SIGHUP while the sender holds messages
// whose time ends in the next seconds.
func reloadStalls(s *stage) (int, error) {
	const timeout, rounds = 2 * time.Second, 3
	all := &receivers{stage: s}
	busy, err := all.open("s-1a", 1, "", 2, 350*time.Millisecond)
	if err != nil {
		return couldNot, err
	}
	p, err := s.newPlatform(append(silentMembers(fleetReceivers-1), busy.member("ready"))...)
	if err != nil {
		return couldNot, err
	}
	n, err := s.newSender("n1", p.address, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
		settings(class("load-setpoint", "free", 1000, 2000, 1000), class("incentive-payout", "single_shot", 1000, 2000, 1000)),
		p.full())
	if err != nil {
		return couldNot, err
	}
	if err := n.start(); err != nil {
		return couldNot, err
	}
	var messages []*message
	var wait sync.WaitGroup
	for round := range rounds {
		// A clump of messages for one destination, about as many as it takes in 2.8 s: not all of them in their time.
		for i := range 16 {
			m := &message{id: fmt.Sprintf("c7%04x%04x", round, i), class: []string{"load-setpoint", "incentive-payout"}[i%2],
				dest: 1, timeout: timeout}
			messages = append(messages, m)
			wait.Add(1)
			go func() { defer wait.Done(); s.handIn(n, m) }()
			time.Sleep(3 * time.Millisecond)
		}
		wait.Wait()
		time.Sleep(1600 * time.Millisecond)
		if s.trouble {
			address, err := p.listen()
			if err != nil {
				return couldNot, err
			}
			n.config["discovery"], n.config["known"] = address, p.full()
			if err := n.writeConfig(); err != nil {
				return couldNot, err
			}
			n.signal(syscall.SIGHUP)
		}
		time.Sleep(10 * time.Second)
	}
	return s.checkLost(p, all, messages)
}

// checkLost reports the messages that were taken on, and neither delivered in their time nor ended by a notice half a
// second after it.
func (s *stage) checkLost(p *platform, all *receivers, messages []*message) (int, error) {
	code, taken, lost := held, 0, 0
	for _, m := range messages {
		if !m.taken() {
			continue
		}
		taken++
		bound := m.sent.Add(m.timeout)
		delivered := false
		for _, c := range all.of(m.id) {
			delivered = delivered || !c.answered.IsZero() && c.answered.Before(bound.Add(50*time.Millisecond))
		}
		f, ended := p.final(m.id)
		if delivered || ended && !f.at.After(bound.Add(500*time.Millisecond)) {
			continue
		}
		lost++
		code = broken
		if ended {
			s.note("BROKEN: %s was taken on, not delivered, and ended %.1f ms after its time", m.id,
				float64(f.at.Sub(bound).Microseconds())/1000)
		} else {
			s.note("BROKEN: %s was taken on, and neither delivered in time nor ended", m.id)
		}
	}
	s.note("%d of %d messages were taken on, %d of them lost", taken, len(messages), lost)
	fmt.Printf("%d of %d messages were taken on, %d of them lost\n", taken, len(messages), lost)
	if taken == 0 {
		return couldNot, fmt.Errorf("no message was taken on")
	}
	return code, nil
}
