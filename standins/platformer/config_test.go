package platformer_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
	"tarragonhead.example/tarragonhead/standins/soaker"
)

const (
	manyOrganisations   = 1000
	keysPerOrganisation = 10
	// tenantKeyVersion is the version of the configuration that replaces keyOf(1).
	tenantKeyVersion = 2
)

// keyOf returns a key of the first organisation: the first that version 1 of the
// configuration holds, or the one that replaces it in later versions.
func keyOf(version int) string { return fmt.Sprintf("%024d-%d", 0, min(version, tenantKeyVersion)) }

// organisations returns the organisations in a version of the configuration.
func organisations(count int) func(version int) []platformer.Organisation {
	return func(version int) []platformer.Organisation {
		list := make([]platformer.Organisation, count)
		for n := range list {
			list[n] = platformer.Organisation{Name: fmt.Sprintf("organisation-%d", n), Weight: 1}
			for k := range keysPerOrganisation {
				list[n].Keys = append(list[n].Keys, fmt.Sprintf("%032d", n*keysPerOrganisation+k+1))
			}
		}
		list[0].Keys[0] = keyOf(version)
		return list
	}
}

// statusWith returns the status of a question with the key for the instance.
func (s *testPlatform) statusWith(i *platformer.Instance, key string) int {
	status, _ := i.CallWithKey("GET", platformer.Prefix, key, "", callTimeout)
	return status
}

// startInstanceWith starts an instance and waits until it serves a call with the key.
func (s *testPlatform) startInstanceWith(name, key string) *platformer.Instance {
	i, err := s.Start(name)
	s.Assert(err, quicktest.IsNil)
	s.eventually("instance serves", func() bool { return s.statusWith(i, key) == fasthttp.StatusOK })
	return i
}

// replaceKey replaces keyOf(1) and waits until that is in force on the instance.
func (s *testPlatform) replaceKey(i *platformer.Instance) {
	s.Assert(s.statusWith(i, keyOf(tenantKeyVersion)), quicktest.Equals, fasthttp.StatusUnauthorized)
	s.Assert(s.PutConfig(tenantKeyVersion), quicktest.IsNil)
	s.eventually("new key works", func() bool { return s.statusWith(i, keyOf(tenantKeyVersion)) == fasthttp.StatusOK })
	s.Assert(s.statusWith(i, keyOf(1)), quicktest.Equals, fasthttp.StatusUnauthorized)
}

// TestLargeConfiguration guards against a large configuration that is transferred again
// although it has not changed, and against a change of it that does not come into force.
func TestLargeConfiguration(t *testing.T) {
	const (
		// settleCalls is the number of calls in which the change may still be
		// transferred, once by the watch and once by a check.
		settleCalls   = 4
		observedCalls = 10
		// recordBytes is less than the record has on the wire.
		recordBytes = 500_000
	)
	s := newTestPlatformWith(t, platformer.Options{TaskDuration: time.Second, Organisations: organisations(manyOrganisations)})
	i := s.startInstanceWith("edge-1", keyOf(1))
	s.replaceKey(i)
	waitForCalls := func(n int64) (bytes int64) {
		first, _ := s.ConfigTraffic()
		s.eventually("calls", func() bool {
			calls, b := s.ConfigTraffic()
			bytes = b
			return calls >= first+n
		})
		return bytes
	}
	before := waitForCalls(settleCalls)
	sent := waitForCalls(observedCalls) - before
	s.Logf("%d bytes in %d calls", sent, observedCalls)
	s.Assert(sent < recordBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes in %d calls while nothing changes", sent, observedCalls))
	s.Assert(s.statusWith(i, keyOf(tenantKeyVersion)), quicktest.Equals, fasthttp.StatusOK)
	s.Assert(s.statusWith(i, keyOf(1)), quicktest.Equals, fasthttp.StatusUnauthorized)
}

// cutInstance is an instance whose link to the store can be cut, and what it has shown.
type cutInstance struct {
	*testPlatform
	*platformer.Instance
	// version is the highest version of the configuration that was in force.
	version int
}

// isAllowed reports whether the instance takes the key for known, and checks that the
// version in force hasn't gone back, except to none in a new process.
func (i *cutInstance) isAllowed(key string) bool {
	_, text, err := fasthttp.GetTimeout(nil, "http://"+i.Control()+"/metrics", callTimeout)
	if err == nil {
		_, rest, _ := strings.Cut(string(text), "\ntarragonhead_config_version ")
		version := 0
		_, err = fmt.Sscanf(rest, "%d", &version)
		i.Assert(err, quicktest.IsNil)
		i.Assert(version == 0 || version >= i.version, quicktest.IsTrue, quicktest.Commentf("version %d after %d", version, i.version))
		i.version = max(i.version, version)
	}
	status, body := i.CallWithKey("GET", platformer.Prefix, key, "", callTimeout)
	return status != 0 && status != fasthttp.StatusUnauthorized && !strings.Contains(body, "no configuration yet")
}

// isReady reports whether the instance answers readiness checks with success.
func (i *cutInstance) isReady() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+i.Readiness, callTimeout)
	return err == nil && status == fasthttp.StatusOK
}

