package daemon_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/internal/trace"
)

// Guards against a reducer that is not deterministic, for instance because the order of a map, a clock or a query
// outside of events influences its effects. The recording of each daemon must replay with the same effects.
func TestRecordingsReplay(t *testing.T) {
	directory := t.TempDir()
	nodes := fleet.ExampleNodes(time.Millisecond)

	for i := range nodes {
		nodes[i].Trace = settings.Trace{File: filepath.Join(directory, string(nodes[i].ID)), Limit: 256 << 20}
	}

	f, err := fleet.Start(t.Context(), nodes)
	require.NoError(t, err)

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)

	for i := range 60 {
		entry := f.Instances[i%len(f.Instances)].CallerURL()
		doRequest(t, http.MethodGet, entry+"/stock/"+strconv.Itoa(i), "stockdesk", "", "")

		key := uuid.Must(uuid.NewV7()).String()
		doRequest(t, http.MethodPost, entry+"/orders", "stockdesk", key, "12 dumplings")
		doRequest(t, http.MethodPost, f.Instances[0].CallerURL()+"/orders", "stockdesk", key, "12 dumplings")

		if i == 30 {
			f.Instances[2].Server.Crash()
		}
	}

	require.NoError(t, f.Stop())

	for _, node := range nodes {
		file, err := os.Open(node.Trace.File)
		require.NoError(t, err)
		result, err := core.Replay(file)
		require.NoError(t, err, node.ID)
		require.NoError(t, file.Close())
		require.Equal(t, trace.EndStopped, result.End)
		require.Positive(t, result.Checked)
		t.Logf("%s: %d events", node.ID, result.Events)
	}
}
