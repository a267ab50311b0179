// Package connector tracks the open connections of clients and retires those that may
// have gone silent.
//
// An open connection may go silent for good, without a reset, while new ones work.
// Only a call without an answer shows it, and the same may then be true of every
// connection to the address that is as old. So a call without an answer retires the
// connections that were open before it was sent and have received nothing since, unless
// this instance's own link was full.
package connector

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// RetiredError reports a call that was not sent, because the connection that it
// would have used is retired.
type RetiredError struct{ Address string }

func (e *RetiredError) Error() string { return "the connection to " + e.Address + " is retired" }

// UnansweredCall describes a call that ended without a byte of an answer.
type UnansweredCall struct {
	Address string
	// Open is how long the connection had been open when the call was sent, Waited
	// how long the call waited, and Quiet how long before the call the connection
	// had last received anything; it is Open if it never had.
	Open, Waited, Quiet time.Duration
	// OpenConnections is the number of open connections to the address, and Retired
	// how many of them are not used any more since.
	OpenConnections, Retired int
	// IsLinkFull is set if this instance's own link was full meanwhile.
	IsLinkFull bool
	Err        error
}

// Connector tracks the open connections of clients. It is safe for concurrent use.
type Connector struct {
	report func(UnansweredCall)
	// isLinkFull reports whether this instance's own link was full for the last while.
	isLinkFull func(time.Duration) bool

	mu sync.Mutex
	// servers holds what is known of each address with an open connection.
	servers map[string]*serverConnections
}

// serverConnections are the open connections to one address.
type serverConnections struct {
	open map[*connection]struct{}
	// unansweredAt is when the latest call was sent that got no answer; zero if
	// there is none.
	unansweredAt time.Time
}

// New returns a connector that calls report with each unanswered call, from the
// goroutine of the call. A call that was sent while this instance's own link was full,
// as isLinkFull reports, tells nothing about connections and retires none; nil stands for
// a link that is never full.
func New(report func(UnansweredCall), isLinkFull func(time.Duration) bool) *Connector {
	return &Connector{report: report, isLinkFull: isLinkFull, servers: map[string]*serverConnections{}}
}

// Attach makes a client use tracked connections. isForWatches is set for a client whose
// calls wait for changes; such a call is ended when its connection is retired. A call
// that was not sent, because its connection is retired, is sent on another one. No other
// call is repeated.
func (s *Connector) Attach(client *fasthttp.Client, isForWatches bool) {
	dial := client.Dial
	if dial == nil {
		dial = fasthttp.Dial
	}
	client.Dial = func(address string) (net.Conn, error) {
		c, err := dial(address)
		if err != nil {
			return nil, err
		}
		return s.track(address, c, isForWatches), nil
	}
	connections := client.MaxConnsPerHost
	if connections <= 0 {
		connections = fasthttp.DefaultMaxConnsPerHost
	}
	client.MaxIdemponentCallAttempts = connections + 1
	client.RetryIfErr = func(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
		var retired *RetiredError
		return false, errors.As(err, &retired)
	}
}

// track returns a connection that belongs to the tracked ones until it is closed.
func (s *Connector) track(address string, c net.Conn, isForWatches bool) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.servers[address]
	if server == nil {
		server = &serverConnections{open: map[*connection]struct{}{}}
		s.servers[address] = server
	}
	t := &connection{Conn: c, all: s, server: server, address: address, isForWatches: isForWatches, openedAt: time.Now()}
	server.open[t] = struct{}{}
	return t
}

func (s *Connector) untrack(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(c.server.open, c)
	if len(c.server.open) == 0 && s.servers[c.address] == c.server {
		delete(s.servers, c.address)
	}
}

// connection is a tracked connection, which carries one call at a time.
type connection struct {
	net.Conn
	all          *Connector
	server       *serverConnections
	address      string
	isForWatches bool
	openedAt     time.Time
	// The fields below are guarded by the mutex of all. isWaiting is set from the
	// first byte of a request until the first byte of the answer, and isAbandoned
	// once the call on the connection was ended before its timeout.
	isWaiting, isAbandoned bool
	sentAt, receivedAt     time.Time
}

// isRetired reports whether a later call to the same address got no answer, and
// nothing was received on the connection since that call was sent.
func (c *connection) isRetired() bool {
	return c.openedAt.Before(c.server.unansweredAt) && c.receivedAt.Before(c.server.unansweredAt)
}

// Write writes a part of a request. If the connection is retired, it sends nothing
// of the request, and the error is a RetiredError.
func (c *connection) Write(data []byte) (int, error) {
	c.all.mu.Lock()
	if !c.isWaiting {
		if c.isRetired() {
			c.all.mu.Unlock()
			return 0, &RetiredError{c.address}
		}
		c.isWaiting, c.sentAt = true, time.Now()
	}
	c.all.mu.Unlock()
	return c.Conn.Write(data)
}

// Read reads a part of an answer.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	now := time.Now()
	c.all.mu.Lock()
	if n > 0 {
		c.isWaiting, c.receivedAt = false, now
	}
	if err == nil || !c.isWaiting || c.isAbandoned {
		c.all.mu.Unlock()
		return n, err
	}
	u := c.noteUnanswered(now, err)
	c.all.mu.Unlock()
	c.all.report(u)
	return n, err
}

// noteUnanswered retires the connections that the failure of the call on c tells
// something about, and ends the watches that wait on them if the call was silent.
func (c *connection) noteUnanswered(now time.Time, err error) UnansweredCall {
	u := UnansweredCall{Address: c.address, Open: c.sentAt.Sub(c.openedAt), Waited: now.Sub(c.sentAt), OpenConnections: len(c.server.open), Err: err}
	u.Quiet = u.Open
	if !c.receivedAt.IsZero() {
		u.Quiet = c.sentAt.Sub(c.receivedAt)
	}
	if u.IsLinkFull = c.all.isLinkFull != nil && c.all.isLinkFull(u.Waited); u.IsLinkFull {
		return u
	}
	var network net.Error
	isSilent := errors.As(err, &network) && network.Timeout()
	u.Retired = c.server.retire(now, c.sentAt, isSilent, c)
	return u
}

// retire retires the connections, other than one, that were open before an unanswered call
// was sent and have received nothing since. It returns how many are retired.
func (s *serverConnections) retire(now, sentAt time.Time, isSilent bool, except *connection) int {
	if sentAt.After(s.unansweredAt) {
		s.unansweredAt = sentAt
	}
	count := 0
	for o := range s.open {
		if o == except || !o.isRetired() {
			continue
		}
		count++
		if isSilent && o.isForWatches && o.isWaiting {
			o.isAbandoned = true
			// The connection is closed by the call that the deadline ends.
			_ = o.Conn.SetReadDeadline(now)
		}
	}
	return count
}

// NoteOverdue retires connections as an unanswered call does, for a call to an address
// that was sent at the given time and whose caller goes on waiting for the answer. Its own
// connection is used again once that has arrived.
func (s *Connector) NoteOverdue(address string, sentAt time.Time) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.servers[address]
	if server == nil || s.isLinkFull != nil && s.isLinkFull(now.Sub(sentAt)) {
		return
	}
	server.retire(now, sentAt, true, nil)
}

// Close closes the connection.
func (c *connection) Close() error {
	c.all.untrack(c)
	return c.Conn.Close()
}
