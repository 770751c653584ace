package attempt

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/httpheader"
)

// MaxBody is the largest request body that a call may carry, in bytes. Manifests set smaller limits.
const MaxBody = 16 << 20

// bufferSize is the size of one read of a response, in bytes.
const bufferSize = 32 << 10

// Incoming is a call as the receiving daemon sees it.
type Incoming struct {
	// Call has no body before ReadBody.
	Call     Call
	writer   http.ResponseWriter
	incoming *http.Request
}

// Handler receives calls and passes them to serve, which has to call Respond once.
func Handler(key string, serve func(*Incoming)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(FleetHeader)), []byte(key)) != 1 {
			http.Error(w, "fleet key is missing or wrong", http.StatusForbidden)

			return
		}

		if r.Method != http.MethodPost || r.ContentLength < 1 || r.ContentLength > MaxBody+1 {
			http.Error(w, "a call is a POST with a body of stated length", http.StatusBadRequest)

			return
		}

		call, err := decodeCall(r.Header.Get(CallHeader), time.Now())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}

		call.Header = httpheader.Forwardable(r.Header)
		serve(&Incoming{Call: call, writer: w, incoming: r})
	})
}

// Context ends when the sender has gone away or cancelled the call, or after the handler has returned.
func (in *Incoming) Context() context.Context { return in.incoming.Context() }

// ReadBody reads the body to its end and sets Call.Body. After an error the call must not be run.
func (in *Incoming) ReadBody() error {
	data := make([]byte, in.incoming.ContentLength)
	if _, err := io.ReadFull(in.incoming.Body, data); err != nil {
		return errors.Wrap(err, "read call body")
	}

	if data[len(data)-1] != commitByte {
		return errors.Wrap(ErrMalformed, "body does not end with the commit byte")
	}

	in.Call.Body = data[:len(data)-1]

	return nil
}

// Respond sends the reply, with a nil body for a refusal. If the body breaks, the connection is
// aborted, so that the receiver sees an incomplete transfer.
func (in *Incoming) Respond(reply Reply, header http.Header, body io.Reader) {
	reply.ID, reply.Number = in.Call.Request.ID, in.Call.Number
	// A hint that was not asked for was not paid for.
	reply.Hinted = in.Call.Hint

	out := in.writer.Header()
	httpheader.Copy(out, httpheader.Forwardable(header))
	out.Set(ReplyHeader, reply.encode())
	out.Set("Trailer", LengthTrailer+", "+DigestTrailer)
	in.writer.WriteHeader(http.StatusOK)

	digest, length := xxhash.New(), int64(0)

	if body != nil {
		written, err := in.copyBody(io.TeeReader(body, digest))
		if err != nil {
			panic(http.ErrAbortHandler)
		}

		length = written
	}

	out.Set(LengthTrailer, strconv.FormatInt(length, 10))
	out.Set(DigestTrailer, formatDigest(digest))
}

// copyBody flushes after each read, so that a slow backend server's bytes are not held back.
func (in *Incoming) copyBody(body io.Reader) (int64, error) {
	var written int64

	flusher, _ := in.writer.(http.Flusher)
	buffer := make([]byte, bufferSize)

	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := in.writer.Write(buffer[:n]); writeErr != nil {
				return written, errors.Wrap(writeErr, "write reply")
			}

			written += int64(n)
		}

		if errors.Is(err, io.EOF) {
			return written, nil
		}

		if err != nil {
			return written, errors.Wrap(err, "read response of backend server")
		}

		if flusher != nil && n > 0 {
			flusher.Flush()
		}
	}
}
