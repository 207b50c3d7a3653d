package daemon

import (
	"context"
	"net/url"
	"slices"
	"time"

	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/once"
	"fuchsiavane.org/node/suspect"
)

// initLocalServer creates the server for requests to this instance's upstream. In
// front of the runner, requests for other services are refused, the claims ensure that
// a non-idempotent request runs at most once, and the guard refuses requests that
// crashed upstreams.
func (d *Daemon) initLocalServer(store kv.Store, base *url.URL) {
	d.claims = once.NewClaimManager(once.Config{
		Instance: d.config.InstanceID, Service: d.config.Service,
		Store: store, LiveInstances: d.servingInstances, Log: d.log,
	})
	broadcaster := &suspect.PeerBroadcaster{
		Instance: d.config.InstanceID, Service: d.config.Service, Transport: d.pool,
		Peers: func() []route.Peer { return d.picker.ServicePeers(d.config.Service) },
	}
	d.guard = suspect.NewGuard(d.runner, base.Host, broadcaster, d.log)
	d.recaller = suspect.NewRecaller(d.guard.Ledger(), []byte(d.config.LinkKey), d.serviceNeighbours, d.log)
	check := &serviceCheck{service: d.config.Service, next: once.NewServer(d.claims, d.guard), log: d.log}
	d.localServer = check
	d.metrics.Gauge("fuchsiavane_requests_misdirected_total", func() float64 { return float64(check.refused.Load()) })
	d.registerClaimMetrics()
	d.metrics.Gauge("fuchsiavane_upstream_crashes_total", func() float64 { return float64(d.guard.Crashes()) })
	d.metrics.Gauge("fuchsiavane_suspects", func() float64 { return float64(len(d.guard.Ledger().List(time.Now()))) })
}

// registerClaimMetrics registers gauges for the claims on idempotency keys.
func (d *Daemon) registerClaimMetrics() {
	status := func(read func(once.Status) float64) func() float64 {
		return func() float64 { return read(d.claims.Status()) }
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

// Claims returns the status of this daemon's claims on idempotency keys.
func (d *Daemon) Claims() once.Status { return d.claims.Status() }

// serviceNeighbours returns the other known instances of this daemon's service.
func (d *Daemon) serviceNeighbours() []route.Peer {
	return slices.DeleteFunc(d.picker.ServicePeers(d.config.Service), func(p route.Peer) bool { return p.ID == d.config.InstanceID })
}

// servingInstances returns the instances of this daemon's service that take new
// requests, sorted.
func (d *Daemon) servingInstances() []string { return d.picker.Serving(d.config.Service) }

// releaseTimeout bounds the store edit that releases the claims.
const releaseTimeout = 2 * time.Second

// releaseClaims releases the claims before the peers are notified of the drain, so
// that they can claim the shards at once. This daemon still owns keys that are older
// than the newest key it has run, and runs them until it refuses new requests.
func (d *Daemon) releaseClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := d.claims.Release(ctx); err != nil {
		d.log.Log(event.ClaimsNotReleased).Err(err).Msg("failed to release claims on idempotency keys")
	}
}
