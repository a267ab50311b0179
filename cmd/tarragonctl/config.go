package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/messenger"
)

// configChange holds the flags that are common to the commands that change the
// configuration.
type configChange struct {
	tool     *tool
	expected uint64
	id       string
}

// newChangeID returns a random id. It is short because the configuration, which
// every owner reads twice a second, contains the ids of the last 16 changes.
func newChangeID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *configChange) addFlags(command *kingpin.CmdClause) {
	command.Flag("expected", "Revision that the change is based on; the change is refused if the configuration has another revision. 0 accepts any revision.").Default("0").Uint64Var(&c.expected)
	command.Flag("change-id", "Id of the change; a repeat with the same id takes effect only once. A random id if it is not given.").StringVar(&c.id)
}

// propose sends the change and prints the accepted revision. The error is an
// undecidedError if the change may have been accepted.
func (c *configChange) propose(r *messenger.ChangeConfigRequest) error {
	if c.id == "" {
		c.id = newChangeID()
	}
	r.ChangeId, r.Operator, r.ExpectedRevision = c.id, c.tool.operator, c.expected
	var revision uint64
	err := c.tool.change(func(ctx context.Context, client messenger.Operator) error {
		response, err := client.ChangeConfig(ctx, r)
		if err == nil {
			revision = response.Revision
		}
		return err
	})
	if isUndecided(err) {
		return &undecidedError{errors.Errorf("%s\nrepeat the command with --change-id %s", formatError(errors.Cause(err)), c.id)}
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.tool.out, "accepted at revision %d, change %s\n", revision, c.id)
	return nil
}

func (t *tool) addConfigCommands(app *kingpin.Application) {
	c := &configChange{tool: t}
	var file, preset, domain string
	declare := app.Command("declare", "Declare the services, watchers and teams of a workload file. Example: tarragonctl declare workloads/hooghly.yaml")
	c.addFlags(declare)
	declare.Arg("file", "Workload file.").Required().ExistingFileVar(&file)
	declare.Action(func(*kingpin.ParseContext) error {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if _, err := declarer.Parse(data); err != nil {
			return err
		}
		return c.propose(&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Declare{Declare: data}})
	})
	set := app.Command("preset", "Switch the preset. Example: tarragonctl preset peak")
	c.addFlags(set)
	set.Arg("preset", "Preset to switch to: ordinary_day, peak or maintenance.").Required().EnumVar(&preset, string(declarer.OrdinaryDay), string(declarer.Peak), string(declarer.Maintenance))
	set.Action(func(*kingpin.ParseContext) error {
		return c.propose(&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Preset{Preset: preset}})
	})
	domains := app.Command("domain", "Take failure domains out of service and bring them back.")
	out := domains.Command("out", "Take a failure domain out of service. Example: tarragonctl domain out howrah")
	c.addFlags(out)
	out.Arg("domain", "Failure domain.").Required().StringVar(&domain)
	out.Action(func(*kingpin.ParseContext) error {
		return c.propose(&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_TakeOut{TakeOut: domain}})
	})
	in := domains.Command("in", "Bring a failure domain back into service. Example: tarragonctl domain in howrah")
	c.addFlags(in)
	in.Arg("domain", "Failure domain.").Required().StringVar(&domain)
	in.Action(func(*kingpin.ParseContext) error {
		return c.propose(&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_BringBack{BringBack: domain}})
	})
	t.addShowCommand(app)
}

func (t *tool) addShowCommand(app *kingpin.Application) {
	var asJSON bool
	group := app.Command("config", "Show the configuration.")
	show := group.Command("show", "Show the configuration that the daemon has in force and the last accepted changes. Example: tarragonctl config show --json")
	show.Flag("json", "Print JSON.").BoolVar(&asJSON)
	show.Action(func(*kingpin.ParseContext) error {
		c, err := t.config()
		if err != nil {
			return err
		}
		if asJSON {
			return t.printJSON(c)
		}
		return t.printConfig(c)
	})
}

// config fetches the configuration that the daemon has in force.
func (t *tool) config() (*declarer.Config, error) {
	var doc *messenger.ConfigDocument
	err := t.read(func(ctx context.Context, client messenger.Operator) (err error) {
		doc, err = client.GetConfig(ctx, &messenger.FetchConfigRequest{})
		return err
	})
	if err != nil {
		return nil, err
	}
	if len(doc.Head) == 0 {
		return nil, &unreachableError{errors.New("the daemon has no configuration: none was declared, or the daemon can reach neither the store nor a peer")}
	}
	h, err := declarer.DecodeHead(doc.Head)
	if err != nil {
		return nil, err
	}
	var w declarer.Work
	if h.WorkHash != "" {
		if w, err = declarer.DecodeWork(h.WorkHash, doc.Work); err != nil {
			return nil, err
		}
	}
	return declarer.Assemble(h, w), nil
}

func (t *tool) printConfig(c *declarer.Config) error {
	out := "none"
	if len(c.DomainsOut) > 0 {
		out = strings.Join(c.DomainsOut, ", ")
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "revision\t%d\npreset\t%s\ndomains\t%s\nout of service\t%s\ndeclared work\t%.12s\n", c.Revision, c.Preset, strings.Join(c.Domains, ", "), out, c.WorkHash)
	for _, s := range c.Services {
		fmt.Fprintf(w, "service %s\t%d replicas of %s, team %s\n", s.Name, s.Replicas, formatResources(s.Resources), s.Team)
	}
	for _, s := range c.Watchers {
		fmt.Fprintf(w, "watcher %s\t%s, team %s\n", s.Name, formatResources(s.Resources), s.Team)
	}
	for _, m := range c.Teams {
		fmt.Fprintf(w, "team %s\tquota %s, weight %d\n", m.Name, formatResources(m.Quota), m.Weight)
	}
	fmt.Fprintln(w, "\naccepted changes, latest first:")
	for i := len(c.Changes) - 1; i >= 0; i-- {
		n := c.Changes[i]
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", n.Revision, n.At.Format("2006-01-02 15:04:05"), n.Operator, n.Summary, n.ID)
	}
	return w.Flush()
}

// formatResources returns r as shown to operators, such as "2.5 cores, 1000 MB".
func formatResources(r declarer.Resources) string {
	text := fmt.Sprintf("%g cores, %d MB", float64(r.MilliCPU)/1000, r.MemoryMB)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return text
}
