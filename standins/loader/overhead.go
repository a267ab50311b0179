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

// OverheadOptions are the settings of a measurement of the overhead.
type OverheadOptions struct {
	// Binaries is the directory with the programs, Directory one for logs.
	Binaries, Directory string
	// Connections are the numbers of connections to measure with.
	Connections []int
	// Time is the length of one run, Runs their number; they are interleaved.
	Time time.Duration
	Runs int
}

// Row is the best of the runs over one path with one number of connections.
type Row struct {
	Path        string
	Connections int
	P50, P99    time.Duration
	PerSecond   float64
	Errors      int
	// Allocations is the number a request in the forwarding process, NaN
	// where there is none.
	Allocations float64
}

// Rows are the results of a measurement.
type Rows []Row

// The paths of a request: straight to the runner, through a bare forwarding
// hop, through a daemon.
const (
	pathStraight = "straight"
	pathHop      = "bare hop"
	pathDaemon   = "daemon"
)

var paths = []string{pathStraight, pathHop, pathDaemon}

// RunOverhead measures all paths with one runner, one bare hop and one daemon.
// The daemon has the routing table from a peer that this process plays, since
// nothing needs to be scheduled.
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

// bench has the processes of a measurement.
type bench struct {
	options   OverheadOptions
	processes []*exec.Cmd
	inputs    []func()
	addrs     map[string]string
	control   netip.AddrPort
	peer      *http.Server
	endPeer   context.CancelFunc
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
	// Without a heartbeat that advances the daemon would drop the peer.
	var running context.Context
	running, b.endPeer = context.WithCancel(context.Background())
	go peer.gossip.Run(running)
	b.peer = &http.Server{Handler: messenger.NewPeerServer(peer), ReadHeaderTimeout: time.Second}
	go func() { _ = b.peer.Serve(l) }()
	return b.startDaemon(l.Addr().String())
}

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
	b.inputs = append(b.inputs, func() { _ = input.Close() })
	line, err := bufio.NewReader(output).ReadString('\n')
	addr, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	return addr, errors.Wrap(err, args[0])
}

// startDaemon starts a daemon with metrics and tracing on. One request in
// a hundred without a trace context is sampled.
func (b *bench) startDaemon(peer string) error {
	traffic, control, store := "127.91.0.1:7000", "127.91.0.1:7001", "127.91.0.1:7002"
	b.addrs[pathDaemon], b.control = traffic, netip.MustParseAddrPort(control)
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
	for _, closeInput := range b.inputs {
		closeInput()
	}
	for _, p := range b.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if b.peer != nil {
		b.endPeer()
		_ = b.peer.Close()
	}
}

// measure sends requests over one path from n connections for a time.
func (b *bench) measure(path string, n int) (Row, error) {
	row := Row{Path: path, Connections: n, Allocations: math.NaN()}
	var mu sync.Mutex
	all := hdrhistogram.New(1, int64(time.Minute/time.Nanosecond), 3)
	before, err := b.allocations(path)
	if err != nil {
		return row, err
	}
	begun := time.Now()
	deadline := begun.Add(b.options.Time)
	var workers sync.WaitGroup
	for range n {
		workers.Go(func() {
			h := hdrhistogram.New(1, int64(time.Minute/time.Nanosecond), 3)
			failed := hammer(b.addrs[path], deadline, h)
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
	row.PerSecond = float64(all.TotalCount()) / time.Since(begun).Seconds()
	if path == pathDaemon {
		row.Allocations = (after - before) / float64(all.TotalCount())
	}
	return row, nil
}

// hammer sends requests on one connection until the deadline and returns the
// number that failed.
func hammer(addr string, deadline time.Time, h *hdrhistogram.Histogram) int {
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
		begun := time.Now()
		if begun.After(deadline) {
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
		_ = h.RecordValue(time.Since(begun).Nanoseconds())
	}
}

// allocations returns the number of allocations of the daemon so far.
func (b *bench) allocations(path string) (float64, error) {
	if path != pathDaemon {
		return 0, nil
	}
	_, body, err := fasthttp.Get(nil, "http://"+b.control.String()+"/metrics")
	if err != nil {
		return 0, errors.Wrap(err, "metrics")
	}
	for line := range bytes.Lines(body) {
		var n float64
		if _, err := fmt.Sscanf(string(line), "go_memstats_mallocs_total %g", &n); err == nil {
			return n, nil
		}
	}
	return 0, errors.New("metrics: no go_memstats_mallocs_total")
}

// tablePeer plays a daemon that owns a shard with one runner.
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
