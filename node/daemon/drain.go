package daemon

import (
	"context"
	"sync"
	"time"

	"fuchsiavane.org/core/drain"
	"fuchsiavane.org/node/event"
)

const (
	// defaultNoticePeriod is the maximum time between the notification of the peers and
	// the first refused request, so that no request is refused because its sender did not
	// know of the drain. It is also the default of Options.NoticePeriod.
	defaultNoticePeriod = time.Second
	// runPollInterval is the interval of checks for requests that still run.
	runPollInterval = 5 * time.Millisecond
	// linkCloseTimeout bounds the wait for the peers to close their links.
	// linkCloseGrace is how far this wait may exceed the drain timeout.
	linkCloseTimeout = 3 * time.Second
	linkCloseGrace   = 400 * time.Millisecond
)

// runDrain drains the daemon: it notifies callers and peers, refuses requests that may
// outlast the drain, waits for running requests, delivers every response and closes the
// ports. The caller port stays open as long as requests run, since their upstream may
// make its calls there.
func (d *Daemon) runDrain(stopBackground context.CancelFunc, background *sync.WaitGroup) {
	d.Drain()
	d.gateway.SetLeaving()
	d.log.Log(event.DaemonLeaving).Int("running", d.runner.InFlight()).Msg("draining: finishing running requests")
	timeout := d.settings.Current().Document.ServiceValues(d.config.Service).DrainTimeout
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	stopBackground()
	background.Wait()
	if d.options.CallerDialect == nil {
		d.releaseClaims(ctx)
	}
	end, _ := ctx.Deadline()
	now := time.Now()
	plan := drain.NewPlan(now, end.Sub(now), d.options.NoticePeriod)
	d.gateway.StartDraining(plan)
	d.runner.StartDraining(plan)
	d.announceDrain(ctx, plan.Notice)
	d.awaitRuns(ctx)
	d.ports.drainCallerPort(ctx)
	cut := d.runner.InFlight()
	d.closeLinks(ctx)
	d.ports.drainLocalPort(ctx)
	d.pool.Close()
	d.ports.close()
	d.lifecycle.fire(eventFinished)
	d.log.Log(event.DaemonStopped).Int("cut", cut).Msg("daemon stopped")
}

// announceDrain notifies the callers, by closing each connection after its
// response, and later the peers. Callers may need longer to switch to another
// daemon; until the peers are notified, the upstream keeps its share of the fleet's
// requests.
func (d *Daemon) announceDrain(ctx context.Context, notice time.Duration) {
	d.ports.closeAfterResponse()
	peerNotice := min(defaultNoticePeriod, notice)
	sleep(ctx, notice-peerNotice)
	d.fleet.members.Leave(ctx)
	sleep(ctx, peerNotice)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// closeLinks waits until the peers have received their responses and closed their
// links, and then leaves the fleet. drainCtx bounds the whole drain.
func (d *Daemon) closeLinks(drainCtx context.Context) {
	deadline := time.Now().Add(linkCloseTimeout)
	if end, ok := drainCtx.Deadline(); ok && end.Add(linkCloseGrace).Before(deadline) {
		deadline = end.Add(linkCloseGrace)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d.listener.Shutdown(ctx)
	d.fleet.shutdown()
}

// awaitRuns waits until the upstream runs no request or ctx ends.
func (d *Daemon) awaitRuns(ctx context.Context) {
	ticker := time.NewTicker(runPollInterval)
	defer ticker.Stop()
	for d.runner.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
