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

// Platform tells the list of receivers and takes the notices of ends. It has an address for each sender.
type Platform struct {
	stage    *Stage
	gateways *Gateways

	mu        sync.Mutex
	revision  int64
	members   map[string]directory.Member
	changed   map[string]int64 // the revision of each member's last change, of those gone too
	wake      chan struct{}
	addresses []string
	servers   []*http.Server
	// Ended is told of each end that a sender told; it must not wait.
	Ended func(sender int, e directory.End)
	// Answer may answer a request in place of the platform, for tests; it returns whether it did.
	Answer func(sender int, w http.ResponseWriter, r *http.Request, body []byte) bool
}

// NewPlatform opens a platform for a number of senders and lists the gateways' receivers.
func NewPlatform(s *Stage, g *Gateways, senders int) (*Platform, error) {
	p := &Platform{stage: s, gateways: g, members: map[string]directory.Member{}, changed: map[string]int64{}, wake: make(chan struct{})}
	for _, d := range s.World.Destinations {
		for _, id := range d.Receivers {
			p.members[id] = p.member(d, id, "ready")
			p.changed[id] = 1
		}
	}
	p.revision = 1
	for sender := range senders {
		if err := p.Listen(sender, s.Free()); err != nil {
			return nil, err
		}
	}
	go p.followScript()
	return p, nil
}

// Listen gives a sender one more address; Address tells the last one.
func (p *Platform) Listen(sender int, address string) error {
	l, err := p.stage.Listen()
	if address != "" && err == nil {
		l.Close()
		l, err = listenOn(address)
	}
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(sender, w, r) })}
	p.mu.Lock()
	for len(p.addresses) <= sender {
		p.addresses = append(p.addresses, "")
	}
	p.addresses[sender] = l.Addr().String()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	go server.Serve(l)
	go func() { <-p.stage.done; server.Close() }()
	return nil
}

// Address is where a sender finds the platform.
func (p *Platform) Address(sender int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[sender]
}

func (p *Platform) member(d *scenario.Destination, id, phase string) directory.Member {
	m := directory.Member{ID: id, HostPort: p.gateways.Address(id), Flavor: d.Group.Kind, Cell: int64(d.Number), Phase: phase,
		Size: d.Group.Shape.Limit}
	if zones := p.stage.World.Names.Zones; len(zones) > 0 {
		m.Locality = zones[0]
	}
	return m
}

// List is the whole list.
func (p *Platform) List() directory.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.since(0)
}

// since is what changed after a revision, or with 0 the whole list.
func (p *Platform) since(revision int64) directory.List {
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

// Change puts members into the list and wakes those that watch it.
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

func (p *Platform) active(kind string) (scenario.Fault, bool) {
	now := p.stage.Clock.Now()
	for _, f := range p.stage.World.Faults {
		if f.Kind == kind && f.Active(now) {
			return f, true
		}
	}
	return scenario.Fault{}, false
}

func (p *Platform) serve(sender int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if p.Answer != nil && p.Answer(sender, w, r, body) {
		return
	}
	if f, on := p.active(scenario.ListSilent); on && r.Method == "GET" {
		select {
		case <-r.Context().Done():
		case <-time.After(max(p.stage.Clock.Until(f.Until()), 0)):
		}
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.Method == "POST" && r.URL.Path == "/v2/finals":
		p.takeEnds(sender, w, body)
	case r.Method == "GET" && r.URL.Path == "/discovery/hosts":
		p.tell(sender, w, r)
	default:
		w.WriteHeader(404)
	}
}

func (p *Platform) takeEnds(sender int, w http.ResponseWriter, body []byte) {
	if _, on := p.active(scenario.EndsRefused); on {
		p.stage.Record.Shut(audit.Shut{Sender: sender, At: p.stage.Clock.Now()})
		w.WriteHeader(500)
		return
	}
	var ends []directory.End
	for lines := bufio.NewScanner(newReader(body)); lines.Scan(); {
		var e directory.End
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil || e.Message == "" ||
			e.Outcome != directory.GivenUp && e.Outcome != directory.HandedBack {
			w.WriteHeader(400)
			return
		}
		ends = append(ends, e)
	}
	for _, e := range ends {
		p.stage.Record.End(audit.End{ID: e.Message, Outcome: e.Outcome, Sender: sender, At: p.stage.Clock.Now()})
	}
	w.WriteHeader(204)
	if p.Ended != nil {
		for _, e := range ends {
			p.Ended(sender, e)
		}
	}
}

func (p *Platform) tell(sender int, w http.ResponseWriter, r *http.Request) {
	if _, on := p.active(scenario.ListGarbage); on {
		p.stage.sleep(50 * time.Millisecond)
		io.WriteString(w, `{"revision":9,"complete":true,"members":[{"id":"x","phase":`)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	p.mu.Lock()
	wake, known := p.wake, from > 0 && from <= p.revision
	wait := known && from == p.revision && hold > 0
	p.mu.Unlock()
	if wait {
		select {
		case <-wake:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-p.stage.done:
			return
		}
	}
	p.mu.Lock()
	if !known {
		from = 0
	}
	list := p.since(from)
	p.mu.Unlock()
	text, _ := json.Marshal(list)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	// What is told counts as told once it is written.
	if _, err := w.Write(text); err != nil {
		return
	}
	http.NewResponseController(w).Flush()
	at := p.stage.Clock.Now()
	for _, m := range list.Members {
		p.stage.Record.Told(audit.Told{Receiver: m.ID, Standing: m.Phase, Sender: sender, At: at})
	}
}

// step is a change of receivers at a time of the script.
type step struct {
	at  rules.Millis
	run func()
}

// followScript drains, replaces and removes receivers.
func (p *Platform) followScript() {
	var steps []step
	late := p.stage.World.ListDelay
	for _, d := range p.stage.World.Destinations {
		for n, f := range d.Faults {
			old := d.Receivers
			fresh := make([]string, len(old))
			for i, id := range old {
				fresh[i] = fmt.Sprintf("%s+%d", id, n+1)
			}
			list := func(ids []string, phase string) {
				var members []directory.Member
				for _, id := range ids {
					members = append(members, p.member(d, id, phase))
				}
				p.Change(members...)
			}
			open := func() {
				for _, id := range fresh {
					p.gateways.Open(id, d.Number)
				}
			}
			gone := func() {
				for _, id := range old {
					p.gateways.Gone(id)
				}
			}
			switch f.Kind {
			case scenario.Drain:
				steps = append(steps, step{f.At, open}, step{f.At + late, func() { list(old, "draining"); list(fresh, "ready") }},
					step{f.Until(), func() { list(old, "gone") }}, step{f.Until() + late + 1500, gone})
			case scenario.Vanish:
				steps = append(steps, step{f.At, gone}, step{f.At + late, func() { list(old, "gone") }},
					step{f.Until(), open}, step{f.Until() + late, func() { list(fresh, "ready") }})
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	for _, s := range steps {
		if !p.stage.at(s.at) {
			return
		}
		s.run()
	}
}
