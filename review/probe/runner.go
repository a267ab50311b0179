package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// work is what the text of a submission says of its tasks: how long they work, and whether
// they last. The system passes the text on as it is.
type work struct {
	Millis int64 `json:"workMs"`
	Lasts  bool  `json:"lasts"`
	// Fails says that the task fails after its work.
	Fails bool `json:"fails"`
	// IsMany says that there are so many runs that the record only counts them.
	IsMany bool `json:"many"`
}

type runKey struct {
	task    string
	attempt int
}

type run struct {
	work
	began time.Time
}

// runner is one life of a runner.
type runner struct {
	id, service, zone, rack, kind string
	cpu, memory                   int64
	// addr is where the runner listens, entry what its entry names, and name is its id with
	// the number of its life, for the record.
	addr, entry, name, platform string
	startedAt                   time.Time
	born                        int64
	record                      *os.File
	changed                     chan struct{}

	mu       sync.Mutex
	fence    int64
	leaseEnd time.Time
	runs     map[runKey]*run
	refused  map[string]int
	finished [][]any
	ends     int
	// counts has the numbers of the runs that the record doesn't list.
	counts map[string]int
	// many has the submissions of these runs.
	many map[string]bool
	seq  int
}

// startupMillis is how long a task that lasts starts up.
const startupMillis = 300

func runRunner(args []string) error {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	r := &runner{startedAt: time.Now(), born: time.Now().UnixMilli(), runs: map[runKey]*run{}, refused: map[string]int{}, counts: map[string]int{}, many: map[string]bool{}, changed: make(chan struct{})}
	f.StringVar(&r.id, "id", "", "")
	f.StringVar(&r.service, "service", "", "")
	f.StringVar(&r.zone, "zone", "", "")
	f.StringVar(&r.rack, "rack", "", "")
	f.StringVar(&r.kind, "kind", "a", "")
	f.StringVar(&r.addr, "addr", "", "")
	f.StringVar(&r.entry, "entry", "", "")
	f.StringVar(&r.name, "name", "", "")
	f.StringVar(&r.platform, "platform", "", "")
	f.Int64Var(&r.cpu, "cpu", 32000, "")
	f.Int64Var(&r.memory, "mem", 128000, "")
	path := f.String("record", "", "")
	if err := f.Parse(args); err != nil {
		return err
	}
	var err error
	if r.record, err = os.OpenFile(*path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	l, err := net.Listen("tcp4", r.addr)
	if err != nil {
		return err
	}
	go r.advance()
	go r.register()
	go r.noteCounts()
	r.note("runner %s: up at %s", r.name, r.addr)
	return http.Serve(l, r)
}

func (r *runner) note(format string, args ...any) {
	_, _ = r.record.WriteString(time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...) + "\n")
}

func (r *runner) clock() int64 { return time.Since(r.startedAt).Milliseconds() + 1 }

// noteCounts writes the numbers of the runs that the record doesn't list, and of the ends
// that nobody has taken note of.
func (r *runner) noteCounts() {
	for range time.Tick(5 * time.Second) {
		r.mu.Lock()
		if len(r.counts) > 0 {
			r.note("runner %s: of the many runs so far %v; running now %d, ends not taken note of %d", r.name, r.counts, len(r.runs), len(r.finished))
		}
		r.mu.Unlock()
	}
}

// register writes the runner's entry again and again.
func (r *runner) register() {
	for {
		r.seq++
		entry, _ := json.Marshal(map[string]any{
			"service": r.service, "addr": r.entry, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": r.seq,
			"born": r.born, "capacity": map[string]int64{"cpu": r.cpu, "memMb": r.memory}, "labels": []string{r.kind, r.rack},
		})
		response, err := http.Post("http://"+r.platform+"/runner?id="+r.id, "application/json", bytes.NewReader(entry))
		if err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(1100 * time.Millisecond)
	}
}

func (r *runner) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// advance ends the runs that are complete or whose lease has expired.
func (r *runner) advance() {
	for range time.Tick(10 * time.Millisecond) {
		r.mu.Lock()
		r.check()
		r.mu.Unlock()
	}
}

