// Package membertest runs many members in one process over a simulated network
// in virtual time. The seeded network delays and loses messages and can be
// partitioned. The tests of package member and the measurement of its cost use
// it.
package membertest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"fuchsiavane.org/core/member"
)

const (
	// tick is the time between two ticks of a member.
	tick = 200 * time.Millisecond
	// latencyDataCentre, latencyRegion and latencyCrossRegion are the minimum
	// one-way delays inside a data centre, inside a region and between regions.
	// The maximum is twice as long.
	latencyDataCentre  = 200 * time.Microsecond
	latencyRegion      = 500 * time.Microsecond
	latencyCrossRegion = 10 * time.Millisecond
	// epoch is the wall clock at the start, in milliseconds.
	epoch = 1_700_000_000_000
)

// Node is one member on the network.
type Node struct {
	Member *member.Member
	Record member.Record
	// Crashed nodes neither tick nor receive. Paused nodes receive the messages
	// of that time when they resume.
	Crashed, Paused bool
	// Skew is added to the monotonic time that the member sees.
	Skew time.Duration
	// Sent, Received, SentBytes and ReceivedBytes count datagrams and stream
	// messages.
	Sent, Received           uint64
	SentBytes, ReceivedBytes uint64
	// ProcessingTime is the real time spent in the member.
	ProcessingTime time.Duration

	buffered []delivery
}

// Network connects nodes.
type Network struct {
	// Now is the virtual time.
	Now time.Duration
	// Loss is the fraction of datagrams lost, from 0 to 1.
	Loss float64
	// Cut reports whether messages from a to b are dropped, datagrams and
	// streams alike; nil drops none.
	Cut func(a, b *Node) bool
	// Size returns the encoded size of a message in bytes; nil counts no bytes.
	Size func(*member.Message) int
	// OnTick is called for each node before its tick, unless nil.
	OnTick func(*Node)
	// OnSend is called for each message sent, unless nil.
	OnSend func(from *Node, out *member.Outgoing)

	Nodes  []*Node
	byAddr map[string]*Node
	random *rand.Rand
	queue  queue
	order  uint64
}

// New returns an empty network.
func New(seed uint64) *Network {
	return &Network{byAddr: map[string]*Node{}, random: rand.New(rand.NewPCG(seed, seed))}
}

// delivery is a message in transit, or a tick if message is nil.
type delivery struct {
	at      time.Duration
	order   uint64
	from    string
	node    *Node
	message *member.Message
}

type queue []delivery

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = delivery{}
	*q = old[:len(old)-1]
	return last
}

// Record returns the record of the i-th member of a data centre, with the
// network's time as the wall clock of its start.
func (n *Network) Record(region, dataCentre string, i int) member.Record {
	id := fmt.Sprintf("%s-i%04d", dataCentre, i)
	return member.Record{
		ID: id, Service: fmt.Sprintf("service-%03d", i%78), Region: region, DataCentre: dataCentre,
		Addr: id + ":7402", Admin: id + ":7403", Incarnation: epoch + uint64(n.Now/time.Millisecond),
	}
}

// Start adds a member that joins by the given addresses.
func (n *Network) Start(record member.Record, join ...string) *Node {
	node := &Node{Record: record}
	node.Member = member.New(record, n.Now, rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64())))
	n.Nodes = append(n.Nodes, node)
	n.byAddr[record.Addr] = node
	n.Send(node, node.Member.Join(join))
	n.push(delivery{at: n.Now + time.Duration(n.random.Int64N(int64(tick))), node: node})
	return node
}

// Crash ends a member without an announcement.
func (n *Network) Crash(node *Node) { node.Crashed = true }

// Leave lets a member announce that it drains.
func (n *Network) Leave(node *Node) { n.Send(node, node.Member.Leave(n.Now+node.Skew)) }

// Stop lets a member announce that it has left, and ends it.
func (n *Network) Stop(node *Node) {
	n.Send(node, node.Member.Stop(n.Now+node.Skew))
	node.Crashed = true
}

// Pause suspends a member until Resume.
func (n *Network) Pause(node *Node) { node.Paused = true }

// Resume ends a pause and delivers the messages buffered since its start.
func (n *Network) Resume(node *Node) {
	node.Paused = false
	for _, d := range node.buffered {
		d.at = n.Now
		n.push(d)
	}
	node.buffered = nil
	n.push(delivery{at: n.Now, node: node})
}

