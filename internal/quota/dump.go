package quota

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Counts are totals since the start.
type Counts struct {
	// Granted is the number of requests that took a token, Returned the number of tokens that were given back.
	Granted, Returned uint64
	// RateLimited, MembersUnknown and PoolSilent count refused requests by reason.
	RateLimited, MembersUnknown, PoolSilent uint64
	// TokensGranted is the number of tokens that this daemon has granted as a pool.
	TokensGranted uint64
	// Borrows is the number of requests for loans, Borrowed and Lent the number of loans, each for one tenant.
	Borrows, Borrowed, Lent uint64
	// PoolsLost counts how often a pool did not answer.
	PoolsLost uint64
	// Sent, Received and Ignored count datagrams; SentAcross counts those to other failure domains.
	Sent, SentAcross, Received, Ignored uint64
}

func (c *Counts) refused(reason Reason) {
	switch reason {
	case RateLimit:
		c.RateLimited++
	case MembersUnknown:
		c.MembersUnknown++
	case PoolSilent:
		c.PoolSilent++
	case ShuttingDown:
	}
}

// Dump holds the state for the state dump.
type Dump struct {
	// Pool is the daemon whose tokens are used, Leased is set if this daemon's share is leased to it.
	Pool   instance.ID
	Leased bool
	// Members is the number of members by which limits are divided; zero if it is not known.
	Members int
	// Leases is the number of daemons whose shares this daemon holds as a pool.
	Leases int
	// Silent is the number of members of the failure domain that did not answer.
	Silent  int
	Waiting int
	Counts  Counts
	// Tenants are the limited tenants that were used here, sorted by name.
	Tenants []DumpTenant
}

// DumpTenant is a tenant in a Dump.
type DumpTenant struct {
	Name string
	// Limit is the tenant's limit, Rate the recent rate of its requests at this daemon, both in requests per second.
	Limit, Rate float64
	// Tokens is the number of tokens in stock, Waiting the number of requests that wait for one.
	Tokens, Waiting int
	// Level is the number of tokens in the pool, Demand the rate of requests that the pool has heard of, and Share the
	// part of the limit that it uses, of which Borrowed is from other pools; Lent was lent to others.
	Level, Demand, Share, Borrowed, Lent float64
	// Refused is the time for which requests are refused without asking the pool.
	Refused time.Duration
}

// Dump returns a copy of the state in plain values.
func (s *State) Dump(now time.Time) Dump {
	base := s.base(now)
	d := Dump{
		Pool: s.lease.pool.ID, Leased: sameRun(s.lease.holder, s.lease.pool), Silent: len(s.lease.silent),
		Waiting: len(s.waiting), Counts: s.counts,
	}

	if s.listed {
		d.Members = int(s.size.at(now))
	}

	for _, l := range s.pool.leases {
		if l.valid(now) {
			d.Leases++
		}
	}

	for _, t := range s.order {
		rate, demand := t.rate.read(now, ratePeriod), t.demand.read(now)
		if rate < minDumped && demand < minDumped && len(t.queue) == 0 && len(t.lent) == 0 {
			continue
		}

		tokens := 0
		for _, b := range t.stock {
			if now.Before(b.expires) {
				tokens += b.count
			}
		}

		d.Tenants = append(d.Tenants, DumpTenant{
			Name: t.name, Limit: t.limit.rate, Rate: rate, Tokens: tokens, Waiting: len(t.queue), Level: t.level,
			Demand: demand, Share: t.share(now, base), Borrowed: t.borrowedShare(now), Lent: t.lentShare(now),
			Refused: max(0, t.refusedUntil.Sub(now)),
		})
	}

	return d
}

// minDumped is the rate in requests per second below which a tenant is not part of a dump.
const minDumped = 0.01

// Counts returns the totals since the start.
func (s *State) Counts() Counts { return s.counts }

// Limited reports whether a tenant has a limit.
func (s *State) Limited(tenant string) bool { return s.tenants[tenant] != nil }

// Active reports whether any tenant has a limit.
func (s *State) Active() bool { return len(s.tenants) > 0 }

// NeedsContact reports whether Contacted is still of use.
func (s *State) NeedsContact() bool { return !s.contacted && len(s.tenants) > 0 }
