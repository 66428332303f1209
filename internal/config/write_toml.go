package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"chuteweir.example/chuteweir/internal/conf"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// This file writes a configuration in TOML.

// TOML returns the configuration in TOML, with the value of every key.
func (c Config) TOML() []byte {
	var out strings.Builder
	writeText := func(key, value string) { fmt.Fprintf(&out, "%s = %s\n", key, strconv.Quote(value)) }
	writeValue := func(key string, value any) { fmt.Fprintf(&out, "%s = %v\n", key, value) }
	writeNumber := func(key string, value float64) { writeValue(key, strconv.FormatFloat(value, 'f', -1, 64)) }
	writeKind := func(kind conf.Kind, key string, value float64) { writeText(key, conf.FormatNumber(kind, value)) }
	writeSpan := func(key string, m rules.Millis) { writeKind(conf.Span, key, float64(m)) }
	writeHeader := func(name string) { fmt.Fprintf(&out, "\n%s\n", name) }
	choose := func(condition bool, yes, no string) string {
		if condition {
			return yes
		}
		return no
	}
	writeText("name", c.Name)
	writeText("listen", c.Listen)
	writeText("discovery", c.Discovery)
	writeText("state", c.StateDir)
	if !c.RandomSeed {
		writeText("seed", strconv.FormatUint(c.Seed, 16))
	}
	writeHeader("[log]")
	writeText("format", c.Format)
	writeText("level", c.Level)
	writeHeader("[machine]")
	writeText("memory", fmt.Sprintf("%dMiB", c.Machine.MemoryMB))
	writeValue("sockets", c.Machine.Sockets)
	writeKind(conf.Size, "disk", math.Round(c.Machine.DiskMB*1e6))
	writeNumber("cores", c.Machine.Cores)
	values := c.Settings
	writeHeader("[sending]")
	writeValue("senders", values.Senders)
	writeValue("slots", values.Slots)
	writeValue("hold", values.HoldLimit)
	writeValue("trips", values.TripLimit)
	writeValue("call_off", values.CancelTrips)
	writeSpan("tick", values.Tick)
	writeSpan("idle_kept", values.IdleTimeout)
	writeSpan("connect_time", c.Names.ConnectTime)
	writeSpan("key_rest", values.KeyCooldown)
	writeText("list", choose(values.WatchOnRequest, "asked", "watched"))
	writeSpan("ask_within", values.RewatchWithin)
	writeText("listed_rates",
		choose(values.ListedError < 0, "none", choose(values.ListedError == 0, "nominal", "rough")))
	writeHeader("[goal]")
	writeNumber("whole", values.TotalCreditWeight)
	writeNumber("worst_grade", values.WorstGradeWeight)
	writeNumber("over_share", values.OverQuotaWeight)
	writeText("late", choose(values.LateCreditHalves, "by-halves", "evenly"))
	writeHeader("[dismissal]")
	writeValue("retry_after", values.RetryAfter)
	writeSpan("retry_most", values.MaxRetryAfter)
	writeHeader("[return]")
	writeNumber("cold_from", values.ColdCapacity)
	writeSpan("warm", values.WarmUpTime)
	writeNumber("multiple", values.OverloadFactor)
	writeSpan("fall", values.OverloadTime)
	writeHeader("[report]")
	writeText("left", settings.Name(c.Names.LoadReportFields, 0))
	writeText("limit", settings.Name(c.Names.LoadReportFields, 1))
	for i, grade := range values.Grades {
		writeHeader("[[grade]]")
		writeText("name", c.Names.Grades[i])
		writeSpan("quoted", grade.QuotedTime)
		writeSpan("timeout", grade.ClientTimeout)
		writeNumber("credit", grade.Credit)
		writeNumber("late_share", grade.LateShare)
		for name, repeat := range repeats {
			if repeat == grade.Repeat {
				writeText("repeat", name)
			}
		}
		if grade.Repeat == rules.Numbered {
			writeSpan("remembers", grade.RemembersFor)
			writeValue("zone_only", grade.ZoneOnly)
		}
		writeValue("in_order", grade.InOrder)
	}
	for i, quota := range values.Quotas {
		writeHeader("[[portfolio]]")
		writeText("name", c.Names.Portfolios[i])
		writeKind(conf.Rate, "quota", quota)
	}
	for i, kind := range values.Kinds {
		writeHeader("[[kind]]")
		writeText("name", c.Names.Kinds[i])
		writeValue("apart", kind.SeparateRoutes)
	}
	for i, zone := range c.Names.Zones {
		writeHeader("[[zone]]")
		writeText("name", zone)
		if i < len(values.ZoneFees) {
			writeNumber("fee", values.ZoneFees[i])
		}
	}
	for _, member := range c.InitialList.Members {
		writeHeader("[[receiver]]")
		writeText("id", member.ID)
		writeText("address", member.HostPort)
		writeValue("destination", member.Cell)
		if member.Flavor != "" {
			writeText("kind", member.Flavor)
		}
		if member.Locality != "" {
			writeText("zone", member.Locality)
		}
		writeKind(conf.Rate, "rate", member.Size)
		writeText("standing", member.Phase)
	}
	return []byte(out.String())
}
