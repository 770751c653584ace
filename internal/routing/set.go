package routing

// tier is the part of a service that is in the own region, or the part that is not.
type tier struct {
	set
	latency average
	// reported is the mean of the service times in load hints.
	reported average
	// failing is the number of servers that fail.
	failing int
	// load is the mean of the loads in hints, own that of this entry's requests at a server.
	load average
	own  average
	// pressure is the share of attempts that were refused.
	pressure average
}

func (srv *server) tier() *tier {
	if srv.local {
		return &srv.service.local
	}

	return &srv.service.remote
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
	srv.set, srv.position = nil, -1
}

// place moves the server to the set that fits its state.
func (svc *service) place(srv *server) {
	srv.setFailing(false)

	if srv.set != nil {
		srv.set.remove(srv)
	}

	switch {
	case !srv.member.Usable():
	case srv.closed:
		svc.unreachable.add(srv)
	default:
		srv.tier().add(srv)
	}
}
