package loader

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/gossiper"
	"tarragonhead.example/tarragonhead/internal/messenger"
)

// OverheadOptions are the settings of RunOverhead.
type OverheadOptions struct {
	// Binaries is the directory with the programs, Directory the one for logs.
	Binaries, Directory string
	// Connections lists the numbers of concurrent connections to measure with.
	Connections []int
	// Time is the duration of one run. Runs is the number of runs of each path
	// and number of connections; those of different paths are interleaved.
	Time time.Duration
	Runs int
}

// Row holds the best figures of all runs over one path with one number of
// connections, and the sum of their errors.
type Row struct {
	Path        string
	Connections int
	P50, P99    time.Duration
	PerSecond   float64
	Errors      int
	// Allocations is the number of heap allocations a request in the daemon,
	// NaN for the other paths.
	Allocations float64
}

// Rows are the results of RunOverhead.
type Rows []Row

// The paths of a request: directly to the runner, through a forwarder that only
// copies (the bare hop), or through a daemon.
const (
	pathStraight = "straight"
	pathHop      = "bare hop"
	pathDaemon   = "daemon"
)

var paths = []string{pathStraight, pathHop, pathDaemon}

// RunOverhead measures all paths with one runner, one forwarder and one daemon.
// Nothing needs to be scheduled, so the daemon gets its routing table from a peer
// that this process emulates.
func RunOverhead(o OverheadOptions) (Rows, error) {
	b := &bench{options: o}
	defer b.stop()
	if err := b.start(); err != nil {
		return nil, err
	}
	best := map[string]*Row{}
	var rows Rows
	for range o.Runs {
		for _, n := range o.Connections {
			for _, path := range paths {
				row, err := b.measure(path, n)
				if err != nil {
					return nil, err
				}
				key := fmt.Sprint(path, n)
				if best[key] == nil {
					best[key] = &row
				} else {
					best[key].merge(row)
				}
			}
		}
	}
	for _, n := range o.Connections {
		for _, path := range paths {
			rows = append(rows, *best[fmt.Sprint(path, n)])
		}
	}
	return rows, nil
}

// merge takes the better of each figure and adds the errors.
func (r *Row) merge(other Row) {
	r.P50, r.P99 = min(r.P50, other.P50), min(r.P99, other.P99)
	r.PerSecond = max(r.PerSecond, other.PerSecond)
	r.Errors += other.Errors
	r.Allocations = min(r.Allocations, other.Allocations)
}

func (rs Rows) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %11s %10s %10s %10s %9s %7s\n", "path", "connections", "p50", "p99", "req/s", "allocs", "errors")
	for _, r := range rs {
		fmt.Fprintf(&b, "%-12s %11d %10s %10s %10.0f %9.1f %7d\n", r.Path, r.Connections, r.P50, r.P99, r.PerSecond, r.Allocations, r.Errors)
	}
	for i := 0; i+2 < len(rs); i += len(paths) {
		straight, hop, daemon := rs[i], rs[i+1], rs[i+2]
		ratio := func(s, h, d time.Duration) float64 { return float64(d-s) / float64(h-s) }
		fmt.Fprintf(&b, "%d connections: the daemon adds %.2f times what the bare hop adds at p50, %.2f times at p99\n", straight.Connections,
			ratio(straight.P50, hop.P50, daemon.P50), ratio(straight.P99, hop.P99, daemon.P99))
	}
	return b.String()
}

// bench holds the processes of a measurement.
type bench struct {
	options     OverheadOptions
	processes   []*exec.Cmd
	closeInputs []func()
	addrs       map[string]string
	controlAddr netip.AddrPort
	peer        *http.Server
	stopGossip  context.CancelFunc
}

const benchService = "bench"

func (b *bench) start() error {
	b.addrs = map[string]string{}
	var err error
	if b.addrs[pathStraight], err = b.startStandin("runner", "--name", "bench", "--slots", "1024", "--connections", "4096", "--work", "0s"); err != nil {
		return err
	}
	if b.addrs[pathHop], err = b.startStandin("forwarder", "--target", b.addrs[pathStraight]); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	peer := newTablePeer(l.Addr().String(), b.addrs[pathStraight])
	// The daemon drops a peer whose heartbeat does not advance.
	var gossipCtx context.Context
	gossipCtx, b.stopGossip = context.WithCancel(context.Background())
	go peer.gossip.Run(gossipCtx)
	b.peer = &http.Server{Handler: messenger.NewPeerServer(peer), ReadHeaderTimeout: time.Second}
	go func() { _ = b.peer.Serve(l) }()
	return b.startDaemon(l.Addr().String())
}

// startStandin starts a stand-in and returns the address that it prints.
func (b *bench) startStandin(args ...string) (string, error) {
	command := exec.Command(b.options.Binaries+"/standin", args...)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return "", err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return "", err
	}
	if err := command.Start(); err != nil {
		return "", err
	}
	b.processes = append(b.processes, command)
	b.closeInputs = append(b.closeInputs, func() { _ = input.Close() })
	line, err := bufio.NewReader(output).ReadString('\n')
	addr, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	return addr, errors.Wrap(err, args[0])
}

