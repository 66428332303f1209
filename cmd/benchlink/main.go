// Command benchlink lets the decisions run on the bench's wire, over standard input and output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"chuteweir.example/chuteweir/internal/benchwire"
	"chuteweir.example/chuteweir/rules"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	reader := benchwire.NewReader(bufio.NewReaderSize(in, 1<<16))
	writer := benchwire.NewWriter(out)
	host := host{senders: map[benchwire.Instance]*rules.Sender{}}
	for {
		batch, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for _, turn := range host.turns(batch.Records) {
			if err := writer.Add(turn.who, turn.sender.Decide(batch.Now, turn.events)); err != nil {
				return err
			}
		}
		if err := writer.Flush(batch.Number); err != nil {
			return err
		}
	}
}

// host keeps one sender for each instance; the senders share nothing.
type host struct {
	senders map[benchwire.Instance]*rules.Sender
}

// turn is what one instance has to answer in a batch.
type turn struct {
	who    benchwire.Instance
	sender *rules.Sender
	events []rules.Event
}

// turns sorts a batch by instance, in order of first mention. What came before a Destroyed dies with it.
func (h *host) turns(records []benchwire.Record) []*turn {
	var turns []*turn
	open := map[benchwire.Instance]*turn{}
	for _, rec := range records {
		t := open[rec.Instance]
		if t == nil {
			t = &turn{who: rec.Instance, sender: h.senders[rec.Instance]}
			open[rec.Instance] = t
			turns = append(turns, t)
		}
		switch what := rec.What.(type) {
		case benchwire.Created:
			t.sender, t.events = rules.New(what.Seed, what.Settings), nil
		case benchwire.Destroyed:
			t.sender, t.events = nil, nil
		case rules.Event:
			t.events = append(t.events, what)
		}
		h.senders[rec.Instance] = t.sender
	}
	live := turns[:0]
	for _, t := range turns {
		if t.sender != nil {
			live = append(live, t)
		}
	}
	return live
}
