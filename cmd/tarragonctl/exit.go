package main

import (
	"fmt"
	"net"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// The exit statuses. The help text explains them.
const (
	exitDone        = 0
	exitFailed      = 1
	exitRefused     = 2
	exitUndecided   = 3
	exitUnreachable = 4
)

// undecidedError reports a change or request that may or may not have taken effect.
type undecidedError struct{ err error }

func (e *undecidedError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *undecidedError) Unwrap() error { return e.err }

// refusedError reports a change or request that was refused without any effect.
type refusedError struct{ reason string }

func (e *refusedError) Error() string { return e.reason }

// unreachableError reports a call that had no effect and may succeed when it is
// repeated.
type unreachableError struct{ err error }

func (e *unreachableError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.err }

// exitStatus returns the exit status for err.
func exitStatus(err error) int {
	var refused *refusedError
	var invalid *declarer.InvalidError
	var coded twirp.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &refused), errors.As(err, &invalid):
		return exitRefused
	case isUndecided(err):
		return exitUndecided
	case isUnreachable(err):
		return exitUnreachable
	case errors.As(err, &coded):
		return exitRefused
	}
	return exitFailed
}

// isUndecided reports whether the failed call may have taken effect. A call without
// a response is undecided unless the connection could not be opened.
func isUndecided(err error) bool {
	var undecided *undecidedError
	var unreachable *unreachableError
	var coded twirp.Error
	switch {
	case errors.As(err, &undecided):
		return true
	case errors.As(err, &unreachable) || isDialError(err) || !errors.As(err, &coded):
		return false
	}
	switch coded.Code() {
	case twirp.Unknown, twirp.Internal, twirp.DeadlineExceeded, twirp.Canceled, twirp.DataLoss:
		return true
	}
	return false
}

// isUnreachable reports whether the failed call had no effect and may succeed when
// it is repeated.
func isUnreachable(err error) bool {
	var unreachable *unreachableError
	var coded twirp.Error
	return errors.As(err, &unreachable) || isDialError(err) ||
		(errors.As(err, &coded) && (coded.Code() == twirp.Unavailable || coded.Code() == twirp.ResourceExhausted))
}

// isDialError reports whether the connection could not be opened, so that nothing
// was sent.
func isDialError(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// convertReadError converts the error of a call that changes nothing: an undecided error
// becomes an unreachableError, since the call has no effect to be undecided about.
func convertReadError(err error) error {
	if isUndecided(err) {
		return &unreachableError{err}
	}
	return err
}

// formatError returns the message of err, prefixed with the meaning of its exit
// status.
func formatError(err error) string {
	text := err.Error()
	var coded twirp.Error
	if errors.As(err, &coded) {
		text = coded.Msg()
	}
	switch exitStatus(err) {
	case exitRefused:
		return "refused: " + text
	case exitUndecided:
		return "undecided: " + text
	case exitUnreachable:
		return "unreachable: " + text
	}
	return fmt.Sprint(text)
}
