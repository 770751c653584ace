package quota

import (
	"math"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

const (
	// tokenLifetime is how long a token is valid after the entry daemon has asked for it. Tokens that are kept while a
	// window begins count beyond the rate in it, so the time is short.
	tokenLifetime = 250 * time.Millisecond
	// prefetchTime is the time for which an entry daemon asks for tokens in advance, by its recent rate.
	prefetchTime = 100 * time.Millisecond
	// ratePeriod is the period over which the recent rate is measured.
	ratePeriod = 500 * time.Millisecond
	// askInterval is the time after which a request for tokens is repeated, and maxAsks how often it is sent.
	askInterval = 30 * time.Millisecond
	maxAsks     = 4
	// minAskInterval is the least time after which to ask again if the pool had too few tokens.
	minAskInterval = 10 * time.Millisecond
	// minWait and maxWait bound the time that a request waits for a token, which is the part 1/waitPart of the time that
	// is left until its target.
	minWait  = 10 * time.Millisecond
	maxWait  = 150 * time.Millisecond
	waitPart = 8
	// minRefusal and maxRefusal bound the time for which a refusal by the pool is remembered.
	minRefusal = 50 * time.Millisecond
	maxRefusal = 500 * time.Millisecond
	// shortMemory is how long a tenant counts as short of tokens after the pool had too few.
	shortMemory = time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refused request.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// silentRetryAfter is the Retry-After while the daemon does not know its share or finds no pool.
	silentRetryAfter = 500 * time.Millisecond
	// spread is the fractional part of the golden ratio: multiples of it are spread evenly over the unit interval.
	spread = 0.6180339887498949
)

// entry is the part of a tenant's state for the requests that arrive at this daemon.
type entry struct {
	// stock holds tokens, the first to expire first.
	stock []batch
	queue []waitingRequest
	ask   ask
	// askAt is when to ask again after the pool had too few tokens; zero if it need not.
	askAt time.Time
	rate  average
	// arrivals is the number of requests since the pool was last asked.
	arrivals int
	// refusedUntil is the time until which requests are refused without asking the pool, and refusal the reason that
	// follows from the last answer of the pool.
	refusedUntil time.Time
	refusal      Reason
	// shortUntil is the time until which requests whose target has passed get no token, because the tenant sends more than
	// its limit: the tokens are of more use to requests that can still be answered in time.
	shortUntil time.Time
	// retryAt is the Retry-After time of the last refused request, pace the time between two tokens for this daemon.
	retryAt time.Time
	pace    time.Duration
	refused int
}

// batch is a number of tokens that expire at the same time.
type batch struct {
	count   int
	expires time.Time
}

// waitingRequest is a request that waits for a token until a time.
type waitingRequest struct {
	id    request.ID
	until time.Time
}

// ask is a request for tokens that the pool has not answered.
type ask struct {
	// number identifies it; zero if there is none.
	number          uint64
	pool            instance.ID
	tokens, extra   int
	arrivals        int
	sentAt, firstAt time.Time
	sent            int
}

// arrive takes a token for a request, or makes the request wait for one.
func (s *State) arrive(now time.Time, e Arrived, out *effects) {
	t := s.tenants[e.Tenant]

	switch {
	case t == nil:
		out.add(Admit{ID: e.ID})

		return
	case s.closing:
		s.refuse(now, t, e.ID, ShuttingDown, out)

		return
	case !s.listed:
		s.refuse(now, t, e.ID, MembersUnknown, out)

		return
	}

	t.rate.add(now, 1, ratePeriod)
	t.arrivals++

	switch {
	case !now.Before(e.Target) && now.Before(t.shortUntil):
		s.refuse(now, t, e.ID, RateLimit, out)
	case len(t.queue) == 0 && s.take(now, t, e.ID, out):
	case now.Before(t.refusedUntil):
		s.refuse(now, t, e.ID, t.refusal, out)
	default:
		wait := min(max(e.Target.Sub(now)/waitPart, minWait), maxWait)
		t.queue = append(t.queue, waitingRequest{id: e.ID, until: now.Add(wait)})
		s.waiting[e.ID] = t
		s.markBusy(t)
	}
}

func (s *State) markBusy(t *tenant) {
	if !slices.Contains(s.busy, t) {
		s.busy = append(s.busy, t)
	}
}

// take admits a request if there is a token in the stock.
func (s *State) take(now time.Time, t *tenant, id request.ID, out *effects) bool {
	t.dropExpired(now)

	if len(t.stock) == 0 {
		return false
	}

	token := takenToken{id: id, tenant: t.name, expires: t.stock[0].expires}
	s.dropTaken(now)
	s.taken = append(s.taken, token)

	if t.stock[0].count--; t.stock[0].count == 0 {
		t.stock = t.stock[1:]
	}

	s.counts.Granted++
	out.add(Admit{ID: id})

	return true
}

func (e *entry) dropExpired(now time.Time) {
	e.stock = slices.DeleteFunc(e.stock, func(b batch) bool { return !now.Before(b.expires) })
}

// addStock adds tokens, in order of expiry.
func (e *entry) addStock(b batch) {
	at := slices.IndexFunc(e.stock, func(other batch) bool { return b.expires.Before(other.expires) })
	if at < 0 {
		at = len(e.stock)
	}

	e.stock = slices.Insert(e.stock, at, b)
}

func (s *State) cancel(id request.ID) {
	t := s.waiting[id]
	if t == nil {
		return
	}

	delete(s.waiting, id)
	t.queue = slices.DeleteFunc(t.queue, func(w waitingRequest) bool { return w.id == id })
}

// stepEntry serves waiting requests, and asks the pool for the tokens that they need.
func (s *State) stepEntry(now time.Time, out *effects) {
	for _, t := range slices.Clone(s.busy) {
		s.serveQueue(now, t, out)
		s.repeatAsk(now, t, out)

		if len(t.queue) > 0 && t.ask.number == 0 && !now.Before(t.askAt) {
			s.askPool(now, t, out)
		}
	}

	s.busy = slices.DeleteFunc(s.busy, func(t *tenant) bool { return len(t.queue) == 0 && t.ask.number == 0 })
}

// serveQueue admits waiting requests while there are tokens and refuses those that have waited too long.
func (s *State) serveQueue(now time.Time, t *tenant, out *effects) {
	for len(t.queue) > 0 {
		first := t.queue[0]

		if !s.take(now, t, first.id, out) {
			break
		}

		delete(s.waiting, first.id)
		t.queue = t.queue[1:]
	}

	kept := t.queue[:0]

	for _, w := range t.queue {
		if now.Before(w.until) {
			kept = append(kept, w)

			continue
		}

		delete(s.waiting, w.id)

		s.refuse(now, t, w.id, t.refusalReason(), out)
	}

	t.queue = kept
}

// refusalReason returns the reason for refusing a request that has waited too long.
func (e *entry) refusalReason() Reason {
	if e.refusal == "" || e.ask.sent > 1 {
		return PoolSilent
	}

	return e.refusal
}

// askPool asks the pool for the tokens that waiting requests need and for those that will soon be needed.
func (s *State) askPool(now time.Time, t *tenant, out *effects) {
	t.ask = ask{
		number: s.nextSequence(), pool: s.lease.pool.ID, tokens: len(t.queue), arrivals: t.arrivals,
		firstAt: now, sentAt: now, sent: 1,
	}
	t.arrivals, t.askAt = 0, time.Time{}

	if t.ask.pool != s.self.ID {
		t.ask.extra = int(t.rate.read(now, ratePeriod) * prefetchTime.Seconds())
		s.sendAsk(t, out)

		return
	}

	s.handleAnswer(now, t, s.grant(now, t, s.run, t.ask.item(t.id)), out)
}

func (a ask) item(id TenantID) Item {
	return Item{Tenant: id, Number: a.number, Tokens: a.tokens, Extra: a.extra, Arrivals: a.arrivals}
}

func (s *State) sendAsk(t *tenant, out *effects) {
	s.send(s.lease.pool, Message{Kind: Report, Items: []Item{t.ask.item(t.id)}}, out)
}

// repeatAsk repeats a request for tokens that has no answer. If it was sent often enough, the pool counts as silent,
// and the next one is asked.
func (s *State) repeatAsk(now time.Time, t *tenant, out *effects) {
	switch {
	case t.ask.number == 0:
	case t.ask.pool != s.lease.pool.ID:
		// The daemon uses another pool now.
		t.arrivals += t.ask.arrivals
		t.ask = ask{}
	case now.Sub(t.ask.sentAt) < askInterval:
	case t.ask.sent < maxAsks:
		t.ask.sent++
		t.ask.sentAt = now
		s.sendAsk(t, out)
	default:
		s.poolSilent(now, out)

		t.arrivals += t.ask.arrivals
		t.ask = ask{}
	}
}

// handleAnswer adds granted tokens to the stock and serves the waiting requests. If there are too few tokens, it
// refuses those for which none will be there in time.
func (s *State) handleAnswer(now time.Time, t *tenant, answer Item, out *effects) {
	if t.ask.number == 0 || answer.Number != t.ask.number {
		return
	}

	a := t.ask
	t.ask = ask{}

	if tokens := min(answer.Tokens, a.tokens+a.extra); tokens > 0 {
		t.addStock(batch{count: tokens, expires: a.firstAt.Add(tokenLifetime)})
	}

	s.serveQueue(now, t, out)

	if answer.Tokens >= a.tokens {
		t.refusal = RateLimit

		return
	}

	t.refusal = RateLimit

	if answer.Share == 0 {
		t.refusal = PoolSilent
	}

	t.shortUntil = now.Add(shortMemory)
	t.pace = paceOf(t.rate.read(now, ratePeriod), answer.Share)
	// Half of the pace is the mean time until the next token for this daemon, as other daemons ask as well.
	wait := max(answer.Wait, minAskInterval)
	if answer.Share > 0 {
		wait = max(wait, t.pace/2)
	}

	t.askAt = now.Add(wait)

	if !slices.ContainsFunc(t.queue, func(w waitingRequest) bool { return w.until.Before(t.askAt) }) {
		return
	}

	t.refusedUntil = now.Add(min(max(wait, minRefusal), maxRefusal))
	s.refuseQueue(now, t, t.refusal, out)
}

// paceOf returns the mean time between two tokens for an entry daemon at which requests arrive at a rate, if there are
// tokens for a share of all requests.
func paceOf(rate, share float64) time.Duration {
	if tokens := rate * share; tokens > 1/maxRetryAfter.Seconds() {
		return time.Duration(float64(time.Second) / tokens)
	}

	return maxRetryAfter
}

func (s *State) refuseQueue(now time.Time, t *tenant, reason Reason, out *effects) {
	for _, w := range t.queue {
		delete(s.waiting, w.id)
		s.refuse(now, t, w.id, reason, out)
	}

	t.queue = nil
}

func (s *State) refuse(now time.Time, t *tenant, id request.ID, reason Reason, out *effects) {
	after := silentRetryAfter

	if reason == RateLimit {
		after = t.retryAfter(now)
	}

	s.counts.refused(reason)
	out.add(Refuse{ID: id, Reason: reason, RetryAfter: after})
}

// retryAfter returns when a refused request may be sent again: when there is a token for it after those for the
// requests that were refused before. Beyond maxRetryAfter, the times are spread over the second half of that time.
func (e *entry) retryAfter(now time.Time) time.Duration {
	e.refused++

	at := times.Later(times.Later(e.retryAt, e.refusedUntil), now.Add(minRetryAfter))
	if after := at.Sub(now); after < maxRetryAfter {
		e.retryAt = at.Add(e.pace)

		return after
	}

	_, fraction := math.Modf(float64(e.refused) * spread)

	return time.Duration((1 + fraction) / 2 * float64(maxRetryAfter))
}

// nextEntry returns when the requests or the ask of a tenant need attention.
func (e *entry) nextEntry() time.Time {
	var next time.Time

	for _, w := range e.queue {
		next = times.Next(next, w.until)
	}

	if e.ask.number != 0 {
		return times.Next(next, e.ask.sentAt.Add(askInterval))
	}

	if len(e.queue) > 0 {
		next = times.Next(next, e.askAt)
	}

	return next
}
