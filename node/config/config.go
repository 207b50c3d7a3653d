// Package config reads the daemon's process settings: flags override
// environment variables, which override a JSON file. All findings are reported
// together.
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

// EnvPrefix is the prefix of the names of environment variables.
const EnvPrefix = "FUCHSIAVANED"

// Config holds the process settings of a daemon; defineFlags describes each.
type Config struct {
	InstanceID, Service, Region, DataCentre                string
	CallerListen, LocalListen, PeerListen, AdminListen     string
	Upstream, Platform, Peers, LinkKey, LogLevel, FileName string
	// BodyMemory is the memory for request bodies, in MB.
	BodyMemory int
}

// DefaultBodyMemory is the default of Config.BodyMemory.
const DefaultBodyMemory = 32

// Parse reads and validates the process settings. Its error is Findings, or
// flag.ErrHelp after it has written the usage.
func Parse(args []string, usage io.Writer) (Config, error) {
	var c Config
	fs := newFlagSet(&c)
	fs.SetOutput(usage)
	r := &reader{flags: fs, sources: map[string]string{}}
	given, err := r.readCommandLine(args)
	if err != nil {
		fs.Usage()
		return c, err
	}
	r.readEnvironment()
	err = ff.Parse(fs, given,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(r.readFile),
	)
	if err != nil {
		r.addFinding(r.source("config"), "%v", err)
	}
	c.check(r)
	if len(r.findings) > 0 {
		return c, r.findings
	}
	return c, nil
}

func newFlagSet(c *Config) *flag.FlagSet {
	fs := flag.NewFlagSet("fuchsiavaned", flag.ContinueOnError)
	c.defineFlags(fs)
	return fs
}

func (c *Config) defineFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.FileName, "config", "", "JSON `file` with these settings")
	fs.StringVar(&c.InstanceID, "instance-id", "", "`name` of this instance, unique in the fleet (required)")
	fs.StringVar(&c.Service, "service", "", "`name` of the service that the upstream belongs to (required)")
	fs.StringVar(&c.Region, "region", "", "`name` of the region (required)")
	fs.StringVar(&c.DataCentre, "data-centre", "", "`name` of the data centre (required)")
	fs.StringVar(&c.CallerListen, "caller-listen", "127.0.0.1:7400", "`address` for requests of callers")
	fs.StringVar(&c.LocalListen, "local-listen", "127.0.0.1:7401", "`address` for nested calls of the upstream")
	fs.StringVar(&c.PeerListen, "peer-listen", "127.0.0.1:7402", "`address` for links and gossip, as peers reach it")
	fs.StringVar(&c.AdminListen, "admin-listen", "127.0.0.1:7403", "`address` for operators")
	fs.StringVar(&c.Upstream, "upstream", "", "base `URL` of the upstream (required)")
	fs.StringVar(&c.Platform, "platform", "", "base `URL` of the platform's store (required)")
	fs.StringVar(&c.Peers, "peers", "", "peer `addresses` to join by when the platform is unavailable, separated by commas")
	fs.StringVar(&c.LinkKey, "link-key", "", "shared `secret` for links; if empty, links are accepted from loopback only")
	fs.IntVar(&c.BodyMemory, "body-memory", DefaultBodyMemory, "memory in `MB` for the bodies of requests in progress; a request whose body does not fit is refused")
	fs.StringVar(&c.LogLevel, "log-level", "info", "minimum `level` logged: debug, info, warn or error")
}

func (c *Config) check(r *reader) {
	add := func(name, format string, args ...any) { r.addFinding(r.source(name), format, args...) }
	for _, f := range []struct{ name, value string }{
		{"instance-id", c.InstanceID},
		{"service", c.Service},
		{"region", c.Region},
		{"data-centre", c.DataCentre},
	} {
		if !isValidName(f.value) {
			add(f.name, "%q is not a name of 1 to %d characters without spaces and slashes", f.value, maxNameBytes)
		}
	}
	c.checkListenAddresses(add)
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
	if c.BodyMemory < 1 || c.BodyMemory > maxBodyMemory {
		add("body-memory", "%d is not a number of MB from 1 to %d", c.BodyMemory, maxBodyMemory)
	}
	if _, err := ParseLevel(c.LogLevel); err != nil {
		add("log-level", "%v", err)
	}
}

// maxNameBytes is the maximum length of the names of instances, services, regions
// and data centres.
const maxNameBytes = 128

// maxBodyMemory is the largest value of Config.BodyMemory.
const maxBodyMemory = 1 << 20

func isValidName(s string) bool {
	bad := func(r rune) bool { return r <= ' ' || r == 0x7f || r == '/' }
	return s != "" && len(s) <= maxNameBytes && !strings.ContainsFunc(s, bad)
}

func (c *Config) checkListenAddresses(add func(name, format string, args ...any)) {
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
			add(f.name, "%q is no address that peers could reach: set the address of this instance", f.value)
		}
	}
}

// withIP expands "localhost:PORT" and ":PORT" to an IP address with a port. Peers
// need the instance's own address, so -peer-listen has no short form.
func withIP(s string) string {
	if port, found := strings.CutPrefix(s, "localhost:"); found {
		return "127.0.0.1:" + port
	}
	if strings.HasPrefix(s, ":") {
		return "0.0.0.0" + s
	}
	return s
}

// parseAddr parses an IP address with a port other than 0.
func parseAddr(s string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(s)
	if err != nil || addr.Port() == 0 {
		return netip.AddrPort{}, errors.New("is not an IP number with a port such as 10.0.1.7:7402")
	}
	return addr, nil
}

// PeerList splits Peers into its addresses.
func (c *Config) PeerList() []string {
	return strings.FieldsFunc(c.Peers, func(r rune) bool { return r == ',' || r == ' ' })
}

// ParseLevel returns the log level with the given name.
func ParseLevel(name string) (plog.Level, error) {
	switch name {
	case "debug", "info", "warn", "error":
		return plog.ParseLevel(name), nil
	}
	return 0, errors.Errorf("%q is not debug, info, warn or error", name)
}
