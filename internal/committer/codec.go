package committer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/marshaler"
)

// maxDecodedBytes bounds the memory that decoding a corrupt value can
// allocate.
const maxDecodedBytes = 64 << 20

// The zstd encoder adds a checksum to each frame by default.
var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxDecodedBytes))
	// Unknown fields are an error. Otherwise a daemon of an older version
	// would silently drop changes that it doesn't know.
	decoding = must(cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode())
)

// The encoder allocates its state on first use. Using it here keeps that state
// out of the synctest bubble of any test.
var _ = compressor.EncodeAll(nil, nil)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func encode(v any) ([]byte, error) {
	data, err := marshaler.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode ledger record or snapshot")
	}
	return compressor.EncodeAll(data, nil), nil
}

func decode(data []byte, v any) error {
	plain, err := decompressor.DecodeAll(data, nil)
	if err != nil {
		return errors.Wrap(err, "decompress ledger record or snapshot")
	}
	return errors.Wrap(decoding.Unmarshal(plain, v), "decode")
}
