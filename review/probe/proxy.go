package main

import (
	"bytes"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// The time after which an order without an answer is carried out.
const minLate, maxLate = 2 * time.Second, 12 * time.Second

// proxy forwards calls to runners. Some orders it holds up: they get no answer, and are
// carried out seconds later, by whatever listens at the runner's address by then.
type proxy struct {
	bed *bed
	to  *http.Client

	mu sync.Mutex
	// share is the part of the orders that is held up.
	share  float64
	random *rand.Rand
}

func newProxy(b *bed) *proxy {
	return &proxy{bed: b, to: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, random: rand.New(rand.NewSource(1))}
}

// listen starts a proxy for a runner and returns its address.
func (p *proxy) listen(h *hosted) string {
	l, err := net.Listen("tcp4", freeAddr())
	if err != nil {
		panic(err)
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, h) }))
	}()
	return l.Addr().String()
}

func (p *proxy) setShare(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = share
	p.bed.note("trouble: %.2f of the starts get no answer and are carried out %s to %s later", share, minLate, maxLate)
}

// delay returns how much later an order is carried out, zero if it is not held up.
func (p *proxy) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random.Float64() >= p.share {
		return 0
	}
	return minLate + time.Duration(p.random.Int63n(int64(maxLate-minLate)))
}

func (p *proxy) serve(w http.ResponseWriter, r *http.Request, h *hosted) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	again := func() *http.Request {
		out, _ := http.NewRequest(r.Method, "http://"+h.addr+r.URL.RequestURI(), bytes.NewReader(body))
		out.Header = r.Header.Clone()
		return out
	}
	if r.URL.Path == "/v1/run-start" {
		if d := p.delay(); d > 0 {
			time.AfterFunc(d, func() {
				if response, err := p.to.Do(again()); err == nil {
					_ = response.Body.Close()
				}
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	response, err := p.to.Do(again().WithContext(r.Context()))
	if err != nil {
		// A runner that has gone dark is silent: its connections stay open.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}
