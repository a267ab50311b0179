package platformer_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

const (
	// comparedBursts is how often each process gets comparedRequests requests of a kind in
	// one run.
	comparedBursts   = 3
	comparedRequests = 3000
)

// exactTime returns the processor time that the threads of i have used. It is finer than
// processorTime, but leaves out threads that have ended.
func exactTime(i *platformer.Instance) time.Duration {
	list, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", i.PID()))
	var sum time.Duration
	for _, path := range list {
		text, _ := os.ReadFile(path)
		used, _, _ := strings.Cut(string(text), " ")
		n, _ := strconv.ParseInt(used, 10, 64)
		sum += time.Duration(n)
	}
	return sum
}

// burst sends requests on 64 connections and returns the processor time that i used for
// each of them, and how many were not answered with 200.
func burst(i *platformer.Instance, method string, requests int64) (used time.Duration, failed int64) {
	began := exactTime(i)
	var next, failures atomic.Int64
	var callers sync.WaitGroup
	for range 64 {
		callers.Go(func() {
			for next.Add(1) <= requests {
				if status, _ := i.Call(method, jobID(1), twoSteps, callTimeout); status != fasthttp.StatusOK {
					failures.Add(1)
				}
			}
		})
	}
	callers.Wait()
	return (exactTime(i) - began) / time.Duration(requests), failures.Load()
}

// comparison has the figures of the processes of one operation, by name and kind.
type comparison map[string]float64

// BenchmarkCompare measures the binaries that TARRAGOND_BINARIES names, as NAME=PATH
// separated by commas, side by side: each operation starts a new process of each, which
// get short bursts of requests in turn. It reports the medians over the operations of the
// processor time for a request in us, of the resident memory after that in MB, and of their
// ratios to those of the first binary in the same operation; it logs the values in ascending
// order. Operations in which a request failed, as on a busy machine, are left out and
// counted. Run it with -benchtime=20x.
func BenchmarkCompare(b *testing.B) {
	if os.Getenv("TARRAGOND_BINARIES") == "" {
		b.Skip("TARRAGOND_BINARIES is not set")
	}
	var names []string
	paths := map[string]string{}
	for entry := range strings.SplitSeq(os.Getenv("TARRAGOND_BINARIES"), ",") {
		name, path, _ := strings.Cut(entry, "=")
		names, paths[name] = append(names, name), path
	}
	var list []comparison
	leftOut := 0
	for b.Loop() {
		if c, failed := compare(b, names, paths); failed == 0 {
			list = append(list, c)
		} else {
			leftOut++
			b.Logf("left out, as %d requests failed: %v", failed, c)
		}
	}
	b.ReportMetric(float64(leftOut), "left-out")
	if len(list) == 0 {
		b.Fatal("requests failed in each operation")
	}
	// A benchmark logs ten lines at most.
	var lines strings.Builder
	for _, name := range names {
		for _, kind := range []string{"POST cpu-us", "GET cpu-us", "rss-MB"} {
			var values, ratios []float64
			for _, c := range list {
				values, ratios = append(values, c[name+" "+kind]), append(ratios, c[name+" "+kind]/c[names[0]+" "+kind])
			}
			slices.Sort(values)
			slices.Sort(ratios)
			fmt.Fprintf(&lines, "\n%s %s: %.1f, ratios %.3f", name, kind, values, ratios)
			unit := strings.ReplaceAll(name+" "+kind, " ", "-")
			b.ReportMetric(values[len(values)/2], unit)
			b.ReportMetric(ratios[len(ratios)/2], unit+"-ratio")
		}
	}
	b.Log(lines.String())
}

// compare measures one process of each binary and returns how many requests failed.
func compare(b *testing.B, names []string, paths map[string]string) (c comparison, failed int64) {
	c = comparison{}
	instances := map[string]*platformer.Instance{}
	for _, name := range names {
		p, err := platformer.New(platformer.Options{Binary: paths[name], Directory: b.TempDir(), Workers: 3, TaskDuration: 100 * time.Millisecond})
		quicktest.Assert(b, err, quicktest.IsNil)
		defer p.Stop()
		instances[name], err = p.Start("edge-1")
		quicktest.Assert(b, err, quicktest.IsNil)
	}
	// The shards have owners after the first seconds, and the job has then ended.
	time.Sleep(2 * time.Second)
	for _, i := range instances {
		for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if status, _ := i.Call("POST", jobID(1), twoSteps, callTimeout); status == fasthttp.StatusOK {
				break
			}
		}
	}
	time.Sleep(2 * time.Second)
	for range comparedBursts {
		for _, method := range []string{"POST", "GET"} {
			for _, name := range names {
				used, n := burst(instances[name], method, comparedRequests)
				c[name+" "+method+" cpu-us"] += float64(used.Nanoseconds()) / 1000 / comparedBursts
				failed += n
			}
		}
	}
	for _, name := range names {
		c[name+" rss-MB"] = float64(residentBytes(instances[name])) / (1 << 20)
	}
	return c, failed
}
