package measurer

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// WriteWorkload writes a workload as a YAML file.
func WriteWorkload(file string, w declarer.Workload) error {
	data, err := yaml.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "encode workload")
	}
	return os.WriteFile(file, data, 0o644)
}

// WithJob returns w with one batch job, of small tasks, as its only job.
func WithJob(w declarer.Workload, id string, tasks int, runTime time.Duration) declarer.Workload {
	w.Jobs = []declarer.BatchJob{{
		ID: id, Team: "team", Kind: "small", Tasks: tasks, RunTime: runTime,
		Resources: declarer.Resources{MilliCPU: 1000, MemoryMB: 1000},
	}}
	return w
}

// WithTeams returns w with n teams, each with one service without replicas, so
// that only the size of the configuration grows with n.
func WithTeams(w declarer.Workload, n int) declarer.Workload {
	w.Teams, w.Services = nil, nil
	for i := range n {
		team := fmt.Sprintf("team-%03d", i)
		w.Teams = append(w.Teams, declarer.Team{Name: team, Weight: 1, Quota: declarer.Resources{MilliCPU: 1_000_000_000, MemoryMB: 1_000_000_000}})
		w.Services = append(w.Services, declarer.Service{Name: "service-" + team, Team: team, Resources: declarer.Resources{MilliCPU: 8000, MemoryMB: 16_000}})
	}
	return w
}
