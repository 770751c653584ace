package attempt

import (
	"fmt"
	"hash"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ErrIncomplete is returned by a reply's body if the transfer broke or its length or digest does not
// match. What was read before must not be presented as a whole response.
var ErrIncomplete = errors.New("incomplete response")

// verifiedBody checks length and digest at the end of a reply's body.
type verifiedBody struct {
	response *http.Response
	digest   hash.Hash64
	length   int64
	release  func()
}

func newVerifiedBody(response *http.Response, release func()) *verifiedBody {
	return &verifiedBody{response: response, digest: xxhash.New(), release: release}
}

// Read returns io.EOF only after the trailer has been checked.
func (b *verifiedBody) Read(data []byte) (int, error) {
	n, err := b.response.Body.Read(data)
	_, _ = b.digest.Write(data[:n])
	b.length += int64(n)

	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		return n, b.check()
	default:
		return n, errors.Mark(errors.Wrap(err, "read reply"), ErrIncomplete)
	}
}

func (b *verifiedBody) check() error {
	length := b.response.Trailer.Get(LengthTrailer)
	if length != strconv.FormatInt(b.length, 10) {
		return errors.Wrapf(ErrIncomplete, "received %d bytes, sender states %q", b.length, length)
	}

	digest := b.response.Trailer.Get(DigestTrailer)
	if digest != formatDigest(b.digest) {
		return errors.Wrapf(ErrIncomplete, "digest of %d bytes differs", b.length)
	}

	return io.EOF
}

// Close ends the transfer and cancels the call if it is still running.
func (b *verifiedBody) Close() error {
	err := b.response.Body.Close()
	b.release()

	return errors.Wrap(err, "close reply")
}

func formatDigest(digest hash.Hash64) string { return fmt.Sprintf("%016x", digest.Sum64()) }
