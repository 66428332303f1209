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

// Search looks for the scenario on which ours does worst: troubles are drawn by seeds into a base scenario, and the worst
// found is shortened for as long as it stays bad.
type Search struct {
	Base     string
	Way      Way
	Against  string // what ours is held against; oracle: what is lost by not knowing, a breach: see Breaches
	Breaches bool   // looks for broken rules in place of lost credit
	Seeds    []uint64
	Parallel int
	Done     func(Found)
}

// Found is a scenario with how bad it is: the credit lost against the other policy, or the breaches.
type Found struct {
	Seed     uint64
	Bad      float64
	Ours     *model.Result
	Other    *model.Result
	Scenario *scenario.Scenario
}

// evaluate plays a scenario.
func (s Search) evaluate(ctx context.Context, sc *scenario.Scenario) (Found, error) {
	f := Found{Seed: sc.Seed, Scenario: sc}
	policy, err := model.PolicyOf(s.Way.Policy, sc)
	if err != nil {
		return f, err
	}
	f.Ours = model.Run(ctx, sc, model.Options{Policy: policy, Workers: 1, Record: s.Breaches})
	if s.Breaches {
		f.Bad = float64(len(f.Ours.Breaches))
		return f, nil
	}
	other, err := model.PolicyOf(s.Against, sc)
	if err != nil {
		return f, err
	}
	f.Other = model.Run(ctx, sc, model.Options{Policy: other, Workers: 1})
	f.Bad = f.Other.All.Credit - f.Ours.All.Credit
	return f, nil
}

// Run plays all seeds and returns them, the worst first.
func (s Search) Run(ctx context.Context) ([]Found, error) {
	found, errs := make([]Found, len(s.Seeds)), make([]error, len(s.Seeds))
	free := make(chan struct{}, max(s.Parallel, 1))
	var all sync.WaitGroup
	var mu sync.Mutex
	for i, seed := range s.Seeds {
		free <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		all.Add(1)
		go func() {
			defer func() { <-free; all.Done() }()
			way := s.Way
			way.Mix = true
			sc, err := way.Scenario(s.Base, seed)
			if err == nil {
				found[i], err = s.evaluate(ctx, sc)
			}
			if errs[i] = err; err == nil && s.Done != nil {
				mu.Lock()
				defer mu.Unlock()
				s.Done(found[i])
			}
		}()
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	found = slices.DeleteFunc(found, func(f Found) bool { return f.Ours == nil || f.Ours.Broken })
	slices.SortStableFunc(found, func(a, b Found) int { return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Seed, b.Seed)) })
	if ctx.Err() != nil {
		return found, ErrEnded
	}
	return found, nil
}

// Shrink takes away what the badness does not need: faults, their length, their reach, and half of the run. It stays at
// least as bad as keep times what was found.
func (s Search) Shrink(ctx context.Context, f Found, keep float64) (Found, error) {
	goal := f.Bad * keep
	try := func(change func(*scenario.Scenario) bool) (bool, error) {
		sc := *f.Scenario
		sc.Faults = slices.Clone(sc.Faults)
		if !change(&sc) {
			return false, nil
		}
		next, err := s.evaluate(ctx, &sc)
		if err != nil || next.Bad < goal || ctx.Err() != nil {
			return false, err
		}
		f = next
		return true, nil
	}
	for round := 0; round < 4 && ctx.Err() == nil; round++ {
		changed := false
		step := func(change func(*scenario.Scenario) bool) error {
			ok, err := try(change)
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
			for _, change := range []func(x *scenario.Fault) bool{
				func(x *scenario.Fault) bool { x.Part = x.Part / 2; return x.Part > 0.02 },
				func(x *scenario.Fault) bool { x.For = x.For / 2; return x.For > 100 },
				func(x *scenario.Fault) bool {
					plain := x.Share != 1
					x.Share = 1
					return plain
				},
			} {
				if err := step(func(sc *scenario.Scenario) bool { return change(&sc.Faults[i]) }); err != nil {
					return f, err
				}
			}
		}
		err := step(func(sc *scenario.Scenario) bool {
			last := rules.Millis(0)
			for _, x := range sc.Faults {
				last = max(last, x.Until())
			}
			sc.Length = sc.Length * 3 / 4
			return sc.Length > last && sc.Length > 1000
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

// Write writes a scenario that was found as a file that plays it again, by try on sockets too.
func (s Search) Write(f Found, about string) ([]byte, error) {
	text, err := s.Way.Text(s.Base)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	span := func(m rules.Millis) string { return conf.Show(conf.Span, float64(m)) }
	tree["name"], tree["about"], tree["seed"] = fmt.Sprintf("found-%d", f.Seed), about, int64(f.Seed)
	tree["length"] = span(f.Scenario.Length)
	var faults []any
	for _, x := range f.Scenario.Faults {
		one := map[string]any{"kind": x.Kind, "at": span(x.At), "for": span(x.For), "part": x.Part, "share": x.Share, "size": x.Size}
		if x.Group != "" {
			one["group"] = x.Group
		}
		if x.Grade != "" {
			one["grade"] = x.Grade
		}
		if x.Busiest {
			one["busiest"] = true
		}
		if x.Each > 0 {
			one["each"] = span(x.Each)
		}
		faults = append(faults, one)
	}
	delete(tree, "fault")
	if len(faults) > 0 {
		tree["fault"] = faults
	}
	return toml.Marshal(tree)
}
