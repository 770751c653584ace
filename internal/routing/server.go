package routing

import (
	"math"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
)

const (
	// backoffFirst and backoffLast bound the time for which an unreachable server is not chosen.
	// The first is short because a restarted daemon is back within a second; with the last, an entry
	// loses one attempt a second to the server.
	backoffFirst = 100 * time.Millisecond
	backoffLast  = time.Second
	// hintAge is the age after which a load hint is dropped. hintFade is the time constant with which
	// trust in it fades; it is about the service time, in which the load reported is replaced by other
	// requests. In trials, 5 and 20 ms gave a p99 within 3 % of that with 10 ms.
	hintAge  = 50 * time.Millisecond
	hintFade = 10 * time.Millisecond
	// hintUses is the number of choices after which a load hint is dropped, so that one report of an
	// idle server does not attract all requests of an entry.
	hintUses = 16
	// latencyRise and latencyFall are the weights of one sample in the moving average of the latency.
	// A slow server is noticed within a few requests and returns gradually.
	latencyRise = 0.2
	latencyFall = 0.05
	// returnTime is the time constant with which a server that is not used returns to the mean of its
	// peers, so that it is tried again.
	returnTime = time.Second
	// failureWeight is the weight of one outcome in the moving average of failures.
	failureWeight = 0.2
	// failurePenalty is the latency that a server adds which always fails. It is a multiple of any
	// sensible service time, because a failed request is worse than a slow one.
	failurePenalty = 2 * time.Second
	// failureIgnored is the share of failures that costs nothing: a single failure, or errors that are
	// part of the service.
	failureIgnored = 0.3
	// failureReturn is the time constant with which failures are forgotten. A server that still fails
	// gets about one request every two seconds from an entry.
	failureReturn = 3 * time.Second
	// reportAge is how long a reported service time counts; it changes less quickly than the load.
	reportAge = 100 * time.Millisecond
	// slownessIgnored is the ratio to the mean latency up to which a server is not slow, and slownessMax
	// bounds what slowness is worth.
	slownessIgnored = 1.2
	slownessMax     = 6
	// ownGain is the number of requests of all entries that one more request of this entry stands for.
	ownGain = 7
	// rampTime is the time in which a server that just started comes to its full share, and rampFactor
	// its latency in multiples at the start.
	rampTime   = 2 * time.Second
	rampFactor = 4
)

// server is what the entry knows of one backend server and the daemon beside it.
type server struct {
	member  instance.Member
	service *service
	local   bool
	// near is set if the server is in the daemon's failure domain.
	near bool
	// set and position locate the server in its service; position is -1 if it is in no set.
	set      *set
	position int

	// inFlight counts the attempts of this entry.
	inFlight int
	hint     hint
	// probing is set while a probe is under way.
	probing bool
	// latency follows what successful attempts took.
	latency average
	// failures is the share of attempts that failed.
	failures average
	// failing is set while the server fails more than is ignored.
	failing bool

	// since is when the server could be chosen for the first time or again.
	since time.Time
	// closed is set while the server is unreachable; it is tried again at reopenAt.
	closed   bool
	backoff  time.Duration
	reopenAt time.Time
}

// hint is a load report with its age and use.
type hint struct {
	load.Hint
	valid bool
	at    time.Time
	uses  int
	// others is the reported load that is not this entry's.
	others float64
}

// average is a moving average that moves towards a given value while it gets no samples.
type average struct {
	value float64
	at    time.Time
}

func (a *average) add(now time.Time, sample, weight float64) {
	if a.at.IsZero() {
		a.value = sample
	}

	a.value += weight * (sample - a.value)
	a.at = now
}

// mark adds an outcome to an average that is a share. It starts from zero, because a single outcome says
// little.
func (a *average) mark(now time.Time, hit bool, weight float64, decay time.Duration) {
	sample := 0.0
	if hit {
		sample = 1
	}

	a.value = a.share(now, decay)
	a.value += weight * (sample - a.value)
	a.at = now
}

// share returns a share, which fades over time.
func (a *average) share(now time.Time, decay time.Duration) float64 {
	if a.at.IsZero() {
		return 0
	}

	return a.value * math.Exp(-now.Sub(a.at).Seconds()/decay.Seconds())
}

// towards returns the value, which approaches rest over time.
func (a *average) towards(now time.Time, rest float64) float64 {
	if a.at.IsZero() {
		return rest
	}

	return rest + (a.value-rest)*math.Exp(-now.Sub(a.at).Seconds()/returnTime.Seconds())
}

func (srv *server) update(now time.Time, member instance.Member, place instance.Place) {
	if member.Incarnation != srv.member.Incarnation {
		srv.hint, srv.latency, srv.failures = hint{}, average{}, average{}
		srv.closed, srv.backoff = false, 0
		srv.since = now
	}

	srv.member = member
	srv.local = member.Place.Region == place.Region
	srv.near = srv.local && member.Place.Domain == place.Domain
}

