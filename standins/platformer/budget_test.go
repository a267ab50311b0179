package platformer_test

import (
	"bufio"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// smallBudget is the memory for requests of the process of TestBudgetUsedUp, the least that
// its settings may name.
const smallBudget = 1 << 20

// heldBodies are the bodies that use smallBudget up to the last byte, by their announced
// size. A body whose last byte is missing holds twice the size of its buffer, which doubles
// from 8 KiB, without the first 8 KiB: 112 KiB and 16 KiB.
var heldBodies = map[int]int{64 << 10: 9, 16 << 10: 1}

// budgetUsed returns the bytes of requests that the process of i admits now, as a metric
// reports them, or -1 if it could not be read.
func budgetUsed(i *platformer.Instance) float64 {
	status, text, err := fasthttp.GetTimeout(nil, "http://"+i.Control()+"/metrics", callTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return -1
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "tarragonhead_client_budget_bytes "); ok {
			if n, err := strconv.ParseFloat(strings.TrimSpace(rest), 64); err == nil {
				return n
			}
		}
	}
	return -1
}

// TestBudgetUsedUp guards against a request that is handled, or refused without saying when
// to come back, although the memory for requests is used up; against a process that ends
// then; and against memory that stays taken when the clients have left.
func TestBudgetUsedUp(t *testing.T) {
	s := newTestPlatformWith(t, platformer.Options{
		TaskDuration: 100 * time.Millisecond,
		Settings:     []string{"client_limits.budget_bytes=" + strconv.Itoa(smallBudget), "client_limits.body_timeout_ms=600000"},
	})
	i := s.startInstance("edge-1")
	var crowd []net.Conn
	leave := func() {
		for _, conn := range crowd {
			_ = conn.Close()
		}
	}
	defer leave()
	for size, count := range heldBodies {
		for range count {
			conn, err := net.Dial("tcp4", i.Front)
			s.Assert(err, quicktest.IsNil)
			crowd = append(crowd, conn)
			_, err = io.WriteString(conn, request("POST", platformer.Prefix+jobID(900), withLength(size))+strings.Repeat(" ", size-1))
			s.Assert(err, quicktest.IsNil)
		}
	}
	s.eventually("the budget is used up", func() bool { return budgetUsed(i) == smallBudget })
	large := `{"phases":[{"count":1,"cpu":500,"memMb":100,"estimateMs":300}],"spec":"` + strings.Repeat("x", crowdBodyBytes-73) + `"}`
	chunked := "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(twoSteps)), 16) + "\r\n" + twoSteps + "\r\n0\r\n\r\n"
	refused := map[string]string{jobID(901): withLength(len(twoSteps)) + twoSteps, jobID(902): withLength(len(large)) + large, jobID(903): chunked}
	for id, rest := range refused {
		conn, err := net.Dial("tcp4", i.Front)
		s.Assert(err, quicktest.IsNil)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, request("POST", platformer.Prefix+id, rest))
		s.Assert(err, quicktest.IsNil)
		var response fasthttp.Response
		s.Assert(conn.SetReadDeadline(time.Now().Add(answerTime)), quicktest.IsNil)
		s.Assert(response.Read(bufio.NewReader(conn)), quicktest.IsNil)
		s.Assert(response.StatusCode(), quicktest.Equals, fasthttp.StatusServiceUnavailable, quicktest.Commentf("%s: %s", id, response.Body()))
		seconds, err := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
		s.Assert(err, quicktest.IsNil)
		s.Assert(seconds > 0, quicktest.IsTrue)
		s.Assert(response.ConnectionClose(), quicktest.IsTrue)
	}
	s.Assert(budgetUsed(i), quicktest.Equals, float64(smallBudget))
	leave()
	s.eventually("the memory of the crowd is returned", func() bool { return budgetUsed(i) == 0 })
	s.eventually("an ordinary request is served", func() bool {
		status, _ := s.call(i, "POST", jobID(1), twoSteps)
		return status == fasthttp.StatusOK
	})
	s.eventually("the ordinary job is done", func() bool { return s.isDone(i, jobID(1)) })
	s.assertTasksStartedOnce(jobID(1))
	for _, id := range append(slices.Collect(maps.Keys(refused)), jobID(900)) {
		status, body := s.call(i, "GET", id, "")
		s.Assert(status, quicktest.Equals, fasthttp.StatusGone, quicktest.Commentf("%s", body))
		for _, w := range s.Workers {
			for task := range w.StartsByTask() {
				s.Assert(strings.HasPrefix(task, id), quicktest.IsFalse, quicktest.Commentf("%s was started", task))
			}
		}
	}
	select {
	case <-i.Ended():
		t.Fatal("the process has ended")
	default:
	}
}
