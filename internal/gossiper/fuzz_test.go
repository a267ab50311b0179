package gossiper

import (
	"io"
	"math/rand/v2"
	"testing"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

func encode(d *messenger.Digest) []byte {
	data, err := proto.Marshal(d)
	if err != nil {
		panic(err)
	}
	return data
}

// answerEncoded answers an encoded digest twice and checks the view.
func answerEncoded(t *testing.T, data []byte) {
	var d messenger.Digest
	if proto.Unmarshal(data, &d) != nil {
		return
	}
	g := New(Options{
		Self: member(0), Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Rand: rand.New(rand.NewPCG(1, 1)),
		AddVersions: func(_, _ *messenger.Digest) {}, Received: func(*messenger.Digest, string) {}, Preferred: func() string { return "" },
	})
	for range 2 {
		answer := g.Answer(&d)
		if len(answer.Records) != len(answer.Heartbeats) {
			t.Fatalf("%d records and %d heartbeats", len(answer.Records), len(answer.Heartbeats))
		}
		if view := g.View(); len(view) != len(answer.Records) {
			t.Fatalf("%d members in the view, %d in the answer", len(view), len(answer.Records))
		}
	}
	if g.Find(member(0).Id) == nil || len(g.selectPeers()) > fanOut+maxProbes+2 {
		t.Fatal("the digest corrupted the view")
	}
}
