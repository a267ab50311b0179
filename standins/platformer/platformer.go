package platformer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
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
)

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
}

// Event is an event of a run on a worker.
type Event struct {
	Worker  string
	Task    string
	Attempt int
	// Kind is "start" when the run starts, and "done", "stopped" or "lapsed" when it
	// ends as done, stopped or with an expired lease. It is "noted" when that end
	// is acknowledged, or "void" if a lease of the worker expired between the end
	// and its acknowledgement, so that the task may have been started again.
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
	options      Options
	Keeper       *keeper.Keeper
	Workers      []*Worker
	storeAddress string
	servers      []*fasthttp.Server
	mu           sync.Mutex
	started      []*Instance
}

// Instance is a tarragond process on the platform.
type Instance struct {
	// Front is the address that clients call.
	Front   string
	name    string
	control string
	command *exec.Cmd
	done    chan struct{}
}

// New starts a store and workers, without instances.
func New(o Options) (*Platform, error) {
	p := &Platform{options: o, Keeper: keeper.New(time.Now)}
	var err error
	if p.storeAddress, err = p.listen(func(ctx *fasthttp.RequestCtx) { serveStore(p.Keeper, ctx) }); err != nil {
		return nil, err
	}
	for n := range o.Workers {
		w := &Worker{
			id: fmt.Sprintf("i-%d", n), taskDuration: o.TaskDuration, startedAt: time.Now(),
			runs: map[runKey]time.Time{}, refusedUpTo: map[string]int{}, startCounts: map[string]int{}, endedAt: map[runKey]time.Time{}, observe: o.Observe,
		}
		address, err := p.listen(w.serve)
		if err == nil {
			address, err = p.proxyAddress(w.id, address)
		}
		if err != nil {
			p.Stop()
			return nil, err
		}
		entry, err := w.encodeEntry(address, service, domain, n)
		if err != nil {
			p.Stop()
			return nil, errors.Wrap(err, "encode worker entry")
		}
		p.Keeper.Put("servers/"+w.id, entry)
		p.Workers = append(p.Workers, w)
	}
	if err := p.PutConfig(1); err != nil {
		p.Stop()
		return nil, err
	}
	return p, nil
}

// PutConfig writes a version of the configuration to the store.
func (p *Platform) PutConfig(version int) error {
	config, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "queue", "host": Host, "prefix": Prefix, "kind": "non_idempotent", "timeoutMs": 3000, "sloMs": 1000,
			"priority": 0, "service": service, "attempts": 2, "stretchFactor": 2.0,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "enforcesCapacity": false}},
		"limits":   map[string]int{"maxBodyBytes": 262144},
	})
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	p.Keeper.Put("op/config", config)
	return nil
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

// freeAddress returns a loopback address on which no process listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen on a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Start starts an instance with the given name. Its seeds are the instances that
// were started before.
func (p *Platform) Start(name string) (*Instance, error) {
	var addresses [3]string
	for n := range addresses {
		var err error
		if addresses[n], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	i := &Instance{Front: addresses[0], name: name, control: addresses[2], done: make(chan struct{})}
	store, err := p.proxyAddress(name, p.storeAddress)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var seeds []string
	for _, o := range p.started {
		seeds = append(seeds, o.control)
	}
	settings := filepath.Join(p.options.Directory, name+".conf")
	text := fmt.Sprintf(`nodeName=%s
zone=%s
listen.front=%s
listen.readiness=%s
listen.control=%s
seeds=%s
limits.memoryMb=284
limits.cpuShare=0.4
limits.cores=1
bounds.graceS=2
bounds.maxHoldMs=3000
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
`, name, domain, addresses[0], addresses[1], addresses[2], strings.Join(seeds, ","), store)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings file")
	}
	i.command = exec.Command(p.options.Binary, "platform")
	i.command.Env = append(os.Environ(), "TARRAGONHEAD_SETTINGS="+settings)
	i.command.Stdout, i.command.Stderr = p.options.Output, p.options.Output
	if err := i.command.Start(); err != nil {
		return nil, errors.Wrap(err, "start instance")
	}
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
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + i.Front + Prefix + id)
	request.UseHostHeader = true
	request.Header.SetHost(Host)
	request.Header.SetMethod(method)
	request.Header.SetContentType("application/json")
	request.SetBodyString(body)
	if err := fasthttp.DoTimeout(request, response, timeout); err != nil {
		return 0, err.Error()
	}
	return response.StatusCode(), string(response.Body())
}

// Signal sends a signal to the instance's process.
func (i *Instance) Signal(s syscall.Signal) error { return i.command.Process.Signal(s) }

// Ended returns a channel that is closed when the process has ended.
func (i *Instance) Ended() <-chan struct{} { return i.done }

// Control returns the address that peers of the instance call.
func (i *Instance) Control() string { return i.control }

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
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range p.servers {
		_ = s.ShutdownWithContext(ctx)
	}
}
