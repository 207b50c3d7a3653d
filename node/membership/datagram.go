package membership

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/seal"
)

// readDatagrams receives datagrams until the socket is closed.
func (d *Driver) readDatagrams() {
	buffer := make([]byte, 2*maxDatagramBytes)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example an ICMP report that a peer's port is closed
		}
		d.receiveDatagram(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (d *Driver) receiveDatagram(data []byte, from netip.AddrPort) {
	d.counters.receivedBytes.Add(len(data))
	opened, err := d.seal.Open(datagramPurpose, data, from.Addr())
	if err != nil {
		d.refuse(from, err)
		return
	}
	message, err := decode(opened)
	if err != nil {
		d.counters.malformed.Inc()
		return
	}
	d.enqueue(inbound{from.String(), message})
}

// refuse counts a message that does not prove the link key. It logs at most one
// such message per refusedLogInterval.
func (d *Driver) refuse(from netip.AddrPort, err error) {
	d.counters.refused.Inc()
	now := time.Now().UnixNano()
	last := d.lastRefusedLog.Load()
	if now-last < refusedLogInterval.Nanoseconds() || !d.lastRefusedLog.CompareAndSwap(last, now) {
		return
	}
	d.config.Log.Log(event.MemberRefused).Str("remote", from.String()).Err(err).Msg("membership message refused")
}

// enqueue queues a received message for the loop, or drops it if the queue is
// full.
func (d *Driver) enqueue(in inbound) {
	d.counters.received.Inc()
	select {
	case d.inbound <- in:
	default:
		d.counters.droppedInbound.Inc()
	}
}

func (d *Driver) send(out []member.Outgoing) {
	for i := range out {
		if out[i].Reliable {
			d.enqueueStream(out[i])
			continue
		}
		d.sendDatagram(out[i])
	}
}

func (d *Driver) sendDatagram(out member.Outgoing) {
	data, err := Encode(&out.Message)
	if err != nil {
		d.counters.malformed.Inc()
		return
	}
	if len(data)+seal.Overhead > maxDatagramBytes {
		d.enqueueStream(out)
		return
	}
	to, err := netip.ParseAddrPort(out.To)
	if err != nil {
		d.counters.malformed.Inc()
		return
	}
	sealed := d.seal.Seal(datagramPurpose, data)
	d.counters.sent.Inc()
	d.counters.sentBytes.Add(len(sealed))
	_, _ = d.conn.WriteToUDPAddrPort(sealed, to) // the protocol repeats lost datagrams
}
