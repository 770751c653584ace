package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

const (
	// noticeTime is the time within which a daemon gets a response of its server and passes it on.
	noticeTime = time.Second
	// limitTime is how long a server states a limit, and limitWindow the time over which its requests are counted.
	limitTime   = 6 * time.Second
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound the requests of a limited server: so many times the limit, and so many more.
	limitFactor = 1.5
	limitSlack  = 5
	// maxLimit is the largest limit, in requests per second.
	maxLimit = 8
)

// silenceStore makes all connections to the store silent and publishes a configuration. New connections work, so that
// no guarantee is suspended.
func silenceStore(ctx context.Context, s *Soak, _ *node, _ *rand.Rand) {
	s.store.SilenceConnections()
	s.publish()
	task.Sleep(ctx, maxConfigDelay)
}

// limitServer makes the server of a node state a limit. Half of the time, the daemon is stopped and started meanwhile. More
// requests than the limit allows are a violation.
func limitServer(ctx context.Context, s *Soak, n *node, random *rand.Rand) {
	perSecond := 1 + random.IntN(maxLimit)
	limited := normalBehaviour
	limited.Limit = float64(perSecond)

	server := n.server
	server.SetBehaviour(limited)
	task.Sleep(ctx, noticeTime)

	stated := time.Now()

	if random.IntN(2) == 0 {
		terminate(ctx, s, n, random)
	}

	task.Sleep(ctx, limitTime)

	most := mostStarts(server.Starts(), stated, time.Now())
	server.SetBehaviour(normalBehaviour)

	if allowed := limitFactor*limitWindow.Seconds()*float64(perSecond) + limitSlack; float64(most) > allowed {
		s.results.addViolation("LIMIT", "%s got %d requests in %s, with a limit of %d per second",
			server.Name(), most, limitWindow, perSecond)
	}
}

// mostStarts returns the largest number of requests that were started within limitWindow, between two times.
func mostStarts(starts []time.Time, from, to time.Time) int {
	most, first := 0, 0

	for last, at := range starts {
		for starts[first].Before(from) && first < last || at.Sub(starts[first]) >= limitWindow {
			first++
		}

		if !at.Before(from) && at.Before(to) {
			most = max(most, last-first+1)
		}
	}

	return most
}

// leaveByResponses makes the server of a node say in its responses that it leaves, while its announcements call it ready.
// Half of the time, the daemon is killed and started again without the store. A request that starts later than drainTime
// after the first such response is a violation. The server is then replaced.
func leaveByResponses(ctx context.Context, s *Soak, n *node, random *rand.Rand) {
	leaving := backend.Behaviour{ServiceTime: normalBehaviour.ServiceTime, Leaving: true}
	before, _ := n.server.Served()

	n.server.SetBehaviour(leaving)
	task.Sleep(ctx, noticeTime)

	told := time.Now()
	after, _ := n.server.Served()

	if random.IntN(2) == 0 {
		n.toStore.Set(Link{CutTo: true, CutFrom: true})
		n.daemon.signal(syscall.SIGKILL)
		s.restart(n)
	}

	task.Sleep(ctx, drainTime+drainSlack)
	n.toStore.Set(Link{})

	if _, last := n.server.Served(); after > before && last.After(told.Add(drainTime)) {
		s.results.addViolation("DRAIN", "%s got a request %s after it had said in a response that it leaves",
			n.server.Name(), last.Sub(told))
	}

	// The server ends even if the daemon does not acknowledge that it has left.
	_ = n.server.announcer.Withdraw(ctx)
	n.server.stop()

	if err := s.replaceServer(n); err != nil {
		s.results.addViolation("SOAK", "%v", err)
	}
}
