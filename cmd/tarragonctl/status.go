package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/messenger"
)

func (t *tool) addStatusCommands(app *kingpin.Application) {
	var asJSON bool
	status := app.Command("status", "Show daemons, shards, jobs and tasks. Example: tarragonctl status")
	status.Flag("json", "Print JSON.").BoolVar(&asJSON)
	status.Action(func(*kingpin.ParseContext) error {
		response, err := t.status(&messenger.InspectRequest{})
		if err != nil {
			return err
		}
		if asJSON {
			return t.printStatusJSON(response)
		}
		return t.printStatus(response)
	})
}

func (t *tool) status(r *messenger.InspectRequest) (response *messenger.StatusResponse, err error) {
	err = t.read(func(ctx context.Context, client messenger.Operator) (err error) {
		response, err = client.Status(ctx, r)
		return err
	})
	return response, err
}

func (t *tool) printStatusJSON(response *messenger.StatusResponse) error {
	reports := []json.RawMessage{}
	for _, s := range response.Shards {
		reports = append(reports, s.Report)
	}
	return t.printJSON(map[string]any{
		"daemon": response.Daemon, "config_revision": response.ConfigRevision, "members": len(response.Members), "suspected": response.Suspected,
		"unanswered": response.Unanswered, "shards": reports,
	})
}

func (t *tool) printStatus(response *messenger.StatusResponse) error {
	fmt.Fprintf(t.out, "configuration revision %d, %d daemons\n", response.ConfigRevision, len(response.Members))
	for _, m := range response.Members {
		state := ""
		switch {
		case m.Leaving:
			state = ", leaving"
		case slices.Contains(response.Suspected, m.Id):
			state = ", suspected"
		}
		fmt.Fprintf(t.out, "  %s in %s, control %s, traffic %s%s\n", m.Id, m.Domain, m.ControlAddr, m.TrafficAddr, state)
	}
	for _, s := range response.Shards {
		r, err := decodeReport(s.Report)
		if err != nil {
			return err
		}
		states := map[string]int{}
		for _, task := range r.Tasks {
			states[string(task.Class)+" "+string(task.State)]++
		}
		fmt.Fprintf(t.out, "shard %s, epoch %d: %d workers, tasks %v\n", r.Shard, r.Epoch, len(r.Workers), states)
		for _, j := range r.Jobs {
			fmt.Fprintf(t.out, "  job %s: %d of %d done, %d failed, %d cancelled\n", j.Job.ID, j.Done, j.Job.Tasks, j.Failed, j.Cancelled)
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(response.Unanswered)) {
		fmt.Fprintf(t.out, "shard %s: no answer: %s\n", shard, response.Unanswered[shard])
	}
	return nil
}

func decodeReport(data []byte) (controller.Report, error) {
	var r controller.Report
	return r, errors.Wrap(json.Unmarshal(data, &r), "decode report")
}