// Run advances virtual time by d.
func (n *Network) Run(d time.Duration) {
	end := n.Now + d
	for len(n.queue) > 0 && n.queue[0].at <= end {
		next := heap.Pop(&n.queue).(delivery)
		n.Now = next.at
		n.step(next)
	}
	n.Now = end
}

// RunUntil advances virtual time until the condition holds or the bound is
// reached. It checks the condition every step, and returns the elapsed time and
// whether the condition holds.
func (n *Network) RunUntil(bound, step time.Duration, condition func() bool) (time.Duration, bool) {
	start := n.Now
	for n.Now-start < bound {
		if condition() {
			return n.Now - start, true
		}
		n.Run(step)
	}
	return n.Now - start, condition()
}

func (n *Network) step(d delivery) {
	node := d.node
	if node.Crashed {
		return
	}
	if node.Paused {
		if d.message != nil {
			node.buffered = append(node.buffered, d)
		}
		return
	}
	if d.message == nil {
		n.push(delivery{at: n.Now + tick, node: node})
		if n.OnTick != nil {
			n.OnTick(node)
		}
		n.Send(node, n.timed(node, func() []member.Outgoing { return node.Member.Tick(n.Now + node.Skew) }))
		return
	}
	node.Received++
	node.ReceivedBytes += n.size(d.message)
	n.Send(node, n.timed(node, func() []member.Outgoing {
		return node.Member.Receive(n.Now+node.Skew, d.from, d.message)
	}))
}

func (n *Network) timed(node *Node, do func() []member.Outgoing) []member.Outgoing {
	start := time.Now()
	out := do()
	node.ProcessingTime += time.Since(start)
	return out
}

func (n *Network) size(m *member.Message) uint64 {
	if n.Size == nil {
		return 0
	}
	return uint64(n.Size(m))
}

func (n *Network) push(d delivery) {
	n.order++
	d.order = n.order
	heap.Push(&n.queue, d)
}

// Send puts the messages of a node on the network.
func (n *Network) Send(from *Node, out []member.Outgoing) {
	for i := range out {
		n.send(from, &out[i])
	}
}

func (n *Network) send(from *Node, out *member.Outgoing) {
	from.Sent++
	from.SentBytes += n.size(&out.Message)
	if n.OnSend != nil {
		n.OnSend(from, out)
	}
	to := n.byAddr[out.To]
	if to == nil || n.Cut != nil && n.Cut(from, to) {
		return
	}
	if !out.Reliable && n.random.Float64() < n.Loss {
		return
	}
	n.push(delivery{at: n.Now + n.latency(from, to), from: from.Record.Addr, node: to, message: clone(&out.Message)})
}

// clone copies a message with the slices that its receiver may modify.
func clone(m *member.Message) *member.Message {
	c := *m
	c.Updates = append([]member.Record(nil), m.Updates...)
	c.Records = append([]member.Record(nil), m.Records...)
	return &c
}

func (n *Network) latency(a, b *Node) time.Duration {
	base := latencyCrossRegion
	switch {
	case a.Record.DataCentre == b.Record.DataCentre:
		base = latencyDataCentre
	case a.Record.Region == b.Record.Region:
		base = latencyRegion
	}
	return base + time.Duration(n.random.Int64N(int64(base)))
}

// ResetCounters sets the counters of all nodes to 0.
func (n *Network) ResetCounters() {
	for _, node := range n.Nodes {
		node.Sent, node.Received, node.SentBytes, node.ReceivedBytes, node.ProcessingTime = 0, 0, 0, 0, 0
	}
}

// Running returns the nodes that have not crashed.
func (n *Network) Running() []*Node {
	var running []*Node
	for _, node := range n.Nodes {
		if !node.Crashed {
			running = append(running, node)
		}
	}
	return running
}

// Converged reports whether every running member that is not paused knows
// exactly the running members, all of them alive.
func (n *Network) Converged() bool {
	running := n.Running()
	for _, node := range running {
		if node.Paused {
			continue
		}
		if !knowsExactly(node, running) {
			return false
		}
	}
	return true
}

// knowsExactly reports whether a node knows exactly the running nodes, all of
// them alive.
func knowsExactly(node *Node, running []*Node) bool {
	states := map[string]member.State{}
	for _, peer := range node.Member.Peers() {
		states[peer.ID] = peer.State
	}
	if len(states) != len(running) {
		return false
	}
	for _, other := range running {
		if state, known := states[other.Record.ID]; !known || state != member.StateAlive {
			return false
		}
	}
	return true
}
