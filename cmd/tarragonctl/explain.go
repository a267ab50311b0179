package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

func (t *tool) addExplainCommands(app *kingpin.Application) {
	group := app.Command("explain", "Explain the state of a task, a job or a worker.")
	examples := map[string]string{"task": "job/recall-check/0", "job": "recall-check", "worker": "howrah-w3"}
	for _, kind := range slices.Sorted(maps.Keys(examples)) {
		var id string
		var asJSON bool
		command := group.Command(kind, fmt.Sprintf("Explain a %s. Example: tarragonctl explain %s %s", kind, kind, examples[kind]))
		command.Arg("id", "Name of the "+kind+".").Required().StringVar(&id)
		command.Flag("json", "Print JSON.").BoolVar(&asJSON)
		command.Action(func(*kingpin.ParseContext) error { return t.explain(kind, id, asJSON) })
	}
}

func (t *tool) explain(kind, id string, asJSON bool) error {
	response, err := t.status(&messenger.InspectRequest{Kind: kind, Id: id})
	if err != nil {
		return err
	}
	found := false
	for _, s := range response.Shards {
		r, err := decodeReport(s.Report)
		if err != nil {
			return err
		}
		if len(r.Tasks)+len(r.Jobs)+len(r.Workers) == 0 {
			continue
		}
		found = true
		if asJSON {
			err = t.printJSON(r)
		} else {
			t.printExplanation(r)
		}
		if err != nil {
			return err
		}
	}
	switch {
	case found:
		return nil
	case len(response.Unanswered) > 0:
		return &unreachableError{fmt.Errorf("no %s %q in the shards that answered; no answer from %v", kind, id, slices.Sorted(maps.Keys(response.Unanswered)))}
	}
	return &refusedError{fmt.Sprintf("no shard has a %s %q", kind, id)}
}

func (t *tool) printExplanation(r controller.Report) {
	fmt.Fprintf(t.out, "shard %s, epoch %d\n", r.Shard, r.Epoch)
	for _, j := range r.Jobs {
		fmt.Fprintf(t.out, "job %s of team %s: %d tasks of %s; %d done, %d failed, %d cancelled\n", j.Job.ID, j.Job.Team, j.Job.Tasks, size(j.Job.Resources), j.Done, j.Failed, j.Cancelled)
	}
	for _, w := range r.Workers {
		fmt.Fprintf(t.out, "worker %s in rack %s is %s: %s reserved of %s, %s free\n", w.ID, w.Rack, w.State, size(w.Reserved), size(w.Capacity), size(w.Capacity.Sub(w.Reserved)))
	}
	for _, task := range r.Tasks {
		t.printTask(task)
	}
}

func (t *tool) printTask(task scheduler.Task) {
	parts := []string{fmt.Sprintf("task %s is %s", task.ID, task.State)}
	if task.Worker != "" {
		parts = append(parts, fmt.Sprintf("on %s with %s reserved", task.Worker, size(task.Reserved)))
	}
	parts = append(parts, fmt.Sprintf("attempt %d, declared %s", task.Attempt, size(task.Declared)))
	if task.Class == declarer.ClassBatch {
		parts = append(parts, fmt.Sprintf("%d evictions, %d failures", task.Evictions, task.Failures))
	}
	if task.Checkpoint != "" {
		parts = append(parts, "resumes from "+task.Checkpoint)
	}
	if task.ToShard != "" {
		parts = append(parts, "is handed over to "+task.ToShard)
	}
	fmt.Fprintln(t.out, strings.Join(parts, ", "))
	if task.Reason != "" {
		fmt.Fprintf(t.out, "  reason: %s\n", task.Reason)
	}
}
