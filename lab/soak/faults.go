package soak

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"fuchsiavane.org/lab/faultproxy"
	"fuchsiavane.org/lab/meshsim"
)

// faultSeries is the number of concurrent series; each injects one fault after the
// other.
const faultSeries = 3

// inject runs the fault series for the configured time, then ends every fault.
func (s *harness) inject() {
	end := time.Now().Add(s.config.Length)
	var group sync.WaitGroup
	for range faultSeries {
		seed := s.random.Uint64()
		group.Go(func() {
			source := newRandomSource(seed)
			for time.Now().Before(end) {
				s.injectFault(source)
				time.Sleep(source.duration(0, 500*time.Millisecond))
			}
		})
	}
	group.Wait()
	s.store.SetFault(meshsim.Healthy)
	s.storeProxy.SetFault(faultproxy.None)
	s.dropResponses.Store(false)
	for _, p := range s.proxies {
		p.SetFault(faultproxy.None)
	}
}

// injectFault injects one random fault and returns when it has ended.
func (s *harness) injectFault(source *randomSource) {
	n := source.intN(len(s.instances))
	i, upstreamProxy := s.instances[n], s.proxies[n]
	name, _ := i.identity()
	length := source.duration(200*time.Millisecond, 2*time.Second)
	switch kind := source.intN(10); kind {
	case 0:
		s.recordFault("%s is paused for %v", name, length)
		s.during(i, length, func() { i.signal(syscall.SIGSTOP) }, func() { i.signal(syscall.SIGCONT) })
	case 1:
		s.recordFault("%s is killed", name)
		s.restart(i, func() {
			i.signal(syscall.SIGCONT)
			i.signal(syscall.SIGKILL)
			<-i.exited
		})
	case 2:
		s.recordFault("%s is stopped as planned", name)
		s.restart(i, func() {
			if i.terminate() && i.undisturbedSince(time.Now().Add(-gracePeriod)) {
				s.addViolation("%s was still there after its grace time", name)
			}
		})
	case 3:
		s.recordFault("%s gets SIGHUP", name)
		i.signal(syscall.SIGHUP)
	case 4:
		storeFault := meshsim.Fault(1 + source.intN(4))
		s.recordFault("store trouble %d for %v", storeFault, length)
		s.store.SetFault(storeFault)
		time.Sleep(length)
		s.store.SetFault(meshsim.Healthy)
	case 5:
		mode := faultproxy.Fault(1 + source.intN(int(faultproxy.Count)-1))
		s.recordFault("way to the store: fault %d for %v", mode, length)
		s.storeProxy.SetFault(mode)
		time.Sleep(length)
		s.storeProxy.SetFault(faultproxy.None)
	case 6:
		mode := faultproxy.Fault(1 + source.intN(int(faultproxy.Count)-1))
		s.recordFault("way to the upstream of %s: fault %d for %v", name, mode, length)
		s.during(i, length, func() { upstreamProxy.SetFault(mode) }, func() { upstreamProxy.SetFault(faultproxy.None) })
	case 7:
		s.recordFault("the upstream of %s drains and is replaced", name)
		s.drainUpstream(i, upstreamProxy.Addr())
	case 8:
		s.recordFault("configuration; answers are lost for %v", length)
		s.configure()
		s.dropResponses.Store(true)
		time.Sleep(length)
		s.dropResponses.Store(false)
	case 9:
		s.recordFault("the addresses of %s go to another service", name)
		s.replaceInstance(i, upstreamProxy.Addr())
	}
}

// during begins a fault on an instance, waits for length, and ends the fault.
func (s *harness) during(i *instance, length time.Duration, begin, end func()) {
	i.extendDisturbance(time.Now().Add(length))
	begin()
	time.Sleep(length)
	end()
}

// restart stops and restarts a process. It does nothing while another series
// restarts the same instance.
func (s *harness) restart(i *instance, end func()) {
	i.mu.Lock()
	busy := i.restarting
	i.restarting = true
	i.mu.Unlock()
	if busy {
		return
	}
	end()
	if err := i.start(); err != nil {
		s.addViolation("%v", err)
	}
}

// reuseAfter is the time after the end of an instance in which its addresses stay unused.
const reuseAfter = 2 * time.Second

// replaceInstance kills an instance with its upstream, and starts one of another service
// at its addresses. If the service would have no instance left, it restarts the killed
// one.
func (s *harness) replaceInstance(i *instance, upstreamAddr string) {
	s.restart(i, func() {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-i.exited
		if !s.changeService(i) {
			return
		}
		i.mu.Lock()
		i.current.stop()
		i.mu.Unlock()
		time.Sleep(reuseAfter)
		if err := i.settingsFile(upstreamAddr, s.storeProxy.Addr()); err != nil {
			s.addViolation("%v", err)
		}
		s.replaceUpstream(i, upstreamAddr)
	})
}

// changeService gives an instance a new name and another service, and reports whether its
// service has other instances.
func (s *harness) changeService(i *instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, old := i.identity()
	others := 0
	for _, other := range s.instances {
		if _, service := other.identity(); other != i && service == old {
			others++
		}
	}
	if others == 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.name = fmt.Sprintf("instance-%d-%d", i.number, s.ids.Add(1))
	i.service = services[(slices.Index(services, old)+1)%len(services)]
	return true
}

// drainUpstream drains the upstream of an instance, then replaces it at its address.
func (s *harness) drainUpstream(i *instance, address string) {
	i.mu.Lock()
	old := i.current
	old.phase = "draining"
	i.mu.Unlock()
	time.Sleep(drainLimit + 500*time.Millisecond)
	i.mu.Lock()
	unchanged := i.current == old
	i.mu.Unlock()
	if unchanged {
		s.replaceUpstream(i, address)
	}
}

// awaitRecovery resumes paused processes and checks that every instance serves again
// after the last fault.
func (s *harness) awaitRecovery() {
	for _, i := range s.instances {
		i.signal(syscall.SIGCONT)
	}
	s.awaitServing(recoveryTimeout)
}
