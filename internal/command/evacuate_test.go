package command_test

import (
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/bind"
	"github.com/tarragonmill/tarragonmill/internal/command"
	"github.com/tarragonmill/tarragonmill/internal/config"
	standin "github.com/tarragonmill/tarragonmill/internal/standin/store"
	"github.com/tarragonmill/tarragonmill/platform"
)

// Guards against a command that writes no record, or one that daemons do not recognize, that leaves an evacuation in force
// or reports an unwritten record as written, and against one that changes the manifest.
func TestEvacuate(t *testing.T) {
	log := standin.New()
	server := httptest.NewServer(log.Handler())
	t.Cleanup(server.Close)

	option := command.WithEvacuations(func(address netip.AddrPort) (command.Evacuations, func()) {
		client := platform.NewStore(address)

		return bind.NewEvacuations(client), client.Close
	})
	evacuate := func(args ...string) (int, string, string) {
		return run(append([]string{"evacuate", "--log", server.URL, "--wait", "1s"}, args...), option)
	}

	log.Put(platform.ManifestTopic, config.Key, []byte("manifest"))
	log.Put(platform.MembersTopic, "a", []byte(`{"id":"a","status":"alive","domain":"d1","peer":"10.0.0.1:1"}`))

	code, stdout, stderr := evacuate("d1")
	require.Zero(t, code, stderr)
	require.Equal(t, "d1: evacuated\n", stdout)
	require.NotContains(t, stderr, "no instance")

	code, _, stderr = evacuate("d9")
	require.Zero(t, code)
	require.Contains(t, stderr, "no instance is known")

	_, stdout, _ = evacuate("--list")
	require.Equal(t, "d1\nd9\n", stdout)

	code, stdout, _ = evacuate("--end", "d1")
	require.Zero(t, code)
	require.Equal(t, "d1: no longer evacuated\n", stdout)

	_, stdout, _ = evacuate("--list")
	require.Equal(t, "d9\n", stdout)
	require.Equal(t, []byte("manifest"), log.Get(platform.ManifestTopic, config.Key))

	for _, args := range [][]string{{}, {""}, {"d1", "d2"}, {"--list", "d1"}} {
		code, _, _ = evacuate(args...)
		require.Equal(t, 2, code, "%q", args)
	}

	log.SetFaults(standin.Faults{Down: standin.Busy})

	code, _, _ = evacuate("d1")
	require.Equal(t, 1, code, "the store refuses")

	log.SetFaults(standin.Faults{DropResponses: true})

	code, _, _ = evacuate("d1")
	require.Equal(t, 3, code, "the response is lost")
}
