package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// repository is the root folder of the repository.
const repository = "../.."

var shellBlock = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")

// TestPageCommands runs every shell block of the pages, in the order of each
// page, against a small system: lab/examples/te-puna.json as revision 41, an edit
// of it as revision 42, and three instances.
func TestPageCommands(t *testing.T) {
	pages := []string{"README.md"}
	for _, pattern := range []string{"docs/*.md", "docs/*/*.md"} {
		found, err := filepath.Glob(filepath.Join(repository, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, page := range found {
			pages = append(pages, strings.TrimPrefix(page, repository+"/"))
		}
	}
	folder := t.TempDir()
	for _, page := range pages {
		writePageScript(t, folder, page)
	}
	testscript.Run(t, testscript.Params{Dir: folder, Setup: setup, Cmds: commands})
}

// writePageScript writes a script that runs the shell blocks of a page, if there
// are any.
func writePageScript(t *testing.T, folder, page string) {
	t.Helper()
	blocks := shellBlock.FindAllStringSubmatch(readFile(t, page), -1)
	if len(blocks) == 0 {
		return
	}
	site := readFile(t, "lab/examples/te-puna.json")
	late := strings.Replace(site, `"archive": 0}`, `"archive": 0.2}`, 1)
	var script, files strings.Builder
	script.WriteString(pageSetup)
	fmt.Fprintf(&files, "-- site.json --\n%s-- late.json --\n%s", site, late)
	for i, block := range blocks {
		fmt.Fprintf(&script, "exec sh -eu block%d.sh\n", i)
		fmt.Fprintf(&files, "-- block%d.sh --\n%s", i, block[1])
	}
	name := strings.NewReplacer("/", "_", ".md", ".txtar").Replace(page)
	if err := os.WriteFile(filepath.Join(folder, name), []byte(script.String()+files.String()), 0o600); err != nil {
		t.Fatal(err)
	}
}

const pageSetup = `platform
exec fuchsiavane settings apply -above 40 -author anna site.json
exec fuchsiavane settings apply -author ben late.json
instance results-1 results -next certificates
instance certificates-1 certificates
instance certificates-2 certificates
expect 10s ${results-1_admin}/status '"id": "certificates-1"'
expect 10s ${results-1_admin}/status '"id": "certificates-2"'
env FUCHSIAVANE_DAEMON=${results-1_admin}
`

func readFile(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(repository, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
