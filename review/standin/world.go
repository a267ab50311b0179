package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

const (
	serviceName = "huvo11a"
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	zoneA       = "lampa"
)

// world is a small deployment: a store, workers and processes of the system.
type world struct {
	record    *record
	store     *store
	machines  []*machine
	instances []*instance
	root, dir string
	client    *http.Client
	storeAddr string
	// kindOf has the kinds of machines other than "a", by number.
	kindOf map[int]string

	mu     sync.Mutex
	starts []startNote
	ends   []endNote
}

type startNote struct {
	at      time.Time
	task    string
	attempt int
	worker  string
}

type endNote struct {
	at      time.Time
	task    string
	attempt int
	how     string
}

func (w *world) noteStart(x *worker, r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, startNote{r.began, r.task, r.attempt, x.machine.name})
}

func (w *world) noteEnd(_ *worker, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, endNote{time.Now(), r.task, r.attempt, how})
}

// startsOf returns the starts of the tasks of a job.
func (w *world) startsOf(job string) []startNote {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []startNote
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

func (w *world) endsOf(job string) []endNote {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []endNote
	for _, s := range w.ends {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

// freeAddress returns a loopback address with a free port below those that the system
// gives to outgoing channels.
func freeAddress() (string, error) {
	for range 1000 {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	return "", errors.New("no free port")
}

func newWorld(caseDir, root string) (*world, error) {
	r, err := newRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, store: newStore(), root: root, dir: dir, kindOf: map[int]string{}, client: &http.Client{Timeout: 5 * time.Second}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	return w, nil
}

// putConfig writes a configuration with one queue.
func (w *world) putConfig(version int) {
	w.store.put("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-3hwrr6x", "host": routeHost, "prefix": routePrefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"sloMs": 1000, "priority": 0, "service": serviceName, "attempts": 2, "stretchFactor": 2.0,
		}},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "proto": "h1", "tls": false, "enforcesCapacity": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func (w *world) addMachine(cpu int64) (*machine, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	n := len(w.machines)
	m := &machine{name: fmt.Sprintf("m-%02d", n), address: address, zone: zoneA, rack: fmt.Sprintf("r1-%d", n/7), kind: "a", cpu: cpu, world: w}
	if kind := w.kindOf[n]; kind != "" {
		m.kind = kind
	}
	w.machines = append(w.machines, m)
	return m, m.up()
}

// instance is one process of the system.
type instance struct {
	name                      string
	front, readiness, control string
	settings                  string
	world                     *world
	command                   *exec.Cmd
	log                       *os.File
	exited                    chan struct{}
}

func (w *world) addInstances(n int) error {
	for k := range n {
		i := &instance{name: fmt.Sprintf("edge-lampa-%d", k+1), world: w}
		for _, a := range []*string{&i.front, &i.readiness, &i.control} {
			var err error
			if *a, err = freeAddress(); err != nil {
				return err
			}
		}
		w.instances = append(w.instances, i)
	}
	var seeds []string
	for _, i := range w.instances[:min(3, n)] {
		seeds = append(seeds, i.control)
	}
	for _, i := range w.instances {
		i.settings = filepath.Join(w.dir, i.name+".conf")
		if err := os.WriteFile(i.settings, []byte(i.settingsText(seeds)), 0o600); err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

func (i *instance) settingsText(seeds []string) string {
	return strings.Join([]string{
		"nodeName=" + i.name, "role=scheduler", "machineClass=edge", "serves=edge,control", "ip=127.0.0.1", "zone=" + zoneA, "region=valle-central",
		"zones.lampa=valle-central", "listen.front=" + i.front, "listen.readiness=" + i.readiness, "listen.control=" + i.control,
		"portRange=7720,7735", "seeds=" + strings.Join(seeds, ","), "bootstrap=true", "lossCounts=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "heartbeatMs=1100", "contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing",
		"bounds.stableWindowMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000",
		"bounds.downgradeMs=250", "bounds.maxSkewMs=5000", "bounds.evacuateMs=5000", "bounds.recoveryS=12", "bounds.maxHoldMs=6000", "bounds.stopMs=900",
		"bounds.gangWaitMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.noticeMs=4500", "bounds.fencing=true", "bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.paceMs=100", "bounds.violationMs=4000",
		"controlMode=rpc", "platform.addr=" + i.world.storeAddr, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000",
		"platform.historyS=20", "platform.valueBytes=1048576", "platform.minTtlMs=1000", "",
	}, "\n")
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.world.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/tarragond", "platform")
	c.Dir, c.Stdout, c.Stderr = i.world.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TARRAGONHEAD_SETTINGS=" + i.settings}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.command, i.log, i.exited = c, log, exited
	go func() { _ = c.Wait(); close(exited) }()
	i.world.record.printf("instance %s starts, pid %d", i.name, c.Process.Pid)
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.world.record.printf("instance %s gets signal %v", i.name, s)
	_ = i.command.Process.Signal(s)
}

// close ends every process that was started.
func (w *world) close() {
	for _, i := range w.instances {
		if i.command != nil {
			_ = i.command.Process.Signal(syscall.SIGCONT)
			_ = i.command.Process.Kill()
			<-i.exited
			_ = i.log.Close()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// call makes a client's call. The status is 0 if there is no answer.
func (w *world) call(i *instance, method, path string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	q, err := http.NewRequest(method, "http://"+i.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = routeHost
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Tarragonhead-Deadline-Ms", "3000")
	sent := time.Now()
	w.record.printf("client to %s: %s %s", i.name, method, path)
	r, err := w.client.Do(q)
	if err != nil {
		w.record.printf("client from %s: %s %s: no answer after %s: %v", i.name, method, path, time.Since(sent).Round(time.Millisecond), err)
		return 0, err.Error()
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	w.record.printf("client from %s: %s %s: %d %s after %s", i.name, method, path, r.StatusCode, bytes.TrimSpace(text), time.Since(sent).Round(time.Millisecond))
	return r.StatusCode, string(text)
}

// state returns the state of a job as a client sees it; "" if it is not told.
func (w *world) state(i *instance, job string) string {
	status, text := w.call(i, http.MethodGet, routePrefix+job, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return ""
	}
	return body.State
}

// isReady reports whether an instance is ready for clients.
func (w *world) isReady(i *instance) bool {
	r, err := w.client.Get("http://" + i.readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// waitReady waits until every instance is ready and a job has run.
func (w *world) waitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, i := range w.instances {
		for !w.isReady(i) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	const probe = "00000000000000aa"
	for {
		w.submit(w.instances[0], probe, shortJob(1, 1000, 100))
		time.Sleep(200 * time.Millisecond)
		if w.state(w.instances[0], probe) == "done" {
			w.record.printf("the system is ready")
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("no job is done")
		}
	}
}

func (w *world) submit(i *instance, job string, body any) int {
	status, _ := w.call(i, http.MethodPost, routePrefix+job, body)
	return status
}

// shortJob returns a job with one step.
func shortJob(count int, cpu int64, ms int) map[string]any {
	return map[string]any{"spec": fmt.Sprintf("ms=%d", ms), "phases": []any{map[string]any{"count": count, "cpu": cpu, "memMb": 256, "estimateMs": max(ms, 100)}}}
}
