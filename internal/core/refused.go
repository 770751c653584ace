package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

const (
	// resendWindow is how long after a refusal an equal request counts as the refused one, sent again.
	resendWindow = 5 * time.Second
	// maxRefusedRequests bounds the number of refused requests that are remembered.
	maxRefusedRequests = 4096
)

// refusedRequests remembers when refused requests first arrived. The target of a request counts from its first
// arrival, because that is how long its caller has been waiting.
type refusedRequests struct {
	byFingerprint map[request.Fingerprint]refusedRequest
	// order lists the keys of byFingerprint, the oldest first.
	order []request.Fingerprint
}

// refusedRequest is a request that was refused at least once. lastRefusal is zero after the request has
// arrived again.
type refusedRequest struct{ firstArrival, lastRefusal time.Time }

// add records the refusal of a request that was not run, and drops old entries.
func (r *refusedRequests) add(now, firstArrival time.Time, fingerprint request.Fingerprint) {
	if _, known := r.byFingerprint[fingerprint]; !known {
		r.order = append(r.order, fingerprint)
	}

	r.byFingerprint[fingerprint] = refusedRequest{firstArrival: firstArrival, lastRefusal: now}

	for len(r.order) > 0 && (len(r.order) > maxRefusedRequests ||
		now.Sub(r.byFingerprint[r.order[0]].lastRefusal) > resendWindow) {
		delete(r.byFingerprint, r.order[0])
		r.order = r.order[1:]
	}
}

// takeFirstArrival returns when a request that arrives now was first sent: the present time unless it was refused
// before. Each refusal counts for one request only, as its caller sends the request again once.
func (r *refusedRequests) takeFirstArrival(now time.Time, fingerprint request.Fingerprint) time.Time {
	refused, known := r.byFingerprint[fingerprint]
	if !known || now.Sub(refused.lastRefusal) > resendWindow {
		return now
	}

	refused.lastRefusal = time.Time{}
	r.byFingerprint[fingerprint] = refused

	return refused.firstArrival
}
