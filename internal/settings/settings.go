// Package settings decodes and encodes the decision settings in the platform's JSON. The sender reads them from its
// configuration file, and benchlink from the simulator's wire.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"chuteweir.example/chuteweir/rules"
)

// microseconds is a duration as the settings write it.
type microseconds float64

// millis converts to the unit of package rules.
func (m microseconds) millis() rules.Millis { return rules.Millis(m) / 1000 }

// class is a grade in the settings.
type class struct {
	Name       string       `json:"name"`
	Aim        microseconds `json:"aim"`
	Deadline   microseconds `json:"deadline"`
	Worth      float64      `json:"worth"`
	LateWorth  float64      `json:"late_worth"`
	Repeat     string       `json:"repeat"`
	KeyScope   string       `json:"key_scope"`
	KeyTTL     microseconds `json:"key_ttl"`
	Sequential bool         `json:"sequential"`
}

// realm is a portfolio in the settings.
type realm struct {
	Name      string  `json:"name"`
	QuotaPerS float64 `json:"quota_per_s"`
}

// options is the JSON form of the settings. All durations are in microseconds.
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
		Cancel        bool         `json:"cancel"`
		ConnIdle      microseconds `json:"conn_idle"`
		ConnectTime   microseconds `json:"connect_timeout"`
		MaxRetryAfter microseconds `json:"max_retry_after"`
		OpenCap       int          `json:"open_cap"`
		RetryAfter    bool         `json:"retry_after"`
		SendCap       int          `json:"send_cap"`
	} `json:"limits"`
	Obligations struct {
		ColdFrom    float64      `json:"cold_from"`
		Fall        microseconds `json:"fall"`
		KeyRest     microseconds `json:"key_rest"`
		MustAskIn   microseconds `json:"must_ask_in"`
		TipMultiple float64      `json:"tip_multiple"`
		WarmWithin  microseconds `json:"warm_within"`
	} `json:"obligations"`
	OverShareWorth float64 `json:"over_share_worth"`
	Realms         []realm `json:"realms"`
	Reporting      struct {
		Fields []string `json:"fields"`
	} `json:"reporting"`
	Zones        []string     `json:"zones"`
	Tick         microseconds `json:"tick"`
	WeightSource string       `json:"weight_source"`
}

// repeats maps the settings' names for how a notice may be repeated.
var repeats = map[string]rules.Repeat{
	"free": rules.Reissuable, "guarded": rules.Numbered, "single_shot": rules.AtMostOnce,
}

// listedRateErrors is how far a listed rate may be too high, as a share of the true one, by weight_source. With any
// other weight_source, listed rates are not used.
var listedRateErrors = map[string]float64{"nominal": 0, "rough": 0.5}

// Names holds the names of the grades, portfolios, kinds and zones, which package rules knows only by their indexes,
// and the settings that only the socket code needs.
type Names struct {
	Grades, Portfolios, Kinds, Zones []string
	LoadReportFields                 []string // the fields of a load report, in the order that package rules reads them
	ConnectTime                      rules.Millis
}

