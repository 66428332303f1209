package directory

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/rules"
)

// This file reports the final outcomes of notices to the platform.

// FinalOutcome is the final outcome of one notice, in the form in which it is reported to the platform.
type FinalOutcome struct {
	Notice    rules.NoticeID `json:"-"`
	Message   string         `json:"message"`
	Outcome   string         `json:"outcome"`
	RetryInMS float64        `json:"retry_in_ms,omitempty"`
}

// The values of FinalOutcome.Outcome.
const (
	GivenUp    = "given_up"    // broken off: the notice may have taken effect
	HandedBack = "handed_back" // dismissed: trying the notice again is harmless
)

// ReportOutcome queues an outcome report, which is kept until the platform has confirmed it.
func (d *Directory) ReportOutcome(e FinalOutcome) { d.pending = append(d.pending, e) }

// Pending returns the number of outcome reports that the platform has not confirmed yet.
func (d *Directory) Pending() int { return len(d.pending) }

// TakeConfirmed returns the notices whose outcome reports were confirmed, or dropped as unreadable, since the last
// call.
func (d *Directory) TakeConfirmed() []rules.NoticeID {
	confirmed := d.confirmed
	d.confirmed = nil
	return confirmed
}

// handleReportResponse processes the response to a batch of outcome reports, and returns unusable if the next batch is
// to be sent after a backoff.
func (d *Directory) handleReportResponse(message *http1.Message) verdict {
	if message.Status != 204 {
		d.countUnusable(fmt.Errorf("outcome reports: expected status 204, got %d", message.Status))
		if message.Status != 400 || d.inFlight == 0 {
			return unusable
		}
		// One report that the platform can't read must not block all others: halving the batch finds it, and it is
		// dropped.
		if d.inFlight > 1 {
			d.maxBatch = d.inFlight / 2
			return usable
		}
		d.LastError = fmt.Sprintf("the platform can't read the outcome report of notice %q: dropped",
			d.pending[0].Message)
	}
	d.maxBatch = 0
	for _, outcome := range d.pending[:d.inFlight] {
		d.confirmed = append(d.confirmed, outcome.Notice)
	}
	d.pending = slices.Delete(d.pending, 0, d.inFlight)
	d.inFlight = 0
	return usable
}

// stepReports sends the next request with outcome reports if it is due, and returns when to call it again.
func (d *Directory) stepReports() time.Time {
	d.reports.step(d.limits.ResponseTimeout, func(buffer []byte) []byte {
		lines := d.appendReports(nil)
		return append(http1.AppendRequest(buffer, "POST", "/v2/finals", d.address, nil, len(lines)), lines...)
	})
	return d.reports.due
}

// appendReports appends the pending outcome reports that fit into one request, one JSON object a line, and sets
// inFlight to their number.
func (d *Directory) appendReports(lines []byte) []byte {
	d.inFlight = 0
	for _, outcome := range d.pending {
		line, err := json.Marshal(outcome)
		if err != nil || len(lines)+len(line) >= d.limits.Body || d.maxBatch > 0 && d.inFlight == d.maxBatch {
			break
		}
		lines = append(append(lines, line...), '\n')
		d.inFlight++
	}
	return lines
}
