// Package marshaler encodes stored records and messages between daemons as CBOR. How values
// are represented, such as times, is chosen only here.
package marshaler

import "github.com/fxamacker/cbor/v2"

// mode keeps the whole precision of times, in UTC. The default of the library keeps whole
// seconds, so that a time that is read again may be almost a second early. Decoders accept
// both forms: this version reads records of earlier ones, and those read records of this one.
var mode = newMode()

func newMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		// The options are constant.
		panic(err)
	}
	return m
}

// The limits of UnmarshalRequest. A job has at most as many steps as tasks, and no message
// is nested more deeply than a job.
const (
	maxRequestElements = 10000
	maxRequestPairs    = 1000
	maxRequestNesting  = 16
)

// requestMode bounds the memory that a request may take when it is decoded.
var requestMode = newRequestMode()

func newRequestMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxRequestElements, MaxMapPairs: maxRequestPairs, MaxNestedLevels: maxRequestNesting}.DecMode()
	if err != nil {
		// The options are constant.
		panic(err)
	}
	return m
}

// UnmarshalRequest decodes a message that may come from another program than a daemon. It
// fails for arrays, maps and nesting that no request of a daemon has.
func UnmarshalRequest(data []byte, v any) error { return requestMode.Unmarshal(data, v) }

// Marshal returns the encoding of v. It fails if v has a time outside of the years 0 to
// 9999.
func Marshal(v any) ([]byte, error) { return mode.Marshal(v) }

// Unmarshal decodes data into v. A time may have any form that Marshal writes or that
// earlier versions wrote.
func Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }
