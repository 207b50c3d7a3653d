package experiment

import (
	"fmt"
	"time"

	"fuchsiavane.org/core/admission"
	"fuchsiavane.org/core/level"
)

// request is one send of a caller's request through the chain.
type request struct {
	id, caller string
	rank       int
	deadline   time.Time
	// retries is the remaining retry budget of the call tree.
	retries int
	// work is the upstream time spent on the request so far.
	work time.Duration
	// nested is set once a run of the request makes nested calls.
	nested bool
	// ended is set when the caller has its response or has abandoned the request.
	ended     bool
	succeeded bool
	// cancels release the queue entries, slots and threads that the request holds.
	cancels []func()
}

// response is the outcome of a call.
type response struct {
	succeeded bool
	// notRun is set when no upstream received the request.
	notRun bool
	level  uint32
}

// instance is one upstream with its daemon's limiter.
type instance struct {
	service int
	limiter limiter
	// pending counts the requests sent to the instance without a response yet.
	pending int
	// busy counts the threads in use, and queue holds the runs that wait for one.
	busy  int
	queue []func()
}

// simulation runs one scenario in one mode.
type simulation struct {
	*eventLoop
	scenario    Scenario
	mode        Mode
	services    [][]*instance
	views       []*level.View // one per entry daemon
	retryTokens float64       // shared by all hops; a failed first send earns retryRatio
	recorder    *recorder
	sent        int
}

func newSimulation(seed uint64, s Scenario, m Mode) *simulation {
	sim := &simulation{eventLoop: newEventLoop(seed), scenario: s, mode: m, recorder: newRecorder(s)}
	for i := range chain {
		var instances []*instance
		for range chain[i].instances {
			instances = append(instances, &instance{service: i, limiter: sim.newLimiter(i)})
		}
		sim.services = append(sim.services, instances)
	}
	for range chain[0].instances {
		sim.views = append(sim.views, level.NewView())
	}
	if s.restarts {
		sim.after(warmupTime, sim.replaceDeepest)
	}
	for rank := range ranks {
		sim.scheduleArrivals(rank)
	}
	return sim
}

func (s *simulation) newLimiter(service int) limiter {
	slots := chain[service].threads
	switch s.mode {
	case NoControl:
		return unlimited{}
	case StaticLimit:
		return &staticLimiter{slots: slots}
	}
	return newCoreLimiter(s.eventLoop, slots)
}

// replaceDeepest replaces the deepest instances by new ones. Requests on the old
// instances finish there.
func (s *simulation) replaceDeepest() {
	deep := len(chain) - 1
	for i := range s.services[deep] {
		s.services[deep][i] = &instance{service: deep, limiter: s.newLimiter(deep)}
	}
}

func (s *simulation) triggerActive() bool {
	return s.elapsed() >= warmupTime && s.elapsed() < warmupTime+s.scenario.TriggerTime
}

// scheduleArrivals schedules the next request of a rank, which schedules the one
// after it.
func (s *simulation) scheduleArrivals(rank int) {
	rate := deepest().capacity() * ordinaryLoad * demandMix[rank]
	if s.triggerActive() {
		rate *= s.scenario.demand[rank]
	}
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	// A long gap must not delay the start of a flood.
	const maxGap = 20 * time.Millisecond
	if gap > maxGap {
		s.after(maxGap, func() { s.scheduleArrivals(rank) })
		return
	}
	s.after(gap, func() {
		s.send(s.recorder.recordArrival(rank, s.elapsed()), rank, s.scenario.resends)
		s.scheduleArrivals(rank)
	})
}

// resendBackoff is the time that a caller waits before it resends a request.
const resendBackoff = 50 * time.Millisecond

// send sends a caller's request and resends it on failure, at most resends times.
func (s *simulation) send(o *callerRequest, rank, resends int) {
	s.sent++
	r := &request{
		id: fmt.Sprintf("%08x-%08x", s.random.Uint32(), s.sent), caller: fmt.Sprintf("caller-%d", s.random.IntN(20)),
		rank: rank, deadline: s.now.Add(callTimeout), retries: 2,
	}
	end := func(succeeded bool) {
		if r.ended {
			return
		}
		r.ended, r.succeeded = true, succeeded
		s.recorder.recordOutcome(o, succeeded)
		if s.mode == Fuchsiavane && !succeeded {
			s.cancel(r)
		}
		if !succeeded && resends > 0 {
			s.after(resendBackoff, func() { s.send(o, rank, resends-1) })
		}
	}
	s.callThroughEntry(r, func(resp response) { end(resp.succeeded) })
	if !r.ended {
		s.recorder.recordStart(r, s.elapsed())
		s.after(callTimeout, func() { end(false) })
	}
}

func (s *simulation) cancel(r *request) {
	for _, cancel := range r.cancels {
		cancel()
	}
}

// callThroughEntry calls the first service through a random entry daemon. In mode
// Fuchsiavane the daemon refuses the request if the level of its call path does.
func (s *simulation) callThroughEntry(r *request, done func(response)) {
	view := s.views[s.random.IntN(len(s.views))]
	key := level.Key{Service: "first", Path: "GET /", Rank: rankNames[r.rank]}
	if s.mode == Fuchsiavane && level.Refuses(view.Level(s.now, key), r.id) {
		done(response{notRun: true})
		return
	}
	s.call(0, r, 0, func(resp response) {
		if resp.level > 0 || !resp.notRun {
			view.Record(s.now, key, resp.level)
		}
		done(resp)
	})
}

// call sends a request to an instance of a service, and retries a failed send on a
// newly chosen instance while mayRetry allows it.
func (s *simulation) call(service int, r *request, attempt int, done func(response)) {
	target := s.pickInstance(service)
	target.pending++
	finished := false
	finish := func(resp response) {
		if finished {
			return
		}
		finished = true
		target.pending--
		if !resp.succeeded && s.mayRetry(r, resp, attempt) {
			s.call(service, r, attempt+1, done)
			return
		}
		done(resp)
	}
	if s.mode == Fuchsiavane {
		r.cancels = append(r.cancels, func() {
			if !finished {
				finished = true
				target.pending--
			}
		})
	} else {
		s.after(callTimeout, func() { finish(response{}) })
	}
	s.after(hopLatency, func() {
		s.serve(target, r, func(resp response) { s.after(hopLatency, func() { finish(resp) }) })
	})
}

// retryRatio is the setting retry_ratio, retryBurst the maximum of retryTokens,
// and hopRetries the number of retries at each hop without fuchsiavane.
const (
	retryRatio = 0.1
	retryBurst = 10
	hopRetries = 1
)

// mayRetry reports whether a failed call is retried, and charges the retry.
func (s *simulation) mayRetry(r *request, resp response, attempt int) bool {
	if s.mode != Fuchsiavane {
		return attempt < hopRetries
	}
	if attempt == 0 {
		s.retryTokens = min(s.retryTokens+retryRatio, retryBurst)
	}
	if !resp.notRun || r.ended || level.Refuses(resp.level, r.id) || r.retries == 0 || s.retryTokens < 1 {
		return false
	}
	r.retries--
	s.retryTokens--
	return true
}

// pickInstance returns the one of two random instances with fewer pending requests.
func (s *simulation) pickInstance(service int) *instance {
	instances := s.services[service]
	a, b := instances[s.random.IntN(len(instances))], instances[s.random.IntN(len(instances))]
	if b.pending < a.pending {
		return b
	}
	return a
}

// serve passes a request through the limiter of the upstream's daemon.
func (s *simulation) serve(target *instance, r *request, done func(response)) {
	if r.ended && s.mode == Fuchsiavane {
		return
	}
	decided := false
	target.limiter.admit(r, func(admitted bool) {
		decided = true
		if !admitted {
			done(response{notRun: true, level: target.limiter.level(r.rank)})
			return
		}
		s.execute(target, r, done)
	})
	if !decided {
		r.cancels = append(r.cancels, func() {
			if !decided {
				decided = true
				target.limiter.cancel(r)
			}
		})
	}
}

// refusalTime is the time that an upstream takes to shed a request by itself.
const refusalTime = time.Millisecond

// execute runs a request on an upstream: it waits for a thread, works, and calls the
// next service.
func (s *simulation) execute(target *instance, r *request, done func(response)) {
	arrived := s.now
	finished, working := false, false
	var workStart time.Time
	release := func(sample admission.Sample, hasThread bool) {
		finished = true
		if hasThread {
			target.releaseThread()
		}
		target.limiter.finish(r, sample)
	}
	if s.shedsItself(target) {
		s.after(refusalTime, func() {
			if !finished {
				release(admission.Sample{Overloaded: true}, false)
				done(response{level: target.limiter.level(r.rank)})
			}
		})
		return
	}
	started := false
	r.cancels = append(r.cancels, func() {
		if finished {
			return
		}
		if working {
			r.work += s.now.Sub(workStart)
		}
		release(admission.Sample{Abandoned: true}, started)
	})
	finish := func(succeeded bool, lowerLevel uint32) {
		if finished {
			return
		}
		release(admission.Sample{Latency: s.now.Sub(arrived), Abandoned: !succeeded}, true)
		done(response{succeeded: succeeded, level: max(lowerLevel, target.limiter.level(r.rank))})
	}
	target.acquireThread(func() bool {
		if finished {
			return false
		}
		started, working, workStart = true, true, s.now
		work := s.drawWork(target.service)
		s.after(work, func() {
			if finished {
				return
			}
			working = false
			r.work += work
			if target.service == len(chain)-1 {
				finish(true, 0)
				return
			}
			r.nested = true
			s.call(target.service+1, r, 0, func(resp response) { finish(resp.succeeded, resp.level) })
		})
		return true
	})
}

// shedsItself reports whether the upstream sheds a new request by itself.
func (s *simulation) shedsItself(target *instance) bool {
	return s.scenario.shedAt > 0 && s.triggerActive() && target.service == len(chain)-1 && target.busy >= s.scenario.shedAt
}

// drawWork draws the working time of a request, half of it fixed and half
// exponentially distributed.
func (s *simulation) drawWork(service int) time.Duration {
	mean := float64(chain[service].work)
	if s.scenario.upperWork > 0 && service < len(chain)-1 {
		mean = float64(s.scenario.upperWork)
	}
	if s.scenario.slowdown != nil && s.triggerActive() && service == len(chain)-1 {
		mean *= s.scenario.slowdown(s.elapsed() - warmupTime)
	}
	return time.Duration(mean * (0.5 + 0.5*s.random.ExpFloat64()))
}

// acquireThread calls start with a thread of the upstream, now or later. start
// returns false if the run ended while it waited; the thread then goes to the next
// waiting run.
func (i *instance) acquireThread(start func() bool) {
	if i.busy >= chain[i.service].threads {
		i.queue = append(i.queue, func() {
			if !start() {
				i.releaseThread()
			}
		})
		return
	}
	i.busy++
	start()
}

// releaseThread gives a thread to the next waiting run.
func (i *instance) releaseThread() {
	if len(i.queue) == 0 {
		i.busy--
		return
	}
	next := i.queue[0]
	i.queue = i.queue[1:]
	next()
}
