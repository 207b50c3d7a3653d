package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the folder of the built programs.
var binaries string

// programs are the packages that scenarios run.
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
	binaries = dir
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

// setup gives each script the programs and a world of its own.
func setup(env *testscript.Env) error {
	env.Setenv("PATH", binaries+string(os.PathListSeparator)+os.Getenv("PATH"))
	env.Values[worldKey] = newWorld(env)
	return nil
}
