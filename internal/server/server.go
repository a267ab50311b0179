// Package server builds a daemon from its components and serves its two
// listeners, for callers and for control.
package server

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/claimer"
	"tarragonhead.example/tarragonhead/internal/configurer"
	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/gossiper"
	"tarragonhead.example/tarragonhead/internal/limiter"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/router"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/tracer"
)

// peerTimeout bounds a call to another daemon.
const peerTimeout = 2 * time.Second

// peerIdleTimeout is how long an unused connection to another daemon is kept.
const peerIdleTimeout = time.Minute

// Server is one daemon.
type Server struct {
	settings   parsedSettings
	log        *log.Logger
	store      storeclient.Store
	listen     func(addr netip.AddrPort) (net.Listener, error)
	config     *configurer.Configurer
	controller *controller.Controller
	gossip     *gossiper.Gossiper
	router     *router.Router
	claimer    *claimer.Claimer
	tracer     *tracer.Tracer
	dial       func(addr string) messenger.Peer
	registry   *prometheus.Registry
	limiter    *limiter.Limiter
	// trafficLimits and controlLimits are the limits of the two listeners.
	trafficLimits, controlLimits *limiter.Server

	violations *prometheus.CounterVec
	// stopping is set at the first stop signal. The readiness check then fails.
	stopping atomic.Bool

	mu sync.Mutex
	// owners has the newest known owner of each shard, as isNewerOwner orders
	// them.
	owners map[string]*messenger.ShardOwner
	// fetching has the names of the fetches in progress.
	fetching map[string]bool
}

// New checks the settings and returns a daemon that isn't running. It logs to
// output and registers its metrics with registry. The error is a SettingsError
// when settings are not accepted.
func New(s Settings, output io.Writer, registry *prometheus.Registry) (*Server, error) {
	c, err := s.parse()
	if err != nil {
		return nil, err
	}
	caller := dispatcher.NewCaller()
	return newServer(c, output, registry, platform{
		store: storeclient.Limit(storeclient.HTTP(c.store), storeclient.DefaultRates), worker: caller.Worker,
		instances: func(ctx context.Context) ([]dispatcher.Instance, error) { return caller.Instances(ctx, c.store) },
		listen:    func(addr netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", addr.String()) },
	})
}

// platform is the daemon's access to the platform.
type platform struct {
	store     storeclient.Store
	worker    func(addr netip.AddrPort) dispatcher.Worker
	instances func(ctx context.Context) ([]dispatcher.Instance, error)
	listen    func(addr netip.AddrPort) (net.Listener, error)
}

// newServer builds a daemon from checked settings.
func newServer(s parsedSettings, output io.Writer, registry *prometheus.Registry, p platform) (*Server, error) {
	charts, err := scheduler.LoadCharts()
	if err != nil {
		return nil, err
	}
	logger := &log.Logger{Level: log.ParseLevel(s.LogLevel), Writer: &log.IOWriter{Writer: output}, TimeFormat: time.RFC3339Nano}
	d := &Server{
		settings: s, log: logger, registry: registry, owners: map[string]*messenger.ShardOwner{}, fetching: map[string]bool{},
		store: p.store, listen: p.listen,
		violations: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{Name: "tarragond_invariant_violations_total", Help: "Violations of an invariant of the design, by its number."},
			[]string{"invariant"}),
	}
	d.attachLimits(s.limits, registry)
	if d.tracer, err = tracer.New(tracer.Options{File: s.TraceFile, Ratio: s.traceRatio, Service: "tarragond " + s.ID}); err != nil {
		return nil, err
	}
	// Messages between daemons are small. Compression would add headers.
	peers := &http.Client{Timeout: peerTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: peerIdleTimeout}}
	d.dial = func(addr string) messenger.Peer { return messenger.NewPeerProtobufClient("http://"+addr, peers) }
	promauto.With(registry).NewGaugeFunc(prometheus.GaugeOpts{Name: "tarragond_ready", Help: "1 if /readyz answers that the daemon is ready, else 0."}, func() float64 {
		if d.notReadyReason() == "" {
			return 1
		}
		return 0
	})
	d.config = configurer.New(configurer.Options{
		Store: d.store, Log: logger, Registry: registry, Violated: d.reportViolation,
		OwnsShard: func() bool { return len(d.controller.Owned()) > 0 },
	})
	incarnation := uint64(time.Now().UnixNano())
	d.claimer = claimer.New(claimer.Options{
		Store: d.store, Holder: holderName(s.ID, incarnation), IsAlive: d.isHolderAlive, Registry: registry, Log: logger, PanicOnViolation: s.PanicOnViolation,
	})
	d.router = router.New(router.Options{
		Self: s.ID, Domain: s.Domain, Costs: s.domainCosts, Claimer: d.claimer, Tracer: d.tracer, Registry: registry, Log: logger, PanicOnViolation: s.PanicOnViolation,
	})
	d.controller = controller.New(controller.Options{
		Self: s.ID, Control: s.control, Domain: s.Domain, Store: d.store, Config: d.config, Charts: charts,
		Worker: p.worker, Peer: d.ownerPeer, IsPresent: d.hasLiveDaemon, Log: logger, Instances: p.instances,
		Violated: func(err error) { d.reportViolation(invariantNumber(err), err.Error()) },
	})
	self := &messenger.Member{Id: s.ID, Domain: s.Domain, ControlAddr: s.control.String(), TrafficAddr: s.traffic.String(), Incarnation: incarnation}
	d.gossip = gossiper.New(gossiper.Options{
		Self: self, Seeds: s.peers, Dial: func(addr string) messenger.Peer { return d.dial(addr) }, AddVersions: d.addVersions, Received: d.applyVersions, Log: logger, Registry: registry,
		Preferred: func() string { return d.ownerAddress(s.Domain) }, Rand: rand.New(rand.NewPCG(self.Incarnation, 0)),
		Instances: func(ctx context.Context) ([]netip.AddrPort, error) {
			list, err := p.instances(ctx)
			if err == nil {
				d.router.SetLeaving(leavingWorkers(list))
			}
			return daemonAddresses(list), err
		},
	})
	return d, nil
}

