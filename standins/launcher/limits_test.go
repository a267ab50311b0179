package launcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

const (
	// limitedMemoryMB and limitedDescriptors are what the process of a row may use: the
	// smallest machine of a deployment, and fewer descriptors than it has, so that a small
	// crowd reaches them.
	limitedMemoryMB    = 184
	limitedDescriptors = 256
	// goMemoryLimitMB is Go's soft limit, 0.6 of the memory as on the users' platform.
	goMemoryLimitMB = limitedMemoryMB * 6 / 10
	// crowdSize is a number of connections for which the descriptors suffice.
	crowdSize = 150
	// callerBodyBytes is the limit for the body of a caller.
	callerBodyBytes = 4 << 20
	// crowdTime bounds the time in which a crowd sends. It then holds its connections.
	crowdTime = 2 * time.Second
	// answerTime bounds how long an ordinary client repeats its request.
	answerTime = 20 * time.Second
)

// crowd is a number of connections that send the same: head once, and piece up to pieces
// times. They read no response and stay open.
type crowd struct {
	isControl   bool
	connections int
	head, piece string
	pieces      int
}

// run sends what the crowd sends on one connection, calls sent, and holds the connection
// until release is closed.
func (w crowd) run(address netip.AddrPort, release <-chan struct{}, sent func()) {
	defer sent()
	c, err := net.DialTimeout("tcp4", address.String(), crowdTime)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(crowdTime))
	_, err = io.WriteString(c, w.head)
	for n := 0; n < w.pieces && err == nil; n++ {
		_, err = io.WriteString(c, w.piece)
	}
	sent()
	<-release
}

// ordinaryRequest returns the request of an ordinary client to the crowd's listener, with
// the content of the answer that a daemon without a configuration gives.
func (w crowd) ordinaryRequest() (request string, status int, content string) {
	if w.isControl {
		return "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", fasthttp.StatusServiceUnavailable, "no configuration"
	}
	return "GET /v1/services/web/ HTTP/1.1\r\nHost: x\r\n\r\n", fasthttp.StatusServiceUnavailable, "no target for the service"
}

// isAnswered reports whether the ordinary request gets its answer on a new connection.
func (w crowd) isAnswered(address netip.AddrPort) bool {
	c, err := net.DialTimeout("tcp4", address.String(), time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	request, status, content := w.ordinaryRequest()
	if _, err = io.WriteString(c, request); err != nil {
		return false
	}
	var response fasthttp.Response
	if response.Read(bufio.NewReader(c)) != nil {
		return false
	}
	return response.StatusCode() == status && strings.Contains(string(response.Body()), content)
}

// peakMemoryMB returns the largest resident memory of a process so far, -1 if it has ended.
func peakMemoryMB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n / 1024
		}
	}
	return -1
}

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}

// startLimitedDaemon starts a daemon with few descriptors and little memory.
func startLimitedDaemon(c *quicktest.C, binaries string, store netip.AddrPort) (traffic, control netip.AddrPort, p *Process) {
	traffic, control = nextAddr(), nextAddr()
	command := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limitedDescriptors), filepath.Join(binaries, "tarragond"),
		"--id", "d0", "--domain", "a", "--traffic", traffic.String(), "--control", control.String(), "--store", store.String())
	command.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%dMiB", goMemoryLimitMB))
	output, err := os.Create(filepath.Join(c.TempDir(), "d0.log"))
	c.Assert(err, quicktest.IsNil)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Assert(command.Start(), quicktest.IsNil)
	p = &Process{"d0", command, make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(p.done)
	}()
	c.Cleanup(func() {
		_ = p.Signal(syscall.SIGKILL)
		p.Wait(startTimeout)
	})
	c.Assert(waitLive(control), quicktest.IsNil)
	return traffic, control, p
}

