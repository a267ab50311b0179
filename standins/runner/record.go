package runner

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Run records one execution of a request by a runner.
type Run struct {
	ID     string
	Key    string `json:",omitempty"`
	Method string
	Runner string
	// Number is unique among the runs of one runner process.
	Number     uint64
	Start, End time.Time
	// Completed is false while the request runs, and remains false if the runner
	// is killed.
	Completed bool
}

// record keeps the runs in memory and, if it has a file, appends a JSON line to
// it at the start and another at the end of each run.
type record struct {
	mu   sync.Mutex
	runs []Run
	file *os.File
}

func newRecord(o Options) (*record, error) {
	r := &record{}
	if o.Records == "" {
		return r, nil
	}
	var err error
	r.file, err = os.OpenFile(recordFile(o), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return r, errors.Wrap(err, "open record file")
}

func recordFile(o Options) string {
	return filepath.Join(o.Records, fmt.Sprintf("%s-%d.runs", filepath.Base(o.Name), os.Getpid()))
}

// begin records the start of a run and returns its number.
func (r *record) begin(run Run) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Number = uint64(len(r.runs))
	r.runs = append(r.runs, run)
	r.write(run)
	return run.Number
}

func (r *record) end(number uint64, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &r.runs[number]
	run.End, run.Completed = time.Now(), completed
	r.write(*run)
}

func (r *record) write(run Run) {
	if r.file == nil {
		return
	}
	line, err := json.Marshal(run)
	if err == nil {
		_, err = r.file.Write(append(line, '\n'))
	}
	if err != nil {
		// An incomplete record would make the count of runs wrong.
		panic("runner: write record: " + err.Error())
	}
}

func (r *record) all() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ReadRecords returns the runs of all runners with a record file in dir,
// including runners that were killed.
func ReadRecords(dir string) ([]Run, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.runs"))
	if err != nil {
		return nil, err
	}
	var all []Run
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		runs := map[uint64]Run{}
		for s := bufio.NewScanner(bytes.NewReader(data)); s.Scan(); {
			var run Run
			// Skip an incomplete last line, which a killed runner may leave.
			if err := json.Unmarshal(s.Bytes(), &run); err == nil {
				runs[run.Number] = run
			}
		}
		for _, run := range runs {
			all = append(all, run)
		}
	}
	return all, nil
}

// Announcement holds the addresses of a runner process.
type Announcement struct {
	Name        string
	PID         int
	Addr, Admin string
}

// Announce writes an Announcement of this process into Options.Records, beside
// the record file. It does nothing if Records is empty.
func (r *Runner) Announce(addr, admin string) error {
	if r.options.Records == "" {
		return nil
	}
	data, err := json.Marshal(Announcement{r.options.Name, os.Getpid(), addr, admin})
	if err != nil {
		return err
	}
	return os.WriteFile(strings.TrimSuffix(recordFile(r.options), ".runs")+".json", data, 0o644)
}

// ReadAnnouncements returns the announcements of all runners in dir.
func ReadAnnouncements(dir string) ([]Announcement, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var all []Announcement
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var a Announcement
		if err := json.Unmarshal(data, &a); err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, a)
	}
	return all, nil
}
