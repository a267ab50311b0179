package server

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// The kinds of objects that can be explained.
const (
	KindTask   = "task"
	KindJob    = "job"
	KindWorker = "worker"
)

// checkKind checks the kind and the id of the object to explain. An empty kind
// asks for no explanation.
func checkKind(kind, id string) error {
	kinds := []string{KindTask, KindJob, KindWorker}
	switch {
	case kind != "" && !slices.Contains(kinds, kind):
		return invalidField("kind", "got %q, want one of %v", kind, kinds)
	case kind != "" && id == "":
		return invalidField("id", "missing, want the name of a %s", kind)
	}
	return nil
}

// maxExplanations limits the explanations in one response.
const maxExplanations = 50

// explain returns a report, in JSON, about one task, job or worker of a shard.
func (d *Server) explain(ctx context.Context, r *messenger.InspectRequest) ([]byte, error) {
	q := scheduler.Query{}
	switch r.Kind {
	case KindWorker:
		q.Worker = r.Id
	case KindJob:
		q.Job = r.Id
	case KindTask:
		// Decisions about a whole job are also about its tasks.
		q.Job = jobOf(r.Id)
		if q.Job == "" {
			q.Task = scheduler.TaskID(r.Id)
		}
	}
	report, err := d.controller.Explain(ctx, r.Shard, q)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(filterReport(report, r.Kind, r.Id))
	return data, errors.Wrap(err, "encode explanation")
}

// jobOf returns the id of a task's job, "" if the task belongs to none.
func jobOf(task string) string {
	rest, isJob := strings.CutPrefix(task, "job/")
	id, _, hasNumber := strings.Cut(rest, "/")
	if !isJob || !hasNumber {
		return ""
	}
	return id
}

// filterReport removes everything from a report that does not concern the task,
// job or worker. A task is reported with its job and its worker.
func filterReport(r controller.Report, kind, id string) controller.Report {
	job, worker := "", ""
	switch kind {
	case KindTask:
		job = jobOf(id)
	case KindJob:
		job = id
	case KindWorker:
		worker = id
	}
	r.Tasks = slices.DeleteFunc(r.Tasks, func(t scheduler.Task) bool {
		switch kind {
		case KindTask:
			if string(t.ID) == id {
				worker = t.Worker
			}
			return string(t.ID) != id
		case KindJob:
			return t.Class != declarer.ClassBatch || t.Owner != id
		}
		return t.Worker != id
	})
	r.Jobs = slices.DeleteFunc(r.Jobs, func(j scheduler.Job) bool { return job == "" || j.Job.ID != job })
	r.Workers = slices.DeleteFunc(r.Workers, func(w scheduler.Worker) bool { return worker == "" || w.ID != worker })
	r.Explanations = slices.DeleteFunc(r.Explanations, func(e scheduler.Explanation) bool {
		return kind == KindTask && e.Task != "" && string(e.Task) != id
	})
	r.Explanations = r.Explanations[:min(len(r.Explanations), maxExplanations)]
	return r
}