func (r *runner) check() {
	now := time.Now()
	for k, x := range r.runs {
		switch {
		case now.After(r.leaseEnd):
			r.end(k, "lapsed")
		case x.Fails && now.Sub(x.began).Milliseconds() >= x.Millis:
			r.end(k, "failed")
		case !x.Lasts && now.Sub(x.began).Milliseconds() >= x.Millis:
			r.end(k, "done")
		}
	}
}

func (r *runner) end(k runKey, how string) {
	x := r.runs[k]
	delete(r.runs, k)
	r.refused[k.task] = max(r.refused[k.task], k.attempt)
	r.ends++
	r.finished = append(r.finished, []any{r.ends, k.task, k.attempt, how, ""})
	if x.IsMany {
		r.counts["ended "+how]++
	} else {
		r.note("runner %s: run %s/%d ended %s", r.name, k.task, k.attempt, how)
	}
	r.notify()
}

// isMany reports whether the record only counts the runs of a task's submission.
func (r *runner) isMany(task string) bool { return r.many[task[:strings.IndexByte(task, '.')]] }

func (r *runner) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for k, x := range r.runs {
		age := time.Since(x.began).Milliseconds()
		percent := int64(99)
		metric := int64(100)
		if x.Lasts {
			percent, metric = 100*age/startupMillis, 5
		} else if x.Millis > 0 {
			percent = 100 * age / x.Millis
		}
		running = append(running, []any{k.task, k.attempt, "", min(100, percent), metric})
	}
	finished = append(finished, r.finished[:min(500, len(r.finished))]...)
	return map[string]any{"clockMs": r.clock(), "born": r.born, "running": running, "finished": finished}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Task     string `json:"task"`
		Attempt  int    `json:"attempt"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadlineMs"`
		Fence    int64  `json:"fence"`
		Ack      int    `json:"ackCursor"`
		Wait     int64  `json:"waitMs"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, map[string]any{"clockMs": r.clock()})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.check()
	if id := q.Header.Get("Tarragonhead-Expect-Instance"); id != "" && id != r.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": r.clock()})
		return
	}
	refuse := func(reason string) {
		reply(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "born": r.born, "reason": reason})
	}
	if o.Fence < r.fence {
		refuse("fence")
		return
	}
	r.fence = o.Fence
	isLate := o.Deadline > 0 && o.Deadline <= r.clock()
	if o.Deadline > 0 && !isLate {
		until := r.startedAt.Add(time.Duration(o.Deadline) * time.Millisecond)
		if most := time.Now().Add(maxHold); until.After(most) {
			until = most
		}
		if until.After(r.leaseEnd) {
			r.leaseEnd = until
		}
	}
	k := runKey{o.Task, o.Attempt}
	switch q.URL.Path {
	case "/v1/run-start":
		switch {
		case r.runs[k] != nil:
		case isLate || time.Now().After(r.leaseEnd):
			refuse("late")
			return
		case r.refused[k.task] >= k.attempt:
			refuse("old")
			return
		default:
			x := &run{began: time.Now()}
			_ = json.Unmarshal([]byte(o.Spec), &x.work)
			r.runs[k] = x
			if x.IsMany {
				r.many[k.task[:strings.IndexByte(k.task, '.')]] = true
				r.counts["started"]++
			} else {
				r.note("runner %s: run %s/%d started, fence %d", r.name, k.task, k.attempt, o.Fence)
			}
		}
	case "/v1/run-stop":
		if r.runs[k] != nil {
			r.end(k, "stopped")
		}
		r.refused[k.task] = max(r.refused[k.task], k.attempt)
	case "/v1/pace":
	case "/v1/hold":
		for len(r.finished) > 0 && r.finished[0][0].(int) <= o.Ack {
			if e := r.finished[0]; e[3] == "done" && !r.isMany(e[1].(string)) {
				r.note("runner %s: end of %s/%d taken note of", r.name, e[1], e[2])
			}
			r.finished = r.finished[1:]
		}
		timeout := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
		for isOver := o.Wait == 0; len(r.finished) == 0 && !isOver; {
			changed := r.changed
			r.mu.Unlock()
			select {
			case <-changed:
			case <-timeout:
				isOver = true
			case <-q.Context().Done():
				isOver = true
			}
			r.mu.Lock()
		}
		reply(w, http.StatusOK, r.lists())
		return
	default:
		if strings.HasPrefix(q.URL.Path, "/health") {
			reply(w, http.StatusOK, nil)
			return
		}
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born})
}
