package marshaler_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"tarragonhead.example/tarragonhead/internal/marshaler"
)

type record struct {
	At    time.Time `cbor:"at"`
	Later time.Time `cbor:"later,omitempty"`
}

// TestTimesAreExact guards against a time that is early after it was stored or sent, and
// against records that processes of the version before or after can't read, as during a
// rolling replacement.
func TestTimesAreExact(t *testing.T) {
	whole := time.Date(2026, 12, 6, 7, 8, 9, 0, time.UTC)
	for name, at := range map[string]time.Time{
		"whole second":         whole,
		"last millisecond":     whole.Add(999 * time.Millisecond),
		"nanosecond":           whole.Add(1),
		"last nanosecond":      whole.Add(time.Second - 1),
		"another time zone":    whole.Add(time.Millisecond).In(time.FixedZone("", -5*3600-1800)),
		"before 1970":          time.UnixMilli(-1),
		"1970":                 time.UnixMilli(0),
		"far in the future":    time.Date(9999, 12, 31, 23, 59, 59, 999_000_000, time.UTC),
		"a time zone's day on": time.Date(9999, 12, 31, 23, 0, 0, 1, time.FixedZone("", 3600)),
		"not set":              {},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			data, err := marshaler.Marshal(record{At: at})
			c.Assert(err, quicktest.IsNil)
			var read, readBefore record
			c.Assert(marshaler.Unmarshal(data, &read), quicktest.IsNil)
			c.Assert(read.At.Equal(at), quicktest.IsTrue, quicktest.Commentf("%s", read.At))
			c.Assert(read.Later.IsZero(), quicktest.IsTrue)
			// The version before used the default mode.
			c.Assert(cbor.Unmarshal(data, &readBefore), quicktest.IsNil)
			c.Assert(readBefore.At.Equal(at), quicktest.IsTrue, quicktest.Commentf("%s", readBefore.At))
			written, err := cbor.Marshal(record{At: at})
			c.Assert(err, quicktest.IsNil)
			read = record{}
			c.Assert(marshaler.Unmarshal(written, &read), quicktest.IsNil)
			c.Assert(read.At.IsZero(), quicktest.Equals, at.IsZero())
			c.Assert(read.At.Unix(), quicktest.Equals, at.Unix())
		})
	}
	_, err := marshaler.Marshal(record{At: whole.AddDate(9000, 0, 0)})
	quicktest.Assert(t, err, quicktest.IsNotNil)
}
