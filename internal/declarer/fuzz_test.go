package declarer

import (
	"bytes"
	"testing"
)

// FuzzParse guards against a workload file that makes the parser panic, or that is
// accepted although its configuration or one of its jobs is not.
func FuzzParse(f *testing.F) {
	f.Add([]byte(readWorkload(f, "hooghly.yaml")))
	f.Add([]byte(readWorkload(f, "tricahue.yaml")))
	f.Add([]byte("user: a\nplatform: {domains: [{name: a, workers: 1, entry_instances: 1}]}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		w, err := Parse(data)
		if err != nil {
			return
		}
		hash, _, err := EncodeWork(Work{Worker: w.Platform.Worker, Services: w.Services, Watchers: w.Watchers, Teams: w.Teams})
		if err != nil {
			t.Fatal(err)
		}
		cfg := &Config{
			Revision: 1, Preset: Peak, Worker: w.Platform.Worker, Services: w.Services, Watchers: w.Watchers, Teams: w.Teams, WorkHash: hash,
			Changes: []ChangeNote{{ID: "a", Revision: 1, Operator: "a", Summary: "a"}},
		}
		for _, d := range w.Platform.Domains {
			cfg.Domains = append(cfg.Domains, d.Name)
		}
		if err := CheckConfig(cfg); err != nil {
			t.Fatal(err)
		}
		for _, j := range w.Jobs {
			if err := CheckJob(j, cfg); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// FuzzDecodeHead guards against a stored head that makes the decoder panic, or that
// changes when it is encoded again.
func FuzzDecodeHead(f *testing.F) {
	head, err := EncodeHead(config().Head())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(head)
	f.Add(head[:len(head)/2])
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := DecodeHead(data)
		if err != nil {
			return
		}
		first, err := EncodeHead(h)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeHead(first)
		if err != nil {
			t.Fatalf("head rejected after it was encoded again: %v", err)
		}
		if second, err := EncodeHead(again); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("head changed when it was encoded again: %v", err)
		}
	})
}

// FuzzDecodeWork guards against declared work that makes the decoder panic. It takes
// the expected hash from the HashError, so that the content is decoded.
func FuzzDecodeWork(f *testing.F) {
	_, work, err := EncodeWork(config().Work())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(work)
	f.Add(work[:len(work)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := DecodeWork("", data)
		hash, ok := err.(*HashError)
		if !ok {
			return
		}
		w, err := DecodeWork(hash.Got, data)
		if err != nil {
			return
		}
		if _, _, err := EncodeWork(w); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzDecodeJob guards against a submitted job that makes the daemon panic.
func FuzzDecodeJob(f *testing.F) {
	job, _, err := EncodeJob(BatchJob{ID: "a", Team: "team", Kind: "k", Tasks: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(job)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		j, err := DecodeJob(data)
		if err != nil || CheckJob(j, config()) != nil {
			return
		}
		if _, _, err := EncodeJob(j); err != nil {
			t.Fatal(err)
		}
	})
}
