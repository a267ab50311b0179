package main

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBadSettings guards against a daemon that starts with invalid settings, and
// against an exit status after which a supervisor restarts it in vain.
func TestBadSettings(t *testing.T) {
	validArgs := []string{"--id=d0", "--domain=east", "--traffic=127.0.0.1:7000", "--control=127.0.0.1:7001", "--store=127.0.0.1:7100"}
	tests := map[string]struct {
		args, environment []string
		want              []string
	}{
		"no settings":   {nil, nil, []string{"--id", "--domain", "--traffic", "--control", "--store"}},
		"unknown flag":  {append(validArgs[:5:5], "--fast"), nil, []string{"unknown long flag '--fast'"}},
		"not a flag":    {append(validArgs[:5:5], "now"), nil, []string{"unexpected now"}},
		"itself a peer": {append(validArgs[:5:5], "--peer=127.0.0.1:7001"), nil, []string{"--peer: got \"127.0.0.1:7001\", want the control address of another daemon"}},
		"misspelt variable and bad flag": {
			append(validArgs[:5:5], "--drain-timeout=1h"),
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
