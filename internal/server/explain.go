package server

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// The kinds of things that can be explained.
const (
	KindTask   = "task"
	KindJob    = "job"
	KindWorker = "worker"
)

// checkKind checks what a caller wants to have explained.
func checkKind(kind, id string) error {
	kinds := []string{KindTask, KindJob, KindWorker}
	switch {
	case kind != "" && !slices.Contains(kinds, kind):
		return invalid("kind", "got %q, want one of %v", kind, kinds)
	case kind != "" && id == "":
		return invalid("id", "missing, want the name of a %s", kind)
	}
	return nil
}

// explain reduces a shard's report to what concerns one task, job or worker.
func explain(report []byte, kind, id string) ([]byte, error) {
	var r controller.Report
	if err := json.Unmarshal(report, &r); err != nil {
		return nil, errors.Wrap(err, "report")
	}
	data, err := json.Marshal(reduce(r, kind, id))
	return data, errors.Wrap(err, "explanation")
}

func reduce(r controller.Report, kind, id string) controller.Report {
	var worker string
	r.Tasks = slices.DeleteFunc(r.Tasks, func(t scheduler.Task) bool {
		keep := (kind == KindTask && string(t.ID) == id) || (kind == KindJob && t.Class == declarer.ClassBatch && t.Owner == id) || (kind == KindWorker && t.Worker == id)
		if keep && kind == KindTask {
			worker = t.Worker
		}
		return !keep
	})
	r.Jobs = slices.DeleteFunc(r.Jobs, func(j scheduler.Job) bool { return kind != KindJob || j.Job.ID != id })
	r.Workers = slices.DeleteFunc(r.Workers, func(w scheduler.Worker) bool {
		return !(kind == KindWorker && w.ID == id) && !(worker != "" && w.ID == worker)
	})
	return r
}
