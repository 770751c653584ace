// Package verdict states whether a request may have run at a backend server.
//
// The verdict is carried through the reducer, between daemons and to the caller, so that a retry is
// decided on what happened to the request and not on a status code.
package verdict

import "github.com/cockroachdb/errors"

// Verdict says whether a request may have run. The zero value is MayHaveRun, the safe assumption.
type Verdict uint8

const (
	// MayHaveRun means that a part of the request can have reached a backend server.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request can have reached a backend server, or that the
	// server's documented refusal says that it did not run.
	NotRun
	// Answered means that the request ran and its whole answer is known.
	Answered
)

// ErrUnknown is returned by Parse for a text that names no verdict.
var ErrUnknown = errors.New("unknown verdict")

// String returns the wire form.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Answered:
		return "answered"
	default:
		return "may-have-run"
	}
}

// Parse reads the wire form. It returns MayHaveRun and ErrUnknown for any other text.
func Parse(text string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Answered} {
		if v.String() == text {
			return v, nil
		}
	}

	return MayHaveRun, errors.Wrapf(ErrUnknown, "%q", text)
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	*v = parsed

	return err
}

// MayRepeat reports whether another attempt is allowed after this verdict.
func (v Verdict) MayRepeat(idempotent bool) bool {
	return v == NotRun || (idempotent && v == MayHaveRun)
}
