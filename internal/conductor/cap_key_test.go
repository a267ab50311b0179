package conductor

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/frankban/quicktest"
)

// TestCapKey guards against keys that are longer than the store accepts, that two
// organisations share, or that are no UTF-8, which the store's JSON would change.
func TestCapKey(t *testing.T) {
	c := quicktest.New(t)
	seen := map[string]string{}
	for _, letter := range []string{"a", "é", "€", "😀"} {
		for n := range 300 {
			name := strings.Repeat("x", n%7) + strings.Repeat(letter, n)
			k := capKey(name)
			c.Assert(len(k) <= 200, quicktest.IsTrue, quicktest.Commentf("%s", k))
			c.Assert(utf8.ValidString(k), quicktest.IsTrue, quicktest.Commentf("%q", k))
			if other, ok := seen[k]; ok {
				c.Assert(other, quicktest.Equals, name)
			}
			seen[k] = name
		}
	}
}
