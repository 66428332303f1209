package rules

import (
	"math/rand/v2"
	"testing"
)

// TestOddEvents drives senders with unusual but valid random events, and checks each action against the six
// delivery rules.
func TestOddEvents(t *testing.T) {
	for seed := range uint64(12) {
		checkRandomEvents(t, rand.New(rand.NewPCG(seed, 1)), nil)
	}
}

// Guards against rules that are broken only while the receiver list is unverified.
func TestOddEventsWithUnverifiedList(t *testing.T) {
	for seed := range uint64(12) {
		checkRandomEvents(t, rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)))
	}
}

// noticeState is what the test knows of a notice, to check the actions of the sender.
type noticeState struct {
	NoticeAccepted
	expiresAt               Millis // client timeout
	trips, finalAnswers     int
	outstanding, mayHaveRun bool
	runZone                 ZoneID // zone of the first trip that may have run
}

// checkRandomEvents drives one sender for 4000 turns and reports each violation of the rules. The receiver list becomes
// unverified and verified at the times that listRandom draws; nil: it stays verified.
func checkRandomEvents(t *testing.T, random, listRandom *rand.Rand) {
	settings := testSettings()
	settings.CancelTrips, settings.HoldLimit = true, 40
	var list []Entry
	for id := range ReceiverID(6) {
		list = append(list, Entry{Receiver: id, Destination: DestinationID(id / 2),
			Kind: KindID(id / 4), Zone: ZoneID(id % 2),
			Status: Ready, ListedRate: float64(random.IntN(20))})
	}
	trace := &decisionTrace{sender: New(random.Uint64(), settings)}
	trace.runTurn(ListUpdated{Complete: true, Entries: list})
	notices := map[NoticeID]*noticeState{}
	waitUntil := map[DestinationID]Millis{}
	var acceptOrder []*noticeState
	violation := func(what string, n *noticeState) { t.Errorf("%s: notice %+v at %.0f", what, n, trace.now) }
	for range 4000 {
		trace.now += Millis(random.IntN(40)) * settings.Tick
		var events []Event
		for range random.IntN(4) {
			trace.lastNotice++
			n := &noticeState{NoticeAccepted: NoticeAccepted{Notice: trace.lastNotice,
				Grade: GradeID(random.IntN(4)), Key: KeyID(random.IntN(3)),
				Destination: DestinationID(random.IntN(4)), TimeLeft: Millis(random.IntN(6000)),
				Inherited: random.IntN(9) == 0}}
			n.expiresAt = trace.now + n.TimeLeft
			notices[n.Notice] = n
			acceptOrder = append(acceptOrder, n)
			events = append(events, n.NoticeAccepted)
		}
		for len(trace.outstanding) > 0 && random.IntN(3) > 0 {
			trip := trace.outstanding[0]
			trace.outstanding = trace.outstanding[1:]
			n := notices[trip.Notice]
			e := TripEnded{Notice: trip.Notice, Receiver: trip.Receiver, Result: Result(random.IntN(8)),
				Duration: 90}
			n.outstanding, n.mayHaveRun = false,
				n.mayHaveRun || e.Result != Refused && e.Result != NotConnected && e.Result != NotSent
			e.LimitReported, e.LimitRemaining, e.LimitRate = random.IntN(2) > 0, random.Float64(),
				float64(random.IntN(9))
			if e.Result == Refused && list[trip.Receiver].Kind == 0 {
				e.RequestedWait = Millis(random.IntN(900))
				waitUntil[n.Destination] = max(waitUntil[n.Destination], trace.now+e.RequestedWait)
			}
			if e.Result == Handled && n.finalAnswers == 0 {
				e.NoticeEnded, n.finalAnswers = true, 1
			}
			events = append(events, e)
		}
		if random.IntN(50) == 0 {
			entry := &list[random.IntN(len(list))]
			entry.Status = ReceiverStatus(random.IntN(3))
			events = append(events, ListUpdated{Entries: []Entry{*entry}}, NoticeWithdrawn{Notice: 1 << 30})
		}
		if listRandom != nil && listRandom.IntN(5) == 0 {
			events = append(events, []Event{ListUnverified{}, ListVerified{}}[listRandom.IntN(2)])
		}
		for _, a := range trace.sender.Decide(trace.now, events) {
			switch a := a.(type) {
			case Send:
				n := notices[a.Notice]
				entry := list[a.Receiver]
				switch {
				case n.finalAnswers > 0 || n.outstanding || n.trips >= settings.TripLimit:
					violation("sent after its end, while outstanding or over the trip limit", n)
				case entry.Status != Ready || entry.Destination != n.Destination:
					violation("sent to a receiver that is not ready or of another destination", n)
				case trace.now < waitUntil[n.Destination]:
					violation("sent during a requested wait", n)
				case n.mayHaveRun && (n.Grade >= 2 || n.Grade == 1 && entry.Zone != n.runZone),
					n.Inherited && n.Grade == 1:
					violation("sent although it may run twice", n)
				}
				if !n.mayHaveRun {
					n.runZone = entry.Zone
				}
				for _, earlier := range acceptOrder {
					if earlier == n {
						break
					}
					if earlier.Key == n.Key && n.Key != 0 && earlier.Grade == 1 && n.Grade == 1 &&
						(earlier.finalAnswers == 0 || earlier.outstanding) {
						violation("sent before an earlier notice of its key ended", n)
					}
				}
				n.outstanding = true
				n.trips++
				trace.outstanding = append(trace.outstanding, a)
			case Dismiss:
				if n := notices[a.Notice]; n.mayHaveRun && n.Grade >= 1 || n.outstanding {
					violation("dismissed although it may have run or is outstanding", n)
				}
				notices[a.Notice].finalAnswers++
			case BreakOff:
				notices[a.Notice].finalAnswers++
			}
		}
		for _, n := range acceptOrder {
			if n.finalAnswers > 1 || n.finalAnswers == 0 && !n.outstanding && trace.now > n.expiresAt {
				violation("not ended exactly once before its client timeout", n)
			}
		}
	}
}
