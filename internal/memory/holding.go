package memory

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Holding is the memory of one request. It is safe for concurrent use, except that nothing
// may follow Close.
type Holding struct {
	account *Account
	// abort makes the owner close the holding soon. It must not block.
	abort   func()
	started time.Time
	size    atomic.Int64
	settled atomic.Bool
	// registered is set once the account lists the holding as a large one.
	registered atomic.Bool
	// aborted is guarded by the mutex of the account.
	aborted bool

	mutex sync.Mutex
	// recent is the number of bytes received of late, as of seen; it decays with decayTime.
	recent float64
	seen   time.Time
}

// decayTime is the time constant with which received bytes lose their weight in the progress of a holding.
const decayTime = time.Second

// Open returns an empty holding. abort is called at most once, if the holding is to make room for others; the owner then
// ends the message and closes the holding.
func (a *Account) Open(abort func()) *Holding {
	return &Holding{account: a, abort: abort, started: a.now()}
}

// Grow adds bytes to the holding. It returns ErrFull if there is no room; the holding is then unchanged.
func (h *Holding) Grow(bytes int64) error {
	a := h.account
	size := h.size.Load() + bytes
	ceiling := a.ceiling(size)

	if !a.take(bytes, ceiling) && !a.makeRoom(h, bytes, ceiling) {
		a.refused.Add(1)

		return ErrFull
	}

	if h.size.Add(bytes) > SmallSize {
		h.register()
	}

	return nil
}

// Charge adds bytes that the process already holds, also if there is no room for them.
func (h *Holding) Charge(bytes int64) {
	size := h.size.Add(bytes)
	h.account.used.Add(bytes)

	if size > SmallSize {
		h.register()
	}
}

// register makes the holding one that may be aborted.
func (h *Holding) register() {
	if h.registered.Swap(true) {
		return
	}

	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()

	h.account.large[h] = struct{}{}
}

// Shrink returns bytes of the holding to the account.
func (h *Holding) Shrink(bytes int64) {
	h.size.Add(-bytes)

	if h.registered.Load() {
		h.account.release(h, bytes, false)
	} else {
		h.account.used.Add(-bytes)
	}
}

// Progress records that bytes of the message have arrived or were sent.
func (h *Holding) Progress(bytes int) {
	now := h.account.now()

	h.mutex.Lock()
	defer h.mutex.Unlock()

	h.recent, h.seen = h.decayed(now)+float64(bytes), now
}

// rate returns the number of bytes that have arrived of late.
func (h *Holding) rate(now time.Time) float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	return h.decayed(now)
}

func (h *Holding) decayed(now time.Time) float64 {
	return h.recent * math.Exp(-now.Sub(h.seen).Seconds()/decayTime.Seconds())
}

// Settle keeps the holding from being aborted from now on, because its message is complete. It returns false if the holding
// was aborted before.
func (h *Holding) Settle() bool {
	if !h.registered.Load() {
		h.settled.Store(true)

		return true
	}

	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()

	h.settled.Store(true)

	return !h.aborted
}

// Close returns all bytes of the holding to the account. Further calls do nothing.
func (h *Holding) Close() {
	size := h.size.Swap(0)

	switch {
	case size <= 0:
	case h.registered.Load():
		h.account.release(h, size, true)
	default:
		h.account.used.Add(-size)
	}
}
