package declarer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// EncodeJob returns the form in which a job is sent between processes, and
// the hash of its content. Equal jobs have equal hashes.
func EncodeJob(j BatchJob) (data []byte, hash uint64, err error) {
	data, err = documents.encode.Marshal(j)
	return data, xxhash.Sum64(data), errors.Wrap(err, "encode job")
}

// DecodeJob reads a job that was sent; CheckJob checks its content.
func DecodeJob(data []byte) (BatchJob, error) {
	var j BatchJob
	if err := documents.decode.Unmarshal(data, &j); err != nil {
		return BatchJob{}, &InvalidError{Document: "job", Problems: []*FieldError{{Field: "job", Problem: err.Error()}}}
	}
	return j, nil
}
