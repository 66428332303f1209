package gateway

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
)

// Site is a destination with the faults that strike it: what comes of each call is decided here, for stand-ins on
// sockets and in simulated time alike. It is not safe for use by several goroutines.
type Site struct {
	*scenario.Destination
	Core *Gateway
	// Struck tells whether an outage is on; Seen the senders that saw a call fail or be refused in it.
	Struck bool
	Seen   map[int]bool

	world *scenario.World
	draw  *rand.Rand
}

// NewSite makes a destination of a world.
func NewSite(w *scenario.World, d *scenario.Destination) *Site {
	s := w.Settings
	site := &Site{Destination: d, Seen: map[int]bool{}, world: w, draw: scenario.Chance(w.Seed, scenario.StreamGateways+uint64(d.Number))}
	site.Core = New(d.Group.Shape, Back{ColdFrom: s.ColdFrom, Warm: s.WarmWithin, Fall: s.Fall, Multiple: s.TipMultiple}, site.draw)
	return site
}

// Outage tells whether a fault is an outage: down, silent, hung, shut, or most calls failing.
func Outage(f scenario.Fault) bool {
	switch f.Kind {
	case scenario.Refuse, scenario.Shut, scenario.Hang, scenario.Silent, scenario.NeverUp:
		return true
	case scenario.Errors, scenario.ResetBefore, scenario.ResetAfter:
		return f.Share >= 0.5 && f.Grade == ""
	}
	return false
}

// Blind tells whether a fault keeps a destination from seeing who tries: all may have.
func Blind(f scenario.Fault) bool {
	return f.Kind == scenario.Refuse || f.Kind == scenario.Silent || f.Kind == scenario.NeverUp
}

// NextOutage is the next time after at at which an outage begins or ends, or -1.
func (s *Site) NextOutage(at rules.Millis) rules.Millis {
	next := rules.Millis(-1)
	for _, f := range s.Faults {
		if n := f.Next(at); Outage(f) && n >= 0 && (next < 0 || n < next) {
			next = n
		}
	}
	return next
}

// StepOutage notes what outages act from a time on.
func (s *Site) StepOutage(at rules.Millis) {
	on := false
	for _, f := range s.Faults {
		if !Outage(f) || !f.Active(at) {
			continue
		}
		on = true
		if Blind(f) {
			for sender := range s.world.Senders {
				s.Seen[sender] = true
			}
		}
	}
	if s.Struck && !on {
		s.Core.Returned(at)
	}
	s.Struck = on
}

// Active is the fault of a kind that acts at a time.
func (s *Site) Active(kind string, now rules.Millis) (scenario.Fault, bool) {
	for _, f := range s.Faults {
		if f.Kind == kind && f.Active(now) {
			return f, true
		}
	}
	return scenario.Fault{}, false
}

// Strike draws whether a fault strikes a call of a grade, -1 for any.
func (s *Site) Strike(kind string, grade int, now rules.Millis) (scenario.Fault, bool) {
	f, on := s.Active(kind, now)
	if !on {
		return f, false
	}
	names := s.world.Names.Grades
	if f.Grade != "" && (grade < 0 || grade >= len(names) || names[grade] != f.Grade) {
		return f, false
	}
	return f, f.Share >= 1 || s.draw.Float64() < f.Share
}

// Fate is what happens to a call.
type Fate struct {
	Status  int
	Fields  []string // header lines of the answer
	Raw     string   // in place of an answer: these bytes, which can't be used
	At      rules.Millis
	Wait    rules.Millis // told
	Slow    bool         // the answer comes at a byte a second
	Spoilt  bool
	Never   bool // there is no answer
	Reset   bool // the connection is reset
	Ran     bool // it took effect
	Unseen  bool // lost before it was looked at
	Fell    bool // by this call the destination fell over
	Fault   string
	Told    bool // what is left of the limit, and the limit in calls a second
	Left    float64
	LimitIs float64
}

// Decide says what happens to a call of a grade that a sender's connection brought whole; below 0: not known.
func (s *Site) Decide(now rules.Millis, sender, grade int) Fate {
	for _, kind := range []string{scenario.Shut, scenario.Hang, scenario.ResetAfter, scenario.Errors, scenario.Spoilt} {
		if _, struck := s.Strike(kind, grade, now); !struck {
			continue
		}
		if s.Struck {
			s.Seen[sender] = true
		}
		f := Fate{At: now, Fault: kind}
		switch kind {
		case scenario.Shut:
			f.Status = 503
		case scenario.Hang:
			f.Never, f.Ran = true, true
		case scenario.ResetAfter:
			f.Reset, f.Ran = true, s.draw.Float64() < 0.5
		case scenario.Errors:
			f.Status, f.Ran = 500, s.draw.Float64() < 0.5
		case scenario.Spoilt:
			f.Raw, f.Status = spoil(s.draw)
			f.Ran, f.Spoilt = true, true
		}
		return f
	}
	part, slower := 1.0, 1.0
	if f, on := s.Active(scenario.LowLimit, now); on {
		part = f.Size
	}
	if f, struck := s.Strike(scenario.Slow, grade, now); struck {
		slower = f.Size
	}
	_, dribbles := s.Strike(scenario.Dribble, grade, now)
	v := s.Core.Arrive(max(now, 0), sender, part, slower)
	f := Fate{At: v.Ends, Slow: dribbles, Fell: v.Fell}
	if dribbles {
		f.Fault = scenario.Dribble
	}
	switch {
	case v.Down:
		f.Reset, f.Unseen, f.At, f.Fault = true, true, now, "fallen over"
	case v.Refused:
		f.Status, f.Wait, f.At = 503, v.Wait, now
		if v.Wait > 0 {
			f.Status = 429
			f.Fields = append(f.Fields, "Retry-After: "+strconv.FormatFloat(float64(v.Wait)/1000, 'f', 3, 64))
		}
	default:
		f.Status, f.Ran = 200, true
	}
	names := s.world.Names.Report
	if f.Left, f.LimitIs, f.Told = s.Core.Report(max(now, 0), part); f.Told && len(names) == 2 {
		f.Fields = append(f.Fields, fmt.Sprintf("Server-Load: %s=%.3f,%s=%.3f", names[0], f.Left, names[1], f.LimitIs))
	} else {
		f.Told = false
	}
	return f
}

// SeenBy copies the senders that saw the present outage.
func (s *Site) SeenBy() map[int]bool {
	seen := map[int]bool{}
	for sender := range s.Seen {
		seen[sender] = true
	}
	return seen
}

// spoil makes an answer that can't be used, with the status that its first line still tells whole, or 0.
func spoil(draw *rand.Rand) (raw string, status int) {
	switch draw.IntN(7) {
	case 0:
		return "\x00\xff\x13 no HTTP at all\r\n\r\n", 0
	case 1:
		return "HTTP/1.1 200 OK\r\nContent-Length: 12, 13\r\n\r\n", 200
	case 2:
		return "HTTP/1.1 500 Oops\r\nContent-Length: -5\r\n\r\n", 500
	case 3:
		return "HTTP/1.1 503 Full\r\nA: " + string(make([]byte, 9000)), 503
	case 4:
		return "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmuch", 200
	case 5:
		return "HTTP/1.1 4", 0
	}
	return "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 503
}
