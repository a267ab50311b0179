package platformer

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/keeper"
)

// Names in the configuration of the stand-in.
const (
	Host    = "queue.example"
	Prefix  = "/jobs/"
	service = "service"
	domain  = "domain"

	// operatorPrefix begins the operator's keys in the store.
	operatorPrefix = "op/"
)

// Attempts is the number of failed runs of a task after which it isn't started again.
const Attempts = 2

// firstAge is how long before the platform the first processes of the workers were
// started, by their clocks. A lease deadline that was meant for such a process lies far
// ahead on the clock of the next one.
const firstAge = time.Hour

// shutdownTimeout bounds the wait for open connections when the platform stops.
const shutdownTimeout = 50 * time.Millisecond

// Options configures a platform.
type Options struct {
	// Binary is the path of tarragond.
	Binary string
	// Directory is where the settings files are written.
	Directory string
	Workers   int
	// TaskDuration is how long each task runs.
	TaskDuration time.Duration
	// Output receives the logs of the instances.
	Output *os.File
	// ProxyAddress returns the address at which instances reach the server at
	// address, such as that of a proxy; if nil, they connect to the server itself.
	// The name is that of the worker or, for the store, of the instance that
	// connects to it.
	ProxyAddress func(name, address string) (string, error)
	// Observe, if not nil, receives the events of runs, those of each worker in
	// order. It must not call the platform.
	Observe func(Event)
	// Fails, if not nil, reports whether a run of a task that is not long-running
	// ends as failed instead of done.
	Fails func(task string, attempt int) bool
	// TransactionDelay and OrderDelay, if not nil, return for each transaction of an
	// instance with the store, by the first key that it writes, and each call to a
	// worker, by its name, how much later it takes effect. It then gets no response.
	// With 0 it takes effect at once, and a call to a worker with Lost never does.
	TransactionDelay func(key string) time.Duration
	OrderDelay       func(worker string) time.Duration
	// TransactionSilence and OrderSilence are how long the connection of a transaction
	// or a call to a worker that takes effect late stays open without a response.
	TransactionSilence, OrderSilence time.Duration
	// MaxLease is the longest lease of a run, 3 s if zero.
	MaxLease time.Duration
	// Organisations, if not nil, returns the organisations that a version of the
	// configuration holds. Clients then need a key.
	Organisations func(version int) []Organisation
	// MaxDescriptors, if not zero, is the number of descriptors that an instance may
	// open, and MemoryMB the memory that its settings name, 284 if zero.
	MaxDescriptors, MemoryMB int
}

// Cap is what the runs of an organisation may need together; zero for no limit.
type Cap struct {
	// CPU is in millicores.
	CPU int64 `json:"cpu"`
}

// Organisation is an organisation in the configuration.
type Organisation struct {
	Name   string   `json:"name"`
	Keys   []string `json:"keys"`
	Weight float64  `json:"weight"`
	Cap    Cap      `json:"cap"`
}

// Lost is the delay of a call to a worker that never takes effect.
const Lost time.Duration = -1

// Event is an event of a run on a worker.
type Event struct {
	Worker string
	// Process counts the processes of the worker from 1.
	Process int
	Task    string
	Attempt int
	// IsFromEarlier says that the call which starts the run or acknowledges its end was
	// sent to an earlier process of the worker.
	IsFromEarlier bool
	// Call is the path of a late call.
	Call string
	// Kind is "start" when the run starts, and "done", "failed", "stopped" or
	// "lapsed" when it ends as done, failed, stopped or with an expired lease. It is
	// "noted" when that end is acknowledged, or "void" if before that the lease
	// expired or the process ended, so that the task may have been started again. It
	// is "killed" when the process ends during the run. "late" is no event of a run: a
	// call that was sent to an earlier process reaches this one, which may refuse it.
	Kind string
}

// proxyAddress returns the address at which instances reach the server at address.
func (p *Platform) proxyAddress(name, address string) (string, error) {
	if p.options.ProxyAddress == nil {
		return address, nil
	}
	return p.options.ProxyAddress(name, address)
}

// Platform is a stand-in for the platform, with the instances started on it.
type Platform struct {
	options Options
	// instanceHost is where the instances listen, on ports that are free when they
	// are chosen and that no other instance has.
	instanceHost netip.Addr
	Keeper       *keeper.Keeper
	Workers      []*Worker
	storeAddress string
	servers      []*fasthttp.Server
	// stopped is closed when the platform stops.
	stopped chan struct{}
	mu      sync.Mutex
	started []*Instance
	// addressesByName holds the addresses that instances were given, by name.
	addressesByName map[string][3]string
	// configCalls and configBytes count what ConfigTraffic returns.
	configCalls, configBytes atomic.Int64
}

