package platformer_test

import (
	"fmt"
	"os"
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

// clockTick is the unit of the processor times in /proc.
const clockTick = 10 * time.Millisecond

// processorTime returns the processor time that the process of i has used.
func processorTime(i *platformer.Instance) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.PID()))
	list := strings.Fields(string(text[strings.LastIndex(string(text), ")")+1:]))
	user, _ := strconv.Atoi(list[11])
	system, _ := strconv.Atoi(list[12])
	return time.Duration(user+system) * clockTick
}

// residentBytes returns the resident memory of the process of i.
func residentBytes(i *platformer.Instance) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.PID()))
	list := strings.Fields(string(text))
	if len(list) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(list[1])
	return pages * os.Getpagesize()
}

// BenchmarkRequest measures the processor time of an instance for an ordinary request
// through its front, which depends less on other load than the time until the response,
// and its resident memory after that.
func BenchmarkRequest(b *testing.B) {
	for name, method := range map[string]string{"submission": "POST", "question": "GET"} {
		b.Run(name, func(b *testing.B) {
			c := quicktest.New(b)
			p, err := platformer.New(platformer.Options{Binary: binary, Directory: b.TempDir(), Workers: 3, TaskDuration: 100 * time.Millisecond})
			c.Assert(err, quicktest.IsNil)
			b.Cleanup(p.Stop)
			i, err := p.Start("edge-1")
			c.Assert(err, quicktest.IsNil)
			for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if status, _ := i.Call("POST", jobID(1), twoSteps, callTimeout); status == fasthttp.StatusOK {
					break
				}
			}
			time.Sleep(2 * time.Second)
			b.ResetTimer()
			began := processorTime(i)
			var next atomic.Int64
			var callers sync.WaitGroup
			for range 64 {
				callers.Go(func() {
					for next.Add(1) <= int64(b.N) {
						if status, body := i.Call(method, jobID(1), twoSteps, callTimeout); status != fasthttp.StatusOK {
							b.Errorf("%d %s", status, body)
							return
						}
					}
				})
			}
			callers.Wait()
			b.ReportMetric(float64((processorTime(i)-began).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(statusOf(i, "VmRSS")), "rss-MB")
		})
	}
}
