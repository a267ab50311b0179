package gossiper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

// network connects daemons in memory through the real HTTP client and server,
// and counts the bytes of their connections.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	// side assigns daemons to sides by address. Daemons on different sides
	// can't reach each other.
	side map[string]int
}

// node is one daemon of a network.
type node struct {
	*Gossiper
	messenger.Peer
	network  *network
	addr     string
	registry *prometheus.Registry
	accepted chan net.Conn
	stopped  chan struct{}
	cancel   context.CancelFunc
	done     chan struct{}
	server   *http.Server
	client   *http.Client
	// bytes counts both directions of every connection.
	bytes atomic.Int64
}

func (n *node) Exchange(_ context.Context, d *messenger.Digest) (*messenger.Digest, error) {
	return n.Answer(d), nil
}

// Accept implements net.Listener.
func (n *node) Accept() (net.Conn, error) {
	select {
	case c := <-n.accepted:
		return c, nil
	case <-n.stopped:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (n *node) Close() error { return nil }

// Addr implements net.Listener.
func (n *node) Addr() net.Addr { return &net.TCPAddr{} }

// countingConn counts the bytes that are written to and read from a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (n *node) dial(_ context.Context, _, addr string) (net.Conn, error) {
	n.network.mu.Lock()
	peer := n.network.nodes[addr]
	isSeparated := n.network.side[n.addr] != n.network.side[addr]
	n.network.mu.Unlock()
	if peer == nil || isSeparated {
		return nil, errors.New("no route")
	}
	a, b := net.Pipe()
	select {
	case peer.accepted <- countingConn{b, &peer.bytes}:
		return countingConn{a, &n.bytes}, nil
	case <-peer.stopped:
		return nil, errors.New("refused")
	}
}

// partition assigns daemons to sides and closes idle connections.
func (nw *network) partition(side map[string]int) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.side = side
	for _, n := range nw.nodes {
		n.client.CloseIdleConnections()
	}
}

func member(i int) *messenger.Member {
	return &messenger.Member{
		Id: fmt.Sprintf("kolkata-%c-d%d", 'a'+i%8, i/8), Domain: fmt.Sprintf("kolkata-%c", 'a'+i%8), ControlAddr: fmt.Sprintf("10.0.%d.%d:7001", i%8, i/8+1),
		TrafficAddr: fmt.Sprintf("10.0.%d.%d:7000", i%8, i/8+1), Incarnation: uint64(time.Now().UnixNano()),
	}
}

// start starts a daemon; prepare may change its options.
func (nw *network) start(t *testing.T, m *messenger.Member, seeds []string, prepare func(*Options)) *node {
	n := &node{network: nw, addr: m.ControlAddr, registry: prometheus.NewRegistry(), accepted: make(chan net.Conn), stopped: make(chan struct{}), done: make(chan struct{})}
	n.client = &http.Client{Transport: &http.Transport{DialContext: n.dial, IdleConnTimeout: time.Minute}, Timeout: 2 * time.Second}
	o := Options{
		Self: m, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Rand: rand.New(rand.NewPCG(m.Incarnation, 1)), Registry: n.registry,
		Dial:        func(addr string) messenger.Peer { return messenger.NewPeerProtobufClient("http://"+addr, n.client) },
		AddVersions: func(d, _ *messenger.Digest) { d.ConfigRevision, d.OwnersHash = 1234, 1<<63 },
		Received:    func(*messenger.Digest, string) {}, Preferred: func() string { return "" },
	}
	for _, s := range seeds {
		o.Seeds = append(o.Seeds, netip.MustParseAddrPort(s))
	}
	if prepare != nil {
		prepare(&o)
	}
	n.Gossiper = New(o)
	n.server = &http.Server{Handler: messenger.NewPeerServer(n)}
	go func() { _ = n.server.Serve(n) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		n.Run(ctx)
		close(n.done)
	}()
	nw.mu.Lock()
	nw.nodes[m.ControlAddr] = n
	nw.mu.Unlock()
	t.Cleanup(n.kill)
	return n
}

// kill ends a daemon without notice to its peers.
func (n *node) kill() {
	select {
	case <-n.stopped:
		return
	default:
	}
	n.network.mu.Lock()
	if n.network.nodes[n.addr] == n {
		delete(n.network.nodes, n.addr)
	}
	n.network.mu.Unlock()
	close(n.stopped)
	n.cancel()
	<-n.done
	_ = n.server.Close()
	n.client.CloseIdleConnections()
}

// startAll starts count daemons that all have the first one as their only seed.
func startAll(t *testing.T, count int, prepare func(*Options)) (*network, []*node) {
	nw := &network{nodes: map[string]*node{}, side: map[string]int{}}
	var nodes []*node
	for i := range count {
		var seeds []string
		if i > 0 {
			seeds = []string{nodes[0].addr}
		}
		nodes = append(nodes, nw.start(t, member(i), seeds, prepare))
		time.Sleep(7 * time.Millisecond)
	}
	return nw, nodes
}

// changes returns how many changes of one kind a daemon's view has had.
func (n *node) changes(kind string) float64 {
	families, err := n.registry.Gather()
	if err != nil {
		panic(err)
	}
	for _, f := range families {
		for _, m := range f.Metric {
			if f.GetName() == "tarragond_gossip_member_changes_total" && m.Label[0].GetValue() == kind {
				return m.Counter.GetValue()
			}
		}
	}
	return 0
}
