package platformer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// LongRunningPrefix is the prefix of the ids of jobs with long-running tasks.
// Workers recognise these tasks by the prefix, since a start request does not say
// whether the task is long-running.
const LongRunningPrefix = "1a57"

const (
	// heartbeatInterval is how often a process writes its entry to the store. The
	// entry has a lease of entryLease, so that the entry of a killed process stays
	// in the store until up to three heartbeats later.
	heartbeatInterval = 1100 * time.Millisecond
	entryLease        = 3 * heartbeatInterval
	// heartbeatRetryDelay is the delay before a failed heartbeat is repeated.
	heartbeatRetryDelay = 200 * time.Millisecond
	// storeTimeout bounds the calls of a heartbeat.
	storeTimeout = time.Second

	// workerAddress is where processes of workers listen, on ports that the system
	// chooses first. Connections to other servers leave from 127.0.0.1, so that no
	// other socket gets the port of a worker while the worker is down.
	workerAddress = "127.0.0.2:0"
)

// Worker is a stand-in for a worker, which the platform calls a runner. Its
// processes follow one another at the same address.
type Worker struct {
	name    string
	index   int
	options Options
	store   storeclient.PrefixStore
	// address is where processes listen, and entryAddress what their entries name.
	address, entryAddress string
	// stopped is closed when the platform stops.
	stopped chan struct{}
	// restart is held while the process is killed and replaced, and writing while an entry
	// is encoded and written, so that no entry overwrites a newer one.
	restart, writing sync.Mutex

	mu sync.Mutex
	// process is the current process, or the last one while the worker is down.
	process     *process
	startCounts map[string]int
	// unlistedUntil is the end of the time in which no heartbeat is sent.
	unlistedUntil time.Time
}

// Restart says how the process of a worker ends and how the next one starts.
type Restart struct {
	// DrainTime is how long the process reports that it is draining before it ends,
	// after which its entry is removed; 0 for a process that is killed.
	DrainTime time.Duration
	// Downtime is how long no process listens at the worker's address.
	Downtime time.Duration
	// KeepsID says that the next process has the id of the ended one.
	KeepsID bool
	// BornShift is added to the start time that the next process reports.
	BornShift time.Duration
	// IsSilent says that the connections to the ended process stay open without a
	// response, also those that are opened before the next process starts, as after
	// a loss of power. Otherwise they are closed, and new ones refused.
	IsSilent bool
	// Released, if not nil, says that calls which are made while no process listens are
	// held, and reach the next process when the channel is closed. Connections to the
	// ended process stay open; later calls on them reach the next process immediately.
	Released <-chan struct{}
	// LateWriteDelay is how long after its end the last heartbeat of the process
	// takes effect; 0 for no such heartbeat.
	LateWriteDelay time.Duration
}

func newWorker(index int, o Options, store storeclient.PrefixStore, stopped chan struct{}) *Worker {
	return &Worker{
		name: fmt.Sprintf("i-%d", index), index: index, options: o, store: store, address: workerAddress,
		stopped: stopped, startCounts: map[string]int{},
	}
}

// Name returns the name of the worker, which is the id of its first process.
func (w *Worker) Name() string { return w.name }

// StartsByTask returns the number of starts of each task.
func (w *Worker) StartsByTask() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int, len(w.startCounts))
	for t, n := range w.startCounts {
		counts[t] = n
	}
	return counts
}

// Restart kills the process and starts the next one after the downtime. It returns
// when the next process listens; concurrent calls are served one after another.
func (w *Worker) Restart(r Restart) error {
	w.restart.Lock()
	defer w.restart.Unlock()
	w.mu.Lock()
	ended := w.process
	ended.isDraining = r.DrainTime > 0
	w.mu.Unlock()
	if r.DrainTime > 0 {
		// If this write fails, the next heartbeat reports it.
		_ = w.writeEntry(ended)
		time.Sleep(r.DrainTime)
	}
	w.mu.Lock()
	ended.released = r.Released
	ended.kill(r.IsSilent || r.Released != nil)
	w.mu.Unlock()
	if r.DrainTime > 0 {
		w.removeEntry(ended)
	}
	if r.LateWriteDelay > 0 {
		time.AfterFunc(r.LateWriteDelay, func() { _ = w.writeEntry(ended) })
	}
	time.Sleep(r.Downtime)
	next := w.newProcess(ended.number+1, r.BornShift)
	if r.KeepsID {
		next.id = ended.id
	}
	_ = ended.listener.Close()
	if err := w.listen(next); err != nil {
		return err
	}
	go w.sendHeartbeats(next)
	return nil
}

