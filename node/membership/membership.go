// Package membership drives core/member over the network: datagrams on the
// address of the peer port, streams as HTTP posts to the peer port, and a few
// join addresses in the platform's store.
package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/metrics"
	"fuchsiavane.org/node/platform"
	"fuchsiavane.org/node/seal"
)

const (
	// tickInterval is the pause between two ticks of the member.
	tickInterval = 100 * time.Millisecond
	// inboundLimit and streamLimit bound the messages that wait; more are
	// dropped and counted, since the protocol repeats what is lost.
	inboundLimit = 1024
	streamLimit  = 128
	// streamWorkers is the number of streams sent at the same time.
	streamWorkers = 4
	// commandLimit bounds the calls that wait for the duty.
	commandLimit = 16
	// refusedLogInterval is the least time between two lines on refused messages.
	refusedLogInterval = time.Minute
	// socketBuffer is the kernel's receive buffer of the datagrams, in bytes.
	socketBuffer = 1 << 20
)

// Config is what a Duty needs.
type Config struct {
	// Self is the own record without incarnation.
	Self member.Record
	// Peers are addresses to join by besides those in the store.
	Peers   []string
	Key     []byte
	Store   platform.Store
	Picker  *route.Picker
	Metrics *metrics.Metrics
	Log     *event.Logger
}

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
	// Newest is the highest settings revision heard of from peers.
	Newest member.Newest
}

// Duty is the membership duty. It is safe for concurrent use.
type Duty struct {
	config Config
	seal   *seal.Sealer
	client *http.Client
	counts counts
	start  time.Time

	member   *member.Member // owned by the loop
	conn     *net.UDPConn
	inbound  chan inbound
	streams  chan member.Outgoing
	commands chan command
	view     atomic.Pointer[View]
	level    atomic.Uint32
	newest   chan struct{}
	stopped  chan struct{}

	refusedLog atomic.Int64 // Unix nanoseconds of the last line on a refused message

	published uint64 // the member's version in view; owned by the loop
}

type inbound struct {
	from    string
	message *member.Message
}

type command struct {
	do   func(m *member.Member, now time.Duration) []member.Outgoing
	done chan struct{}
}

// New returns a Duty. It opens no port.
func New(c Config) *Duty {
	c.Self.Incarnation = uint64(time.Now().UnixMilli())
	if addr, err := net.ResolveUDPAddr("udp", c.Self.Addr); err == nil {
		c.Self.Addr = addr.String()
	}
	d := &Duty{
		config:   c,
		seal:     seal.New(c.Key),
		client:   &http.Client{Timeout: streamTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: streamIdle}},
		counts:   newCounts(c.Metrics),
		start:    time.Now(),
		member:   member.New(c.Self, 0, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		inbound:  make(chan inbound, inboundLimit),
		streams:  make(chan member.Outgoing, streamLimit),
		commands: make(chan command, commandLimit),
		newest:   make(chan struct{}, 1),
		stopped:  make(chan struct{}),
	}
	d.publish()
	c.Metrics.Gauge("fuchsiavane_members", func() float64 { return float64(len(d.View().Peers)) })
	c.Metrics.Gauge("fuchsiavane_data_centres_unreachable", func() float64 { return float64(len(d.View().Unreachable)) })
	return d
}

// Listen opens the datagram port.
func (d *Duty) Listen() error {
	addr, err := net.ResolveUDPAddr("udp", d.config.Self.Addr)
	if err != nil {
		return errors.Wrap(err, "peer datagram port")
	}
	if d.conn, err = net.ListenUDP("udp", addr); err != nil {
		return errors.Wrap(err, "peer datagram port")
	}
	return errors.Wrap(d.conn.SetReadBuffer(socketBuffer), "peer datagram port")
}

// Run drives the member until the context ends, after Listen.
func (d *Duty) Run(ctx context.Context) {
	defer close(d.stopped)
	var group sync.WaitGroup
	group.Go(func() { d.read() })
	for range streamWorkers {
		group.Go(func() { d.sendStreams(ctx) })
	}
	group.Go(func() { newJoiner(d).run(ctx) })
	d.loop(ctx)
	_ = d.conn.Close()
	group.Wait()
}

func (d *Duty) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-d.inbound:
			d.send(d.member.Receive(d.now(), in.from, in.message))
		case c := <-d.commands:
			d.send(c.do(d.member, d.now()))
			close(c.done)
		case <-ticker.C:
			d.member.SetLevel(d.level.Load())
			d.send(d.member.Tick(d.now()))
			d.publish()
		}
		if d.member.Newest() != d.View().Newest {
			d.publish()
		}
	}
}

// now is the monotonic time since the start.
func (d *Duty) now() time.Duration { return time.Since(d.start) }

// do runs a function in the loop and waits for it.
func (d *Duty) do(ctx context.Context, f func(*member.Member, time.Duration) []member.Outgoing) {
	c := command{f, make(chan struct{})}
	select {
	case d.commands <- c:
	case <-ctx.Done():
		return
	case <-d.stopped:
		return
	}
	select {
	case <-c.done:
	case <-ctx.Done():
	case <-d.stopped:
	}
}

// query returns what a function reads from the member in the loop, and whether
// it ran before the context ended.
func query[T any](ctx context.Context, d *Duty, f func(*member.Member) T) (T, bool) {
	result := make(chan T, 1)
	d.do(ctx, func(m *member.Member, _ time.Duration) []member.Outgoing {
		result <- f(m)
		return nil
	})
	select {
	case v := <-result:
		return v, true
	default:
		var none T
		return none, false
	}
}

