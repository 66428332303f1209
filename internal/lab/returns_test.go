package lab

import (
	"context"
	"runtime"
	"testing"

	"chuteweir.example/chuteweir/internal/audit"
)

// overloadSeeds is how many seeds of the overload scenario are played.
const overloadSeeds = 30

func TestReturnOfADestinationWithMoreHeldThanItTakesIsNotPushedOver(t *testing.T) {
	ours, err := ParseWay("")
	if err != nil {
		t.Fatal(err)
	}
	plan := Plan{Scenario: "../../docs/lab/overload.toml", Ways: []Way{ours}, Seeds: Seeds(1, overloadSeeds),
		Parallel: runtime.GOMAXPROCS(0), Record: true}
	rows, err := plan.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if len(row.Result.Breaches) > 0 {
			t.Errorf("seed %d: %s", row.Seed, audit.Tell(row.Result.Breaches))
		}
	}
}
