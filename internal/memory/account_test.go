package memory_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/memory"
)

const capacity = 16 << 20

// Guards against stalled bodies that keep others out, against the abort of a body that progresses, and against bytes that
// are not returned.
func TestStalledMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := memory.New(capacity)
		holdings, aborted := make([]*memory.Holding, 3), make([]bool, 3)

		for n := range holdings {
			holdings[n] = a.Open(func() {
				aborted[n] = true

				go holdings[n].Close()
			})
			require.NoError(t, holdings[n].Grow(5<<20))
			holdings[n].Progress(5 << 20)
		}

		require.ErrorIs(t, a.Open(func() {}).Grow(1<<20), memory.ErrFull, "all are young")

		time.Sleep(5 * time.Second)
		holdings[0].Progress(4 << 10)
		require.True(t, holdings[2].Settle())

		next := a.Open(func() {})
		require.NoError(t, next.Grow(1<<20))
		require.Equal(t, []bool{false, true, false}, aborted)
		require.False(t, holdings[1].Settle())

		for _, h := range append(holdings, next) {
			h.Close()
		}

		require.Equal(t, memory.State{Capacity: capacity, Refused: 1, Aborted: 1}, a.State())
	})
}

// Guards against two large bodies that wait for each other's memory.
func TestNoDeadlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := memory.New(capacity)
		first, second := a.Open(func() {}), a.Open(func() {})
		require.NoError(t, first.Grow(7<<20))
		require.NoError(t, second.Grow(7<<20))
		time.Sleep(2 * time.Second)
		first.Progress(2000)
		second.Progress(1000)

		results := make(chan error, 2)
		started := time.Now()

		go func() { results <- second.Grow(7 << 20) }()
		go func() { results <- first.Grow(7 << 20) }()

		require.Error(t, <-results)
		second.Close()
		<-results
		require.LessOrEqual(t, time.Since(started), 2*time.Second)
	})
}

// Guards against small requests that are refused because large ones fill the account.
func ExampleAccount_Open() {
	a := memory.New(capacity)
	large, small := a.Open(func() {}), a.Open(func() {})

	fmt.Println(large.Grow(capacity))
	fmt.Println(large.Grow(15 << 20))
	fmt.Println(large.Grow(1 << 20))
	fmt.Println(small.Grow(4 << 10))
	// Output:
	// memory for requests is used up
	// <nil>
	// memory for requests is used up
	// <nil>
}
