// Package directory watches the platform's receiver list and sends outcome reports to the platform.
package directory

import (
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/sockets"
	"chuteweir.example/chuteweir/rules"
)

// Directory exchanges requests with the platform at one address: it watches the receiver list and sends outcome
// reports.
type Directory struct {
	net       *sockets.Net
	limits    limits.Limits
	pool      *buffers.Pool
	address   string
	receivers *Receivers

	watch, reports    requester
	revision          int64
	needsFullList     bool // the next watch asks for the complete list
	verified          bool // see Verified
	watching          bool
	decoding          *listDecoding       // the list that is being decoded, or nil
	lists             []rules.ListUpdated // not yet returned by TakeLists
	watchFailed       bool                // a watch has failed repeatedly since the last call of TakeLists
	UnusableResponses int                 // number of responses that could not be used
	LastError         string              // the reason of the last of these, until the caller clears it

	pending   []FinalOutcome   // not yet confirmed with status 204
	inFlight  int              // how many of pending, from the first on, the current request contains
	maxBatch  int              // how many the next request may contain; 0: as many as fit
	confirmed []rules.NoticeID // not yet returned by TakeConfirmed
	now       time.Time
}

// New returns a Directory that starts from a list of the given revision, which the receivers already contain.
func New(address string, lim limits.Limits, pool *buffers.Pool, receivers *Receivers, revision int64) *Directory {
	d := &Directory{limits: lim, pool: pool, address: address, receivers: receivers, revision: revision}
	d.watch = requester{directory: d, maxBody: lim.ReceiverListBytes, onResponse: d.handleList,
		onFailure: d.handleWatchFailure}
	d.reports = requester{directory: d, maxBody: lim.Body, singleUse: true, onResponse: d.handleReportResponse,
		onFailure: func() { d.inFlight = 0 }}
	return d
}

// SetNet sets the network through which the requests are sent.
func (d *Directory) SetNet(net *sockets.Net) { d.net = net }

// SetAddress switches to another platform address after a change of the configuration. The complete list is requested
// from the new address, because its revisions need not continue those of the old one, and it receives every report
// that the old one has not confirmed.
func (d *Directory) SetAddress(address string) {
	if address == d.address {
		return
	}
	d.address, d.needsFullList, d.inFlight = address, true, 0
	d.watch.failures, d.reports.failures = 0, 0
	d.reports.restart()
	d.VerifyAgain()
}

// SetTime sets the current time for the calls that follow.
func (d *Directory) SetTime(now time.Time) { d.now = now }

// Step sends the requests that are due, handles timeouts, and returns when to call it again.
func (d *Directory) Step() (next time.Time) {
	if d.watching {
		next = d.stepWatch()
	}
	if len(d.pending) > 0 {
		if reportsDue := d.stepReports(); next.IsZero() || reportsDue.Before(next) {
			next = reportsDue
		}
	}
	return next
}

// countUnusable counts a response that could not be used, and keeps the reason for the log.
func (d *Directory) countUnusable(err error) {
	d.UnusableResponses++
	d.LastError = err.Error()
}
