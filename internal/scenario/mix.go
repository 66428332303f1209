package scenario

import (
	"slices"

	"chuteweir.example/chuteweir/rules"
)

const streamMix = 1 << 30

// Mix draws faults by the scenario's seed and puts them in place of its own: three to six that strike destinations, one
// or two that strike senders, and maybe one each of the platform's and the clients', at times of their own.
func Mix(s *Scenario) {
	draw := Chance(s.Seed, streamMix)
	kinds := map[Struck][]string{}
	for _, name := range kindNames() {
		kinds[faultKinds[name]] = append(kinds[faultKinds[name]], name)
	}
	s.Faults = nil
	add := func(from Struck, count int) {
		for range count {
			f := Fault{Kind: kinds[from][draw.IntN(len(kinds[from]))], Share: 1, Size: 1, Part: 0.1 + 0.4*draw.Float64(),
				At: s.Length * rules.Millis(0.05+0.65*draw.Float64()), Each: 200 + rules.Millis(600*draw.Float64())}
			f.For = (s.Length - f.At) * rules.Millis(0.15+0.7*draw.Float64())
			if from == Destinations && draw.Float64() < 0.4 {
				f.Share = 0.2 + 0.8*draw.Float64()
			}
			if from == Destinations && draw.Float64() < 0.2 {
				f.Grade = s.Names.Grades[draw.IntN(len(s.Names.Grades))]
			}
			switch f.Kind {
			case Slow:
				f.Size = 3 + 40*draw.Float64()
			case LowLimit:
				f.Size = 0.1 + 0.5*draw.Float64()
			case Hostile:
				f.Size = float64(3 + draw.IntN(20))
			case Burst:
				f.Size = 1.5 + 1.5*draw.Float64()
			case Drain, Vanish: // one after the other on one destination would need receivers that are not there yet
				if slices.ContainsFunc(s.Faults, func(o Fault) bool { return o.Kind == Drain || o.Kind == Vanish }) {
					f.Kind = Refuse
				}
			case Kill, Stop, Freeze, Reload, FewFiles: // one at a time: a sender that is away can't be struck again
				if f.For = min(f.For, s.Length/8); from == Senders && len(s.Faults) > 0 {
					last := s.Faults[len(s.Faults)-1]
					if last.Strikes() == Senders && f.At < last.Until()+4500 {
						continue
					}
				}
			}
			s.Faults = append(s.Faults, f)
		}
	}
	add(Destinations, 3+draw.IntN(4))
	add(Senders, 1+draw.IntN(2))
	add(Platforms, draw.IntN(2))
	add(Clients, draw.IntN(2))
}
