package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

const (
	// returnTime is how long after a refusal the same request may come again.
	resendWindow = 5 * time.Second
	// maxReturning bounds the refused requests that are remembered.
	maxRefusedRequests = 4096
)

// returning remembers refused requests, so that one that comes again is known to have been on its way for some time:
// its caller needs the response within the target since the first sending.
type refusedRequests struct {
	byFingerprint map[request.Fingerprint]refusedRequest
	// order lists what was remembered, the oldest first.
	order []request.Fingerprint
}

// sending is when a request first arrived and when it was refused last.
type refusedRequest struct{ firstArrival, lastRefusal time.Time }

// refused remembers a request that was not run.
func (r *refusedRequests) add(now, first time.Time, fingerprint request.Fingerprint) {
	if _, known := r.byFingerprint[fingerprint]; !known {
		r.order = append(r.order, fingerprint)
	}

	r.byFingerprint[fingerprint] = refusedRequest{firstArrival: first, lastRefusal: now}

	for len(r.order) > 0 && (len(r.order) > maxRefusedRequests || now.Sub(r.byFingerprint[r.order[0]].lastRefusal) > resendWindow) {
		delete(r.byFingerprint, r.order[0])
		r.order = r.order[1:]
	}
}

// first returns when a request that arrives now has arrived for the first time. Each refusal is followed by one
// sending, so it is forgotten.
func (r *refusedRequests) takeFirstArrival(now time.Time, fingerprint request.Fingerprint) time.Time {
	s, known := r.byFingerprint[fingerprint]
	if !known || now.Sub(s.lastRefusal) > resendWindow {
		return now
	}

	s.lastRefusal = time.Time{}
	r.byFingerprint[fingerprint] = s

	return s.firstArrival
}
