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
	// settleFor is how long a daemon tries to find out what became of a
	// change before it reports it as undecided.
	settleFor   = 5 * time.Second
	settlePause = 50 * time.Millisecond
	// settlePauseMost bounds the growing pause, since the reads count against
	// the same rate as those that confirm the configuration.
	settlePauseMost = 400 * time.Millisecond
)

// ConflictError reports a change that lost against another one. Nothing of it
// was applied.
type ConflictError struct {
	// Expected is the revision that the change was made on.
	Expected uint64
	// Current is the revision in force, 0 if it could not be read.
	Current uint64
	// Other is the accepted change that the refused one lost against; its
	// zero value stands for one that is no longer known.
	Other declarer.ChangeNote
}

func (e *ConflictError) Error() string {
	if e.Other.ID == "" {
		return fmt.Sprintf("refused: the configuration is no longer at revision %d; nothing was changed", e.Expected)
	}
	return fmt.Sprintf("refused: the configuration is at revision %d, not %d; %s made change %s at revision %d: %s; nothing else was changed",
		e.Current, e.Expected, e.Other.Operator, e.Other.ID, e.Other.Revision, e.Other.Summary)
}

// ReusedIDError reports a change whose id belongs to another accepted change.
type ReusedIDError struct {
	ID    string
	Other declarer.ChangeNote
}

func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change_id: %q belongs to the change at revision %d by %s: %s; nothing was changed", e.ID, e.Other.Revision, e.Other.Operator, e.Other.Summary)
}

// UndecidedError reports a change of which it isn't known whether it was
// accepted. Proposing it again with the same change id is safe.
type UndecidedError struct{ Err error }

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("it is not known whether the change was accepted: %v; repeat it with the same change id", e.Err)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Err }

// Change is a proposed change of the configuration.
type Change struct {
	// ID makes a repeated proposal the same change, for as long as it is
	// among the last 16.
	ID       string
	Operator string
	// Summary tells operators what the change does. Two changes with equal
	// summaries are taken for the same content.
	Summary string
	// Expected is the revision that the operator saw; zero accepts any.
	Expected uint64
	// Edit changes the document; its error refuses the change. It must not
	// change values that the document shares.
	Edit func(*declarer.Config) error
}

// proposal is a change that is ready to be written.
type proposal struct {
	change Change
	base   stored
	next   *held
}

