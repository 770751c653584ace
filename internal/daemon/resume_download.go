package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

// maxResumes is how often one download can be resumed.
const maxResumes = 3

// resumableBody is the body of a download that continues at another server if it breaks off. The caller already has the
// first bytes, so the rest must be of the same representation, which a strong validator (RFC 9110) identifies.
type resumableBody struct {
	daemon     *Daemon
	ctx        context.Context
	submission caller.Submission
	body       io.ReadCloser
	validator  string
	size       int64
	// offset is the number of bytes read so far.
	offset  int64
	resumes int
}

// makeResumable replaces the body of a response by a resumableBody if the response is too large for memory and can be
// resumed.
func (d *Daemon) makeResumable(ctx context.Context, submission caller.Submission, response *caller.Response) {
	validator := response.Header.Get("Etag")
	strong := validator != "" && !strings.HasPrefix(validator, "W/")

	if _, buffered := response.Body.(*bufferedBody); buffered || !strong || !submission.Request.Idempotent() ||
		submission.Method != http.MethodGet || response.Status != http.StatusOK || response.Length < 0 {
		return
	}

	response.Body = &resumableBody{
		daemon: d, ctx: ctx, submission: submission, body: response.Body, validator: validator, size: response.Length,
	}
}

// Read implements io.Reader.
func (b *resumableBody) Read(data []byte) (int, error) {
	n, err := b.body.Read(data)
	b.offset += int64(n)

	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}

	if resumeErr := b.resume(); resumeErr != nil {
		return n, errors.CombineErrors(err, resumeErr)
	}

	return n, nil
}

// Close implements io.Closer.
func (b *resumableBody) Close() error { return errors.Wrap(b.body.Close(), "close download") }

// resume requests the rest of the download and checks that it belongs to the same representation.
func (b *resumableBody) resume() error {
	if b.resumes >= maxResumes || b.offset >= b.size {
		return errors.Newf("download cannot be resumed at byte %d of %d", b.offset, b.size)
	}

	b.resumes++
	_ = b.body.Close()

	header := b.submission.Header.Clone()
	header.Set("Range", fmt.Sprintf("bytes=%d-", b.offset))
	header.Set("If-Match", b.validator)

	rest := b.submission
	rest.Header = header
	rest.Request.ID = request.NewID()

	result := b.daemon.submit(b.ctx, rest, false)
	if result.Response == nil {
		return errors.Newf("request for the rest of the download was refused: %s", string(result.Refusal.Reason))
	}

	b.body = result.Response.Body
	b.daemon.resumedDownloads.Add(1)

	expected := fmt.Sprintf("bytes %d-%d/%d", b.offset, b.size-1, b.size)
	if result.Response.Status != http.StatusPartialContent ||
		result.Response.Header.Get("Content-Range") != expected ||
		result.Response.Header.Get("Etag") != b.validator {
		return errors.Newf("resumed download has status %d and range %q", result.Response.Status,
			result.Response.Header.Get("Content-Range"))
	}

	return nil
}
