package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

const (
	// returnTime is how long after a refusal the same request may come again.
	returnTime = 5 * time.Second
	// maxReturning bounds the refused requests that are remembered.
	maxReturning = 4096
)

// returning remembers refused requests, so that one that comes again is known to have been on its way for some time:
// its caller needs the response within the target since the first sending.
type returning struct {
	since map[request.Fingerprint]sending
	// order lists what was remembered, the oldest first.
	order []request.Fingerprint
}

// sending is when a request first arrived and when it was refused last.
type sending struct{ first, refused time.Time }

// refused remembers a request that was not run.
func (r *returning) refused(now, first time.Time, fingerprint request.Fingerprint) {
	if _, known := r.since[fingerprint]; !known {
		r.order = append(r.order, fingerprint)
	}

	r.since[fingerprint] = sending{first: first, refused: now}

	for len(r.order) > 0 && (len(r.order) > maxReturning || now.Sub(r.since[r.order[0]].refused) > returnTime) {
		delete(r.since, r.order[0])
		r.order = r.order[1:]
	}
}

// first returns when a request that arrives now has arrived for the first time. Each refusal is followed by one
// sending, so it is forgotten.
func (r *returning) first(now time.Time, fingerprint request.Fingerprint) time.Time {
	s, known := r.since[fingerprint]
	if !known || now.Sub(s.refused) > returnTime {
		return now
	}

	s.refused = time.Time{}
	r.since[fingerprint] = s

	return s.first
}
