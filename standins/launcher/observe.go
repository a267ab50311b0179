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

// Owner returns the daemon that the store has as a shard's owner, nil if none
// or if it is not known.
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

// AddFault switches a fault of the store on.
func (s *System) AddFault(f storekeeper.Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	response, err := client.Post("http://"+s.Store.String()+"/v1/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// ClearFaults switches every fault of the store off.
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

// Records returns what every worker recorded.
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
		// The last line may be half written.
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errors.Wrap(err, name)
		}
	}
	return records, nil
}