// leave takes the server out of its service. Attempts under way still refer to it.
func (srv *server) leave() {
	srv.member.Status = instance.Left
	srv.service.place(srv)
}

// learn takes over a load hint that has just arrived.
func (srv *server) learn(now time.Time, h load.Hint) {
	others := float64(max(0, h.InFlight+h.Queue-srv.inFlight))
	srv.hint = hint{Hint: h, valid: true, at: now, others: others}
	srv.tier().load.add(now, float64(h.InFlight+h.Queue), latencyFall)
	srv.tier().reported.add(now, h.Latency.Seconds(), latencyFall)
}

// hinted reports whether there is a load hint that may be used.
func (srv *server) hinted(now time.Time) bool {
	return srv.hint.valid && srv.hint.uses < hintUses && now.Sub(srv.hint.at) <= hintAge
}

func (srv *server) slots() int { return max(1, srv.member.Slots) }

// load estimates the number of requests at the server: this entry's, which it knows, and those of the
// other entries. Without a hint, the others are assumed to deviate from the mean as this entry does,
// because a slow server collects requests of all entries.
func (s *State) load(now time.Time, srv *server) float64 {
	t := srv.tier()
	mean := t.load.value

	if t.load.at.IsZero() {
		mean = ownGain * t.own.value
	}

	estimate := max(float64(srv.inFlight), mean+ownGain*(float64(srv.inFlight)-t.own.value))
	reported := float64(srv.inFlight) + srv.hint.others

	switch {
	case !srv.hint.valid:
		return estimate
	case !s.uses(HintAgeing):
		return reported
	case !srv.hinted(now):
		return estimate
	}

	trust := math.Exp(-float64(now.Sub(srv.hint.at)) / float64(hintFade))

	return estimate + trust*(reported-estimate)
}

// succeeded and failed record the outcome of an attempt.
func (srv *server) succeeded(now time.Time, elapsed time.Duration) {
	weight := latencyFall

	if elapsed.Seconds() > srv.latency.value {
		weight = latencyRise
	}

	srv.latency.add(now, elapsed.Seconds(), weight)
	srv.failures.mark(now, false, failureWeight, failureReturn)
	srv.tier().latency.add(now, elapsed.Seconds(), latencyFall)
	srv.tier().pressure.mark(now, false, latencyFall, returnTime)
	srv.judge(now)
	srv.service.spread.add(elapsed)
	srv.backoff = 0
}

// cancelled records an attempt that lost against a hedge. That it has taken so long is known, and without
// it a slow server whose requests are all hedged would not look slow.
func (srv *server) cancelled(now time.Time, elapsed time.Duration) {
	if elapsed.Seconds() > srv.latency.towards(now, srv.tier().latency.value) {
		srv.latency.add(now, elapsed.Seconds(), latencyRise)
	}
}

func (srv *server) failed(now time.Time) {
	srv.failures.mark(now, true, failureWeight, failureReturn)
	srv.judge(now)
}

// judge notes whether the server fails, so that it is known how many of its peers do.
func (srv *server) judge(now time.Time) {
	srv.setFailing(srv.set != nil && srv.failures.share(now, failureReturn) > failureIgnored)
}

func (srv *server) setFailing(failing bool) {
	if failing != srv.failing {
		srv.failing = failing
		srv.tier().failing += map[bool]int{true: 1, false: -1}[failing]
	}
}

// judge looks again at the servers that failed, because failures are forgotten over time.
func (t *tier) judge(now time.Time) {
	if t.failing == 0 {
		return
	}

	for _, srv := range t.items {
		srv.judge(now)
	}
}

// unreachable closes the server for a time that doubles with each failure.
func (srv *server) unreachable(now time.Time) {
	srv.backoff = min(max(2*srv.backoff, backoffFirst), backoffLast)
	srv.reopenAt = now.Add(srv.backoff)
	srv.closed = true
	srv.service.place(srv)
}

// reopen lets servers be chosen again whose time is up.
func (svc *service) reopen(now time.Time) {
	for _, srv := range append([]*server(nil), svc.unreachable.items...) {
		if !now.Before(srv.reopenAt) {
			srv.closed = false
			srv.since = now
			svc.place(srv)
		}
	}
}

// slowness is the server's latency in multiples of the mean of its peers. The service time that the server
// reported is preferred, because it covers the requests of all entries. Differences that chance explains
// do not count.
func (srv *server) slowness(now time.Time) float64 {
	t := srv.tier()
	ratio := 1.0

	if t.latency.value > 0 {
		ratio = srv.latency.towards(now, t.latency.value) / t.latency.value
	}

	if t.reported.value > 0 && srv.hint.valid && now.Sub(srv.hint.at) < reportAge {
		ratio = max(ratio, srv.hint.Latency.Seconds()/t.reported.value)
	}

	return min(max(1, ratio/slownessIgnored), slownessMax)
}
