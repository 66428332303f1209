package trial

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/results"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Share is what a part of the notices came to.
type Share = results.Share

// Times is a spread of times in milliseconds.
type Times = results.Times

// Result is how a run went. Figures are of stand-ins on one machine's loopback.
type Result struct {
	Scenario   string                  `json:"scenario"`
	Seed       uint64                  `json:"seed"`
	Senders    int                     `json:"senders"`
	Seconds    float64                 `json:"seconds"`
	All        Share                   `json:"all"`
	Grades     []Share                 `json:"grades"`
	Well, Sick Share                   // by whether a fault strikes the destination in the run
	Handed     int                     `json:"handed"` // hand-ins, again and again counted
	Taken      int                     `json:"taken"`
	Refused    int                     `json:"refused"`    // answered 429 or 503
	Unanswered int                     `json:"unanswered"` // within the clients' patience
	Dismissed  int                     `json:"dismissed"`  // handed back by a notice of ends
	BrokenOff  int                     `json:"broken_off"`
	Calls      int                     `json:"calls"`
	CallsFull  int                     `json:"calls_full"`
	Further    int                     `json:"further"`        // calls for a notice beyond its first that a gateway saw
	Falls      int                     `json:"falls"`          // destinations that fell over on their return
	Second     int                     `json:"second_effects"` // of at-most-once notices
	Answers    Times                   `json:"answers_ms"`
	Turns      []Turn                  `json:"breaker_turns"`
	Held       []Point                 `json:"held"`
	CPU        float64                 `json:"cpu_us_a_notice"` // of all senders, for each notice wanted
	PeakRSS    int64                   `json:"peak_rss"`
	PeakFDs    int                     `json:"peak_descriptors"`
	LateOffers int                     `json:"late_offers"` // handed in over 10 ms after their time: the machine was too busy
	Bad        int                     `json:"bad_clients"`
	Breaches   []audit.Breach          `json:"breaches"`
	View       audit.View              `json:"-"`
	World      *scenario.World         `json:"-"`
	Spread     *hdrhistogram.Histogram `json:"-"` // of all deliveries, in microseconds
	StartRSS   int64                   `json:"start_rss"`
}

func (t *trial) result(answers *hdrhistogram.Histogram, handed time.Duration, used time.Duration, until rules.Millis) *Result {
	w := t.stage.World
	r := &Result{Scenario: w.Name, Seed: w.Seed, Senders: w.Senders, Seconds: handed.Seconds(), Answers: results.Spread(answers),
		LateOffers: int(t.clients.Late.Load()), Bad: int(t.clients.Bad.Load()), Breaches: t.breaches(until), World: w, Held: t.held}
	r.View = t.stage.Record.View()
	r.Falls = len(r.View.Falls)
	delivered, ran, calls := map[string]rules.Millis{}, map[string]int{}, map[string]bool{}
	hands := map[string]*audit.Hand{}
	for i := range r.View.Hands {
		hands[r.View.Hands[i].ID] = &r.View.Hands[i]
	}
	for i := range r.View.Calls {
		c := &r.View.Calls[i]
		r.Calls++
		if !c.Spoilt && (c.Status == 429 || c.Status == 503) {
			r.CallsFull++
		}
		h := hands[c.ID]
		if h == nil {
			continue
		}
		if calls[c.ID] {
			r.Further++
		}
		calls[c.ID] = true
		if c.Ran && w.Settings.Grades[h.Grade].Repeat == rules.AtMostOnce {
			if ran[h.Effect]++; ran[h.Effect] > 1 {
				r.Second++
			}
		}
		if at, before := delivered[h.Effect]; c.Delivered && (!before || c.Replied < at) {
			delivered[h.Effect] = c.Replied
		}
	}
	all, well, sick := results.NewTally("all"), results.NewTally("well"), results.NewTally("sick")
	grades := make([]*results.Tally, len(w.Names.Grades))
	for i, name := range w.Names.Grades {
		grades[i] = results.NewTally(name)
	}
	seen, served := map[string]bool{}, 0
	for i := range r.View.Hands {
		h := &r.View.Hands[i]
		r.Handed++
		switch {
		case h.Taken():
			r.Taken++
		case h.Status == 429 || h.Status == 503:
			r.Refused++
		case h.Status == 0:
			r.Unanswered++
		}
		if seen[h.Effect] {
			continue
		}
		seen[h.Effect] = true
		if h.Intended >= t.CPUFrom {
			served++
		}
		at, ok := delivered[h.Effect]
		asked, earned := w.Settings.Grades[h.Grade].Credit, 0.0
		if ok {
			earned = w.Worth(h.Grade, at-h.Intended)
		}
		part := well
		if t.isSick(h.Dest) {
			part = sick
		}
		for _, to := range []*results.Tally{all, grades[h.Grade], part} {
			to.Add(asked, earned, ok, at-h.Intended)
		}
	}
	ended := map[string]bool{}
	for _, e := range r.View.Ends {
		if ended[e.ID] {
			continue
		}
		ended[e.ID] = true
		if e.Outcome == "handed_back" {
			r.Dismissed++
		} else {
			r.BrokenOff++
		}
	}
	r.Spread = all.Spread
	r.All, r.Well, r.Sick = all.Share(), well.Share(), sick.Share()
	for _, g := range grades {
		r.Grades = append(r.Grades, g.Share())
	}
	for _, s := range t.senders {
		s.mu.Lock()
		r.Turns = append(r.Turns, s.turns...)
		r.PeakRSS, r.PeakFDs = max(r.PeakRSS, s.peakRSS), max(r.PeakFDs, s.peakFDs)
		r.StartRSS = max(r.StartRSS, s.startRSS)
		s.mu.Unlock()
	}
	r.PeakRSS, r.PeakFDs = max(r.PeakRSS, t.rss), max(r.PeakFDs, t.fds)
	slices.SortStableFunc(r.Turns, func(a, b Turn) int { return cmp.Compare(a.At, b.At) })
	if served > 0 {
		r.CPU = float64(used.Microseconds()) / float64(served)
	}
	return r
}

