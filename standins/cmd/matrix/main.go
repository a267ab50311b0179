// Command matrix plays the days of a directory on several deployments and
// prints a table of the guarantees that were violated. It exits with status 1
// if a guarantee was violated or a day could not be played.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/alecthomas/kingpin/v2"
)

// bench runs the program that plays days.
type bench struct {
	binary, note string
	// reports is an existing directory. It keeps the report of each play.
	reports string
}

func main() {
	var b bench
	var days, sites []string
	var seeds []uint64
	app := kingpin.New("matrix", "Plays days on several deployments and prints which guarantees were violated.")
	app.Flag("bench", "Program that plays a day.").Required().ExistingFileVar(&b.binary)
	app.Flag("site", "File that describes a deployment; may be repeated.").Required().ExistingFilesVar(&sites)
	app.Flag("seed", "Seed to play each day with; may be repeated.").Required().Uint64ListVar(&seeds)
	app.Flag("note", "Note for the bench's journal.").Default("matrix").StringVar(&b.note)
	jobs := app.Flag("jobs", "Number of plays to run concurrently, each on one core.").Default("2").Int()
	app.Arg("day", "Files of the days.").Required().ExistingFilesVar(&days)
	kingpin.MustParse(app.Parse(os.Args[1:]))

	var err error
	b.reports, err = os.MkdirTemp("", "matrix")
	app.FatalIfError(err, "directory of the reports")
	fmt.Println("reports:", b.reports)
	results := playAll(plays(days, sites, seeds), *jobs, b.play)
	fmt.Print(table(results))
	if n := countFailed(results); n > 0 {
		app.Fatalf("%d of %d plays violated a guarantee or failed", n, len(results))
	}
}

// play is one day on one deployment with one seed.
type play struct {
	// day and site are paths of files.
	day, site string
	seed      uint64
}

func plays(days, sites []string, seeds []uint64) []play {
	var all []play
	for _, day := range days {
		for _, site := range sites {
			for _, seed := range seeds {
				all = append(all, play{day, site, seed})
			}
		}
	}
	return all
}

// playAll plays all days, jobs of them concurrently. The results are in the
// order of the plays.
func playAll(all []play, jobs int, run func(play) result) []result {
	results := make([]result, len(all))
	slots := make(chan struct{}, max(1, jobs))
	var running sync.WaitGroup
	for i, p := range all {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			results[i] = run(p)
			if !results[i].isClean() {
				fmt.Printf("%s on %s with seed %d: %s\n", baseName(p.day), baseName(p.site), p.seed, results[i])
			}
		})
	}
	running.Wait()
	return results
}

// play plays a day and reads the report that the bench writes.
func (b bench) play(p play) result {
	report := filepath.Join(b.reports, fmt.Sprintf("%s.%s.%d.json", baseName(p.day), baseName(p.site), p.seed))
	cmd := exec.Command(b.binary, "run", p.site, p.day, "--seed", fmt.Sprint(p.seed), "--jobs", "1", "--why", b.note+": "+baseName(p.day), "--report", report)
	output, err := cmd.CombinedOutput()
	text, readErr := os.ReadFile(report)
	var r result
	switch {
	case readErr == nil:
		r = parseReport(p, text)
	case err == nil:
		return result{play: p, failure: readErr.Error()}
	default:
		r = result{play: p}
	}
	if err != nil && r.isClean() {
		// After a violation the report tells more than the exit status.
		lines := strings.Split(strings.TrimSpace(string(output)), "\n")
		r.failure = fmt.Sprintf("%v: %s", err, lines[len(lines)-1])
	}
	return r
}

func baseName(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}

// parseReport reads the parts of a report that the table shows.
func parseReport(p play, text []byte) result {
	var report struct {
		Worth *float64       `json:"G"`
		Fault *string        `json:"fault"`
		Rules map[string]int `json:"breaks"`
	}
	if err := json.Unmarshal(text, &report); err != nil {
		return result{play: p, failure: err.Error()}
	}
	if report.Worth == nil || report.Rules == nil {
		return result{play: p, failure: "the report has no worth or no list of violations"}
	}
	r := result{play: p, worth: *report.Worth, violations: report.Rules}
	if report.Fault != nil {
		r.failure = *report.Fault
	}
	return r
}
