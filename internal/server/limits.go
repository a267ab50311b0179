package server

import (
	"encoding/json"
	"math"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"tarragonhead.example/tarragonhead/internal/limiter"
	"tarragonhead.example/tarragonhead/internal/router"
)

const (
	// maxBodyBytes is the default for the largest request body that a client may send, and
	// maxHeaderBytes that for the largest header.
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10

	defaultHeaderTimeout = time.Minute
	defaultBodyTimeout   = time.Minute
	defaultIdleTimeout   = 2 * time.Minute
	defaultWriteTimeout  = time.Minute
	minClientTimeout     = time.Second
	maxClientTimeout     = 10 * time.Minute
	// maxControlHeaderTimeout bounds the time for a header on the control address.
	maxControlHeaderTimeout = 5 * time.Second
	// minControlIdleTimeout is longer than peers keep idle connections, so that they close
	// them first. A call on a connection that closes meanwhile would fail.
	minControlIdleTimeout = peerIdleTimeout + 30*time.Second

	// A body takes three times its size of the 7/8 of a budget that large bodies may take,
	// so a budget of bodiesInBudget times the limit admits one. minBudgetBytes is that
	// of maxBodyBytes.
	bodiesInBudget = 4
	minBudgetBytes = bodiesInBudget * maxBodyBytes
	maxBudgetBytes = 1 << 40
	// minBodyRate gives the largest body a few seconds more than the time for bodies.
	minBodyRate = 1 << 20
	// minFieldBytes is the length of the shortest field of a header, such as "a:\r\n". The
	// size of a header therefore bounds the number of its fields.
	minFieldBytes = 4
	// goMemoryPercent is the part of a machine's memory that Go's soft memory limit is
	// expected to be, as in limiter.
	goMemoryPercent = 60

	// The parts of the connections of clients that the two listeners may have.
	trafficShare, controlShare = 5.0 / 8, 3.0 / 8
	// trafficWorkFactor covers the request to the target, into which a body is copied.
	trafficWorkFactor = 1
	// controlWorkFactor covers a message that is decoded.
	controlWorkFactor = 1
)

// ClientLimits are the limits for clients as given by flags. An empty string stands for the
// default.
type ClientLimits struct {
	// Connections bounds the open connections of both listeners together.
	Connections string
	// Budget bounds the memory of requests in progress at each listener, in bytes. Each has
	// its own, so that callers can't use up what the calls of peers need.
	Budget                  string
	BodyBytes, HeaderBytes  string
	HeaderTimeout, BodyTime string
	IdleTimeout, WriteTime  string
}

func (l *ClientLimits) register(app *kingpin.Application) {
	app.Flag("client-connections", "Most open connections of clients, 8 to 1048576; by default from the descriptors and the memory.").StringVar(&l.Connections)
	app.Flag("client-budget-bytes", "Most memory of requests in progress at each listener, 16777216 or more; by default from the memory.").StringVar(&l.Budget)
	app.Flag("client-body-bytes", "Largest body of a request of a caller, 1024 to 67108864.").Default(strconv.Itoa(maxBodyBytes)).StringVar(&l.BodyBytes)
	app.Flag("client-header-bytes", "Largest header of a request, 1024 to 1048576.").Default(strconv.Itoa(maxHeaderBytes)).StringVar(&l.HeaderBytes)
	app.Flag("client-header-timeout", "Time for the header of a request, 1s to 10m.").Default(defaultHeaderTimeout.String()).StringVar(&l.HeaderTimeout)
	app.Flag("client-body-timeout", "Time for the body of a request, 1s to 10m.").Default(defaultBodyTimeout.String()).StringVar(&l.BodyTime)
	app.Flag("client-idle-timeout", "Time without a request on a connection, 1s to 10m.").Default(defaultIdleTimeout.String()).StringVar(&l.IdleTimeout)
	app.Flag("client-write-timeout", "Time for a client to read a response, 1s to 10m.").Default(defaultWriteTimeout.String()).StringVar(&l.WriteTime)
}

// parsedLimits are the limits for clients in the types that the limiter takes. Zero
// connections and a zero budget stand for the defaults.
type parsedLimits struct {
	connections int
	budget      int64
	limits      limiter.Limits
}