// isSick tells whether a destination counts as sick.
func (t *trial) isSick(destination int) bool {
	if t.Sick != nil {
		return t.Sick(destination)
	}
	return len(t.stage.World.Destinations[destination-1].Faults) > 0
}

// Clean tells whether no rule was broken.
func (r *Result) Clean() bool { return len(r.Breaches) == 0 }

// Table writes the result for people.
func (r *Result) Table(out io.Writer) {
	fmt.Fprintf(out, "scenario %s, seed %d, %d senders, %.1f s\n\n", r.Scenario, r.Seed, r.Senders, r.Seconds)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\twanted\tdelivered\tcredit\tp50 ms\tp99 ms\tp99.9 ms")
	rows := append([]Share{r.All}, r.Grades...)
	if r.Sick.Asked > 0 {
		rows = append(rows, r.Well, r.Sick)
	}
	for _, s := range rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\n", s.Name, s.Asked, s.Delivered, s.Credit, s.Delivery.P50, s.Delivery.P99, s.Delivery.P999)
	}
	t.Flush()
	fmt.Fprintf(out, "\nhand-ins %d: taken %d, refused %d, unanswered %d; of those taken, dismissed %d, broken off %d\n",
		r.Handed, r.Taken, r.Refused, r.Unanswered, r.Dismissed, r.BrokenOff)
	fmt.Fprintf(out, "calls %d, turned away %d, %d of them further calls for a notice; second effects of at-most-once notices %d\n",
		r.Calls, r.CallsFull, r.Further, r.Second)
	fmt.Fprintf(out, "answers to clients p50 %.1f ms, p99 %.1f ms; CPU %.0f us a notice, at most %.1f MB and %d descriptors a sender\n",
		r.Answers.P50, r.Answers.P99, r.CPU, float64(r.PeakRSS)/1e6, r.PeakFDs)
	if r.Bad > 0 {
		fmt.Fprintf(out, "bad clients' connections %d\n", r.Bad)
	}
	if r.LateOffers > 0 {
		fmt.Fprintf(out, "%d notices were handed in over 10 ms late: this machine is too busy\n", r.LateOffers)
	}
	for i, f := range r.World.Faults {
		if i == 0 {
			fmt.Fprintln(out)
		}
		var struck []string
		for _, d := range r.World.Destinations {
			if slices.Contains(d.Faults, f) {
				struck = append(struck, fmt.Sprint(d.Number))
			}
		}
		for _, s := range r.World.Struck[i] {
			struck = append(struck, fmt.Sprintf("sender %d", s))
		}
		if len(struck) > 8 {
			struck = append(struck[:8], fmt.Sprintf("and %d more", len(struck)-8))
		}
		fmt.Fprintf(out, "%5.1f to %.1f s  %s %s %s\n", f.At/1000, f.Until()/1000, f.Kind, f.Grade, strings.Join(struck, " "))
	}
	r.breakers(out)
	if r.Clean() {
		fmt.Fprintln(out, "\nall six rules kept")
		return
	}
	fmt.Fprintf(out, "\n%d breaches:\n%s", len(r.Breaches), audit.Tell(r.Breaches))
}

// breakers lists how often each destination's breakers opened, and why first.
func (r *Result) breakers(out io.Writer) {
	type row struct{ opened, closed int }
	rows, why := map[int]*row{}, map[int]Turn{}
	for _, turn := range r.Turns {
		one := rows[turn.Destination]
		if one == nil {
			one = &row{}
			rows[turn.Destination], why[turn.Destination] = one, turn
		}
		switch turn.State {
		case "open":
			one.opened++
		case "closed":
			one.closed++
		}
	}
	if len(rows) == 0 {
		return
	}
	var order []int
	for d := range rows {
		order = append(order, d)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(rows[b].opened-rows[a].opened, a-b) })
	fmt.Fprintln(out)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "destination\topened\tclosed\tfirst at s\tfirst")
	for i, d := range order {
		if i == 12 {
			fmt.Fprintf(t, "%d more\n", len(order)-i)
			break
		}
		fmt.Fprintf(t, "%d\t%d\t%d\t%.1f\t%s: %s\n", d, rows[d].opened, rows[d].closed, why[d].At/1000, why[d].State, why[d].Why)
	}
	t.Flush()
}
