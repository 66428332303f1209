package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"

	"chuteweir.example/chuteweir/rules"
)

// never stands for the time of something that has not happened. It is later than any other time.
const never = rules.Millis(math.MaxFloat64)

// Tolerances holds grace periods: how far the times that different parties record of the same event may differ, and how
// late a sender may act.
type Tolerances struct {
	Slack    rules.Millis // added to every time limit
	Lost     rules.Millis // maximum delay of a final answer after the client timeout
	Restart  rules.Millis // maximum delay of a final answer after an unavailable sender is ready again
	Drain    rules.Millis // time that a sender has to stop calling a draining or removed receiver
	Wait     rules.Millis // calls that arrive within this time of a requested wait may have been sent before it arrived
	Crossing rules.Millis // a timeout and a response within this time of each other may cross on the way
}

// DefaultTolerances holds the tolerances of the platform's own rules, for a machine that may be busy.
var DefaultTolerances = Tolerances{Slack: 50, Lost: 300, Restart: 1500, Drain: 1000, Wait: 100, Crossing: 250}

// Rule is one of the six rules that a sender has to keep, or Other.
type Rule int

// The rules, in the order of their numbers.
const (
	Other   Rule = iota // a fault that none of the six rules names
	Lost                // each accepted notice has exactly one final answer, in time
	Twice               // no notice takes effect twice unless its grade allows it
	Drains              // draining and removed receivers are no longer called
	Returns             // senders that knew of an outage do not overload the destination when it returns
	Order               // ordered notices of one key are sent one at a time, in the order in which they were accepted
	Waits               // no call is sent during a requested wait
)

// String returns the rule's number and short text.
func (r Rule) String() string {
	return [...]string{"other", "1, no notice lost", "2, no effect twice", "3, drains kept",
		"4, a return not pushed over", "5, order kept", "6, waits heeded"}[r]
}

// Breach is a violation of a rule.
type Breach struct {
	Rule  Rule
	ID    string   // of the notice concerned; empty if the breach is not about a single notice
	What  string   // what happened; if the breach is about a notice, the notice is the subject
	Story []string // recorded events of the notice and of other submissions of its effect, in order of time
}

// String returns the breach with its story on indented lines.
func (b Breach) String() string {
	text := fmt.Sprintf("rule %v: %s %s", b.Rule, b.ID, b.What)
	for _, line := range b.Story {
		text += "\n    " + line
	}
	return text
}

// Check checks the rules on everything recorded up to the time until. settings are those that the senders were given.
func (r *Record) Check(settings rules.Settings, t Tolerances, until rules.Millis) []Breach {
	return r.View().Check(settings, t, until)
}

// Check checks the rules on a view as Record.Check does. It sorts the view's calls by the time of their first byte.
func (v View) Check(settings rules.Settings, t Tolerances, until rules.Millis) []Breach {
	c := &checker{View: v, settings: settings, tolerances: t, until: until, submissions: map[string]*Submission{},
		callsByID: map[string][]*Call{}, outcomesByID: map[string][]FinalOutcome{},
		byEffect: map[string][]*Submission{}}
	for i := range c.Submissions {
		submission := &c.Submissions[i]
		c.submissions[submission.ID] = submission
		c.byEffect[submission.Effect] = append(c.byEffect[submission.Effect], submission)
	}
	slices.SortStableFunc(c.Calls, func(a, b Call) int { return cmp.Compare(a.First, b.First) })
	for i := range c.Calls {
		c.callsByID[c.Calls[i].ID] = append(c.callsByID[c.Calls[i].ID], &c.Calls[i])
	}
	for _, outcome := range c.Outcomes {
		c.outcomesByID[outcome.ID] = append(c.outcomesByID[outcome.ID], outcome)
	}
	c.checkUnknownCalls()
	for i := range c.Submissions {
		c.checkFinalAnswer(&c.Submissions[i])
		c.checkRepeats(&c.Submissions[i])
	}
	c.checkEffects()
	c.checkDrains()
	c.checkReturns()
	c.checkOrder()
	c.checkWaits()
	return c.breaches
}

