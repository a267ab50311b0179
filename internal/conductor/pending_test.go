package conductor_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestPendingOfStaleOwner guards against a count of waiting jobs by an owner that doesn't
// learn of new ones, because the store doesn't answer it.
func TestPendingOfStaleOwner(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	c, stop := s.startDaemon(1)
	defer stop()
	pending := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := c.Pending(ctx)
		return err
	}
	s.eventually("owned", testTimeout, func() bool { return pending() == nil })
	s.keeper.SetFault(func(string, string) keeper.Fault {
		return keeper.Fault{Before: &storeclient.RefusedError{Op: "test", Status: 503}}
	})
	s.eventually("stale", testTimeout, func() bool {
		var stale *conductor.StaleError
		return errors.As(pending(), &stale)
	})
	s.keeper.SetFault(nil)
	s.eventually("counts again", testTimeout, func() bool { return pending() == nil })
	s.Assert(c.IsOwner(), quicktest.IsTrue)
}
