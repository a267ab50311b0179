package conductor_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/observer"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// slowLink is an owner's link. Each direction carries one message after the other, and
// what was handed to it is delivered even if its sender no longer waits for an answer.
type slowLink struct {
	rate     float64
	observed *observer.Link

	mu       sync.Mutex
	up, down time.Time
	// unanswered counts the calls that ended before their answers.
	unanswered int
}

func newSlowLink(rate float64) *slowLink {
	return &slowLink{rate: rate, observed: observer.New(rate, time.Now)}
}

// pass waits until a number of bytes has passed in a direction.
func (l *slowLink) pass(busyUntil *time.Time, bytes int, count func()) {
	l.mu.Lock()
	if now := time.Now(); busyUntil.Before(now) {
		*busyUntil = now
	}
	*busyUntil = busyUntil.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	at := *busyUntil
	l.mu.Unlock()
	time.Sleep(time.Until(at) + time.Millisecond)
	count()
}

// call carries a request and its answer, the size of which execute returns. A call that is
// not answered in time may still be executed.
func (l *slowLink) call(ctx context.Context, bytes int, execute func() int) error {
	answered := make(chan struct{})
	go func() {
		l.pass(&l.up, bytes, func() { l.observed.Add(bytes, 0) })
		n := execute()
		l.pass(&l.down, n, func() { l.observed.Add(0, n) })
		close(answered)
	}()
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		l.unanswered++
		l.mu.Unlock()
		return ctx.Err()
	}
}

func (l *slowLink) unansweredCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unanswered
}

const (
	requestBytes = 250
	answerBytes  = 150
	rowBytes     = 60
)

// callWorkers returns the calls to workers, of which each has a pool of its own, over the
// link.
func (l *slowLink) callWorkers(pools map[string]*pool) conductor.WorkerCalls {
	order := func(ctx context.Context, bytes int, execute func() error) (err error) {
		if lost := l.call(ctx, bytes, func() int { err = execute(); return answerBytes }); lost != nil {
			return lost
		}
		return err
	}
	return conductor.WorkerCalls{
		Start: func(ctx context.Context, w planner.Worker, o conductor.StartOrder) error {
			return order(ctx, requestBytes+len(o.Payload), func() error { return pools[w.ID].start(ctx, w, o) })
		},
		Stop: func(ctx context.Context, w planner.Worker, o conductor.StopOrder) error {
			return order(ctx, requestBytes, func() error { return pools[w.ID].stop(ctx, w, o) })
		},
		Pace: func(ctx context.Context, _ planner.Worker, _ conductor.PaceOrder) error {
			return order(ctx, requestBytes, func() error { return nil })
		},
		Poll: func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (a conductor.PollAnswer, err error) {
			lost := l.call(ctx, requestBytes, func() int {
				for end := time.Now().Add(o.Wait); ; time.Sleep(20 * time.Millisecond) {
					a, err = pools[w.ID].poll(ctx, w, o)
					if len(a.Ended) > 0 || err != nil || !time.Now().Before(end) {
						return answerBytes + rowBytes*(len(a.Running)+len(a.Ended))
					}
				}
			})
			if lost != nil {
				return conductor.PollAnswer{}, lost
			}
			return a, err
		},
	}
}

// callStore returns the store's operations over the link.
func (l *slowLink) callStore(p storeclient.PrefixStore) storeclient.PrefixStore {
	get, keepAlive, transact := p.Get, p.KeepAlive, p.Transact
	p.Get = func(ctx context.Context, key string) (e storeclient.Entry, err error) {
		if lost := l.call(ctx, requestBytes, func() int { e, err = get(ctx, key); return answerBytes + len(e.Value) }); lost != nil {
			return storeclient.Entry{}, &storeclient.UnavailableError{Op: "get", Err: lost}
		}
		return e, err
	}
	p.KeepAlive = func(ctx context.Context, id storeclient.LeaseID) (err error) {
		if lost := l.call(ctx, requestBytes, func() int { err = keepAlive(ctx, id); return answerBytes }); lost != nil {
			return &storeclient.UnavailableError{Op: "keep", Err: lost}
		}
		return err
	}
	p.Transact = func(ctx context.Context, t storeclient.Transaction) (revision uint64, err error) {
		bytes := requestBytes
		for _, w := range t.Writes {
			bytes += len(w.Value) * 4 / 3
		}
		if lost := l.call(ctx, bytes, func() int { revision, err = transact(ctx, t); return answerBytes }); lost != nil {
			return 0, &storeclient.UnavailableError{Op: "transact", MayHaveApplied: true, Err: lost}
		}
		return revision, err
	}
	return p
}

