package main

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"gladepick/internal/dispatcher/fleetsim"
	"gladepick/internal/dispatcher/planner"
)

// maxPrintedEffects is the maximum number of limit effects that are printed.
const maxPrintedEffects = 4

// table writes the answers as text with aligned columns.
type table struct {
	*tabwriter.Writer
}

// writeLine writes one line. Tabs separate its columns.
func (t table) writeLine(format string, v ...any) { fmt.Fprintf(t, format+"\n", v...) }

// table returns the answers as text.
func (a *answers) table(f *fleetsim.Fleet) string {
	var out strings.Builder
	t := table{tabwriter.NewWriter(&out, 0, 8, 2, ' ', 0)}
	t.writeLine("goal: %s", a.Goal)
	if a.Fit != nil {
		t.writeFit(a.Fit, a.Extrapolates)
	}
	if a.Breaks != nil {
		t.writeBreakingPoint(a.Breaks)
	}
	if a.Needs != nil {
		t.writeSizing(a.Needs)
	}
	if len(a.Zones) > 0 {
		t.writeZoneLosses(a.Zones, f)
	}
	t.writeLine("\n%d days played, seed %d", a.Days, a.Seed)
	if a.Stopped {
		t.writeLine("stopped early: what stands here is what was known by then")
	}
	t.Flush()
	return out.String()
}

func (t table) writeFit(fit *planner.Fit, extrapolates []string) {
	t.writeLine("\nWHAT THE CAPTURES TELL")
	for _, x := range fit.Figures {
		interval := ""
		if x.HalfWidth >= 0 {
			interval = fmt.Sprintf("± %.3g", x.HalfWidth)
		}
		t.writeLine("  %s\t%.4g\t%s\t%d rows", x.Name, x.Value, interval, x.Rows)
	}
	for _, w := range append(slices.Clone(fit.Warnings), extrapolates...) {
		t.writeLine("  mind: %s", w)
	}
}

func (t table) writeFindings(findings []planner.Finding) {
	for _, x := range findings {
		holds := "FAILS"
		if x.Holds {
			holds = "holds"
		}
		with := ""
		if x.With != "" {
			with = " with " + x.With
		}
		t.writeLine("  %s%s\t%v\t%s\t%d days", x.Test, with, x.Value, holds, x.Value.Days)
	}
}

// writeLimitEffects writes how much the goal gains when a limit is lifted, for the first maxPrintedEffects limits.
func (t table) writeLimitEffects(effects []planner.LimitEffect) {
	for _, effect := range effects[:min(maxPrintedEffects, len(effects))] {
		t.writeLine("    lifted: %s\tworst test %+.3f\tgain %+.3f", effect.Resource, effect.Slack, effect.Gain)
	}
}

func (t table) writeBreakingPoint(b *planner.BreakingPoint) {
	t.writeLine("\nWHAT BREAKS FIRST")
	t.writeFindings(b.Baseline)
	switch {
	case b.BreaksAtFactor == 0:
		t.writeLine("  the goal holds up to %.2f times the load, the most that was tried", b.HoldsAtFactor)
	case b.HoldsAtFactor == 0:
		t.writeLine("  the goal holds at no load that was tried")
	default:
		t.writeLine("  the goal holds up to %.2f times the load and breaks at %.2f", b.HoldsAtFactor, b.BreaksAtFactor)
	}
	if b.FirstLimit == "" {
		return
	}
	t.writeLine("  first to break: %s", b.FirstLimit)
	t.writeLimitEffects(b.LimitEffects)
	for _, k := range b.Utilization {
		t.writeLine("    %s", k)
	}
}

func (t table) writeSizing(n *planner.Sizing) {
	t.writeLine("\nHOW MANY WORKERS")
	if !n.Reached {
		t.writeLine("  no number that was tried holds the goal:")
		t.writeFindings(n.Findings)
		t.writeLimitEffects(n.LimitEffects)
		return
	}
	t.writeLine("  %d workers at a cost of %.4g (now %.4g), %d fleets looked at", n.Count, n.Cost, n.CostNow, n.Fleets)
	for _, g := range n.Workers {
		t.writeLine("    %s\t%s\t%d", g.Zone, g.Kind, g.Count)
	}
	t.writeFindings(n.Findings)
	if len(n.Limits) > 0 {
		t.writeLine("  least limits that hold it: open jobs %d, worker connections %d, attempts %d",
			n.Limits["open_jobs"], n.Limits["worker_connections"], n.Limits["attempts"])
	}
}

func (t table) writeZoneLosses(zones []planner.ZoneLoss, f *fleetsim.Fleet) {
	var classes []string
	for _, c := range f.Classes {
		classes = append(classes, c.Name)
	}
	t.writeLine("\nWHAT LOSING A ZONE COSTS, share of the worth asked")
	t.writeLine("  zone\tspares\tday\tduring\t10 s after\t%s\tworst university", strings.Join(classes, "\t"))
	for _, z := range zones {
		worst := 0
		for i := range z.Tenants {
			if z.Tenants[i].Mean > z.Tenants[worst].Mean {
				worst = i
			}
		}
		var losses []string
		for _, c := range z.Classes {
			losses = append(losses, c.String())
		}
		t.writeLine("  %s\t%v\t%v\t%v\t%v\t%s\t%s %v", z.Zone, z.Spares, z.Total, z.During, z.After,
			strings.Join(losses, "\t"), f.Tenants[worst].Name, z.Tenants[worst])
	}
}
