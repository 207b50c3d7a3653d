// Package daemon puts the parts of fuchsiavaned together and runs its duties.
package daemon

import (
	"context"
	"io"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/admin"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/config"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/gateway"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/link"
	"fuchsiavane.org/node/metrics"
	"fuchsiavane.org/node/once"
	"fuchsiavane.org/node/presence"
	"fuchsiavane.org/node/runs"
	"fuchsiavane.org/node/settingsync"
	"fuchsiavane.org/node/suspect"
	"fuchsiavane.org/node/upstream"
)

// Version is the version of the program.
const Version = "0.1.0"

// options returns the options of the upstream's runner.
func (s *Options) options() []upstream.Option {
	var options []upstream.Option
	if s.UpstreamDialect != nil {
		options = append(options, upstream.WithDialect(s.UpstreamDialect))
	}
	if s.Presence != nil {
		options = append(options, upstream.WithPresence(s.Presence))
	}
	return options
}

// Daemon is one fuchsiavaned.
type Daemon struct {
	config   config.Config
	log      *event.Logger
	settings *settingsync.Holder
	picker   *route.Picker
	shared   *shared
	pool     *link.Pool
	listener *link.Listener
	gate     *upstream.Gate
	runner   *upstream.Runner
	own      call.Server // what stands in front of the runner
	keeper   *once.ClaimManager
	guard    *suspect.Guard
	gateway  *gateway.Gateway
	far      *gateway.RegionLink
	metrics  *metrics.Metrics
	ports    *ports

	around    Options
	life      *life
	drainOnce sync.Once
	draining  chan struct{} // closed when a planned stop begins
}

// Options is what a daemon finds where it runs, besides its settings. The
// zero value is the product's own interface.
type Options struct {
	// Presence follows the upstream's own announcements; nil if it makes none.
	Presence *presence.Presence
	// CallerDialect is the convention of headers at the caller port, which then takes
	// calls by host and path, the upstream's own calls among them; nil for the
	// product's.
	CallerDialect gateway.Dialect
	// UpstreamDialect is the convention of headers towards the upstream; nil for the
	// product's.
	UpstreamDialect upstream.Dialect
	// NoticePeriod is the first part of a planned stop, in which callers and peers
	// learn of it and requests are still taken; 0 for the usual time.
	NoticePeriod time.Duration
	// MaxStoreBackoff bounds the pause after a failed call to the store; 0 for the
	// usual one, which spares the store of a large fleet.
	MaxStoreBackoff time.Duration
}

// New puts a daemon together. It opens no port.
func New(c config.Config, store kv.Store, log *event.Logger) (*Daemon, error) {
	return NewWithOptions(Options{}, c, store, log)
}

// NewWithOptions is New for a daemon in other surroundings.
func NewWithOptions(s Options, c config.Config, store kv.Store, log *event.Logger) (*Daemon, error) {
	base, err := url.Parse(c.Upstream)
	if err != nil {
		return nil, errors.Wrap(err, "upstream")
	}
	d := &Daemon{
		config:   c,
		log:      log,
		settings: settingsync.NewHolder(),
		picker:   route.NewPicker(route.Locality{Instance: c.InstanceID, Region: c.Region, DataCentre: c.DataCentre}),
		far:      gateway.NewRegionLink(time.Now()),
		metrics:  metrics.New(),
		life:     newLife(),
		draining: make(chan struct{}),
		around:   s,
	}
	if d.around.NoticePeriod == 0 {
		d.around.NoticePeriod = noticeTime
	}
	identity := link.Identity{Instance: c.InstanceID, Key: []byte(c.LinkKey)}
	table := runs.NewTable()
	d.shared = newShared(s, c, store, d.settings, d.picker, d.metrics, log)
	d.gate = upstream.NewGate(c.Service, d.settings)
	d.gate.SetLogger(log)
	d.runner = upstream.NewRunner(base, d.gate, table, s.options()...)
	d.pool = link.NewPool(identity, link.DefaultTiming(), log)
	d.guardOwn(store, base)
	d.listener = link.NewListener(identity, link.DefaultTiming(), d.own, log)
	d.gateway = gateway.New(gateway.Config{
		Instance: c.InstanceID, Locality: route.Locality{Region: c.Region, DataCentre: c.DataCentre},
		Settings: d.settings, Picker: d.picker, RegionLink: d.far, Transport: d.pool,
		Dialect:  s.CallerDialect,
		Upstream: d.own, Runs: table, Suspects: d.guard.Ledger(), Observer: d.metrics, Log: log,
	})
	d.metrics.Gauge("fuchsiavane_running", func() float64 { running, _ := d.gate.Occupancy(); return float64(running) })
	d.linkMetrics()
	d.metrics.Gauge("fuchsiavane_queued", func() float64 { _, queued := d.gate.Occupancy(); return float64(queued) })
	d.metrics.Gauge("fuchsiavane_limit", func() float64 { return float64(d.gate.Limit()) })
	d.metrics.Gauge("fuchsiavane_refused_part", d.gate.RefusedFraction)
	return d, nil
}

