// Package member keeps one daemon's view of the fleet.
//
// Inside a data centre it is SWIM: each member probes the others in shuffled
// rounds, directly and then indirectly through other members, suspects members
// that do not acknowledge, and piggybacks membership updates on the messages it
// sends anyway. A suspected member refutes the suspicion with a higher
// incarnation number. Between data centres a few relays, selected by rendezvous
// hashing over the live view, forward updates and compare digests. The members
// of a data centre that stops answering are retained and marked unreachable.
//
// The package performs no I/O and reads no clock. The caller passes a monotonic
// time to Tick and Receive and sends the messages that they return. A Member is
// not safe for concurrent use.
//
// Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002.
package member
