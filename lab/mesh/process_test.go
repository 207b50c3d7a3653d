package mesh

import (
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/lab/meshsim"
	"fuchsiavane.org/lab/soak"
	"fuchsiavane.org/platform"
)

// programFolder holds the daemon's program once it is built.
var programFolder string

// buildDaemon builds the daemon once for all tests and returns the path of its program.
var buildDaemon = sync.OnceValues(func() (string, error) {
	var err error
	if programFolder, err = os.MkdirTemp("", "mesh"); err != nil {
		return "", err
	}
	return soak.BuildProgram(programFolder)
})

func TestMain(m *testing.M) {
	code := m.Run()
	if programFolder != "" {
		_ = os.RemoveAll(programFolder)
	}
	os.Exit(code)
}

// process is the daemon of an instance as a process of its own.
type process struct {
	t            *testing.T
	instance     *instance
	settingsPath string
	command      *exec.Cmd
	exited       chan error
}

// startProcess starts the daemon of an instance, whose own daemon has been stopped, as a
// process. The settings file is a named pipe, at which the process waits until
// writeSettings.
func (i *instance) startProcess(t *testing.T) *process {
	t.Helper()
	program, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, instance: i, settingsPath: filepath.Join(t.TempDir(), "settings.conf"), exited: make(chan error, 1)}
	if err := syscall.Mkfifo(p.settingsPath, 0o600); err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(program, "beside")
	p.command.Env = append(os.Environ(), platform.SettingsFileVariable+"="+p.settingsPath)
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.command.Wait() }()
	t.Cleanup(func() { _ = p.command.Process.Kill() })
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatalf("%v: %v", s, err)
	}
}

// writeSettings waits until the process opens its settings file, calls whileReading,
// writes the settings and makes the file a regular one.
func (p *process) writeSettings(whileReading func()) {
	p.t.Helper()
	pipe, err := os.OpenFile(p.settingsPath, os.O_WRONLY, 0)
	if err != nil {
		p.t.Fatal(err)
	}
	whileReading()
	text := p.instance.settingsFile()
	regular := p.settingsPath + ".new"
	if err := os.WriteFile(regular, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(regular, p.settingsPath); err != nil {
		p.t.Fatal(err)
	}
	if _, err := pipe.WriteString(text); err != nil {
		p.t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		p.t.Fatal(err)
	}
}

// awaitExit waits until the process has ended, and fails the test unless it ended by
// itself with status 0.
func (p *process) awaitExit() {
	p.t.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			p.t.Fatalf("the daemon ended: %v", err)
		}
	case <-time.After(waitTimeout):
		p.t.Fatal("the daemon has not ended")
	}
}

// settingsFile returns the process settings as the platform writes them.
func (i *instance) settingsFile() string {
	s := &i.settings
	settings := meshsim.ProcessSettings{
		Instance: s.Instance, Service: s.Service, DataCentre: s.DataCentre, Region: s.Region,
		UpstreamAddr: s.UpstreamAddr.String(), StoreAddr: s.StoreAddr.String(), CallerAddr: s.CallerListen.String(),
		PeerAddr: s.PeerListen.String(), ReadyAddr: s.ReadyListen.String(), ControlAddr: s.AnnounceListen.String(),
		AdminPort: s.AdminListen.Port(), HeartbeatInterval: s.HeartbeatInterval, GracePeriod: s.GracePeriod,
	}
	return settings.File()
}

// awaitPort waits until a port takes connections.
func awaitPort(t *testing.T, addr netip.AddrPort) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if conn, err := net.Dial("tcp", addr.String()); err == nil {
			_ = conn.Close()
			return
		}
	}
	t.Fatalf("nothing listens at %s", addr)
}

// TestSignalsInEveryPhase guards against a signal that ends the process by its default
// action: SIGHUP before the ports listen, while serving, and in a drain, where each
// signal comes twice. A request that runs in the drain must be answered.
func TestSignalsInEveryPhase(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.configure(1, route("/x/", "unsafe", "desk", 0))
	desk := f.start("desk", "south-1")
	desk.stop()
	<-desk.done
	started := make(chan struct{}, 1)
	desk.upstream.Handler = func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			started <- struct{}{}
			time.Sleep(time.Second)
		}
		desk.upstream.WriteResponse(w, r)
	}
	p := desk.startProcess(t)
	p.writeSettings(func() {
		for range 2 {
			p.signal(syscall.SIGHUP)
		}
	})
	awaitPort(t, desk.settings.CallerListen)
	p.signal(syscall.SIGHUP)
	desk.await("ready", "/x/1", status(200))
	answered := make(chan response, 1)
	go func() { answered <- desk.call(http.MethodPost, "/x/2", "ruling") }()
	<-started
	for range 2 {
		p.signal(syscall.SIGTERM)
		time.Sleep(50 * time.Millisecond)
		p.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	a := <-answered
	is.NoErr(a.err)
	is.Equal(a.status, 200)
	p.signal(syscall.SIGHUP) // after the last answer
	p.awaitExit()
}

// TestStopBeforeThePortsAreOpen guards against a stop that is lost, or that ends the
// process by its default action, before the daemon serves.
func TestStopBeforeThePortsAreOpen(t *testing.T) {
	f := newFleet(t)
	desk := f.start("desk", "south-1")
	desk.stop()
	<-desk.done
	p := desk.startProcess(t)
	p.writeSettings(func() {
		p.signal(syscall.SIGTERM)
		p.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	})
	p.awaitExit()
}
