package main

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

var testPlay = play{"days/restart_1s.toml", "sites/north.toml", 5}

// A report that can't be read, or that lacks a part, must not count as clean.
func TestParseReport(t *testing.T) {
	tests := map[string]struct {
		text, want string
	}{
		"clean":              {`{"G": 0.5, "fault": null, "breaks": {}}`, "clean"},
		"worth of zero":      {`{"G": 0, "breaks": {}}`, "clean"},
		"violations":         {`{"G": 0, "fault": null, "breaks": {"TWICE": 3, "BUDGET": 1}}`, "BUDGET 1, TWICE 3"},
		"fault of a process": {`{"G": 0, "fault": "processes ended", "breaks": {}}`, "failed: processes ended"},
		"no violations list": {`{"G": 0.5}`, "failed: the report has no worth or no list of violations"},
		"no worth":           {`{"breaks": {}}`, "failed: the report has no worth or no list of violations"},
		"cut off":            {`{"G": 0.5, "brea`, "failed: unexpected end of JSON input"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := parseReport(testPlay, []byte(test.text))
			qt.Assert(t, r.String(), qt.Equals, test.want)
			qt.Assert(t, r.isClean(), qt.Equals, test.want == "clean")
		})
	}
}

// A violation or a failed play must show in its own cell with its seed, and a
// pair that was not played must not look clean.
func TestTable(t *testing.T) {
	south := func(seed uint64) play { return play{"days/restart_1s.toml", "sites/south.toml", seed} }
	results := []result{
		{play: testPlay, worth: 0.71, violations: map[string]int{}},
		{play: play{testPlay.day, testPlay.site, 6}, worth: 0.52, violations: map[string]int{}},
		{play: south(5), violations: map[string]int{"TWICE": 3}},
		{play: south(6), failure: "no report"},
		{play: play{"days/again.toml", "sites/north.toml", 5}, worth: 0.4, violations: map[string]int{}},
	}
	qt.Assert(t, table(results), qt.Equals, `| day | north | south |
|---|---|---|
| again | 1 of 1 clean, worth 0.40 to 0.40 | not played |
| restart_1s | 2 of 2 clean, worth 0.52 to 0.71 | 0 of 2 clean; TWICE 3 (seed 5); failed: no report (seed 6) |

5 plays, 3 clean
`)
	qt.Assert(t, countFailed(results), qt.Equals, 2)
}

// Each day is played on each deployment with each seed, and each result belongs
// to its play although the plays run concurrently.
func TestPlayAll(t *testing.T) {
	all := plays([]string{"a", "b"}, []string{"x", "y"}, []uint64{1, 2, 3})
	qt.Assert(t, len(all), qt.Equals, 12)
	results := playAll(all, 4, func(p play) result { return result{play: p, violations: map[string]int{}} })
	for i := range all {
		qt.Assert(t, results[i].play, qt.Equals, all[i])
	}
}

// The bench exits with a status other than 0 after a violation; its report must
// be used then. Without a report the play has failed.
func TestPlayReadsReport(t *testing.T) {
	tests := map[string]struct {
		script, want string
	}{
		"clean":                  {`echo '{"G": 0.5, "breaks": {}}' > "$last"`, "clean"},
		"violation and status 1": {`echo '{"G": 0, "breaks": {"TWICE": 2}}' > "$last"; exit 1`, "TWICE 2"},
		"status 1 only":          {`echo "first"; echo "unknown kind"; exit 1`, "failed: exit status 1: unknown kind"},
		"status 1 after clean":   {`echo '{"G": 0.5, "breaks": {}}' > "$last"; echo "gate failed"; exit 1`, "failed: exit status 1: gate failed"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			binary := filepath.Join(dir, "bench")
			script := "#!/bin/sh\nfor last; do :; done\n" + test.script + "\n"
			qt.Assert(t, os.WriteFile(binary, []byte(script), 0o700), qt.IsNil)
			qt.Assert(t, bench{binary: binary, note: "note", reports: dir}.play(testPlay).String(), qt.Equals, test.want)
		})
	}
}
