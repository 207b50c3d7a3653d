package membership

import (
	"time"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/event"
)

// View is a snapshot of the fleet as this member knows it. It is immutable.
type View struct {
	// Peers are the members that are not dead, including this one.
	Peers []member.Peer
	// Unreachable lists the data centres that do not answer.
	Unreachable []string
	// Relay is set if this member is a relay, one of the few members of its data
	// centre that exchange updates with other data centres.
	Relay bool
	// Superseded is set once a process that started later uses this instance id.
	Superseded bool
	// HighestRevision is the highest settings revision that a peer reported, with
	// the address of such a peer.
	HighestRevision member.RevisionSource
}

// publish logs the member's events, replaces the view if the member has changed,
// and passes changed peers to routing.
func (d *Driver) publish() {
	d.logEvents()
	old := d.view.Load()
	newest := d.member.HighestRevision()
	if old != nil && newest != old.HighestRevision {
		select {
		case d.revisionChanges <- struct{}{}:
		default: // a notification is already pending
		}
	}
	version := d.member.Version()
	if old != nil && version == d.publishedVersion && newest == old.HighestRevision && old.Superseded == d.member.Superseded() {
		return
	}
	next := &View{HighestRevision: newest, Superseded: d.member.Superseded()}
	if old != nil && version == d.publishedVersion {
		next.Peers, next.Unreachable, next.Relay = old.Peers, old.Unreachable, old.Relay
	} else {
		d.publishedVersion = version
		next.Peers, next.Unreachable, next.Relay = d.member.Peers(), d.member.Unreachable(), d.member.IsRelay()
		d.config.Picker.Update(time.Now(), routePeers(next.Peers))
	}
	d.view.Store(next)
	if old != nil && len(old.Peers) != len(next.Peers) {
		d.config.Log.Log(event.PeersChanged).Int("peers", len(next.Peers)).Msg("peers changed")
	}
}

// routePeers returns the peers that calls may be routed to. Members of unreachable
// data centres are omitted unless their service has no other members: links may
// still work where datagrams don't.
func routePeers(peers []member.Peer) []route.Peer {
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

var eventsByKind = map[member.EventKind]event.Event{
	member.EventDead:        event.MemberDead,
	member.EventResumed:     event.MemberResumed,
	member.EventSuperseded:  event.InstanceDuplicate,
	member.EventUnreachable: event.DataCentreUnreachable,
	member.EventReachable:   event.DataCentreReachable,
}

// logEvents logs the events of the member since the last call.
func (d *Driver) logEvents() {
	for _, e := range d.member.Events() {
		if logged, ok := eventsByKind[e.Kind]; ok {
			d.config.Log.Log(logged).Str("subject", e.Subject).Msg(logged.Name)
		}
	}
}
