package soak

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/lab/meshsim"
	"fuchsiavane.org/node/freeport"
	"fuchsiavane.org/platform"
)

// gracePeriod is the time between SIGTERM and SIGKILL, and the setting
// bounds.grace_period of the daemon.
const gracePeriod = 6 * time.Second

// instance is a daemon in its own process, with its upstream.
type instance struct {
	number                int
	dataCentre            string
	settingsPath          string
	addrs                 []string // of the ports
	callerAddr, readyAddr string
	controlAddr           string
	program               string
	log                   *os.File

	mu sync.Mutex
	// name and service change when another instance takes over the addresses.
	name, service  string
	process        *exec.Cmd
	exited         chan struct{} // closed when the process has ended
	disturbedUntil time.Time     // end of the latest fault on the instance
	restarting     bool
	current        *upstream
}

// upstream is a simulated upstream behind a proxy.
type upstream struct {
	*meshsim.Upstream
	phase string // as announced: ready or draining
	// drained is when the daemon acknowledged that the upstream drains.
	drained time.Time
	stop    context.CancelFunc
}

// choosePorts chooses free ports.
func (i *instance) choosePorts() error {
	var err error
	if i.addrs, err = freeport.Addrs(5); err != nil {
		return errors.Wrap(err, "ports")
	}
	i.callerAddr, i.readyAddr, i.controlAddr = i.addrs[0], i.addrs[2], i.addrs[3]
	return nil
}

// identity returns the name and service of the instance.
func (i *instance) identity() (name, service string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.name, i.service
}

// settingsFile writes the process settings as the platform would.
func (i *instance) settingsFile(app, store string) error {
	name, service := i.identity()
	settings := meshsim.ProcessSettings{
		Instance: name, Service: service, DataCentre: i.dataCentre, Region: "south", UpstreamAddr: app, StoreAddr: store,
		CallerAddr: i.callerAddr, PeerAddr: i.addrs[1], ReadyAddr: i.readyAddr, ControlAddr: i.controlAddr, AdminPort: port(i.addrs[4]),
		HeartbeatInterval: heartbeatInterval, GracePeriod: gracePeriod,
	}
	return errors.Wrap(os.WriteFile(i.settingsPath, []byte(settings.File()), 0o600), "settings file")
}

func port(addr string) uint16 { return netip.MustParseAddrPort(addr).Port() }

// start starts the daemon's process.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	command := exec.Command(i.program, "beside")
	command.Env = append(os.Environ(), platform.SettingsFileVariable+"="+i.settingsPath)
	command.Stdout, command.Stderr = i.log, i.log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", i.name)
	}
	exited := make(chan struct{})
	i.process, i.exited, i.restarting = command, exited, false
	go func() {
		_ = command.Wait() // the exit status of a killed process is of no use
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.exited:
	default:
		_ = i.process.Process.Signal(s)
	}
}

// extendDisturbance records that a fault affects the instance until a time.
func (i *instance) extendDisturbance(until time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if until.After(i.disturbedUntil) {
		i.disturbedUntil = until
	}
}

// undisturbedSince reports whether no fault has affected the instance since a time.
func (i *instance) undisturbedSince(t time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.disturbedUntil.Before(t)
}

// terminate resumes the process, sends it SIGTERM and, after the grace period,
// SIGKILL. It reports whether SIGKILL was needed.
func (i *instance) terminate() (killed bool) {
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGTERM)
	select {
	case <-i.exited:
		return false
	case <-time.After(gracePeriod):
	}
	i.signal(syscall.SIGKILL)
	<-i.exited
	return true
}

// buildProgram builds the daemon in a folder and returns its path.
// BuildProgram builds the daemon in a folder and returns the path of its program.
func BuildProgram(folder string) (string, error) {
	program := filepath.Join(folder, "fuchsiavaned")
	out, err := exec.Command("go", "build", "-o", program, "fuchsiavane.org/cmd/fuchsiavaned").CombinedOutput()
	return program, errors.Wrap(err, string(bytes.TrimSpace(out)))
}
