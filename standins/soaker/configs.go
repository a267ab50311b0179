package soaker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

const (
	// configLimit is how long after its acknowledgement a configuration may not be
	// in force yet, and settleTime how long an instance must have been without a
	// fault for this to hold.
	configLimit = 2 * time.Second
	settleTime  = 3 * time.Second
	// configPollInterval is the pause between two checks of an instance.
	configPollInterval = 100 * time.Millisecond
	// quietTime is the time without faults after the last one of a soak.
	quietTime = 2 * settleTime
)

// configChecker checks that each instance serves by the newest configuration. Each
// version adds a route, and drops the one that the version before it had added.
type configChecker struct {
	mu sync.Mutex
	// version is the newest version, acknowledged at ackedAt.
	version int
	ackedAt time.Time
	// disturbedAt is when the last fault of each instance began.
	disturbedAt map[string]time.Time
	// isReported is set by instance once a violation of the present version is.
	isReported map[string]bool
	violations []string
	// checks counts the checks that the guarantee covered, and unknownKeys the rejected
	// calls with a key that no configuration held.
	checks, unknownKeys int
	// hasKeys is set if clients need keys.
	hasKeys bool
}

// addedPrefix returns the prefix of the paths that only one version serves.
func addedPrefix(version int) string { return fmt.Sprintf("/added-%d/", version) }

func (c *configChecker) disturb(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbedAt[name] = time.Now()
}

func (c *configChecker) acknowledge(version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.ackedAt = version, time.Now()
	clear(c.isReported)
}

// requiredVersion returns the version that the named instance must have in force now,
// or 0 if it may have an older one.
func (c *configChecker) requiredVersion(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.ackedAt) < configLimit || time.Since(c.disturbedAt[name]) < settleTime {
		return 0
	}
	return c.version
}

// check checks which routes an instance serves.
func (c *configChecker) check(i *instance) {
	if c.hasKeys {
		c.checkUnknownKey(i)
	}
	version := c.requiredVersion(i.name)
	if version == 0 {
		return
	}
	key := ""
	if c.hasKeys {
		key = steadyKey
		c.checkReplacedKeys(i, version)
	}
	added, _ := i.process.CallWithKey(fasthttp.MethodGet, addedPrefix(version), key, "", callTimeout)
	dropped, _ := i.process.CallWithKey(fasthttp.MethodGet, addedPrefix(version-1), key, "", callTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++
	if added != fasthttp.StatusNotFound && dropped != fasthttp.StatusOK || c.isReported[i.name] || c.version != version {
		return
	}
	c.isReported[i.name] = true
	c.violations = append(c.violations, fmt.Sprintf("%s serves by an older configuration than version %d, acknowledged %s before, %s after its last fault: status %d for the added route and %d for the dropped one",
		i.name, version, time.Since(c.ackedAt), time.Since(c.disturbedAt[i.name]), added, dropped))
}

// RunConfigs runs one soak in which the configuration changes while open connections
// of instances go silent or are reset. It checks when each version is in force.
func RunConfigs(seed uint64, o Options) (Report, error) {
	s, err := newSoak(seed, o)
	if err != nil {
		return Report{}, err
	}
	defer s.stop()
	checker := &configChecker{disturbedAt: map[string]time.Time{}, isReported: map[string]bool{}, hasKeys: o.Keys}
	for _, i := range s.instances {
		for end := time.Now().Add(acceptanceTimeout); ; time.Sleep(acceptancePollInterval) {
			if status, _ := i.process.CallWithKey(fasthttp.MethodGet, platformer.Prefix, s.clientKey(0), "", callTimeout); status == fasthttp.StatusOK {
				break
			}
			if time.Now().After(end) {
				return Report{}, errors.Errorf("%s does not serve within %s of the start, without faults", i.name, acceptanceTimeout)
			}
		}
	}
	s.startedAt = time.Now()
	var changes, checks sync.WaitGroup
	stop := make(chan struct{})
	for _, i := range s.instances {
		checks.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(configPollInterval):
					checker.check(i)
				}
			}
		})
	}
	changes.Go(func() { (&injector{s, rand.New(rand.NewPCG(seed, 6))}).breakConnections(checker) })
	changes.Go(func() { (&injector{s, rand.New(rand.NewPCG(seed, 7))}).changeRoutes(checker) })
	changes.Wait()
	time.Sleep(quietTime)
	close(stop)
	checks.Wait()
	return Report{Seed: seed, Violations: checker.violations, InjectedFaults: s.injected, Checks: checker.checks, UnknownKeys: checker.unknownKeys}, nil
}

// changeRoutes writes configurations at random moments.
func (j *injector) changeRoutes(c *configChecker) {
	for version := 2; time.Since(j.startedAt) < j.options.Duration; version++ {
		if err := j.platform.PutConfig(version, addedPrefix(version)); err != nil {
			j.checker.failSoak(err)
		}
		c.acknowledge(version)
		j.recordFault("configuration version %d written", version)
		time.Sleep(j.randomDuration(500*time.Millisecond, 2*configLimit))
	}
}

// breakConnections makes open connections of random instances go silent, or resets
// some of them, at random moments. Connections to the workers break too.
func (j *injector) breakConnections(c *configChecker) {
	for time.Since(j.startedAt) < j.options.Duration {
		isSilent := j.rng.IntN(4) > 0
		for _, i := range j.instances {
			if j.rng.IntN(3) == 0 {
				continue
			}
			c.disturb(i.name)
			j.breakConnectionsTo(i.name, isSilent)
		}
		if j.rng.IntN(2) == 0 {
			for _, w := range j.platform.Workers {
				j.breakConnectionsTo(w.Name(), isSilent)
			}
		}
		time.Sleep(j.randomDuration(200*time.Millisecond, 8*time.Second))
	}
}

func (j *injector) breakConnectionsTo(name string, isSilent bool) {
	j.mu.Lock()
	p := j.proxies[name]
	j.mu.Unlock()
	j.recordFault("open connections of %s broken, silent: %t", name, isSilent)
	if isSilent {
		p.Silence()
		return
	}
	p.Reset(j.rng.Float64(), j.rng)
}
