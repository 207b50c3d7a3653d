package membership

import (
	"time"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/event"
)

// View is what the daemon knows of the fleet. It is immutable.
type View struct {
	// Peers are the members that are not dead, this one included.
	Peers []member.Peer
	// Unreachable lists the data centres that don't answer.
	Unreachable []string
	// Relay is set if this member is a relay.
	Relay bool
	// Superseded is set once another process holds this instance id.
	Superseded bool
	// HighestRevision is the highest settings revision heard of from peers.
	HighestRevision member.RevisionSource
}

// publish makes the member's view known to the daemon.
func (d *Driver) publish() {
	d.report()
	old := d.view.Load()
	newest := d.member.HighestRevision()
	if old != nil && newest != old.HighestRevision {
		select {
		case d.newest <- struct{}{}:
		default: // one is waiting already
		}
	}
	version := d.member.Version()
	if old != nil && version == d.published && newest == old.HighestRevision && old.Superseded == d.member.Superseded() {
		return
	}
	next := &View{HighestRevision: newest, Superseded: d.member.Superseded()}
	if old != nil && version == d.published {
		next.Peers, next.Unreachable, next.Relay = old.Peers, old.Unreachable, old.Relay
	} else {
		d.published = version
		next.Peers, next.Unreachable, next.Relay = d.member.Peers(), d.member.Unreachable(), d.member.IsRelay()
		d.config.Picker.Update(time.Now(), routes(next.Peers))
	}
	d.view.Store(next)
	if old != nil && len(old.Peers) != len(next.Peers) {
		d.config.Log.Log(event.PeersChanged).Int("peers", len(next.Peers)).Msg("peers changed")
	}
}

// routes returns the peers that calls may go to. Members of a data centre that
// does not answer are left out unless their service has no others: links may
// still work where datagrams don't.
func routes(peers []member.Peer) []route.Peer {
	reachable := map[string]bool{}
	for i := range peers {
		if !peers[i].Unreachable {
			reachable[peers[i].Service] = true
		}
	}
	list := make([]route.Peer, 0, len(peers))
	for i := range peers {
		p := &peers[i]
		if p.Unreachable && reachable[p.Service] {
			continue
		}
		list = append(list, route.Peer{
			ID: p.ID, Service: p.Service, Region: p.Region, DataCentre: p.DataCentre, Addr: p.Addr, Admin: p.Admin,
			Started: time.UnixMilli(int64(p.Started)).UnixNano(), Leaving: p.Leaving,
		})
	}
	return list
}

var eventsOf = map[member.EventKind]event.Event{
	member.EventDead:        event.MemberDead,
	member.EventResumed:     event.MemberResumed,
	member.EventSuperseded:  event.InstanceDuplicate,
	member.EventUnreachable: event.DataCentreUnreachable,
	member.EventReachable:   event.DataCentreReachable,
}

// report logs what happened in the member.
func (d *Driver) report() {
	for _, e := range d.member.Events() {
		if logged, ok := eventsOf[e.Kind]; ok {
			d.config.Log.Log(logged).Str("subject", e.Subject).Msg(logged.Name)
		}
	}
}
