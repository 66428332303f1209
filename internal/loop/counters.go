package loop

import (
	"fmt"
	"log/slog"
	"strings"

	"chuteweir.example/chuteweir/internal/intake"
)

// Counters counts what the sender has done since its start.
type Counters struct {
	Taken, Refused, Dismissed                          int // notices handed in
	Trips, Handled, Full, Errored, Lost, Unmet, Unsent int // calls, and what they came to
	GivenUp, HandedBack, Restored                      int
	Turns, BrokenAnswers, Reloads                      int
	Further                                            int // trips beyond a notice's first
	Out, Held                                          int // calls, and notices, at this moment
	NoHold, NoBytes, NoDisk                            int // refused, parts of NoRoom: the hold limit, bodies, the ledger
	Short, ForRoom                                     int // calls not sent for a shortage of ours; notices dismissed to make room
	Spoilt, Beyond, Stale                              int // answers and connections that calls could not use
	Unasked                                            int // connections of receivers that said more than was asked
	Connections                                        int // begun to receivers
	Ambiguous, Doubted                                 int // answers that may be other calls': told so at once, and later
	Unheard                                            int // buffers read from connections that were closed meanwhile
	Recalled                                           int // calls taken back as their connections came up
	InWait                                             int // calls written within a told wait
	HandledLate                                        int // handled so late that the platform is told an end, too
	Repeated, NoRoom                                   int // refused: an id taken on before, out of room
	intake.Refusals
}

func (c Counters) list() []slog.Attr {
	return []slog.Attr{
		slog.Int("taken", c.Taken), slog.Int("refused", c.Refused), slog.Int("dismissed", c.Dismissed),
		slog.Int("trips", c.Trips), slog.Int("handled", c.Handled), slog.Int("full", c.Full),
		slog.Int("errored", c.Errored), slog.Int("lost", c.Lost), slog.Int("unmet", c.Unmet),
		slog.Int("unsent", c.Unsent), slog.Int("given_up", c.GivenUp), slog.Int("handed_back", c.HandedBack),
		slog.Int("restored", c.Restored), slog.Int("turns", c.Turns), slog.Int("broken_answers", c.BrokenAnswers),
		slog.Int("reloads", c.Reloads), slog.Int("spoilt", c.Spoilt), slog.Int("beyond", c.Beyond),
		slog.Int("stale", c.Stale), slog.Int("refused_repeated", c.Repeated), slog.Int("refused_no_room", c.NoRoom),
		slog.Int("refused_unreadable", c.Unreadable), slog.Int("refused_unknown", c.Unknown),
		slog.Int("refused_malformed", c.Malformed), slog.Int("refused_late", c.Late),
		slog.Int("refused_leaving", c.Leaving), slog.Int("closed_silent", c.Silent),
		slog.Int("closed_crowded", c.Crowded), slog.Int("closed_flooding", c.Flooding),
		slog.Int("refused_hold", c.NoHold), slog.Int("refused_bodies", c.NoBytes), slog.Int("refused_ledger", c.NoDisk),
		slog.Int("further", c.Further), slog.Int("out", c.Out), slog.Int("held", c.Held),
		slog.Int("short", c.Short), slog.Int("dismissed_for_room", c.ForRoom),
		slog.Int("written_in_wait", c.InWait), slog.Int("recalled", c.Recalled),
		slog.Int("unheard", c.Unheard), slog.Int("handled_late", c.HandledLate), slog.Int("unasked", c.Unasked),
		slog.Int("connections", c.Connections), slog.Int("ambiguous", c.Ambiguous), slog.Int("doubted", c.Doubted),
	}
}

// LogValue puts the counters into a log line one by one.
func (c Counters) LogValue() slog.Value { return slog.GroupValue(c.list()...) }

// Page is the counters as text, a line each.
func (c Counters) Page() string {
	var page strings.Builder
	for _, a := range c.list() {
		fmt.Fprintf(&page, "chuteweir_%s %s\n", a.Key, a.Value)
	}
	return page.String()
}
