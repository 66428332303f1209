package gateway

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
)

// Site is a destination with the faults that affect it. It decides the outcome of each call, for the stand-ins on
// sockets as well as in simulated time. It is not safe for concurrent use.
type Site struct {
	*scenario.Destination
	Gateway *Gateway // decides the calls that no fault fails
	// OutageActive reports whether an outage is active. SawOutage holds the senders that may have noticed an outage:
	// those with a failed or refused call, or all of them if the destination can't see who tries.
	OutageActive bool
	SawOutage    map[int]bool

	instance *scenario.Instance
	rng      *rand.Rand
}

// NewSite creates the site of one destination of a scenario's instance.
func NewSite(instance *scenario.Instance, d *scenario.Destination) *Site {
	s := instance.Settings
	site := &Site{Destination: d, SawOutage: map[int]bool{}, instance: instance,
		rng: scenario.NewRand(instance.Seed, scenario.StreamGateways+uint64(d.Number))}
	site.Gateway = New(d.Group.Profile, RecoveryProfile{ColdShare: s.ColdCapacity, WarmUp: s.WarmUpTime,
		OverloadWindow: s.OverloadTime, OverloadMultiple: s.OverloadFactor}, site.rng)
	return site
}

// Outage reports whether a fault is an outage: the destination is unreachable, does not respond, refuses all calls, or
// at least half of the calls fail in all grades.
func Outage(f scenario.Fault) bool {
	switch f.Kind {
	case scenario.Refuse, scenario.Shut, scenario.Hang, scenario.Silent, scenario.NeverUp:
		return true
	case scenario.Errors, scenario.ResetBefore, scenario.ResetAfter:
		return f.Share >= 0.5 && f.Grade == ""
	}
	return false
}

// HidesCallers reports whether a destination can't see which senders try to reach it during a fault. Any sender may
// have noticed such a fault.
func HidesCallers(f scenario.Fault) bool {
	return f.Kind == scenario.Refuse || f.Kind == scenario.Silent || f.Kind == scenario.NeverUp
}

// NextOutage returns the first time after at when an outage starts or ends, or -1 if there is none.
func (s *Site) NextOutage(at rules.Millis) rules.Millis {
	next := rules.Millis(-1)
	for _, f := range s.Faults {
		if n := f.Next(at); Outage(f) && n >= 0 && (next < 0 || n < next) {
			next = n
		}
	}
	return next
}

// UpdateOutage updates the outage state for a time. The end of the last active outage makes the destination cold.
func (s *Site) UpdateOutage(at rules.Millis) {
	active := false
	for _, f := range s.Faults {
		if !Outage(f) || !f.Active(at) {
			continue
		}
		active = true
		if HidesCallers(f) {
			for sender := range s.instance.Senders {
				s.SawOutage[sender] = true
			}
		}
	}
	if s.OutageActive && !active {
		s.Gateway.EndOutage(at)
	}
	s.OutageActive = active
}

// Active returns the first fault of a kind that acts at a time.
func (s *Site) Active(kind string, now rules.Millis) (scenario.Fault, bool) {
	for _, f := range s.Faults {
		if f.Kind == kind && f.Active(now) {
			return f, true
		}
	}
	return scenario.Fault{}, false
}

// DrawFault decides at random whether a fault of a kind affects a call of a grade. A grade below 0 is unknown: only
// faults that affect all grades affect such a call.
func (s *Site) DrawFault(kind string, grade int, now rules.Millis) (scenario.Fault, bool) {
	f, active := s.Active(kind, now)
	if !active {
		return f, false
	}
	names := s.instance.Names.Grades
	if f.Grade != "" && (grade < 0 || grade >= len(names) || names[grade] != f.Grade) {
		return f, false
	}
	return f, f.Share >= 1 || s.rng.Float64() < f.Share
}