// Leave tells the peers that this instance takes no new work.
func (d *Duty) Leave(ctx context.Context) { d.do(ctx, (*member.Member).Leave) }

// Gone tells the peers that this instance ends.
func (d *Duty) Gone(ctx context.Context) { d.do(ctx, (*member.Member).Gone) }

// SetRevision tells the peers the settings revision in force.
func (d *Duty) SetRevision(ctx context.Context, revision uint64) {
	d.do(ctx, func(m *member.Member, now time.Duration) []member.Outgoing {
		m.SetRevision(revision)
		return m.Tick(now)
	})
}

// SetLevel sets the admission level that rides on the next messages.
func (d *Duty) SetLevel(level uint32) { d.level.Store(level) }

// View returns what is known of the fleet.
func (d *Duty) View() *View { return d.view.Load() }

// HighestRevision returns the highest settings revision heard of and a peer that
// has it.
func (d *Duty) HighestRevision() member.Newest { return d.View().Newest }

// Newest gets a value when a higher settings revision was heard of.
func (d *Duty) Newest() <-chan struct{} { return d.newest }

// Chosen reports whether rendezvous hashing picks this member as one of n of its
// data centre for a purpose.
func (d *Duty) Chosen(ctx context.Context, purpose string, n int) bool {
	chosen, _ := query(ctx, d, func(m *member.Member) bool { return m.IsChosen(purpose, n) })
	return chosen
}

// relays returns the relays of this data centre.
func (d *Duty) relays(ctx context.Context) []string {
	ids, _ := query(ctx, d, (*member.Member).RelayIDs)
	return ids
}

// Peers returns the members that are not dead as of now, and makes them known to
// routing. View is cheaper, but its revisions and levels may be old.
func (d *Duty) Peers(ctx context.Context) []member.Peer {
	peersNow := func(m *member.Member) []member.Peer {
		d.publish()
		return m.Peers()
	}
	if peers, ok := query(ctx, d, peersNow); ok {
		return peers
	}
	return d.View().Peers
}

// publish makes the member's view known to the daemon.
func (d *Duty) publish() {
	d.report()
	old := d.view.Load()
	newest := d.member.Newest()
	if old != nil && newest != old.Newest {
		select {
		case d.newest <- struct{}{}:
		default: // one is waiting already
		}
	}
	version := d.member.Version()
	if old != nil && version == d.published && newest == old.Newest && old.Superseded == d.member.Superseded() {
		return
	}
	next := &View{Newest: newest, Superseded: d.member.Superseded()}
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
	member.EventSuperseded:  event.MemberSuperseded,
	member.EventUnreachable: event.CentreUnreachable,
	member.EventReachable:   event.CentreReachable,
}

// report logs what happened in the member.
func (d *Duty) report() {
	for _, e := range d.member.Events() {
		if logged, ok := eventsOf[e.Kind]; ok {
			d.config.Log.Log(logged).Str("subject", e.Subject).Msg(logged.Name)
		}
	}
}

// read takes datagrams until the socket is closed.
func (d *Duty) read() {
	buffer := make([]byte, 2*maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as a peer's port that is closed
		}
		d.takeDatagram(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (d *Duty) takeDatagram(data []byte, from netip.AddrPort) {
	d.counts.receivedBytes.Add(len(data))
	opened, err := d.seal.Open(datagramPurpose, data, from.Addr())
	if err != nil {
		d.refuse(from, err)
		return
	}
	message, err := decode(opened)
	if err != nil {
		d.counts.malformed.Inc()
		return
	}
	d.enqueue(inbound{from.String(), message})
}

// refuse counts a message that does not prove the link key, and logs it unless
// one was logged less than refusedLogInterval ago.
func (d *Duty) refuse(from netip.AddrPort, err error) {
	d.counts.refused.Inc()
	now := time.Now().UnixNano()
	last := d.refusedLog.Load()
	if now-last < refusedLogInterval.Nanoseconds() || !d.refusedLog.CompareAndSwap(last, now) {
		return
	}
	d.config.Log.Log(event.MemberRefused).Str("remote", from.String()).Err(err).Msg("membership message refused")
}

// enqueue hands a message to the loop, or drops it if the loop is behind.
func (d *Duty) enqueue(in inbound) {
	d.counts.received.Inc()
	select {
	case d.inbound <- in:
	default:
		d.counts.droppedInbound.Inc()
	}
}

func (d *Duty) send(out []member.Outgoing) {
	for i := range out {
		if out[i].Reliable {
			d.enqueueStream(out[i])
			continue
		}
		d.sendDatagram(out[i])
	}
}

func (d *Duty) sendDatagram(out member.Outgoing) {
	data, err := Encode(&out.Message)
	if err != nil {
		d.counts.malformed.Inc()
		return
	}
	if len(data)+seal.Overhead > maxDatagram {
		d.enqueueStream(out)
		return
	}
	to, err := netip.ParseAddrPort(out.To)
	if err != nil {
		d.counts.malformed.Inc()
		return
	}
	sealed := d.seal.Seal(datagramPurpose, data)
	d.counts.sent.Inc()
	d.counts.sentBytes.Add(len(sealed))
	_, _ = d.conn.WriteToUDPAddrPort(sealed, to) // a lost datagram is the protocol's to repeat
}
