package gateway

import (
	"context"
	"io"
	"time"

	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/call"
)

const (
	// requestOverhead and answerOverhead are the bytes of framing and head that
	// a call costs on the link besides its body and header.
	requestOverhead = 512
	answerOverhead  = 512
	// unpacedBytes is the part of an answer that is charged without waiting, so
	// that small answers come at once and only delay the start of later calls.
	unpacedBytes = 16 << 10
)

// RegionLink accounts for this daemon's calls over the link between regions, which
// is slow and paid for by volume. It is safe for concurrent use.
type RegionLink struct {
	out, in *route.LinkBudget
}

// NewRegionLink returns a FarLink whose budgets are empty.
func NewRegionLink(now time.Time) *RegionLink {
	return &RegionLink{route.NewLinkBudget(now), route.NewLinkBudget(now)}
}

// SetShare sets this daemon's share from the link's capacity in bytes per second
// each way and the daemons of the region. A duty calls it.
func (f *RegionLink) SetShare(now time.Time, linkBytes float64, daemons int) {
	f.out.SetShare(now, linkBytes, daemons)
	f.in.SetShare(now, linkBytes, daemons)
}

// Rate returns the share in bytes per second each way.
func (f *RegionLink) Rate() float64 { return f.in.Rate() }

// allow reports whether a new call may go over the link.
func (f *RegionLink) allow(now time.Time, urgent bool) bool {
	return f.out.Allow(now, urgent) && f.in.Allow(now, urgent)
}

// charge counts a request that goes over the link.
func (f *RegionLink) charge(r *call.Request) {
	bytes := requestOverhead + len(r.Body) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	f.out.Charge(time.Now(), bytes)
	f.in.Charge(time.Now(), answerOverhead)
}

// pace returns a body that is read no faster than the share allows. The link's
// flow control holds the sender back.
func (f *RegionLink) pace(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	return &pacedBody{ReadCloser: body, ctx: ctx, budget: f.in}
}

// pacedBody charges a budget for what is read and waits while it is in debt.
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
