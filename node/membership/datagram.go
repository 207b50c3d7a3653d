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

// read takes datagrams until the socket is closed.
func (d *Driver) read() {
	buffer := make([]byte, 2*maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as a peer's port that is closed
		}
		d.takeDatagram(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (d *Driver) takeDatagram(data []byte, from netip.AddrPort) {
	d.counts.receivedBytes.Add(len(data))
	opened, err := d.seal.Open(datagramPurpose, data, from.Addr())
	if err != nil {
		d.refuse(from, err)
		return
	}
	message, err := decode(opened)
	if err != nil {
		d.counts.malformed.Inc()
		return
	}
	d.enqueue(inbound{from.String(), message})
}

// refuse counts a message that does not prove the link key, and logs it unless
// one was logged less than refusedLogInterval ago.
func (d *Driver) refuse(from netip.AddrPort, err error) {
	d.counts.refused.Inc()
	now := time.Now().UnixNano()
	last := d.refusedLog.Load()
	if now-last < refusedLogInterval.Nanoseconds() || !d.refusedLog.CompareAndSwap(last, now) {
		return
	}
	d.config.Log.Log(event.MemberRefused).Str("remote", from.String()).Err(err).Msg("membership message refused")
}

// enqueue hands a message to the loop, or drops it if the loop is behind.
func (d *Driver) enqueue(in inbound) {
	d.counts.received.Inc()
	select {
	case d.inbound <- in:
	default:
		d.counts.droppedInbound.Inc()
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
		d.counts.malformed.Inc()
		return
	}
	if len(data)+seal.Overhead > maxDatagram {
		d.enqueueStream(out)
		return
	}
	to, err := netip.ParseAddrPort(out.To)
	if err != nil {
		d.counts.malformed.Inc()
		return
	}
	sealed := d.seal.Seal(datagramPurpose, data)
	d.counts.sent.Inc()
	d.counts.sentBytes.Add(len(sealed))
	_, _ = d.conn.WriteToUDPAddrPort(sealed, to) // a lost datagram is the protocol's to repeat
}
