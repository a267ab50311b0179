package overloader

import (
	"context"
	"sync"
	"time"

	"tarragonhead.example/tarragonhead/internal/observer"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// requestBytes and answerBytes are the sizes of a call without its data, and
	// rowBytes is that of a run in the answer to a poll.
	requestBytes = 250
	answerBytes  = 150
	rowBytes     = 60
	// latency is the time of a message on the way, besides that on the link.
	latency = time.Millisecond
)

// link is an instance's link. Each direction carries one message after the other, and what
// was handed to it is delivered even if its sender no longer waits for an answer.
type link struct {
	rate     float64
	observed *observer.Link

	mu       sync.Mutex
	up, down time.Time
	// unanswered counts the calls that ended before their answers.
	unanswered int
	// calls and bytes count the calls and what passed in both directions.
	calls, bytes int
}

func newLink(rate float64) *link {
	return &link{rate: rate, observed: observer.New(rate, time.Now)}
}

// pass waits until a number of bytes has passed in a direction.
func (l *link) pass(busyUntil *time.Time, bytes int) {
	l.mu.Lock()
	if now := time.Now(); busyUntil.Before(now) {
		*busyUntil = now
	}
	*busyUntil = busyUntil.Add(l.observed.Transfer(bytes))
	l.bytes += bytes
	at := *busyUntil
	l.mu.Unlock()
	time.Sleep(time.Until(at) + latency)
}

// call carries a request over a link, and its answer, of which execute returns the content
// and the size. A call that is not answered in time may still be executed.
func call[T any](ctx context.Context, l *link, bytes int, execute func() (T, int)) (content T, lost error) {
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	answered := make(chan T, 1)
	go func() {
		l.pass(&l.up, bytes)
		l.observed.Add(bytes, 0)
		content, n := execute()
		l.pass(&l.down, n)
		l.observed.Add(0, n)
		answered <- content
	}()
	select {
	case content = <-answered:
		return content, nil
	case <-ctx.Done():
		l.mu.Lock()
		l.unanswered++
		l.mu.Unlock()
		return content, ctx.Err()
	}
}

func (l *link) unansweredCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unanswered
}

func (l *link) traffic() (calls, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls, l.bytes
}

// store returns a store's operations over the link.
func (l *link) store(p storeclient.PrefixStore) storeclient.PrefixStore {
	get, keepAlive, transact := p.Get, p.KeepAlive, p.Transact
	unavailable := func(op string, err error) error {
		return &storeclient.UnavailableError{Op: op, MayHaveApplied: true, Err: err}
	}
	p.Get = func(ctx context.Context, key string) (storeclient.Entry, error) {
		a, lost := call(ctx, l, requestBytes, func() (storeAnswer, int) {
			e, err := get(ctx, key)
			return storeAnswer{entry: e, err: err}, answerBytes + len(e.Value)
		})
		if lost != nil {
			return storeclient.Entry{}, unavailable("get", lost)
		}
		return a.entry, a.err
	}
	p.KeepAlive = func(ctx context.Context, id storeclient.LeaseID) error {
		err, lost := call(ctx, l, requestBytes, func() (error, int) { return keepAlive(ctx, id), answerBytes })
		if lost != nil {
			return unavailable("keep", lost)
		}
		return err
	}
	p.Transact = func(ctx context.Context, t storeclient.Transaction) (uint64, error) {
		bytes := requestBytes
		for _, w := range t.Writes {
			bytes += len(w.Value) * 4 / 3
		}
		a, lost := call(ctx, l, bytes, func() (storeAnswer, int) {
			revision, err := transact(ctx, t)
			return storeAnswer{revision: revision, err: err}, answerBytes
		})
		if lost != nil {
			return 0, unavailable("transact", lost)
		}
		return a.revision, a.err
	}
	return p
}

// storeAnswer is what an operation of the store returns.
type storeAnswer struct {
	entry    storeclient.Entry
	revision uint64
	err      error
}
