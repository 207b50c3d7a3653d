package membership

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiavane.org/core/member"
)

// Path is the HTTP path of membership streams on the peer port.
const Path = "/fuchsiavane/members"

// Purposes that the seals of messages are bound to. Daemons must agree on them.
const (
	datagramPurpose = "member datagram"
	streamPurpose   = "member stream"
)

const (
	// streamTimeout is the timeout of one stream.
	streamTimeout = 10 * time.Second
)

// enqueueStream queues a message for the stream workers, or drops it if the queue
// is full.
func (d *Driver) enqueueStream(out member.Outgoing) {
	select {
	case d.streams <- out:
	default:
		d.counters.droppedStream.Inc()
	}
}

func (d *Driver) sendStreams(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-d.streams:
			d.sendStream(ctx, &out)
		}
	}
}

func (d *Driver) sendStream(ctx context.Context, out *member.Outgoing) {
	data, err := cbor.Marshal(envelope{d.config.Self.Addr, out.Message})
	if err != nil {
		d.counters.malformed.Inc()
		return
	}
	sealed := d.seal.Seal(streamPurpose, data)
	d.counters.sent.Inc()
	d.counters.sentBytes.Add(len(sealed))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+out.To+Path, bytes.NewReader(sealed))
	if err != nil {
		d.counters.malformed.Inc()
		return
	}
	response, err := d.client.Do(request)
	if err != nil {
		d.counters.failedStream.Inc()
		return
	}
	_ = response.Body.Close()
}

// ServeHTTP receives a membership stream on the peer port.
func (d *Driver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || r.Method != http.MethodPost {
		http.Error(w, "want a post", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStreamBytes))
	if err != nil {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	d.counters.receivedBytes.Add(len(data))
	opened, err := d.seal.Open(streamPurpose, data, from.Addr())
	if err != nil {
		d.refuse(from, err)
		http.Error(w, "refused", http.StatusForbidden)
		return
	}
	var e envelope
	var ignored error
	err = decMode.Unmarshal(opened, &e)
	if err == nil {
		ignored, err = checkMessage(&e.Message)
	}
	if !d.accept(from, ignored, err) {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	d.enqueue(inbound{e.From, &e.Message})
	w.WriteHeader(http.StatusNoContent)
}
