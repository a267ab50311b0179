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
	// convergenceGoal is the maximum time until an accepted change is in force
	// on every daemon.
	convergenceGoal = 6 * time.Second
	// convergenceTimeout bounds the wait for a change; it is above the goal so
	// that a slower change is still measured.
	convergenceTimeout = 20 * time.Second
	proposeTimeout     = 20 * time.Second
	readyTimeout       = 10 * time.Second
	retryInterval      = 100 * time.Millisecond
	// affectedOthers is the number of daemons under the fault of a scenario that
	// neither propose nor restart.
	affectedOthers = 3
)

// scenario describes the faults and the concurrent events during a change.
type scenario struct {
	name string
	// mode applies to proposer, rival and affectedOthers more daemons.
	// modeDisconnect and modeStale apply to the others only, since no change can
	// be made through a daemon under them.
	mode mode
	// restart restarts a daemon that does not propose.
	restart bool
	// race makes a second daemon propose a change of the same revision.
	race bool
}

var scenarios = []scenario{
	{name: "store healthy", mode: modePass},
	{name: "store answers late", mode: modeSlow},
	{name: "answers lost", mode: modeDropResponses},
	{name: "some daemons cut off from the store", mode: modeDisconnect},
	{name: "some daemons read stale values", mode: modeStale},
	{name: "a daemon restarts", mode: modePass, restart: true},
	{name: "two operators race", mode: modePass, race: true},
	{name: "a daemon restarts, store answers late", mode: modeSlow, restart: true},
	{name: "two operators race, answers lost", mode: modeDropResponses, race: true},
	{name: "a daemon restarts, some are cut off", mode: modeDisconnect, restart: true},
}

// setModes sets the mode of the proxies of the chosen daemons.
func (b *bench) setModes(m mode, chosen func(daemon string) bool) {
	for name, p := range b.proxies {
		if chosen(name) {
			p.setMode(m)
		}
	}
}

// declare makes the first change, which declares the workload, and waits until it
// is in force on every daemon.
func (b *bench) declare(ctx context.Context) error {
	revision, err := b.propose(ctx, b.system.Daemons[0], "declare-0", 0, &messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Declare{Declare: b.workloadText}})
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

// change makes the i-th change under a scenario and records the time until it is
// in force on every daemon.
func (b *bench) change(ctx context.Context, i int, s scenario) error {
	order := b.rand.Perm(len(b.system.Daemons))
	proposer, rival, restarted := b.system.Daemons[order[0]], b.system.Daemons[order[1]], b.system.Daemons[order[2]]
	affected := map[string]bool{}
	for _, n := range order[3 : 3+affectedOthers] {
		affected[b.system.Daemons[n].Name] = true
	}
	if s.mode != modeDisconnect && s.mode != modeStale {
		affected[proposer.Name], affected[rival.Name] = true, true
	}
	b.setModes(s.mode, func(d string) bool { return affected[d] })
	defer b.setModes(modePass, func(string) bool { return true })
	var background sync.WaitGroup
	defer background.Wait()
	results := make(chan error, 2)
	if s.restart {
		background.Go(func() { results <- b.system.Restart(restarted) })
	}
	expected := uint64(0)
	var rivalErr error
	if s.race {
		expected = b.revision
		background.Go(func() {
			_, rivalErr = b.propose(ctx, rival, fmt.Sprintf("rival-%d", i), expected, b.changeRequest(i+1))
			results <- nil
		})
	}
	requested := time.Now()
	revision, err := b.propose(ctx, proposer, fmt.Sprintf("change-%d", i), expected, b.changeRequest(i))
	if s.race {
		background.Wait()
		if revision, err = b.settleRace(revision, err, rivalErr); err != nil {
			return err
		}
	} else if err != nil {
		return err
	}
	answered := time.Now()
	if revision != b.revision+1 {
		return errors.Errorf("change accepted at revision %d, one change after revision %d", revision, b.revision)
	}
	b.revision = revision
	b.report.accepted++
	if err := b.awaitRevision(ctx, s.name, revision, requested, answered); err != nil {
		return err
	}
	if s.restart {
		b.report.restarts++
		return <-results
	}
	return nil
}

// settleRace checks that exactly one of two concurrent changes of the same revision
// was accepted and the other one refused. It returns the accepted revision.
func (b *bench) settleRace(revision uint64, proposerErr, rivalErr error) (uint64, error) {
	b.report.races++
	switch {
	case (proposerErr == nil) == (rivalErr == nil):
		return 0, errors.Errorf("two concurrent changes of one revision ended with %v and %v", proposerErr, rivalErr)
	case proposerErr != nil && !strings.Contains(proposerErr.Error(), "refused: "), rivalErr != nil && !strings.Contains(rivalErr.Error(), "refused: "):
		return 0, errors.Errorf("the change that lost the race was not refused: %v, %v", proposerErr, rivalErr)
	case proposerErr != nil:
		return b.revision + 1, nil
	}
	return revision, nil
}

// awaitRevision waits until a revision is in force on every daemon and records
// the times since the request and since its answer.
func (b *bench) awaitRevision(ctx context.Context, name string, revision uint64, requested, answered time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	last := requested
	for _, w := range b.watchers {
		at, ok := w.wait(ctx, revision)
		if !ok {
			return errors.Errorf("revision %d is not in force on %s after %s", revision, w.daemon.Name, convergenceTimeout)
		}
		if at.After(last) {
			last = at
		}
	}
	b.report.record(name, max(0, last.Sub(answered)), last.Sub(requested))
	return nil
}

// changeRequest returns the i-th change. The changes cycle through setting
// a preset, taking out a failure domain, declaring a workload and bringing the
// domain back.
func (b *bench) changeRequest(i int) *messenger.ChangeConfigRequest {
	domain := b.system.Daemons[len(b.system.Daemons)-1].Domain
	switch i % 4 {
	case 0:
		return &messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Preset{Preset: []string{"peak", "ordinary_day", "maintenance"}[i/4%3]}}
	case 1:
		return &messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_TakeOut{TakeOut: domain}}
	case 2:
		text := strings.Replace(string(b.workloadText), "replicas: 50", fmt.Sprintf("replicas: %d", 50+i), 1)
		return &messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Declare{Declare: []byte(text)}}
	}
	return &messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_BringBack{BringBack: domain}}
}

// propose makes a change through d and returns its revision. It retries with the
// same change id while the result is undecided or the store can't be read.
func (b *bench) propose(ctx context.Context, d *launcher.Daemon, id string, expected uint64, r *messenger.ChangeConfigRequest) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
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
		b.report.countRetry(coded.Code())
		time.Sleep(retryInterval)
	}
}

// waitReady polls the readiness endpoint of a daemon until the daemon is ready.
func waitReady(ctx context.Context, control netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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
