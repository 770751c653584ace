package routing

import "time"

const (
	// samples is the number of servers that are compared for one choice.
	samples = 2
	// tries bounds the draws for one choice, so that its cost does not depend on the number of
	// servers.
	tries = 12
)

// choose returns the better of two random servers that the flight has not tried, or nil.
func (s *State) choose(now time.Time, svc *service, f *flight) *server {
	if srv := s.sample(now, &svc.local, f); srv != nil {
		return srv
	}

	return s.sample(now, &svc.remote, f)
}

func (s *State) sample(now time.Time, from *set, f *flight) *server {
	var (
		best      *server
		bestScore float64
		drawn     int
	)

	n := len(from.items)
	if n == 0 {
		return nil
	}

	for range tries {
		srv := from.items[s.random.IntN(n)]
		if srv == best || f.tried(srv) {
			continue
		}

		score := s.score(now, srv)
		if best == nil || score < bestScore {
			best, bestScore = srv, score
		}

		drawn++
		if drawn == samples {
			break
		}
	}

	if best == nil {
		best = firstUntried(from, f, s.random.IntN(n))
	}

	if best != nil {
		best.hint.uses++
	}

	return best
}

// firstUntried looks at a bounded number of neighbours, for the case that draws only hit tried servers.
func firstUntried(from *set, f *flight, start int) *server {
	n := len(from.items)
	for i := range min(n, tries) {
		if srv := from.items[(start+i)%n]; !f.tried(srv) {
			return srv
		}
	}

	return nil
}

// score is the expected cost of the next request at the server; lower is better.
func (s *State) score(now time.Time, srv *server) float64 {
	return (srv.load(now) + 1) / float64(srv.slots())
}
