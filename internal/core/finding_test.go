package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/concurrency"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
)

// TestFindingOf guards against a daemon that does not take what its earlier run or its service has found.
func TestFindingOf(t *testing.T) {
	entry := func(slots, limit int) membership.Entry {
		return membership.Entry{Member: instance.Member{Slots: slots}, Limit: limit}
	}
	service := []membership.Entry{entry(9, 0), entry(9, 0), entry(9, 0), entry(9, 8), entry(9, 7), entry(9, 7)}

	require.Equal(t, concurrency.Finding{Slots: 9, Limit: 7}, findingOf(membership.Ready{Service: service}))
	require.Equal(t, concurrency.Finding{Slots: 6, Limit: 6},
		findingOf(membership.Ready{Own: entry(6, 6), Service: service}))
	require.Zero(t, findingOf(membership.Ready{Service: service[:3]}))
}
