package scenario

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiavane.org/node/freeport"
)

// worldKey finds a script's world.
const worldKey = "world"

// startTimeout bounds the start of a process.
const startTimeout = 15 * time.Second

// process is one program that a script started.
type process struct {
	cmd    *exec.Cmd
	output *safeBuffer
	done   chan struct{}
	err    error // valid when done is closed
}

// world is what one script has started.
type world struct {
	mu        sync.Mutex
	processes map[string]*process
	// sent are the requests of floods by idempotency key.
	sent map[string]sentRequest
	// load is the flood that has begun and not ended.
	load *load
}

func newWorld(env *testscript.Env) *world {
	w := &world{processes: map[string]*process{}, sent: map[string]sentRequest{}}
	env.Defer(w.stop)
	return w
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey).(*world) }

// start runs a program under a name.
func (w *world) start(ts *testscript.TestScript, name, program string, args ...string) *process {
	p := &process{
		cmd:    exec.Command(filepath.Join(binaries, program), args...),
		output: &safeBuffer{},
		done:   make(chan struct{}),
	}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	ts.Check(p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes[name] = p
	return p
}

func (w *world) process(ts *testscript.TestScript, name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.processes[name]
	if p == nil {
		ts.Fatalf("no process %q", name)
	}
	return p
}

// stop ends every process that the script started.
func (w *world) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// freeAddrs returns free loopback addresses.
func freeAddrs(ts *testscript.TestScript, n int) []string {
	addrs, err := freeport.Addrs(n)
	ts.Check(err)
	return addrs
}

// safeBuffer is a buffer that a process writes while a script reads.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// flagsOf splits "-name value" pairs and the rest, which begins after "--" or
// at the first word that is no flag.
func flagsOf(ts *testscript.TestScript, args []string) (map[string]string, []string) {
	flags := map[string]string{}
	for len(args) > 0 && strings.HasPrefix(args[0], "-") && args[0] != "--" {
		if len(args) < 2 {
			ts.Fatalf("flag %s has no value", args[0])
		}
		flags[strings.TrimPrefix(args[0], "-")] = args[1]
		args = args[2:]
	}
	if len(args) > 0 && args[0] == "--" {
		args = args[1:]
	}
	return flags, args
}