// checker indexes a view for the checks and collects the breaches that they find.
type checker struct {
	View
	settings     rules.Settings
	tolerances   Tolerances
	until        rules.Millis
	submissions  map[string]*Submission // by notice ID
	callsByID    map[string][]*Call     // in the order of their first bytes
	outcomesByID map[string][]FinalOutcome
	byEffect     map[string][]*Submission // submissions of each effect
	breaches     []Breach
}

// report adds a breach. The formatted text is a predicate of which the notice is the subject.
func (c *checker) report(rule Rule, id, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{rule, id, fmt.Sprintf(format, args...), c.timeline(id)})
}

// timeline lists every recorded event of a notice, and of the other submissions of its effect, in the order of time.
func (c *checker) timeline(id string) []string {
	submission := c.submissions[id]
	if submission == nil {
		return nil
	}
	type entry struct {
		at   rules.Millis
		text string
	}
	var entries []entry
	addEntry := func(at rules.Millis, format string, args ...any) {
		entries = append(entries, entry{at, fmt.Sprintf("%9.1f  ", at) + fmt.Sprintf(format, args...)})
	}
	for _, related := range c.byEffect[submission.Effect] {
		grade := c.settings.Grades[related.Grade]
		addEntry(related.At, "client: %s submitted to sender %d for destination %d, grade %d (%s), timeout at %.0f",
			related.ID, related.Sender, related.Dest, related.Grade, repeatNames[grade.Repeat], related.Until)
		if related.Status > 0 {
			addEntry(related.Answered, "client: %s got status %d", related.ID, related.Status)
		}
		for _, call := range c.callsByID[related.ID] {
			addEntry(call.First, "gateway: %s called at %s, ran %v, unread %v, status %d, wait %.0f, fault %s",
				related.ID, call.Receiver, call.Ran, call.Unread, call.Status, call.RequestedWait, call.Fault)
			if call.Replied > 0 {
				addEntry(call.Replied, "gateway: %s got response %d, delivered %v", related.ID,
					call.Status, call.Delivered)
			}
			if call.Closed > 0 {
				addEntry(call.Closed, "gateway: the connection closed during the call of %s", related.ID)
			}
		}
		for _, outcome := range c.outcomesByID[related.ID] {
			addEntry(outcome.At, "platform: %s %s, reported by sender %d", related.ID, outcome.Outcome, outcome.Sender)
		}
		for _, event := range c.SenderEvents {
			if event.Sender == related.Sender && event.At > related.At-1000 && event.At < related.Until+5000 {
				addEntry(event.At, "sender %d %s", event.Sender, event.What)
			}
		}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.at, b.at) })
	var timeline []string
	for _, current := range entries {
		if len(timeline) == 0 || timeline[len(timeline)-1] != current.text {
			timeline = append(timeline, current.text)
		}
	}
	return timeline
}

// repeatNames holds the texts for how notices of a grade may be repeated.
var repeatNames = map[rules.Repeat]string{rules.AtMostOnce: "at-most-once", rules.Numbered: "numbered",
	rules.Reissuable: "reissuable"}

// disrupted reports whether a sender was killed, told to leave, paused, resumed or started between two times.
func (c *checker) disrupted(sender int, from, to rules.Millis) bool {
	for _, event := range c.SenderEvents {
		if event.Sender == sender && event.At >= from && event.At <= to {
			return true
		}
	}
	return false
}

// unavailable reports whether a sender was down or paused at a time, or became ready less than the restart tolerance
// before it. readyAt is when it was ready again, or never.
func (c *checker) unavailable(sender int, at rules.Millis) (unavailable bool, readyAt rules.Millis) {
	for _, event := range c.SenderEvents {
		if event.Sender != sender {
			continue
		}
		if event.What == "ready" || event.What == "going on" {
			if event.At > at && unavailable {
				return true, event.At
			}
			if unavailable = event.At+c.tolerances.Restart > at && event.At <= at &&
				c.disruptedBefore(sender, event.At); unavailable {
				readyAt = event.At
			}
		} else if event.At <= at {
			unavailable, readyAt = true, never
		}
	}
	return unavailable, readyAt
}

