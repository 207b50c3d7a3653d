package soak

import (
	"bytes"
	"context"
	"fmt"
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

// graceTime is the time between the signal to stop and the end by force.
const graceTime = 6 * time.Second

// instance is a daemon, which runs as a process of its own, with its upstream.
type instance struct {
	name, service, centre string
	file                  string
	callers, ready        string
	control               string
	program               string
	log                   *os.File

	mu      sync.Mutex
	process *exec.Cmd
	gone    chan struct{} // closed when the process has ended
	upset   time.Time     // until when the instance counts as disturbed
	paused  bool
	current *server
}

// server is an upstream behind a proxy.
type server struct {
	*meshsim.Upstream
	phase string
	// drained is when the daemon acknowledged that it leaves.
	drained time.Time
	stop    context.CancelFunc
}

// settingsFile writes the file that the platform would.
func (i *instance) settingsFile(app, store string) error {
	addrs, err := freeport.Addrs(5)
	if err != nil {
		return errors.Wrap(err, "ports")
	}
	i.callers, i.ready, i.control = addrs[0], addrs[2], addrs[3]
	text := fmt.Sprintf(`node_name=%s
zone=%s
region=south
service=%s
app_addr=%s
listen_addrs.outbound=%s
listen_addrs.inbound=%s
listen_addrs.ready=%s
listen_addrs.control=%s
port_range=%d,%d
heartbeat=300ms
bounds.grace_period=%s
bounds.retry_budget_ratio=0.2
platform.address=%s
platform.value_bytes=1048576
`, i.name, i.centre, i.service, app, addrs[0], addrs[1], addrs[2], addrs[3], port(addrs[4]), port(addrs[4]), graceTime, store)
	return errors.Wrap(os.WriteFile(i.file, []byte(text), 0o600), "settings file")
}

func port(addr string) uint16 { return netip.MustParseAddrPort(addr).Port() }

// start starts the daemon's process.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	command := exec.Command(i.program, "beside")
	command.Env = append(os.Environ(), platform.SettingsFileVariable+"="+i.file)
	command.Stdout, command.Stderr = i.log, i.log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", i.name)
	}
	gone := make(chan struct{})
	i.process, i.gone, i.paused = command, gone, false
	go func() {
		_ = command.Wait() // a killed process has no status of interest
		close(gone)
	}()
	return nil
}

// signal sends a signal to the process, by its id, if it runs.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.gone:
	default:
		_ = i.process.Process.Signal(s)
	}
}

// disturb notes that faults reach the instance until a time.
func (i *instance) disturb(until time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if until.After(i.upset) {
		i.upset = until
	}
}

// calmSince reports whether no fault reached the instance since a time.
func (i *instance) calmSince(t time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.upset.Before(t)
}

// end stops the process as planned and, after the grace time, by force.
func (i *instance) end() (byForce bool) {
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGTERM)
	select {
	case <-i.gone:
		return false
	case <-time.After(graceTime):
	}
	i.signal(syscall.SIGKILL)
	<-i.gone
	return true
}

// buildProgram builds the daemon into a folder.
func buildProgram(folder string) (string, error) {
	program := filepath.Join(folder, "fuchsiavaned")
	out, err := exec.Command("go", "build", "-o", program, "fuchsiavane.org/cmd/fuchsiavaned").CombinedOutput()
	return program, errors.Wrap(err, string(bytes.TrimSpace(out)))
}
