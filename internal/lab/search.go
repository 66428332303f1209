package lab

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	"chuteweir.example/chuteweir/internal/conf"
	"chuteweir.example/chuteweir/internal/model"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
	"github.com/pelletier/go-toml/v2"
)

// Search looks for the scenario on which the policy under test does worst. Each seed draws random faults into a base
// scenario; Shrink then simplifies the worst scenario found while its badness remains.
type Search struct {
	Base           string
	Variant        Variant
	Reference      string // policy to compare with; the oracle shows the credit lost by not knowing of faults
	SearchBreaches bool   // look for rule breaches instead of lost credit
	Seeds          []uint64
	Parallel       int
	OnFinding      func(Finding) // called for each seed that completes, in any order, one call at a time
}

// Finding is a scenario with its badness: the credit lost against the reference policy, or the number of rule
// breaches.
type Finding struct {
	Seed      uint64
	Badness   float64
	Ours      *model.Result
	Reference *model.Result
	Scenario  *scenario.Scenario
}

// evaluate runs a scenario and computes its badness.
func (s Search) evaluate(ctx context.Context, sc *scenario.Scenario) (Finding, error) {
	f := Finding{Seed: sc.Seed, Scenario: sc}
	policy, err := model.PolicyOf(s.Variant.Policy, sc)
	if err != nil {
		return f, err
	}
	f.Ours = model.Run(ctx, sc, model.Options{Policy: policy, Workers: 1, Record: s.SearchBreaches})
	if s.SearchBreaches {
		f.Badness = float64(len(f.Ours.Breaches))
		return f, nil
	}
	reference, err := model.PolicyOf(s.Reference, sc)
	if err != nil {
		return f, err
	}
	f.Reference = model.Run(ctx, sc, model.Options{Policy: reference, Workers: 1})
	f.Badness = f.Reference.All.Credit - f.Ours.All.Credit
	return f, nil
}

// Run evaluates the scenarios of all seeds and returns them, the worst first. If ctx is cancelled, it returns those
// that completed and ErrInterrupted.
func (s Search) Run(ctx context.Context) ([]Finding, error) {
	findings, errs := make([]Finding, len(s.Seeds)), make([]error, len(s.Seeds))
	slots := make(chan struct{}, max(s.Parallel, 1))
	var running sync.WaitGroup
	var mu sync.Mutex
	for i, seed := range s.Seeds {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		running.Add(1)
		go func() {
			defer func() { <-slots; running.Done() }()
			variant := s.Variant
			variant.Mix = true
			sc, err := variant.Scenario(s.Base, seed)
			if err == nil {
				findings[i], err = s.evaluate(ctx, sc)
			}
			if errs[i] = err; err == nil && s.OnFinding != nil {
				mu.Lock()
				defer mu.Unlock()
				s.OnFinding(findings[i])
			}
		}()
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	findings = slices.DeleteFunc(findings, func(f Finding) bool { return f.Ours == nil || f.Ours.Cancelled })
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(b.Badness, a.Badness), cmp.Compare(a.Seed, b.Seed))
	})
	if ctx.Err() != nil {
		return findings, ErrInterrupted
	}
	return findings, nil
}

// Shrink simplifies a finding: it removes faults, halves their parts and durations, sets their shares to 1 and
// shortens the run by a quarter at a time. It keeps each change after which the badness is at least keep times that of
// the finding. If ctx is cancelled, it returns the simplest finding so far.
func (s Search) Shrink(ctx context.Context, f Finding, keep float64) (Finding, error) {
	minBadness := f.Badness * keep
	tryChange := func(change func(*scenario.Scenario) bool) (bool, error) {
		sc := *f.Scenario
		sc.Faults = slices.Clone(sc.Faults)
		if !change(&sc) {
			return false, nil
		}
		candidate, err := s.evaluate(ctx, &sc)
		if err != nil || candidate.Badness < minBadness || ctx.Err() != nil {
			return false, err
		}
		f = candidate
		return true, nil
	}
	for round := 0; round < 4 && ctx.Err() == nil; round++ {
		changed := false
		step := func(change func(*scenario.Scenario) bool) error {
			ok, err := tryChange(change)
			changed = changed || ok
			return err
		}
		for i := len(f.Scenario.Faults) - 1; i >= 0; i-- {
			err := step(func(sc *scenario.Scenario) bool {
				if i >= len(sc.Faults) {
					return false
				}
				sc.Faults = slices.Delete(sc.Faults, i, i+1)
				return true
			})
			if err != nil {
				return f, err
			}
		}
		for i := range f.Scenario.Faults {
			for _, change := range []func(fault *scenario.Fault) bool{
				func(fault *scenario.Fault) bool { fault.Part = fault.Part / 2; return fault.Part > 0.02 },
				func(fault *scenario.Fault) bool { fault.For = fault.For / 2; return fault.For > 100 },
				func(fault *scenario.Fault) bool {
					reduced := fault.Share != 1
					fault.Share = 1
					return reduced
				},
			} {
				if err := step(func(sc *scenario.Scenario) bool { return change(&sc.Faults[i]) }); err != nil {
					return f, err
				}
			}
		}
		err := step(func(sc *scenario.Scenario) bool {
			faultsEnd := rules.Millis(0)
			for _, fault := range sc.Faults {
				faultsEnd = max(faultsEnd, fault.Until())
			}
			sc.Length = sc.Length * 3 / 4
			return sc.Length > faultsEnd && sc.Length > 1000
		})
		if err != nil {
			return f, err
		}
		if !changed {
			break
		}
	}
	return f, nil
}

// ScenarioFile returns the scenario file (TOML) of a finding. The model and the try command (on sockets) can run it.
func (s Search) ScenarioFile(f Finding, about string) ([]byte, error) {
	text, err := s.Variant.Text(s.Base)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	formatDuration := func(m rules.Millis) string { return conf.FormatNumber(conf.Span, float64(m)) }
	tree["name"], tree["about"], tree["seed"] = fmt.Sprintf("found-%d", f.Seed), about, int64(f.Seed)
	tree["length"] = formatDuration(f.Scenario.Length)
	var faults []any
	for _, fault := range f.Scenario.Faults {
		table := map[string]any{"kind": fault.Kind, "at": formatDuration(fault.At), "for": formatDuration(fault.For),
			"part": fault.Part, "share": fault.Share, "size": fault.Size}
		if fault.Group != "" {
			table["group"] = fault.Group
		}
		if fault.Grade != "" {
			table["grade"] = fault.Grade
		}
		if fault.Busiest {
			table["busiest"] = true
		}
		if fault.Period > 0 {
			table["each"] = formatDuration(fault.Period)
		}
		faults = append(faults, table)
	}
	delete(tree, "fault")
	if len(faults) > 0 {
		tree["fault"] = faults
	}
	return toml.Marshal(tree)
}
