// Command 3 plays clients that send many commands at once on a connection, and looks for commands that were forwarded while their
// clients' connections were closed with no answer.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"chuteweir.example/review/stage"
)

const (
	connections = 5
	commands    = 16
	size        = 8 << 10 // of a command's body
	timeout     = 8000    // ms
)

func main() { stage.Main(play) }

func play(s *stage.Stage) (int, error) {
	var mu sync.Mutex
	forwarded, delivered := map[string]bool{}, map[string]bool{}
	r, err := s.NewReceiver("r1", 1, func(c stage.Call) bool {
		mu.Lock()
		forwarded[c.ID] = true
		mu.Unlock()
		s.Say("receiver: call %s, %d bytes", c.ID, len(c.Body))
		time.Sleep(20 * time.Millisecond)
		if _, err := c.Conn.Write(stage.Answer(200, "")); err != nil {
			return false
		}
		mu.Lock()
		delivered[c.ID] = true
		mu.Unlock()
		return true
	})
	if err != nil {
		return 0, err
	}
	p, err := s.NewPlatform([]stage.Member{r.Member})
	if err != nil {
		return 0, err
	}
	listen, err := stage.FreeAddress()
	if err != nil {
		return 0, err
	}
	n, err := s.NewSender(stage.SmallDeployment(listen, p.Address, p.List()))
	if err != nil {
		return 0, err
	}
	if err := n.Start(); err != nil {
		return 0, err
	}
	answers, left := map[string]int{}, 0 // left: commands whose client has waited in vain and gone
	var written []string
	for k := range connections {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			return 0, err
		}
		var ids []string
		var requests [][]byte
		for i := range commands {
			id := fmt.Sprintf("c%d-%d", k, i)
			ids = append(ids, id)
			requests = append(requests, stage.Request(id, "order", 1, timeout, make([]byte, size)))
		}
		reader := bufio.NewReader(c)
		gone := false // the client has, as its time was over
		read := func(id string) bool {
			a, err := http.ReadResponse(reader, nil)
			if err != nil {
				var late net.Error
				gone = errors.As(err, &late) && late.Timeout()
				s.Say("client %d: no answer to %s: %v", k, id, err)
				return false
			}
			a.Body.Close()
			answers[id] = a.StatusCode
			s.Say("client %d: %s answered %d", k, id, a.StatusCode)
			return true
		}
		if s.Trouble {
			var all []byte
			for _, b := range requests {
				all = append(all, b...)
			}
			c.SetDeadline(time.Now().Add(stage.Patience))
			sent, err := c.Write(all)
			s.Say("client %d: %d commands at once, %d of %d bytes written, %v", k, commands, sent, len(all), err)
			for i, b := range requests {
				if sent -= len(b); sent >= 0 {
					written = append(written, ids[i])
				}
			}
			for i, id := range ids {
				if read(id) {
					continue
				}
				if gone {
					left += len(ids) - i
					written = written[:len(written)-min(len(written), len(ids)-i)]
				}
				break
			}
		} else {
			for i, b := range requests {
				c.SetDeadline(time.Now().Add(stage.Patience))
				if _, err := c.Write(b); err != nil {
					return 0, err
				}
				written = append(written, ids[i])
				if !read(ids[i]) {
					break
				}
			}
		}
		c.Close()
		time.Sleep(time.Second)
	}
	time.Sleep(timeout*time.Millisecond + time.Second)
	s.Say("sender: %s", n.Counters())
	if n.Ended() {
		return 0, fmt.Errorf("the sender has ended:\n%s", n.Log())
	}
	mu.Lock()
	defer mu.Unlock()
	unanswered, lost := 0, 0
	for _, id := range written {
		if answers[id] != 0 {
			continue
		}
		unanswered++
		s.Say("%s was written whole and never answered; forwarded: %v, delivered: %v", id, forwarded[id], delivered[id])
		if forwarded[id] {
			lost++
		}
	}
	s.Tell("%d commands written whole, %d answered, %d waited for in vain, %d never answered as their connection was closed, "+
		"%d of these were forwarded", len(written)+left, len(answers), left, unanswered, lost)
	if len(written) < connections*commands/4 {
		return 0, fmt.Errorf("only %d commands were written", len(written))
	}
	if lost > 0 {
		return stage.Broken, nil
	}
	return stage.Held, nil
}
