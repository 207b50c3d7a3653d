package daemon

import (
	"context"
	"sync"
	"time"

	"fuchsiavane.org/node/event"
)

const (
	// noticeTime is the time before requests are refused in which peers, and callers
	// unless Surroundings.Notice says otherwise, learn of a planned stop: none is
	// refused because the news had not reached its sender.
	noticeTime = time.Second
	// finishInterval is the pause between looks at what still runs.
	finishInterval = 5 * time.Millisecond
	// linksTime bounds the wait for the peers to close their links, and lateLinksTime
	// the part of it that may come after the time for the whole stop.
	linksTime     = 3 * time.Second
	lateLinksTime = 400 * time.Millisecond
)

// leave is the planned stop: tell the peers and the callers, refuse new work,
// finish what runs, deliver every answer, close.
func (d *Daemon) leave(stopDuties context.CancelFunc, duties *sync.WaitGroup) {
	d.Drain()
	d.gateway.SetLeaving()
	d.log.Log(event.DaemonLeaving).Int("running", d.runner.InFlight()).Msg("planned stop")
	bound := d.settings.Current().Document.ServiceValues(d.config.Service).DrainTimeout
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	stopDuties()
	duties.Wait()
	if d.around.CallerDialect == nil {
		d.releaseClaims(ctx)
	}
	d.giveNotice(ctx)
	d.runner.StartDraining()
	d.ports.drainCallers(ctx)
	d.finish(ctx)
	cut := d.runner.InFlight()
	d.closeLinks(ctx)
	d.ports.drainLocal(ctx)
	d.pool.Close()
	d.ports.close()
	d.life.fire(eventFinished)
	d.log.Log(event.DaemonStopped).Int("cut", cut).Msg("daemon stopped")
}

// giveNotice tells the callers, by closing each connection after its answer, and
// later the peers. Callers may take longer to turn away; until the peers are told,
// the upstream keeps its share of the work of the fleet.
func (d *Daemon) giveNotice(ctx context.Context) {
	d.ports.closeAfterAnswer()
	toPeers := min(noticeTime, d.around.NoticePeriod)
	pause(ctx, d.around.NoticePeriod-toPeers)
	d.shared.members.Leave(ctx)
	pause(ctx, toPeers)
}

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// closeLinks waits until the peers have their answers. stop is the context of the
// whole stop.
func (d *Daemon) closeLinks(stop context.Context) {
	bound := time.Now().Add(linksTime)
	if end, ok := stop.Deadline(); ok && end.Add(lateLinksTime).Before(bound) {
		bound = end.Add(lateLinksTime)
	}
	ctx, cancel := context.WithDeadline(context.Background(), bound)
	defer cancel()
	d.listener.Shutdown(ctx)
	d.shared.end()
}

// finish waits until nothing runs at the upstream.
func (d *Daemon) finish(ctx context.Context) {
	ticker := time.NewTicker(finishInterval)
	defer ticker.Stop()
	for d.runner.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