// disruptedBefore reports whether a sender was unavailable before a time. This distinguishes a restart from the first
// start.
func (c *checker) disruptedBefore(sender int, before rules.Millis) bool {
	for _, event := range c.SenderEvents {
		if event.Sender == sender && event.At < before && event.What != "ready" {
			return true
		}
	}
	return false
}

// checkUnknownCalls finds calls for notices that no client submitted, for notices that the sender had rejected, and
// calls to another destination's receivers.
func (c *checker) checkUnknownCalls() {
	for i := range c.Calls {
		call := &c.Calls[i]
		if call.Unread {
			continue
		}
		submission := c.submissions[call.ID]
		switch {
		case submission == nil:
			c.report(Other, call.ID, "was called at %s but was never submitted", call.Receiver)
		case submission.Dest != call.Dest:
			c.report(Other, call.ID, "is for destination %d and was called at %s of destination %d", submission.Dest,
				call.Receiver, call.Dest)
		case submission.Status > 0 && !submission.Accepted() && call.First > submission.Answered+c.tolerances.Slack:
			c.report(Lost, call.ID, "was called %.0f ms after the sender rejected it", call.First-submission.Answered)
		}
	}
}

// checkFinalAnswer checks that an accepted notice has exactly one final answer in time, and that no call follows it.
func (c *checker) checkFinalAnswer(submission *Submission) {
	if !submission.Accepted() {
		return
	}
	delivered, seen, complete := never, never, never
	for _, call := range c.callsByID[submission.ID] {
		// A response after the client timeout is no delivery: the notice still needs a final outcome.
		if call.Delivered && call.Replied <= submission.Until {
			delivered = min(delivered, call.Replied)
		}
		if call.responseSeen(c.tolerances.Crossing) {
			seen = min(seen, call.Replied)
			// A response that is incomplete or retractable may belong to an earlier call, so the sender may also report
			// a final outcome for its notice.
			if !call.Malformed && !call.Unfinished && !call.retractable(c.settings.OverloadTime+c.tolerances.Crossing) {
				complete = min(complete, call.Replied)
			}
		}
	}
	endedAt, outcome := never, ""
	for _, reported := range c.outcomesByID[submission.ID] {
		switch {
		case outcome == "":
			endedAt, outcome = reported.At, reported.Outcome
		case reported.Outcome != outcome:
			c.report(Lost, submission.ID, "has two final outcomes, %s and %s", outcome, reported.Outcome)
		case !c.disrupted(submission.Sender, endedAt-c.tolerances.Crossing, reported.At+c.tolerances.Slack):
			c.report(Lost, submission.ID, "had its final outcome reported twice")
		}
	}
	// A sender that is paused or waits for a processor reads a request late and counts the client timeout from then on.
	due := submission.Until + max(submission.Answered-submission.At, 0) + c.tolerances.Lost + c.tolerances.Slack
	due = c.outcomeAcceptedBy(submission.Sender, submission.At, due)
	if unavailable, readyAt := c.unavailable(submission.Sender, due); unavailable {
		due = max(due, min(readyAt, never/2)+c.tolerances.Restart)
	}
	switch final := min(delivered, endedAt); {
	case final == never && due < c.until:
		c.report(Lost, submission.ID, "has no final answer")
	case final < never && final > due:
		c.report(Lost, submission.ID, "has its final answer %.0f ms after its client timeout", final-submission.Until)
	// A notice delivered close to its client timeout may also have a final outcome, which may be reported only when the
	// platform accepts reports again.
	case complete < submission.Until-c.tolerances.Crossing && endedAt < never &&
		endedAt > c.outcomeAcceptedBy(submission.Sender, complete-c.tolerances.Restart,
			complete+c.tolerances.Crossing) &&
		!c.disrupted(submission.Sender, complete-c.tolerances.Crossing, endedAt):
		c.report(Lost, submission.ID, "was delivered and %.0f ms later reported as %s", endedAt-complete, outcome)
	}
	for _, call := range c.callsByID[submission.ID] {
		if call.First > endedAt+c.tolerances.Slack ||
			call.First > seen+c.tolerances.Slack &&
				!c.disrupted(submission.Sender, seen-c.tolerances.Crossing, call.First) {
			c.report(Lost, submission.ID, "was called after its final answer")
			return
		}
	}
}

