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

// Share summarizes the deliveries of one group of notices.
type Share = results.Share

// Times summarizes a distribution of times in milliseconds.
type Times = results.Times

// Result summarizes a run. All figures are measured with stand-ins on the loopback of one machine.
type Result struct {
	Scenario        string                  `json:"scenario"`
	Seed            uint64                  `json:"seed"`
	Senders         int                     `json:"senders"`
	Seconds         float64                 `json:"seconds"`
	All             Share                   `json:"all"`
	Grades          []Share                 `json:"grades"`
	Well, Sick      Share                   // by whether the destination counts as failing (Options.IsFailing)
	Submitted       int                     `json:"handed"` // submissions, including repeated ones of a notice
	Accepted        int                     `json:"taken"`
	Refused         int                     `json:"refused"`    // submissions answered with 429 or 503
	Unanswered      int                     `json:"unanswered"` // without a final answer within the clients' timeout
	Dismissed       int                     `json:"dismissed"`  // notices whose final outcome is handed_back
	BrokenOff       int                     `json:"broken_off"` // notices with another final outcome
	Calls           int                     `json:"calls"`
	RefusedCalls    int                     `json:"calls_full"`     // calls that a gateway rejected with 429 or 503
	FurtherCalls    int                     `json:"further"`        // calls at gateways beyond each notice's first
	Overloads       int                     `json:"falls"`          // destinations overloaded during recovery
	SecondEffects   int                     `json:"second_effects"` // effects of at-most-once notices beyond the first
	Answers         Times                   `json:"answers_ms"`     // time until the senders' final answers to clients
	BreakerChanges  []BreakerChange         `json:"breaker_turns"`
	Held            []HeldSample            `json:"held"`
	CPU             float64                 `json:"cpu_us_a_notice"` // of all senders, for each wanted notice
	PeakRSS         int64                   `json:"peak_rss"`        // bytes, highest of all senders
	PeakFDs         int                     `json:"peak_descriptors"`
	LateSubmissions int                     `json:"late_offers"` // submitted over 10 ms late: the machine was too busy
	BadClients      int                     `json:"bad_clients"`
	Breaches        []audit.Breach          `json:"breaches"`
	View            audit.View              `json:"-"`
	Instance        *scenario.Instance      `json:"-"`
	Deliveries      *hdrhistogram.Histogram `json:"-"`         // times of all deliveries, in microseconds
	StartRSS        int64                   `json:"start_rss"` // bytes when first ready, highest of all senders
}

