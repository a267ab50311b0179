package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestExplainSubmission guards against an explanation that isn't printed, and against an
// unknown submission or an instance without an answer that look like success.
func TestExplainSubmission(t *testing.T) {
	for name, tt := range map[string]struct {
		code       int
		body       string
		wantStatus int
		wantOutput string
	}{
		"known":      {http.StatusOK, "waits for the cap of organisation o\n", 0, "waits for the cap of organisation o\n"},
		"unknown":    {http.StatusNotFound, "no job", 2, ""},
		"not now":    {http.StatusServiceUnavailable, "the owner can't be reached", 4, ""},
		"unexpected": {http.StatusBadGateway, "", 4, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			path := ""
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				path = r.URL.Path
				w.WriteHeader(tt.code)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer s.Close()
			var out, errOut strings.Builder
			status := run([]string{"--daemon", strings.TrimPrefix(s.URL, "http://"), "explain", "submission", "5c0e7a21d94b36f8"}, &out, &errOut)
			c.Assert(status, qt.Equals, tt.wantStatus, qt.Commentf("%s", errOut.String()))
			c.Assert(out.String(), qt.Equals, tt.wantOutput)
			c.Assert(path, qt.Equals, "/explain/5c0e7a21d94b36f8")
		})
	}
}
