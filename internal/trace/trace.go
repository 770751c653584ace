// Package trace records the events and effects of a deterministic reducer as JSON lines, and replays
// recordings.
//
// A recording starts with a line that holds the options and the seed of the initial state. Each event
// is one line with its time and its effects. The last line says why the recording ended; it is absent
// if the process crashed. Data files written by hand have the same form, and may state expected
// outcomes in place of all effects.
//
// The package knows no reducer. A recording is a debugging aid of one version of the program; it is
// not read by other versions and is no protocol.
package trace

import (
	"encoding/json"
	"io/fs"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// format is the number of the form of recordings.
const format = 1

// maxLine bounds the memory that one line needs when it is read.
const maxLine = 16 << 20 // bytes

// Header describes the initial state.
type Header struct {
	Seed uint64
	// Options is any JSON value by which the caller builds the initial state.
	Options json.RawMessage
}

// End says why a recording ended.
type End string

const (
	// EndCut means that there is no closing line, because the process crashed or still runs.
	EndCut End = ""
	// EndStopped means that the owner stopped the recording.
	EndStopped End = "stopped"
	// EndLimit means that the size limit was reached.
	EndLimit End = "limit"
	// EndLost means that events came faster than they could be written, so that some are missing.
	EndLost End = "lost"
	// EndUnrecordable means that an event or effect could not be encoded.
	EndUnrecordable End = "unrecordable"
)

// line is one line of a recording. Exactly one of Start, Event and End is set.
type line struct {
	Start *startLine `json:"start,omitempty"`

	Seq   uint64    `json:"seq,omitempty"`
	Now   time.Time `json:"now,omitzero"`
	Event *message  `json:"event,omitempty"`
	// Effects are all effects of the event, in order. They are not compared if the list is absent.
	Effects []message `json:"effects,omitzero"`
	// Expect is the alternative in files written by hand, see Replay.
	Expect []message `json:"expect,omitzero"`

	End   End    `json:"end,omitempty"`
	Cause string `json:"cause,omitempty"`
}

type startLine struct {
	Format  int             `json:"format"`
	Seed    uint64          `json:"seed"`
	Options json.RawMessage `json:"options,omitempty"`
}

// Create opens a file for a recording. An existing file is kept under the name with ".old", because it
// may be the recording of the run that just crashed. Only the owner can read the file: recordings hold
// idempotency keys.
func Create(path string) (*os.File, error) {
	if err := os.Rename(path, path+".old"); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, errors.Wrap(err, "keep the earlier recording")
	}

	const ownerOnly = 0o600

	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, ownerOnly)

	return file, errors.Wrap(err, "create recording")
}
