package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/messenger"
)

func (t *tool) addJobCommands(app *kingpin.Application) {
	var file, job, id string
	submit := app.Command("submit", "Submit the batch jobs of a workload file. Submitting a job again is safe. Example: tarragonctl submit workloads/hooghly.yaml --job recall-check")
	submit.Arg("file", "Workload file.").Required().ExistingFileVar(&file)
	submit.Flag("job", "Submit only the job with this id.").StringVar(&job)
	submit.Action(func(*kingpin.ParseContext) error { return t.submitFile(file, job) })
	cancel := app.Command("cancel", "Cancel a batch job. Example: tarragonctl cancel recall-check")
	cancel.Arg("id", "Job id.").Required().StringVar(&id)
	cancel.Action(func(*kingpin.ParseContext) error {
		err := t.change(func(ctx context.Context, client messenger.Operator) error {
			_, err := client.CancelJob(ctx, &messenger.CancelRequest{JobId: id})
			return err
		})
		if err == nil {
			fmt.Fprintf(t.out, "job %s cancelled\n", id)
		}
		return err
	})
}

// submitFile submits the jobs of a workload file, or just the job with the id only
// if it is not empty. It continues after a job that is not accepted and returns the
// first error.
func (t *tool) submitFile(file, only string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	w, err := declarer.Parse(data)
	if err != nil {
		return err
	}
	var first error
	found := false
	for _, j := range w.Jobs {
		if only != "" && j.ID != only {
			continue
		}
		found = true
		if err := t.submit(j); err != nil {
			fmt.Fprintf(t.out, "job %s: %s\n", j.ID, formatError(err))
			if first == nil {
				first = errors.WithMessagef(err, "job %s", j.ID)
			}
		}
	}
	if only != "" && !found {
		return &refusedError{fmt.Sprintf("--job: %s has no job %q", file, only)}
	}
	return first
}

func (t *tool) submit(j declarer.BatchJob) error {
	encoded, _, err := declarer.EncodeJob(j)
	if err != nil {
		return err
	}
	var response *messenger.SubmitResponse
	err = t.change(func(ctx context.Context, client messenger.Operator) (err error) {
		response, err = client.SubmitJob(ctx, &messenger.SubmitRequest{Job: encoded})
		return err
	})
	if err != nil {
		return err
	}
	note := ""
	if response.Existed {
		note = " (submitted before)"
	}
	fmt.Fprintf(t.out, "job %s accepted by %s%s\n", j.ID, response.Shard, note)
	return nil
}
