package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
)

// Platform serves the receiver list and accepts reports of final outcomes. It has an address for each sender.
type Platform struct {
	env      *Environment
	gateways *Gateways

	mu        sync.Mutex
	revision  int64
	members   map[string]directory.Member
	changed   map[string]int64 // revision of each member's last change, including removed members
	wake      chan struct{}    // closed at the next change of the list
	addresses []string         // last address of each sender
	servers   []*http.Server
	// OnOutcome, if set, is called with each final outcome that a sender reported. It must not block.
	OnOutcome func(sender int, e directory.FinalOutcome)
	// Override, if set, may respond to a request in place of the platform, and returns whether it did. Tests use it.
	Override func(sender int, w http.ResponseWriter, r *http.Request, body []byte) bool
}

// NewPlatform opens a platform for a number of senders, with the gateways' receivers in its list.
func NewPlatform(env *Environment, gateways *Gateways, senders int) (*Platform, error) {
	platform := &Platform{env: env, gateways: gateways, members: map[string]directory.Member{},
		changed: map[string]int64{}, wake: make(chan struct{})}
	for _, d := range env.Instance.Destinations {
		for _, id := range d.Receivers {
			platform.members[id] = platform.newMember(d, id, "ready")
			platform.changed[id] = 1
		}
	}
	platform.revision = 1
	for sender := range senders {
		if err := platform.Listen(sender, env.UnusedAddress()); err != nil {
			return nil, err
		}
	}
	go platform.followFaults()
	return platform, nil
}

// Listen opens one more address for a sender, an unused one if address is empty. Address returns the last one.
func (p *Platform) Listen(sender int, address string) error {
	listener, err := p.env.Listen()
	if address != "" && err == nil {
		listener.Close()
		listener, err = listenOn(address)
	}
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.serve(sender, w, r)
	})}
	p.mu.Lock()
	for len(p.addresses) <= sender {
		p.addresses = append(p.addresses, "")
	}
	p.addresses[sender] = listener.Addr().String()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	go server.Serve(listener)
	go func() { <-p.env.done; server.Close() }()
	return nil
}

// Address returns the address of the platform for a sender.
func (p *Platform) Address(sender int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[sender]
}

// newMember returns the list entry of a receiver in a phase.
func (p *Platform) newMember(d *scenario.Destination, id, phase string) directory.Member {
	m := directory.Member{ID: id, HostPort: p.gateways.Address(id), Flavor: d.Group.Kind, Cell: int64(d.Number),
		Phase: phase, Size: d.Group.Profile.Limit}
	if zones := p.env.Instance.Names.Zones; len(zones) > 0 {
		m.Locality = zones[0]
	}
	return m
}

// List returns the whole receiver list.
func (p *Platform) List() directory.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changesSince(0)
}

