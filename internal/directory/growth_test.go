package directory

import (
	"fmt"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

const (
	usualReceivers = 200 // in a fleet
	// maxGrowth is how much longer a list may take with mostReceivers, as a multiple of linear growth.
	maxGrowth = 4
	// forgottenAfter is a time after which the decisions remember nothing of a removed receiver.
	forgottenAfter rules.Millis = 1_000_000
)

// timeOfReplacement returns the shortest time, of a few, in which a fleet of receivers is replaced by another one and
// forgotten. destinations is how many the receivers belong to.
func timeOfReplacement(t *testing.T, receivers, destinations int, separate bool) time.Duration {
	t.Helper()
	names := settings.Names{Kinds: []string{"shop"}}
	listed := NewReceivers(names)
	sender := rules.New(1, rules.Settings{Kinds: []rules.Kind{{PerCall: 1, SeparateRoutes: separate}}, Slots: 10,
		OverloadTime: 1500})
	shortest, now := time.Hour, rules.Millis(0)
	for fleet := range 6 {
		list := List{Complete: true}
		for i := range receivers {
			list.Members = append(list.Members, Member{ID: fmt.Sprintf("%d-%d", fleet, i), HostPort: "127.0.0.1:1",
				Flavor: "shop", Cell: int64(i % destinations), Phase: "ready"})
		}
		started := time.Now()
		update, err := listed.Apply(list)
		if err != nil {
			t.Fatal(err)
		}
		now += forgottenAfter
		sender.Decide(now, []rules.Event{update})
		now += forgottenAfter
		sender.Decide(now, nil)
		if fleet > 0 {
			shortest = min(shortest, time.Since(started))
		}
	}
	return shortest
}

// Guards against a whole list that takes the loop a time that grows with the square of the fleet.
func TestTimeOfAWholeListGrowsLinearlyWithTheReceivers(t *testing.T) {
	const growth = mostReceivers / usualReceivers
	for name, test := range map[string]struct {
		destinationsPerFleet func(receivers int) int
		separate             bool
	}{
		"two receivers a destination":      {func(receivers int) int { return receivers / 2 }, false},
		"one destination":                  {func(int) int { return 1 }, false},
		"one destination, separate routes": {func(int) int { return 1 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			usual := timeOfReplacement(t, usualReceivers, test.destinationsPerFleet(usualReceivers), test.separate)
			most := timeOfReplacement(t, mostReceivers, test.destinationsPerFleet(mostReceivers), test.separate)
			t.Logf("%v with %d receivers, %v with %d", usual, usualReceivers, most, mostReceivers)
			if most > growth*maxGrowth*usual {
				t.Errorf("%v with %d receivers, %v with %d, want at most %v", usual, usualReceivers, most, mostReceivers,
					growth*maxGrowth*usual)
			}
		})
	}
}
