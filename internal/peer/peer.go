// Package peer carries the control traffic between daemons: a connect-go service over cleartext
// HTTP/2. It maps between domain types and protobuf and holds no state of the fleet. Callers are
// authenticated with the fleet's shared key; the traffic is not encrypted.
package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// Handler answers the calls of other daemons. Its methods run concurrently.
type Handler interface {
	Exchange(ctx context.Context, exchange Exchange) (Exchange, error)
	Members(ctx context.Context, page PageRequest) (Page, error)
	Records(ctx context.Context, records RecordsRequest) (logrelay.Page, error)
	Handover(ctx context.Context, handover keys.Handover) error
	Report(ctx context.Context, reports []suspects.Report) error
	Probe(ctx context.Context) (load.Hint, error)
	Announce(ctx context.Context, from instance.ID, throughs []logrelay.Through) error
	Append(ctx context.Context, record []byte) error
}

// ErrNoKey is returned if the fleet's shared key is empty.
var ErrNoKey = errors.New("shared key is empty")

const (
	authorization = "Authorization"
	scheme        = "Bearer "
)

// Key checks the fleet's shared key in constant time.
type Key struct{ sum [sha256.Size]byte }

// NewKey returns a check for a shared key. It returns ErrNoKey for an empty one.
func NewKey(secret string) (Key, error) {
	if secret == "" {
		return Key{}, ErrNoKey
	}

	return Key{sum: sha256.Sum256([]byte(secret))}, nil
}

// Match reports whether an Authorization header presents the key. The digests are compared, so that
// the time depends on neither content nor length of the secret.
func (k Key) Match(header string) bool {
	presented, found := strings.CutPrefix(header, scheme)
	sum := sha256.Sum256([]byte(presented))

	return found && subtle.ConstantTimeCompare(sum[:], k.sum[:]) == 1
}
