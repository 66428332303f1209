// Command 2 plays bad clients that send hundreds of requests at once, with the ids of other clients' open requests, and go, beside
// usual clients. It looks for requests of the usual ones that were forwarded while their connections were closed with no answer.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chuteweir.example/review/stage"
)

const (
	badClients = 300
	atOnce     = 380 // requests of a bad client
	goes       = 300 * time.Millisecond
	usual      = 12
	every      = 100 * time.Millisecond
	openOnes   = 20 // requests that stay open
	openFor    = 14 * time.Second
	playTime   = 85 * time.Second // at most: it ends once enough has been seen
	enough     = 3
	left       = 3000 // ms, of a usual client's message
)

func main() { stage.Main(play) }

func play(s *stage.Stage) (int, error) {
	var mu sync.Mutex
	forwarded := map[string]bool{}
	takes, err := s.NewReceiver("takes", 1, func(c stage.Call) bool {
		mu.Lock()
		forwarded[c.ID] = true
		mu.Unlock()
		s.Say("receiver: call %s", c.ID)
		time.Sleep(20 * time.Millisecond)
		_, err := c.Conn.Write(stage.Answer(200, ""))
		return err == nil
	})
	if err != nil {
		return 0, err
	}
	drains, err := s.NewReceiver("drains", 2, func(stage.Call) bool { return false })
	if err != nil {
		return 0, err
	}
	drains.Member.Phase = "draining" // what is for destination 2 stays open until its time is up
	p, err := s.NewPlatform([]stage.Member{takes.Member, drains.Member})
	if err != nil {
		return 0, err
	}
	listen, err := stage.FreeAddress()
	if err != nil {
		return 0, err
	}
	setup := stage.SmallDeployment(listen, p.Address, p.List())
	setup.Limits["memory_mb"] = 64
	n, err := s.NewSender(setup)
	if err != nil {
		return 0, err
	}
	if err := n.Start(); err != nil {
		return 0, err
	}
	end := time.Now().Add(playTime)
	var closed []string
	lost := func() (n int) {
		mu.Lock()
		defer mu.Unlock()
		for _, id := range closed {
			if forwarded[id] {
				n++
			}
		}
		return n
	}
	goesOn := func() bool { return time.Now().Before(end) && lost() < enough }
	var all sync.WaitGroup
	var bad atomic.Int64
	if s.Trouble {
		var sent atomic.Pointer[[]byte]
		open := func(generation int) error {
			var ids []string
			for i := range openOnes {
				id := fmt.Sprintf("open-%d-%d", generation, i)
				status, err := stage.HandIn(listen, id, "status", 2, 20_000, nil)
				if err != nil {
					return err
				}
				s.Say("usual client: %s, which stays open, answered %d", id, status)
				ids = append(ids, id)
			}
			var all []byte
			for i := range atOnce {
				all = append(all, stage.Request(ids[i%openOnes], "status", 2, 20_000, nil)...)
			}
			sent.Store(&all)
			return nil
		}
		if err := open(0); err != nil {
			return 0, err
		}
		go func() {
			for g := 1; goesOn(); g++ {
				time.Sleep(openFor)
				open(g)
			}
		}()
		for range badClients {
			all.Add(1)
			go func() {
				defer all.Done()
				for goesOn() {
					c, err := net.DialTimeout("tcp", listen, time.Second)
					if err != nil {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					bad.Add(1)
					c.SetDeadline(time.Now().Add(3 * time.Second))
					go io.Copy(io.Discard, c) // it reads what it is sent
					c.Write(*sent.Load())
					time.Sleep(goes)
					c.(*net.TCPConn).SetLinger(0) // and goes as a process that dies: its connection is reset
					c.Close()
				}
			}()
		}
	}
	var answered, unanswered atomic.Int64
	for k := range usual {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := 0; goesOn(); i++ {
				time.Sleep(every)
				id := fmt.Sprintf("usual-%d-%d", k, i)
				c, err := net.DialTimeout("tcp", listen, time.Second)
				if err != nil {
					continue
				}
				began := time.Now()
				c.SetDeadline(began.Add(stage.Patience))
				if _, err = c.Write(stage.Request(id, "order", 1, left, []byte(id))); err == nil {
					var a *http.Response
					if a, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
						a.Body.Close()
						answered.Add(1)
						s.Say("usual client %d: %s answered %d after %v", k, id, a.StatusCode, time.Since(began))
						c.Close()
						continue
					}
				}
				c.Close()
				if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
					unanswered.Add(1)
					s.Say("usual client %d: %s has no answer after %v", k, id, stage.Patience)
					continue
				}
				s.Say("usual client %d: the connection of %s was closed with no answer after %v: %v", k, id, time.Since(began), err)
				mu.Lock()
				closed = append(closed, id)
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	time.Sleep(left*time.Millisecond + time.Second)
	s.Say("sender: %s", n.Counters())
	if n.Ended() {
		return 0, fmt.Errorf("the sender has ended:\n%s", n.Log())
	}
	mu.Lock()
	for _, id := range closed {
		if forwarded[id] {
			s.Say("lost: %s was forwarded, and its client's connection was closed with no answer", id)
		}
	}
	mu.Unlock()
	s.Tell("%d connections of bad clients; usual clients: %d requests answered, %d waited for in vain, %d connections closed with no "+
		"answer, %d of these requests were forwarded", bad.Load(), answered.Load(), unanswered.Load(), len(closed), lost())
	if answered.Load() < 20 {
		return 0, fmt.Errorf("only %d requests were answered", answered.Load())
	}
	if lost() > 0 {
		return stage.Broken, nil
	}
	return stage.Held, nil
}
