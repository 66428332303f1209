// Package settings decodes the settings that both programs are handed at start.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"chuteweir.example/chuteweir/rules"
)

// micros is a span as the settings write it.
type micros float64

func (m micros) millis() rules.Millis { return rules.Millis(m) / 1000 }

type class struct {
	Name       string  `json:"name"`
	Aim        micros  `json:"aim"`
	Deadline   micros  `json:"deadline"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"late_worth"`
	Repeat     string  `json:"repeat"`
	KeyScope   string  `json:"key_scope"`
	KeyTTL     micros  `json:"key_ttl"`
	Sequential bool    `json:"sequential"`
}

type realm struct {
	Name      string  `json:"name"`
	QuotaPerS float64 `json:"quota_per_s"`
}

type options struct {
	Classes   []class  `json:"classes"`
	Kinds     []string `json:"kinds"`
	Discovery string   `json:"discovery"`
	GroupSize int      `json:"group_size"`
	Goal      struct {
		Whole      float64 `json:"whole"`
		WorstClass float64 `json:"worst_class"`
	} `json:"goal"`
	FamilyInfo struct {
		FeeByZone      []float64 `json:"fee_by_zone"`
		LosesWorth     string    `json:"loses_worth"`
		PerCall        []int     `json:"per_call"`
		SeparateRoutes []bool    `json:"separate_routes"`
		Slots          int       `json:"slots"`
	} `json:"family_info"`
	Limits struct {
		Cancel        bool   `json:"cancel"`
		ConnIdle      micros `json:"conn_idle"`
		ConnectTime   micros `json:"connect_timeout"`
		MaxRetryAfter micros `json:"max_retry_after"`
		OpenCap       int    `json:"open_cap"`
		RetryAfter    bool   `json:"retry_after"`
		SendCap       int    `json:"send_cap"`
	} `json:"limits"`
	Obligations struct {
		ColdFrom    float64 `json:"cold_from"`
		Fall        micros  `json:"fall"`
		KeyRest     micros  `json:"key_rest"`
		MustAskIn   micros  `json:"must_ask_in"`
		TipMultiple float64 `json:"tip_multiple"`
		WarmWithin  micros  `json:"warm_within"`
	} `json:"obligations"`
	OverShareWorth float64 `json:"over_share_worth"`
	Realms         []realm `json:"realms"`
	Reporting      struct {
		Fields []string `json:"fields"`
	} `json:"reporting"`
	Zones        []string `json:"zones"`
	Tick         micros   `json:"tick"`
	WeightSource string   `json:"weight_source"`
}

var repeats = map[string]rules.Repeat{
	"free": rules.Reissuable, "guarded": rules.Numbered, "single_shot": rules.AtMostOnce,
}

// listedErrors is how far a listed rate may be too high, by source.
var listedErrors = map[string]float64{"nominal": 0, "rough": 0.5}

// Names is what the settings call things that the decisions know by number, and what only sockets need.
type Names struct {
	Grades, Portfolios, Kinds, Zones []string
	Report                           []string // the values of a report, in the order the decisions read them
	ConnectTime                      rules.Millis
}

