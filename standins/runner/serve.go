package runner

import (
	"net"

	"github.com/pkg/errors"
)

// Serve serves requests on l until it is closed.
func (r *Runner) Serve(l net.Listener) error {
	return errors.Wrap(r.server.Serve(l), "runner "+r.options.Name)
}

// Leave makes the runner refuse new requests.
func (r *Runner) Leave() { r.leaving.Store(true) }

// Shutdown finishes the requests in progress and closes the runner.
func (r *Runner) Shutdown() error { return r.server.Shutdown() }

// Load returns the share of slots in use, between 0 and 1.
func (r *Runner) Load() float64 { return float64(len(r.slots)) / float64(cap(r.slots)) }
