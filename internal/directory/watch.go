package directory

import (
	"encoding/json"
	"fmt"
	"time"

	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/rules"
)

// This file asks the platform for the receiver list, and verifies and applies it.

// maxDecodedAtOnce is the size of a list, in bytes, up to which it is decoded on the goroutine of the loop.
const maxDecodedAtOnce = 16 << 10

// VerifyAgain asks for the changes of the list on a new connection: what is known of it may be out of date.
func (d *Directory) VerifyAgain() {
	d.verified, d.decoding = false, nil
	d.watch.restart()
}

// Verified reports whether the platform's present address has answered a request for changes of the list, and no request
// has failed since: the list contains every change that the platform has told.
func (d *Directory) Verified() bool { return d.verified }

// Watch starts watching the receiver list, until Stop.
func (d *Directory) Watch() { d.watching = true }

// Stop stops the watch.
func (d *Directory) Stop() { d.watching = false }

// TakeLists returns the list updates received since the last call, and whether the watch has failed since then, at least
// twice in a row: the first failure of a watch is followed by another attempt in any case.
func (d *Directory) TakeLists() (lists []rules.ListUpdated, failed bool) {
	lists, failed = d.lists, d.watchFailed
	d.lists, d.watchFailed = nil, false
	return lists, failed
}

// watchPath returns the path of the next request for the list. An unverified list is verified by a request that the
// platform answers at once: a watch would be answered only when the list changes.
func (d *Directory) watchPath() string {
	if d.needsFullList {
		return "/discovery/hosts"
	}
	hold := d.limits.WatchHold
	if !d.verified {
		hold = 0
	}
	return fmt.Sprintf("/discovery/hosts?from=%d&hold_ms=%d", d.revision, hold.Milliseconds())
}

// watchTimeout returns how long the next request for the list may take. One that verifies the list is given up early
// first, in case it was lost, and later after each further failure, in case the platform is slow.
func (d *Directory) watchTimeout() time.Duration {
	timeout := d.limits.WatchHold + d.limits.ResponseTimeout
	if !d.verified {
		timeout = min(timeout, time.Duration(1+d.watch.failures)*d.limits.ResponseTimeout)
	}
	return timeout
}

// handleWatchFailure notes that a request for the list has failed: the list may be out of date.
func (d *Directory) handleWatchFailure() {
	d.verified, d.decoding = false, nil
	d.watchFailed = d.watchFailed || d.watch.failures > 1
}

// handleList decodes the list in a response and applies it. A large list is decoded on another goroutine: that takes a time
// that grows with the fleet.
func (d *Directory) handleList(message *http1.Message) verdict {
	if message.Status != 200 {
		d.countUnusable(fmt.Errorf("receiver list: expected status 200, got %d", message.Status))
		return unusable
	}
	text := message.Body.AppendTo(make([]byte, 0, message.Body.Len()))
	if len(text) <= maxDecodedAtOnce {
		return d.applyList(decodeList(text))
	}
	decoding := &listDecoding{text}
	d.decoding = decoding
	go func() {
		list, err := decodeList(decoding.text)
		d.net.Post(func() {
			if d.decoding == decoding {
				d.decoding = nil
				d.watch.conclude(d.applyList(list, err))
			}
		})
	}()
	return undecided
}

// listDecoding is the decoding of a list on another goroutine.
type listDecoding struct{ text []byte }

// decodeList decodes a list from JSON.
func decodeList(text []byte) (list List, err error) {
	err = json.Unmarshal(text, &list)
	return list, err
}

// applyList applies a list that was decoded, and returns whether it was usable. After an unusable response, the last
// list stays in force and the watch continues after the backoff. A list that is older than the last one, on a
// connection that was used before, is unusable too: it may repeat an earlier response, so the complete list is
// requested on a new connection. Older changes on a new connection come from a platform that counts revisions
// differently, so the complete list is requested, too.
func (d *Directory) applyList(list List, err error) verdict {
	if err == nil && !d.needsFullList && list.Revision < d.revision {
		if d.watch.requests == 1 && !list.Complete {
			d.needsFullList, d.verified = true, false
			return usable
		}
		if d.watch.requests > 1 {
			d.needsFullList = true
			err = fmt.Errorf("revision %d is older than the last revision %d", list.Revision, d.revision)
		}
	}
	var update rules.ListUpdated
	if err == nil {
		update, err = d.receivers.Apply(list)
	}
	if err != nil {
		d.countUnusable(fmt.Errorf("receiver list: %w", err))
		return unusable
	}
	if d.verified && list.Revision <= d.revision && d.now.Sub(d.watch.requestedAt) < d.limits.WatchHold/2 {
		// The platform does not hold watches open: don't poll in a tight loop.
		d.watch.due = d.now.Add(d.limits.WatchInterval)
	}
	d.revision, d.needsFullList, d.verified = list.Revision, false, true
	if len(update.Entries) > 0 || update.Complete {
		d.lists = append(d.lists, update)
	}
	return usable
}

// stepWatch sends the next request for the list if it is due, and returns when to call it again.
func (d *Directory) stepWatch() time.Time {
	d.watch.provisional = !d.verified
	d.watch.step(d.watchTimeout(), func(buffer []byte) []byte {
		return http1.AppendRequest(buffer, "GET", d.watchPath(), d.address, nil, -1)
	})
	return d.watch.due
}
