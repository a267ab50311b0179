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
	// MaxWorkBytes is the maximum size of encoded declared work. The store accepts
	// values of up to a megabyte.
	MaxWorkBytes = 1_000_000
	// maxUncompressedBytes bounds the decompressed size of a document, so that a
	// corrupt document can't exhaust the daemon's memory.
	maxUncompressedBytes = 16 << 20
	// MaxHeadBytes is the maximum size of a head before compression. It has space
	// for 16 changes with ids, operators and summaries of the maximum length, and
	// for 64 domains.
	MaxHeadBytes = 16 << 10
)

// Head is the part of the configuration that is small and read often. Its encoded
// form is the value of the key "config" in the store.
type Head struct {
	Revision   uint64       `cbor:"1,keyasint"`
	Preset     Preset       `cbor:"2,keyasint"`
	Domains    []string     `cbor:"3,keyasint"`
	DomainsOut []string     `cbor:"4,keyasint"`
	WorkHash   string       `cbor:"5,keyasint"`
	Changes    []ChangeNote `cbor:"6,keyasint"`
}

// Work is the declared work, the large part of the configuration. Its encoded form
// is stored under its hash and is immutable.
type Work struct {
	Worker   Resources `cbor:"1,keyasint"`
	Services []Service `cbor:"2,keyasint"`
	Watchers []Watcher `cbor:"3,keyasint"`
	Teams    []Team    `cbor:"4,keyasint"`
}

// HashError reports declared work whose hash differs from the one it is stored
// under.
type HashError struct{ Want, Got string }

func (e *HashError) Error() string {
	return fmt.Sprintf("declared work has hash %.12s, want %.12s", e.Got, e.Want)
}

// codec encodes and compresses documents. Its fields are safe for concurrent use.
type codec struct {
	encode     cbor.EncMode
	decode     cbor.DecMode
	compress   *zstd.Encoder
	decompress *zstd.Decoder
}

var documentCodec = newCodec()

func newCodec() codec {
	encoding := cbor.CoreDetEncOptions()
	encoding.Time = cbor.TimeUnix
	var c codec
	var errs [4]error
	c.encode, errs[0] = encoding.EncMode()
	c.decode, errs[1] = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 16, MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10}.DecMode()
	c.compress, errs[2] = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	c.decompress, errs[3] = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUncompressedBytes))
	for _, err := range errs {
		if err != nil {
			panic(err)
		}
	}
	// The encoder creates its channels on first use. Without this call, a test with
	// a fake clock could create them inside its synctest bubble, and later tests
	// could not use them.
	c.compress.EncodeAll(nil, nil)
	return c
}

// Head returns the part of c that is stored as a head.
func (c *Config) Head() Head {
	return Head{c.Revision, c.Preset, c.Domains, c.DomainsOut, c.WorkHash, c.Changes}
}

// Work returns the declared work of c.
func (c *Config) Work() Work {
	return Work{c.Worker, c.Services, c.Watchers, c.Teams}
}

// Assemble returns the configuration that consists of h and w, the work that h
// refers to by its hash.
func Assemble(h Head, w Work) *Config {
	return &Config{
		Revision: h.Revision, Preset: h.Preset, Domains: h.Domains, DomainsOut: h.DomainsOut, WorkHash: h.WorkHash, Changes: h.Changes,
		Worker: w.Worker, Services: w.Services, Watchers: w.Watchers, Teams: w.Teams,
	}
}

// EncodeHead returns the stored form of a head.
func EncodeHead(h Head) ([]byte, error) {
	plain, err := documentCodec.encode.Marshal(h)
	return documentCodec.compress.EncodeAll(plain, nil), errors.Wrap(err, "encode head")
}

// DecodeHead decodes and checks the stored form of a head. Times are in UTC. The
// error is an InvalidError if the head is well formed but its content is not
// accepted.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	plain, err := documentCodec.decompress.DecodeAll(data, nil)
	if err != nil {
		return Head{}, errors.Wrap(err, "unpack head")
	}
	if len(plain) > MaxHeadBytes {
		return Head{}, &InvalidError{Document: "head", Problems: []*FieldError{{Field: "size", Problem: fmt.Sprintf("got %d bytes, want at most %d", len(plain), MaxHeadBytes)}}}
	}
	if err := documentCodec.decode.Unmarshal(plain, &h); err != nil {
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

// EncodeWork returns the stored form of declared work and the hash that it is stored
// under. Equal work has equal hashes. The error is an InvalidError if the stored form
// is too large.
func EncodeWork(w Work) (hash string, data []byte, err error) {
	plain, err := documentCodec.encode.Marshal(w)
	if err != nil {
		return "", nil, errors.Wrap(err, "encode work")
	}
	data = documentCodec.compress.EncodeAll(plain, nil)
	if len(data) > MaxWorkBytes || len(plain) > maxUncompressedBytes {
		return "", nil, &InvalidError{Document: "configuration", Problems: []*FieldError{{Field: "work", Problem: fmt.Sprintf("got %d bytes compressed, want at most %d", len(data), MaxWorkBytes)}}}
	}
	sum := sha256.Sum256(plain)
	return hex.EncodeToString(sum[:]), data, nil
}

// DecodeWork decodes and checks the stored form of declared work. The error is a
// HashError if data does not have the given hash.
func DecodeWork(hash string, data []byte) (Work, error) {
	plain, err := documentCodec.decompress.DecodeAll(data, nil)
	if err != nil {
		return Work{}, errors.Wrap(err, "unpack work")
	}
	sum := sha256.Sum256(plain)
	if got := hex.EncodeToString(sum[:]); got != hash {
		return Work{}, &HashError{Want: hash, Got: got}
	}
	var w Work
	if err := documentCodec.decode.Unmarshal(plain, &w); err != nil {
		return Work{}, errors.Wrap(err, "decode work")
	}
	c := &checker{}
	c.work(w)
	return w, c.err("work")
}
