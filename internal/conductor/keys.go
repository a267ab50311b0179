package conductor

import (
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// ownersPrefix is the prefix of the keys of shard owners, and RoomsPrefix that
// of the free capacity announced by each owner.
const (
	ownersPrefix = "th/owner/"
	RoomsPrefix  = "th/room/"
)

// keys builds the store keys of a shard.
type keys struct{ shard string }

func (k keys) prefix() string  { return "th/" + k.shard + "/" }
func (k keys) owner() string   { return ownersPrefix + k.shard }
func (k keys) room() string    { return RoomsPrefix + k.shard }
func (k keys) head() string    { return k.prefix() + "head" }
func (k keys) workers() string { return k.prefix() + "workers" }
func (k keys) jobs() string    { return k.prefix() + "job/" }

func (k keys) progress(id string) string { return k.prefix() + "progress/" + id }

// JobKey returns the key of an accepted job in a shard.
func JobKey(shard, id string) string { return keys{shard}.jobs() + id }

// IndexKey returns the key that makes a job's id unique; its value is the name
// of the job's shard.
func IndexKey(id string) string { return "th/id/" + id }

// OwnerKey returns the key of a shard's owner.
func OwnerKey(shard string) string { return keys{shard}.owner() }

// ownerRecord identifies the owner of a shard.
type ownerRecord struct {
	Name    string         `cbor:"name"`
	Address netip.AddrPort `cbor:"address"`
	Epoch   int64          `cbor:"epoch"`
}

// headRecord holds the epoch of a shard, which is the highest fence that its owner uses.
// It is kept when the owner changes, so that the fences of each new owner are higher.
type headRecord struct {
	Epoch int64 `cbor:"epoch"`
}

// DecodeOwner returns the address in an owner's entry.
func DecodeOwner(value []byte) (netip.AddrPort, error) {
	var r ownerRecord
	err := marshaler.Unmarshal(value, &r)
	return r.Address, errors.Wrap(err, "decode owner record")
}

// DecodeRoom decodes an entry with announced free capacity, and returns it with
// the name of its shard.
func DecodeRoom(e storeclient.Entry) (string, planner.Room, error) {
	var r planner.Room
	err := marshaler.Unmarshal(e.Value, &r)
	return strings.TrimPrefix(e.Key, RoomsPrefix), r, errors.Wrap(err, "decode room record")
}
