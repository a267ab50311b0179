package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The small deployment, as the site tricahue-cluster has it.
const (
	maxHold      = 10 * time.Second
	heartbeatMs  = 1100
	host         = "front.example"
	service      = "ordenes"
	quick, batch = "/quick/", "/batch/"
	watch        = "/watch/"
)

// bed is a small deployment of separate processes on loopback addresses.
type bed struct {
	dir, binary, self string
	store             *store
	storeAddr         string
	platformAddr      string
	record            *os.File
	began             time.Time

	// proxy is nil if the runners are reached directly.
	proxy *proxy

	mu      sync.Mutex
	fronts  []*front
	runners map[string]*hosted
	seen    map[string]time.Time
}

// front is a tarragond process.
type front struct {
	name, front, ready, control string
	command                     *exec.Cmd
}

// hosted is a place at which runners live one after the other.
type hosted struct {
	place, addr, zone, rack, kind string
	// entry is the address that the runners report: that of a proxy, or their own.
	entry   string
	lives   int
	id      string
	command *exec.Cmd
}

// usedAddrs has the addresses that freeAddr has returned.
var usedAddrs = map[string]bool{}

// freeAddr returns a free address on a loopback address of this process, so that no
// connection of another one takes its port while nobody listens there.
func freeAddr() string {
	pid := os.Getpid()
	for {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, 1+pid&127))
		if err != nil {
			panic(err)
		}
		addr := l.Addr().String()
		_ = l.Close()
		if !usedAddrs[addr] {
			usedAddrs[addr] = true
			return addr
		}
	}
}

func newBed(dir, recordPath string) (*bed, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, binary: os.Getenv("TARRAGOND"), self: self, store: newStore(), runners: map[string]*hosted{}, seen: map[string]time.Time{}, began: time.Now()}
	if b.record, err = os.OpenFile(recordPath, os.O_APPEND|os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, b.store) }()
	go b.store.run()
	p, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.platformAddr = p.Addr().String()
	go func() { _ = http.Serve(p, http.HandlerFunc(b.serveRunners)) }()
	go b.expireRunners()
	return b, nil
}

func (b *bed) note(format string, args ...any) {
	_, _ = b.record.WriteString(time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...) + "\n")
}

// serveRunners takes the reports of runners and writes their entries.
func (b *bed) serveRunners(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.URL.Query().Get("id")
	b.mu.Lock()
	b.seen[id] = time.Now()
	b.mu.Unlock()
	b.store.Put("servers/"+id, body)
	w.WriteHeader(http.StatusOK)
}

// expireRunners removes an entry after three intervals of silence.
func (b *bed) expireRunners() {
	for range time.Tick(50 * time.Millisecond) {
		b.mu.Lock()
		var silent []string
		for id, at := range b.seen {
			if time.Since(at) > 3*heartbeatMs*time.Millisecond {
				silent = append(silent, id)
				delete(b.seen, id)
			}
		}
		b.mu.Unlock()
		for _, id := range silent {
			b.store.Remove("servers/" + id)
		}
	}
}

// putConfig writes a version of the operator's config.
func (b *bed) putConfig(version int) {
	route := func(name, prefix string, priority, attempts int, stretch, slo float64) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "sloMs": slo,
			"priority": priority, "service": service, "attempts": attempts, "stretchFactor": stretch,
		}
	}
	config, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("q-quick", quick, 0, 2, 1.5, 250), route("q-batch", batch, 2, 3, 2, 1000), route("q-watch", watch, 0, 2, 2.2, 2500)},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "enforcesCapacity": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	b.store.Put("op/config", config)
	b.note("operator: config %d written", version)
}

func (b *bed) addFront(name, zone string, seeds []string) *front {
	f := &front{name: name, front: freeAddr(), ready: freeAddr(), control: freeAddr()}
	b.fronts = append(b.fronts, f)
	if len(seeds) == 0 {
		seeds = []string{f.control}
	}
	text := fmt.Sprintf(`nodeName=%s
role=scheduler
machineClass=edge
serves=edge,control
ip=127.0.0.1
zone=%s
region=valle-central
listen.front=%s
listen.readiness=%s
listen.control=%s
seeds=%s
bootstrap=true
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
discovery=platform
entry=vip
heartbeatMs=%d
contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing
bounds.stableWindowMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.evacuateMs=5000
bounds.maxHoldMs=%d
bounds.stopMs=400
bounds.gangWaitMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteSlowdown=3
bounds.checkpointS=1
bounds.restoreMs=600
bounds.paceMs=100
bounds.violationMs=4000
controlMode=rpc
platform.addr=%s
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.minTtlMs=1000
`, name, zone, f.front, f.ready, f.control, strings.Join(seeds, ","), heartbeatMs, maxHold.Milliseconds(), b.storeAddr)
	if err := os.WriteFile(filepath.Join(b.dir, name+".conf"), []byte(text), 0o600); err != nil {
		panic(err)
	}
	return f
}

