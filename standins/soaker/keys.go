package soaker

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

const (
	// steadyKey is the key that each version of the configuration holds, and unknownKey
	// one that none does.
	steadyKey  = "steady"
	unknownKey = "unknown"
	// minKeyLife is the least time between two versions that replace a key, so that few
	// instances are more than one version behind.
	minKeyLife = 2 * time.Second
	// cappedTasks is how many tasks the organisation with the steady key may have running.
	// capOverage is the share by which its runs may exceed that, besides one task.
	cappedTasks = 6
	capOverage  = 0.1
)

// replacedKey returns the key that the given version of the configuration and the one
// before it hold.
func replacedKey(version int) string { return fmt.Sprintf("replaced-%d", version) }

// organisations returns the organisations of a version of the configuration. One holds the
// steady key and has a cap. The other holds two keys, of which the next version holds one.
func organisations(version int) []platformer.Organisation {
	return []platformer.Organisation{
		{Name: "steady", Keys: []string{steadyKey}, Weight: 10, Cap: platformer.Cap{CPU: cappedTasks * taskCPU}},
		{Name: "replacing", Keys: []string{replacedKey(version), replacedKey(version + 1)}, Weight: 10},
	}
}

// isCapped reports whether the jobs of the client with the given index belong to the
// organisation with the cap.
func (s *soak) isCapped(index int) bool { return s.options.Keys && index%2 == 0 }

// checkCap checks that the start of a task keeps its organisation within its cap. The
// caller holds c.mu.
func (c *checker) checkCap(task string) {
	count := 0
	for t, runs := range c.running {
		if j := c.jobs[t[:strings.IndexByte(t, '.')]]; j != nil && j.isCapped {
			count += len(runs)
		}
	}
	if float64(count-1) > cappedTasks*(1+capOverage) {
		c.fail("cap: %d tasks of the organisation run with %s, %d may", count, task, cappedTasks)
	}
	c.mostCapped = max(c.mostCapped, count)
}

// clientKey returns the key that the client with the given index uses now; empty if
// clients need none. Half of the clients use a key that is replaced.
func (s *soak) clientKey(index int) string {
	switch {
	case !s.options.Keys:
		return ""
	case index%2 == 0:
		return steadyKey
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return replacedKey(s.configVersion)
}

// replaceKeys writes versions of the configuration, each of which replaces a key.
func (j *injector) replaceKeys() {
	for time.Since(j.startedAt) < j.options.Duration {
		j.changeConfig(j.instances[j.rng.IntN(len(j.instances))])
		time.Sleep(j.randomDuration(minKeyLife, 2*minKeyLife))
	}
}

// isAccepted reports whether a response shows that an instance took the key of the call. One
// without a configuration looks at no key.
func isAccepted(status int, text string) bool {
	hasNoConfig := status == fasthttp.StatusServiceUnavailable && strings.Contains(text, "no configuration yet")
	return status != 0 && status != fasthttp.StatusUnauthorized && !hasNoConfig
}

// callWithUnknownKey checks that a random instance accepts no call with a key that no
// configuration held.
func (c *client) callWithUnknownKey() {
	s := c.soak
	i := s.instances[c.rng.IntN(len(s.instances))]
	for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost} {
		id := fmt.Sprintf("eeee%04x%08x", c.index, c.jobCount)
		status, text := s.currentProcess(i).CallWithKey(method, platformer.Prefix+id, unknownKey, encodeJob(&job{taskCounts: []int{1}}), callTimeout)
		s.checker.checkUnknownKey(i.name, method, status, text)
	}
}

// checkUnknownKey checks the response to a call with a key that no configuration held.
func (c *checker) checkUnknownKey(instance, method string, status int, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case isAccepted(status, text):
		c.fail("key: %s accepted a key that no configuration held: %s, status %d", instance, method, status)
	case status == fasthttp.StatusUnauthorized:
		c.unknownKeys++
	}
}

// checkUnknownKey checks that an instance accepts no key that no configuration held.
func (c *configChecker) checkUnknownKey(i *instance) {
	status, text := i.process.CallWithKey(fasthttp.MethodGet, platformer.Prefix, unknownKey, "", callTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case isAccepted(status, text):
		c.violations = append(c.violations, fmt.Sprintf("%s accepted a key that no configuration held: status %d", i.name, status))
	case status == fasthttp.StatusUnauthorized:
		c.unknownKeys++
	}
}

// checkReplacedKeys checks that an instance which must have the given version in force
// rejects the key that this one dropped, and accepts those that it holds.
func (c *configChecker) checkReplacedKeys(i *instance, version int) {
	for key, isHeld := range map[string]bool{steadyKey: true, replacedKey(version - 1): false, replacedKey(version): true, replacedKey(version + 1): true} {
		status, text := i.process.CallWithKey(fasthttp.MethodGet, platformer.Prefix, key, "", callTimeout)
		c.mu.Lock()
		isWrong := isHeld && status == fasthttp.StatusUnauthorized || !isHeld && isAccepted(status, text)
		if isWrong && c.version == version && !c.isReported[i.name] {
			c.isReported[i.name] = true
			c.violations = append(c.violations, fmt.Sprintf("%s goes by the keys of an older configuration than version %d, acknowledged %s before: status %d for the key %s", i.name, version, time.Since(c.ackedAt), status, key))
		}
		c.mu.Unlock()
	}
}
