package declarer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// EncodeJob returns the encoding of a job for messages between processes, and the
// hash of its content. Equal jobs have equal hashes.
func EncodeJob(j BatchJob) (data []byte, hash uint64, err error) {
	data, err = documentCodec.encode.Marshal(j)
	return data, xxhash.Sum64(data), errors.Wrap(err, "encode job")
}

// DecodeJob decodes the result of EncodeJob. It does not check the content of the
// job; CheckJob does. The error is an InvalidError.
func DecodeJob(data []byte) (BatchJob, error) {
	var j BatchJob
	if err := documentCodec.decode.Unmarshal(data, &j); err != nil {
		return BatchJob{}, &InvalidError{Document: "job", Problems: []*FieldError{{Field: "job", Problem: err.Error()}}}
	}
	return j, nil
}
