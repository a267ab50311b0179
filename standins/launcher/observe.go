package launcher

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/standins/storekeeper"
	"tarragonhead.example/tarragonhead/standins/worker"
)

var client = &http.Client{Timeout: 2 * time.Second}

// Owner returns the daemon that the store records as the owner of a shard, or nil if
// there is none, the store can't be read or the daemon is not part of the system.
func (s *System) Owner(shard string) *Daemon {
	response, err := client.Get("http://" + s.Store.String() + "/v1/kv/owner/" + shard)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var owner controller.Owner
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&owner) != nil {
		return nil
	}
	for _, d := range s.Daemons {
		if d.Name == owner.Member {
			return d
		}
	}
	return nil
}

// AddFault adds a fault to the store.
func (s *System) AddFault(f storekeeper.Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode fault")
	}
	response, err := client.Post("http://"+s.Store.String()+"/v1/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// ClearFaults removes every fault from the store.
func (s *System) ClearFaults() error {
	request, err := http.NewRequest(http.MethodDelete, "http://"+s.Store.String()+"/v1/faults", nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Records returns the records of all workers: one for the start of each attempt and
// one for its end.
func (s *System) Records() ([]worker.Attempt, error) {
	files, err := filepath.Glob(filepath.Join(s.options.Logs, "*.record"))
	if err != nil {
		return nil, err
	}
	var records []worker.Attempt
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		d := json.NewDecoder(f)
		for err == nil {
			var a worker.Attempt
			if err = d.Decode(&a); err == nil {
				records = append(records, a)
			}
		}
		_ = f.Close()
		// The worker may not have finished writing the last line.
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errors.Wrap(err, name)
		}
	}
	return records, nil
}
