package limiter

import (
	"container/list"
	"sync"
)

// Connections bounds the open connections of a server. When the bound is reached, it
// closes the connection that has sent no complete request for longest, so that a client
// that sends one still gets a connection. It is safe for concurrent use.
type Connections struct {
	most int

	mu sync.Mutex
	// entries has an Entry for each open connection, ordered by when it was opened or
	// last sent a complete request.
	entries list.List
}

// Entry is one open connection.
type Entry struct {
	element *list.Element
	close   func()
	// isServed is set from a complete request until it has been handled.
	isServed bool
}

// NewConnections returns a bound of the given number of connections.
func NewConnections(most int) *Connections { return &Connections{most: most} }

// Add adds a connection, which is closed with the given function when it has to make room
// for another one. hasClosed says that one was closed to make room for this one. The entry
// is nil if there is no room, since all connections are waiting for responses.
func (c *Connections) Add(closeConn func()) (e *Entry, hasClosed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries.Len() >= c.most {
		if hasClosed = c.closeOldest(); !hasClosed {
			return nil, false
		}
	}
	e = &Entry{close: closeConn}
	e.element = c.entries.PushBack(e)
	return e, hasClosed
}

// CloseOldest closes the connection that has sent no complete request for longest, and
// reports whether there was one that waits for no response.
func (c *Connections) CloseOldest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeOldest()
}

func (c *Connections) closeOldest() bool {
	for element := c.entries.Front(); element != nil; element = element.Next() {
		if e := element.Value.(*Entry); !e.isServed {
			c.remove(e)
			e.close()
			return true
		}
	}
	return false
}

// Begin records that a complete request was received on the connection.
func (c *Connections) Begin(e *Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.isServed = true
	if e.element != nil {
		c.entries.MoveToBack(e.element)
	}
}

// End records that the request was handled.
func (c *Connections) End(e *Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.isServed = false
}

// Remove removes a connection that is closed. It may be called more than once.
func (c *Connections) Remove(e *Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(e)
}

func (c *Connections) remove(e *Entry) {
	if e.element != nil {
		c.entries.Remove(e.element)
		e.element = nil
	}
}

// Len returns the number of open connections.
func (c *Connections) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries.Len()
}
