package configurer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// settleTimeout bounds how long a daemon tries to determine the outcome of
	// a change before it reports the change as undecided.
	settleTimeout = 5 * time.Second
	// minSettleDelay and maxSettleDelay bound the exponential back-off between
	// attempts. Without it, repeated writes could use up the rate limit that they
	// share with the reads that confirm the configuration.
	minSettleDelay = 50 * time.Millisecond
	maxSettleDelay = 400 * time.Millisecond
)

// ConflictError reports a change that was refused because another change was
// accepted first. Nothing of the refused change was applied.
type ConflictError struct {
	// Expected is the revision that the change was based on.
	Expected uint64
	// Current is the revision in force, 0 if it could not be read.
	Current uint64
	// Other is the change that was accepted instead, or the zero value if it
	// is no longer known.
	Other declarer.ChangeNote
}

func (e *ConflictError) Error() string {
	if e.Other.ID == "" {
		return fmt.Sprintf("refused: the configuration is no longer at revision %d; nothing was changed", e.Expected)
	}
	return fmt.Sprintf("refused: the configuration is at revision %d, not %d; %s made change %s at revision %d: %s; nothing else was changed",
		e.Current, e.Expected, e.Other.Operator, e.Other.ID, e.Other.Revision, e.Other.Summary)
}

// ReusedIDError reports a change with the id of a different accepted change.
type ReusedIDError struct {
	ID    string
	Other declarer.ChangeNote
}

func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change_id: %q belongs to the change at revision %d by %s: %s; nothing was changed", e.ID, e.Other.Revision, e.Other.Operator, e.Other.Summary)
}

// UndecidedError reports a change that may or may not have been accepted.
// Proposing it again with the same change id is safe.
type UndecidedError struct{ Err error }

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("it is not known whether the change was accepted: %v; repeat it with the same change id", e.Err)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Err }

// Change is a proposed change of the configuration.
type Change struct {
	// ID identifies the change, so that a repeated proposal is accepted only
	// once. It is recognised while the change is among the last 16.
	ID       string
	Operator string
	// Summary describes the change to operators. A repeated ID with an equal
	// Summary counts as the same change.
	Summary string
	// Expected is the revision that the change is based on; zero accepts any.
	Expected uint64
	// Edit modifies the document. If it returns an error, the change is
	// refused. It must not modify slices or other values that the document
	// shares with the one in force.
	Edit func(*declarer.Config) error
}

// proposal is a change that is ready to be written to the store.
type proposal struct {
	change Change
	base   storedHead
	next   *encodedConfig
}

// Propose makes a change and returns the revision at which it was accepted. If
// the change was refused, the error is a declarer.InvalidError, ConflictError
// or ReusedIDError, or the error of ch.Edit. If its outcome is unknown, the
// error is an UndecidedError. Any other error is the reason why the change was
// not written. Nothing was changed unless the error is an UndecidedError.
func (c *Configurer) Propose(ctx context.Context, ch Change) (uint64, error) {
	revision, err := c.proposeSerially(ctx, ch)
	result := "accepted"
	var undecided *UndecidedError
	var conflict *ConflictError
	switch {
	case errors.As(err, &undecided):
		result = "undecided"
	case errors.As(err, &conflict):
		result = "conflict"
	case err != nil:
		result = "refused"
	}
	c.metrics.proposed.WithLabelValues(result).Inc()
	c.options.Log.Info().Str("change", ch.ID).Str("operator", ch.Operator).Str("summary", ch.Summary).Str("result", result).
		Uint64("revision", revision).Err(err).Msg("config: change proposed")
	return revision, err
}

// proposeSerially runs one proposal at a time, with its reads in a class of
// their own. A burst of changes then doesn't use up the rate of the reads that
// confirm the configuration.
func (c *Configurer) proposeSerially(ctx context.Context, ch Change) (uint64, error) {
	select {
	case c.proposalSlot <- struct{}{}:
		defer func() { <-c.proposalSlot }()
	case <-ctx.Done():
		return 0, errors.Wrap(ctx.Err(), "wait for the change in progress; nothing was changed")
	}
	return c.propose(storeclient.WithClass(ctx, storeclient.ClassRead), ch)
}

func (c *Configurer) propose(ctx context.Context, ch Change) (uint64, error) {
	if err := declarer.CheckChange(ch.ID, ch.Operator, ch.Summary); err != nil {
		return 0, err
	}
	base, err := c.readAndApply(ctx)
	if err != nil {
		return 0, err
	}
	if note := findChange(base.head, ch.ID); note != nil {
		return resolveRepeat(ch, *note)
	}
	if ch.Expected != 0 && ch.Expected != base.head.Revision {
		return 0, newConflictError(ch.Expected, base.head)
	}
	next, err := c.prepare(ctx, ch, base)
	if err != nil {
		return 0, err
	}
	return c.writeHead(ctx, proposal{ch, base, next})
}

// resolveRepeat returns the result of proposing a change whose id was already
// accepted.
func resolveRepeat(ch Change, note declarer.ChangeNote) (uint64, error) {
	if note.Summary != ch.Summary {
		return 0, &ReusedIDError{ID: ch.ID, Other: note}
	}
	return note.Revision, nil
}

