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

// Marshal returns the encoding of v. It fails if v has a time outside of the years 0 to
// 9999.
func Marshal(v any) ([]byte, error) { return mode.Marshal(v) }

// Unmarshal decodes data into v. A time may have any form that Marshal writes or that
// earlier versions wrote.
func Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }
