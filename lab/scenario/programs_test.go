package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// checkExitStatus runs a program and fails unless it exits with the given status.
func checkExitStatus(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: exits STATUS PROGRAM [arguments]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var failure *exec.ExitError
		if !errors.As(err, &failure) {
			ts.Fatalf("%s: %v", args[1], err)
		}
		got = failure.ExitCode()
	}
	if got != want {
		ts.Fatalf("%s: exit status %d, want %d", strings.Join(args[1:], " "), got, want)
	}
}

// runConcurrently runs one command line several times concurrently and prints the
// sorted exit statuses.
func runConcurrently(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: race TIMES PROGRAM [arguments]")
	}
	times, err := strconv.Atoi(args[0])
	ts.Check(err)
	statuses := make([]int, times)
	var group sync.WaitGroup
	for i := range times {
		cmd := exec.Command(filepath.Join(binDir, args[1]), args[2:]...)
		cmd.Dir = ts.MkAbs(".")
		cmd.Env = append(os.Environ(), "FUCHSIAVANE_PLATFORM="+ts.Getenv("FUCHSIAVANE_PLATFORM"))
		group.Go(func() {
			_ = cmd.Run()
			statuses[i] = cmd.ProcessState.ExitCode()
		})
	}
	group.Wait()
	slices.Sort(statuses)
	fmt.Fprintf(ts.Stdout(), "statuses %v\n", statuses)
}