// prepare builds the next document and writes its work to the store.
func (c *Configurer) prepare(ctx context.Context, ch Change, base storedHead) (*encodedConfig, error) {
	current, err := c.assemble(base.head, base.data, func(hash string) ([]byte, error) {
		entry, err := c.options.Store.Get(ctx, workPrefix+hash)
		return entry.Value, err
	})
	if err != nil {
		return nil, err
	}
	next := *current.config
	if err := ch.Edit(&next); err != nil {
		return nil, err
	}
	next.Revision = base.head.Revision + 1
	note := declarer.ChangeNote{ID: ch.ID, Revision: next.Revision, Operator: ch.Operator, Summary: ch.Summary, At: time.Now().UTC().Truncate(time.Second)}
	next.Changes = append(slices.Clone(base.head.Changes), note)
	if over := len(next.Changes) - declarer.KeptChanges; over > 0 {
		next.Changes = next.Changes[over:]
	}
	hash, work, err := declarer.EncodeWork(next.Work())
	if err != nil {
		return nil, err
	}
	next.WorkHash = hash
	if err := declarer.CheckConfig(&next); err != nil {
		return nil, err
	}
	if hash != base.head.WorkHash {
		if err := c.putWork(ctx, hash, work); err != nil {
			return nil, err
		}
	}
	head, err := declarer.EncodeHead(next.Head())
	return &encodedConfig{&next, head, work}, err
}

// putWork stores declared work under its hash unless it is already stored.
// Work has no effect until the head that names it is written, so a failure
// changes nothing.
func (c *Configurer) putWork(ctx context.Context, hash string, work []byte) error {
	key := workPrefix + hash
	_, err := c.options.Store.CompareAndSwap(storeclient.WithClass(ctx, storeclient.ClassConfig), key, work, 0, 0)
	var exists *storeclient.ConflictError
	if err == nil || errors.As(err, &exists) {
		return nil
	}
	found, readErr := c.options.Store.Get(ctx, key)
	if readErr != nil {
		return err
	}
	if _, decodeErr := declarer.DecodeWork(hash, found.Value); decodeErr != nil {
		return decodeErr
	}
	return nil
}

// writeHead swaps the head in the store and determines the outcome.
func (c *Configurer) writeHead(ctx context.Context, p proposal) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	// mayHaveApplied is set once a swap has failed without a definite answer.
	mayHaveApplied := false
	var cause error
	for delay := minSettleDelay; ; delay = min(2*delay, maxSettleDelay) {
		_, err := c.options.Store.CompareAndSwap(storeclient.WithClass(ctx, storeclient.ClassConfig), configKey, p.next.head, p.base.revision, 0)
		var conflict *storeclient.ConflictError
		var limited *storeclient.LimitError
		switch {
		case err == nil:
			c.apply(p.next, time.Time{}, "proposal")
			return p.next.config.Revision, nil
		case errors.As(err, &conflict) && !mayHaveApplied:
			return c.explainConflict(ctx, p)
		case errors.As(err, &limited) && !mayHaveApplied:
			return 0, err
		case !errors.As(err, &conflict) && !errors.As(err, &limited):
			mayHaveApplied = true
		}
		cause = err
		if decided, revision, err := c.readBack(ctx, p); decided {
			return revision, err
		}
		if !sleep(ctx, delay) {
			return 0, &UndecidedError{cause}
		}
	}
}

// readBack looks for the outcome of a proposal in the store. The proposal
// stays undecided while the stored head is older than the proposed one, since
// a swap without an answer may still take effect.
func (c *Configurer) readBack(ctx context.Context, p proposal) (decided bool, revision uint64, err error) {
	s, err := c.readHead(ctx)
	if err != nil || s.head.Revision < p.next.config.Revision {
		return false, 0, nil
	}
	// The work that the head names may be unreadable now. The outcome is known
	// nevertheless, and a later read applies the head.
	if err := c.applyStored(ctx, s, s.startedAt, "read"); err != nil {
		c.options.Log.Warn().Err(err).Msg("config: read back but not applied")
	}
	for _, n := range s.head.Changes {
		switch {
		case n.Revision != p.next.config.Revision:
		case n.ID == p.change.ID:
			revision, err := resolveRepeat(p.change, n)
			return true, revision, err
		default:
			return true, 0, &ConflictError{Expected: p.base.head.Revision, Current: s.head.Revision, Other: n}
		}
	}
	return true, 0, &UndecidedError{errors.Errorf("more than %d changes were accepted since the proposal", declarer.KeptChanges)}
}

// explainConflict finds the change that was accepted instead of p. That may be
// p itself, proposed through another daemon.
func (c *Configurer) explainConflict(ctx context.Context, p proposal) (uint64, error) {
	for delay := minSettleDelay; ; delay = min(2*delay, maxSettleDelay) {
		decided, revision, err := c.readBack(ctx, p)
		var undecided *UndecidedError
		switch {
		case errors.As(err, &undecided):
			return 0, &ConflictError{Expected: p.base.head.Revision}
		case decided:
			return revision, err
		}
		if !sleep(ctx, delay) {
			return 0, &ConflictError{Expected: p.base.head.Revision}
		}
	}
}

// newConflictError returns the error for a change that was based on another
// revision. It names the first change that the operator had not seen, if that
// change is still known.
func newConflictError(expected uint64, h declarer.Head) error {
	e := &ConflictError{Expected: expected, Current: h.Revision}
	for _, n := range h.Changes {
		if n.Revision > expected || n.Revision == h.Revision {
			e.Other = n
			return e
		}
	}
	return e
}

// findChange returns the note of the change with an id, or nil if h has none.
func findChange(h declarer.Head, id string) *declarer.ChangeNote {
	for i := range h.Changes {
		if h.Changes[i].ID == id {
			return &h.Changes[i]
		}
	}
	return nil
}
