package soaker

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Impairment is what a proxy does to the connections through it.
type Impairment struct {
	// Delay is the time that each chunk of data is held back.
	Delay time.Duration
	// DropToServer and DropFromServer discard the data in one direction. Both
	// together act as a network partition: connections stay open and silent.
	DropToServer, DropFromServer bool
	// Refuse resets new connections.
	Refuse bool
}

// Proxy forwards connections to a server on this machine.
type Proxy struct {
	listener net.Listener
	target   string

	impairments overlay[Impairment]

	mu sync.Mutex
	// open holds the open connections of clients and to the server. The value is set
	// once the connection is silent.
	open map[net.Conn]*atomic.Bool
}

// NewProxy returns a proxy that listens on a free loopback address and forwards to
// the server at target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the proxy")
	}
	p := &Proxy{listener: l, target: target, open: map[net.Conn]*atomic.Bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Impair impairs open and new connections until end is called. Impairments may
// overlap.
func (p *Proxy) Impair(i Impairment) (end func()) { return p.impairments.add(i) }

// Reset resets a share of the open connections.
func (p *Proxy) Reset(share float64, rng *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if rng.Float64() < share {
			reset(c)
		}
	}
}

// Silence discards from now on whatever is sent on the open connections, without a
// reset, while new connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, isSilent := range p.open {
		isSilent.Store(true)
	}
}

// Close closes the listener and the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// current returns the combined effect of the impairments.
func (p *Proxy) current() Impairment {
	var c Impairment
	for _, i := range p.impairments.current() {
		c.Delay = max(c.Delay, i.Delay)
		c.DropToServer = c.DropToServer || i.DropToServer
		c.DropFromServer = c.DropFromServer || i.DropFromServer
		c.Refuse = c.Refuse || i.Refuse
	}
	return c
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current().Refuse {
			reset(c)
			continue
		}
		go p.forward(c)
	}
}

func (p *Proxy) forward(c net.Conn) {
	s, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(c)
		return
	}
	var isSilent atomic.Bool
	p.mu.Lock()
	p.open[c], p.open[s] = &isSilent, &isSilent
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { p.copy(s, c, func(i Impairment) bool { return i.DropToServer || isSilent.Load() }) })
	done.Go(func() { p.copy(c, s, func(i Impairment) bool { return i.DropFromServer || isSilent.Load() }) })
	done.Wait()
	p.mu.Lock()
	delete(p.open, c)
	delete(p.open, s)
	p.mu.Unlock()
}

// copy forwards data until either side closes the connection. Dropped data is not
// sent again, so the connection stays unusable after the impairment ends, like one
// that lost bytes in a partition.
func (p *Proxy) copy(to, from net.Conn, isDropped func(Impairment) bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		i := p.current()
		if n > 0 && !isDropped(i) {
			time.Sleep(i.Delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) || err != nil {
			return
		}
	}
}
