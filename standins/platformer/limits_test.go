package platformer_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

const (
	// limitedMemoryMB and limitedDescriptors are what the process of a row may use. The
	// crowds fit the descriptors, except for the rows about descriptors.
	limitedMemoryMB    = 64
	limitedDescriptors = 256
	crowdSize          = 200
	// crowdBodyBytes is the limit of the configuration for a body.
	crowdBodyBytes = 262144
	// crowdTime bounds the time in which a crowd sends. It then holds its connections.
	crowdTime = 4 * time.Second
	// answerTime is how long an ordinary client repeats its request.
	answerTime = 30 * time.Second
)

// crowd is a number of connections that send the same: head once, and piece up to pieces
// times with a pause after each. Without reads, they read no response.
type crowd struct {
	address           func(*platformer.Instance) string
	connections       int
	head, piece       string
	pieces            int
	pause             time.Duration
	reads, isLeftOpen bool
}

func frontOf(i *platformer.Instance) string     { return i.Front }
func controlOf(i *platformer.Instance) string   { return i.Control() }
func readinessOf(i *platformer.Instance) string { return i.Readiness }

// request returns a request without its body, and without the end of its header if
// header does not have it.
func request(method, path, header string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + platformer.Host + "\r\n" + header
}

func withLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

// whole returns a submission with the given body.
func whole(body string) string {
	return request("POST", platformer.Prefix+jobID(900), withLength(len(body))) + body
}

// chunk returns a chunk of n bytes.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// filled returns as many copies of element as fit a body between before and after.
func filled(before, element, after string) string {
	return before + strings.Repeat(element, (crowdBodyBytes-len(before)-len(after))/len(element)) + after
}

// compressed returns a compressed body of 64 MB.
func compressed() string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	for range 64 {
		_, _ = w.Write(make([]byte, 1<<20))
	}
	_ = w.Close()
	return b.String()
}

// run sends what the crowd sends on one connection, calls sent, and holds the connection
// until release is closed. If it isn't left open, it is closed and opened again until stop
// is closed.
func (w crowd) run(address string, stop, release <-chan struct{}, sent func()) {
	defer sent()
	for {
		c, err := net.DialTimeout("tcp4", address, crowdTime)
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(crowdTime))
		if w.reads {
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
		_, err = io.WriteString(c, w.head)
		for n := 0; n < w.pieces && err == nil; n++ {
			_, err = io.WriteString(c, w.piece)
			time.Sleep(w.pause)
		}
		if w.isLeftOpen {
			sent()
			<-release
		}
		_ = c.Close()
		select {
		case <-stop:
			return
		default:
			time.Sleep(w.pause)
		}
	}
}

// statusOf returns a number of /proc/PID/status, in MB, or -1 if the process has ended.
func statusOf(i *platformer.Instance, name string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.PID()))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n / 1024
		}
	}
	return -1
}

