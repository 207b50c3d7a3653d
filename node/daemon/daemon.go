// Package daemon assembles fuchsiavaned from its components and runs their
// background loops.
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
	"fuchsiavane.org/node/bodies"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/config"
	"fuchsiavane.org/node/departure"
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

// Version is the version of fuchsiavaned and its tools.
const Version = "0.1.0"

// upstreamOptions returns the options of the upstream runner.
func (o *Options) upstreamOptions() []upstream.Option {
	var options []upstream.Option
	if o.UpstreamDialect != nil {
		options = append(options, upstream.WithDialect(o.UpstreamDialect))
	}
	if o.Presence != nil {
		options = append(options, upstream.WithPresence(o.Presence))
	}
	return options
}

// Daemon is one fuchsiavaned instance with its ports and background loops. It
// implements admin.Daemon.
type Daemon struct {
	config      config.Config
	log         *event.Logger
	settings    *settingsync.Holder
	picker      *route.Picker
	fleet       *fleetState
	pool        *link.Pool
	listener    *link.Listener
	gate        *upstream.Gate
	runner      *upstream.Runner
	localServer call.Server // service check, claims and crash guard in front of the runner
	claims      *once.ClaimManager
	guard       *suspect.Guard
	recaller    *suspect.Recaller
	gateway     *gateway.Gateway
	regionLink  *gateway.RegionLink
	bodies      *bodies.Budget
	metrics     *metrics.Metrics
	ports       *ports

	options   Options
	lifecycle *lifecycle
	drainOnce sync.Once
	draining  chan struct{} // closed when a drain begins
}

// Options holds the platform adapters and timings of a daemon that are not process
// settings. The zero value selects fuchsiavane's own protocol and default timings.
type Options struct {
	// Presence tracks the upstream's heartbeats; nil if the upstream sends none.
	Presence *presence.Presence
	// DepartureKeeper keeps the departures of Presence in the store; nil if they end with
	// the process.
	DepartureKeeper *departure.Keeper
	// CallerDialect is the header convention of the caller port. If it is set, the
	// port routes calls by host and path, including calls from the upstream; nil
	// selects fuchsiavane's own headers.
	CallerDialect gateway.Dialect
	// UpstreamDialect is the header convention towards the upstream; nil selects
	// fuchsiavane's own headers.
	UpstreamDialect upstream.Dialect
	// NoticePeriod is the first phase of a drain, in which callers and then peers
	// are notified while requests are still admitted; 0 means 1 s.
	NoticePeriod time.Duration
	// MaxStoreBackoff is the maximum backoff after a failed call to the store; 0
	// means the default of node/settingsync, which protects the store of a large
	// fleet.
	MaxStoreBackoff time.Duration
}

// bodyMemory returns the memory for request bodies in bytes.
func bodyMemory(c config.Config) int {
	if c.BodyMemory == 0 {
		return config.DefaultBodyMemory << 20
	}
	return c.BodyMemory << 20
}

// New returns a daemon with the default options. It opens no port; Run does.
func New(c config.Config, store kv.Store, log *event.Logger) (*Daemon, error) {
	return NewWithOptions(Options{}, c, store, log)
}

// NewWithOptions returns a daemon with the given options. It opens no port; Run
// does.
func NewWithOptions(options Options, c config.Config, store kv.Store, log *event.Logger) (*Daemon, error) {
	base, err := url.Parse(c.Upstream)
	if err != nil {
		return nil, errors.Wrap(err, "upstream")
	}
	d := &Daemon{
		config:     c,
		log:        log,
		settings:   settingsync.NewHolder(),
		picker:     route.NewPicker(route.Locality{Instance: c.InstanceID, Region: c.Region, DataCentre: c.DataCentre}),
		regionLink: gateway.NewRegionLink(time.Now()),
		bodies:     bodies.NewBudget(bodyMemory(c)),
		metrics:    metrics.New(),
		lifecycle:  newLifecycle(),
		draining:   make(chan struct{}),
		options:    options,
	}
	if d.options.NoticePeriod == 0 {
		d.options.NoticePeriod = defaultNoticePeriod
	}
	identity := link.Identity{Instance: c.InstanceID, Key: []byte(c.LinkKey)}
	table := runs.NewTable()
	d.fleet = newFleetState(options, c, store, d.settings, d.picker, d.metrics, log)
	d.gate = upstream.NewGate(c.Service, d.settings)
	d.gate.SetLogger(log)
	d.runner = upstream.NewRunner(base, d.gate, table, options.upstreamOptions()...)
	d.pool = link.NewPool(identity, link.DefaultTiming(), log)
	d.initLocalServer(store, base)
	d.listener = link.NewListener(identity, link.DefaultTiming(), d.localServer, d.bodies, log)
	d.gateway = gateway.New(gateway.Config{
		Instance: c.InstanceID, Locality: route.Locality{Region: c.Region, DataCentre: c.DataCentre},
		Settings: d.settings, Picker: d.picker, RegionLink: d.regionLink, Transport: d.pool,
		Dialect: options.CallerDialect, Bodies: d.bodies,
		Upstream: d.localServer, Runs: table, Suspects: d.guard.Ledger(), Observer: d.metrics, Log: log,
	})
	d.metrics.Gauge("fuchsiavane_running", func() float64 { running, _ := d.gate.Occupancy(); return float64(running) })
	d.registerLinkMetrics()
	d.metrics.Gauge("fuchsiavane_request_body_bytes", func() float64 { used, _ := d.bodies.Used(); return float64(used) })
	d.metrics.Gauge("fuchsiavane_request_body_bytes_peak", func() float64 { _, peak := d.bodies.Used(); return float64(peak) })
	d.metrics.Gauge("fuchsiavane_queued", func() float64 { _, queued := d.gate.Occupancy(); return float64(queued) })
	d.metrics.Gauge("fuchsiavane_limit", func() float64 { return float64(d.gate.Limit()) })
	d.metrics.Gauge("fuchsiavane_upstream_rate_limit", d.gate.RateLimit)
	d.metrics.Gauge("fuchsiavane_refused_part", d.gate.RefusedFraction)
	return d, nil
}

