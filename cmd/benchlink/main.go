// Command benchlink connects the decision module to the simulator: it reads batches of events from standard input and
// writes the actions to standard output.
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

// run answers each batch until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := benchwire.NewReader(bufio.NewReaderSize(in, 1<<16))
	writer := benchwire.NewWriter(out)
	senders := senderSet{senders: map[benchwire.Instance]*rules.Sender{}}
	for {
		batch, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for _, group := range senders.groupByInstance(batch.Records) {
			if err := writer.Add(group.instance, group.sender.Decide(batch.Now, group.events)); err != nil {
				return err
			}
		}
		if err := writer.Flush(batch.Number); err != nil {
			return err
		}
	}
}

// senderSet holds the sender of each instance. The senders share no state.
type senderSet struct {
	senders map[benchwire.Instance]*rules.Sender
}

// instanceEvents is the part of a batch that concerns one instance.
type instanceEvents struct {
	instance benchwire.Instance
	sender   *rules.Sender
	events   []rules.Event
}

// groupByInstance groups a batch's records by instance, in the order of their first record. It creates and removes
// senders; the events before a Destroyed are dropped with their sender. Groups without a sender are left out.
func (s *senderSet) groupByInstance(records []benchwire.Record) []*instanceEvents {
	var groups []*instanceEvents
	byInstance := map[benchwire.Instance]*instanceEvents{}
	for _, record := range records {
		group := byInstance[record.Instance]
		if group == nil {
			group = &instanceEvents{instance: record.Instance, sender: s.senders[record.Instance]}
			byInstance[record.Instance] = group
			groups = append(groups, group)
		}
		switch content := record.Content.(type) {
		case benchwire.Created:
			group.sender, group.events = rules.New(content.Seed, content.Settings), nil
		case benchwire.Destroyed:
			group.sender, group.events = nil, nil
		case rules.Event:
			group.events = append(group.events, content)
		}
		s.senders[record.Instance] = group.sender
	}
	live := groups[:0]
	for _, group := range groups {
		if group.sender != nil {
			live = append(live, group)
		}
	}
	return live
}
