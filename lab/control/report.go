package control

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"
)

// Sizes and rates of the fleet to which the figures are extrapolated, and sizes of the
// measured fleets.
const (
	fleetCentres      = 7
	fleetPerCentre    = 1400
	replacementsADay  = 1100
	failuresADay      = 35
	secondsPerDay     = 86400
	measuredCentres   = 7
	measuredPerCentre = 36
	replacements      = 14
)

// sizes are the measured numbers of members of one data centre.
var sizes = []int{16, 64, 256}

// PrintVirtual measures fleets in virtual time and prints the tables.
func PrintVirtual(w io.Writer, seed uint64) {
	idle := printIdle(w, seed)
	events := printEvents(w, seed)
	printPropagation(w, seed)
	printFleet(w, idle, events)
}

// PrintDataCentre measures one data centre of a given size, to compare with the
// extrapolated figures.
func PrintDataCentre(w io.Writer, seed uint64, members int) {
	printIdleRows(w, []IdleCost{MeasureIdle(seed, 1, members)})
	printEventRows(w, []EventCost{
		MeasureReplacement(seed, 1, members, 1), MeasureCrash(seed, 1, members), MeasurePartitionEnd(seed, 2, members/2), MeasurePartitionEnd(seed, 1, members),
	})
}

func printIdle(w io.Writer, seed uint64) []IdleCost {
	var rows []IdleCost
	for _, n := range sizes {
		rows = append(rows, MeasureIdle(seed, 1, n))
	}
	rows = append(rows, MeasureIdle(seed, measuredCentres, measuredPerCentre/2), MeasureIdle(seed, measuredCentres, measuredPerCentre))
	printIdleRows(w, rows)
	return rows
}

func printIdleRows(w io.Writer, rows []IdleCost) {
	fmt.Fprint(w, "A quiet fleet, per member, sent and received, IP and UDP headers included:\n\n")
	fmt.Fprintln(w, "| data centres x members | B/s mean | B/s relay | B/s most | messages/s mean | relay | core mean | core relay | heap KB |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for _, q := range rows {
		fmt.Fprintf(w, "| %d x %d | %.0f | %.0f | %.0f | %.2f | %.2f | %.4f%% | %.4f%% | %.0f |\n", q.Centres, q.PerCentre,
			q.Mean.BytesPerSecond, q.Relay.BytesPerSecond, q.Max.BytesPerSecond,
			q.Mean.MessagesPerSecond, q.Relay.MessagesPerSecond, 100*q.Mean.Core, 100*q.Relay.Core, q.MemoryBytes/1024)
	}
}

func printEvents(w io.Writer, seed uint64) []EventCost {
	var rows []EventCost
	for _, n := range sizes {
		rows = append(rows, MeasureReplacement(seed, 1, n, replacements), MeasureCrash(seed, 1, n))
	}
	rows = append(rows,
		MeasureReplacement(seed, measuredCentres, measuredPerCentre, replacements),
		MeasureCrash(seed, measuredCentres, measuredPerCentre),
		MeasurePartitionEnd(seed, 2, 8), MeasurePartitionEnd(seed, 2, 32), MeasurePartitionEnd(seed, 2, 128), MeasurePartitionEnd(seed, measuredCentres, measuredPerCentre),
		MeasurePartitionEnd(seed, 1, 16), MeasurePartitionEnd(seed, 1, 64), MeasurePartitionEnd(seed, 1, 256),
	)
	printEventRows(w, rows)
	return rows
}

func printEventRows(w io.Writer, rows []EventCost) {
	fmt.Fprint(w, "\nWhat one event costs each member beyond that:\n\n")
	fmt.Fprintln(w, "| event | data centres x members | bytes mean | messages mean | bytes most, with the quiet part | until all agree |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, c := range rows {
		took := c.ConvergenceTime.Round(pollInterval).String()
		switch {
		case !c.Converged:
			took = "not within the bound"
		case c.ConvergenceTime == 0:
			took = "-"
		}
		fmt.Fprintf(w, "| %s | %d x %d | %.0f | %.1f | %.0f | %s |\n", c.Name, c.Centres, c.PerCentre, c.Bytes, c.Messages, c.MaxBytes, took)
	}
}

