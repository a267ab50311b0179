// Package launcher starts a complete system of separate processes on this
// machine: the stand-ins for the platform and the daemons.
package launcher

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Options configures a system.
type Options struct {
	// Binaries is the directory with tarragond, tarragonctl and standin.
	Binaries string
	// Logs is the directory for the log files, one per process, and for the
	// records of the workers.
	Logs     string
	Workload declarer.Workload
	// Scale is a factor between 0 and 1 on the number of workers; at least two
	// workers per domain are started.
	Scale float64
	// Daemons is the number of daemons per domain; zero takes the number in the
	// workload.
	Daemons int
	// TimeScale is a factor on the run time of tasks.
	TimeScale float64
	// Records is the directory for the records of the runners; if empty, they
	// write none.
	Records string
	// DaemonArgs are additional command-line arguments of each daemon.
	DaemonArgs []string
	// NoPeers starts the daemons without peers in their settings, so that they
	// discover each other only through the platform's list of instances.
	NoPeers bool
	// StoreFor returns the address at which a daemon reaches the store, given
	// the address of the store. If nil, daemons use the address of the store.
	StoreFor func(daemon string, store netip.AddrPort) (netip.AddrPort, error)
}

// Process is a process of a system.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// PID returns the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Wait waits at most d for the end of the process and reports whether it has ended.
func (p *Process) Wait(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

// Daemon is a daemon of a system with its failure domain and the addresses on which
// it serves traffic and control calls.
type Daemon struct {
	*Process
	Domain  string
	Traffic netip.AddrPort
	Control netip.AddrPort
	args    []string
}

// System holds the processes of a started system.
type System struct {
	options Options
	// Store is the address of the store.
	Store netip.AddrPort
	// StoreProcess is the process that serves the store.
	StoreProcess *Process
	Daemons      []*Daemon
	Workers      []*Process
}

// Start starts the store, the workers and the daemons of a workload.
func Start(o Options) (*System, error) {
	s := &System{options: o}
	if err := s.startAll(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) startAll() error {
	var err error
	s.Store = nextAddr()
	if s.StoreProcess, err = s.start("store", "standin", "store", "--listen", s.Store.String()); err != nil {
		return err
	}
	for _, d := range s.options.Workload.Platform.Domains {
		for i := range s.workerCount(d) {
			if err := s.startWorker(d.Name, i); err != nil {
				return err
			}
		}
	}
	return s.startDaemons()
}

func (s *System) workerCount(d declarer.Domain) int {
	return max(2, int(math.Ceil(float64(d.Workers)*s.options.Scale)))
}

func (s *System) startWorker(domain string, n int) error {
	p := s.options.Workload.Platform
	id := fmt.Sprintf("%s-w%d", domain, n)
	rack := fmt.Sprintf("%s-rack-%d", domain, n/max(1, p.WorkersPerRack))
	process, err := s.start(id, "standin", "worker", "--listen", "127.0.0.1:0", "--store", s.Store.String(), "--id", id, "--domain", domain, "--rack", rack,
		"--milli-cpu", fmt.Sprint(p.Worker.MilliCPU), "--memory-mb", fmt.Sprint(p.Worker.MemoryMB), "--time-scale", fmt.Sprint(s.options.TimeScale),
		"--record", filepath.Join(s.options.Logs, id+".record"))
	if err != nil {
		return err
	}
	s.Workers = append(s.Workers, process)
	return nil
}

func (s *System) startDaemons() error {
	var seed netip.AddrPort
	for _, d := range s.options.Workload.Platform.Domains {
		count := d.EntryInstances
		if s.options.Daemons > 0 {
			count = s.options.Daemons
		}
		for i := range count {
			daemon, err := s.startDaemon(fmt.Sprintf("%s-d%d", d.Name, i), d.Name, seed)
			if err != nil {
				return err
			}
			if !seed.IsValid() {
				seed = daemon.Control
			}
		}
	}
	for _, d := range s.Daemons {
		if err := waitLive(d.Control); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startDaemon(id, domain string, seed netip.AddrPort) (*Daemon, error) {
	traffic, control, store := nextAddr(), nextAddr(), s.Store
	if s.options.StoreFor != nil {
		var err error
		if store, err = s.options.StoreFor(id, store); err != nil {
			return nil, err
		}
	}
	args := []string{"--id", id, "--domain", domain, "--traffic", traffic.String(), "--control", control.String(), "--store", store.String()}
	if seed.IsValid() && !s.options.NoPeers {
		args = append(args, "--peer", seed.String())
	}
	args = append(args, s.options.DaemonArgs...)
	process, err := s.start(id, "tarragond", args...)
	if err != nil {
		return nil, err
	}
	d := &Daemon{process, domain, traffic, control, args}
	s.Daemons = append(s.Daemons, d)
	go s.keepListed(d, process)
	return d, nil
}

// Restart kills a daemon and starts it again with the same settings.
func (s *System) Restart(d *Daemon) error {
	if err := d.Signal(syscall.SIGKILL); err != nil {
		return errors.Wrap(err, d.Name)
	}
	if !d.Wait(startTimeout) {
		return errors.Errorf("%s did not end after SIGKILL", d.Name)
	}
	process, err := s.start(d.Name, "tarragond", d.args...)
	if err != nil {
		return err
	}
	d.Process = process
	go s.keepListed(d, process)
	return waitLive(d.Control)
}

func (s *System) start(name, binary string, args ...string) (*Process, error) {
	output, err := os.OpenFile(filepath.Join(s.options.Logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	command := exec.Command(filepath.Join(s.options.Binaries, binary), args...)
	command.Stdout, command.Stderr = output, output
	if s.options.Records != "" {
		command.Env = append(os.Environ(), "STANDIN_RECORDS="+s.options.Records)
	}
	// The kernel kills the process when this process ends, for whatever reason.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	p := &Process{name, command, make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(p.done)
	}()
	return p, nil
}

// Stop ends every process. It stops the daemons first, gracefully, and then kills
// the workers and the store.
func (s *System) Stop() {
	for _, d := range s.Daemons {
		_ = d.Signal(syscall.SIGCONT)
		_ = d.Signal(syscall.SIGTERM)
	}
	for _, d := range s.Daemons {
		if !d.Wait(10 * time.Second) {
			_ = d.Signal(syscall.SIGKILL)
		}
	}
	for _, w := range s.Workers {
		_ = w.Signal(syscall.SIGKILL)
	}
	if s.StoreProcess != nil {
		_ = s.StoreProcess.Signal(syscall.SIGKILL)
	}
}

// Control runs tarragonctl against the first daemon and returns its output.
func (s *System) Control(args ...string) (string, error) {
	args = append([]string{"--daemon", s.Daemons[0].Control.String()}, args...)
	output, err := exec.Command(filepath.Join(s.options.Binaries, "tarragonctl"), args...).CombinedOutput()
	return string(output), errors.Wrapf(err, "tarragonctl: %s", output)
}

// portCount is the number of ports that this process has assigned.
var portCount atomic.Uint32

// basePort is the port below the first one that is assigned.
const basePort = 20000

// nextAddr returns a loopback address that nothing else uses. The IP address is
// derived from the id of this process, so that neither outgoing connections nor
// systems started by other processes take its ports.
func nextAddr() netip.AddrPort {
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(1 + pid>>16&0x7f), byte(pid >> 8), byte(pid)})
	return netip.AddrPortFrom(ip, uint16(basePort+portCount.Add(1)))
}

// startTimeout is how long a daemon may take to respond after its start, and to end
// after it was killed.
const startTimeout = 10 * time.Second

// waitLive waits until a daemon responds on its control address.
func waitLive(control netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control.String()+"/livez", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "daemon at %s does not respond", control)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Build builds the binaries of a system into dir. The working directory must be
// the root of the repository.
func Build(dir string) error {
	for _, p := range []string{"./cmd/tarragond", "./cmd/tarragonctl", "./standins/cmd/standin"} {
		output, err := exec.Command("go", "build", "-o", dir+"/", p).CombinedOutput()
		if err != nil {
			return errors.Wrapf(err, "build %s: %s", p, output)
		}
	}
	return nil
}