// restart kills the process and starts another one.
func (i *cutInstance) restart() {
	i.Assert(i.Signal(syscall.SIGKILL), quicktest.IsNil)
	<-i.Ended()
	next, err := i.Start("edge-1")
	i.Assert(err, quicktest.IsNil)
	i.Instance = next
}

// TestKeyWithdrawnWhileCut guards against a key that was withdrawn while an instance was
// cut off from the store, and works there after the link is restored or after a restart,
// and against an instance that counts as ready while it is cut off.
func TestKeyWithdrawnWhileCut(t *testing.T) {
	for name, tt := range map[string]struct {
		organisations int
		// refuses says that the cut link also resets connections.
		refuses bool
		// dropsHistory says that the store can't tell the changes during the cut.
		dropsHistory bool
		// restarts says that the instance also restarts while it is cut off.
		restarts bool
	}{
		"small":                  {1, false, false, false},
		"large":                  {manyOrganisations, false, false, false},
		"large, history dropped": {manyOrganisations, true, true, false},
		"large, restart in cut":  {manyOrganisations, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			var link *soaker.Proxy
			s := newTestPlatformWith(t, platformer.Options{
				TaskDuration: time.Second, Organisations: organisations(tt.organisations),
				ProxyAddress: func(name, address string) (_ string, err error) {
					if name != "edge-1" {
						return address, nil
					}
					if link == nil {
						link, err = soaker.NewProxy(address)
						if err != nil {
							return "", err
						}
						t.Cleanup(link.Close)
					}
					return link.Address(), nil
				},
			})
			i := &cutInstance{testPlatform: s, Instance: s.startInstanceWith("edge-1", keyOf(1))}
			other := s.startInstanceWith("edge-2", keyOf(1))
			s.Assert(i.isAllowed(keyOf(1)), quicktest.IsTrue)
			s.eventually("ready", i.isReady)

			restore := link.Impair(soaker.Impairment{DropToServer: true, DropFromServer: true, Refuse: tt.refuses})
			if tt.refuses {
				link.Reset(1, rand.New(rand.NewPCG(1, 1)))
			}
			s.replaceKey(other)
			if tt.dropsHistory {
				s.Keeper.Compact()
			}
			s.eventually("not ready", func() bool { return !i.isReady() })
			s.Assert(i.isAllowed(keyOf(1)), quicktest.IsTrue)
			if tt.restarts {
				i.restart()
				time.Sleep(time.Second)
				s.Assert(i.isAllowed(keyOf(1)), quicktest.IsFalse)
			}
			restore()
			s.eventually("ready again", i.isReady)
			replaced := func() {
				s.eventually("new key works", func() bool {
					s.Assert(i.isAllowed(keyOf(1)), quicktest.IsFalse)
					return s.statusWith(i.Instance, keyOf(tenantKeyVersion)) == fasthttp.StatusOK
				})
				s.Assert(s.statusWith(i.Instance, keyOf(1)), quicktest.Equals, fasthttp.StatusUnauthorized)
			}
			replaced()
			i.restart()
			replaced()
			s.Assert(i.version, quicktest.Equals, tenantKeyVersion)
		})
	}
}
