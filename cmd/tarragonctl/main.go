// Command tarragonctl is the tool of operators and callers.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/messenger"
)

// tool holds what the commands share.
type tool struct {
	daemon   string
	operator string
	timeout  time.Duration
	out      io.Writer
}

func (t *tool) client() messenger.Operator {
	return messenger.NewOperatorProtobufClient("http://"+t.daemon, &http.Client{Timeout: t.timeout})
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "tarragonctl:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	t := &tool{out: out}
	app := kingpin.New("tarragonctl", "Operates tarragonhead and sends requests through it.")
	app.DefaultEnvars()
	app.Flag("daemon", "Control address of a daemon.").Default("127.0.0.1:7001").StringVar(&t.daemon)
	app.Flag("operator", "Name that a change is recorded under.").Default(userName()).StringVar(&t.operator)
	app.Flag("timeout", "How long to wait for an answer.").Default("10s").DurationVar(&t.timeout)
	t.addConfigCommands(app)
	t.addJobCommands(app)
	t.addStatusCommands(app)
	_, err := app.Parse(args)
	return err
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

func (t *tool) addConfigCommands(app *kingpin.Application) {
	var expected uint64
	change := func(r *messenger.ChangeConfigRequest) error {
		r.ChangeId, r.Operator, r.ExpectedRevision = uuid.NewString(), t.operator, expected
		ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
		defer cancel()
		response, err := t.client().ChangeConfig(ctx, r)
		if err != nil {
			return err
		}
		fmt.Fprintf(t.out, "accepted at revision %d\n", response.Revision)
		return nil
	}
	var file, preset, domain string
	declare := app.Command("declare", "Declare the services, watchers and teams of a workload file.")
	declare.Flag("expected", "Revision that the change was made on; another one refuses it.").Uint64Var(&expected)
	declare.Arg("file", "Workload file.").Required().ExistingFileVar(&file)
	declare.Action(func(*kingpin.ParseContext) error {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if _, err := declarer.Parse(data); err != nil {
			return err
		}
		return change(&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Declare{Declare: data}})
	})
	set := app.Command("preset", "Switch the preset.")
	set.Flag("expected", "Revision that the change was made on; another one refuses it.").Uint64Var(&expected)
	set.Arg("preset", "Preset to switch to.").Required().EnumVar(&preset, string(declarer.OrdinaryDay), string(declarer.Peak), string(declarer.Maintenance))
	set.Action(func(*kingpin.ParseContext) error {
		return change(&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Preset{Preset: preset}})
	})
	domains := app.Command("domain", "Take failure domains out of service and bring them back.")
	takeOut := domains.Command("out", "Take a failure domain out of service.")
	takeOut.Arg("domain", "Failure domain.").Required().StringVar(&domain)
	takeOut.Action(func(*kingpin.ParseContext) error {
		return change(&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_TakeOut{TakeOut: domain}})
	})
	bringBack := domains.Command("in", "Bring a failure domain back into service.")
	bringBack.Arg("domain", "Failure domain.").Required().StringVar(&domain)
	bringBack.Action(func(*kingpin.ParseContext) error {
		return change(&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_BringBack{BringBack: domain}})
	})
}

func (t *tool) addJobCommands(app *kingpin.Application) {
	var file, id string
	submit := app.Command("submit", "Submit the batch jobs of a workload file.")
	submit.Arg("file", "Workload file.").Required().ExistingFileVar(&file)
	submit.Flag("job", "Submit only the job with this id.").StringVar(&id)
	submit.Action(func(*kingpin.ParseContext) error {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		w, err := declarer.Parse(data)
		if err != nil {
			return err
		}
		for _, j := range w.Jobs {
			if id != "" && j.ID != id {
				continue
			}
			if err := t.submit(j); err != nil {
				return err
			}
		}
		return nil
	})
	cancel := app.Command("cancel", "Cancel a batch job.")
	cancel.Arg("id", "Job id.").Required().StringVar(&id)
	cancel.Action(func(*kingpin.ParseContext) error {
		ctx, stop := context.WithTimeout(context.Background(), t.timeout)
		defer stop()
		if _, err := t.client().CancelJob(ctx, &messenger.CancelRequest{JobId: id}); err != nil {
			return err
		}
		fmt.Fprintf(t.out, "job %s cancelled\n", id)
		return nil
	})
}

func (t *tool) submit(j declarer.BatchJob) error {
	encoded, err := cbor.Marshal(j)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
	defer cancel()
	response, err := t.client().SubmitJob(ctx, &messenger.SubmitRequest{Job: encoded})
	if err != nil {
		return fmt.Errorf("job %s: %w", j.ID, err)
	}
	note := ""
	if response.Existed {
		note = " (submitted before)"
	}
	fmt.Fprintf(t.out, "job %s accepted by %s%s\n", j.ID, response.Shard, note)
	return nil
}

func (t *tool) addStatusCommands(app *kingpin.Application) {
	var asJSON bool
	status := app.Command("status", "Show daemons, shards, jobs and tasks.")
	status.Flag("json", "Print JSON.").BoolVar(&asJSON)
	status.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
		defer cancel()
		response, err := t.client().Status(ctx, &messenger.InspectRequest{})
		if err != nil {
			return err
		}
		if asJSON {
			return t.printJSON(response)
		}
		return t.printStatus(response)
	})
}

func (t *tool) printJSON(response *messenger.StatusResponse) error {
	reports := []json.RawMessage{}
	for _, s := range response.Shards {
		reports = append(reports, s.Report)
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetIndent("", "  ")
	if err := e.Encode(map[string]any{"config_revision": response.ConfigRevision, "members": len(response.Members), "shards": reports}); err != nil {
		return err
	}
	_, err := b.WriteTo(t.out)
	return err
}

func (t *tool) printStatus(response *messenger.StatusResponse) error {
	fmt.Fprintf(t.out, "configuration revision %d, %d daemons\n", response.ConfigRevision, len(response.Members))
	for _, s := range response.Shards {
		var r controller.Report
		if err := json.Unmarshal(s.Report, &r); err != nil {
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
	return nil
}
