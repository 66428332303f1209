package loop

import (
	"fmt"
	"log/slog"
	"strings"

	"chuteweir.example/chuteweir/internal/intake"
)

// Counters counts what the sender has done since its start. The method attributes has the names under which the
// counters are published.
type Counters struct {
	// Submitted notices, by the answer to their clients.
	Accepted, Rejected, Dismissed int
	// Trips started, and their results.
	Trips, Handled, Full, Errored, Lost, NotConnected, NotSent int
	// Final outcomes reported to the platform, and notices restored from the ledger at the start.
	GivenUp, HandedBack, Restored int
	// Turns of the loop, unreadable responses of discovery and the platform, and reloads of the configuration.
	Turns, MalformedPlatformResponses, Reloads int
	// Trips beyond a notice's first.
	FurtherTrips int
	// Calls and notices at present, in contrast to the other counters.
	CallsInFlight, NoticesHeld int
	// Rejected notices, the parts of OverCapacity: by the hold limit, the memory for bodies and the ledger.
	OverHoldLimit, OverBodyMemory, OverLedgerCapacity int
	// Calls not sent for a shortage of the sender's own resources, and notices dismissed to free capacity.
	LocalShortages, DismissedForCapacity int
	// Responses and connections that calls could not use.
	UnusableResponses, TrailingBytes, StaleConnections int
	// Connections on which receivers sent unsolicited bytes.
	Unsolicited int
	// Connections to receivers that were opened.
	Connections int
	// Responses that may belong to other calls: those recognized at once, and outcomes retracted later.
	Ambiguous, Retracted int
	// Buffers read from connections that were closed in the meantime.
	UnreadBuffers int
	// Calls recalled when their connections were established.
	Recalled int
	// Calls written during a wait that the receiver had requested.
	WrittenDuringWait int
	// Notices delivered so late that the platform gets a final outcome, too.
	HandledLate int
	// Rejected notices: with an id that was accepted before, and for lack of capacity.
	RepeatedIDs, OverCapacity int
	intake.Refusals
}

// attributes returns the counters under the names that the log and the counters page use.
func (c Counters) attributes() []slog.Attr {
	return []slog.Attr{
		slog.Int("taken", c.Accepted), slog.Int("refused", c.Rejected), slog.Int("dismissed", c.Dismissed),
		slog.Int("trips", c.Trips), slog.Int("handled", c.Handled), slog.Int("full", c.Full),
		slog.Int("errored", c.Errored), slog.Int("lost", c.Lost), slog.Int("unmet", c.NotConnected),
		slog.Int("unsent", c.NotSent), slog.Int("given_up", c.GivenUp), slog.Int("handed_back", c.HandedBack),
		slog.Int("restored", c.Restored), slog.Int("turns", c.Turns),
		slog.Int("broken_answers", c.MalformedPlatformResponses),
		slog.Int("reloads", c.Reloads), slog.Int("spoilt", c.UnusableResponses), slog.Int("beyond", c.TrailingBytes),
		slog.Int("stale", c.StaleConnections), slog.Int("refused_repeated", c.RepeatedIDs),
		slog.Int("refused_no_room", c.OverCapacity),
		slog.Int("refused_unreadable", c.Unreadable), slog.Int("refused_unknown", c.Unknown),
		slog.Int("refused_malformed", c.Malformed), slog.Int("refused_late", c.Late),
		slog.Int("refused_leaving", c.DuringShutdown), slog.Int("closed_silent", c.Silent),
		slog.Int("closed_crowded", c.Crowded), slog.Int("closed_flooding", c.Flooding),
		slog.Int("refused_hold", c.OverHoldLimit), slog.Int("refused_bodies", c.OverBodyMemory),
		slog.Int("refused_ledger", c.OverLedgerCapacity),
		slog.Int("further", c.FurtherTrips), slog.Int("out", c.CallsInFlight), slog.Int("held", c.NoticesHeld),
		slog.Int("short", c.LocalShortages), slog.Int("dismissed_for_room", c.DismissedForCapacity),
		slog.Int("written_in_wait", c.WrittenDuringWait), slog.Int("recalled", c.Recalled),
		slog.Int("unheard", c.UnreadBuffers), slog.Int("handled_late", c.HandledLate),
		slog.Int("unasked", c.Unsolicited),
		slog.Int("connections", c.Connections), slog.Int("ambiguous", c.Ambiguous), slog.Int("doubted", c.Retracted),
	}
}

// LogValue returns the counters as separate attributes of a log line.
func (c Counters) LogValue() slog.Value { return slog.GroupValue(c.attributes()...) }

// Page returns the counters page: one line of text for each counter.
func (c Counters) Page() string {
	var page strings.Builder
	for _, a := range c.attributes() {
		fmt.Fprintf(&page, "chuteweir_%s %s\n", a.Key, a.Value)
	}
	return page.String()
}
