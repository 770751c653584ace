// Package verdict states whether a request may have run at a backend server.
//
// Daemons pass the verdict between them and to the caller, so that whether to retry depends on what happened to the
// request and not on a status code.
package verdict

import "github.com/cockroachdb/errors"

// Verdict tells whether a request may have run. The zero value is MayHaveRun, the safe assumption.
type Verdict uint8

const (
	// MayHaveRun means that a part of the request may have reached a backend server.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request can have reached a backend server, or that the server sent its
	// documented refusal, which states that the request did not run.
	NotRun
	// Answered means that the request ran and its whole response is known.
	Answered
)

// ErrUnknown is returned by Parse and UnmarshalText for a text that is not the wire form of a verdict.
var ErrUnknown = errors.New("unknown verdict")

// String returns the wire form, such as "not-run".
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

// Parse parses the wire form. For any other text, it returns MayHaveRun and an error that wraps ErrUnknown.
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

// UnmarshalText implements encoding.TextUnmarshaler. For an unknown text, it sets MayHaveRun and returns an error that
// wraps ErrUnknown.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	*v = parsed

	return err
}

// MayRepeat reports whether another attempt is allowed after this verdict. A request that is not idempotent is repeated
// only if it did not run.
func (v Verdict) MayRepeat(idempotent bool) bool {
	return v == NotRun || (idempotent && v == MayHaveRun)
}
