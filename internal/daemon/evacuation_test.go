package daemon

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Guards against an evacuation that a record from before the list ends, and against one that a record does not end.
func TestEvacuationRecords(t *testing.T) {
	toDomain := func(key string) (string, bool) { return strings.CutPrefix(key, "evacuate/") }
	records := make(evacuationRecords)
	set := func(key string, offset int64) store.Record {
		return store.Record{Key: "evacuate/" + key, Value: []byte("{}"), Offset: offset}
	}

	// The second part of a list is newer than its end: a read from the end returns the records before it once more.
	records.update(store.Page{End: 5, Records: []store.Record{set("d1", 2), set("d2", 7)}}, true, toDomain)

	ended := records.update(store.Page{Records: []store.Record{
		{Key: "evacuate/d2", Offset: 5}, {Key: "config", Offset: 6}, set("d2", 7), {Key: "evacuate/d1", Offset: 8}, set("d3", 9),
	}}, false, toDomain)
	require.Equal(t, []string{"d1"}, ended)
	require.Equal(t, evacuationRecords{"d2": 7, "d3": 9}, records)

	records.update(store.Page{End: 12, Records: []store.Record{set("d3", 9)}}, true, toDomain)
	require.Equal(t, evacuationRecords{"d3": 9}, records)
}

// Guards against a waiting read that is interrupted because of a record that it has received, and against a reason to read
// again that an earlier one hides.
func TestRereadKnown(t *testing.T) {
	next := store.Position{Epoch: 2, Offset: 9}

	require.True(t, reread{version: 7, read: next}.known(7, next))
	require.True(t, reread{epoch: 2}.known(7, next))
	require.False(t, reread{version: 8}.known(7, next))
	require.False(t, reread{read: store.Position{Epoch: 2, Offset: 10}}.known(7, next))
	require.False(t, reread{}.known(7, next))

	d := &Daemon{rereadConfig: make(chan reread, 1)}
	d.requestReread(reread{version: 8})
	d.requestReread(reread{epoch: 3, read: next})
	require.Equal(t, reread{epoch: 3, version: 8, read: next}, <-d.rereadConfig)
}

// Guards against an answer of another daemon that is used although it is older, malformed or of another version than
// stated, and against a record that is passed on before it is in force.
func TestAppliedAnswers(t *testing.T) {
	errMalformed := errors.New("malformed")
	valid, err := manifest.Parse("manifest", []byte("[service stock]\nhosts = stock\nprobes = 1\nbytes = 1KiB\n\n[rule stock lookup]\n"+
		"methods = GET\npath = /stock\nkind = idempotent\ndeadline = 1s\nbody = 0\n"))
	require.NoError(t, err)

	// The keys need a topic of grants.
	valid.Keys = manifest.Keys{}

	d := &Daemon{
		log: eventlog.New(zerolog.Nop()), state: core.New(core.Options{}), manifestReady: make(chan struct{}),
		platform: Platform{Decode: func(data []byte) (uint64, manifest.Manifest, error) {
			if len(data) != 1 {
				return 0, manifest.Manifest{}, errMalformed
			}

			return uint64(data[0]), valid, nil
		}},
	}
	apply := func(version uint64, record byte, end int64, evacuated ...string) error {
		return d.applyFetched(attempt.Configuration{
			Version: version, Epoch: 2, Record: []byte{record}, Read: store.Position{Epoch: 2, Offset: end}, Evacuated: evacuated,
		})
	}

	require.NoError(t, apply(7, 7, 4, "d1"))
	require.ErrorIs(t, apply(6, 6, 3), errNothingNewer)
	require.ErrorIs(t, apply(9, 8, 5), errWrongVersion)
	require.ErrorIs(t, d.applyFetched(attempt.Configuration{Version: 9, Record: []byte("none")}), errMalformed)
	require.EqualValues(t, 7, d.Version())
	require.Equal(t, []string{"d1"}, d.state.Evacuated())

	// An answer with an older manifest and a later position changes the evacuations only.
	require.NoError(t, apply(6, 6, 5, "d2"))
	require.EqualValues(t, 7, d.Version())
	require.Equal(t, []string{"d2"}, d.state.Evacuated())

	held, newer := d.heldConfiguration(6, store.Position{})
	require.True(t, newer)
	require.Equal(t, attempt.Configuration{
		Version: 7, Epoch: 2, Record: []byte{7}, Read: store.Position{Epoch: 2, Offset: 5}, Evacuated: []string{"d2"},
	}, held)

	held, newer = d.heldConfiguration(7, store.Position{})
	require.True(t, newer)
	require.Empty(t, held.Record)

	_, newer = d.heldConfiguration(7, store.Position{Epoch: 2, Offset: 5})
	require.False(t, newer)
}
