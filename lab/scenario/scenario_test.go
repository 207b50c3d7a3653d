package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binDir is the folder that holds the built programs.
var binDir string

// programs are the main packages of the programs that scenarios run.
var programs = []string{
	"fuchsiavane.org/cmd/fuchsiavaned",
	"fuchsiavane.org/cmd/fuchsiavane",
	"fuchsiavane.org/lab/cmd/platform",
	"fuchsiavane.org/lab/cmd/upstream",
}

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fuchsiavane-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", append([]string{"build", "-o", dir + "/"}, programs...)...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: filepath.Join("testdata", "script"), Setup: setup, Cmds: commands})
}

// setup adds the programs to the PATH of a script and gives it a new scriptState.
func setup(env *testscript.Env) error {
	env.Setenv("PATH", binDir+string(os.PathListSeparator)+os.Getenv("PATH"))
	env.Values[stateKey] = newScriptState(env)
	return nil
}
