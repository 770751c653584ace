package caller

import (
	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// errUnauthenticated means that a request presents an unknown API key, or none although its rule requires one. Neither the
// error nor the refusal contains the key.
var errUnauthenticated = errors.New("API key is missing or unknown")

// authenticate returns the tenant of a request by its API key, or nil if the request needs no key. A key that is presented
// has to be known, even if the rule allows callers without one.
func (h *Handler) authenticate(x *http1.Exchange, matcher Matcher, rule manifest.Rule) (*manifest.Tenant, error) {
	if !matcher.Keyed() {
		return nil, nil
	}

	if key := h.dialect.CredentialOf(x.Request.Header); key != "" {
		tenant, known := matcher.Tenant(key)
		if !known {
			return nil, errUnauthenticated
		}

		return tenant, nil
	}

	if rule.Anonymous || h.isFromInstance(x) || h.isNested(x) {
		return nil, nil
	}

	return nil, errUnauthenticated
}

// isNested reports whether a header field identifies the request for which the local backend server makes this call.
func (h *Handler) isNested(x *http1.Exchange) bool {
	if h.dialect.CallToken == "" {
		return false
	}

	_, nested := h.parents.Parent(x.Request.Header.Get(h.dialect.CallToken))

	return nested
}

// refuseUnauthenticated returns the refusal of a request without a valid API key. If there is a newer manifest, which may
// have the key, the caller is asked to try again.
func (h *Handler) refuseUnauthenticated() Refusal {
	if !h.newerManifest() {
		return notRunRefusal(Unauthenticated)
	}

	refusal := notRunRefusal(ManifestBehind)
	refusal.RetryAfter = noManifestRetryAfter

	return refusal
}
