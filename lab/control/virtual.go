// Package control measures the cost of the control plane, membership and settings.
// Most members are state machines in one process under virtual time, with messages
// of their encoded size; a few are real daemons.
package control

import (
	"runtime"
	"time"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/core/member/membertest"
	"fuchsiavane.org/node/membership"
	"fuchsiavane.org/node/seal"
	"fuchsiavane.org/node/settingsync"
)

const (
	// datagramOverhead is the size of the IP and UDP headers, in bytes.
	datagramOverhead = 28
	// stabilizationTime is the maximum virtual time for a new fleet to converge, and the
	// further time before the measurement.
	stabilizationTime = 30 * time.Second
	// idleTime is the virtual time for which an idle fleet is measured.
	idleTime = 60 * time.Second
	// partitionTime is the duration of a partition before its crashes, and again after
	// them.
	partitionTime = 60 * time.Second
	// convergenceLimit is the stated limit for views to converge after a partition.
	// After a crash or a partition the measurement waits up to twice as long.
	convergenceLimit = 10 * time.Second
	// readerPurpose is the purpose for which members of a data centre read the store.
	readerPurpose = "settings watch"
	// pollInterval is the virtual time between checks of a condition.
	pollInterval = 100 * time.Millisecond
)

// Rate is the traffic of one member, sent and received.
type Rate struct {
	BytesPerSecond, MessagesPerSecond float64
	// Core is the fraction of a processor core spent in the state machine.
	Core float64
}

// IdleCost is the cost of a fleet without changes.
type IdleCost struct {
	Centres, PerCentre int
	// Mean is the mean over all members, Relay the mean over the relays, and Max the
	// rate of the member with the highest BytesPerSecond.
	Mean, Relay, Max Rate
	// MemoryBytes is the mean heap of a member.
	MemoryBytes float64
}

// wireSize returns the size of a message on the network, in bytes.
func wireSize(m *member.Message) int {
	data, err := membership.Encode(m)
	if err != nil {
		panic(err) // the type of m can always be encoded
	}
	return len(data) + seal.Overhead + datagramOverhead
}

// centreNames returns names of data centres, spread over three regions.
func centreNames(n int) []string {
	regions := []string{"south", "north", "west"}
	names := make([]string, n)
	for i := range names {
		names[i] = regions[i%len(regions)] + "-" + string(rune('1'+i/len(regions)))
	}
	return names
}

// newFleet starts members and waits until their views converge.
func newFleet(seed uint64, centres, perCentre int) *membertest.Network {
	network := membertest.New(seed)
	network.Size = wireSize
	network.OnTick = func(node *membertest.Node) { node.Member.IsReader(readerPurpose, settingsync.WatchersPerDataCentre) }
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
	network.RunUntil(stabilizationTime, pollInterval, network.Converged)
	network.Run(stabilizationTime)
	return network
}