// Run opens the ports and serves until ctx ends, Drain is called or a port fails,
// and then drains. It returns the error of a port that could not be opened or
// failed, and nil otherwise.
func (d *Daemon) Run(ctx context.Context) error {
	if ctx.Err() != nil { // stopped before a port was open
		d.lifecycle.fire(eventLeave)
		d.lifecycle.fire(eventFinished)
		return nil
	}
	var err error
	if d.ports, err = d.listen(); err != nil {
		d.lifecycle.fire(eventFail)
		return err
	}
	if err = d.fleet.members.Listen(); err != nil {
		d.ports.close()
		d.lifecycle.fire(eventFail)
		return err
	}
	d.lifecycle.fire(eventPortsOpen)
	if d.config.LinkKey == "" {
		d.log.Log(event.LinksLoopbackOnly).Msg("no link key is set: accepting links from loopback addresses only")
	}
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var group sync.WaitGroup
	d.fleet.start()
	group.Go(func() { d.updateShares(background) })
	group.Go(func() { d.recaller.Run(background) })
	if d.options.CallerDialect == nil {
		group.Go(func() { d.claims.Run(background) })
	}
	if d.options.Presence != nil {
		group.Go(func() { d.watchUpstream(background) })
	}
	stopGate := runUntilStopped(d.gate.Run)
	stopDepartures := func() {}
	if d.options.DepartureKeeper != nil {
		stopDepartures = runUntilStopped(d.options.DepartureKeeper.Run)
	}
	failed := d.ports.serve()
	d.log.Log(event.DaemonStarted).Str("service", d.config.Service).Str("peer_listen", d.config.PeerListen).Msg("daemon started")
	select {
	case <-ctx.Done():
	case <-d.draining:
	case err = <-failed:
		d.log.Log(event.PortFailed).Err(err).Msg("listening port failed, draining")
	}
	d.runDrain(stopBackground, &group)
	stopGate()
	stopDepartures()
	return err
}

// runUntilStopped starts a background loop that goes on during a drain, which waits for
// requests that are still in the gate and may learn that the upstream leaves. The
// returned function stops the loop and waits for its end.
func runUntilStopped(run func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { run(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}

// Drain starts a drain and returns at once. Run returns when the drain ends. It may
// be called more than once.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		d.lifecycle.fire(eventLeave)
		close(d.draining)
	})
}

var _ admin.Daemon = (*Daemon)(nil)

// Ready implements admin.Daemon. With routed calls the daemon is ready only once
// it has settings.
func (d *Daemon) Ready() bool {
	if d.options.CallerDialect != nil && d.settings.Current().Revision == 0 {
		return false
	}
	return d.lifecycle.String() == admin.StateServing && !d.fleet.members.View().Superseded
}

// WriteMetrics implements admin.Daemon.
func (d *Daemon) WriteMetrics(w io.Writer) { d.metrics.Write(w) }

// Status implements admin.Daemon.
func (d *Daemon) Status() admin.Status {
	running, queued := d.gate.Occupancy()
	s := admin.Status{
		Version: Version, Instance: d.config.InstanceID, Service: d.config.Service,
		Region: d.config.Region, DataCentre: d.config.DataCentre, LifecycleState: d.lifecycle.String(),
		SettingsRevision: d.settings.Current().Revision, Running: running, Queued: queued,
		RegionLinkShare: d.regionLink.Rate(), Ejected: d.picker.Ejected(time.Now()),
	}
	d.fleet.fillStatus(&s)
	return s
}
