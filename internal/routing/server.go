package routing

import (
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
	// hintAge is the age after which a load hint is dropped. Load shifts within milliseconds; after
	// this time a hint predicts the load no better than the mean of the other servers.
	hintAge = 200 * time.Millisecond
	// hintUses is the number of choices after which a load hint is dropped, so that one report of an
	// idle server does not attract all requests of an entry.
	hintUses = 16
	// latencyWeight is the weight of one sample in the moving average of the service time.
	latencyWeight = 0.1
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
	latency time.Duration

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
	// own is the number of this entry's attempts when the hint arrived.
	own int
}

func (srv *server) update(member instance.Member, place instance.Place) {
	if member.Incarnation != srv.member.Incarnation {
		srv.hint = hint{}
		srv.latency = 0
		srv.closed = false
		srv.backoff = 0
	}

	srv.member = member
	srv.local = member.Place.Region == place.Region
	srv.near = srv.local && member.Place.Domain == place.Domain
}

func (srv *server) learn(now time.Time, h load.Hint) {
	srv.hint = hint{Hint: h, valid: true, at: now, own: srv.inFlight}
}

// hinted reports whether there is a load hint that may be used.
func (srv *server) hinted(now time.Time) bool {
	return srv.hint.valid && srv.hint.uses < hintUses && now.Sub(srv.hint.at) <= hintAge
}

func (srv *server) slots() int { return max(1, srv.member.Slots) }

// load estimates the number of requests at the server.
func (srv *server) load(now time.Time) float64 {
	if !srv.hinted(now) {
		return float64(srv.inFlight)
	}

	reported := srv.hint.InFlight + srv.hint.Queue + srv.inFlight - srv.hint.own

	return float64(max(reported, srv.inFlight))
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
	for _, srv := range append([]*server(nil), svc.unreachable...) {
		if !now.Before(srv.reopenAt) {
			srv.closed = false
			svc.place(srv)
		}
	}
}

// place moves the server to the set that fits its state.
func (svc *service) place(srv *server) {
	if srv.set != nil {
		srv.set.remove(srv)
		srv.set = nil
	}

	for i, other := range svc.unreachable {
		if other == srv {
			svc.unreachable = append(svc.unreachable[:i], svc.unreachable[i+1:]...)

			break
		}
	}

	switch {
	case !srv.member.Usable():
	case srv.closed:
		svc.unreachable = append(svc.unreachable, srv)
	case srv.local:
		svc.local.add(srv)
	default:
		svc.remote.add(srv)
	}
}

// set is a list with removal in constant time. The order depends only on the events.
type set struct{ items []*server }

func (t *set) add(srv *server) {
	srv.set, srv.position = t, len(t.items)
	t.items = append(t.items, srv)
}

func (t *set) remove(srv *server) {
	last := len(t.items) - 1
	t.items[srv.position] = t.items[last]
	t.items[srv.position].position = srv.position
	t.items[last] = nil
	t.items = t.items[:last]
	srv.position = -1
}