// overload is the outcome of a load on a slow link.
type overload struct {
	// done is the number of tasks that ended in the last half of the load.
	done int
	// unansweredLater counts the unanswered calls from 5 s after the load on.
	unansweredLater int
	ownerChanges    int64
}

// playOverload offers an owner, whose link carries about 300 starts a second, jobs with a
// number of tasks a second for some time.
func playOverload(c *quicktest.C, tasksPerSecond int) overload {
	const (
		workers, rate = 24, 250_000
		payloadBytes  = 500
		tasksPerJob   = 10
		load, after   = 12 * time.Second, 12 * time.Second
	)
	k := keeper.New(time.Now)
	link := newSlowLink(rate)
	pools := map[string]*pool{}
	var list []planner.Worker
	for n := range workers {
		w := planner.Worker{
			ID: fmt.Sprintf("w%02d", n), Address: localAddress(uint16(1000 + n)), Service: "service", Domain: "domain",
			Rack: "rack", Capacity: planner.Resources{CPU: 64000, Memory: 100_000},
		}
		list, pools[w.ID] = append(list, w), newPool(300*time.Millisecond)
	}
	var owner *conductor.Conductor
	owner, err := conductor.New(conductor.Options{
		Shard: "0", Self: "daemon", Address: localAddress(1), Store: link.callStore(k.Store()), Workers: link.callWorkers(pools),
		Discover: func(ctx context.Context) { owner.SetWorkers(ctx, list, nil) },
		Ask: func(context.Context, netip.AddrPort, conductor.Question) (conductor.Reply, error) {
			return conductor.Reply{}, errors.New("no peers")
		},
		Limits: conductor.Limits{MaxLease: 6 * time.Second, ViolationLimit: time.Minute, StateRetention: 5 * time.Second},
		Log:    &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Registry: prometheus.NewRegistry(),
		Now: time.Now, WallTime: func(t time.Time) time.Time { return t },
		LinkRate: rate, IsLinkFull: link.observed.IsFull,
	})
	c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { owner.Run(ctx) })
	running.Go(func() { conductor.Follow(ctx, k.Store(), time.Now, []*conductor.Conductor{owner}) })
	owner.SetConfig(planner.Config{})
	time.Sleep(3 * time.Second)
	ended := func() int {
		n := 0
		for _, p := range pools {
			p.mu.Lock()
			n += int(p.lastEnd)
			p.mu.Unlock()
		}
		return n
	}
	interval := time.Second * tasksPerJob / time.Duration(tasksPerSecond)
	payload := string(make([]byte, payloadBytes))
	var before int
	for began, n := time.Now(), 0; time.Since(began) < load; n++ {
		j := planner.Job{
			ID: fmt.Sprintf("%016x", n), Queue: planner.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2, Slack: time.Second},
			Payload: payload, Received: time.Now(),
			Steps: []planner.Step{{Count: tasksPerJob, Need: planner.Resources{CPU: 1000, Memory: 1}, Estimate: 300 * time.Millisecond}},
		}
		value, err := planner.Encode(j)
		c.Assert(err, quicktest.IsNil)
		k.Put(conductor.JobKey("0", j.ID), value)
		if time.Since(began) > load/2 && before == 0 {
			before = ended()
		}
		time.Sleep(interval)
	}
	o := overload{done: ended() - before}
	head, err := k.Store().Get(ctx, "th/0/head")
	c.Assert(err, quicktest.IsNil)
	time.Sleep(5 * time.Second)
	unanswered := link.unansweredCalls()
	time.Sleep(after - 5*time.Second)
	o.unansweredLater = link.unansweredCalls() - unanswered
	later, err := k.Store().Get(ctx, "th/0/head")
	c.Assert(err, quicktest.IsNil)
	o.ownerChanges = int64(later.Revision) - int64(head.Revision)
	cancel()
	running.Wait()
	// What is still on the link is delivered.
	time.Sleep(5 * time.Minute)
	return o
}

// TestOverloadedLink guards against an owner whose link is full and that makes load for
// itself then: each call without an answer was repeated, and each start followed by stops,
// so that ever less work was done, also after the load had fallen.
func TestOverloadedLink(t *testing.T) {
	const carried = 200
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		most := 0
		for _, factor := range []float64{0.5, 1, 1.5, 2, 3} {
			o := playOverload(c, int(factor*carried))
			t.Logf("load %.1f: %d tasks ended, %d calls unanswered later", factor, o.done, o.unansweredLater)
			most = max(most, o.done)
			c.Check(float64(o.done) >= 0.8*float64(most) || factor < 1, quicktest.IsTrue, quicktest.Commentf("load %.1f: %d tasks, %d at most", factor, o.done, most))
			c.Check(o.unansweredLater, quicktest.Equals, 0)
			c.Check(o.ownerChanges, quicktest.Equals, int64(0))
		}
	})
}
