// Package observer measures how busy this instance's link is and how long calls take,
// so that a call which goes unanswered because the link is full is not taken for a
// silent server or a silent connection.
package observer

import (
	"net"
	"sync"
	"time"
)

const (
	// slotTime is the resolution of the traffic kept, and slots how many are kept.
	slotTime = 50 * time.Millisecond
	slots    = 64
	// minWindow is the shortest time over which the traffic is compared with the rate
	// of the link.
	minWindow = 200 * time.Millisecond
	// fullShare is the share of the rate at which the link counts as full. Calls queue
	// well below the whole rate, because traffic comes in bursts.
	fullShare = 0.5
	// packetBytes is what the headers of a packet add to the data of a read or write.
	packetBytes = 60
)

// Link measures the traffic of the instance's own link, which carries as much in each
// direction. It is safe for concurrent use.
type Link struct {
	// rate is in bytes a second, zero if it is not known.
	rate float64
	now  func() time.Time

	mu sync.Mutex
	// traffic has the bytes of each of the last slots, by the number of the slot
	// modulo slots; last is the number of the latest.
	traffic [slots]traffic
	last    int64
}

// traffic is a number of bytes in each direction.
type traffic struct{ sent, received float64 }

// New returns the link of an instance with the given rate in bytes a second in each
// direction; a rate of zero stands for an unlimited one.
func New(bytesPerSecond float64, now func() time.Time) *Link {
	return &Link{rate: bytesPerSecond, now: now}
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotTime) }

// Add counts the bytes of a packet.
func (l *Link) Add(sent, received int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := slotOf(l.now())
	if n-l.last > slots {
		l.last = n - slots
	}
	for l.last < n {
		l.last++
		l.traffic[l.last%slots] = traffic{}
	}
	t := &l.traffic[n%slots]
	// A packet in one direction is acknowledged by an empty one in the other.
	t.sent += float64(sent) + packetBytes
	t.received += float64(received) + packetBytes
}

// IsFull reports whether the link was full for the last while. Data that waits for the
// link is not counted before it has passed.
func (l *Link) IsFull(last time.Duration) bool {
	if l.rate <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	window := min(max(last, minWindow), (slots-1)*slotTime)
	var sum traffic
	for n := max(slotOf(now.Add(-window)), l.last-slots+1); n <= l.last; n++ {
		sum.sent += l.traffic[n%slots].sent
		sum.received += l.traffic[n%slots].received
	}
	return max(sum.sent, sum.received) >= fullShare*l.rate*window.Seconds()
}

// Transfer returns how long a number of bytes takes on the link when it carries nothing
// else.
func (l *Link) Transfer(bytes int) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.rate * float64(time.Second))
}

// Conn returns a connection whose traffic is counted.
func (l *Link) Conn(c net.Conn) net.Conn { return &countedConn{c, l} }

// Listener returns a listener whose connections are counted.
func (l *Link) Listener(inner net.Listener) net.Listener { return &countedListener{inner, l} }

type countedConn struct {
	net.Conn
	link *Link
}

// Read reads and counts data.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.link.Add(0, n)
	}
	return n, err
}

// Write writes and counts data.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.link.Add(n, 0)
	}
	return n, err
}

type countedListener struct {
	net.Listener
	link *Link
}

// Accept accepts a connection whose traffic is counted.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Conn(c), nil
}
