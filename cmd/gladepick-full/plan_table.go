package main

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"gladepick/internal/dispatcher/fleetsim"
	"gladepick/internal/dispatcher/planner"
)

// shownReliefs is how many of the reliefs that were tried are printed.
const shownReliefs = 4

// table writes the answers for a person to read.
type table struct {
	*tabwriter.Writer
}

// line writes a line; its columns are divided by tabs.
func (t table) line(format string, v ...any) { fmt.Fprintf(t, format+"\n", v...) }

// table returns the answers as text.
func (a *answers) table(f *fleetsim.Fleet) string {
	var out strings.Builder
	t := table{tabwriter.NewWriter(&out, 0, 8, 2, ' ', 0)}
	t.line("goal: %s", a.Goal)
	if a.Fit != nil {
		t.writeFit(a.Fit, a.Extrapolates)
	}
	if a.Breaks != nil {
		t.writeBreaks(a.Breaks)
	}
	if a.Needs != nil {
		t.writeNeeds(a.Needs)
	}
	if len(a.Zones) > 0 {
		t.writeZones(a.Zones, f)
	}
	t.line("\n%d days played, seed %d", a.Days, a.Seed)
	if a.Stopped {
		t.line("stopped early: what stands here is what was known by then")
	}
	t.Flush()
	return out.String()
}

func (t table) writeFit(fit *planner.Fit, extrapolates []string) {
	t.line("\nWHAT THE CAPTURES TELL")
	for _, x := range fit.Figures {
		reach := ""
		if x.HalfWidth >= 0 {
			reach = fmt.Sprintf("± %.3g", x.HalfWidth)
		}
		t.line("  %s\t%.4g\t%s\t%d rows", x.Name, x.Value, reach, x.Rows)
	}
	for _, w := range append(slices.Clone(fit.Warnings), extrapolates...) {
		t.line("  mind: %s", w)
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
		t.line("  %s%s\t%v\t%s\t%d days", x.Test, with, x.Value, holds, x.Value.Days)
	}
}

func (t table) writeReliefs(reliefs []planner.LimitEffect) {
	for _, r := range reliefs[:min(shownReliefs, len(reliefs))] {
		t.line("    lifted: %s\tworst test %+.3f\tgain %+.3f", r.Resource, r.Slack, r.Gain)
	}
}

func (t table) writeBreaks(b *planner.BreakingPoint) {
	t.line("\nWHAT BREAKS FIRST")
	t.writeFindings(b.Baseline)
	switch {
	case b.BreaksAtFactor == 0:
		t.line("  the goal holds up to %.2f times the load, the most that was tried", b.HoldsAtFactor)
	case b.HoldsAtFactor == 0:
		t.line("  the goal holds at no load that was tried")
	default:
		t.line("  the goal holds up to %.2f times the load and breaks at %.2f", b.HoldsAtFactor, b.BreaksAtFactor)
	}
	if b.FirstLimit == "" {
		return
	}
	t.line("  first to break: %s", b.FirstLimit)
	t.writeReliefs(b.LimitEffects)
	for _, k := range b.Utilization {
		t.line("    %s", k)
	}
}

func (t table) writeNeeds(n *planner.Sizing) {
	t.line("\nHOW MANY WORKERS")
	if !n.Reached {
		t.line("  no number that was tried holds the goal:")
		t.writeFindings(n.Findings)
		t.writeReliefs(n.LimitEffects)
		return
	}
	t.line("  %d workers at a cost of %.4g (now %.4g), %d fleets looked at", n.Count, n.Cost, n.CostNow, n.Fleets)
	for _, g := range n.Workers {
		t.line("    %s\t%s\t%d", g.Zone, g.Kind, g.Count)
	}
	t.writeFindings(n.Findings)
	if len(n.Limits) > 0 {
		t.line("  least limits that hold it: open jobs %d, worker connections %d, attempts %d",
			n.Limits["open_jobs"], n.Limits["worker_connections"], n.Limits["attempts"])
	}
}

func (t table) writeZones(zones []planner.ZoneLoss, f *fleetsim.Fleet) {
	var classes []string
	for _, c := range f.Classes {
		classes = append(classes, c.Name)
	}
	t.line("\nWHAT LOSING A ZONE COSTS, share of the worth asked")
	t.line("  zone\tspares\tday\tduring\t10 s after\t%s\tworst university", strings.Join(classes, "\t"))
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
		t.line("  %s\t%v\t%v\t%v\t%v\t%s\t%s %v", z.Zone, z.Spares, z.Total, z.During, z.After,
			strings.Join(losses, "\t"), f.Tenants[worst].Name, z.Tenants[worst])
	}
}