// TestClientsWithoutLimits guards against a process that ends, needs more memory or
// descriptors than its machine has, or serves no ordinary client any more, because of
// clients that keep to no limit.
func TestClientsWithoutLimits(t *testing.T) {
	submission := platformer.Prefix + jobID(900)
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	block := strings.Repeat("x", 1<<16)
	jobs := request("GET", platformer.Prefix, "\r\n")
	for name, w := range map[string]crowd{
		"announced over the limit":             {frontOf, crowdSize, request("POST", submission, withLength(1<<30)), block, 64, 0, false, true},
		"announced over the limit one byte":    {frontOf, crowdSize, request("POST", submission, withLength(1<<20)) + "x", "", 0, 0, false, true},
		"announced not sent":                   {frontOf, crowdSize, request("POST", submission, withLength(crowdBodyBytes)), "", 0, 0, false, true},
		"all but the last byte":                {frontOf, crowdSize, request("POST", submission, withLength(crowdBodyBytes)), block[:crowdBodyBytes/4-1], 4, 0, false, true},
		"without end with a length":            {frontOf, crowdSize, request("POST", submission, withLength(1<<20)), block[:1<<15], 31, 10 * time.Millisecond, false, true},
		"without end chunked":                  {frontOf, crowdSize, request("POST", submission, chunked), chunk(1 << 14), 1000, 10 * time.Millisecond, false, true},
		"one byte at a time":                   {frontOf, crowdSize, request("POST", submission, withLength(crowdBodyBytes)), "x", 400, 10 * time.Millisecond, false, true},
		"headers without end":                  {frontOf, crowdSize, request("GET", submission, ""), "X-Header: " + block[:100] + "\r\n", 10000, time.Millisecond, false, true},
		"very many headers":                    {frontOf, crowdSize, "", request("GET", submission, strings.Repeat("a:\r\n", 3900)+"\r\n"), 8, 100 * time.Millisecond, true, true},
		"trailers without end":                 {frontOf, crowdSize, request("POST", submission, "Trailer: A\r\n"+chunked) + chunk(100) + "0\r\n", "A: " + block[:100] + "\r\n", 10000, time.Millisecond, false, true},
		"begun and left":                       {frontOf, crowdSize, request("POST", submission, withLength(crowdBodyBytes)) + block, "", 0, 10 * time.Millisecond, false, false},
		"responses that nobody reads":          {frontOf, crowdSize, "", strings.Repeat(jobs, 500), 200, 0, false, true},
		"more connections than descriptors":    {frontOf, limitedDescriptors + 100, "", "", 0, 0, false, true},
		"pipelined":                            {frontOf, crowdSize, "", strings.Repeat(jobs, 100), 20, 10 * time.Millisecond, true, true},
		"pipelined submissions":                {frontOf, crowdSize, "", strings.Repeat(whole(`{"spec":"x","phases":[]}`), 100), 20, 10 * time.Millisecond, true, true},
		"compressed":                           {frontOf, crowdSize, request("POST", submission, "Content-Encoding: gzip\r\n"+withLength(len(compressed()))) + compressed(), "", 0, 0, true, true},
		"deep nesting":                         {frontOf, crowdSize, whole(filled(`{"phases":`, "[", "")), "", 0, 0, true, true},
		"huge array of objects":                {frontOf, crowdSize, whole(filled(`{"phases":[{}`, ",{}", "]}")), "", 0, 0, true, true},
		"huge array of numbers":                {frontOf, crowdSize, whole(filled(`{"phases":[1`, ",1", "]}")), "", 0, 0, true, true},
		"repeated keys":                        {frontOf, crowdSize, whole(filled(`{"spec":"x"`, `,"phases":[{"after":[0,0,0,0,0,0,0,0]},{},{},{},{},{},{},{}]`, "}")), "", 0, 0, true, true},
		"numbers out of range":                 {frontOf, crowdSize, whole(filled(`{"phases":[{"count":`, "9", "}]}")), "", 0, 0, true, true},
		"control announced one byte":           {controlOf, crowdSize, request("POST", "/store", withLength(1<<20)) + "x", "", 0, 0, false, true},
		"control all but the last byte":        {controlOf, crowdSize, request("POST", "/question", withLength(crowdBodyBytes)), block[:crowdBodyBytes/4-1], 4, 0, false, true},
		"control without end chunked":          {controlOf, crowdSize, request("POST", "/question", chunked), chunk(1 << 14), 1000, 10 * time.Millisecond, false, true},
		"control headers without end":          {controlOf, crowdSize, request("GET", "/question", ""), "X-Header: " + block[:100] + "\r\n", 10000, time.Millisecond, false, true},
		"control more connections":             {controlOf, limitedDescriptors + 100, "", "", 0, 0, false, true},
		"control responses that nobody reads":  {controlOf, crowdSize, "", strings.Repeat(request("GET", "/metrics", "\r\n"), 20), 20, 0, false, true},
		"control huge array":                   {controlOf, crowdSize, request("POST", "/store", withLength(len(hugeRecord()))) + hugeRecord(), "", 0, 0, true, true},
		"readiness announced one byte":         {readinessOf, crowdSize, request("POST", "/", withLength(1<<20)) + "x", "", 0, 0, false, true},
		"readiness without end chunked":        {readinessOf, crowdSize, request("POST", "/", chunked), chunk(1 << 14), 1000, 10 * time.Millisecond, false, true},
		"readiness more connections":           {readinessOf, limitedDescriptors + 100, "", "", 0, 0, false, true},
		"readiness responses that nobody read": {readinessOf, crowdSize, "", strings.Repeat(request("GET", "/", "\r\n"), 500), 200, 0, false, true},
	} {
		t.Run(name, func(t *testing.T) { w.check(t) })
	}
}

// hugeRecord returns the record of a job with as many empty steps as the library decodes
// by default.
func hugeRecord() string {
	return "\xa1\x65steps\x9a\x00\x02\x00\x00" + strings.Repeat("\xa0", 131072)
}

