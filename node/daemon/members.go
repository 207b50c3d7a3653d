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

// statusTimeout bounds the wait for the membership duty.
const statusTimeout = 100 * time.Millisecond

// goneTimeout bounds the last word to the peers.
const goneTimeout = time.Second

// shared is what a daemon has in common with its peers: the view of the fleet
// and the settings in force. It runs until the end of a planned stop.
type shared struct {
	members  *membership.Driver
	exchange *settingsync.Exchange
	syncer   *settingsync.Syncer

	stop  context.CancelFunc
	group sync.WaitGroup
}

func newShared(around Options, c config.Config, store kv.Store, holder *settingsync.Holder, picker *route.Picker, m *metrics.Metrics, log *event.Logger) *shared {
	s := &shared{
		members: membership.New(membership.Config{
			Self: member.Record{
				ID: c.InstanceID, Service: c.Service, Region: c.Region, DataCentre: c.DataCentre,
				Addr: c.PeerListen, Admin: c.AdminListen,
			},
			Peers: c.PeerList(), Key: []byte(c.LinkKey), Store: store, Picker: picker, Metrics: m, Log: log,
		}),
		exchange: settingsync.NewExchange(holder, []byte(c.LinkKey)),
	}
	s.syncer = settingsync.NewSyncer(settingsync.Config{
		Store: store, Holder: holder, Exchange: s.exchange, Peers: s.members, Metrics: m, Log: log, MaxStoreBackoff: around.MaxStoreBackoff,
	})
	return s
}

// start runs the duties, after the datagram port was opened.
func (s *shared) start() {
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.group.Go(func() { s.members.Run(ctx) })
	s.group.Go(func() { s.syncer.Run(ctx) })
}

// end tells the peers that this instance ends, and stops the duties.
func (s *shared) end() {
	ctx, cancel := context.WithTimeout(context.Background(), goneTimeout)
	defer cancel()
	s.members.Stop(ctx)
	s.stop()
	s.group.Wait()
}

// states are the names of what is known of a peer.
const (
	stateSuspect     = "suspect"
	stateUnreachable = "unreachable"
)

// describe adds the view of the fleet to a status.
func (s *shared) describe(status *admin.Status) {
	view := s.members.View()
	status.Relay = view.Relay
	status.Superseded = view.Superseded
	status.Unreachable = view.Unreachable
	status.StoreRevision, status.StoreOlder = s.syncer.StaleStoreRevision()
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	peers := s.members.Peers(ctx)
	for i := range peers {
		p := &peers[i]
		status.Peers = append(status.Peers, admin.Peer{
			ID: p.ID, Service: p.Service, Region: p.Region, DataCentre: p.DataCentre, Addr: p.Addr, Admin: p.Admin,
			State: stateOf(p), SettingsRevision: p.Revision,
		})
	}
}

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