// result summarizes the run from the audit record and the measurements of the senders' processes.
func (t *trial) result(responseTimes *hdrhistogram.Histogram, submitDuration time.Duration, cpuTime time.Duration,
	endedAt rules.Millis) *Result {
	instance := t.env.Instance
	result := &Result{Scenario: instance.Name, Seed: instance.Seed, Senders: instance.Senders,
		Seconds: submitDuration.Seconds(), Answers: results.Summarize(responseTimes),
		LateSubmissions: int(t.clients.LateSubmissions.Load()),
		BadClients:      int(t.clients.HostileConnections.Load()), Breaches: t.breaches(endedAt), Instance: instance,
		Held: t.heldSamples}
	result.View = t.env.Record.View()
	result.Overloads = len(result.View.Overloads)
	deliveredAt, effectCounts, called := map[string]rules.Millis{}, map[string]int{}, map[string]bool{}
	submissions := map[string]*audit.Submission{}
	for i := range result.View.Submissions {
		submissions[result.View.Submissions[i].ID] = &result.View.Submissions[i]
	}
	for i := range result.View.Calls {
		call := &result.View.Calls[i]
		result.Calls++
		if !call.Malformed && (call.Status == 429 || call.Status == 503) {
			result.RefusedCalls++
		}
		submission := submissions[call.ID]
		if submission == nil {
			continue
		}
		if called[call.ID] {
			result.FurtherCalls++
		}
		called[call.ID] = true
		if call.Ran && instance.Settings.Grades[submission.Grade].Repeat == rules.AtMostOnce {
			if effectCounts[submission.Effect]++; effectCounts[submission.Effect] > 1 {
				result.SecondEffects++
			}
		}
		if at, known := deliveredAt[submission.Effect]; call.Delivered && (!known || call.Replied < at) {
			deliveredAt[submission.Effect] = call.Replied
		}
	}
	all, healthy, failing := results.NewTally("all"), results.NewTally("well"), results.NewTally("sick")
	grades := make([]*results.Tally, len(instance.Names.Grades))
	for i, name := range instance.Names.Grades {
		grades[i] = results.NewTally(name)
	}
	counted, cpuNotices := map[string]bool{}, 0
	for i := range result.View.Submissions {
		submission := &result.View.Submissions[i]
		result.Submitted++
		switch {
		case submission.Accepted():
			result.Accepted++
		case submission.Status == 429 || submission.Status == 503:
			result.Refused++
		case submission.Status == 0:
			result.Unanswered++
		}
		if counted[submission.Effect] {
			continue
		}
		counted[submission.Effect] = true
		if submission.Intended >= t.CPUFrom {
			cpuNotices++
		}
		at, wasDelivered := deliveredAt[submission.Effect]
		maxCredit, earned := instance.Settings.Grades[submission.Grade].Credit, 0.0
		if wasDelivered {
			earned = instance.EarnedCredit(submission.Grade, at-submission.Intended)
		}
		healthGroup := healthy
		if t.isFailing(submission.Dest) {
			healthGroup = failing
		}
		for _, tally := range []*results.Tally{all, grades[submission.Grade], healthGroup} {
			tally.Add(maxCredit, earned, wasDelivered, at-submission.Intended)
		}
	}
	ended := map[string]bool{}
	for _, outcome := range result.View.Outcomes {
		if ended[outcome.ID] {
			continue
		}
		ended[outcome.ID] = true
		if outcome.Outcome == "handed_back" {
			result.Dismissed++
		} else {
			result.BrokenOff++
		}
	}
	result.Deliveries = all.Deliveries
	result.All, result.Well, result.Sick = all.Share(), healthy.Share(), failing.Share()
	for _, g := range grades {
		result.Grades = append(result.Grades, g.Share())
	}
	for _, s := range t.senders {
		s.mu.Lock()
		result.BreakerChanges = append(result.BreakerChanges, s.breakerChanges...)
		result.PeakRSS, result.PeakFDs = max(result.PeakRSS, s.peakRSS), max(result.PeakFDs, s.peakFDs)
		result.StartRSS = max(result.StartRSS, s.startRSS)
		s.mu.Unlock()
	}
	result.PeakRSS, result.PeakFDs = max(result.PeakRSS, t.peakRSS), max(result.PeakFDs, t.peakFDs)
	slices.SortStableFunc(result.BreakerChanges, func(a, b BreakerChange) int { return cmp.Compare(a.At, b.At) })
	if cpuNotices > 0 {
		result.CPU = float64(cpuTime.Microseconds()) / float64(cpuNotices)
	}
	return result
}

// isFailing reports whether the result counts a destination as failing.
func (t *trial) isFailing(destination int) bool {
	if t.IsFailing != nil {
		return t.IsFailing(destination)
	}
	return len(t.env.Instance.Destinations[destination-1].Faults) > 0
}

// Clean reports whether the run had no breaches.
func (r *Result) Clean() bool { return len(r.Breaches) == 0 }

