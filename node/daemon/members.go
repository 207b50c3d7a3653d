package daemon

import (
	"context"
	"sync"
	"time"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/admin"
	"fuchsiavane.org/node/config"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/membership"
	"fuchsiavane.org/node/metrics"
	"fuchsiavane.org/node/settingsync"
)

// statusTimeout bounds the wait for the list of peers from the membership driver.
const statusTimeout = 100 * time.Millisecond

// announceStopTimeout bounds the announcement that this instance has left.
const announceStopTimeout = time.Second

// fleetState keeps the state that a daemon shares with its peers: the membership
// and the settings in force. It runs until the end of a drain.
type fleetState struct {
	members  *membership.Driver
	exchange *settingsync.Exchange
	syncer   *settingsync.Syncer

	stop  context.CancelFunc
	group sync.WaitGroup
}

// newFleetState returns a fleetState whose background loops have not started.
func newFleetState(options Options, c config.Config, store kv.Store, holder *settingsync.Holder, picker *route.Picker, m *metrics.Metrics, log *event.Logger) *fleetState {
	f := &fleetState{
		members: membership.New(membership.Config{
			Self: member.Record{
				ID: c.InstanceID, Service: c.Service, Region: c.Region, DataCentre: c.DataCentre,
				Addr: c.PeerListen, Admin: c.AdminListen,
			},
			Peers: c.PeerList(), Key: []byte(c.LinkKey), Store: store, Picker: picker, Metrics: m, Log: log,
		}),
		exchange: settingsync.NewExchange(holder, []byte(c.LinkKey)),
	}
	f.syncer = settingsync.NewSyncer(settingsync.Config{
		Store: store, Holder: holder, Exchange: f.exchange, Peers: f.members, Metrics: m, Log: log, MaxStoreBackoff: options.MaxStoreBackoff,
	})
	return f
}

// start runs the background loops. The datagram port must be open.
func (f *fleetState) start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.group.Go(func() { f.members.Run(ctx) })
	f.group.Go(func() { f.syncer.Run(ctx) })
}

// shutdown announces to the peers that this instance has left, and stops the
// background loops. It is called near the end of a drain.
func (f *fleetState) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), announceStopTimeout)
	defer cancel()
	f.members.Stop(ctx)
	f.stop()
	f.group.Wait()
}

// Peer states that admin does not define, as admin.Peer reports them.
const (
	stateSuspect     = "suspect"
	stateUnreachable = "unreachable"
)

// fillStatus adds the fleet's state to a status.
func (f *fleetState) fillStatus(status *admin.Status) {
	view := f.members.View()
	status.Relay = view.Relay
	status.Superseded = view.Superseded
	status.Unreachable = view.Unreachable
	status.StoreRevision, status.StoreOutdated = f.syncer.StaleStoreRevision()
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	peers := f.members.Peers(ctx)
	for i := range peers {
		p := &peers[i]
		status.Peers = append(status.Peers, admin.Peer{
			ID: p.ID, Service: p.Service, Region: p.Region, DataCentre: p.DataCentre, Addr: p.Addr, Admin: p.Admin,
			State: stateOf(p), SettingsRevision: p.Revision,
		})
	}
}

// stateOf returns the state of a peer as admin.Peer reports it.
func stateOf(p *member.Peer) string {
	switch {
	case p.Unreachable:
		return stateUnreachable
	case p.Leaving:
		return admin.StateLeaving
	case p.State == member.StateSuspect:
		return stateSuspect
	}
	return admin.StateServing
}