// outcomeAcceptedBy returns by when the platform has accepted a final outcome that was first reported at a time.
// The sender repeats a refused report after little more than a second, so each refusal after the time since extends the
// limit.
func (c *checker) outcomeAcceptedBy(sender int, since, reported rules.Millis) rules.Millis {
	for _, refused := range c.RefusedReports {
		if refused.Sender == sender && refused.At > since && refused.At <= reported {
			reported = max(reported, refused.At+c.tolerances.Restart)
		}
	}
	return reported
}

// checkRepeats checks one notice's trips: their number, that no two run at once, and that the notice's grade allows
// each repetition.
func (c *checker) checkRepeats(submission *Submission) {
	calls, grade := c.callsByID[submission.ID], c.settings.Grades[submission.Grade]
	if len(calls) > c.settings.TripLimit {
		c.report(Other, submission.ID, "had %d trips, the limit is %d", len(calls), c.settings.TripLimit)
	}
	firstMayHaveRun := never // first byte of the first trip that may have run
	for i, call := range calls {
		if i > 0 {
			if previous := calls[i-1]; previous.Over() > call.First+c.tolerances.Slack &&
				!c.disrupted(submission.Sender, previous.First, call.First) {
				c.report(Twice, submission.ID, "had two trips at once")
			}
			if firstMayHaveRun < never && grade.Repeat == rules.AtMostOnce {
				c.report(Twice, submission.ID, "was sent again though it may have run")
				return
			}
			if firstMayHaveRun < never && grade.Repeat == rules.Numbered &&
				call.First > firstMayHaveRun+grade.RemembersFor+c.tolerances.Slack {
				c.report(Twice, submission.ID,
					"was sent again %.0f ms after it may have run, when the receiver no longer remembered its mark",
					call.First-firstMayHaveRun)
				return
			}
		}
		if !call.knownNotRun() && firstMayHaveRun == never {
			firstMayHaveRun = call.First
		}
	}
	for _, outcome := range c.outcomesByID[submission.ID] {
		if outcome.Outcome == "handed_back" && firstMayHaveRun < never && grade.Repeat == rules.AtMostOnce {
			c.report(Twice, submission.ID, "was dismissed though it may have run")
		}
	}
}

// checkEffects checks that an at-most-once effect happens once, counted over all its submissions.
func (c *checker) checkEffects() {
	for i := range c.Submissions {
		submission := &c.Submissions[i]
		if c.byEffect[submission.Effect][0] != submission ||
			c.settings.Grades[submission.Grade].Repeat != rules.AtMostOnce {
			continue
		}
		effects := 0
		for _, other := range c.byEffect[submission.Effect] {
			for _, call := range c.callsByID[other.ID] {
				if call.Ran {
					effects++
				}
			}
		}
		if effects > 1 {
			c.report(Twice, submission.ID, "took effect %d times", effects)
		}
	}
}

// checkDrains checks that no sender calls a receiver that it was told is draining or gone, once the grace time is over.
func (c *checker) checkDrains() {
	type receiverOfSender struct {
		receiver string
		sender   int
	}
	unusableSince := map[receiverOfSender]rules.Millis{}
	for _, listing := range c.Listings {
		key := receiverOfSender{listing.Receiver, listing.Sender}
		if listing.Status == "ready" {
			delete(unusableSince, key)
		} else if _, before := unusableSince[key]; !before {
			unusableSince[key] = listing.At
		}
	}
	for i := range c.Calls {
		call := &c.Calls[i]
		submission := c.submissions[call.ID]
		if submission == nil {
			continue
		}
		if at, unusable := unusableSince[receiverOfSender{call.Receiver, submission.Sender}]; unusable &&
			call.First > at+c.tolerances.Drain+c.tolerances.Slack {
			c.report(Drains, call.ID,
				"was called at %s %.0f ms after sender %d was told that the receiver is draining or gone",
				call.Receiver, call.First-at, submission.Sender)
		}
	}
}

