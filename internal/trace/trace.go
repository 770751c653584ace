// Package trace records the events and effects of a deterministic reducer as JSON lines, and replays recordings.
//
// The first line of a recording holds the options and the seed of the initial state. Each event is one line with its
// time and its effects. The closing line states why the recording ended; it is missing if the process crashed. Files
// written by hand have the same form, and may state expected effects instead of all effects.
//
// The package does not depend on a particular reducer. A recording is a debugging aid for one version of the program;
// other versions do not read it.
package trace

import (
	"encoding/json"
	"io/fs"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// formatVersion is the version of the recording format.
const formatVersion = 1

// maxLine bounds a line in bytes, and so the memory for reading it.
const maxLine = 16 << 20

// Header describes the initial state of a reducer.
type Header struct {
	Seed uint64
	// Options is a JSON value from which the caller builds the initial state.
	Options json.RawMessage
}

// End is the reason why a recording ended.
type End string

const (
	// EndCut means that the closing line is missing, because the process crashed or still runs.
	EndCut End = ""
	// EndStopped means that the owner stopped the recording.
	EndStopped End = "stopped"
	// EndLimit means that the size limit was reached.
	EndLimit End = "limit"
	// EndLost means that events are missing, because they came faster than they could be written.
	EndLost End = "lost"
	// EndUnrecordable means that an event or effect could not be encoded.
	EndUnrecordable End = "unrecordable"
)

// line is one line of a recording. Exactly one of Start, Event and End is set.
type line struct {
	Start *startLine `json:"start,omitempty"`

	Seq   uint64      `json:"seq,omitempty"`
	Now   time.Time   `json:"now,omitzero"`
	Event *typedValue `json:"event,omitempty"`
	// Effects are all effects of the event in order. If they are absent, they are not compared.
	Effects []typedValue `json:"effects,omitzero"`
	// Expect holds expected effects in files written by hand, see Replay.
	Expect []typedValue `json:"expect,omitzero"`

	End   End    `json:"end,omitempty"`
	Cause string `json:"cause,omitempty"`
}

type startLine struct {
	Format  int             `json:"format"`
	Seed    uint64          `json:"seed"`
	Options json.RawMessage `json:"options,omitempty"`
}

// Create creates a file for a recording. An existing file is renamed to path with ".old" appended, because it may be
// the recording of a run that crashed. Only the owner can read the new file, because recordings contain idempotency
// keys.
func Create(path string) (*os.File, error) {
	if err := os.Rename(path, path+".old"); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, errors.Wrap(err, "rename the earlier recording")
	}

	const ownerOnly = 0o600

	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, ownerOnly)

	return file, errors.Wrap(err, "create recording")
}
