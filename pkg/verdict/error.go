package verdict

import "github.com/cockroachdb/errors"

// Error is a failure together with what it says of the request.
type Error struct {
	Verdict Verdict
	cause   error
}

// WithError returns an error that carries a verdict.
func WithError(v Verdict, cause error) error { return &Error{Verdict: v, cause: cause} }

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the verdict of a failure. A failure that carries none may have run.
func Of(err error) Verdict {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Verdict
	}

	return MayHaveRun
}
