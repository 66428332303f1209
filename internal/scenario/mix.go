package scenario

import (
	"slices"

	"chuteweir.example/chuteweir/rules"
)

// streamMixedFaults is the random stream from which Mix draws.
const streamMixedFaults = 1 << 30

// Mix replaces the scenario's faults by random ones that are drawn from its seed: three to six that affect
// destinations, one or two that affect senders, and at most one each that affects the platform and the clients. Each
// fault has its own random start and duration.
func Mix(s *Scenario) {
	rng := NewRand(s.Seed, streamMixedFaults)
	kinds := map[FaultTarget][]string{}
	for _, name := range faultKindNames() {
		kinds[faultKinds[name]] = append(kinds[faultKinds[name]], name)
	}
	s.Faults = nil
	add := func(target FaultTarget, count int) {
		for range count {
			fault := Fault{Kind: kinds[target][rng.IntN(len(kinds[target]))], Share: 1, Size: 1,
				Part: 0.1 + 0.4*rng.Float64(), At: s.Length * rules.Millis(0.05+0.65*rng.Float64()),
				Period: 200 + rules.Millis(600*rng.Float64())}
			fault.For = (s.Length - fault.At) * rules.Millis(0.15+0.7*rng.Float64())
			if target == Destinations && rng.Float64() < 0.4 {
				fault.Share = 0.2 + 0.8*rng.Float64()
			}
			if target == Destinations && rng.Float64() < 0.2 {
				fault.Grade = s.Names.Grades[rng.IntN(len(s.Names.Grades))]
			}
			switch fault.Kind {
			case Slow:
				fault.Size = 3 + 40*rng.Float64()
			case LowLimit:
				fault.Size = 0.1 + 0.5*rng.Float64()
			case Hostile:
				fault.Size = float64(3 + rng.IntN(20))
			case Burst:
				fault.Size = 1.5 + 1.5*rng.Float64()
			case Drain, Vanish: // a second one on the same destination would need receivers that do not exist yet
				if slices.ContainsFunc(s.Faults, func(earlier Fault) bool {
					return earlier.Kind == Drain || earlier.Kind == Vanish
				}) {
					fault.Kind = Refuse
				}
			case Kill, Stop, Freeze, Reload, FewFiles: // not two at a time: a sender that is down can't be affected
				if fault.For = min(fault.For, s.Length/8); target == Senders && len(s.Faults) > 0 {
					last := s.Faults[len(s.Faults)-1]
					if last.Target() == Senders && fault.At < last.Until()+4500 {
						continue
					}
				}
			}
			s.Faults = append(s.Faults, fault)
		}
	}
	add(Destinations, 3+rng.IntN(4))
	add(Senders, 1+rng.IntN(2))
	add(Platforms, rng.IntN(2))
	add(Clients, rng.IntN(2))
}
