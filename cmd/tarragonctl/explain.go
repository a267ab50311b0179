package main

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

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
	var id string
	submission := group.Command("submission", "Explain what the tasks of a submission on the users' platform wait for. Example: tarragonctl explain submission 5c0e7a21d94b36f8")
	submission.Arg("id", "Id of the submission, 16 hexadecimal digits.").Required().StringVar(&id)
	submission.Action(func(*kingpin.ParseContext) error { return t.explainSubmission(id) })
}

// explainSubmission prints the explanation of any instance, which asks the owner of the
// submission's shard.
func (t *tool) explainSubmission(id string) error {
	status, body, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s/explain/%s", t.daemon, url.PathEscape(id)), t.timeout)
	switch {
	case err != nil:
		return &unreachableError{errors.Wrap(err, t.daemon)}
	case status == fasthttp.StatusNotFound:
		return &refusedError{string(body)}
	case status != fasthttp.StatusOK:
		return &unreachableError{errors.Errorf("%s answered with status %d: %s", t.daemon, status, body)}
	}
	_, err = t.out.Write(body)
	return err
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
		if len(r.Tasks)+len(r.Jobs)+len(r.Workers)+len(r.Explanations) == 0 {
			continue
		}
		found = true
		if asJSON {
			err = t.printJSON(r)
		} else {
			t.printExplanation(kind, id, r)
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

func (t *tool) printExplanation(kind, id string, r controller.Report) {
	fmt.Fprintf(t.out, "shard %s, epoch %d\n", r.Shard, r.Epoch)
	for _, j := range r.Jobs {
		t.printJob(j)
	}
	for _, w := range r.Workers {
		fmt.Fprintf(t.out, "worker %s in rack %s is %s: %s reserved of %s, %s free\n", w.ID, w.Rack, w.State, formatResources(w.Reserved), formatResources(w.Capacity), formatResources(w.Capacity.Sub(w.Reserved)))
	}
	for _, task := range r.Tasks {
		t.printTask(task)
	}
	if kind == "task" && len(r.Tasks) == 0 {
		fmt.Fprintf(t.out, "task %s has no attempt in this shard: it is waiting, has ended or was handed over; see its job\n", id)
	}
	if len(r.Explanations) > 0 {
		fmt.Fprintln(t.out, "decisions, latest first:")
	}
	for _, e := range r.Explanations {
		t.printDecision(e)
	}
}

func (t *tool) printJob(j scheduler.Job) {
	totals := j.Totals()
	fmt.Fprintf(t.out, "job %s of team %s: %d tasks of %s; %d done, %d failed, %d cancelled, %d unstarted in this shard, %d handed over\n",
		j.Job.ID, j.Job.Team, j.Job.Tasks, formatResources(j.Job.Resources), totals.Done, totals.Failed, totals.Cancelled, j.Unstarted.Len(), j.HandedOver)
	if j.Parked != "" {
		fmt.Fprintf(t.out, "  parked: %s\n", j.Parked)
	}
	if len(j.FailedOn) > 0 {
		fmt.Fprintf(t.out, "  failed on: %s\n", strings.Join(j.FailedOn, ", "))
	}
}

// printDecision prints a decision with the figures that it was based on.
func (t *tool) printDecision(e scheduler.Explanation) {
	text := fmt.Sprintf("  %s %s", e.At.UTC().Format("2006-01-02 15:04:05.000"), e.Action)
	if e.Task != "" {
		text += " " + string(e.Task)
	}
	if e.Worker != "" {
		text += " on " + e.Worker
	}
	text += ": " + e.Reason
	var figures []string
	for _, f := range e.Figures {
		figures = append(figures, fmt.Sprintf("%s %.4g", f.Name, f.Value))
	}
	if len(figures) > 0 {
		text += " (" + strings.Join(figures, ", ") + ")"
	}
	fmt.Fprintln(t.out, text)
}

func (t *tool) printTask(task scheduler.Task) {
	parts := []string{fmt.Sprintf("task %s is %s", task.ID, task.State)}
	if task.Worker != "" {
		parts = append(parts, fmt.Sprintf("on %s with %s reserved", task.Worker, formatResources(task.Reserved)))
	}
	parts = append(parts, fmt.Sprintf("attempt %d, declared %s", task.Attempt, formatResources(task.Declared)))
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
