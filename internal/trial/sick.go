package trial

import (
	"math"
	"slices"

	"chuteweir.example/chuteweir/rules"
)

// Trouble is what a run shows of how destinations that are sick weigh on a sender and on those that are well.
type Trouble struct {
	At         []rules.Millis `json:"at"`
	SlotsShare []float64      `json:"slots_share"` // of all senders' slots, held by calls to sick destinations; by At
	MostSlots  float64        `json:"most_slots"`
	Further    float64        `json:"further"` // calls for a notice beyond its first, for each notice wanted
	Load       []float64      `json:"load"`    // calls that reached the sick, for each notice wanted of them in the mean; by At
	MostLoad   float64        `json:"most_load"`
}

// loadSpan is over how long the load of the sick is counted: shorter, and chance makes peaks.
const loadSpan = 500

// Trouble reads the run. Slots come from the senders' own count of calls out less what the gateways that are well saw
// open at that time: connections that never come up reach no gateway. A program without that count tells none.
func (r *Result) Trouble(sick func(destination int) bool) Trouble {
	var t Trouble
	var well, at []rules.Millis // beginnings and ends of calls at the well; beginnings at the sick
	var ends []rules.Millis
	for i := range r.View.Calls {
		c := &r.View.Calls[i]
		if sick(c.Dest) {
			at = append(at, c.First)
			continue
		}
		well = append(well, c.First)
		if over := c.Over(); over < math.MaxFloat64 {
			ends = append(ends, over)
		}
	}
	slices.Sort(well)
	slices.Sort(ends)
	slices.Sort(at)
	before := func(times []rules.Millis, t rules.Millis) int {
		n, _ := slices.BinarySearch(times, t)
		return n
	}
	wanted := 0
	seen := map[string]bool{}
	for i := range r.View.Hands {
		if h := &r.View.Hands[i]; sick(h.Dest) && !seen[h.Effect] {
			seen[h.Effect] = true
			wanted++
		}
	}
	slots := float64(r.World.Settings.Slots * r.Senders)
	each := float64(wanted) / float64(r.World.Length) * loadSpan
	for _, p := range r.Held {
		if p.At < 0 {
			continue
		}
		share := max(float64(p.Out-(before(well, p.At)-before(ends, p.At)))/slots, 0)
		load := 0.0
		if each > 0 {
			load = float64(before(at, p.At)-before(at, p.At-loadSpan)) / each
		}
		t.At, t.SlotsShare, t.Load = append(t.At, p.At), append(t.SlotsShare, share), append(t.Load, load)
		t.MostSlots, t.MostLoad = max(t.MostSlots, share), max(t.MostLoad, load)
	}
	t.Further = float64(r.Further) / float64(max(r.All.Asked, 1))
	return t
}
