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

// stateKey is the key of the scriptState in the values of a script.
const stateKey = "state"

// startTimeout bounds the start of a process.
const startTimeout = 15 * time.Second

// process is a program started by a script.
type process struct {
	cmd    *exec.Cmd
	output *syncBuffer
	done   chan struct{}
	err    error // valid when done is closed
}

// scriptState holds the processes and floods started by one script.
type scriptState struct {
	mu        sync.Mutex
	processes map[string]*process
	// sent holds the requests of all floods by idempotency key.
	sent map[string]sentRequest
	// flood is the background flood, or nil if there is none.
	flood *loadGenerator
}

func newScriptState(env *testscript.Env) *scriptState {
	s := &scriptState{processes: map[string]*process{}, sent: map[string]sentRequest{}}
	env.Defer(s.stop)
	return s
}

func stateOf(ts *testscript.TestScript) *scriptState { return ts.Value(stateKey).(*scriptState) }

// start starts a program and registers its process under name.
func (s *scriptState) start(ts *testscript.TestScript, name, program string, args ...string) *process {
	p := &process{
		cmd:    exec.Command(filepath.Join(binDir, program), args...),
		output: &syncBuffer{},
		done:   make(chan struct{}),
	}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	ts.Check(p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = p
	return p
}

func (s *scriptState) process(ts *testscript.TestScript, name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	if p == nil {
		ts.Fatalf("no process %q", name)
	}
	return p
}

// stop kills every process that the script started.
func (s *scriptState) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// freeAddrs returns n free loopback addresses.
func freeAddrs(ts *testscript.TestScript, n int) []string {
	addrs, err := freeport.Addrs(n)
	ts.Check(err)
	return addrs
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use. A process writes
// to it while its script reads it.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// parseFlags parses "-name value" pairs and returns them with the remaining
// arguments, which begin after "--" or at the first argument without "-".
func parseFlags(ts *testscript.TestScript, args []string) (map[string]string, []string) {
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
