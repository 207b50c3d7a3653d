// Package membership runs core/member over the network. It uses UDP datagrams on
// the address of the peer port, streams sent as HTTP POST requests to the peer
// port, and a few join addresses in the platform's store.
package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/metrics"
	"fuchsiavane.org/node/oneshot"
	"fuchsiavane.org/node/seal"
)

const (
	// tickInterval is the interval between two ticks of the member.
	tickInterval = 100 * time.Millisecond
	// inboundQueueSize and streamQueueSize are the lengths of the message queues.
	// Messages beyond them are dropped and counted: the protocol repeats lost ones.
	inboundQueueSize = 1024
	streamQueueSize  = 128
	// streamWorkers is the number of streams sent concurrently.
	streamWorkers = 4
	// commandQueueSize is the number of calls that can wait for the loop.
	commandQueueSize = 16
	// refusedLogInterval is the minimum time between two log lines about refused
	// messages.
	refusedLogInterval = time.Minute
	// receiveBufferBytes is the size of the socket's receive buffer.
	receiveBufferBytes = 1 << 20
)

// Config is the configuration of a Driver.
type Config struct {
	// Self is this member's record; New sets the incarnation.
	Self member.Record
	// Peers are addresses to join through besides those in the store.
	Peers []string
	// Key is the link key that seals and opens messages.
	Key     []byte
	Store   kv.Store
	Picker  *route.Picker
	Metrics *metrics.Metrics
	Log     *event.Logger
}

// Driver runs one member of the fleet over the network. It is safe for concurrent
// use.
type Driver struct {
	config   Config
	seal     *seal.Sealer
	client   *http.Client
	counters counters
	start    time.Time

	member          *member.Member // owned by the loop
	conn            *net.UDPConn
	inbound         chan inbound
	streams         chan member.Outgoing
	commands        chan command
	view            atomic.Pointer[View]
	revisionChanges chan struct{}
	stopped         chan struct{}

	// lastRefusedLog and lastUnknownLog are the times, in Unix nanoseconds, of the last
	// log lines about refused messages and about unknown ones.
	lastRefusedLog, lastUnknownLog atomic.Int64

	publishedVersion uint64 // version of the member in view; owned by the loop
}

type inbound struct {
	from    string
	message *member.Message
}

type command struct {
	do   func(m *member.Member, now time.Duration) []member.Outgoing
	done chan struct{}
}

// New returns a Driver. It opens no port: call Listen and Run.
func New(c Config) *Driver {
	c.Self.Incarnation = uint64(time.Now().UnixMilli())
	if addr, err := net.ResolveUDPAddr("udp", c.Self.Addr); err == nil {
		c.Self.Addr = addr.String()
	}
	d := &Driver{
		config:          c,
		seal:            seal.New(c.Key),
		client:          oneshot.NewClient(streamTimeout, oneshot.Limits{HeaderBytes: maxResponseHeaderBytes}),
		counters:        newCounters(c.Metrics),
		start:           time.Now(),
		member:          member.New(c.Self, 0, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		inbound:         make(chan inbound, inboundQueueSize),
		streams:         make(chan member.Outgoing, streamQueueSize),
		commands:        make(chan command, commandQueueSize),
		revisionChanges: make(chan struct{}, 1),
		stopped:         make(chan struct{}),
	}
	d.publish()
	c.Metrics.Gauge("fuchsiavane_members", func() float64 { return float64(len(d.View().Peers)) })
	c.Metrics.Gauge("fuchsiavane_data_centres_unreachable", func() float64 { return float64(len(d.View().Unreachable)) })
	return d
}

// Listen opens the datagram port.
func (d *Driver) Listen() error {
	addr, err := net.ResolveUDPAddr("udp", d.config.Self.Addr)
	if err != nil {
		return errors.Wrap(err, "peer datagram port")
	}
	if d.conn, err = net.ListenUDP("udp", addr); err != nil {
		return errors.Wrap(err, "peer datagram port")
	}
	return errors.Wrap(d.conn.SetReadBuffer(receiveBufferBytes), "peer datagram port")
}

// Run drives the member until the context ends. Listen must have succeeded.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.stopped)
	var group sync.WaitGroup
	group.Go(func() { d.readDatagrams() })
	for range streamWorkers {
		group.Go(func() { d.sendStreams(ctx) })
	}
	group.Go(func() { newJoiner(d).run(ctx) })
	d.loop(ctx)
	_ = d.conn.Close()
	group.Wait()
}