func printPropagation(w io.Writer, seed uint64) {
	fmt.Fprint(w, "\nA settings revision, from one member to all, pulls taken as instant:\n\n")
	fmt.Fprintln(w, "| data centres x members | until all know | bytes mean |")
	fmt.Fprintln(w, "|---|---|---|")
	for _, s := range []Propagation{
		MeasurePropagation(seed, 1, 16), MeasurePropagation(seed, 1, 64), MeasurePropagation(seed, 1, 256),
		MeasurePropagation(seed, measuredCentres, measuredPerCentre),
	} {
		fmt.Fprintf(w, "| %d x %d | %v | %.0f |\n", s.Centres, s.PerCentre, s.Duration.Round(10*time.Millisecond), s.Bytes)
	}
}

// fitLine returns the least-squares line of y over x.
func fitLine(x, y []float64) (slope, intercept float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// printFleet extrapolates to the whole fleet: traffic grows with the logarithm of the
// number of members, memory and processor time grow linearly.
func printFleet(w io.Writer, idle []IdleCost, events []EventCost) {
	var logs, members, heaps, cores, bytes, replacement []float64
	for i, n := range sizes {
		logs = append(logs, math.Log2(float64(n)))
		members = append(members, float64(n))
		heaps = append(heaps, idle[i].MemoryBytes)
		cores = append(cores, idle[i].Mean.Core)
		bytes = append(bytes, idle[i].Mean.BytesPerSecond)
		replacement = append(replacement, events[2*i].Bytes)
	}
	heapSlope, heapBase := fitLine(members, heaps)
	coreSlope, coreBase := fitLine(members, cores)
	bytesSlope, bytesBase := fitLine(logs, bytes)
	replacementSlope, replacementBase := fitLine(logs, replacement)
	fleet := float64(fleetCentres * fleetPerCentre)
	logCentre := math.Log2(fleetPerCentre)
	multiCentre := idle[len(idle)-1]
	oneCentre := bytesBase + bytesSlope*math.Log2(measuredPerCentre)
	churn := (replacementBase + replacementSlope*logCentre) * (replacementsADay + failuresADay) / secondsPerDay
	membershipBytes := bytesBase + bytesSlope*logCentre
	fmt.Fprint(w, "\nSlopes, and the figures worked out for 9,800 daemons in 7 data centres:\n\n")
	fmt.Fprintln(w, "| figure | slope | at 9,800 in 7 |")
	fmt.Fprintln(w, "|---|---|---|")
	fmt.Fprintf(w, "| membership in the data centre, B/s | %.0f + %.1f a doubling | %.0f |\n", bytesBase, bytesSlope, membershipBytes)
	fmt.Fprintf(w, "| six other data centres, B/s, mean member | measured at 7 x %d less 1 x %d | %.0f |\n", measuredPerCentre, measuredPerCentre, multiCentre.Mean.BytesPerSecond-oneCentre)
	fmt.Fprintf(w, "| six other data centres, B/s, relay | the same | %.0f |\n", multiCentre.Relay.BytesPerSecond-oneCentre)
	fmt.Fprintf(w, "| replacements and failures, B/s | %.0f + %.0f a doubling, bytes each; %d a day | %.0f |\n", replacementBase, replacementSlope, replacementsADay+failuresADay, churn)
	fmt.Fprintf(w, "| sum, relay, B/s | | %.0f |\n", membershipBytes+multiCentre.Relay.BytesPerSecond-oneCentre+churn)
	fmt.Fprintf(w, "| core, state machine, linear in the data centre's members | %.5f%% + %.7f%% a member | %.3f%% |\n", 100*coreBase, 100*coreSlope, 100*(coreBase+coreSlope*fleetPerCentre))
	fmt.Fprintf(w, "| heap of the view, KB | %.1f + %.3f a member | %.0f |\n", heapBase/1024, heapSlope/1024, (heapBase+heapSlope*fleet)/1024)
}

// PrintReal prints the costs of real daemons.
func PrintReal(w io.Writer, rows []RealCost) {
	fmt.Fprint(w, "\nIdle real daemons in two data centres, whole process:\n\n")
	fmt.Fprintln(w, "| daemons | membership B/s | messages/s | core | resident MB | store calls/s of all | edit in force at all, most | store calls an edit |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintf(w, "| %d | %.0f | %.2f | %.2f%% | %.1f | %.2f | %v | %.1f |\n", r.Daemons, r.BytesPerSecond, r.MessagesPerSecond,
			100*r.Core, r.ResidentBytes/(1<<20), r.StoreCallsPerSecond, slices.Max(r.PropagationTimes).Round(time.Millisecond), r.PropagationCalls)
	}
}