func (e *SettingsError) parseWhole(setting, value string, least, most, byDefault int64) int64 {
	if value == "" {
		return byDefault
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < least || n > most {
		e.add(setting, value, "a whole number from "+strconv.FormatInt(least, 10)+" to "+strconv.FormatInt(most, 10))
	}
	return n
}

func (e *SettingsError) parseClientTimeout(setting, value string, byDefault time.Duration) time.Duration {
	if value == "" {
		return byDefault
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < minClientTimeout || d > maxClientTimeout {
		e.add(setting, value, "a duration from 1s to 10m, such as 30s")
	}
	return d
}

func (l ClientLimits) parse(e *SettingsError) parsedLimits {
	budget := e.parseWhole("client-budget-bytes", l.Budget, minBudgetBytes, maxBudgetBytes, 0)
	body := e.parseWhole("client-body-bytes", l.BodyBytes, 1<<10, 1<<26, maxBodyBytes)
	if budget >= minBudgetBytes && budget < bodiesInBudget*body {
		e.add("client-budget-bytes", l.Budget, "at least four times --client-body-bytes")
	}
	header := int(e.parseWhole("client-header-bytes", l.HeaderBytes, 1<<10, 1<<20, maxHeaderBytes))
	return parsedLimits{
		connections: int(e.parseWhole("client-connections", l.Connections, 8, 1<<20, 0)),
		budget:      budget,
		limits: limiter.Limits{
			MaxBodyBytes:   int(body),
			MaxHeaderBytes: header, MaxHeaders: header/minFieldBytes + 1, MinBodyRate: minBodyRate,
			HeaderTimeout: e.parseClientTimeout("client-header-timeout", l.HeaderTimeout, defaultHeaderTimeout),
			BodyTimeout:   e.parseClientTimeout("client-body-timeout", l.BodyTime, defaultBodyTimeout),
			IdleTimeout:   e.parseClientTimeout("client-idle-timeout", l.IdleTimeout, defaultIdleTimeout),
			WriteTimeout:  e.parseClientTimeout("client-write-timeout", l.WriteTime, defaultWriteTimeout),
		},
	}
}

// descriptors returns the number of descriptors that the process may open, 0 if it is not
// known.
func descriptors() int64 {
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err != nil || system.Cur > 1<<30 {
		return 0
	}
	return int64(system.Cur)
}

// memoryBytes returns the memory that belongs to Go's soft memory limit, 0 if none is set.
func memoryBytes() int64 {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return 0
	}
	return limit / goMemoryPercent * 100
}

// attachLimits sets the limits for the clients of a daemon.
func (d *Server) attachLimits(p parsedLimits, registry prometheus.Registerer) {
	memory := memoryBytes()
	if p.connections == 0 {
		p.connections = limiter.MaxConnections(descriptors(), memory)
	}
	if p.budget == 0 {
		p.budget = max(minBudgetBytes, bodiesInBudget*int64(p.limits.MaxBodyBytes), limiter.BudgetBytes(memory)/2)
	}
	controlBudget := limiter.NewBudget(p.budget)
	d.limiter = limiter.New(limiter.Options{
		MaxConnections: p.connections, Budget: limiter.NewBudget(p.budget), OtherBudgets: []*limiter.Budget{controlBudget},
		Limits: p.limits, Registry: registry, Namespace: "tarragond",
	})
	d.trafficLimits = d.limiter.Server(limiter.ServerOptions{
		Name: "traffic", Share: trafficShare, WorkFactor: trafficWorkFactor,
		WriteRefusal: router.WriteRefusal, WriteReadError: router.HandleError, NoRoomBody: router.NoRoomBody(),
	})
	d.controlLimits = d.limiter.Server(limiter.ServerOptions{
		Name: "control", Share: controlShare, Budget: controlBudget, WorkFactor: controlWorkFactor,
		// A lower limit for callers must not cut calls between daemons.
		MaxBodyBytes: func() int { return max(maxBodyBytes, d.limiter.Limits().MaxBodyBytes) },
		NoRoomBody:   controlRefusalBody(http.StatusServiceUnavailable, "all connections wait for responses"),
	})
}

// controlRefusalBody returns the JSON form of a Twirp error, so that clients of the control
// interface can decode a refusal.
func controlRefusalBody(status int, message string) string {
	code := "invalid_argument"
	if status == http.StatusServiceUnavailable {
		code = "unavailable"
	}
	body, err := json.Marshal(map[string]string{"code": code, "msg": message + "; nothing was run"})
	if err != nil {
		return ""
	}
	return string(body)
}

func writeControlRefusal(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(controlRefusalBody(status, message)))
}

// newControlServer returns the server of the control address.
func (d *Server) newControlServer() *http.Server {
	limits := d.limiter.Limits()
	s := &http.Server{
		Handler:           d.controlHandler(),
		ReadHeaderTimeout: min(limits.HeaderTimeout, maxControlHeaderTimeout),
		IdleTimeout:       max(limits.IdleTimeout, minControlIdleTimeout),
	}
	d.controlLimits.AttachHTTP(s, writeControlRefusal)
	return s
}