// startDaemon starts a store and a daemon with metrics and tracing enabled, and
// waits until the daemon serves requests. One in a hundred requests without
// a trace context is sampled.
func (b *bench) startDaemon(peer string) error {
	traffic, control, store := "127.91.0.1:7000", "127.91.0.1:7001", "127.91.0.1:7002"
	b.addrs[pathDaemon], b.controlAddr = traffic, netip.MustParseAddrPort(control)
	log, err := os.Create(b.options.Directory + "/daemon.log")
	if err != nil {
		return err
	}
	for _, args := range [][]string{
		{"standin", "store", "--listen", store},
		{"tarragond", "--id", "d0", "--domain", "a", "--traffic", traffic, "--control", control, "--store", store, "--peer", peer, "--trace-file", b.options.Directory + "/spans.jsonl", "--trace-ratio", "0.01"},
	} {
		command := exec.Command(b.options.Binaries+"/"+args[0], args[1:]...)
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			return err
		}
		b.processes = append(b.processes, command)
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		status, _, err := fasthttp.Get(nil, "http://"+traffic+"/v1/services/"+benchService+"/x")
		if err == nil && status == fasthttp.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("daemon does not answer: status %d, %v", status, err)
		}
	}
}

func (b *bench) stop() {
	for _, closeInput := range b.closeInputs {
		closeInput()
	}
	for _, p := range b.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if b.peer != nil {
		b.stopGossip()
		_ = b.peer.Close()
	}
}

// measure sends requests over one path on n connections for the time of one run.
func (b *bench) measure(path string, n int) (Row, error) {
	row := Row{Path: path, Connections: n, Allocations: math.NaN()}
	var mu sync.Mutex
	all := hdrhistogram.New(1, int64(time.Minute/time.Nanosecond), 3)
	before, err := b.allocations(path)
	if err != nil {
		return row, err
	}
	start := time.Now()
	deadline := start.Add(b.options.Time)
	var workers sync.WaitGroup
	for range n {
		workers.Go(func() {
			h := hdrhistogram.New(1, int64(time.Minute/time.Nanosecond), 3)
			failed := sendUntil(b.addrs[path], deadline, h)
			mu.Lock()
			defer mu.Unlock()
			all.Merge(h)
			row.Errors += failed
		})
	}
	workers.Wait()
	after, err := b.allocations(path)
	if err != nil {
		return row, err
	}
	row.P50, row.P99 = time.Duration(all.ValueAtQuantile(50)), time.Duration(all.ValueAtQuantile(99))
	row.PerSecond = float64(all.TotalCount()) / time.Since(start).Seconds()
	if path == pathDaemon {
		row.Allocations = (after - before) / float64(all.TotalCount())
	}
	return row, nil
}

// sendUntil sends requests on one connection until the deadline, records their
// latencies in h, and returns the number of requests that failed.
func sendUntil(addr string, deadline time.Time, h *hdrhistogram.Histogram) int {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 1
	}
	defer conn.Close()
	request := []byte("GET /v1/services/" + benchService + "/report?lines=4 HTTP/1.1\r\nHost: " + addr + "\r\nUser-Agent: load\r\nRequest-Id: 0123456789abcdef\r\n\r\n")
	reader := bufio.NewReader(conn)
	var response fasthttp.Response
	failed := 0
	for {
		start := time.Now()
		if start.After(deadline) {
			return failed
		}
		if _, err := conn.Write(request); err != nil {
			return failed + 1
		}
		if err := response.Read(reader); err != nil {
			return failed + 1
		}
		if response.StatusCode() != fasthttp.StatusOK {
			failed++
		}
		_ = h.RecordValue(time.Since(start).Nanoseconds())
	}
}

// allocations returns the number of heap allocations of the daemon so far, or 0 if
// the path does not lead through it.
func (b *bench) allocations(path string) (float64, error) {
	if path != pathDaemon {
		return 0, nil
	}
	_, body, err := fasthttp.Get(nil, "http://"+b.controlAddr.String()+"/metrics")
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	for line := range bytes.Lines(body) {
		var n float64
		if _, err := fmt.Sscanf(string(line), "go_memstats_mallocs_total %g", &n); err == nil {
			return n, nil
		}
	}
	return 0, errors.New("metrics: no go_memstats_mallocs_total")
}

// tablePeer emulates a peer that owns a shard and routes to one runner.
type tablePeer struct {
	messenger.Peer
	gossip *gossiper.Gossiper
	target string
}

func newTablePeer(addr, target string) *tablePeer {
	return &tablePeer{target: target, gossip: gossiper.New(gossiper.Options{
		Self: &messenger.Member{Id: "table", Domain: "a", ControlAddr: addr, TrafficAddr: addr, Incarnation: 1},
		Dial: func(addr string) messenger.Peer {
			return messenger.NewPeerProtobufClient("http://"+addr, http.DefaultClient)
		},
		AddVersions: func(d, _ *messenger.Digest) {
			d.OwnersHash = 1
			d.Owners = []*messenger.ShardOwner{{Shard: benchService, Member: "table", Epoch: 1, RoutesVersion: 1}}
		},
		Received:  func(*messenger.Digest, string) {},
		Preferred: func() string { return "" },
		Log:       &log.Logger{Level: log.ErrorLevel},
		Rand:      rand.New(rand.NewPCG(1, 1)),
	})}
}

// Exchange implements messenger.Peer.
func (p *tablePeer) Exchange(_ context.Context, d *messenger.Digest) (*messenger.Digest, error) {
	return p.gossip.Answer(d), nil
}

// FetchRoutes implements messenger.Peer.
func (p *tablePeer) FetchRoutes(_ context.Context, r *messenger.FetchRoutesRequest) (*messenger.RoutingTable, error) {
	return &messenger.RoutingTable{
		Shard: r.Shard, Epoch: 1, Version: 1,
		Routes: []*messenger.Route{{Service: benchService, Task: "bench", Addr: p.target, Domain: "a", Slots: 1024, Connections: 4096}},
	}, nil
}
