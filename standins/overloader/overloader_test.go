package overloader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/standins/overloader"
)

// TestOverloadedLink guards against an owner whose link is full and that makes load for
// itself then: each call without an answer was repeated, and each start followed by stops,
// so that ever less work was done, also after the load had fallen.
func TestOverloadedLink(t *testing.T) {
	const carried = 200
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		most := 0
		for _, factor := range []float64{0.5, 1, 1.5, 2, 3} {
			r, err := overloader.Play(overloader.Options{
				Workers: 24, LinkRate: 250_000, TasksPerSecond: int(factor * carried), Load: 12 * time.Second, After: 12 * time.Second,
			})
			c.Assert(err, quicktest.IsNil)
			t.Logf("load %.1f: %+v", factor, r)
			most = max(most, r.Ended)
			c.Check(float64(r.Ended) >= 0.8*float64(most) || factor < 1, quicktest.IsTrue, quicktest.Commentf("load %.1f: %d runs, %d at most", factor, r.Ended, most))
			c.Check(r.UnansweredLater, quicktest.Equals, 0)
			c.Check(r.HasOwnerChanged, quicktest.IsFalse)
			// What is still on the link is delivered.
			time.Sleep(5 * time.Minute)
		}
	})
}
