package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// result is the result of a play.
type result struct {
	play play
	// worth is the share of the possible value that the day has earned.
	worth float64
	// violations counts the violations by guarantee.
	violations map[string]int
	// failure says why the day was not played to its end; empty if it was.
	failure string
}

func (r result) isClean() bool { return r.failure == "" && len(r.violations) == 0 }

func (r result) String() string {
	if r.failure != "" {
		return "failed: " + r.failure
	}
	if len(r.violations) == 0 {
		return "clean"
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(r.violations)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, r.violations[name]))
	}
	return strings.Join(parts, ", ")
}

func countFailed(results []result) int {
	n := 0
	for _, r := range results {
		if !r.isClean() {
			n++
		}
	}
	return n
}

// table returns a table of day by deployment in Markdown. A cell has the number
// of clean plays, the range of their worth, and what the other plays violated.
func table(results []result) string {
	sites, rows := map[string]bool{}, map[string]map[string][]result{}
	for _, r := range results {
		day, site := baseName(r.play.day), baseName(r.play.site)
		if rows[day] == nil {
			rows[day] = map[string][]result{}
		}
		rows[day][site] = append(rows[day][site], r)
		sites[site] = true
	}
	columns := slices.Sorted(maps.Keys(sites))
	var b strings.Builder
	fmt.Fprintf(&b, "| day | %s |\n|---|%s\n", strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
	for _, day := range slices.Sorted(maps.Keys(rows)) {
		fmt.Fprintf(&b, "| %s |", day)
		for _, site := range columns {
			fmt.Fprintf(&b, " %s |", cell(rows[day][site]))
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "\n%d plays, %d clean\n", len(results), len(results)-countFailed(results))
	return b.String()
}

func cell(results []result) string {
	if len(results) == 0 {
		return "not played"
	}
	var clean []result
	var others []string
	for _, r := range results {
		if r.isClean() {
			clean = append(clean, r)
		} else {
			others = append(others, fmt.Sprintf("%s (seed %d)", strings.ReplaceAll(r.String(), "|", "/"), r.play.seed))
		}
	}
	text := fmt.Sprintf("%d of %d clean", len(clean), len(results))
	if len(clean) > 0 {
		byWorth := func(a, b result) int { return cmp.Compare(a.worth, b.worth) }
		text += fmt.Sprintf(", worth %.2f to %.2f", slices.MinFunc(clean, byWorth).worth, slices.MaxFunc(clean, byWorth).worth)
	}
	return strings.Join(append([]string{text}, others...), "; ")
}