// WriteTable writes the result as readable text.
func (r *Result) WriteTable(out io.Writer) {
	fmt.Fprintf(out, "scenario %s, seed %d, %d senders, %.1f s\n\n", r.Scenario, r.Seed, r.Senders, r.Seconds)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\twanted\tdelivered\tcredit\tp50 ms\tp99 ms\tp99.9 ms")
	rows := append([]Share{r.All}, r.Grades...)
	if r.Sick.Asked > 0 {
		rows = append(rows, r.Well, r.Sick)
	}
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\n", row.Name, row.Asked, row.Delivered, row.Credit,
			row.Delivery.P50, row.Delivery.P99, row.Delivery.P999)
	}
	table.Flush()
	fmt.Fprintf(out,
		"\nsubmissions %d: accepted %d, refused %d, unanswered %d; of those accepted, dismissed %d, broken off %d\n",
		r.Submitted, r.Accepted, r.Refused, r.Unanswered, r.Dismissed, r.BrokenOff)
	fmt.Fprintf(out,
		"calls %d, rejected with 429 or 503 %d, beyond the first of a notice %d; second effects of at-most-once notices %d\n",
		r.Calls, r.RefusedCalls, r.FurtherCalls, r.SecondEffects)
	fmt.Fprintf(out,
		"answers to clients p50 %.1f ms, p99 %.1f ms; CPU %.0f us a notice, at most %.1f MB and %d descriptors a sender\n",
		r.Answers.P50, r.Answers.P99, r.CPU, float64(r.PeakRSS)/1e6, r.PeakFDs)
	if r.BadClients > 0 {
		fmt.Fprintf(out, "bad clients' connections %d\n", r.BadClients)
	}
	if r.LateSubmissions > 0 {
		fmt.Fprintf(out, "%d notices were submitted over 10 ms late: this machine is too busy\n", r.LateSubmissions)
	}
	for i, fault := range r.Instance.Faults {
		if i == 0 {
			fmt.Fprintln(out)
		}
		var affected []string
		for _, d := range r.Instance.Destinations {
			if slices.Contains(d.Faults, fault) {
				affected = append(affected, fmt.Sprint(d.Number))
			}
		}
		for _, s := range r.Instance.AffectedSenders[i] {
			affected = append(affected, fmt.Sprintf("sender %d", s))
		}
		if len(affected) > 8 {
			affected = append(affected[:8], fmt.Sprintf("and %d more", len(affected)-8))
		}
		fmt.Fprintf(out, "%5.1f to %.1f s  %s %s %s\n", fault.At/1000, fault.Until()/1000, fault.Kind, fault.Grade,
			strings.Join(affected, " "))
	}
	r.writeBreakers(out)
	if r.Clean() {
		fmt.Fprintln(out, "\nall six rules kept")
		return
	}
	fmt.Fprintf(out, "\n%d breaches:\n%s", len(r.Breaches), audit.FormatBreaches(r.Breaches))
}

// writeBreakers writes how often the breakers of each destination opened and closed, and their first change with its
// reason. It lists the 12 destinations whose breakers opened most often.
func (r *Result) writeBreakers(out io.Writer) {
	type changeCounts struct{ opened, closed int }
	counts, first := map[int]*changeCounts{}, map[int]BreakerChange{}
	for _, change := range r.BreakerChanges {
		count := counts[change.Destination]
		if count == nil {
			count = &changeCounts{}
			counts[change.Destination], first[change.Destination] = count, change
		}
		switch change.State {
		case "open":
			count.opened++
		case "closed":
			count.closed++
		}
	}
	if len(counts) == 0 {
		return
	}
	var destinations []int
	for d := range counts {
		destinations = append(destinations, d)
	}
	slices.SortFunc(destinations, func(a, b int) int { return cmp.Or(counts[b].opened-counts[a].opened, a-b) })
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "destination\topened\tclosed\tfirst at s\tfirst")
	for i, d := range destinations {
		if i == 12 {
			fmt.Fprintf(table, "%d more\n", len(destinations)-i)
			break
		}
		fmt.Fprintf(table, "%d\t%d\t%d\t%.1f\t%s: %s\n", d, counts[d].opened, counts[d].closed, first[d].At/1000,
			first[d].State, first[d].Why)
	}
	table.Flush()
}
