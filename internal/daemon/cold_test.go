package daemon_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/platform"
)

// TestColdServers guards against servers that say in their health responses that they are cold and get more requests
// than they tolerate, or none. A caller at each instance sends lookups one after the other.
func TestColdServers(t *testing.T) {
	const (
		rate, window = 4, 3
		// bound is the number of requests in the window of seconds; the last ones may have started before it.
		bound = rate * (window + 1)
	)

	f := startBusyFleet(t, 20*time.Millisecond, 1)
	f.Store.Put(platform.ConfigTopic, platform.ConfigKey, bytes.Replace(operatorConfigOf(8),
		[]byte(`{"columns":["name"],"rows":[["stockdesk"]]}`),
		[]byte(`{"columns":["name","healthPath","coldStartS","coldPerS"],"rows":[["stockdesk","/health",3,4]]}`), 1))
	awaitVersion(t, f, 8, 10*time.Second)
	setStockServers(f, backend.Behaviour{ServiceTime: 20 * time.Millisecond, Cold: 10 * time.Second})
	time.Sleep(time.Second)

	before := make(map[*fleet.Instance]int)
	for _, i := range f.Instances {
		before[i] = runs(i)
	}

	time.Sleep(window * time.Second)

	for _, i := range f.Instances {
		if i.Node.Service != "stockdesk" {
			continue
		}

		require.LessOrEqual(t, runs(i)-before[i], bound, i.Node.ID)
		require.Positive(t, runs(i)-before[i], i.Node.ID)
		require.Positive(t, i.Daemon.Dump().Decisions.Health.ColdFor, i.Node.ID)
	}
}