func (d *Driver) loop(ctx context.Context) {
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
			d.send(d.member.Tick(d.now()))
			d.publish()
		}
		if d.member.HighestRevision() != d.View().HighestRevision {
			d.publish()
		}
	}
}

// now returns the monotonic time since the Driver was created.
func (d *Driver) now() time.Duration { return time.Since(d.start) }

// do runs a function in the loop and waits until it returns, the context ends or
// the loop stops.
func (d *Driver) do(ctx context.Context, f func(*member.Member, time.Duration) []member.Outgoing) {
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

// query runs a function in the loop and returns its result, and whether it ran
// before the context ended.
func query[T any](ctx context.Context, d *Driver, f func(*member.Member) T) (T, bool) {
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

// Leave reports to the peers, when a drain begins, that this instance takes no new
// work.
func (d *Driver) Leave(ctx context.Context) { d.do(ctx, (*member.Member).Leave) }

// SetLeaving reports to the peers that this instance takes no new work for now, or
// takes work again.
func (d *Driver) SetLeaving(ctx context.Context, leaving bool) {
	d.do(ctx, func(m *member.Member, now time.Duration) []member.Outgoing { return m.SetLeaving(now, leaving) })
}

// Stop reports to the peers, at the end of a drain, that this instance has left.
func (d *Driver) Stop(ctx context.Context) { d.do(ctx, (*member.Member).Stop) }

// SetRevision reports to the peers the settings revision in force.
func (d *Driver) SetRevision(ctx context.Context, revision uint64) {
	d.do(ctx, func(m *member.Member, now time.Duration) []member.Outgoing {
		m.SetRevision(revision)
		return m.Tick(now)
	})
}

// View returns the last published view of the fleet.
func (d *Driver) View() *View { return d.view.Load() }

// HighestRevision returns the highest settings revision that a peer reported, and
// a peer that has it in force.
func (d *Driver) HighestRevision() member.RevisionSource { return d.View().HighestRevision }

// RevisionChanges returns a channel that receives a value after HighestRevision
// changed.
func (d *Driver) RevisionChanges() <-chan struct{} { return d.revisionChanges }

// IsReader reports whether this member reads the store for a purpose: it is one of the n
// members of its data centre that are chosen, or it hears of no reader.
func (d *Driver) IsReader(ctx context.Context, purpose string, n int) bool {
	chosen, _ := query(ctx, d, func(m *member.Member) bool { return m.IsReader(purpose, n) })
	return chosen
}

// SetStoreAway reports to the peers whether this member can't read the store.
func (d *Driver) SetStoreAway(ctx context.Context, away bool) {
	d.do(ctx, func(m *member.Member, now time.Duration) []member.Outgoing { return m.SetStoreAway(now, away) })
}

// relays returns the ids of the relays of this data centre.
func (d *Driver) relays(ctx context.Context) []string {
	ids, _ := query(ctx, d, (*member.Member).RelayIDs)
	return ids
}

// Peers returns the current members that are not dead, and passes them to routing.
// View is cheaper, but its revisions and levels may be old.
func (d *Driver) Peers(ctx context.Context) []member.Peer {
	peersNow := func(m *member.Member) []member.Peer {
		d.publish()
		return m.Peers()
	}
	if peers, ok := query(ctx, d, peersNow); ok {
		return peers
	}
	return d.View().Peers
}
