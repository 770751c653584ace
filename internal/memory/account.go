// Package memory accounts for the bytes that callers and other daemons make a process hold: bodies that are received or
// kept until their request has ended, responses that wait for their reader, and large heads.
//
// A Holding is the part of one request. It grows before more is read. If the account is full, the holdings of incomplete
// messages that make the least progress are aborted, so that a crowd of stalled bodies does not keep others out. A holding
// waits only for one that it has had aborted, and only for a short time, so that two large bodies cannot wait for each
// other: the one that progresses less is refused.
package memory

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// SmallSize is the size in bytes up to which a holding may use the reserve, cannot be aborted and costs no lock.
	SmallSize = 16 << 10
	// reserveDivisor is the inverse of the share of the account that only small holdings may use.
	reserveDivisor = 16
	// abortGrace is the age from which a holding may be aborted.
	abortGrace = time.Second
	// abortWait bounds the wait for the bytes of aborted holdings.
	abortWait = time.Second
)

// ErrFull is returned for bytes for which there is no room.
var ErrFull = errors.New("memory for requests is used up")

// Account is the memory for the bytes of callers and other daemons. It is safe for concurrent use.
type Account struct {
	capacity int64
	now      func() time.Time
	used     atomic.Int64
	refused  atomic.Int64
	aborted  atomic.Int64

	mutex sync.Mutex
	// large holds the holdings beyond SmallSize.
	large map[*Holding]struct{}
	// freed is closed when a large holding has shrunk or closed.
	freed chan struct{}
}

// Option configures an Account.
type Option func(*Account)

// WithClock sets the clock by which the progress of holdings is measured.
func WithClock(now func() time.Time) Option { return func(a *Account) { a.now = now } }

// New returns an account of a capacity in bytes.
func New(capacity int64, options ...Option) *Account {
	a := &Account{
		capacity: capacity, now: time.Now, large: make(map[*Holding]struct{}), freed: make(chan struct{}),
	}
	for _, option := range options {
		option(a)
	}

	return a
}

// Unlimited returns an account that has room for everything.
func Unlimited() *Account { return New(math.MaxInt64) }

// State is the state of an account for operators.
type State struct {
	// Capacity and Used are in bytes.
	Capacity, Used int64
	// Refused and Aborted count the holdings that got no room, and those that were aborted to make room.
	Refused, Aborted int64
}

// State returns the present state.
func (a *Account) State() State {
	return State{Capacity: a.capacity, Used: a.used.Load(), Refused: a.refused.Load(), Aborted: a.aborted.Load()}
}

// Full reports whether only the reserve for small holdings is left.
func (a *Account) Full() bool { return a.used.Load() > a.ceiling(SmallSize+1) }

// ceiling returns the number of bytes up to which a holding that grows to a size may fill the account.
func (a *Account) ceiling(size int64) int64 {
	if size <= SmallSize {
		return a.capacity
	}

	return a.capacity - a.capacity/reserveDivisor
}

// take adds bytes to the account if they stay below the ceiling.
func (a *Account) take(bytes, ceiling int64) bool {
	if a.used.Add(bytes) <= ceiling {
		return true
	}

	a.used.Add(-bytes)

	return false
}

// makeRoom takes bytes for a holding, and aborts others for that if necessary.
func (a *Account) makeRoom(h *Holding, bytes, ceiling int64) bool {
	timeout := time.NewTimer(abortWait)
	defer timeout.Stop()

	aborted := false

	for {
		freed, found := a.abortSlowest(h, bytes, ceiling)
		aborted = aborted || found

		if a.take(bytes, ceiling) {
			return true
		}

		if !aborted {
			return false
		}

		select {
		case <-freed:
		case <-timeout.C:
			return false
		}
	}
}

// abortSlowest aborts holdings that progress less than h, the slowest first, until those aborted free the missing bytes.
// It reports whether it found any, and returns a channel that is closed when bytes become free.
func (a *Account) abortSlowest(h *Holding, bytes, ceiling int64) (<-chan struct{}, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	now, found := a.now(), false
	missing := a.used.Load() + bytes - ceiling

	for other := range a.large {
		if other.aborted {
			missing -= other.size.Load()
		}
	}

	for missing > 0 {
		slowest := a.slowest(h, now)
		if slowest == nil {
			break
		}

		slowest.aborted, found = true, true
		missing -= slowest.size.Load()
		a.aborted.Add(1)
		slowest.abort()
	}

	return a.freed, found
}

// slowest returns the holding that progresses least among those that may be aborted for h, or nil.
func (a *Account) slowest(h *Holding, now time.Time) *Holding {
	var slowest *Holding

	least := math.Inf(1)
	if now.Sub(h.started) >= abortGrace {
		least = h.rate(now)
	}

	for other := range a.large {
		if other == h || other.aborted || other.settled.Load() || now.Sub(other.started) < abortGrace {
			continue
		}

		if rate := other.rate(now); rate < least {
			slowest, least = other, rate
		}
	}

	return slowest
}

// release returns bytes of a holding beyond SmallSize to the account.
func (a *Account) release(h *Holding, bytes int64, ended bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if ended {
		delete(a.large, h)
	}

	a.used.Add(-bytes)
	close(a.freed)
	a.freed = make(chan struct{})
}
