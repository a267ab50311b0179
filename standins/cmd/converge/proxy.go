package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// mode is what a proxy does to the calls of its daemon.
type mode string

const (
	passing mode = "store in order"
	late    mode = "store answers late"
	losing  mode = "answers lost"
	cutOff  mode = "cut off from the store"
	stale   mode = "store shows old values"
)

const (
	leastDelay = 200 * time.Millisecond
	mostDelay  = 1500 * time.Millisecond
	// loseShare is the share of answers that a losing proxy drops.
	loseShare = 0.4
)

// proxy stands between one daemon and the store and injects faults.
type proxy struct {
	addr   netip.AddrPort
	client *fasthttp.HostClient

	mu   sync.Mutex
	mode mode
	rand *rand.Rand
	// values has the last two answers to reads of each path.
	values map[string][2][]byte
	heads  map[string][2]string
}

func newProxy(store netip.AddrPort, seed uint64) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		addr: netip.MustParseAddrPort(l.Addr().String()), client: &fasthttp.HostClient{Addr: store.String(), MaxIdemponentCallAttempts: 1},
		mode: passing, rand: rand.New(rand.NewPCG(seed, 0)), values: map[string][2][]byte{}, heads: map[string][2]string{},
	}
	go func() { _ = fasthttp.Serve(l, p.handle) }()
	return p, nil
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// decide returns what happens to the next call.
func (p *proxy) decide() (m mode, delay time.Duration, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, leastDelay + time.Duration(p.rand.Int64N(int64(mostDelay-leastDelay))), p.rand.Float64() < loseShare
}

// breakConnection closes the daemon's connection without an answer.
func breakConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func (p *proxy) handle(ctx *fasthttp.RequestCtx) {
	m, delay, lose := p.decide()
	if m == cutOff {
		breakConnection(ctx)
		return
	}
	if m == late {
		time.Sleep(delay / 2)
	}
	if err := p.client.Do(&ctx.Request, &ctx.Response); err != nil {
		breakConnection(ctx)
		return
	}
	if ctx.IsGet() && ctx.Response.StatusCode() == fasthttp.StatusOK {
		p.remember(ctx, m == stale)
	}
	if m == late {
		time.Sleep(delay / 2)
	}
	if m == losing && lose {
		breakConnection(ctx)
	}
}

// remember keeps the answer to a read, and gives the one before it instead if
// the proxy shows old values.
func (p *proxy) remember(ctx *fasthttp.RequestCtx, old bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path, body, revision := string(ctx.Path()), string(ctx.Response.Body()), string(ctx.Response.Header.Peek("Revision"))
	if p.heads[path][1] != revision {
		p.heads[path] = [2]string{p.heads[path][1], revision}
		p.values[path] = [2][]byte{p.values[path][1], []byte(body)}
	}
	if old && p.heads[path][0] != "" {
		ctx.Response.Header.Set("Revision", p.heads[path][0])
		ctx.Response.SetBody(p.values[path][0])
	}
}