// Instance is a tarragond process on the platform.
type Instance struct {
	// Front is the address that clients call.
	Front string
	// Readiness is the address of the readiness checks.
	Readiness string
	name      string
	control   string
	command   *exec.Cmd
	done      chan struct{}
	// startedAt is when the process was started.
	startedAt time.Time
	// client keeps connections open until the process closes them, and repeats no
	// call, since the caller counts responses. dials counts its connections.
	client *fasthttp.Client
	dials  atomic.Int64
}

// idleTimeout is how long a client keeps an unused connection: longer than a test.
const idleTimeout = 10 * time.Minute

// New starts a store and workers, without instances.
func New(o Options) (*Platform, error) {
	o.MaxLease = cmp.Or(o.MaxLease, defaultMaxLease)
	p := &Platform{options: o, instanceHost: newInstanceHost(), Keeper: keeper.New(time.Now), stopped: make(chan struct{}), addressesByName: map[string][3]string{}}
	var err error
	if p.storeAddress, err = p.listen(p.serveStore); err != nil {
		return nil, err
	}
	for n := range o.Workers {
		w := newWorker(n, o, p.Keeper.Store(), p.stopped)
		first := w.newProcess(1, -firstAge)
		first.startedAt = first.startedAt.Add(-firstAge)
		if err = w.listen(first); err == nil {
			p.Workers = append(p.Workers, w)
			w.entryAddress, err = p.proxyAddress(w.name, w.address)
		}
		if err == nil {
			err = w.writeEntry(first)
		}
		if err != nil {
			p.Stop()
			return nil, err
		}
		go w.sendHeartbeats(first)
	}
	if err := p.PutConfig(1); err != nil {
		p.Stop()
		return nil, err
	}
	return p, nil
}

// PutConfig writes a version of the configuration to the store. It has a queue for
// paths that begin with Prefix, and one for each of the added prefixes.
func (p *Platform) PutConfig(version int, added ...string) error {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "sloMs": 1000,
			"priority": 0, "service": service, "attempts": Attempts, "stretchFactor": 2.0,
		}
	}
	routes := []map[string]any{route("queue", Prefix)}
	for _, prefix := range added {
		routes = append(routes, route("queue "+prefix, prefix))
	}
	fields := map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "enforcesCapacity": false}},
		"limits":   map[string]int{"maxBodyBytes": 262144},
	}
	if p.options.Organisations != nil {
		fields["tenants"] = p.options.Organisations(version)
	}
	config, err := json.Marshal(fields)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	p.Keeper.Put(operatorPrefix+"config", config)
	return nil
}

// ConfigTraffic returns how many reads and watches of the operator's keys the store has
// answered, and the bytes in the bodies of the responses.
func (p *Platform) ConfigTraffic() (calls, bytes int64) {
	return p.configCalls.Load(), p.configBytes.Load()
}

// listen starts a server on a free loopback address and returns the address.
func (p *Platform) listen(h fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen on a free port")
	}
	s := &fasthttp.Server{Handler: h, CloseOnShutdown: true}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// platforms counts the platforms of this process.
var platforms atomic.Uint32

// newInstanceHost returns a loopback address at which no other platform has
// instances, also of another process. Connections to other servers leave from
// 127.0.0.1, so that no other socket gets the port of an instance before the instance
// uses it, or while it is down.
func newInstanceHost() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(16 + platforms.Add(1)%200), byte(pid >> 8), byte(pid)})
}

// addresses returns the addresses for clients, readiness checks and peers of the
// instance with the given name, which all its processes use. The caller holds p.mu.
func (p *Platform) addresses(name string) ([3]string, error) {
	list, ok := p.addressesByName[name]
	if ok {
		return list, nil
	}
	for n := range list {
		for list[n] == "" || p.isUsed(list[n]) {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(p.instanceHost, 0).String())
			if err != nil {
				return list, errors.Wrap(err, "listen on a free port")
			}
			defer func() { _ = closeListener(l) }()
			list[n] = l.Addr().String()
		}
	}
	p.addressesByName[name] = list
	return list, nil
}

// isUsed reports whether an instance, which may be down, has the address. The caller
// holds p.mu.
func (p *Platform) isUsed(address string) bool {
	for _, list := range p.addressesByName {
		if slices.Contains(list[:], address) {
			return true
		}
	}
	return false
}

