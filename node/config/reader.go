package config

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/jsontree"
)

// Finding is one error in the process settings and its source.
type Finding struct {
	// Source is the flag, the environment variable, or the file and line that
	// set the value.
	Source  string
	Message string
}

// String formats the finding for an operator.
func (f Finding) String() string { return f.Source + ": " + f.Message }

// Findings are all errors in the process settings. Error lists each on its own
// line.
type Findings []Finding

// Error implements error.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// reader collects findings and the source of each value, by setting, while the
// process settings are read.
type reader struct {
	flags    *flag.FlagSet
	sources  map[string]string
	findings Findings
}

func (r *reader) addFinding(source, format string, args ...any) {
	r.findings = append(r.findings, Finding{source, fmt.Sprintf(format, args...)})
}

// source returns the source of a setting's value, for findings.
func (r *reader) source(name string) string {
	if from, known := r.sources[name]; known {
		return from
	}
	return "-" + name
}

// readCommandLine validates the arguments and returns the valid flags. Its only
// error is flag.ErrHelp.
func (r *reader) readCommandLine(args []string) ([]string, error) {
	parsed := newFlagSet(&Config{})
	parsed.SetOutput(io.Discard)
	for len(args) > 0 {
		err := parsed.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		args = parsed.Args()
		switch {
		case err != nil:
			r.addFinding("command line", "%v", err)
			args = skipValue(args)
		case len(args) > 0:
			r.addFinding("command line", "argument %q: no arguments are taken", args[0])
			args = args[1:]
		}
	}
	var given []string
	parsed.Visit(func(f *flag.Flag) {
		given = append(given, "-"+f.Name+"="+f.Value.String())
		r.sources[f.Name] = "-" + f.Name
	})
	return given, nil
}

// skipValue skips the value that follows an unknown flag.
func skipValue(args []string) []string {
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		return args[1:]
	}
	return args
}

// readEnvironment records the environment variables that set values and reports
// unknown ones.
func (r *reader) readEnvironment() {
	names := map[string]string{}
	r.flags.VisitAll(func(f *flag.Flag) { names[envName(f.Name)] = f.Name })
	for _, entry := range os.Environ() {
		variable, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(variable, EnvPrefix+"_") {
			continue
		}
		name, known := names[variable]
		if !known {
			r.addFinding("variable "+variable, "there is no such setting")
			continue
		}
		if _, flagged := r.sources[name]; !flagged && value != "" {
			r.sources[name] = "variable " + variable
		}
	}
}

func envName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// readFile is the file parser for the library ff: it passes each value of the JSON
// file to set and reports all errors of the file.
func (r *reader) readFile(from io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	fileName := r.flags.Lookup("config").Value.String()
	root, err := jsontree.Parse(data)
	if err != nil {
		r.addFinding(fileName, "not JSON: %v", err)
		return nil
	}
	if root.Kind != jsontree.Object {
		r.addFinding(fileName, "is %s, must be object", root.Kind)
		return nil
	}
	seen := map[string]bool{}
	for _, m := range root.Children {
		source := fmt.Sprintf("%s line %d, %q", fileName, m.Line, m.Key)
		value, ok := r.readEntry(source, m, seen[m.Key])
		seen[m.Key] = true
		if !ok {
			continue
		}
		if _, overridden := r.sources[m.Key]; !overridden {
			r.sources[m.Key] = source
		}
		if err := set(m.Key, value); err != nil {
			r.addFinding(source, "%v", err)
		}
	}
	return nil
}

// readEntry checks one entry of the file and returns its value; seen says that the
// key occurred before.
func (r *reader) readEntry(source string, m *jsontree.Node, seen bool) (string, bool) {
	switch {
	case r.flags.Lookup(m.Key) == nil || m.Key == "config":
		r.addFinding(source, "there is no such setting")
	case seen:
		r.addFinding(source, "duplicate key")
	case m.Kind != jsontree.String:
		r.addFinding(source, "is %s, must be string", m.Kind)
	default:
		return m.Text, true
	}
	return "", false
}
