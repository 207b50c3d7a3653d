// Package config reads the daemon's process settings: flag, then environment
// variable, then JSON file. Every finding is reported at once.
package config

import (
	"flag"
	"io"
	"net/netip"
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

// Parse reads the settings. The error is Findings or flag.ErrHelp, after which
// the usage has been written.
func Parse(args []string, usage io.Writer) (Config, error) {
	var c Config
	fs := newFlagSet(&c)
	fs.SetOutput(usage)
	r := &reader{flags: fs, from: map[string]string{}}
	given, err := r.commandLine(args)
	if err != nil {
		fs.Usage()
		return c, err
	}
	r.environment()
	err = ff.Parse(fs, given,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(r.file),
	)
	if err != nil {
		r.add(r.place("config"), "%v", err)
	}
	c.check(r)
	if len(r.findings) > 0 {
		return c, r.findings
	}
	return c, nil
}

func newFlagSet(c *Config) *flag.FlagSet {
	fs := flag.NewFlagSet("fuchsiavaned", flag.ContinueOnError)
	c.define(fs)
	return fs
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

func (c *Config) check(r *reader) {
	add := func(name, format string, args ...any) { r.add(r.place(name), format, args...) }
	for _, f := range []struct{ name, value string }{
		{"instance-id", c.InstanceID},
		{"service", c.Service},
		{"region", c.Region},
		{"data-centre", c.DataCentre},
	} {
		if !isName(f.value) {
			add(f.name, "%q is not a name of 1 to %d characters without spaces and slashes", f.value, maxNameBytes)
		}
	}
	c.checkListens(add)
	for _, f := range []struct{ name, value string }{{"upstream", c.Upstream}, {"platform", c.Platform}} {
		if u, err := url.Parse(f.value); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			add(f.name, "%q is not a base URL such as http://127.0.0.1:8080", f.value)
		}
	}
	for _, peer := range c.PeerList() {
		if _, err := parseAddr(peer); err != nil {
			add("peers", "%q %v", peer, err)
		}
	}
	if _, err := ParseLevel(c.LogLevel); err != nil {
		add("log-level", "%v", err)
	}
}

// maxNameBytes bounds the names of instances, services, regions and data
// centres.
const maxNameBytes = 128

func isName(s string) bool {
	bad := func(r rune) bool { return r <= ' ' || r == 0x7f || r == '/' }
	return s != "" && len(s) <= maxNameBytes && !strings.ContainsFunc(s, bad)
}

func (c *Config) checkListens(add func(name, format string, args ...any)) {
	taken := map[netip.AddrPort]string{}
	for _, f := range []struct{ name, value string }{
		{"caller-listen", c.CallerListen},
		{"local-listen", c.LocalListen},
		{"peer-listen", c.PeerListen},
		{"admin-listen", c.AdminListen},
	} {
		value := f.value
		if f.name != "peer-listen" {
			value = withIP(value)
		}
		addr, err := parseAddr(value)
		if err != nil {
			add(f.name, "%q %v", f.value, err)
			continue
		}
		if other, twice := taken[addr]; twice {
			add(f.name, "%q is the address of -%s too", f.value, other)
		}
		taken[addr] = f.name
		if f.name == "peer-listen" && addr.Addr().IsUnspecified() {
			add(f.name, "%q is no address that peers could reach: give the instance's own", f.value)
		}
	}
}

// withIP writes the usual short forms of a listening address as IP numbers. Peers
// need the instance's own number, so that -peer-listen has no short form.
func withIP(s string) string {
	if port, found := strings.CutPrefix(s, "localhost:"); found {
		return "127.0.0.1:" + port
	}
	if strings.HasPrefix(s, ":") {
		return "0.0.0.0" + s
	}
	return s
}

// parseAddr parses an IP number with a port.
func parseAddr(s string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(s)
	if err != nil || addr.Port() == 0 {
		return netip.AddrPort{}, errors.New("is not an IP number with a port such as 10.0.1.7:7402")
	}
	return addr, nil
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
