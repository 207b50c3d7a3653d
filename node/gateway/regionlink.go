package gateway

import (
	"context"
	"io"
	"time"

	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/call"
)

const (
	// requestOverhead and answerOverhead are the bytes charged per call, in addition
	// to body and header, for framing, the request line and the status line.
	requestOverhead = 512
	answerOverhead  = 512
	// unpacedBytes is the number of bytes at the start of a response that are charged
	// without a wait, so that small responses are not delayed and only postpone later
	// calls.
	unpacedBytes = 16 << 10
)

// RegionLink limits this daemon's traffic on the link between regions, which is slow
// and billed by volume. It is safe for concurrent use.
type RegionLink struct {
	out, in *route.LinkBudget
}

// NewRegionLink returns a RegionLink whose budgets are empty.
func NewRegionLink(now time.Time) *RegionLink {
	return &RegionLink{route.NewLinkBudget(now), route.NewLinkBudget(now)}
}

// SetShare sets this daemon's share from the link's capacity in bytes per second in each
// direction and the number of daemons in the region. A background loop calls it.
func (l *RegionLink) SetShare(now time.Time, linkBytes float64, daemons int) {
	l.out.SetShare(now, linkBytes, daemons)
	l.in.SetShare(now, linkBytes, daemons)
}

// Rate returns this daemon's share in bytes per second in each direction.
func (l *RegionLink) Rate() float64 { return l.in.Rate() }

// allow reports whether a new call may use the region link. A fraction of the budgets is
// reserved for urgent calls.
func (l *RegionLink) allow(now time.Time, urgent bool) bool {
	return l.out.Allow(now, urgent) && l.in.Allow(now, urgent)
}

// charge charges the budgets for a request that is sent over the region link.
func (l *RegionLink) charge(r *call.Request) {
	bytes := requestOverhead + len(r.Body) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	l.out.Charge(time.Now(), bytes)
	l.in.Charge(time.Now(), answerOverhead)
}

// pace returns a body whose reads are limited to this daemon's share. The flow control
// of the link to the peer then slows the sender down.
func (l *RegionLink) pace(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	return &pacedBody{ReadCloser: body, ctx: ctx, budget: l.in}
}

// pacedBody charges a budget for the bytes read and waits while the budget is
// overdrawn.
type pacedBody struct {
	io.ReadCloser
	ctx    context.Context
	budget *route.LinkBudget
	read   int
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += n
	wait := b.budget.Charge(time.Now(), n)
	if wait == 0 || err != nil || b.read <= unpacedBytes {
		return n, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return n, nil
	case <-b.ctx.Done():
		return n, b.ctx.Err()
	}
}
