// Package member keeps one daemon's view of the fleet.
//
// Inside a data centre it is SWIM: each member probes the others in a shuffled
// round, directly and then through helpers, suspects those that stay silent,
// and spreads what it learns as rumours on the messages it sends anyway. A
// member that hears of its own suspicion refutes it by a higher incarnation
// number. Between data centres a few relays, chosen by rendezvous hash over the
// live view, forward rumours and compare digests. A data centre that stays
// silent is kept as unreachable.
//
// The package performs no I/O and reads no clock. The caller passes a monotonic
// time to Tick and Receive and sends the messages that they return. A Member is
// not safe for concurrent use.
//
// Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002.
package member