// changesSince returns the members that changed after a revision, or the whole list for revision 0.
func (p *Platform) changesSince(revision int64) directory.List {
	list := directory.List{Revision: p.revision, Complete: revision == 0, Members: []directory.Member{}}
	for id, m := range p.members {
		if p.changed[id] > revision && (revision > 0 || m.Phase != "gone") {
			list.Members = append(list.Members, m)
		}
	}
	slices.SortFunc(list.Members, func(a, b directory.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// Change adds or replaces members of the list and wakes the requests that wait for a change.
func (p *Platform) Change(members ...directory.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	for _, m := range members {
		p.members[m.ID], p.changed[m.ID] = m, p.revision
	}
	close(p.wake)
	p.wake = make(chan struct{})
}

// activeFault returns the fault of a kind that is active now, if there is one.
func (p *Platform) activeFault(kind string) (scenario.Fault, bool) {
	now := p.env.Clock.Now()
	for _, f := range p.env.Instance.Faults {
		if f.Kind == kind && f.Active(now) {
			return f, true
		}
	}
	return scenario.Fault{}, false
}

// serve handles a request from a sender.
func (p *Platform) serve(sender int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if p.Override != nil && p.Override(sender, w, r, body) {
		return
	}
	if f, on := p.activeFault(scenario.ListSilent); on && r.Method == "GET" {
		select {
		case <-r.Context().Done():
		case <-time.After(max(p.env.Clock.Until(f.Until()), 0)):
		}
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.Method == "POST" && r.URL.Path == "/v2/finals":
		p.acceptOutcomes(sender, w, body)
	case r.Method == "GET" && r.URL.Path == "/discovery/hosts":
		p.sendList(sender, w, r)
	default:
		w.WriteHeader(404)
	}
}

// acceptOutcomes handles a report of final outcomes, one JSON object a line. It accepts all of them or none.
func (p *Platform) acceptOutcomes(sender int, w http.ResponseWriter, body []byte) {
	if _, on := p.activeFault(scenario.OutcomesRefused); on {
		p.env.Record.ReportRefused(audit.RefusedReport{Sender: sender, At: p.env.Clock.Now()})
		w.WriteHeader(500)
		return
	}
	var outcomes []directory.FinalOutcome
	for lines := bufio.NewScanner(newReader(body)); lines.Scan(); {
		var outcome directory.FinalOutcome
		if err := json.Unmarshal(lines.Bytes(), &outcome); err != nil || outcome.Message == "" ||
			outcome.Outcome != directory.GivenUp && outcome.Outcome != directory.HandedBack {
			w.WriteHeader(400)
			return
		}
		outcomes = append(outcomes, outcome)
	}
	for _, outcome := range outcomes {
		p.env.Record.Outcome(audit.FinalOutcome{ID: outcome.Message, Outcome: outcome.Outcome, Sender: sender,
			At: p.env.Clock.Now()})
	}
	w.WriteHeader(204)
	if p.OnOutcome != nil {
		for _, outcome := range outcomes {
			p.OnOutcome(sender, outcome)
		}
	}
}

// sendList responds with the changes of the receiver list since the revision that the sender names, or with the whole
// list if it names none or one that does not exist yet. If there is no change since, it waits for one as long as the
// sender asks.
func (p *Platform) sendList(sender int, w http.ResponseWriter, r *http.Request) {
	if _, on := p.activeFault(scenario.ListGarbage); on {
		p.env.sleep(50 * time.Millisecond)
		io.WriteString(w, `{"revision":9,"complete":true,"members":[{"id":"x","phase":`)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	holdMS, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	p.mu.Lock()
	wake, known := p.wake, from > 0 && from <= p.revision
	wait := known && from == p.revision && holdMS > 0
	p.mu.Unlock()
	if wait {
		select {
		case <-wake:
		case <-time.After(time.Duration(holdMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-p.env.done:
			return
		}
	}
	p.mu.Lock()
	if !known {
		from = 0
	}
	list := p.changesSince(from)
	p.mu.Unlock()
	text, _ := json.Marshal(list)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	// The audit record counts the list as received once it is written.
	if _, err := w.Write(text); err != nil {
		return
	}
	http.NewResponseController(w).Flush()
	at := p.env.Clock.Now()
	for _, m := range list.Members {
		p.env.Record.Listed(audit.Listing{Receiver: m.ID, Status: m.Phase, Sender: sender, At: at})
	}
}

// step is a change of receivers at a time in the scenario.
type step struct {
	at  rules.Millis
	run func()
}

// followFaults drains, removes and replaces receivers at the times of the scenario's faults.
func (p *Platform) followFaults() {
	var steps []step
	delay := p.env.Instance.ListDelay
	for _, destination := range p.env.Instance.Destinations {
		for index, fault := range destination.Faults {
			old := destination.Receivers
			replacements := make([]string, len(old))
			for i, id := range old {
				replacements[i] = fmt.Sprintf("%s+%d", id, index+1)
			}
			announce := func(ids []string, phase string) {
				var members []directory.Member
				for _, id := range ids {
					members = append(members, p.newMember(destination, id, phase))
				}
				p.Change(members...)
			}
			open := func() {
				for _, id := range replacements {
					p.gateways.Open(id, destination.Number)
				}
			}
			remove := func() {
				for _, id := range old {
					p.gateways.Remove(id)
				}
			}
			switch fault.Kind {
			case scenario.Drain:
				steps = append(steps, step{fault.At, open},
					step{fault.At + delay, func() { announce(old, "draining"); announce(replacements, "ready") }},
					step{fault.Until(), func() { announce(old, "gone") }}, step{fault.Until() + delay + 1500, remove})
			case scenario.Vanish:
				steps = append(steps, step{fault.At, remove}, step{fault.At + delay, func() { announce(old, "gone") }},
					step{fault.Until(), open}, step{fault.Until() + delay, func() { announce(replacements, "ready") }})
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	for _, s := range steps {
		if !p.env.waitUntil(s.at) {
			return
		}
		s.run()
	}
}
