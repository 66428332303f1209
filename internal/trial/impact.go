package trial

import (
	"math"
	"slices"

	"chuteweir.example/chuteweir/rules"
)

// FailureImpact measures what the failing destinations of a run cost the senders and the healthy destinations.
type FailureImpact struct {
	At           []rules.Millis `json:"at"`          // times of the samples
	SlotsShare   []float64      `json:"slots_share"` // share of all slots that calls to failing destinations hold, by At
	MostSlots    float64        `json:"most_slots"`  // highest of SlotsShare
	FurtherCalls float64        `json:"further"`     // calls beyond each notice's first, for each wanted notice
	// Load is the number of calls that reached failing destinations within loadWindow, relative to the mean number of
	// their wanted notices in that time, by At.
	Load     []float64 `json:"load"`
	MostLoad float64   `json:"most_load"` // highest of Load
}

// loadWindow is the duration in milliseconds over which the calls to failing destinations are counted. Over a shorter
// one, random variation produces peaks in the load.
const loadWindow = 500

// FailureImpact measures the cost of the destinations for which failing returns true. The slots that they hold are the
// outstanding calls that the senders report, less the calls in progress at the gateways of healthy destinations. The
// gateways of failing destinations cannot count these slots: a connection that is never established does not reach
// them. For a program that reports no outstanding calls, the share is 0.
func (r *Result) FailureImpact(failing func(destination int) bool) FailureImpact {
	var impact FailureImpact
	var healthyStarts, failingStarts []rules.Millis // starts of calls at healthy destinations; starts at failing ones
	var healthyEnds []rules.Millis
	for i := range r.View.Calls {
		call := &r.View.Calls[i]
		if failing(call.Dest) {
			failingStarts = append(failingStarts, call.First)
			continue
		}
		healthyStarts = append(healthyStarts, call.First)
		if endedAt := call.Over(); endedAt < math.MaxFloat64 {
			healthyEnds = append(healthyEnds, endedAt)
		}
	}
	slices.Sort(healthyStarts)
	slices.Sort(healthyEnds)
	slices.Sort(failingStarts)
	countBefore := func(times []rules.Millis, limit rules.Millis) int {
		count, _ := slices.BinarySearch(times, limit)
		return count
	}
	failingNotices := 0
	counted := map[string]bool{}
	for i := range r.View.Submissions {
		if submission := &r.View.Submissions[i]; failing(submission.Dest) && !counted[submission.Effect] {
			counted[submission.Effect] = true
			failingNotices++
		}
	}
	totalSlots := float64(r.Instance.Settings.Slots * r.Senders)
	meanPerWindow := float64(failingNotices) / float64(r.Instance.Length) * loadWindow
	for _, sample := range r.Held {
		if sample.At < 0 {
			continue
		}
		share := max(float64(sample.Outstanding-
			(countBefore(healthyStarts, sample.At)-countBefore(healthyEnds, sample.At)))/totalSlots, 0)
		load := 0.0
		if meanPerWindow > 0 {
			load = float64(countBefore(failingStarts, sample.At)-
				countBefore(failingStarts, sample.At-loadWindow)) / meanPerWindow
		}
		impact.At, impact.SlotsShare, impact.Load = append(impact.At, sample.At), append(impact.SlotsShare, share),
			append(impact.Load, load)
		impact.MostSlots, impact.MostLoad = max(impact.MostSlots, share), max(impact.MostLoad, load)
	}
	impact.FurtherCalls = float64(r.FurtherCalls) / float64(max(r.All.Asked, 1))
	return impact
}
