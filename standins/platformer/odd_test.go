package platformer_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// oddEntry returns the entry of a worker with some of its fields replaced. The text ADDR
// stands for an address of its own.
func oddEntry(replacements ...string) string {
	text := `{"service":"service","addr":"ADDR","zone":"domain","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r-0"],"clockMs":1,"seq":1,"born":1700000000000}`
	return strings.NewReplacer(replacements...).Replace(text)
}

// putOddEntries writes the entries of another writer to the list of workers.
func (s *testPlatform) putOddEntries(values []string) {
	for n, value := range values {
		s.Keeper.Put(fmt.Sprintf("servers/odd-%d", n), []byte(strings.Replace(value, "ADDR", fmt.Sprintf("127.0.0.%d:9", n+1), 1)))
	}
}

// manyLabels returns the text of a list of labels that takes about 400 KB.
func manyLabels() string {
	labels := make([]string, 20000)
	for n := range labels {
		labels[n] = fmt.Sprintf(`"label-%012d"`, n)
	}
	return strings.Join(labels, ",")
}

// TestOddWorkerEntries guards against an instance that ends, or no longer follows the
// list of workers, because of entries of another writer under the workers' prefix.
func TestOddWorkerEntries(t *testing.T) {
	deep := strings.Repeat("[", 100_000)
	for name, values := range map[string][]string{
		"empty":                 {"", "null", "{}", "[]", `""`},
		"not JSON":              {"\x00\xff\xfe", "{", strings.Repeat("\xff", 100_000)},
		"deeply nested":         {deep, deep + strings.Repeat("]", 100_000), oddEntry(`"seq":1`, `"seq":`+deep), oddEntry(`"slots":8`, `"slots":`+strings.Repeat(`{"a":`, 100_000)+"1"+strings.Repeat("}", 100_000))},
		"number too large":      {oddEntry("16000", "1e400"), oddEntry("16000", strings.Repeat("9", 400)), oddEntry(`"born":1700000000000`, `"born":1e300`), oddEntry(`"ready"`, `"draining","remainingMs":1e300`)},
		"capacity near the end": {oddEntry("16000", fmt.Sprint(math.MaxInt64), "32768", fmt.Sprint(math.MaxInt64)), oddEntry("16000", fmt.Sprint(math.MaxInt64-1), "32768", fmt.Sprint(math.MaxInt64))},
		"port out of range":     {oddEntry("ADDR", "127.0.0.9:70000"), oddEntry("ADDR", "127.0.0.9:0"), oddEntry("ADDR", "127.0.0.9:-1"), oddEntry("ADDR", "127.0.0.9")},
		"address of no worker":  {oddEntry("ADDR", "0.0.0.0:80"), oddEntry("ADDR", "[::1]:80"), oddEntry("ADDR", "224.0.0.1:80")},
		"many labels":           {oddEntry(`"a"`, manyLabels()), oddEntry(`"a"`, manyLabels()), oddEntry(`"a"`, manyLabels()), oddEntry(`"a"`, manyLabels())},
		"long names":            {oddEntry(`"domain"`, `"`+strings.Repeat("d", 500_000)+`"`), oddEntry(`"domain"`, `"`+strings.Repeat("e", 700_000)+`"`), oddEntry(`"ready"`, `"`+strings.Repeat("s", 700_000)+`"`)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestPlatformWith(t, platformer.Options{TaskDuration: restartTaskDuration / 10})
			stop := make(chan struct{})
			t.Cleanup(func() { close(stop) })
			for _, w := range s.Workers {
				go w.Advance(stop)
			}
			put := func() {
				s.putOddEntries(values)
				s.Keeper.Put("servers/", []byte(values[0]))
				s.Keeper.Put("servers/"+strings.Repeat("i", 190), []byte(values[0]))
			}
			submit := func(i *platformer.Instance, id string) {
				s.eventually("accepted", func() bool {
					status, _ := s.call(i, "POST", id, restartJob)
					return status/100 == 2
				})
				s.eventually("done", func() bool { return s.isDone(i, id) })
			}
			a := s.startInstance("edge-1")
			submit(a, jobID(1))
			put()
			submit(a, jobID(2))
			b := s.startInstance("edge-2")
			put()
			submit(b, jobID(3))
			for _, i := range []*platformer.Instance{a, b} {
				select {
				case <-i.Ended():
					s.Fatal("an instance has ended")
				default:
				}
			}
			s.Assert(s.Processes("edge-1"), quicktest.Equals, 1)
		})
	}
}

// TestOddWorkerEntriesBeforeStart guards against a new deployment that never decides
// its number of shards because of such entries.
func TestOddWorkerEntriesBeforeStart(t *testing.T) {
	s := newTestPlatformWith(t, platformer.Options{TaskDuration: restartTaskDuration / 10})
	s.putOddEntries([]string{
		"", strings.Repeat("[", 100_000), oddEntry("16000", "1e400"), oddEntry("ADDR", "127.0.0.9:70000"),
		oddEntry(`"a"`, manyLabels()), oddEntry(`"a"`, manyLabels()), oddEntry(`"a"`, manyLabels()),
	})
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	for _, w := range s.Workers {
		go w.Advance(stop)
	}
	a := s.startInstance("edge-1")
	status, body := s.call(a, "POST", jobID(1), restartJob)
	s.Assert(status/100, quicktest.Equals, 2, quicktest.Commentf("%s", body))
	s.eventually("done", func() bool { return s.isDone(a, jobID(1)) })
}
