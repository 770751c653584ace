package soak

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAddressesBesideForks guards against an address that is in use when the soak listens there, because a process that
// was started meanwhile still holds the socket by which the address was found to be free.
func TestAddressesBesideForks(t *testing.T) {
	const count = 2000

	ctx, cancel := context.WithCancel(t.Context())
	forked := make(chan struct{})

	go func() {
		defer close(forked)

		for ctx.Err() == nil {
			_ = exec.CommandContext(ctx, "/bin/true").Run()
		}
	}()

	defer func() {
		cancel()
		<-forked
	}()

	free := &addresses{ctx: t.Context(), host: netip.AddrFrom4([4]byte{127, 97, byte(os.Getpid()), 1})}

	for range count {
		address := free.next()
		require.NoError(t, free.err)

		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address.String())
		require.NoError(t, err)
		require.NoError(t, listener.Close())
	}
}
