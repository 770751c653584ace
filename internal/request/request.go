// Package request holds the part of a request that decisions are made on. Bodies are not part of it.
package request

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// ID identifies a request between daemons; it is new for each request that a caller sends.
type ID string

// NewID returns a random ID.
func NewID() ID { return ID(uuid.NewString()) }

// Fingerprint is a hash of method, path and body. Equal requests of different callers share it.
type Fingerprint uint64

// NewFingerprint hashes a request. The parts are separated by a byte that none of method and path contains.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + "\x00" + path + "\x00")
	_, _ = digest.Write(body)

	return Fingerprint(digest.Sum64())
}

// Request is an immutable description of one request.
type Request struct {
	ID      ID
	Service string
	Kind    manifest.Kind
	// Key is the caller's Idempotency-Key, or empty.
	Key         string
	Fingerprint Fingerprint
	Deadline    time.Time
	// Target is when a response is still of full use to the caller; zero if that is the deadline.
	Target time.Time
	// Since is when its caller first sent it, as far as is known; zero if that does not matter.
	Since time.Time
	// Route names the route or rule that applies, for estimates of its work.
	Route string
	// Attempts is the largest number of backend servers that may run the request; zero means that the
	// service's limit applies.
	Attempts int
	// Priority orders requests that wait for the same server; 0 is the highest.
	Priority int
	// Origin is the service on whose instance the request began.
	Origin string
	// Depth is the number of calls above this one; zero for a call from outside.
	Depth int
	// Alone asks for a server that runs nothing else meanwhile.
	Alone bool
	// Size of the request body in bytes.
	Size int64
}

// Nested reports whether the request was made while another one is being served.
func (r Request) Nested() bool { return r.Depth > 0 }

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool { return r.Kind == manifest.Idempotent }

// WithSince returns a copy that its caller first sent at a time, from which its target counts.
func (r Request) WithSince(now, since time.Time) Request {
	r.Since = since

	if !r.Target.IsZero() {
		r.Target = r.Target.Add(since.Sub(now))
	}

	return r
}

// WithAlone returns a copy that asks for a server of its own.
func (r Request) WithAlone() Request {
	r.Alone = true

	return r
}
