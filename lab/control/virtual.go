// Package control measures what daemons spend on control: membership and
// settings. Members are state machines in one process under virtual time, with
// the bytes of the real encoding; a few are real daemons.
package control

import (
	"runtime"
	"time"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/core/member/membertest"
	"fuchsiavane.org/node/membership"
	"fuchsiavane.org/node/seal"
)

const (
	// datagramOverhead is the bytes of the IP and UDP headers.
	datagramOverhead = 28
	// settleTime is the virtual time given to a new fleet.
	settleTime = 30 * time.Second
	// quietTime is the virtual time over which a quiet fleet is measured.
	quietTime = 60 * time.Second
	// cutTime is the length of a partition.
	cutTime = 60 * time.Second
	// healBound is the stated bound for joining views after a partition.
	healBound = 10 * time.Second
	// step is the pause between looks at a condition.
	step = 100 * time.Millisecond
)

// Rate is the traffic of one member, sent and received.
type Rate struct {
	BytesPerSecond, MessagesPerSecond float64
	// Core is the part of a processor core spent in the state machine.
	Core float64
}

// Quiet is what a fleet without changes costs.
type IdleCost struct {
	Centres, PerCentre int
	// Mean is over all members, Relay over the relays, Most is the member
	// with the most bytes.
	Mean, Relay, Max Rate
	// MemoryBytes is the heap of one member.
	MemoryBytes float64
}

// size returns the bytes of a message on the network.
func size(m *member.Message) int {
	data, err := membership.Encode(m)
	if err != nil {
		panic(err) // a fixed type that always encodes
	}
	return len(data) + seal.Overhead + datagramOverhead
}

// centreNames returns names of data centres, three regions in turn.
func centreNames(n int) []string {
	regions := []string{"south", "north", "west"}
	names := make([]string, n)
	for i := range names {
		names[i] = regions[i%len(regions)] + "-" + string(rune('1'+i/len(regions)))
	}
	return names
}

// newFleet starts members and waits until they know each other.
func newFleet(seed uint64, centres, perCentre int) *membertest.Network {
	network := membertest.New(seed)
	network.Size = size
	names := centreNames(centres)
	var join []string
	for _, name := range names {
		join = append(join, network.Record("", name, 0).Addr)
	}
	for _, name := range names {
		for i := range perCentre {
			network.Start(network.Record(name[:len(name)-2], name, i), join...)
		}
	}
	network.RunUntil(settleTime, step, network.Converged)
	network.Run(settleTime)
	return network
}

