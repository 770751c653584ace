// Package request describes a request by the properties on which decisions such as routing depend. The body is not one
// of them.
package request

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// ID identifies a request in all daemons. A request that its caller sends again gets a new ID.
type ID string

// NewID returns a new random ID.
func NewID() ID { return ID(uuid.NewString()) }

// Fingerprint is a hash of method, path and body. Equal requests of different callers have the same fingerprint.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. It separates the parts by a zero byte, which neither method nor
// path can contain.
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
	// Target is the time by which the caller wants the response; zero if that is the deadline.
	Target time.Time
	// Since is the time at which the caller first sent the request, if known; zero if it does not matter, as for nested
	// calls.
	Since time.Time
	// Route is the name of the route or rule that applies. The work of requests is estimated per Route.
	Route string
	// Attempts is the maximum number of backend servers that may run the request; zero means the limit of the service.
	Attempts int
	// Priority orders requests that wait for the same backend server; 0 is the highest.
	Priority int
	// Origin is the service of the instance whose daemon received the request from its caller.
	Origin string
	// Depth is the number of calls that this one is nested in; zero for a call from outside.
	Depth int
	// Alone requires a backend server that runs no other request at the same time.
	Alone bool
	// Size is the size of the request body in bytes.
	Size int64
	// Tenant is the tenant of the caller; empty if there is none, as for nested calls.
	Tenant string
	// Regions are the regions whose servers may run the request.
	Regions Regions
}

// Nested reports whether the request is a call that another request makes while it runs.
func (r Request) Nested() bool { return r.Depth > 0 }

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool { return r.Kind == manifest.Idempotent }

// WithSince returns a copy in which Since is set and Target is moved by the time from now to since. Target was counted
// from now, the time at which the request arrived; it counts from the time at which the caller first sent it.
func (r Request) WithSince(now, since time.Time) Request {
	r.Since = since

	if !r.Target.IsZero() {
		r.Target = r.Target.Add(since.Sub(now))
	}

	return r
}

// WithTenant returns a copy for a tenant: with its name, its priority if it has one, and both restrictions of regions. The
// fingerprint differs between tenants, so that an idempotency key of one never brings the response of another.
func (r Request) WithTenant(tenant manifest.Tenant) Request {
	r.Tenant = tenant.Name
	r.Regions = r.Regions.Intersect(NewRegions(tenant.Regions))
	r.Fingerprint ^= Fingerprint(xxhash.Sum64String(tenant.Name))

	if tenant.Ranked {
		r.Priority = tenant.Priority
	}

	return r
}

// WithAlone returns a copy with Alone set.
func (r Request) WithAlone() Request {
	r.Alone = true

	return r
}
