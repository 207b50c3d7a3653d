package membership

import (
	"net"
	"net/netip"
	"sync/atomic"
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
	message, ignored, err := decode(opened)
	if !d.accept(from, ignored, err) {
		return
	}
	d.enqueue(inbound{from.String(), message})
}

// refuse counts a message that does not prove the link key. It logs at most one
// such message per refusedLogInterval.
func (d *Driver) refuse(from netip.AddrPort, err error) {
	d.counters.refused.Inc()
	if mayLog(&d.lastRefusedLog) {
		d.config.Log.Log(event.MemberRefused).Str("remote", from.String()).Err(err).Msg("membership message refused")
	}
}

// accept counts and logs a message, or a part of it, that is not known, and reports
// whether the rest of the message can be used. It logs at most one such message per
// refusedLogInterval.
func (d *Driver) accept(from netip.AddrPort, ignored, err error) bool {
	if ignored == nil && err == nil {
		return true
	}
	d.counters.malformed.Inc()
	if mayLog(&d.lastUnknownLog) {
		d.config.Log.Log(event.MemberUnknown).Str("remote", from.String()).AnErr("record", ignored).AnErr("message", err).Msg("membership message ignored in part or whole")
	}
	return err == nil
}

// mayLog reports whether refusedLogInterval has passed since the last log line, whose
// time in Unix nanoseconds last holds.
func mayLog(last *atomic.Int64) bool {
	now, previous := time.Now().UnixNano(), last.Load()
	return now-previous >= refusedLogInterval.Nanoseconds() && last.CompareAndSwap(previous, now)
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
