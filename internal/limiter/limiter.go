// Package limiter decides which connections, requests and bytes of clients a process
// admits, so that clients which keep to no limit neither exhaust its memory and
// descriptors nor keep it from serving the others.
package limiter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

const (
	// fileDescriptors is how many descriptors are kept for files, or a quarter of all if
	// that is less. Of the others, clients get half: the rest is for the connections to
	// workers, peers and the store, of which an owner has several for each worker.
	fileDescriptors = 200
	// connectionBytes is the memory that a connection may hold outside of the budget:
	// the buffers for the header and the response, the first 8 KiB of a body, the parsed
	// header and the stack of its goroutine.
	connectionBytes = 40 << 10
	// Connections may take a quarter of the memory, and what the budget admits an eighth.
	// Go's soft memory limit is 0.6 of the memory; the rest of it is the process's own.
	connectionMemoryShare = 4
	budgetMemoryShare     = 8
	// unknownMemoryBudget is the budget if the memory isn't known: that of 512 MB.
	unknownMemoryBudget = 64 << 20

	// bufferBytes is the first size of a buffer for a body. It holds what the HTTP library
	// reads of a body before the handler runs, which is not taken from the budget.
	bufferBytes = 8 << 10
	// smallBufferBytes is the first size if a body is announced with at most this length,
	// as most are. Many such bodies are held while their requests wait for the store.
	smallBufferBytes = 1 << 10
	// growthFactor covers a buffer of a body that is copied to a larger one, and
	// workFactor what is made from a body while it is decoded, encoded and stored.
	growthFactor = 2
	workFactor   = 8

	// headerSlack is the length of the request line, which the limit for headers doesn't
	// include.
	headerSlack = 1 << 10
	// minFieldBytes is the length of the shortest field of a header, such as "a:\r\n".
	minFieldBytes = 4
	// writeBufferBytes holds the header and the body of most responses. It is less than
	// the library's, to make up for a part of the buffer for headers.
	writeBufferBytes = 1 << 10
	// lingerTime and lingerBytes bound what is read of a refused body after the response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// maxPatience bounds the time for a body that a client may ask for.
	maxPatience = 30 * time.Second
)

// The limits that refusals are counted by.
const (
	limitConnections = "connections"
	limitDescriptors = "descriptors"
	limitMemory      = "memory"
	limitBodyBytes   = "body_bytes"
	limitHeaderBytes = "header_bytes"
	limitHeaders     = "headers"
	limitHeaderTime  = "header_time"
	limitBodyTime    = "body_time"
	limitIdleTime    = "idle_time"
	limitWriteTime   = "write_time"
	limitShape       = "shape"
)

// Limits are the limits of one process for its clients. Sizes are in bytes.
type Limits struct {
	// MaxBodyBytes bounds a body at the servers that have no limit of their own.
	MaxBodyBytes int
	// MaxHeaderBytes bounds a header without its request line; it is fixed when a server
	// starts.
	MaxHeaderBytes int
	// MaxHeaders is the number of fields in a header.
	MaxHeaders int
	// HeaderTimeout is the time for a header from its first byte. BodyTimeout is the time
	// for a body, to which a second is added for each MinBodyRate bytes that arrive.
	// IdleTimeout is the time for the first byte of a request.
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
	// MinBodyRate is in bytes a second.
	MinBodyRate int
	// WriteTimeout is the time for a response, once the client doesn't read.
	WriteTimeout time.Duration
}

// MaxConnections returns the number of open connections of clients that a process with
// the given number of descriptors and bytes of memory may have; 0 stands for a number that
// isn't known.
func MaxConnections(descriptors, memory int64) int {
	bound := int64(1 << 16)
	if descriptors > 0 {
		bound = min(bound, (descriptors-min(fileDescriptors, descriptors/4))/2)
	}
	if memory > 0 {
		bound = min(bound, memory/connectionMemoryShare/connectionBytes)
	}
	return int(max(bound, 1))
}

// BudgetBytes returns the bytes of requests that a process with the given bytes of memory
// admits; 0 stands for memory that isn't known.
func BudgetBytes(memory int64) int64 {
	if memory <= 0 {
		return unknownMemoryBudget
	}
	return memory / budgetMemoryShare
}

// Options are the dependencies of a limiter.
type Options struct {
	// MaxConnections bounds the open connections of all servers together.
	MaxConnections int
	Budget         *Budget
	// OtherBudgets are those of servers with a budget of their own.
	OtherBudgets []*Budget
	Limits       Limits
	Registry     prometheus.Registerer
	// Namespace begins the names of the metrics; empty stands for tarragonhead.
	Namespace string
}

// Limiter holds the limits of a process. It is safe for concurrent use.
type Limiter struct {
	maxConnections int
	budget         *Budget
	limits         atomic.Pointer[Limits]
	refusals       *prometheus.CounterVec
	// began is when the limiter was made; the times of connections count from it.
	began time.Time
	// buffers holds buffers of bufferBytes for bodies, and smallBuffers those of
	// smallBufferBytes.
	buffers, smallBuffers sync.Pool
}

// New returns a limiter and registers its metrics.
func New(o Options) *Limiter {
	factory := promauto.With(o.Registry)
	if o.Namespace == "" {
		o.Namespace = "tarragonhead"
	}
	l := &Limiter{
		maxConnections: o.MaxConnections, budget: o.Budget, began: time.Now(),
		refusals: factory.NewCounterVec(prometheus.CounterOpts{Namespace: o.Namespace, Name: "client_limit_refusals_total", Help: "Requests and connections of clients that were refused or closed, by server and limit."}, []string{"server", "limit"}),
	}
	l.buffers.New = func() any { return newBuffer(bufferBytes) }
	l.smallBuffers.New = func() any { return newBuffer(smallBufferBytes) }
	factory.NewGaugeFunc(prometheus.GaugeOpts{Namespace: o.Namespace, Name: "client_budget_bytes", Help: "Bytes of requests that are admitted now."}, func() float64 {
		used := o.Budget.Used()
		for _, b := range o.OtherBudgets {
			used += b.Used()
		}
		return float64(used)
	})
	l.SetLimits(o.Limits)
	return l
}

func newBuffer(size int) *[]byte {
	b := make([]byte, 0, size)
	return &b
}

// bufferPool returns the pool of the first buffer of a body with the announced length.
func (l *Limiter) bufferPool(length int) *sync.Pool {
	if length >= 0 && length <= smallBufferBytes {
		return &l.smallBuffers
	}
	return &l.buffers
}

// Limits returns the limits in force.
func (l *Limiter) Limits() *Limits { return l.limits.Load() }

// SetLimits replaces the limits in force, except for those that are fixed when a server
// starts.
func (l *Limiter) SetLimits(limits Limits) { l.limits.Store(&limits) }
