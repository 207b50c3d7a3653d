package meshsim

import (
	"fmt"
	"time"
)

// ProcessSettings are the settings of a daemon's process. Addresses are of the form
// host:port.
type ProcessSettings struct {
	Instance, Service, DataCentre, Region string
	// UpstreamAddr and StoreAddr are called by the daemon, which listens at the others.
	UpstreamAddr, StoreAddr                      string
	CallerAddr, PeerAddr, ReadyAddr, ControlAddr string
	AdminPort                                    uint16
	HeartbeatInterval, GracePeriod               time.Duration
}

// File returns the settings file that the platform writes for the process.
func (s *ProcessSettings) File() string {
	return fmt.Sprintf(`node_name=%s
zone=%s
region=%s
service=%s
app_addr=%s
listen_addrs.outbound=%s
listen_addrs.inbound=%s
listen_addrs.ready=%s
listen_addrs.control=%s
port_range=%d,%d
heartbeat=%s
bounds.grace_period=%s
bounds.retry_budget_ratio=0.2
platform.address=%s
platform.value_bytes=1048576
`, s.Instance, s.DataCentre, s.Region, s.Service, s.UpstreamAddr, s.CallerAddr, s.PeerAddr, s.ReadyAddr, s.ControlAddr,
		s.AdminPort, s.AdminPort, s.HeartbeatInterval, s.GracePeriod, s.StoreAddr)
}
