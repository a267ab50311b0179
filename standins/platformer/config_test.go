package platformer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
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