// Index returns the index of a name, or len(names) if it is not among them.
func Index(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// Name returns the name at an index, or an empty text beyond the last.
func Name(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return ""
}

// Read decodes settings from the platform's JSON. Unknown fields are ignored.
func Read(text []byte) (rules.Settings, Names, error) {
	var opts options
	if err := json.Unmarshal(text, &opts); err != nil {
		return rules.Settings{}, Names{}, err
	}
	names := Names{Kinds: opts.Kinds, Zones: opts.Zones, LoadReportFields: opts.Reporting.Fields,
		ConnectTime: opts.Limits.ConnectTime.millis()}
	decoded := rules.Settings{
		ZoneFees:          opts.FamilyInfo.FeeByZone,
		Senders:           opts.GroupSize,
		Slots:             opts.FamilyInfo.Slots,
		HoldLimit:         opts.Limits.OpenCap,
		TripLimit:         opts.Limits.SendCap,
		CancelTrips:       opts.Limits.Cancel,
		Tick:              opts.Tick.millis(),
		OverQuotaWeight:   opts.OverShareWorth,
		TotalCreditWeight: opts.Goal.Whole,
		WorstGradeWeight:  opts.Goal.WorstClass,
		LateCreditHalves:  opts.FamilyInfo.LosesWorth == "by_half",
		RetryAfter:        opts.Limits.RetryAfter,
		MaxRetryAfter:     opts.Limits.MaxRetryAfter.millis(),
		WatchOnRequest:    opts.Discovery == "subscribe",
		RewatchWithin:     opts.Obligations.MustAskIn.millis(),
		ListedError:       -1,
		ColdCapacity:      opts.Obligations.ColdFrom,
		WarmUpTime:        opts.Obligations.WarmWithin.millis(),
		OverloadFactor:    opts.Obligations.TipMultiple,
		OverloadTime:      opts.Obligations.Fall.millis(),
		KeyCooldown:       opts.Obligations.KeyRest.millis(),
		IdleTimeout:       opts.Limits.ConnIdle.millis(),
	}
	if rateError, listed := listedRateErrors[opts.WeightSource]; listed {
		decoded.ListedError = rateError
	}
	for _, c := range opts.Classes {
		names.Grades = append(names.Grades, c.Name)
		decoded.Grades = append(decoded.Grades, rules.Grade{
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
	for i := range opts.Kinds {
		kind := rules.Kind{PerCall: 1}
		if i < len(opts.FamilyInfo.PerCall) {
			kind.PerCall = opts.FamilyInfo.PerCall[i]
		}
		kind.SeparateRoutes = i < len(opts.FamilyInfo.SeparateRoutes) && opts.FamilyInfo.SeparateRoutes[i]
		decoded.Kinds = append(decoded.Kinds, kind)
	}
	for _, r := range opts.Realms {
		names.Portfolios = append(names.Portfolios, r.Name)
		decoded.Quotas = append(decoded.Quotas, r.QuotaPerS)
	}
	return decoded, names, nil
}

// Warning reports a value in the settings that makes no sense but can be read: what was found and what was expected.
type Warning struct{ Key, Problem, Expected string }

// Warnings lists the values that make no sense. A sender starts in spite of them: an unknown repeat is treated as
// at-most-once, which is the safest.
func Warnings(text []byte) []Warning {
	var opts options
	if json.Unmarshal(text, &opts) != nil {
		return nil // Read returns the error
	}
	var warnings []Warning
	warnIf := func(bad bool, expected, problem, key string, indexes ...any) {
		if bad {
			warnings = append(warnings, Warning{fmt.Sprintf(key, indexes...), problem, expected})
		}
	}
	seen := map[string]bool{}
	warnIf(len(opts.Classes) == 0, "at least one", "there are none", "classes")
	for i, c := range opts.Classes {
		_, known := repeats[c.Repeat]
		warnIf(!known, "one of free, guarded, single_shot",
			fmt.Sprintf("%q is unknown and treated as single_shot", c.Repeat), "classes.%d.repeat", i)
		warnIf(c.Aim <= 0, "a time above 0", "is not above 0", "classes.%d.aim", i)
		warnIf(c.Deadline < c.Aim, "at least aim", "is less than aim", "classes.%d.deadline", i)
		warnIf(c.Worth < 0, "at least 0", "is negative", "classes.%d.worth", i)
		warnIf(c.LateWorth < 0 || c.LateWorth > 1, "from 0 to 1", "is not from 0 to 1", "classes.%d.late_worth", i)
		warnIf(c.Name == "" || seen[c.Name], "a unique name", "is empty or used more than once", "classes.%d.name", i)
		seen[c.Name] = true
	}
	for i, r := range opts.Realms {
		warnIf(r.QuotaPerS < 0, "at least 0", "is negative", "realms.%d.quota_per_s", i)
	}
	warnIf(opts.FamilyInfo.Slots < 1, "at least 1", "no call can be sent", "family_info.slots")
	warnIf(opts.Limits.SendCap < 1, "at least 1", "no call can be sent", "limits.send_cap")
	warnIf(opts.Limits.OpenCap < 0, "at least 0", "is negative", "limits.open_cap")
	warnIf(opts.Limits.ConnIdle <= 0, "a time above 0", "is not above 0", "limits.conn_idle")
	warnIf(opts.Tick <= 0, "a time above 0", "is not above 0", "tick")
	warnIf(opts.Obligations.Fall <= 0, "a time above 0", "is not above 0", "obligations.fall")
	warnIf(opts.Obligations.WarmWithin <= 0, "a time above 0", "is not above 0", "obligations.warm_within")
	warnIf(opts.Obligations.TipMultiple <= 0, "above 0", "is not above 0", "obligations.tip_multiple")
	warnIf(opts.Obligations.ColdFrom < 0 || opts.Obligations.ColdFrom > 1, "from 0 to 1", "is not from 0 to 1",
		"obligations.cold_from")
	warnIf(opts.GroupSize < 1, "at least 1", "is below 1", "group_size")
	return warnings
}

// Write encodes settings as the platform's JSON, from which Read decodes the same settings.
func Write(from rules.Settings, names Names) ([]byte, error) {
	var opts options
	toMicros := func(m rules.Millis) microseconds { return microseconds(m * 1000) }
	for i, grade := range from.Grades {
		c := class{Name: Name(names.Grades, i),
			Aim: toMicros(grade.QuotedTime), Deadline: toMicros(grade.ClientTimeout),
			Worth: grade.Credit, LateWorth: grade.LateShare, KeyTTL: toMicros(grade.RemembersFor),
			Sequential: grade.InOrder, KeyScope: "all"}
		for name, repeat := range repeats {
			if repeat == grade.Repeat {
				c.Repeat = name
			}
		}
		if grade.ZoneOnly {
			c.KeyScope = "zone"
		}
		opts.Classes = append(opts.Classes, c)
	}
	opts.Kinds, opts.Zones, opts.Reporting.Fields = names.Kinds, names.Zones, names.LoadReportFields
	for _, kind := range from.Kinds {
		opts.FamilyInfo.PerCall = append(opts.FamilyInfo.PerCall, kind.PerCall)
		opts.FamilyInfo.SeparateRoutes = append(opts.FamilyInfo.SeparateRoutes, kind.SeparateRoutes)
	}
	for i, quota := range from.Quotas {
		opts.Realms = append(opts.Realms, realm{Name(names.Portfolios, i), quota})
	}
	opts.Discovery, opts.WeightSource, opts.FamilyInfo.LosesWorth = "automatic", "none", "even"
	if from.WatchOnRequest {
		opts.Discovery = "subscribe"
	}
	if from.LateCreditHalves {
		opts.FamilyInfo.LosesWorth = "by_half"
	}
	for name, rateError := range listedRateErrors {
		if rateError == from.ListedError {
			opts.WeightSource = name
		}
	}
	opts.FamilyInfo.FeeByZone, opts.FamilyInfo.Slots, opts.GroupSize = from.ZoneFees, from.Slots, from.Senders
	opts.Limits.OpenCap, opts.Limits.SendCap, opts.Limits.Cancel = from.HoldLimit, from.TripLimit, from.CancelTrips
	opts.Limits.ConnIdle, opts.Limits.ConnectTime = toMicros(from.IdleTimeout), toMicros(names.ConnectTime)
	opts.Limits.RetryAfter, opts.Limits.MaxRetryAfter = from.RetryAfter, toMicros(from.MaxRetryAfter)
	opts.Goal.Whole, opts.Goal.WorstClass, opts.OverShareWorth, opts.Tick =
		from.TotalCreditWeight, from.WorstGradeWeight, from.OverQuotaWeight, toMicros(from.Tick)
	opts.Obligations.ColdFrom, opts.Obligations.TipMultiple = from.ColdCapacity, from.OverloadFactor
	opts.Obligations.Fall, opts.Obligations.KeyRest, opts.Obligations.WarmWithin =
		toMicros(from.OverloadTime), toMicros(from.KeyCooldown), toMicros(from.WarmUpTime)
	opts.Obligations.MustAskIn = toMicros(from.RewatchWithin)
	return json.Marshal(opts)
}