// Unlist removes the entry of the current process, which goes on, and sends no
// heartbeat for a while, as when heartbeats are lost until the entry has expired.
func (w *Worker) Unlist(length time.Duration) {
	w.mu.Lock()
	w.unlistedUntil = time.Now().Add(length)
	p := w.process
	w.mu.Unlock()
	w.removeEntry(p)
}

// newProcess returns a process with an id that no other process has. The id of a
// process sorts before that of its predecessor or after it, since the list of
// workers is in the order of ids.
func (w *Worker) newProcess(number int, bornShift time.Duration) *process {
	now := time.Now()
	p := &process{
		worker: w, id: w.name, number: number, startedAt: now, born: now.Add(bornShift).UnixMilli(), ended: make(chan struct{}),
		runs: map[runKey]time.Time{}, refusedUpTo: map[string]int{}, endedAt: map[runKey]time.Time{},
	}
	if number > 1 {
		p.id = fmt.Sprintf("%c-%s-%d", "az"[(number+w.index)%2], w.name, number)
	}
	return p
}

// listen starts the process's server at the worker's address and makes the process
// the current one.
func (w *Worker) listen(p *process) error {
	l, err := net.Listen("tcp4", w.address)
	if err != nil {
		return errors.Wrapf(err, "listen at the address of worker %s", w.name)
	}
	p.listener = &listener{Listener: l, open: map[net.Conn]bool{}}
	// The server would report each connection that kill closes.
	server := &fasthttp.Server{Handler: p.serve, Logger: log.New(io.Discard, "", 0)}
	w.mu.Lock()
	w.address, w.process = l.Addr().String(), p
	w.mu.Unlock()
	go func() { _ = server.Serve(p.listener) }()
	return nil
}

// stop ends the current process. The platform has closed w.stopped.
func (w *Worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.process.hasEnded() {
		w.process.kill(false)
	}
}

// sendHeartbeats writes the entry of the process to the store until the process
// ends.
func (w *Worker) sendHeartbeats(p *process) {
	for {
		delay := heartbeatInterval
		if w.writeEntry(p) != nil {
			delay = heartbeatRetryDelay
		}
		select {
		case <-p.ended:
			return
		case <-time.After(delay):
		}
	}
}

// writeEntry writes the entry of the process under a new lease.
func (w *Worker) writeEntry(p *process) error {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	if time.Now().Before(w.unlistedUntil) {
		w.mu.Unlock()
		return nil
	}
	p.seq++
	state := "ready"
	if p.isDraining {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{
		"service": service, "addr": w.entryAddress, "zone": domain, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": 16000, "memMb": 32768, "gpu": 0}, "labels": []string{"a", fmt.Sprintf("r-%d", w.index/8)},
		"clockMs": p.clockMs(), "seq": p.seq, "born": p.born,
	})
	w.mu.Unlock()
	if err != nil {
		return errors.Wrap(err, "encode worker entry")
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	lease, err := w.store.Grant(ctx, entryLease)
	if err != nil {
		return errors.Wrapf(err, "grant a lease for worker %s", p.id)
	}
	_, err = w.store.Transact(ctx, storeclient.Transaction{Writes: []storeclient.Write{{Key: p.entryKey(), Value: entry, Lease: lease}}})
	return errors.Wrapf(err, "write the entry of worker %s", p.id)
}

// removeEntry removes the entry of an ended process from the store. If the store
// fails, the entry stays until its lease expires.
func (w *Worker) removeEntry(p *process) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, _ = w.store.Transact(ctx, storeclient.Transaction{Remove: []string{p.entryKey()}})
}

func (p *process) entryKey() string { return "servers/" + p.id }

// advanceInterval is the interval at which Advance ends runs.
const advanceInterval = 20 * time.Millisecond

// Advance regularly ends the runs that are complete or whose lease has expired,
// until stop is closed. Without Advance, such runs end only at the next call to the
// worker.
func (w *Worker) Advance(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(advanceInterval):
			w.mu.Lock()
			if !w.process.hasEnded() {
				w.process.advance()
			}
			w.mu.Unlock()
		}
	}
}

// listener keeps the connections that it accepted, to close them with the process.
type listener struct {
	net.Listener

	mu   sync.Mutex
	open map[net.Conn]bool
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

// Close stops listening and closes the socket.
func (l *listener) Close() error { return closeListener(l.Listener) }

// closeListener stops listening and closes the socket. A child between fork and exec
// has a copy of the socket, which keeps the address in use as long as it listens.
func closeListener(l net.Listener) error {
	if c, ok := l.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RD) })
		}
	}
	return l.Close()
}

func (l *listener) closeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.Close()
	}
}
