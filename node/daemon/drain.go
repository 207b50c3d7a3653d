package daemon

import (
	"context"
	"sync"
	"time"

	"fuchsiavane.org/node/event"
)

const (
	// noticeTime is the first part of a planned stop: peers and callers are told
	// and requests are still run, so that none is refused because the news had
	// not reached its sender.
	noticeTime = time.Second
	// finishInterval is the pause between looks at what still runs.
	finishInterval = 5 * time.Millisecond
	// linksTime bounds the wait for the peers to close their links.
	linksTime = 3 * time.Second
)

// leave is the planned stop: tell the peers and the callers, refuse new work,
// finish what runs, deliver every answer, close.
func (d *Daemon) leave(stopDuties context.CancelFunc, duties *sync.WaitGroup) {
	d.Drain()
	d.log.Log(event.DaemonLeaving).Int("running", d.runner.InFlight()).Msg("planned stop")
	bound := d.settings.Current().Document.ServiceValues(d.config.Service).Drain
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	stopDuties()
	duties.Wait()
	if d.around.Callers == nil {
		d.releaseClaims(ctx)
	}
	d.giveNotice(ctx)
	d.runner.Leave()
	d.ports.drainCallers(ctx)
	d.finish(ctx)
	cut := d.runner.InFlight()
	d.closeLinks()
	d.ports.drainLocal(ctx)
	d.pool.Close()
	d.ports.close()
	d.life.fire(eventFinished)
	d.log.Log(event.DaemonStopped).Int("cut", cut).Msg("daemon stopped")
}

// giveNotice tells the peers and, by closing each connection after its answer,
// the callers.
func (d *Daemon) giveNotice(ctx context.Context) {
	d.ports.closeAfterAnswer()
	ctx, cancel := context.WithTimeout(ctx, d.around.Notice)
	defer cancel()
	d.shared.members.Leave(ctx)
	<-ctx.Done()
}

// closeLinks waits until the peers have their answers.
func (d *Daemon) closeLinks() {
	ctx, cancel := context.WithTimeout(context.Background(), linksTime)
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
