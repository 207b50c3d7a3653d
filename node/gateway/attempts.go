package gateway

import (
	"slices"

	"fuchsiavane.org/node/call"
)

// maxSheds is the maximum number of times that upstreams may refuse one request
// without running it before it is given up.
const maxSheds = 6

// attempts holds what the earlier attempts of one call have shown.
type attempts struct {
	// tried lists the peers that are not used again.
	tried []string
	// shedding lists the peers whose upstreams received the request and refused it
	// without running it.
	shedding []string
	// among lists the only peers that may still be used; empty if any may.
	among []string
	// sheds counts the refusals by upstreams.
	sheds int
	// mayHaveRun is set once the request may have run.
	mayHaveRun bool
}

// record adds the answer of a peer, after which the call goes on.
func (s *attempts) record(peer string, answer *call.Answer) {
	s.mayHaveRun = s.mayHaveRun || answer.Outcome != call.NotRun
	if answer.Refusal == call.RefusedUpstreamShed {
		s.sheds++
		s.addShedding(peer)
	}
	switch {
	case len(s.among) == 0:
		s.tried = append(s.tried, peer)
	case len(s.among) > 1:
		s.tried = []string{peer}
	default:
		s.tried = nil
	}
}

// returnTo lets the call return to the upstreams that refused it, that of the last peer
// among them, and to no others. An upstream that refuses a part of its requests,
// whatever their number, may take the request the next time.
func (s *attempts) returnTo(last string) {
	s.addShedding(last)
	s.among = s.shedding
}

func (s *attempts) addShedding(peer string) {
	if !slices.Contains(s.shedding, peer) {
		s.shedding = append(s.shedding, peer)
	}
}