// Start starts an instance with the given name. Its seeds are the instances that
// were started before.
func (p *Platform) Start(name string) (*Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses, err := p.addresses(name)
	if err != nil {
		return nil, err
	}
	i := &Instance{Front: addresses[0], Readiness: addresses[1], name: name, control: addresses[2], done: make(chan struct{})}
	i.client = &fasthttp.Client{
		MaxIdleConnDuration: idleTimeout, MaxIdemponentCallAttempts: 1,
		Dial: func(address string) (net.Conn, error) {
			i.dials.Add(1)
			return fasthttp.Dial(address)
		},
	}
	store, err := p.proxyAddress(name, p.storeAddress)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, o := range p.started {
		if o.name != name && !slices.Contains(seeds, o.control) {
			seeds = append(seeds, o.control)
		}
	}
	settings := filepath.Join(p.options.Directory, name+".conf")
	text := fmt.Sprintf(`nodeName=%s
zone=%s
listen.front=%s
listen.readiness=%s
listen.control=%s
seeds=%s
limits.memoryMb=%d
limits.cpuShare=0.4
limits.cores=1
bounds.graceS=2
bounds.drainMs=2000
bounds.maxHoldMs=%d
bounds.stopMs=500
bounds.paceMs=100
bounds.violationMs=4000
bounds.remoteSlowdown=1.5
bounds.status_s=120
controlMode=rpc
platform.addr=%s
platform.writesPerS=400
platform.readsPerS=2000
platform.minTtlMs=500
`, name, domain, addresses[0], addresses[1], addresses[2], strings.Join(seeds, ","), cmp.Or(p.options.MemoryMB, 284), p.options.MaxLease.Milliseconds(), store)
	if p.options.MaxDescriptors > 0 {
		text += fmt.Sprintf("limits.maxFds=%d\n", p.options.MaxDescriptors)
	}
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings file")
	}
	i.command = exec.Command(p.options.Binary, "platform")
	if p.options.MaxDescriptors > 0 {
		i.command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" platform`, p.options.MaxDescriptors), p.options.Binary)
	}
	i.command.Env = append(os.Environ(), "TARRAGONHEAD_SETTINGS="+settings)
	i.command.Stdout, i.command.Stderr = p.options.Output, p.options.Output
	if err := i.command.Start(); err != nil {
		return nil, errors.Wrap(err, "start instance")
	}
	i.startedAt = time.Now()
	p.started = append(p.started, i)
	go func() {
		_ = i.command.Wait()
		close(i.done)
	}()
	return i, nil
}

// Call sends a client's request about the job with the given id to the instance
// and returns the status and the body of the response. Without a response the
// status is 0 and the text is the error.
func (i *Instance) Call(method, id, body string, timeout time.Duration) (status int, text string) {
	return i.CallWithKey(method, Prefix+id, "", body, timeout)
}

// CallWithKey is like Call, for any path and with a key unless that is empty.
func (i *Instance) CallWithKey(method, path, key, body string, timeout time.Duration) (status int, text string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + i.Front + path)
	request.UseHostHeader = true
	request.Header.SetHost(Host)
	request.Header.SetMethod(method)
	request.Header.SetContentType("application/json")
	if key != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	}
	request.SetBodyString(body)
	if err := i.client.DoTimeout(request, response, timeout); err != nil {
		return 0, err.Error()
	}
	return response.StatusCode(), string(response.Body())
}

// Dials returns the number of connections that calls have opened.
func (i *Instance) Dials() int64 { return i.dials.Load() }

// PID returns the id of the instance's process.
func (i *Instance) PID() int { return i.command.Process.Pid }

// Signal sends a signal to the instance's process.
func (i *Instance) Signal(s syscall.Signal) error { return i.command.Process.Signal(s) }

// Age returns the time since the start of the instance's process.
func (i *Instance) Age() time.Duration { return time.Since(i.startedAt) }

// Ended returns a channel that is closed when the process has ended.
func (i *Instance) Ended() <-chan struct{} { return i.done }

// Control returns the address that peers of the instance call.
func (i *Instance) Control() string { return i.control }

// Processes returns the number of processes that were started for the instance with
// the given name.
func (p *Platform) Processes(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, i := range p.started {
		if i.name == name {
			count++
		}
	}
	return count
}

// Stop kills the instances and stops the servers of the stand-in.
func (p *Platform) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.started {
		select {
		case <-i.done:
		default:
			_ = i.Signal(syscall.SIGKILL)
			<-i.done
		}
	}
	close(p.stopped)
	for _, w := range p.Workers {
		w.stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range p.servers {
		_ = s.ShutdownWithContext(ctx)
	}
}
