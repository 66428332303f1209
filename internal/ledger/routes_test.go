package ledger

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"chuteweir.example/chuteweir/rules"
	"github.com/google/go-cmp/cmp"
)

func downFor(age rules.Millis) rules.RouteState {
	return rules.RouteState{InOutage: true, Down: true, OutageAge: age}
}

// recordedStates returns the states of the routes that a ledger holds after it is opened again.
func recordedStates(t *testing.T, stateDir string) map[rules.DestinationID]rules.RouteState {
	t.Helper()
	l, _, err := Open(stateDir, 1<<20)
	failOnError(t, err)
	states := map[rules.DestinationID]rules.RouteState{}
	for _, route := range l.Routes() {
		states[route.Destination] = route.State
	}
	return states
}

// Guards against a route's state that is lost or outdated after a restart, a compaction or a torn record.
func TestRouteStatesSurviveRestart(t *testing.T) {
	stateDir := t.TempDir()
	l, _, err := Open(stateDir, 1<<20)
	failOnError(t, err, l.RecordRoute(RouteRecord{Destination: 1, State: downFor(1)}),
		l.RecordRoute(RouteRecord{Destination: 2, State: downFor(2)}),
		l.RecordRoute(RouteRecord{Destination: 2, State: rules.RouteState{Limit: 40}}),
		l.RecordRoute(RouteRecord{Destination: 3, State: downFor(3)}),
		l.RecordRoute(RouteRecord{Destination: 3}), l.RecordRoute(RouteRecord{Destination: 4}), flush(l))
	want := map[rules.DestinationID]rules.RouteState{1: downFor(1), 2: {Limit: 40}}
	for range 2 { // the second time from the compacted file
		if diff := cmp.Diff(want, recordedStates(t, stateDir)); diff != "" {
			t.Errorf("states after a restart, -want +got:\n%s", diff)
		}
	}
	l, _, err = Open(stateDir, 1<<20)
	failOnError(t, err, l.RecordRoute(RouteRecord{Destination: 1, State: downFor(9)}), flush(l))
	failOnError(t, os.Truncate(filepath.Join(stateDir, fileName), l.Size()-3))
	if diff := cmp.Diff(want, recordedStates(t, stateDir)); diff != "" {
		t.Errorf("states after a torn record, -want +got:\n%s", diff)
	}
}

// Guards against route states that crowd notices out of the ledger, and against limits that crowd out outages.
func TestRouteStatesAreBounded(t *testing.T) {
	const capacity = 100_000
	stateDir := t.TempDir()
	l, _, err := Open(stateDir, capacity)
	failOnError(t, err)
	record := func(state rules.RouteState) {
		for destination := range rules.DestinationID(1000) {
			if err := l.RecordRoute(RouteRecord{Destination: destination, State: state}); err != nil &&
				!errors.Is(err, ErrTooManyRoutes) {
				t.Fatal(err)
			}
		}
	}
	record(rules.RouteState{Limit: 40})
	limits := l.routeBytes
	record(downFor(1))
	if limits > capacity/routeShare/2 || l.routeBytes <= limits || l.routeBytes > capacity/routeShare {
		t.Errorf("limits take %d bytes, all states %d; want at most %d and %d", limits, l.routeBytes,
			capacity/routeShare/2, capacity/routeShare)
	}
	failOnError(t, flush(l), l.RecordAccepted(newNotice(1, "one")),
		l.RecordRoute(RouteRecord{Destination: 1, State: rules.RouteState{Limit: 40}})) // the end of an outage
}

// Guards against a state that is never written after a failed write, because no notice is accepted any more.
func TestRouteStateIsWrittenOnceTheFileIsWritableAgain(t *testing.T) {
	stateDir := t.TempDir()
	l, _, err := Open(stateDir, 1<<20)
	failOnError(t, err, l.RecordRoute(RouteRecord{Destination: 1, State: downFor(1)}), flush(l))
	writableFile := l.file
	l.file, err = os.Open(l.path()) // opened read-only, so that writes fail
	failOnError(t, err, l.RecordRoute(RouteRecord{Destination: 1, State: downFor(2)}))
	if flush(l) == nil {
		t.Fatal("Flush returned no error although the file is not writable")
	}
	l.file = writableFile
	failOnError(t, l.RetryFailedWrite(), l.RetryFailedWrite())
	if diff := cmp.Diff(map[rules.DestinationID]rules.RouteState{1: downFor(2)}, recordedStates(t, stateDir)); diff != "" {
		t.Errorf("states after the file became writable, -want +got:\n%s", diff)
	}
}
