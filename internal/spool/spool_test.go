package spool_test

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/tarragonmill/tarragonmill/internal/spool"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against bytes that are lost or reordered between a fast producer and a slow consumer, and against a
// spool that grows beyond its limit.
func TestOrderAndLimit(t *testing.T) {
	const size, limit, chunk = 1 << 20, 64 << 10, 32 << 10

	data := make([]byte, size)
	for i := range data {
		data[i] = byte(i % 251)
	}

	source := &counter{Reader: bytes.NewReader(data)}
	s := spool.New(limit)
	filled := s.Fill(t.Context(), source)

	time.Sleep(20 * time.Millisecond)
	require.LessOrEqual(t, source.read.Load(), int64(limit+chunk))

	got, err := io.ReadAll(s)
	require.NoError(t, err)
	require.True(t, bytes.Equal(data, got))
	require.NoError(t, <-filled)
}

type counter struct {
	io.Reader
	read atomic.Int64
}

func (c *counter) Read(data []byte) (int, error) {
	n, err := c.Reader.Read(data)
	c.read.Add(int64(n))

	return n, err
}

// Guards against a broken source that ends as if it were whole, and against a producer that outlives its
// consumer or its context.
func TestEnds(t *testing.T) {
	s := spool.New(1)
	filled := s.Fill(t.Context(), io.MultiReader(bytes.NewReader([]byte("part")), broken{}))
	got, err := io.ReadAll(s)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "part", string(got))
	require.Error(t, <-filled)

	s = spool.New(1)
	filled = s.Fill(t.Context(), endless{})

	require.NoError(t, s.Close())
	require.Error(t, <-filled)

	ctx, cancel := context.WithCancel(t.Context())
	s = spool.New(1)
	filled = s.Fill(ctx, endless{})

	cancel()
	require.ErrorIs(t, <-filled, context.Canceled)
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type endless struct{}

func (endless) Read(data []byte) (int, error) { return len(data), nil }
