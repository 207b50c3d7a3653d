package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"fuchsiavane.org/lab/meshsim"
)

// series is the number of faults that come one after the other at the same time
// as those of other series.
const series = 3

// inject plays series of faults that overlap, and ends all of them.
func (s *soak) inject() {
	end := time.Now().Add(s.config.Length)
	var all sync.WaitGroup
	for range series {
		seed := s.random.Uint64()
		all.Go(func() {
			draw := newDraw(seed)
			for time.Now().Before(end) {
				s.injectOne(draw)
				time.Sleep(draw.duration(0, 500*time.Millisecond))
			}
		})
	}
	all.Wait()
	s.store.SetFault(meshsim.Healthy)
	s.storeWay.set(faultNone)
	s.lossy.Store(false)
	for _, p := range s.proxies {
		p.set(faultNone)
	}
}

// injectOne plays one fault to its end.
func (s *soak) injectOne(draw *draw) {
	n := draw.intN(len(s.instances))
	i, way := s.instances[n], s.proxies[n]
	length := draw.duration(200*time.Millisecond, 2*time.Second)
	switch kind := draw.intN(9); kind {
	case 0:
		s.note("%s is paused for %v", i.name, length)
		s.around(i, length, func() { i.signal(syscall.SIGSTOP) }, func() { i.signal(syscall.SIGCONT) })
	case 1:
		s.note("%s is killed", i.name)
		s.restart(i, func() {
			i.signal(syscall.SIGCONT)
			i.signal(syscall.SIGKILL)
			<-i.gone
		})
	case 2:
		s.note("%s is stopped as planned", i.name)
		s.restart(i, func() {
			if i.end() && i.calmSince(time.Now().Add(-graceTime)) {
				s.broken("%s was still there after its grace time", i.name)
			}
		})
	case 3:
		s.note("%s gets SIGHUP", i.name)
		i.signal(syscall.SIGHUP)
	case 4:
		trouble := meshsim.Fault(1 + draw.intN(4))
		s.note("store trouble %d for %v", trouble, length)
		s.store.SetFault(trouble)
		time.Sleep(length)
		s.store.SetFault(meshsim.Healthy)
	case 5:
		mode := fault(1 + draw.intN(int(faults)-1))
		s.note("way to the store: fault %d for %v", mode, length)
		s.storeWay.set(mode)
		time.Sleep(length)
		s.storeWay.set(faultNone)
	case 6:
		mode := fault(1 + draw.intN(int(faults)-1))
		s.note("way to the upstream of %s: fault %d for %v", i.name, mode, length)
		s.around(i, length, func() { way.set(mode) }, func() { way.set(faultNone) })
	case 7:
		s.note("the upstream of %s drains and is replaced", i.name)
		s.drain(i, way.addr())
	case 8:
		s.note("configuration; answers are lost for %v", length)
		s.configure()
		s.lossy.Store(true)
		time.Sleep(length)
		s.lossy.Store(false)
	}
}

func (s *soak) around(i *instance, length time.Duration, begin, end func()) {
	i.disturb(time.Now().Add(length))
	begin()
	time.Sleep(length)
	end()
}

// restart ends a process and starts it again. Only one series at a time may do so
// with one instance.
func (s *soak) restart(i *instance, end func()) {
	i.mu.Lock()
	busy := i.paused
	i.paused = true
	i.mu.Unlock()
	if busy {
		return
	}
	end()
	if err := i.start(); err != nil {
		s.broken("%v", err)
	}
}

// drain lets an upstream leave, and another come at its address.
func (s *soak) drain(i *instance, address string) {
	i.mu.Lock()
	old := i.current
	old.phase = "draining"
	i.mu.Unlock()
	time.Sleep(drainBound + 500*time.Millisecond)
	i.mu.Lock()
	same := i.current == old
	i.mu.Unlock()
	if same {
		s.replaceUpstream(i, address)
	}
}

// awaitRecovery checks that everything serves again after the last fault.
func (s *soak) awaitRecovery() {
	for _, i := range s.instances {
		i.signal(syscall.SIGCONT)
	}
	s.allServe(recovery)
}

// String names a fault for the report.
func (f fault) String() string {
	return [...]string{"none", "delay", "reset", "silence", "one way", "forget"}[f] + fmt.Sprintf(" (%d)", int(f))
}