// Index is a name's place among names; one that is not there comes behind all.
func Index(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// Name is the name at a place, or empty.
func Name(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return ""
}

// Read decodes the settings.
func Read(text []byte) (rules.Settings, Names, error) {
	var o options
	if err := json.Unmarshal(text, &o); err != nil {
		return rules.Settings{}, Names{}, err
	}
	names := Names{Kinds: o.Kinds, Zones: o.Zones, Report: o.Reporting.Fields,
		ConnectTime: o.Limits.ConnectTime.millis()}
	s := rules.Settings{
		ZoneFees:    o.FamilyInfo.FeeByZone,
		Senders:     o.GroupSize,
		Slots:       o.FamilyInfo.Slots,
		HoldLimit:   o.Limits.OpenCap,
		TripLimit:   o.Limits.SendCap,
		CallOff:     o.Limits.Cancel,
		Tick:        o.Tick.millis(),
		OverShare:   o.OverShareWorth,
		WholeGoal:   o.Goal.Whole,
		WorstGoal:   o.Goal.WorstClass,
		HalvesLate:  o.FamilyInfo.LosesWorth == "by_half",
		RetryAfter:  o.Limits.RetryAfter,
		RetryMost:   o.Limits.MaxRetryAfter.millis(),
		ListOnAsk:   o.Discovery == "subscribe",
		AskWithin:   o.Obligations.MustAskIn.millis(),
		ListedError: -1,
		ColdFrom:    o.Obligations.ColdFrom,
		WarmWithin:  o.Obligations.WarmWithin.millis(),
		TipMultiple: o.Obligations.TipMultiple,
		Fall:        o.Obligations.Fall.millis(),
		KeyRest:     o.Obligations.KeyRest.millis(),
		IdleKept:    o.Limits.ConnIdle.millis(),
	}
	if e, listed := listedErrors[o.WeightSource]; listed {
		s.ListedError = e
	}
	for _, c := range o.Classes {
		names.Grades = append(names.Grades, c.Name)
		s.Grades = append(s.Grades, rules.Grade{
			QuotedTime:    c.Aim.millis(),
			ClientTimeout: c.Deadline.millis(),
			Credit:        c.Worth,
			LateShare:     c.LateWorth,
			Repeat:        repeats[c.Repeat],
			ZoneOnly:      c.KeyScope != "all",
			RemembersFor:  c.KeyTTL.millis(),
			InOrder:       c.Sequential,
		})
	}
	for i := range o.Kinds {
		k := rules.Kind{PerCall: 1}
		if i < len(o.FamilyInfo.PerCall) {
			k.PerCall = o.FamilyInfo.PerCall[i]
		}
		k.Apart = i < len(o.FamilyInfo.SeparateRoutes) && o.FamilyInfo.SeparateRoutes[i]
		s.Kinds = append(s.Kinds, k)
	}
	for _, r := range o.Realms {
		names.Portfolios = append(names.Portfolios, r.Name)
		s.Quotas = append(s.Quotas, r.QuotaPerS)
	}
	return s, names, nil
}

// Oddity is a value in the settings that is read, and makes no sense.
type Oddity struct{ Key, What, Right string }

// Odd looks for values that make no sense. A sender starts with them all the same: an unknown repeat is taken for
// at-most-once, the safest.
func Odd(text []byte) []Oddity {
	var o options
	if json.Unmarshal(text, &o) != nil {
		return nil // Read tells why
	}
	var odd []Oddity
	say := func(bad bool, right, what, key string, at ...any) {
		if bad {
			odd = append(odd, Oddity{fmt.Sprintf(key, at...), what, right})
		}
	}
	seen := map[string]bool{}
	say(len(o.Classes) == 0, "one at least", "there are none", "classes")
	for i, c := range o.Classes {
		_, known := repeats[c.Repeat]
		say(!known, "free, guarded or single_shot", fmt.Sprintf("%q is unknown and taken for single_shot", c.Repeat), "classes.%d.repeat", i)
		say(c.Aim <= 0, "a span above 0", "is no span", "classes.%d.aim", i)
		say(c.Deadline < c.Aim, "not before aim", "is before aim", "classes.%d.deadline", i)
		say(c.Worth < 0, "at least 0", "is negative", "classes.%d.worth", i)
		say(c.LateWorth < 0 || c.LateWorth > 1, "from 0 to 1", "is no share", "classes.%d.late_worth", i)
		say(c.Name == "" || seen[c.Name], "a name of its own", "is empty or stands twice", "classes.%d.name", i)
		seen[c.Name] = true
	}
	for i, r := range o.Realms {
		say(r.QuotaPerS < 0, "at least 0", "is negative", "realms.%d.quota_per_s", i)
	}
	say(o.FamilyInfo.Slots < 1, "at least 1", "no call can leave", "family_info.slots")
	say(o.Limits.SendCap < 1, "at least 1", "no call can leave", "limits.send_cap")
	say(o.Limits.OpenCap < 0, "at least 0", "is negative", "limits.open_cap")
	say(o.Limits.ConnIdle <= 0, "a span above 0", "is no span", "limits.conn_idle")
	say(o.Tick <= 0, "a span above 0", "is no span", "tick")
	say(o.Obligations.Fall <= 0, "a span above 0", "is no span", "obligations.fall")
	say(o.Obligations.WarmWithin <= 0, "a span above 0", "is no span", "obligations.warm_within")
	say(o.Obligations.TipMultiple <= 0, "above 0", "is not above 0", "obligations.tip_multiple")
	say(o.Obligations.ColdFrom < 0 || o.Obligations.ColdFrom > 1, "from 0 to 1", "is no share", "obligations.cold_from")
	say(o.GroupSize < 1, "at least 1", "there is no sender", "group_size")
	return odd
}

// Write writes settings in the platform's form; Read reads the same from it.
func Write(s rules.Settings, names Names) ([]byte, error) {
	var o options
	us := func(m rules.Millis) micros { return micros(m * 1000) }
	for i, g := range s.Grades {
		c := class{Name: Name(names.Grades, i), Aim: us(g.QuotedTime), Deadline: us(g.ClientTimeout), Worth: g.Credit,
			LateWorth: g.LateShare, KeyTTL: us(g.RemembersFor), Sequential: g.InOrder, KeyScope: "all"}
		for name, repeat := range repeats {
			if repeat == g.Repeat {
				c.Repeat = name
			}
		}
		if g.ZoneOnly {
			c.KeyScope = "zone"
		}
		o.Classes = append(o.Classes, c)
	}
	o.Kinds, o.Zones, o.Reporting.Fields = names.Kinds, names.Zones, names.Report
	for _, k := range s.Kinds {
		o.FamilyInfo.PerCall = append(o.FamilyInfo.PerCall, k.PerCall)
		o.FamilyInfo.SeparateRoutes = append(o.FamilyInfo.SeparateRoutes, k.Apart)
	}
	for i, quota := range s.Quotas {
		o.Realms = append(o.Realms, realm{Name(names.Portfolios, i), quota})
	}
	o.Discovery, o.WeightSource, o.FamilyInfo.LosesWorth = "automatic", "none", "even"
	if s.ListOnAsk {
		o.Discovery = "subscribe"
	}
	if s.HalvesLate {
		o.FamilyInfo.LosesWorth = "by_half"
	}
	for name, e := range listedErrors {
		if e == s.ListedError {
			o.WeightSource = name
		}
	}
	o.FamilyInfo.FeeByZone, o.FamilyInfo.Slots, o.GroupSize = s.ZoneFees, s.Slots, s.Senders
	o.Limits.OpenCap, o.Limits.SendCap, o.Limits.Cancel = s.HoldLimit, s.TripLimit, s.CallOff
	o.Limits.ConnIdle, o.Limits.ConnectTime = us(s.IdleKept), us(names.ConnectTime)
	o.Limits.RetryAfter, o.Limits.MaxRetryAfter = s.RetryAfter, us(s.RetryMost)
	o.Goal.Whole, o.Goal.WorstClass, o.OverShareWorth, o.Tick = s.WholeGoal, s.WorstGoal, s.OverShare, us(s.Tick)
	o.Obligations.ColdFrom, o.Obligations.TipMultiple = s.ColdFrom, s.TipMultiple
	o.Obligations.Fall, o.Obligations.KeyRest, o.Obligations.WarmWithin = us(s.Fall), us(s.KeyRest), us(s.WarmWithin)
	o.Obligations.MustAskIn = us(s.AskWithin)
	return json.Marshal(o)
}