// Propose makes a change and returns the revision at which it was accepted.
// The error is a declarer.InvalidError, ConflictError or ReusedIDError when
// the change was refused, an UndecidedError when that isn't known, and
// otherwise what kept the change from being written. Except for an
// UndecidedError nothing was changed.
func (c *Configurer) Propose(ctx context.Context, ch Change) (uint64, error) {
	revision, err := c.proposeInTurn(ctx, ch)
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

// proposeInTurn makes one proposal at a time. With the reads in a class of
// their own, a burst of changes leaves the reads that confirm the
// configuration their rate.
func (c *Configurer) proposeInTurn(ctx context.Context, ch Change) (uint64, error) {
	select {
	case c.proposing <- struct{}{}:
		defer func() { <-c.proposing }()
	case <-ctx.Done():
		return 0, errors.Wrap(ctx.Err(), "other changes are being made; nothing was changed")
	}
	return c.propose(storeclient.WithClass(ctx, storeclient.ClassRead), ch)
}

func (c *Configurer) propose(ctx context.Context, ch Change) (uint64, error) {
	if err := declarer.CheckChange(ch.ID, ch.Operator, ch.Summary); err != nil {
		return 0, err
	}
	base, err := c.read(ctx)
	if err != nil {
		return 0, err
	}
	if note := find(base.head, ch.ID); note != nil {
		return same(ch, *note)
	}
	if ch.Expected != 0 && ch.Expected != base.head.Revision {
		return 0, conflict(ch.Expected, base.head)
	}
	next, err := c.prepare(ctx, ch, base)
	if err != nil {
		return 0, err
	}
	return c.write(ctx, proposal{ch, base, next})
}

// same answers a repeated proposal.
func same(ch Change, note declarer.ChangeNote) (uint64, error) {
	if note.Summary != ch.Summary {
		return 0, &ReusedIDError{ID: ch.ID, Other: note}
	}
	return note.Revision, nil
}

// prepare makes the next document and writes its work.
func (c *Configurer) prepare(ctx context.Context, ch Change, base stored) (*held, error) {
	joined, err := c.join(base.head, base.data, func(hash string) ([]byte, error) {
		entry, err := c.options.Store.Get(ctx, workPrefix+hash)
		return entry.Value, err
	})
	if err != nil {
		return nil, err
	}
	next := *joined.config
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
	return &held{&next, head, work}, err
}

// putWork writes declared work unless it is there. The head that names it is
// written afterwards, so a failure changes nothing that is in force.
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

// write swaps the head and settles what became of it.
func (c *Configurer) write(ctx context.Context, p proposal) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	// mayHaveApplied is set from the first swap on that had no answer.
	mayHaveApplied := false
	var cause error
	for pause := settlePause; ; pause = min(2*pause, settlePauseMost) {
		_, err := c.options.Store.CompareAndSwap(storeclient.WithClass(ctx, storeclient.ClassConfig), configKey, p.next.head, p.base.revision, 0)
		var lost *storeclient.ConflictError
		var limited *storeclient.LimitError
		switch {
		case err == nil:
			c.apply(p.next, time.Time{}, "proposal")
			return p.next.config.Revision, nil
		case errors.As(err, &lost) && !mayHaveApplied:
			return c.explainConflict(ctx, p)
		case errors.As(err, &limited) && !mayHaveApplied:
			return 0, err
		case !errors.As(err, &lost) && !errors.As(err, &limited):
			mayHaveApplied = true
		}
		cause = err
		if decided, revision, err := c.readBack(ctx, p); decided {
			return revision, err
		}
		if !sleep(ctx, pause) {
			return 0, &UndecidedError{cause}
		}
	}
}

// readBack looks for the change in the store. It is undecided while the head
// is still the one that the change was made on: a swap without an answer may
// yet take effect.
func (c *Configurer) readBack(ctx context.Context, p proposal) (decided bool, revision uint64, err error) {
	s, err := c.readHead(ctx)
	if err != nil || s.head.Revision < p.next.config.Revision {
		return false, 0, nil
	}
	// The head in force may name work that can't be read now; the change is
	// decided all the same, and the next read applies it.
	if err := c.take(ctx, s, s.begun, "read"); err != nil {
		c.options.Log.Warn().Err(err).Msg("config: read back but not applied")
	}
	for _, n := range s.head.Changes {
		switch {
		case n.Revision != p.next.config.Revision:
		case n.ID == p.change.ID:
			revision, err := same(p.change, n)
			return true, revision, err
		default:
			return true, 0, &ConflictError{Expected: p.base.head.Revision, Current: s.head.Revision, Other: n}
		}
	}
	return true, 0, &UndecidedError{errors.Errorf("more than %d changes were accepted since", declarer.KeptChanges)}
}

// explainConflict finds the change that p lost against. It may be p itself,
// proposed through another daemon.
func (c *Configurer) explainConflict(ctx context.Context, p proposal) (uint64, error) {
	for pause := settlePause; ; pause = min(2*pause, settlePauseMost) {
		decided, revision, err := c.readBack(ctx, p)
		var undecided *UndecidedError
		switch {
		case errors.As(err, &undecided):
			return 0, &ConflictError{Expected: p.base.head.Revision}
		case decided:
			return revision, err
		}
		if !sleep(ctx, pause) {
			return 0, &ConflictError{Expected: p.base.head.Revision}
		}
	}
}

// conflict is the error of a change that was made on another revision. It
// shows the first change that its operator did not see, if it is still known.
func conflict(expected uint64, h declarer.Head) error {
	e := &ConflictError{Expected: expected, Current: h.Revision}
	for _, n := range h.Changes {
		if n.Revision > expected || n.Revision == h.Revision {
			e.Other = n
			return e
		}
	}
	return e
}

func find(h declarer.Head, id string) *declarer.ChangeNote {
	for i := range h.Changes {
		if h.Changes[i].ID == id {
			return &h.Changes[i]
		}
	}
	return nil
}