// MeasureIdle measures a fleet without changes.
func MeasureIdle(seed uint64, centres, perCentre int) IdleCost {
	before := heapBytes()
	network := newFleet(seed, centres, perCentre)
	q := IdleCost{Centres: centres, PerCentre: perCentre}
	q.MemoryBytes = float64(heapBytes()-before) / float64(len(network.Nodes))
	network.ResetCounters()
	network.Run(idleTime)
	q.Mean = mean(network.Nodes, idleTime, func(*membertest.Node) bool { return true })
	q.Relay = mean(network.Nodes, idleTime, func(n *membertest.Node) bool { return n.Member.IsRelay() })
	for _, node := range network.Nodes {
		if r := rate(node, idleTime); r.BytesPerSecond > q.Max.BytesPerSecond {
			q.Max = r
		}
	}
	return q
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// rate returns the mean rate of a member over a time.
func rate(n *membertest.Node, over time.Duration) Rate {
	s := over.Seconds()
	return Rate{
		BytesPerSecond:    float64(n.SentBytes+n.ReceivedBytes) / s,
		MessagesPerSecond: float64(n.Sent+n.Received) / s,
		Core:              n.ProcessingTime.Seconds() / s,
	}
}

// mean returns the mean rate of the included members.
func mean(nodes []*membertest.Node, over time.Duration, include func(*membertest.Node) bool) Rate {
	var sum Rate
	count := 0.0
	for _, node := range nodes {
		if !include(node) {
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

// EventCost is the cost of one event to each member, beyond the cost of idle members.
type EventCost struct {
	Name               string
	Centres, PerCentre int
	// Bytes and Messages are sent and received by a member on average.
	Bytes, Messages float64
	// MaxBytes is the maximum of bytes over the members, for all events measured and
	// with the idle cost.
	MaxBytes float64
	// ConvergenceTime is the time until all views agreed, 0 if it is not measured;
	// Converged reports whether they agreed before the wait ended.
	ConvergenceTime time.Duration
	Converged       bool
}

// MeasureReplacement measures drains, each followed by the start of a new
// instance.
func MeasureReplacement(seed uint64, centres, perCentre, times int) EventCost {
	network := newFleet(seed, centres, perCentre)
	names := centreNames(centres)
	idle := measureIdleRate(network)
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
	_, converged := network.RunUntil(convergenceLimit, pollInterval, network.Converged)
	c := costBeyondIdle(network, idle, network.Now-start, float64(times))
	c.Name, c.Centres, c.PerCentre, c.Converged = "replacement", centres, perCentre, converged
	return c
}

// MeasureCrash measures the crash of one member.
func MeasureCrash(seed uint64, centres, perCentre int) EventCost {
	network := newFleet(seed, centres, perCentre)
	idle := measureIdleRate(network)
	network.Crash(network.Nodes[1])
	took, converged := network.RunUntil(2*convergenceLimit, pollInterval, network.Converged)
	network.Run(convergenceLimit)
	c := costBeyondIdle(network, idle, took+convergenceLimit, 1)
	c.Name, c.Centres, c.PerCentre, c.ConvergenceTime, c.Converged = "crash", centres, perCentre, took, converged
	return c
}

// MeasurePartitionEnd measures the end of a partition between the two halves of a
// fleet, which may divide a data centre, with one crash in each half during the
// partition.
func MeasurePartitionEnd(seed uint64, centres, perCentre int) EventCost {
	network := newFleet(seed, centres, perCentre)
	firstHalf := map[*membertest.Node]bool{}
	for _, node := range network.Nodes[:len(network.Nodes)/2] {
		firstHalf[node] = true
	}
	idle := measureIdleRate(network)
	network.Cut = func(a, b *membertest.Node) bool { return firstHalf[a] != firstHalf[b] }
	network.Run(partitionTime)
	network.Crash(network.Nodes[1])
	network.Crash(network.Nodes[len(network.Nodes)-2])
	network.Run(partitionTime)
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
	took, converged := network.RunUntil(2*convergenceLimit, pollInterval, joined)
	network.Run(convergenceLimit)
	c := costBeyondIdle(network, idle, took+convergenceLimit, 1)
	c.Name, c.Centres, c.PerCentre, c.ConvergenceTime, c.Converged = "end of a partition", centres, perCentre, took, converged
	return c
}

// measureIdleRate returns the mean rate of the idle fleet and resets the counters.
func measureIdleRate(network *membertest.Network) Rate {
	network.ResetCounters()
	network.Run(idleTime)
	r := mean(network.Nodes, idleTime, func(*membertest.Node) bool { return true })
	network.ResetCounters()
	return r
}

// costBeyondIdle returns the mean cost per event since the counters were reset,
// beyond the cost of an idle fleet. MaxBytes includes that cost and all events.
func costBeyondIdle(network *membertest.Network, idle Rate, over time.Duration, events float64) EventCost {
	var c EventCost
	running := network.Running()
	for _, node := range running {
		bytes := float64(node.SentBytes + node.ReceivedBytes)
		c.Bytes += bytes / float64(len(running))
		c.Messages += float64(node.Sent+node.Received) / float64(len(running))
		c.MaxBytes = max(c.MaxBytes, bytes)
	}
	c.Bytes = (c.Bytes - idle.BytesPerSecond*over.Seconds()) / events
	c.Messages = (c.Messages - idle.MessagesPerSecond*over.Seconds()) / events
	return c
}

// Propagation is the time and cost of propagating a settings revision to a fleet.
type Propagation struct {
	Centres, PerCentre int
	// Duration is the time until every member has the revision.
	Duration time.Duration
	// Bytes is the mean number of bytes of a member beyond the idle cost, without the
	// settings documents.
	Bytes float64
}

// MeasurePropagation measures the time from a new revision at one member until every
// member has it. Members pull a revision in no time.
func MeasurePropagation(seed uint64, centres, perCentre int) Propagation {
	network := newFleet(seed, centres, perCentre)
	idle := measureIdleRate(network)
	network.Nodes[0].Member.SetRevision(1)
	took, _ := network.RunUntil(convergenceLimit, 10*time.Millisecond, func() bool {
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
	c := costBeyondIdle(network, idle, took+2*time.Second, 1)
	return Propagation{centres, perCentre, took, c.Bytes}
}