// leavingWorkers returns the ids of the workers in the platform's list that
// are leaving.
func leavingWorkers(list []dispatcher.Instance) []string {
	var ids []string
	for _, in := range list {
		if in.Role == dispatcher.RoleWorker && in.Leaving {
			ids = append(ids, in.ID)
		}
	}
	return ids
}

// daemonAddresses returns the control addresses of the daemons in the
// platform's list that are not leaving.
func daemonAddresses(list []dispatcher.Instance) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, in := range list {
		if in.Role == dispatcher.RoleDaemon && !in.Leaving {
			addrs = append(addrs, in.Addr)
		}
	}
	return addrs
}

// invariantNumber returns the number of the violated invariant that err
// reports, zero if err reports none.
func invariantNumber(err error) int {
	var broken *scheduler.InvariantError
	if errors.As(err, &broken) {
		return broken.Invariant
	}
	return 0
}

// reportViolation counts and logs a violated invariant, and panics if
// PanicOnViolation is set.
func (d *Server) reportViolation(invariant int, problem string) {
	d.violations.WithLabelValues(strconv.Itoa(invariant)).Inc()
	d.log.Error().Int("invariant", invariant).Str("problem", problem).Msg("server: invariant violated")
	if d.settings.PanicOnViolation {
		panic(fmt.Sprintf("invariant %d: %s", invariant, problem))
	}
}

// Run serves until ctx ends. It then gives up the ownership of its shards and
// finishes the requests in progress.
func (d *Server) Run(ctx context.Context) error {
	control, err := d.openListener(d.settings.control)
	if err != nil {
		return err
	}
	defer control.Close()
	traffic, err := d.openListener(d.settings.traffic)
	if err != nil {
		return err
	}
	defer traffic.Close()
	controlServer := d.newControlServer()
	trafficServer := d.trafficServer()
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- controlServer.Serve(d.controlLimits.HTTPListener(control)) }()
	go func() { serveErrors <- trafficServer.Serve(d.trafficLimits.Listener(traffic)) }()
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var components sync.WaitGroup
	components.Go(func() { d.config.Run(runCtx) })
	components.Go(func() { d.gossip.Run(runCtx) })
	components.Go(func() { d.updateRouter(runCtx) })
	components.Go(func() { d.announceConfigChanges(runCtx) })
	ownCtx, release := context.WithCancel(runCtx)
	defer release()
	components.Go(func() { d.controller.Run(ownCtx) })
	d.log.Info().Str("id", d.settings.ID).Str("domain", d.settings.Domain).Msg("server: started")
	select {
	case err = <-serveErrors:
		return errors.Wrap(err, "serve traffic or control connections")
	case <-ctx.Done():
	}
	d.log.Info().Msg("server: stopping")
	d.stopping.Store(true)
	d.router.Drain()
	components.Go(func() { d.gossip.Leave(runCtx) })
	release()
	// The delay lets callers and the load balancer switch to other daemons
	// before the listener closes.
	time.Sleep(d.settings.stopDelay)
	_ = traffic.Close()
	d.router.Refuse()
	drainCtx, stop := context.WithTimeout(context.Background(), d.settings.drainTimeout)
	defer stop()
	err = trafficServer.ShutdownWithContext(drainCtx)
	d.claimer.Wait(drainCtx)
	cancel()
	components.Wait()
	if traceErr := d.tracer.Close(drainCtx); traceErr != nil {
		d.log.Warn().Err(traceErr).Msg("server: spans not written")
	}
	controlServer.Close()
	d.log.Info().Msg("server: stopped")
	return errors.Wrap(err, "drain traffic connections")
}

func (d *Server) trafficServer() *fasthttp.Server {
	s := &fasthttp.Server{
		Handler: d.router.Handle, CloseOnShutdown: true,
		NoDefaultServerHeader: true, NoDefaultContentType: true, Logger: discardLogger{},
	}
	d.trafficLimits.Attach(s)
	return s
}

// discardLogger discards fasthttp's own log messages, which report broken
// connections of callers.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// holderName identifies one run of a daemon.
func holderName(id string, incarnation uint64) string { return fmt.Sprintf("%s/%d", id, incarnation) }

// isHolderAlive reports whether the membership view has the run of a daemon that
// holds claims under name.
func (d *Server) isHolderAlive(name string) bool {
	return slices.ContainsFunc(d.gossip.View(), func(m *messenger.Member) bool { return holderName(m.Id, m.Incarnation) == name })
}

// onceListener can be closed twice: by the daemon when it stops, and by the
// server's own shutdown.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close closes the listener on the first call and returns the result of that
// call every time.
func (l *onceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

func (d *Server) openListener(addr netip.AddrPort) (net.Listener, error) {
	l, err := d.listen(addr)
	return &onceListener{Listener: l}, errors.Wrapf(err, "listen on %s", addr)
}