// check runs the crowd against one process.
func (w crowd) check(t *testing.T) {
	s := newTestPlatformWith(t, platformer.Options{TaskDuration: 100 * time.Millisecond, MaxDescriptors: limitedDescriptors, MemoryMB: limitedMemoryMB})
	i := s.startInstance("edge-1")
	pid, descriptors := i.PID(), 0
	stop := make(chan struct{})
	held, release := make(chan struct{}), make(chan struct{})
	var senders, holders sync.WaitGroup
	defer holders.Wait()
	defer close(release)
	for range w.connections {
		senders.Add(1)
		holders.Go(func() { w.run(w.address(i), stop, release, sync.OnceFunc(senders.Done)) })
	}
	go func() {
		time.Sleep(crowdTime / 2)
		close(stop)
		senders.Wait()
		close(held)
	}()
	isServed, status, body := false, 0, ""
	end := time.Now().Add(answerTime)
	for n := 1; time.Now().Before(end) && statusOf(i, "VmHWM") > 0; n++ {
		list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		descriptors = max(descriptors, len(list))
		select {
		case <-held:
		default:
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if status, body = i.Call("POST", jobID(n), twoSteps, callTimeout); status == fasthttp.StatusOK {
			isServed = true
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	memory := statusOf(i, "VmHWM")
	t.Logf("memory %d MB, descriptors %d, served %v (%d %s)", memory, descriptors, isServed, status, body)
	c := quicktest.New(t)
	select {
	case <-i.Ended():
		c.Fatal("the process has ended")
	default:
	}
	c.Check(memory <= limitedMemoryMB, quicktest.IsTrue, quicktest.Commentf("%d MB", memory))
	c.Check(descriptors <= limitedDescriptors, quicktest.IsTrue, quicktest.Commentf("%d descriptors", descriptors))
	c.Check(isServed, quicktest.IsTrue, quicktest.Commentf("%d %s", status, body))
}

// TestClientsAtLimits guards against a client that keeps to all limits of the configuration
// and is refused.
func TestClientsAtLimits(t *testing.T) {
	s := newTestPlatformWith(t, platformer.Options{TaskDuration: 100 * time.Millisecond, MaxDescriptors: limitedDescriptors, MemoryMB: limitedMemoryMB})
	i := s.startInstance("edge-1")
	field := "X-Header: " + strings.Repeat("x", 16384-len("Host: \r\nContent-Length: 10000\r\nX-Header: \r\n\r\n")-len(platformer.Host)) + "\r\n"
	header := func(n int, body, field string) string {
		return request("POST", platformer.Prefix+jobID(n), field+withLength(len(body)))
	}
	largest := `{"phases":[{"count":1,"cpu":500,"memMb":100,"estimateMs":300}],"spec":"` + strings.Repeat("x", crowdBodyBytes-73) + `"}`
	steps := `{"spec":"x","phases":[{"count":1}` + strings.Repeat(`,{"count":1}`, 9999) + `]}`
	for name, parts := range map[string][]string{
		"largest header":        {header(1, twoSteps, field) + twoSteps},
		"largest body":          {header(2, largest, "") + largest},
		"most steps":            {header(3, steps, "") + steps},
		"slow":                  {header(4, twoSteps, "")[:20], header(4, twoSteps, "")[20:], twoSteps[:20], twoSteps[20:]},
		"chunked":               {request("POST", platformer.Prefix+jobID(5), "Transfer-Encoding: chunked\r\n\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(twoSteps), twoSteps)},
		"idle before and after": {"", header(6, twoSteps, "") + twoSteps, "", header(6, twoSteps, "") + twoSteps},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			conn, err := net.Dial("tcp4", i.Front)
			c.Assert(err, quicktest.IsNil)
			defer func() { _ = conn.Close() }()
			for n, part := range parts {
				if n > 0 {
					time.Sleep(2 * time.Second)
				}
				_, err := io.WriteString(conn, part)
				c.Assert(err, quicktest.IsNil)
			}
			var response fasthttp.Response
			_ = conn.SetReadDeadline(time.Now().Add(answerTime))
			c.Assert(response.Read(bufio.NewReader(conn)), quicktest.IsNil)
			c.Assert(response.StatusCode(), quicktest.Equals, fasthttp.StatusOK, quicktest.Commentf("%s", response.Body()))
		})
	}
}
