package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// rudeClient opens a connection and sends hundreds of requests of an unknown class at once, each of which announces that
// it is the last. It reads what it is sent and keeps the connection for good.
func (s *stage) rudeClient(address string, number int) {
	var requests strings.Builder
	for i := range 200 {
		fmt.Fprintf(&requests, "POST /nothing HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: bad%d-%d\r\nRequest-Class: nothing\r\n"+
			"Connection: close\r\nContent-Length: 0\r\n\r\n", number, i)
	}
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	io.WriteString(conn, requests.String())
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if response, err := http.ReadResponse(reader, nil); err == nil {
		s.note("rude client %d: %d", number, response.StatusCode)
	} else {
		s.note("rude client %d: %v", number, err)
	}
	conn.SetReadDeadline(time.Time{})
	io.Copy(io.Discard, reader)
	time.Sleep(2 * time.Second)
}

// waitsToBeAccepted lets the connections of usual clients wait until the sender accepts them, since rude clients hold
// all of the connections that it allows to clients. The receiver answers shortly before the time of a message that has
// not waited.
func waitsToBeAccepted(s *stage) (int, error) {
	const timeout, destinations = 2 * time.Second, 9
	all := &receivers{stage: s}
	var members []member
	for dest := 1; dest <= destinations; dest++ {
		slow, err := all.open(fmt.Sprintf("s-%da", dest), dest, "", 10, timeout-185*time.Millisecond)
		if err != nil {
			return couldNot, err
		}
		members = append(members, slow.member("ready"))
	}
	p, err := s.newPlatform(members...)
	if err != nil {
		return couldNot, err
	}
	config := settings(class("load-setpoint", "free", 1000, 2000, 1000), class("incentive-payout", "single_shot", 1000, 2000, 1000))
	config["family_info"].(map[string]any)["slots"] = 40
	n, err := s.newSender("n1", p.address, map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 256, "disk_mb": 3},
		config, p.full())
	if err != nil {
		return couldNot, err
	}
	if err := n.start(); err != nil {
		return couldNot, err
	}
	var messages []*message
	var wait sync.WaitGroup
	for round := range 6 {
		if s.trouble {
			for i := range 260 {
				go s.rudeClient(n.listen, round*1000+i)
			}
		}
		time.Sleep(150 * time.Millisecond)
		for i := range destinations {
			m := &message{id: fmt.Sprintf("c9%04x%04x", round, i), class: "incentive-payout", dest: i + 1, timeout: timeout}
			messages = append(messages, m)
			wait.Add(1)
			go func() { defer wait.Done(); s.handIn(n, m) }()
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(3500 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(time.Second)

	code, taken, lost := held, 0, 0
	for _, m := range messages {
		if !m.taken() {
			continue
		}
		taken++
		bound := m.sent.Add(m.timeout)
		f, ended := p.final(m.id)
		delivered := false
		for _, c := range all.of(m.id) {
			if !c.answered.IsZero() {
				s.note("%s: 200 %.1f ms after its time", m.id, float64(c.answered.Sub(bound).Microseconds())/1000)
				// A time limit on sockets is 50 ms longer.
				delivered = delivered || c.answered.Before(bound.Add(50*time.Millisecond))
			}
		}
		// A final answer up to half a second after the time only earns nothing.
		if !delivered && (!ended || f.at.After(bound.Add(500*time.Millisecond))) {
			s.note("BROKEN: %s was taken on after %.1f ms, and neither delivered in time nor ended", m.id,
				float64(m.answered.Sub(m.sent).Microseconds())/1000)
			lost++
			code = broken
		}
	}
	s.note("%d of %d messages were taken on, %d of them lost", taken, len(messages), lost)
	fmt.Printf("%d of %d messages were taken on, %d of them lost\n", taken, len(messages), lost)
	if taken == 0 {
		return couldNot, fmt.Errorf("no message was taken on")
	}
	return code, nil
}
