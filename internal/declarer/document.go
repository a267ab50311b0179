package declarer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// MaxWorkBytes is the largest encoded declared work; the store holds
	// values up to a megabyte.
	MaxWorkBytes = 1_000_000
	// maxPlainBytes bounds what a compressed document may expand to, so that
	// a damaged one can't use up the daemon's memory.
	maxPlainBytes = 16 << 20
	// MaxHeadBytes bounds a head before it is compressed: 16 changes with ids, operators and
	// summaries of the greatest length, and 64 domains.
	MaxHeadBytes = 16 << 10
)

// Head is the small part of the configuration that is read often. Its encoded
// form is the value of the store's key "config".
type Head struct {
	Revision   uint64       `cbor:"1,keyasint"`
	Preset     Preset       `cbor:"2,keyasint"`
	Domains    []string     `cbor:"3,keyasint"`
	DomainsOut []string     `cbor:"4,keyasint"`
	WorkHash   string       `cbor:"5,keyasint"`
	Changes    []ChangeNote `cbor:"6,keyasint"`
}

// Work is the declared work, the large part of the configuration. Its encoded
// form is named by its hash and never changes.
type Work struct {
	Worker   Resources `cbor:"1,keyasint"`
	Services []Service `cbor:"2,keyasint"`
	Watchers []Watcher `cbor:"3,keyasint"`
	Teams    []Team    `cbor:"4,keyasint"`
}

// HashError reports declared work that isn't what its name says.
type HashError struct{ Want, Got string }

func (e *HashError) Error() string {
	return fmt.Sprintf("declared work has hash %.12s, want %.12s", e.Got, e.Want)
}

// codec has the modes in which documents are stored. Each is safe for
// concurrent use.
type codec struct {
	encode cbor.EncMode
	decode cbor.DecMode
	pack   *zstd.Encoder
	unpack *zstd.Decoder
}

var documents = newCodec()

func newCodec() codec {
	encoding := cbor.CoreDetEncOptions()
	encoding.Time = cbor.TimeUnix
	var c codec
	var errs [4]error
	c.encode, errs[0] = encoding.EncMode()
	c.decode, errs[1] = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 16, MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10}.DecMode()
	c.pack, errs[2] = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	c.unpack, errs[3] = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPlainBytes))
	for _, err := range errs {
		if err != nil {
			panic(err)
		}
	}
	// The encoder makes its channels at the first use, which tests with a fake
	// clock would otherwise do inside one of them.
	c.pack.EncodeAll(nil, nil)
	return c
}

// Head returns the small part of c.
func (c *Config) Head() Head {
	return Head{c.Revision, c.Preset, c.Domains, c.DomainsOut, c.WorkHash, c.Changes}
}

// Work returns the large part of c.
func (c *Config) Work() Work {
	return Work{c.Worker, c.Services, c.Watchers, c.Teams}
}

// Assemble returns the configuration of a head and the work that it names.
func Assemble(h Head, w Work) *Config {
	return &Config{
		Revision: h.Revision, Preset: h.Preset, Domains: h.Domains, DomainsOut: h.DomainsOut, WorkHash: h.WorkHash, Changes: h.Changes,
		Worker: w.Worker, Services: w.Services, Watchers: w.Watchers, Teams: w.Teams,
	}
}

// EncodeHead returns the stored form of a head.
func EncodeHead(h Head) ([]byte, error) {
	plain, err := documents.encode.Marshal(h)
	return documents.pack.EncodeAll(plain, nil), errors.Wrap(err, "encode head")
}

// DecodeHead reads and checks the stored form of a head. Times are in UTC.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	plain, err := documents.unpack.DecodeAll(data, nil)
	if err != nil {
		return Head{}, errors.Wrap(err, "unpack head")
	}
	if len(plain) > MaxHeadBytes {
		return Head{}, &InvalidError{Document: "head", Problems: []*FieldError{{Field: "size", Problem: fmt.Sprintf("got %d bytes, want at most %d", len(plain), MaxHeadBytes)}}}
	}
	if err := documents.decode.Unmarshal(plain, &h); err != nil {
		return Head{}, errors.Wrap(err, "decode head")
	}
	for i := range h.Changes {
		h.Changes[i].At = h.Changes[i].At.UTC().Truncate(time.Second)
	}
	c := &checker{}
	c.head(h)
	if err := c.err("head"); err != nil {
		return Head{}, err
	}
	return h, nil
}

// EncodeWork returns the stored form of declared work and the hash that names
// it. Equal work has equal hashes.
func EncodeWork(w Work) (hash string, data []byte, err error) {
	plain, err := documents.encode.Marshal(w)
	if err != nil {
		return "", nil, errors.Wrap(err, "encode work")
	}
	data = documents.pack.EncodeAll(plain, nil)
	if len(data) > MaxWorkBytes || len(plain) > maxPlainBytes {
		return "", nil, &InvalidError{Document: "configuration", Problems: []*FieldError{{Field: "work", Problem: fmt.Sprintf("got %d bytes compressed, want at most %d", len(data), MaxWorkBytes)}}}
	}
	sum := sha256.Sum256(plain)
	return hex.EncodeToString(sum[:]), data, nil
}

// DecodeWork reads and checks the stored form of declared work. The error is a
// HashError when it is not the work that hash names.
func DecodeWork(hash string, data []byte) (Work, error) {
	plain, err := documents.unpack.DecodeAll(data, nil)
	if err != nil {
		return Work{}, errors.Wrap(err, "unpack work")
	}
	sum := sha256.Sum256(plain)
	if got := hex.EncodeToString(sum[:]); got != hash {
		return Work{}, &HashError{Want: hash, Got: got}
	}
	var w Work
	if err := documents.decode.Unmarshal(plain, &w); err != nil {
		return Work{}, errors.Wrap(err, "decode work")
	}
	c := &checker{}
	c.work(w)
	return w, c.err("work")
}
