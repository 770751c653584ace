package backend_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// giveUp is longer than the kernel takes to give up a connection whose peer does not read what is written.
const giveUp = 3 * time.Second

// readNothing leaves a connection open and reads nothing of the upload.
func readNothing(*net.TCPConn) { time.Sleep(2 * giveUp) }

// TestStalledUpload guards against a part of a response that looks whole because the server has stopped to read the upload: the
// kernel then gives up the connection, and a write gets the error in place of a read.
func TestStalledUpload(t *testing.T) {
	for _, wait := range []time.Duration{0, 100 * time.Millisecond, giveUp} {
		t.Run("read after "+wait.String(), func(t *testing.T) {
			t.Parallel()

			_, err := receiveLater(t, serveEarly(t, unframedHead+"part", readNothing), wait)
			require.Error(t, err)
		})
	}
}

// TestEndBeforeStall guards against a whole response that is lost because the kernel has given up the connection before the
// response was read. The server has ended it in order.
func TestEndBeforeStall(t *testing.T) {
	for _, wait := range []time.Duration{0, 100 * time.Millisecond, giveUp} {
		t.Run("read after "+wait.String(), func(t *testing.T) {
			t.Parallel()

			s := serveEarly(t, unframedHead+"whole", func(connection *net.TCPConn) {
				_ = connection.CloseWrite()

				readNothing(connection)
			})

			body, err := receiveLater(t, s, wait)
			require.NoError(t, err)
			require.Equal(t, "whole", body)
		})
	}
}
