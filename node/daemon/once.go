package daemon

import (
	"context"
	"net/url"
	"time"

	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/once"
	"fuchsiavane.org/node/suspect"
)

// guardOwn puts in front of the runner what decides whether a request may run
// at all.
func (d *Daemon) guardOwn(store kv.Store, base *url.URL) {
	d.keeper = once.NewClaimManager(once.Config{
		Instance: d.config.InstanceID, Service: d.config.Service,
		Store: store, LiveInstances: d.liveOfService, Log: d.log,
	})
	teller := &suspect.PeerBroadcaster{
		Instance: d.config.InstanceID, Service: d.config.Service, Transport: d.pool,
		Peers: func() []route.Peer { return d.picker.ServicePeers(d.config.Service) },
	}
	d.guard = suspect.NewGuard(d.runner, base.Host, teller, d.log)
	d.own = once.NewServer(d.keeper, d.guard)
	d.gaugeClaims()
	d.metrics.Gauge("fuchsiavane_upstream_crashes_total", func() float64 { return float64(d.guard.Crashes()) })
	d.metrics.Gauge("fuchsiavane_suspects", func() float64 { return float64(len(d.guard.Ledger().List(time.Now()))) })
}

func (d *Daemon) gaugeClaims() {
	status := func(read func(once.Status) float64) func() float64 {
		return func() float64 { return read(d.keeper.Status()) }
	}
	d.metrics.Gauge("fuchsiavane_once_shards", status(func(s once.Status) float64 { return float64(s.Shards) }))
	d.metrics.Gauge("fuchsiavane_once_claim_left_seconds", status(func(s once.Status) float64 { return s.Remaining.Seconds() }))
	d.metrics.Gauge("fuchsiavane_once_keys", status(func(s once.Status) float64 { return float64(s.Keys) }))
	d.metrics.Gauge("fuchsiavane_once_answer_bytes", status(func(s once.Status) float64 { return float64(s.AnswerBytes) }))
	d.metrics.Gauge("fuchsiavane_once_store_reads_total", status(func(s once.Status) float64 { return float64(s.Reads) }))
	d.metrics.Gauge("fuchsiavane_once_store_writes_total", status(func(s once.Status) float64 { return float64(s.Writes) }))
	d.metrics.Gauge(`fuchsiavane_once_keys_total{verdict="run"}`, status(func(s once.Status) float64 { return float64(s.Runs) }))
	d.metrics.Gauge(`fuchsiavane_once_keys_total{verdict="replayed"}`, status(func(s once.Status) float64 { return float64(s.Joins + s.Replays) }))
	d.metrics.Gauge(`fuchsiavane_once_keys_total{verdict="unknown"}`, status(func(s once.Status) float64 { return float64(s.Duplicates) }))
	d.metrics.Gauge(`fuchsiavane_once_keys_total{verdict="refused"}`, status(func(s once.Status) float64 { return float64(s.Refused) }))
}

// Claims returns what this daemon holds of the keys of non-idempotent requests.
func (d *Daemon) Claims() once.Status { return d.keeper.Status() }

// liveOfService returns the instances of the own service that take new work,
// sorted.
func (d *Daemon) liveOfService() []string { return d.picker.Serving(d.config.Service) }

// releaseTimeout bounds the edit that gives the claims up.
const releaseTimeout = 2 * time.Second

// releaseClaims gives the claims up before the peers learn that this daemon
// leaves, so that they take over at once. Keys older than the youngest one that
// it has run stay its own, and it runs them until it refuses new work.
func (d *Daemon) releaseClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := d.keeper.Release(ctx); err != nil {
		d.log.Log(event.ClaimsNotReleased).Err(err).Msg("claims not released")
	}
}
