package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// anonymousKB returns the memory of a process without the pages of its program file, in KiB; 0 if it has ended.
func anonymousKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kb
		}
	}
	return 0
}

// overMemory starts a sender with little memory in a large fleet, and with TROUBLE=0 in one with a sixteenth of its
// receivers. Like the platform, it kills the sender when it has more memory than the configuration states, and starts
// it again.
func overMemory(s *stage) (int, error) {
	const memoryMB, starts = 32, 3
	count := fleetReceivers
	if !s.trouble {
		count /= 16
	}
	all := &receivers{stage: s}
	first, err := all.open("s-1a", 1, "", 4, 100*time.Millisecond)
	if err != nil {
		return couldNot, err
	}
	p, err := s.newPlatform(append(silentMembers(count-1), first.member("ready"))...)
	if err != nil {
		return couldNot, err
	}
	n, err := s.newSender("n1", p.address,
		map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 256, "disk_mb": 3},
		settings(class("load-setpoint", "free", 1000, 12000, 1000)), p.full())
	if err != nil {
		return couldNot, err
	}
	code := held
	for range starts {
		var highest atomic.Int64
		n.onStart = func(pid int) {
			for n.running() {
				kb := anonymousKB(pid)
				highest.Store(max(highest.Load(), kb))
				if kb > memoryMB<<10 {
					s.note("BROKEN: the sender has %d KiB of memory, its limit is %d KiB: killed", kb, memoryMB<<10)
					n.signal(syscall.SIGKILL)
					<-n.exited
				}
				time.Sleep(time.Millisecond)
			}
		}
		if err := n.start(); err != nil && n.running() {
			return couldNot, err
		}
		if !n.running() {
			code = broken
			time.Sleep(600 * time.Millisecond)
			continue
		}
		m := &message{id: fmt.Sprintf("c8%08x", time.Now().UnixMilli()&0xffffffff), class: "load-setpoint", dest: 1,
			timeout: 12 * time.Second}
		s.handIn(n, m)
		time.Sleep(time.Second)
		s.note("most memory: %d KiB of %d", highest.Load(), memoryMB<<10)
		if !n.running() {
			code = broken
			continue
		}
		n.signal(syscall.SIGKILL) // the next start is a restart
		<-n.exited
		time.Sleep(600 * time.Millisecond)
	}
	return code, nil
}