// checkReturns checks that no destination is overloaded on its return from an outage mainly by senders that knew of the
// outage: those that had seen it must have made fewer than two thirds of the calls.
func (c *checker) checkReturns() {
	for _, overload := range c.Overloads {
		total, forewarned := 0, 0
		for sender, calls := range overload.By {
			if total += calls; overload.SawOutage[sender] {
				forewarned += calls
			}
		}
		if 3*forewarned >= 2*total {
			c.breaches = append(c.breaches, Breach{Returns, "", fmt.Sprintf("destination %d was overloaded on its "+
				"return at %.0f ms by %d calls, %d of them from senders that had seen its outage",
				overload.Dest, overload.At, total, forewarned), nil})
		}
	}
}

// checkOrder checks that each sender calls for the ordered notices of a key one at a time, in the order in which it
// accepted them.
func (c *checker) checkOrder() {
	type keyOfSender struct{ sender, key int }
	queues := map[keyOfSender][]*Submission{}
	for i := range c.Submissions {
		submission := &c.Submissions[i]
		if submission.Key != 0 && submission.Accepted() && c.settings.Grades[submission.Grade].InOrder {
			key := keyOfSender{submission.Sender, submission.Key}
			queues[key] = append(queues[key], submission)
		}
	}
	for _, queue := range queues {
		slices.SortStableFunc(queue, func(a, b *Submission) int { return cmp.Compare(a.At, b.At) })
		for i, later := range queue {
			for _, call := range c.callsByID[later.ID] {
				for _, earlier := range queue[:i] {
					if earlier.Answered >= later.At || earlier.Until+c.tolerances.Lost < call.First {
						continue
					}
					for _, other := range c.callsByID[earlier.ID] {
						if other.First > call.First+c.tolerances.Slack {
							c.report(Order, later.ID, "was called before %s of the same key", earlier.ID)
						} else if other.Over() > call.First+c.tolerances.Slack &&
							!c.disrupted(later.Sender, other.First, call.First) {
							c.report(Order, later.ID, "was called while a call of %s of the same key was in progress",
								earlier.ID)
						}
					}
				}
			}
		}
	}
}

// checkWaits checks that a sender makes no call to a destination, or to a receiver that is a separate route, during a
// wait that a response from there has asked it for.
func (c *checker) checkWaits() {
	type routeOfSender struct {
		sender, dest int
		receiver     string
	}
	callsByRoute := map[routeOfSender][]*Call{}
	routeOf := func(call *Call) (routeOfSender, bool) {
		submission := c.submissions[call.ID]
		if submission == nil {
			return routeOfSender{}, false
		}
		route := routeOfSender{sender: submission.Sender, dest: call.Dest}
		if call.SeparateRoutes {
			route.receiver = call.Receiver
		}
		return route, true
	}
	for i := range c.Calls {
		if at, known := routeOf(&c.Calls[i]); known {
			callsByRoute[at] = append(callsByRoute[at], &c.Calls[i])
		}
	}
	for i := range c.Calls {
		asking := &c.Calls[i]
		route, known := routeOf(asking)
		if !known || asking.RequestedWait <= 0 || asking.Malformed {
			continue
		}
		sameRoute := callsByRoute[route]
		from := sort.Search(len(sameRoute), func(i int) bool {
			return sameRoute[i].First > asking.Replied+c.tolerances.Wait
		})
		for _, call := range sameRoute[from:] {
			if call.First >= asking.Replied+asking.RequestedWait-c.tolerances.Slack/10 {
				break
			}
			if !c.disrupted(route.sender, asking.Replied, call.First) {
				c.report(Waits, call.ID, "was called %.0f ms into a wait of %.0f ms asked for by the response to %s",
					call.First-asking.Replied, asking.RequestedWait, asking.ID)
				break
			}
		}
	}
}

// FormatBreaches formats breaches: the first two of each rule in full, and the number of breaches of a rule that has
// more.
func FormatBreaches(breaches []Breach) string {
	var text strings.Builder
	counts := map[Rule]int{}
	for _, breach := range breaches {
		if counts[breach.Rule]++; counts[breach.Rule] <= 2 {
			fmt.Fprintln(&text, breach)
		}
	}
	for rule := Other; rule <= Waits; rule++ {
		if counts[rule] > 2 {
			fmt.Fprintf(&text, "rule %v: %d breaches in all\n", rule, counts[rule])
		}
	}
	return text.String()
}
