package committer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// maxDecodedBytes bounds what a corrupt value can make the decoder allocate.
const maxDecodedBytes = 64 << 20

var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes))
	encoding        = mustEncoding()
)

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encode(v any) ([]byte, error) {
	data, err := encoding.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return compressor.EncodeAll(data, nil), nil
}

func decode(data []byte, v any) error {
	plain, err := decompressor.DecodeAll(data, nil)
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	return errors.Wrap(cbor.Unmarshal(plain, v), "decode")
}