// check runs the crowd against one daemon.
func (w crowd) check(t *testing.T, binaries string, store netip.AddrPort) {
	c := quicktest.New(t)
	address, control, p := startLimitedDaemon(c, binaries, store)
	if w.isControl {
		address = control
	}
	c.Assert(w.isAnswered(address), quicktest.IsTrue, quicktest.Commentf("before the crowd"))
	release, held := make(chan struct{}), make(chan struct{})
	var senders, holders sync.WaitGroup
	defer holders.Wait()
	defer close(release)
	for range w.connections {
		senders.Add(1)
		holders.Go(func() { w.run(address, release, sync.OnceFunc(senders.Done)) })
	}
	go func() {
		senders.Wait()
		close(held)
	}()
	descriptors, isHeld := 0, false
	for !isHeld {
		descriptors = max(descriptors, openDescriptors(p.PID()))
		select {
		case <-held:
			isHeld = true
		case <-time.After(20 * time.Millisecond):
		}
	}
	isAnswered := false
	for end := time.Now().Add(answerTime); !isAnswered && time.Now().Before(end) && !p.Wait(50*time.Millisecond); {
		isAnswered = w.isAnswered(address)
	}
	descriptors, memory := max(descriptors, openDescriptors(p.PID())), peakMemoryMB(p.PID())
	t.Logf("memory %d MB, descriptors %d, answered %v", memory, descriptors, isAnswered)
	c.Check(p.Wait(0), quicktest.IsFalse, quicktest.Commentf("the process has ended"))
	c.Check(memory <= limitedMemoryMB, quicktest.IsTrue, quicktest.Commentf("%d MB", memory))
	c.Check(descriptors <= limitedDescriptors, quicktest.IsTrue, quicktest.Commentf("%d descriptors", descriptors))
	c.Check(isAnswered, quicktest.IsTrue)
}

// TestClientsWithoutLimits guards against a daemon that ends, needs more memory or
// descriptors than its machine has, or answers no ordinary client any more, because of
// clients that keep to no limit.
func TestClientsWithoutLimits(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	binaries := t.TempDir()
	t.Chdir(root)
	if err := Build(binaries); err != nil {
		t.Fatal(err)
	}
	s := &System{options: Options{Binaries: binaries, Logs: t.TempDir()}, Store: nextAddr()}
	if s.StoreProcess, err = s.start("store", "standin", "store", "--listen", s.Store.String()); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	const exchange = "POST /twirp/tarragonhead.messenger.Peer/Exchange HTTP/1.1\r\nHost: x\r\nContent-Type: application/protobuf\r\n"
	const call = "POST /v1/services/web/ HTTP/1.1\r\nHost: x\r\n"
	withLength := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	block := strings.Repeat("x", 1<<16)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
	field := "X-Header: " + block[:1000] + "\r\n"
	last := withLength(callerBodyBytes) + block[1:]
	for name, w := range map[string]crowd{
		"traffic announced over the limit":          {false, crowdSize, call + withLength(1<<30), "", 0},
		"traffic announced not sent":                {false, crowdSize, call + withLength(callerBodyBytes) + "x", "", 0},
		"traffic all but the last byte":             {false, crowdSize, call + last, block, callerBodyBytes>>16 - 1},
		"traffic chunked without end":               {false, crowdSize, call + chunked, chunk, 100},
		"traffic headers without end":               {false, crowdSize, "GET /v1/services/web/ HTTP/1.1\r\nHost: x\r\n", field, 1100},
		"traffic more connections than descriptors": {false, limitedDescriptors + 100, "", "", 0},
		"traffic responses that nobody reads":       {false, crowdSize, "", strings.Repeat(call+"\r\n", 500), 200},
		"control announced over the limit":          {true, crowdSize, exchange + withLength(1<<30), "", 0},
		"control announced not sent":                {true, crowdSize, exchange + withLength(callerBodyBytes) + "x", "", 0},
		"control all but the last byte":             {true, crowdSize, exchange + last, block, callerBodyBytes>>16 - 1},
		"control chunked without end":               {true, crowdSize, exchange + chunked, chunk, 100},
		"control headers without end":               {true, crowdSize, "GET /livez HTTP/1.1\r\nHost: x\r\n", field, 1100},
		"control more connections than descriptors": {true, limitedDescriptors + 100, "", "", 0},
		"control responses that nobody reads":       {true, crowdSize, "", strings.Repeat("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 20), 50},
	} {
		t.Run(name, func(t *testing.T) { w.check(t, binaries, s.Store) })
	}
}
