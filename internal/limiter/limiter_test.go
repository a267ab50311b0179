package limiter

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
)

// TestConnections guards against a new connection without a place, against a closed
// connection of a client that sent a request later than another, and against one whose
// client waits for a response.
func TestConnections(t *testing.T) {
	c := quicktest.New(t)
	connections := NewConnections(3)
	var closed []string
	add := func(name string) *Entry {
		e, _ := connections.Add(func() { closed = append(closed, name) })
		return e
	}
	a, b := add("a"), add("b")
	add("c")
	connections.Begin(a)
	connections.End(a)
	connections.Begin(b)
	add("d")
	c.Assert(closed, quicktest.DeepEquals, []string{"c"})
	add("e")
	c.Assert(closed, quicktest.DeepEquals, []string{"c", "a"})
	connections.Remove(a)
	add("f")
	add("g")
	c.Assert(closed, quicktest.DeepEquals, []string{"c", "a", "d", "e"})
	c.Assert(connections.Len(), quicktest.Equals, 3)
	connections.End(b)
	add("h")
	c.Assert(closed, quicktest.DeepEquals, []string{"c", "a", "d", "e", "b"})
	for _, name := range []string{"i", "j", "k"} {
		connections.Begin(add(name))
	}
	e, hasClosed := connections.Add(nil)
	c.Assert(e, quicktest.IsNil)
	c.Assert(hasClosed, quicktest.IsFalse)
}

// TestBudget guards against more bytes than the budget has, and against large requests
// that leave no room for small ones.
func TestBudget(t *testing.T) {
	c := quicktest.New(t)
	b := NewBudget(800 << 10)
	c.Assert(b.Take(700<<10), quicktest.IsTrue)
	c.Assert(b.Take(smallTake+1), quicktest.IsFalse)
	c.Assert(b.Take(smallTake), quicktest.IsTrue)
	c.Assert(b.Take(smallTake), quicktest.IsFalse)
	b.Return(700 << 10)
	c.Assert(b.Take(600<<10), quicktest.IsTrue)
	c.Assert(b.Used(), quicktest.Equals, int64(600<<10+smallTake))
}

// TestMachineLimits guards against limits that a machine doesn't have, and that the
// descriptors for workers, peers and the store are used up by clients.
func TestMachineLimits(t *testing.T) {
	for name, tt := range map[string]struct {
		descriptors, memory int64
		connections         int
		budget              int64
	}{
		"smallest machine": {4100, 184 << 20, 1177, 23 << 20},
		"largest machine":  {8192, 536 << 20, 3430, 67 << 20},
		"few descriptors":  {256, 64 << 20, 96, 8 << 20},
		"not known":        {0, 0, 1 << 16, 64 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, MaxConnections(tt.descriptors, tt.memory), quicktest.Equals, tt.connections)
			quicktest.Assert(t, BudgetBytes(tt.memory), quicktest.Equals, tt.budget)
		})
	}
}

// TestShape guards against text that decodes to far more than its size, and against
// ordinary text that is refused.
func TestShape(t *testing.T) {
	s := Shape{MaxDepth: 4, MaxElements: 3}
	for name, tt := range map[string]struct {
		text string
		want int
		isOK bool
	}{
		"no array":           {`{"a":1,"b":{"c":2,"d":3,"e":4,"f":5}}`, 0, true},
		"empty array":        {`{"a":[]}`, 1, true},
		"elements":           {`{"a":[{"x":1,"y":2,"z":3,"u":4},{},{}],"b":[1]}`, 3, true},
		"too many elements":  {`{"a":[1,2,3,4]}`, 0, false},
		"too many nulls":     {`{"a":[null,null,null,null]}`, 0, false},
		"repeated key":       {`{"a":[1,2],"a":[1,2,3,4]}`, 0, false},
		"commas in strings":  {`{"a":["[,,,,","\",,,,\\"]}`, 2, true},
		"depth":              {`{"a":[[[1]]]}`, 1, true},
		"too deep":           {`{"a":[[[[1]]]]}`, 0, false},
		"brackets in string": {`{"a":"[[[[[[{{{{"}`, 0, true},
		"not closed":         {`{"a":["`, 1, true},
		"more ends":          {`]]]]{"a":[1,2,3,4]}`, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			n, err := s.Check([]byte(tt.text))
			var shape *ShapeError
			c.Assert(errors.As(err, &shape), quicktest.Equals, !tt.isOK)
			c.Assert(n, quicktest.Equals, tt.want)
		})
	}
}

