package daemon

import (
	"context"
	"sync/atomic"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
)

// serviceCheck is a call.Server that refuses requests for other services. A sender knows
// a peer by its address, which may belong to an instance of another service by the time
// the request arrives.
type serviceCheck struct {
	service string
	next    call.Server
	log     *event.Logger
	refused atomic.Uint64
}

var _ call.Server = (*serviceCheck)(nil)

// Serve implements call.Server. The refusal is one that makes senders try another peer.
func (s *serviceCheck) Serve(ctx context.Context, r *call.Request) *call.Answer {
	if r.Service == s.service {
		return s.next.Serve(ctx, r)
	}
	s.refused.Add(1)
	if line := s.log.LogRateLimited(event.RequestMisdirected); line != nil {
		line.Str("request", r.CallerRequestID).Str("root", r.ID).Str("wanted", r.Service).Str("service", s.service).Str("caller", r.Caller).
			Msg("request refused: it is for another service")
	}
	a := call.Refuse(call.NotRun, call.RefusedNoUpstream, "an instance of service "+s.service+" has the address, not one of "+r.Service)
	a.UnusedRetries = r.RetryBudget
	return a
}
