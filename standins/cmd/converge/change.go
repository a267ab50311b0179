package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/standins/launcher"
)

const (
	// goal is the longest that a change may take to be in force everywhere.
	goal = 6 * time.Second
	// waitFor is how long a change is waited for, so that one over the goal is
	// still measured.
	waitFor       = 20 * time.Second
	proposeFor    = 20 * time.Second
	readyFor      = 10 * time.Second
	repeatPause   = 100 * time.Millisecond
	cutOffDaemons = 3
)

// scenario is what happens around one change.
type scenario struct {
	name string
	// mode applies to the proposing daemon and to some of the others; for
	// cutOff and stale it applies to others only, since no change can be made
	// through such a daemon.
	mode    mode
	restart bool
	race    bool
}

var scenarios = []scenario{
	{name: "store in order", mode: passing},
	{name: "store answers late", mode: late},
	{name: "answers lost", mode: losing},
	{name: "some daemons cut off from the store", mode: cutOff},
	{name: "some daemons are shown old values", mode: stale},
	{name: "a daemon restarts", mode: passing, restart: true},
	{name: "two operators race", mode: passing, race: true},
	{name: "a daemon restarts, store answers late", mode: late, restart: true},
	{name: "two operators race, answers lost", mode: losing, race: true},
	{name: "a daemon restarts, some are cut off", mode: cutOff, restart: true},
}

func (b *bench) setModes(m mode, chosen func(daemon string) bool) {
	for name, p := range b.proxies {
		if chosen(name) {
			p.set(m)
		}
	}
}

// declare makes the first change.
func (b *bench) declare(ctx context.Context) error {
	revision, err := b.propose(ctx, b.system.Daemons[0], "declare-0", 0, &messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Declare{Declare: b.text}})
	if err != nil {
		return err
	}
	b.revision = revision
	b.report.accepted++
	for _, w := range b.watchers {
		if _, ok := w.wait(ctx, revision); !ok {
			return errors.Errorf("%s has no configuration", w.daemon.Name)
		}
	}
	return nil
}

// change makes one change under a scenario and measures it.
func (b *bench) change(ctx context.Context, i int, s scenario) error {
	order := b.rand.Perm(len(b.system.Daemons))
	proposer, rival, restarted := b.system.Daemons[order[0]], b.system.Daemons[order[1]], b.system.Daemons[order[2]]
	affected := map[string]bool{}
	for _, n := range order[3 : 3+cutOffDaemons] {
		affected[b.system.Daemons[n].Name] = true
	}
	if s.mode != cutOff && s.mode != stale {
		affected[proposer.Name], affected[rival.Name] = true, true
	}
	b.setModes(s.mode, func(d string) bool { return affected[d] })
	defer b.setModes(passing, func(string) bool { return true })
	var others sync.WaitGroup
	defer others.Wait()
	failed := make(chan error, 2)
	if s.restart {
		others.Go(func() { failed <- b.system.Restart(restarted) })
	}
	expected := uint64(0)
	var lost error
	if s.race {
		expected = b.revision
		others.Go(func() {
			_, lost = b.propose(ctx, rival, fmt.Sprintf("rival-%d", i), expected, b.request(i+1))
			failed <- nil
		})
	}
	begun := time.Now()
	revision, err := b.propose(ctx, proposer, fmt.Sprintf("change-%d", i), expected, b.request(i))
	if s.race {
		others.Wait()
		if revision, err = b.settleRace(revision, err, lost); err != nil {
			return err
		}
	} else if err != nil {
		return err
	}
	answered := time.Now()
	if revision != b.revision+1 {
		return errors.Errorf("accepted at revision %d after %d", revision, b.revision)
	}
	b.revision = revision
	b.report.accepted++
	if err := b.await(ctx, s.name, revision, begun, answered); err != nil {
		return err
	}
	if s.restart {
		b.report.restarts++
		return <-failed
	}
	return nil
}

// settleRace checks that exactly one of two changes on the same revision was
// accepted.
func (b *bench) settleRace(revision uint64, mine, rival error) (uint64, error) {
	b.report.races++
	switch {
	case (mine == nil) == (rival == nil):
		return 0, errors.Errorf("two rivals on one revision ended with %v and %v", mine, rival)
	case mine != nil && !strings.Contains(mine.Error(), "refused: "), rival != nil && !strings.Contains(rival.Error(), "refused: "):
		return 0, errors.Errorf("the loser was not refused: %v, %v", mine, rival)
	case mine != nil:
		return b.revision + 1, nil
	}
	return revision, nil
}

// await waits until a revision is in force on every daemon.
func (b *bench) await(ctx context.Context, name string, revision uint64, begun, answered time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, waitFor)
	defer cancel()
	last := begun
	for _, w := range b.watchers {
		at, ok := w.wait(ctx, revision)
		if !ok {
			return errors.Errorf("revision %d is not in force on %s after %s", revision, w.daemon.Name, waitFor)
		}
		if at.After(last) {
			last = at
		}
	}
	b.report.record(name, max(0, last.Sub(answered)), last.Sub(begun))
	return nil
}

// request is the i-th change: presets, domains out and back, and declared work.
func (b *bench) request(i int) *messenger.ChangeConfigRequest {
	domain := b.system.Daemons[len(b.system.Daemons)-1].Domain
	switch i % 4 {
	case 0:
		return &messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Preset{Preset: []string{"peak", "ordinary_day", "maintenance"}[i/4%3]}}
	case 1:
		return &messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_TakeOut{TakeOut: domain}}
	case 2:
		text := strings.Replace(string(b.text), "replicas: 50", fmt.Sprintf("replicas: %d", 50+i), 1)
		return &messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Declare{Declare: []byte(text)}}
	}
	return &messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_BringBack{BringBack: domain}}
}

// propose makes a change and repeats it, with the same id, while its result is
// undecided or the store could not be read.
func (b *bench) propose(ctx context.Context, d *launcher.Daemon, id string, expected uint64, r *messenger.ChangeConfigRequest) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeFor)
	defer cancel()
	client := messenger.NewOperatorProtobufClient("http://"+d.Control.String(), &http.Client{})
	r.ChangeId, r.Operator, r.ExpectedRevision = id, "converge", expected
	for {
		response, err := client.ChangeConfig(ctx, r)
		if err == nil {
			return response.Revision, nil
		}
		var coded twirp.Error
		if !errors.As(err, &coded) || (coded.Code() != twirp.Unknown && coded.Code() != twirp.Unavailable) || ctx.Err() != nil {
			return 0, err
		}
		b.report.count(coded.Code())
		time.Sleep(repeatPause)
	}
}

// waitReady waits until a daemon says that it is ready.
func waitReady(ctx context.Context, control netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, readyFor)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control.String()+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.New(response.Status)
		}
		if ctx.Err() != nil {
			return errors.Wrap(err, "not ready")
		}
		time.Sleep(pollInterval)
	}
}