// Run opens the ports and serves until the context ends or Drain is called, and
// then stops as planned. It returns nil after a planned stop.
func (d *Daemon) Run(ctx context.Context) error {
	var err error
	if d.ports, err = d.listen(); err != nil {
		d.life.fire(eventFail)
		return err
	}
	if err = d.shared.members.Listen(); err != nil {
		d.ports.close()
		d.life.fire(eventFail)
		return err
	}
	d.life.fire(eventPortsOpen)
	if d.config.LinkKey == "" {
		d.log.Log(event.LinksLoopbackOnly).Msg("no link key is set: links are taken from loopback only")
	}
	duties, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	d.shared.start()
	group.Go(func() { d.followShares(duties) })
	if d.around.CallerDialect == nil {
		group.Go(func() { d.keeper.Run(duties) })
	}
	if d.around.Presence != nil {
		group.Go(func() { d.followUpstream(duties) })
	}
	stopGate := d.runGate()
	failed := d.ports.serve()
	d.log.Log(event.DaemonStarted).Str("service", d.config.Service).Str("peer_listen", d.config.PeerListen).Msg("daemon started")
	select {
	case <-ctx.Done():
	case <-d.draining:
	case err = <-failed:
		d.log.Log(event.PortFailed).Err(err).Msg("a port failed")
	}
	d.leave(stop, &group)
	stopGate()
	return err
}

// runGate starts the gate's duty, which also serves the requests that a planned
// stop waits for. It returns the function that ends it.
func (d *Daemon) runGate() func() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { d.gate.Run(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}

// Drain begins a planned stop.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		d.life.fire(eventLeave)
		close(d.draining)
	})
}

var _ admin.Daemon = (*Daemon)(nil)

// Ready implements admin.Daemon.
func (d *Daemon) Ready() bool {
	if d.around.CallerDialect != nil && d.settings.Current().Revision == 0 {
		return false
	}
	return d.life.String() == admin.StateServing && !d.shared.members.View().Superseded
}

// WriteMetrics implements admin.Daemon.
func (d *Daemon) WriteMetrics(w io.Writer) { d.metrics.Write(w) }

// Status implements admin.Daemon.
func (d *Daemon) Status() admin.Status {
	running, queued := d.gate.Occupancy()
	s := admin.Status{
		Version: Version, Instance: d.config.InstanceID, Service: d.config.Service,
		Region: d.config.Region, DataCentre: d.config.DataCentre, Life: d.life.String(),
		SettingsRevision: d.settings.Current().Revision, Running: running, Queued: queued,
		RegionLinkShare: d.far.Rate(), Ejected: d.picker.Ejected(time.Now()),
	}
	d.shared.describe(&s)
	return s
}