// MeasureQuiet measures a fleet without changes.
func MeasureIdle(seed uint64, centres, perCentre int) IdleCost {
	before := heap()
	network := newFleet(seed, centres, perCentre)
	q := IdleCost{Centres: centres, PerCentre: perCentre}
	q.MemoryBytes = float64(heap()-before) / float64(len(network.Nodes))
	network.ResetCounters()
	network.Run(quietTime)
	q.Mean = mean(network.Nodes, quietTime, func(*membertest.Node) bool { return true })
	q.Relay = mean(network.Nodes, quietTime, func(n *membertest.Node) bool { return n.Member.IsRelay() })
	for _, node := range network.Nodes {
		if r := rate(node, quietTime); r.BytesPerSecond > q.Max.BytesPerSecond {
			q.Max = r
		}
	}
	return q
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func rate(n *membertest.Node, over time.Duration) Rate {
	s := over.Seconds()
	return Rate{
		BytesPerSecond:    float64(n.SentBytes+n.ReceivedBytes) / s,
		MessagesPerSecond: float64(n.Sent+n.Received) / s,
		Core:              n.ProcessingTime.Seconds() / s,
	}
}

func mean(nodes []*membertest.Node, over time.Duration, of func(*membertest.Node) bool) Rate {
	var sum Rate
	count := 0.0
	for _, node := range nodes {
		if !of(node) {
			continue
		}
		r := rate(node, over)
		sum.BytesPerSecond += r.BytesPerSecond
		sum.MessagesPerSecond += r.MessagesPerSecond
		sum.Core += r.Core
		count++
	}
	return Rate{sum.BytesPerSecond / count, sum.MessagesPerSecond / count, sum.Core / count}
}

// Change is what one event costs each member beyond the quiet fleet.
type EventCost struct {
	Name               string
	Centres, PerCentre int
	// Bytes and Messages are sent and received by a mean member.
	Bytes, Messages float64
	// MostBytes is of the member with the most.
	MaxBytes float64
	// Took is the time until all agreed, and Agreed whether they did in time.
	ConvergenceTime time.Duration
	Converged       bool
}

// MeasureReplacement measures planned stops, each followed by a new instance.
func MeasureReplacement(seed uint64, centres, perCentre, times int) EventCost {
	network := newFleet(seed, centres, perCentre)
	names := centreNames(centres)
	quiet := quietPer(network)
	start := network.Now
	for i := range times {
		name := names[i%len(names)]
		leaver := network.Nodes[(i%len(names))*perCentre+1+i/len(names)]
		network.Leave(leaver)
		network.Run(time.Second)
		network.Stop(leaver)
		network.Run(time.Second)
		network.Start(network.Record(leaver.Record.Region, name, perCentre+i), network.Nodes[0].Record.Addr)
		network.Run(8 * time.Second)
	}
	_, agreed := network.RunUntil(healBound, step, network.Converged)
	c := difference(network, quiet, network.Now-start, float64(times))
	c.Name, c.Centres, c.PerCentre, c.Converged = "replacement", centres, perCentre, agreed
	return c
}

// MeasureCrash measures a crash.
func MeasureCrash(seed uint64, centres, perCentre int) EventCost {
	network := newFleet(seed, centres, perCentre)
	quiet := quietPer(network)
	network.Crash(network.Nodes[1])
	took, agreed := network.RunUntil(2*healBound, step, network.Converged)
	network.Run(healBound)
	c := difference(network, quiet, took+healBound, 1)
	c.Name, c.Centres, c.PerCentre, c.ConvergenceTime, c.Converged = "crash", centres, perCentre, took, agreed
	return c
}

// MeasureHeal measures the end of a partition: between two groups of data
// centres, or between the halves of one.
func MeasurePartitionEnd(seed uint64, centres, perCentre int) EventCost {
	network := newFleet(seed, centres, perCentre)
	side := map[*membertest.Node]bool{}
	for _, node := range network.Nodes[:len(network.Nodes)/2] {
		side[node] = true
	}
	quiet := quietPer(network)
	network.Cut = func(a, b *membertest.Node) bool { return side[a] != side[b] }
	network.Run(cutTime)
	network.Crash(network.Nodes[1])
	network.Crash(network.Nodes[len(network.Nodes)-2])
	network.Run(cutTime)
	network.Cut = nil
	network.ResetCounters()
	joined := func() bool {
		for _, node := range network.Running() {
			if len(node.Member.Unreachable()) > 0 {
				return false
			}
		}
		return network.Converged()
	}
	took, agreed := network.RunUntil(2*healBound, step, joined)
	network.Run(healBound)
	c := difference(network, quiet, took+healBound, 1)
	c.Name, c.Centres, c.PerCentre, c.ConvergenceTime, c.Converged = "end of a partition", centres, perCentre, took, agreed
	return c
}

// quietPer measures the mean of a quiet member and begins to count anew.
func quietPer(network *membertest.Network) Rate {
	network.ResetCounters()
	network.Run(quietTime)
	r := mean(network.Nodes, quietTime, func(*membertest.Node) bool { return true })
	network.ResetCounters()
	return r
}

// difference returns what the members spent beyond quiet ones, for each of some
// events.
func difference(network *membertest.Network, quiet Rate, over time.Duration, events float64) EventCost {
	var c EventCost
	running := network.Running()
	for _, node := range running {
		bytes := float64(node.SentBytes + node.ReceivedBytes)
		c.Bytes += bytes / float64(len(running))
		c.Messages += float64(node.Sent+node.Received) / float64(len(running))
		c.MaxBytes = max(c.MaxBytes, bytes)
	}
	c.Bytes = (c.Bytes - quiet.BytesPerSecond*over.Seconds()) / events
	c.Messages = (c.Messages - quiet.MessagesPerSecond*over.Seconds()) / events
	return c
}

// Spread is how a settings revision reaches a fleet.
type Propagation struct {
	Centres, PerCentre int
	Duration           time.Duration
	// Bytes is of a mean member beyond the quiet fleet, without the documents.
	Bytes float64
}

// MeasureSpread measures the time from one member's new revision until all know
// it. Pulls are taken to be instant.
func MeasurePropagation(seed uint64, centres, perCentre int) Propagation {
	network := newFleet(seed, centres, perCentre)
	quiet := quietPer(network)
	network.Nodes[0].Member.SetRevision(1)
	took, _ := network.RunUntil(healBound, 10*time.Millisecond, func() bool {
		all := true
		for _, node := range network.Nodes {
			if newest := node.Member.HighestRevision(); newest.Revision > node.Member.Self().Revision {
				node.Member.SetRevision(newest.Revision)
			}
			all = all && node.Member.Self().Revision == 1
		}
		return all
	})
	network.Run(2 * time.Second)
	c := difference(network, quiet, took+2*time.Second, 1)
	return Propagation{centres, perCentre, took, c.Bytes}
}
