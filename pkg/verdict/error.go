package verdict

import "github.com/cockroachdb/errors"

// Error is an error with a verdict on the request that failed.
type Error struct {
	Verdict Verdict
	cause   error
}

// WithError returns an *Error with the verdict, which wraps cause.
func WithError(v Verdict, cause error) error { return &Error{Verdict: v, cause: cause} }

// Error returns the message of the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the verdict of the first *Error in the chain of err. Without one, it returns MayHaveRun, because the
// request may have run.
func Of(err error) Verdict {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Verdict
	}

	return MayHaveRun
}
