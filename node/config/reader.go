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

// Finding is one fault of the process settings with its place.
type Finding struct {
	// Source is the flag, the environment variable, or the file with the line.
	Source  string
	Message string
}

// String formats the finding for an operator.
func (f Finding) String() string { return f.Source + ": " + f.Message }

// Findings are all faults of the process settings. As an error it lists each on
// a line.
type Findings []Finding

// Error implements error.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// reader collects findings while the settings are read, and remembers where
// each value comes from.
type reader struct {
	flags    *flag.FlagSet
	from     map[string]string
	findings Findings
}

func (r *reader) add(place, format string, args ...any) {
	r.findings = append(r.findings, Finding{place, fmt.Sprintf(format, args...)})
}

// place returns where a setting's value comes from.
func (r *reader) place(name string) string {
	if from, known := r.from[name]; known {
		return from
	}
	return "-" + name
}

// commandLine checks the arguments and returns the flags among them. The error
// is flag.ErrHelp.
func (r *reader) commandLine(args []string) ([]string, error) {
	probe := newFlagSet(&Config{})
	probe.SetOutput(io.Discard)
	for len(args) > 0 {
		err := probe.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		args = probe.Args()
		switch {
		case err != nil:
			r.add("command line", "%v", err)
			args = skipValue(args)
		case len(args) > 0:
			r.add("command line", "argument %q: no arguments are taken", args[0])
			args = args[1:]
		}
	}
	var given []string
	probe.Visit(func(f *flag.Flag) {
		given = append(given, "-"+f.Name+"="+f.Value.String())
		r.from[f.Name] = "-" + f.Name
	})
	return given, nil
}

// skipValue drops the value that follows an unknown flag.
func skipValue(args []string) []string {
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		return args[1:]
	}
	return args
}

// environment notes the variables that give values, and reports unknown ones.
func (r *reader) environment() {
	names := map[string]string{}
	r.flags.VisitAll(func(f *flag.Flag) { names[envName(f.Name)] = f.Name })
	for _, entry := range os.Environ() {
		variable, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(variable, EnvPrefix+"_") {
			continue
		}
		name, known := names[variable]
		if !known {
			r.add("variable "+variable, "there is no such setting")
			continue
		}
		if _, flagged := r.from[name]; !flagged && value != "" {
			r.from[name] = "variable " + variable
		}
	}
}

func envName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// file reads the JSON file for ff, and reports every fault of it.
func (r *reader) file(from io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	fileName := r.flags.Lookup("config").Value.String()
	root, err := jsontree.Parse(data)
	if err != nil {
		r.add(fileName, "not JSON: %v", err)
		return nil
	}
	if root.Kind != jsontree.Object {
		r.add(fileName, "is %s, must be object", root.Kind)
		return nil
	}
	seen := map[string]bool{}
	for _, m := range root.Children {
		place := fmt.Sprintf("%s line %d, %q", fileName, m.Line, m.Key)
		value, ok := r.member(place, m, seen[m.Key])
		seen[m.Key] = true
		if !ok {
			continue
		}
		if _, overridden := r.from[m.Key]; !overridden {
			r.from[m.Key] = place
		}
		if err := set(m.Key, value); err != nil {
			r.add(place, "%v", err)
		}
	}
	return nil
}

// member checks one entry of the file and returns its value.
func (r *reader) member(place string, m *jsontree.Node, seen bool) (string, bool) {
	switch {
	case r.flags.Lookup(m.Key) == nil || m.Key == "config":
		r.add(place, "there is no such setting")
	case seen:
		r.add(place, "the key stands twice")
	case m.Kind != jsontree.String:
		r.add(place, "is %s, must be string", m.Kind)
	default:
		return m.Text, true
	}
	return "", false
}
