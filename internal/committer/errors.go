package committer

import "fmt"

// FencedError reports that another owner has written to the log. The core that
// made the changes must be discarded.
type FencedError struct {
	Shard    string
	Sequence uint64
	Writer   string
	Epoch    uint64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("ledger: %s: record %d was written by %s in epoch %d", e.Shard, e.Sequence, e.Writer, e.Epoch)
}

// UndecidedError reports an append that may or may not have taken effect.
// Settle must succeed before the next append.
type UndecidedError struct {
	Shard    string
	Sequence uint64
	Err      error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("ledger: %s: record %d is undecided: %v", e.Shard, e.Sequence, e.Err)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Err }

// CorruptError reports a stored value that can't be decoded or doesn't belong
// to its key. The value is not overwritten.
type CorruptError struct {
	Key string
	Err error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("ledger: value at %s is corrupt: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// TooLargeError reports a value that exceeds the store's limit. Nothing was
// written.
type TooLargeError struct {
	Key   string
	Bytes int
	Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("ledger: value of %d bytes for %s is over the store's limit of %d", e.Bytes, e.Key, e.Limit)
}

// FullError reports that the ring has no free slot until a snapshot covers
// more records. Nothing was written.
type FullError struct {
	Shard     string
	Uncovered uint64
}

func (e *FullError) Error() string {
	return fmt.Sprintf("ledger: %s: %d records are not covered by a snapshot, of %d slots", e.Shard, e.Uncovered, ringSlots)
}

// StaleError reports that during a replay another owner wrote a snapshot and
// reused slots that the replay had not yet read. A new replay starts from that
// snapshot.
type StaleError struct {
	Shard    string
	Expected uint64
	Found    uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("ledger: %s: found record %d in the slot of record %d", e.Shard, e.Found, e.Expected)
}
