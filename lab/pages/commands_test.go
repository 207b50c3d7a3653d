package pages

import (
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"fuchsiavane.org/node/config"
)

var (
	continuedLine   = regexp.MustCompile(`\\\n\s*`)
	indentedCommand = regexp.MustCompile(`(?m)^ {4,6}((?:go|bin/|\./|fuchsiavaned?) ?.*)$`)
)

// TestSetUpCommandsInPages checks that the indented commands of README.md and
// CONTRIBUTING.md build the programs, have valid flags, or are run by a scenario.
// lab/scenario runs the shell blocks, and TestGoCommandsInPages checks go test and go
// run commands.
func TestSetUpCommandsInPages(t *testing.T) {
	for _, page := range []string{"README.md", "CONTRIBUTING.md"} {
		text := continuedLine.ReplaceAllString(readFile(t, page), "")
		for _, m := range indentedCommand.FindAllStringSubmatch(text, -1) {
			checkSetUpCommand(t, page, m[1])
		}
	}
}

func checkSetUpCommand(t *testing.T, page, command string) {
	t.Helper()
	fields := strings.Fields(command)
	switch {
	case command == "go mod download all":
		runInRoot(t, fields)
	case strings.HasPrefix(command, "go build -o bin/ "):
		fields[3] = t.TempDir() + "/"
		runInRoot(t, fields)
	case strings.HasPrefix(command, "go build -ldflags=-linkmode=external -o target/ "):
		if !strings.Contains(readFile(t, "deploy/system.toml"), `build = "`+command+`"`) {
			t.Errorf("%s: the build command of deploy/system.toml is not %q", page, command)
		}
		fields[4] = t.TempDir() + "/"
		runInRoot(t, fields)
	case strings.HasPrefix(command, "go test "), command == "./test.sh":
	case command == "bin/fuchsiavane demo":
		if !strings.Contains(readFile(t, "lab/scenario/testdata/script/demo.txtar"), "fuchsiavane demo") {
			t.Error("no scenario runs the demo")
		}
	case fields[0] == "fuchsiavaned":
		if _, err := config.Parse(fields[1:], io.Discard); err != nil {
			t.Errorf("%s: %s: %v", page, command, err)
		}
	default:
		t.Errorf("%s: no check for the command %q", page, command)
	}
}

func runInRoot(t *testing.T, fields []string) {
	t.Helper()
	cmd := exec.Command(fields[0], fields[1:]...)
	cmd.Dir = root
	cmd.Env = os.Environ()
	if output, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%s: %v\n%s", strings.Join(fields, " "), err, output)
	}
}
