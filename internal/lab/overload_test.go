package lab

import (
	"context"
	"runtime"
	"testing"

	"chuteweir.example/chuteweir/internal/audit"
)

// overloadSeeds is the number of seeds with which the overload scenario is run.
const overloadSeeds = 30

// Guards against overloading a destination that recovers while the senders hold more notices for it than it can
// process at once.
func TestRecoveringDestinationWithLargeBacklogIsNotOverloaded(t *testing.T) {
	ours, err := ParseVariant("")
	if err != nil {
		t.Fatal(err)
	}
	plan := Plan{Scenario: "../../docs/lab/overload.toml", Variants: []Variant{ours},
		Seeds: ConsecutiveSeeds(1, overloadSeeds), Parallel: runtime.GOMAXPROCS(0), Record: true}
	rows, err := plan.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if len(row.Result.Breaches) > 0 {
			t.Errorf("seed %d: %s", row.Seed, audit.FormatBreaches(row.Result.Breaches))
		}
	}
}