// TestBody guards against bytes of a body that the budget doesn't admit, and against bytes
// that stay taken after a request.
func TestBody(t *testing.T) {
	const most = 40 << 10
	slow := func(n int) io.Reader { return iotest.HalfReader(strings.NewReader(strings.Repeat("x", n))) }
	for name, tt := range map[string]struct {
		stream io.Reader
		// announced is the announced length, 0 if there is none.
		announced int
		budget    int64
		limit     string
		length    int
	}{
		"none":                       {nil, 0, 0, "", 0},
		"empty":                      {slow(0), 0, 0, "", 0},
		"small":                      {slow(1000), 0, workFactor * 1000, "", 1000},
		"small announced":            {slow(1000), 1000, workFactor * 1000, "", 1000},
		"as long as a small buffer":  {slow(smallBufferBytes), smallBufferBytes, workFactor * smallBufferBytes, "", smallBufferBytes},
		"longer than announced":      {slow(bufferBytes - 1), 10, workFactor * (bufferBytes - 1), "", bufferBytes - 1},
		"no room for the work":       {slow(1000), 0, workFactor*1000 - 1, limitMemory, 1000},
		"no room, small, announced":  {slow(1000), 1000, workFactor*1000 - 1, limitMemory, 1000},
		"largest":                    {slow(most), 0, 1 << 20, "", most},
		"one byte over":              {slow(most + 1), 0, 1 << 20, limitBodyBytes, most + 1},
		"endless":                    {endless{}, 0, 1 << 20, limitBodyBytes, most + 1},
		"endless announced":          {endless{}, 10, 1 << 20, limitBodyBytes, most + 1},
		"no room for the buffer":     {slow(most), 0, 20 << 10, limitMemory, 16 << 10},
		"no room, announced":         {slow(most), most, 20 << 10, limitMemory, 16 << 10},
		"no room, wrongly announced": {slow(most), 10, 20 << 10, limitMemory, 16 << 10},
		"ended early":                {io.MultiReader(slow(10), iotest.ErrReader(io.ErrUnexpectedEOF)), 0, 1 << 20, limitMalformed, 10},
	} {
		t.Run(name, func(t *testing.T) {
			length := tt.announced
			if length == 0 {
				length = -1
			}
			c := quicktest.New(t)
			budget := NewBudget(tt.budget)
			l := New(Options{MaxConnections: 1, Budget: budget, Limits: Limits{MaxBodyBytes: most, MinBodyRate: 1}, Registry: prometheus.NewRegistry()})
			b := body{server: l.Server(ServerOptions{Name: "test", Share: 1})}
			c.Assert(b.read(tt.stream, length, nil), quicktest.Equals, tt.limit)
			c.Assert(b.bytes, quicktest.HasLen, tt.length)
			b.release()
			c.Assert(budget.Used(), quicktest.Equals, int64(0))
		})
	}
}

// endless is a body without an end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// TestDeadlines guards against times of the configuration that don't apply to a connection,
// and against an idle client that gets only the time for a header.
func TestDeadlines(t *testing.T) {
	c := quicktest.New(t)
	l := New(Options{MaxConnections: 1, Budget: NewBudget(0), Limits: Limits{HeaderTimeout: 4 * time.Second, IdleTimeout: 16 * time.Second, WriteTimeout: 7 * time.Second}, Registry: prometheus.NewRegistry()})
	recorded := &recordedConn{}
	limited := &conn{Conn: recorded, server: l.Server(ServerOptions{Name: "test", Share: 1})}
	// left returns the time that a read or a write has. What was set before is forgotten, as
	// a deadline is kept if it is late by less than deadlineStep.
	left := func(operation func([]byte) (int, error)) time.Duration {
		limited.armedRead, limited.armedWrite, recorded.by = 0, 0, time.Time{}
		_, err := operation(nil)
		c.Assert(err, quicktest.IsNil)
		return time.Until(recorded.by.Add(-deadlineStep)).Round(time.Second)
	}
	c.Assert(left(limited.Read), quicktest.Equals, 16*time.Second)
	limited.setPhase(fasthttp.StateActive)
	c.Assert(left(limited.Read), quicktest.Equals, 4*time.Second)
	// A client that sends its header byte by byte gets no more time.
	limited.readBy -= 2 * time.Second
	c.Assert(left(limited.Read), quicktest.Equals, 2*time.Second)
	_ = limited.SetReadDeadline(time.Now().Add(9 * time.Second))
	c.Assert(left(limited.Read), quicktest.Equals, 9*time.Second)
	c.Assert(left(limited.Write), quicktest.Equals, 7*time.Second)
	// So does one that reads a long response slowly, until its next request is handled.
	limited.writeBy -= 2 * time.Second
	c.Assert(left(limited.Write), quicktest.Equals, 5*time.Second)
	limited.beginResponse()
	c.Assert(left(limited.Write), quicktest.Equals, 7*time.Second)
	limited.setPhase(fasthttp.StateIdle)
	l.SetLimits(Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 20 * time.Second, WriteTimeout: 5 * time.Second})
	c.Assert(left(limited.Read), quicktest.Equals, 20*time.Second)
	limited.setPhase(fasthttp.StateActive)
	c.Assert(left(limited.Read), quicktest.Equals, 3*time.Second)
	// The response to a malformed request after a long time gets the time for a response.
	limited.writeBy = 1
	limited.setPhase(fasthttp.StateActive)
	c.Assert(left(limited.Write), quicktest.Equals, 5*time.Second)
}

// recordedConn is a connection that records the deadline that was set last.
type recordedConn struct {
	net.Conn
	by time.Time
}

func (*recordedConn) Read([]byte) (int, error)  { return 0, nil }
func (*recordedConn) Write([]byte) (int, error) { return 0, nil }

func (r *recordedConn) SetReadDeadline(t time.Time) error {
	r.by = t
	return nil
}

func (r *recordedConn) SetWriteDeadline(t time.Time) error {
	r.by = t
	return nil
}
