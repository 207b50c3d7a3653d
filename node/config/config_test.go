package config

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

var required = []string{
	"-instance-id", "a", "-service", "s", "-region", "r", "-data-centre", "d",
	"-upstream", "http://127.0.0.1:80", "-platform", "http://127.0.0.1:81",
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "daemon.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// TestPrecedence checks that flags override environment variables, which override the
// file.
func TestPrecedence(t *testing.T) {
	is := is.New(t)
	file := writeFile(t, `{"region": "file", "data-centre": "file", "service": "file", "log-level": "debug"}`)
	t.Setenv("FUCHSIAVANED_REGION", "variable")
	t.Setenv("FUCHSIAVANED_DATA_CENTRE", "variable")
	c, err := Parse([]string{
		"-config", file, "-instance-id", "a", "-data-centre", "flag",
		"-upstream", "http://127.0.0.1:80", "-platform", "http://127.0.0.1:81",
	}, &bytes.Buffer{})
	is.NoErr(err)
	is.Equal(c.DataCentre, "flag")
	is.Equal(c.Region, "variable")
	is.Equal(c.Service, "file")
	is.Equal(c.LogLevel, "debug")
}

func TestFindingsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	file := writeFile(t, "{\n\"colour\": \"red\",\n\"region\": 3,\n\"service\": \"a b\",\n\"service\": \"c\",\n\"caller-listen\": \"here\"}")
	t.Setenv("FUCHSIAVANED_UPSTREAM", "nowhere")
	t.Setenv("FUCHSIAVANED_LINKKEY", "secret")
	_, err := Parse([]string{"-config", file, "-tint", "blue", "stray", "-log-level", "loud", "-peers", "x:1"}, &bytes.Buffer{})
	var findings Findings
	is.True(errors.As(err, &findings))
	text := findings.Error()
	for _, want := range []string{
		"command line: flag provided but not defined: -tint",
		`command line: argument "stray"`,
		"variable FUCHSIAVANED_LINKKEY: there is no such setting",
		file + ` line 2, "colour": there is no such setting`,
		file + ` line 3, "region": is number, must be string`,
		file + ` line 4, "service": "a b" is not a name`,
		file + ` line 5, "service": duplicate key`,
		file + ` line 6, "caller-listen": "here" is not an IP number`,
		`variable FUCHSIAVANED_UPSTREAM: "nowhere" is not a base URL`,
		`-instance-id: "" is not a name`,
		`-platform: "" is not a base URL`,
		`-peers: "x:1" is not an IP number`,
		`-log-level: "loud" is not`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no finding %q in:\n%s", want, text)
		}
	}
	is.True(!strings.Contains(text, "secret"))
}

func TestAddresses(t *testing.T) {
	is := is.New(t)
	_, err := Parse(append([]string{"-peer-listen", "0.0.0.0:7402", "-admin-listen", "127.0.0.1:7400"}, required...), &bytes.Buffer{})
	is.True(strings.Contains(err.Error(), "no address that peers could reach"))
	is.True(strings.Contains(err.Error(), `-admin-listen: "127.0.0.1:7400" is the address of -caller-listen too`))
}

func TestShortListeningAddresses(t *testing.T) {
	is := is.New(t)
	_, err := Parse(append([]string{"-caller-listen", ":7400", "-admin-listen", "localhost:7403"}, required...), &bytes.Buffer{})
	is.NoErr(err)
	_, err = Parse(append([]string{"-peer-listen", "localhost:7402"}, required...), &bytes.Buffer{})
	is.True(strings.Contains(err.Error(), `-peer-listen: "localhost:7402" is not an IP number`))
	_, err = Parse(append([]string{"-admin-listen", "localhost:7400"}, required...), &bytes.Buffer{})
	is.True(strings.Contains(err.Error(), "the address of -caller-listen too"))
}

func TestFileFaults(t *testing.T) {
	is := is.New(t)
	_, err := Parse(append([]string{"-config", writeFile(t, "{\n\"service\": \"s\",\n}")}, required...), &bytes.Buffer{})
	is.True(strings.Contains(err.Error(), "not JSON: line 3"))
	_, err = Parse(append([]string{"-config", writeFile(t, "[]")}, required...), &bytes.Buffer{})
	is.True(strings.Contains(err.Error(), "is array, must be object"))
	_, err = Parse(append([]string{"-config", "/nowhere.json"}, required...), &bytes.Buffer{})
	is.True(strings.Contains(err.Error(), "-config: open /nowhere.json"))
}

func TestHelpIsWritten(t *testing.T) {
	is := is.New(t)
	var usage bytes.Buffer
	_, err := Parse([]string{"-h"}, &usage)
	is.True(errors.Is(err, flag.ErrHelp))
	is.True(strings.Contains(usage.String(), "-link-key secret"))
}
