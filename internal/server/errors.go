package server

import (
	"net"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"tarragonhead.example/tarragonhead/internal/configurer"
	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// operatorError converts an error to a Twirp error. Its code says what happened:
//
//	invalid_argument, not_found, already_exists, aborted: refused
//	unknown: it isn't known whether the change was or will be made
//	unavailable, resource_exhausted: nothing was changed, and a repeat may succeed
func operatorError(err error) error {
	var (
		invalid         *declarer.InvalidError
		conflict        *configurer.ConflictError
		reused          *configurer.ReusedIDError
		changeUndecided *configurer.UndecidedError
		callUndecided   *controller.UndecidedError
		notAccepted     *controller.NotAcceptedError
		stale           *scheduler.StaleJobError
		coded           twirp.Error
	)
	switch {
	case errors.As(err, &coded):
		return err
	case errors.As(err, &invalid):
		return twirp.NewError(twirp.InvalidArgument, err.Error())
	case errors.As(err, &conflict):
		return twirp.NewError(twirp.Aborted, err.Error())
	case errors.As(err, &reused):
		return twirp.NewError(twirp.AlreadyExists, err.Error())
	case errors.As(err, &stale):
		return twirp.NewError(twirp.AlreadyExists, err.Error())
	case errors.As(err, &notAccepted):
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	case errors.As(err, &changeUndecided), errors.As(err, &callUndecided):
		return twirp.NewError(twirp.Unknown, err.Error())
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}

// forwardError converts the error of a call to a shard's owner for the
// operator. Only a refused connection proves that the call was not sent.
func forwardError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return twirp.NewError(twirp.Unavailable, "the shard's owner can't be reached; nothing was changed: "+dial.Error())
	}
	var coded twirp.Error
	if errors.As(err, &coded) && coded.Code() != twirp.Internal && coded.Code() != twirp.DeadlineExceeded && coded.Code() != twirp.Canceled {
		return coded
	}
	return twirp.NewError(twirp.Unknown, "no answer from the shard's owner, it is not known whether the change was made; repeat it: "+err.Error())
}
