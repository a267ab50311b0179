package launcher

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
)

// listInterval is the time between renewals of a daemon's entry in the platform's
// list of instances, where an entry expires after 15 s.
const listInterval = 3 * time.Second

// keepListed keeps a daemon in the platform's list of instances while the process p
// runs.
func (s *System) keepListed(d *Daemon, p *Process) {
	body, err := json.Marshal(dispatcher.Instance{ID: p.Name, Domain: d.Domain, Role: dispatcher.RoleDaemon, Addr: d.Control})
	if err != nil {
		panic(err)
	}
	client := &http.Client{Timeout: time.Second}
	for {
		response, err := client.Post("http://"+s.Store.String()+"/v1/instances", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		if p.Wait(listInterval) {
			return
		}
	}
}
