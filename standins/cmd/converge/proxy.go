package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// mode is the fault that a proxy injects into the store calls of its daemon.
type mode string

const (
	modePass          mode = "store healthy"
	modeSlow          mode = "store answers late"
	modeDropResponses mode = "answers lost"
	modeDisconnect    mode = "cut off from the store"
	modeStale         mode = "store returns stale values"
)

const (
	// minDelay and maxDelay bound the delay of a call in modeSlow.
	minDelay = 200 * time.Millisecond
	maxDelay = 1500 * time.Millisecond
	// dropProbability is the fraction of responses dropped in
	// modeDropResponses.
	dropProbability = 0.4
)

// proxy forwards the calls of one daemon to the store and injects faults.
type proxy struct {
	addr   netip.AddrPort
	client *fasthttp.HostClient

	mu   sync.Mutex
	mode mode
	rand *rand.Rand
	// values and revisions hold the last two distinct responses to reads of each
	// path, the older one first.
	values    map[string][2][]byte
	revisions map[string][2]string
}

func newProxy(store netip.AddrPort, seed uint64) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		addr: netip.MustParseAddrPort(l.Addr().String()), client: &fasthttp.HostClient{Addr: store.String(), MaxIdemponentCallAttempts: 1},
		mode: modePass, rand: rand.New(rand.NewPCG(seed, 0)), values: map[string][2][]byte{}, revisions: map[string][2]string{},
	}
	go func() { _ = fasthttp.Serve(l, p.handle) }()
	return p, nil
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// chooseFault returns the mode of the next call, its delay in modeSlow, and
// whether its response is dropped in modeDropResponses.
func (p *proxy) chooseFault() (m mode, delay time.Duration, drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, minDelay + time.Duration(p.rand.Int64N(int64(maxDelay-minDelay))), p.rand.Float64() < dropProbability
}

// breakConnection closes the daemon's connection without a response.
func breakConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// handle forwards a call to the store, subject to the mode.
func (p *proxy) handle(ctx *fasthttp.RequestCtx) {
	m, delay, drop := p.chooseFault()
	if m == modeDisconnect {
		breakConnection(ctx)
		return
	}
	if m == modeSlow {
		time.Sleep(delay / 2)
	}
	if err := p.client.Do(&ctx.Request, &ctx.Response); err != nil {
		breakConnection(ctx)
		return
	}
	if ctx.IsGet() && ctx.Response.StatusCode() == fasthttp.StatusOK {
		p.recordRead(ctx, m == modeStale)
	}
	if m == modeSlow {
		time.Sleep(delay / 2)
	}
	if m == modeDropResponses && drop {
		breakConnection(ctx)
	}
}

// recordRead stores the response to a read. If stale is set, it replaces the
// response with the previous one of the same path, if there is one.
func (p *proxy) recordRead(ctx *fasthttp.RequestCtx, stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path, body, revision := string(ctx.Path()), string(ctx.Response.Body()), string(ctx.Response.Header.Peek("Revision"))
	if p.revisions[path][1] != revision {
		p.revisions[path] = [2]string{p.revisions[path][1], revision}
		p.values[path] = [2][]byte{p.values[path][1], []byte(body)}
	}
	if stale && p.revisions[path][0] != "" {
		ctx.Response.Header.Set("Revision", p.revisions[path][0])
		ctx.Response.SetBody(p.values[path][0])
	}
}
