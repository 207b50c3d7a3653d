// Package config reads the daemon's process settings: flag, then environment
// variable, then JSON file. Every finding is reported at once.
package config

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"

	"github.com/peterbourgon/ff/v3"
	plog "github.com/phuslu/log"
	"github.com/pkg/errors"
)

// EnvPrefix begins the names of the environment variables.
const EnvPrefix = "FUCHSIAVANED"

// Config is the process settings of a daemon.
type Config struct {
	InstanceID, Service, Region, DataCentre                string
	CallerListen, LocalListen, PeerListen, AdminListen     string
	Upstream, Platform, Peers, LinkKey, LogLevel, FileName string
}

// Findings lists every fault of the process settings.
type Findings []string

// Error implements error.
func (f Findings) Error() string { return strings.Join(f, "\n") }

// Parse reads the settings. The error is Findings, flag.ErrHelp or a fault of
// the arguments or the file.
func Parse(args []string, usage io.Writer) (Config, error) {
	var c Config
	fs := flag.NewFlagSet("fuchsiavaned", flag.ContinueOnError)
	fs.SetOutput(usage)
	c.define(fs)
	err := ff.Parse(fs, args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(ff.JSONParser),
	)
	if err != nil {
		return c, err
	}
	if fs.NArg() > 0 {
		return c, Findings{fmt.Sprintf("argument %q: no arguments are taken", fs.Arg(0))}
	}
	if findings := c.check(); len(findings) > 0 {
		return c, findings
	}
	return c, nil
}

func (c *Config) define(fs *flag.FlagSet) {
	fs.StringVar(&c.FileName, "config", "", "JSON `file` with these settings")
	fs.StringVar(&c.InstanceID, "instance-id", "", "`name` of this instance, unique in the fleet (required)")
	fs.StringVar(&c.Service, "service", "", "`name` of the service that the upstream belongs to (required)")
	fs.StringVar(&c.Region, "region", "", "`name` of the region (required)")
	fs.StringVar(&c.DataCentre, "data-centre", "", "`name` of the data centre (required)")
	fs.StringVar(&c.CallerListen, "caller-listen", "127.0.0.1:7400", "`address` at which callers call")
	fs.StringVar(&c.LocalListen, "local-listen", "127.0.0.1:7401", "`address` at which the upstream makes its own calls")
	fs.StringVar(&c.PeerListen, "peer-listen", "127.0.0.1:7402", "`address` for links and gossip, as peers reach it")
	fs.StringVar(&c.AdminListen, "admin-listen", "127.0.0.1:7403", "`address` for operators")
	fs.StringVar(&c.Upstream, "upstream", "", "base `URL` of the upstream (required)")
	fs.StringVar(&c.Platform, "platform", "", "base `URL` of the platform's store (required)")
	fs.StringVar(&c.Peers, "peers", "", "peer `addresses` to join by when the platform is away, separated by commas")
	fs.StringVar(&c.LinkKey, "link-key", "", "shared `secret` for links; without it links are taken from loopback only")
	fs.StringVar(&c.LogLevel, "log-level", "info", "least `level` logged: debug, info, warn or error")
}

func (c *Config) check() Findings {
	var findings Findings
	add := func(name, format string, args ...any) {
		findings = append(findings, "-"+name+": "+fmt.Sprintf(format, args...))
	}
	for _, f := range []struct{ name, value string }{
		{"instance-id", c.InstanceID},
		{"service", c.Service},
		{"region", c.Region},
		{"data-centre", c.DataCentre},
	} {
		if f.value == "" || strings.ContainsAny(f.value, "/ \t\n") || len(f.value) > 128 {
			add(f.name, "%q is not a name of 1 to 128 characters without spaces and slashes", f.value)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"caller-listen", c.CallerListen},
		{"local-listen", c.LocalListen},
		{"peer-listen", c.PeerListen},
		{"admin-listen", c.AdminListen},
	} {
		if _, err := net.ResolveTCPAddr("tcp", f.value); err != nil || f.value == "" {
			add(f.name, "%q is not host:port", f.value)
		}
	}
	for _, f := range []struct{ name, value string }{{"upstream", c.Upstream}, {"platform", c.Platform}} {
		if u, err := url.Parse(f.value); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			add(f.name, "%q is not a base URL such as http://127.0.0.1:8080", f.value)
		}
	}
	for _, peer := range c.PeerList() {
		if _, _, err := net.SplitHostPort(peer); err != nil {
			add("peers", "%q is not host:port", peer)
		}
	}
	if _, err := ParseLevel(c.LogLevel); err != nil {
		add("log-level", "%v", err)
	}
	return findings
}

// PeerList returns the addresses of Peers.
func (c *Config) PeerList() []string {
	return strings.FieldsFunc(c.Peers, func(r rune) bool { return r == ',' || r == ' ' })
}

// ParseLevel returns the log level of a name.
func ParseLevel(name string) (plog.Level, error) {
	switch name {
	case "debug", "info", "warn", "error":
		return plog.ParseLevel(name), nil
	}
	return 0, errors.Errorf("%q is not debug, info, warn or error", name)
}