// startFront starts the process of a front, as the deploy file says.
func (b *bed) startFront(f *front) error {
	log, err := os.OpenFile(filepath.Join(b.dir, f.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	f.command = exec.Command(b.binary, "platform")
	f.command.Dir = os.Getenv("ROOT")
	f.command.Env = []string{"PATH=" + os.Getenv("PATH"), "TARRAGONHEAD_SETTINGS=" + filepath.Join(b.dir, f.name+".conf")}
	f.command.Stdout, f.command.Stderr = log, log
	b.note("platform: %s starts", f.name)
	return f.command.Start()
}

// kill ends a process and waits for it.
func kill(c *exec.Cmd) {
	if c != nil && c.Process != nil && c.ProcessState == nil {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}

// addRunner adds a place for runners.
func (b *bed) addRunner(place, zone, rack, kind string) *hosted {
	h := &hosted{place: place, addr: freeAddr(), zone: zone, rack: rack, kind: kind}
	h.entry = h.addr
	if b.proxy != nil {
		h.entry = b.proxy.listen(h)
	}
	b.runners[place] = h
	return h
}

// startRunner starts the next life of a runner, which has an id of its own.
func (b *bed) startRunner(h *hosted) error {
	h.lives++
	h.id = fmt.Sprintf("i-%s-%d", h.place, h.lives)
	return b.startLife(h)
}

// restartRunner starts the next life of a runner under the id that it had.
func (b *bed) restartRunner(h *hosted) error {
	h.lives++
	return b.startLife(h)
}

func (b *bed) startLife(h *hosted) error {
	h.command = exec.Command(b.self, "runner", "-id", h.id, "-service", service, "-zone", h.zone, "-rack", h.rack, "-kind", h.kind,
		"-addr", h.addr, "-entry", h.entry, "-name", fmt.Sprintf("%s, life %d", h.id, h.lives), "-platform", b.platformAddr, "-record", b.record.Name())
	h.command.Stderr = os.Stderr
	return h.command.Start()
}

// stop ends all processes that the bed has started.
func (b *bed) stop() {
	for _, f := range b.fronts {
		kill(f.command)
	}
	for _, h := range b.runners {
		kill(h.command)
	}
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// call sends a requester's call. The status is 0 if there was no answer.
func (b *bed) call(f *front, method, path, body string, timeout time.Duration) (int, map[string]any) {
	r, _ := http.NewRequest(method, "http://"+f.front+path, bytes.NewReader([]byte(body)))
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Tarragonhead-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	c := *client
	c.Timeout = timeout
	response, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	var out map[string]any
	_ = json.NewDecoder(response.Body).Decode(&out)
	return response.StatusCode, out
}

// setDelay makes the store answer later by d.
func (b *bed) setDelay(d time.Duration) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.delay = d
	b.note("trouble: the store's answers take %s longer", d)
}

// submit hands a submission in until it is accepted, as a requester with retries.
func (b *bed) submit(n int, path, body string, tries int) bool {
	for try := range tries {
		f := b.fronts[(n+try)%len(b.fronts)]
		status, _ := b.call(f, http.MethodPost, path, body, 3*time.Second)
		b.note("requester: POST %s at %s, %d bytes: %d", path, f.name, len(body), status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for the state of a submission until there is an answer.
func (b *bed) state(n int, path string) (int, string) {
	status, out := 0, map[string]any(nil)
	for try := range 4 {
		f := b.fronts[(n+try)%len(b.fronts)]
		status, out = b.call(f, http.MethodGet, path, "", 3*time.Second)
		b.note("requester: GET %s at %s: %d %v", path, f.name, status, out["state"])
		if status == http.StatusOK || status == http.StatusGone {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	text, _ := out["state"].(string)
	return status, text
}

// waitReady waits until all fronts report that they are ready.
func (b *bed) waitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for _, f := range b.fronts {
		for {
			response, err := client.Get("http://" + f.ready + "/v1/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// recorded returns the lines of the record that contain all of the texts.
func (b *bed) recorded(texts ...string) []string {
	data, _ := os.ReadFile(b.record.Name())
	var list []string
lines:
	for line := range strings.Lines(string(data)) {
		for _, t := range texts {
			if !strings.Contains(line, t) {
				continue lines
			}
		}
		list = append(list, strings.TrimSpace(line))
	}
	return list
}