// CallOutcome is what happens to a call, with the faults of the destination taken into account.
type CallOutcome struct {
	Status         int
	HeaderLines    []string     // header lines of the response
	Raw            string       // malformed bytes that are sent instead of a response
	At             rules.Millis // when the response is due
	Wait           rules.Millis // requested wait; 0: none
	Dribbled       bool         // the response is sent at one byte a second
	Malformed      bool         // the response is malformed
	NoResponse     bool         // there is no response
	Reset          bool         // the connection is reset
	TookEffect     bool         // the call took effect
	LostUnread     bool         // the call is lost before it is read
	CausedOverload bool         // this call overloaded the destination
	Fault          string       // kind of the fault that decided the outcome; empty: none
	LimitReported  bool         // the response reports LimitRemaining and Limit
	LimitRemaining float64      // remaining share of the limit
	Limit          float64      // limit in calls a second
}

// Decide returns the outcome of a call that was read completely from a sender's connection. A grade below 0 is unknown.
func (s *Site) Decide(now rules.Millis, sender, grade int) CallOutcome {
	for _, kind := range []string{scenario.Shut, scenario.Hang, scenario.ResetAfter, scenario.Errors,
		scenario.Malformed} {
		if _, affected := s.DrawFault(kind, grade, now); !affected {
			continue
		}
		if s.OutageActive {
			s.SawOutage[sender] = true
		}
		outcome := CallOutcome{At: now, Fault: kind}
		switch kind {
		case scenario.Shut:
			outcome.Status = 503
		case scenario.Hang:
			outcome.NoResponse, outcome.TookEffect = true, true
		case scenario.ResetAfter:
			outcome.Reset, outcome.TookEffect = true, s.rng.Float64() < 0.5
		case scenario.Errors:
			outcome.Status, outcome.TookEffect = 500, s.rng.Float64() < 0.5
		case scenario.Malformed:
			outcome.Raw, outcome.Status = malformedResponse(s.rng)
			outcome.TookEffect, outcome.Malformed = true, true
		}
		return outcome
	}
	limitShare, slowdown := 1.0, 1.0
	if f, active := s.Active(scenario.LowLimit, now); active {
		limitShare = f.Size
	}
	if f, affected := s.DrawFault(scenario.Slow, grade, now); affected {
		slowdown = f.Size
	}
	_, dribbles := s.DrawFault(scenario.Dribble, grade, now)
	response := s.Gateway.Arrive(max(now, 0), sender, limitShare, slowdown)
	outcome := CallOutcome{At: response.DueAt, Dribbled: dribbles, CausedOverload: response.CausedOverload}
	if dribbles {
		outcome.Fault = scenario.Dribble
	}
	switch {
	case response.Overloaded:
		outcome.Reset, outcome.LostUnread, outcome.At, outcome.Fault = true, true, now, "overloaded"
	case response.Refused:
		outcome.Status, outcome.Wait, outcome.At = 503, response.RetryAfter, now
		if response.RetryAfter > 0 {
			outcome.Status = 429
			outcome.HeaderLines = append(outcome.HeaderLines,
				"Retry-After: "+strconv.FormatFloat(float64(response.RetryAfter)/1000, 'f', 3, 64))
		}
	default:
		outcome.Status, outcome.TookEffect = 200, true
	}
	reportFields := s.instance.Names.LoadReportFields
	if outcome.LimitRemaining, outcome.Limit, outcome.LimitReported = s.Gateway.Report(max(now, 0),
		limitShare); outcome.LimitReported &&
		len(reportFields) == 2 {
		outcome.HeaderLines = append(outcome.HeaderLines, fmt.Sprintf("Server-Load: %s=%.3f,%s=%.3f",
			reportFields[0], outcome.LimitRemaining, reportFields[1], outcome.Limit))
	} else {
		outcome.LimitReported = false
	}
	return outcome
}

// SendersThatSawOutage returns a copy of the set of senders that may have noticed an outage.
func (s *Site) SendersThatSawOutage() map[int]bool {
	seen := map[int]bool{}
	for sender := range s.SawOutage {
		seen[sender] = true
	}
	return seen
}

// malformedResponse returns a random malformed response, and the status if its status line is complete, else 0.
func malformedResponse(rng *rand.Rand) (raw string, status int) {
	switch rng.IntN(7) {
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
