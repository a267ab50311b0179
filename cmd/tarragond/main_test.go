package main

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBadSettings guards against a daemon that starts with settings that are
// not accepted, and against a status that makes a supervisor restart it.
func TestBadSettings(t *testing.T) {
	good := []string{"--id=d0", "--domain=east", "--traffic=127.0.0.1:7000", "--control=127.0.0.1:7001", "--store=127.0.0.1:7100"}
	tests := map[string]struct {
		args, environment []string
		want              []string
	}{
		"nothing given": {nil, nil, []string{"--id", "--domain", "--traffic", "--control", "--store"}},
		"unknown flag":  {append(good[:5:5], "--fast"), nil, []string{"unknown long flag '--fast'"}},
		"no flag":       {append(good[:5:5], "now"), nil, []string{"unexpected now"}},
		"contradictory": {append(good[:5:5], "--peer=127.0.0.1:7001"), nil, []string{"--peer: got \"127.0.0.1:7001\", want the control address of another daemon"}},
		"misspelt variable and bad flag": {
			append(good[:5:5], "--drain-timeout=1h"),
			[]string{"TARRAGOND_PEERS=127.0.0.1:1"},
			[]string{"TARRAGOND_PEERS: got \"127.0.0.1:1\", want one of", "--drain-timeout: got \"1h\""},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var output bytes.Buffer
			c.Assert(run(test.args, test.environment, &output), qt.Equals, exitSettings)
			for _, w := range test.want {
				c.Assert(output.String(), qt.Contains, w)
			}
		})
	}
}
