package conductor

import (
	"net/netip"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// ownersPrefix has the owner of each shard, and RoomsPrefix the room that each
// owner has announced.
const (
	ownersPrefix = "th/owner/"
	RoomsPrefix  = "th/room/"
)

// keys are the keys of a shard in the store.
type keys struct{ shard string }

func (k keys) prefix() string  { return "th/" + k.shard + "/" }
func (k keys) owner() string   { return ownersPrefix + k.shard }
func (k keys) room() string    { return RoomsPrefix + k.shard }
func (k keys) head() string    { return k.prefix() + "head" }
func (k keys) workers() string { return k.prefix() + "workers" }
func (k keys) jobs() string    { return k.prefix() + "job/" }

func (k keys) progress(id string) string { return k.prefix() + "progress/" + id }

// JobKey is where an accepted job of a shard is stored.
func JobKey(shard, id string) string { return keys{shard}.jobs() + id }

// IndexKey is the key that makes a job's id unique; it holds the job's shard.
func IndexKey(id string) string { return "th/id/" + id }

// OwnerKey is where the owner of a shard is stored.
func OwnerKey(shard string) string { return keys{shard}.owner() }

// ownerRecord says who owns a shard.
type ownerRecord struct {
	Name    string         `cbor:"name"`
	Address netip.AddrPort `cbor:"address"`
	Epoch   int64          `cbor:"epoch"`
}

// headRecord outlives every owner.
type headRecord struct {
	Epoch int64 `cbor:"epoch"`
}

// DecodeOwner returns the address of the owner in an entry.
func DecodeOwner(value []byte) (netip.AddrPort, error) {
	var r ownerRecord
	err := cbor.Unmarshal(value, &r)
	return r.Address, errors.Wrap(err, "owner record")
}

// DecodeRoom reads an announced room, and the name of its shard from the key.
func DecodeRoom(e storeclient.Entry) (string, planner.Room, error) {
	var r planner.Room
	err := cbor.Unmarshal(e.Value, &r)
	return strings.TrimPrefix(e.Key, RoomsPrefix), r, errors.Wrap(err, "room record")
}
