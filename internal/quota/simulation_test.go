package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/quota"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

var seeds = []uint64{1, 2}

const (
	fleetSize = 87
	domains   = 4
)

// usualRate returns the usual rate of the tenant with a number: 190 requests per second for the first of 86, about 1
// for the last.
func usualRate(number int) float64 { return 190 * math.Pow(float64(number+1), -1.18) }

// unevenTenants returns tenants whose limits are 1.6 times their usual rates.
func unevenTenants(count int) []manifest.Tenant {
	tenants := make([]manifest.Tenant, 0, count)

	for i := range count {
		rate := usualRate(i)
		tenants = append(tenants, manifest.Tenant{Name: fmt.Sprintf("t%02d", i), Rate: 1.6 * rate, Burst: 1.6 * rate})
	}

	return tenants
}

// eachSeed runs a test with each seed.
func eachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// warmUp lets the buckets fill.
func (f *fleet) warmUp() { f.run(10 * time.Second) }

// loadAll sends the usual load of all tenants for a period, through the daemons that choose returns for each tenant.
func (f *fleet) loadAll(period time.Duration, choose func(tenant int) func() int) {
	for i, tenant := range f.tenants {
		f.load(tenant.Name, usualRate(i), period, choose(i))
	}
}

// refusedOfAll returns the part of the requests of all tenants that was refused.
func (f *fleet) refusedOfAll() float64 {
	refused, total := 0.0, 0.0

	for i, tenant := range f.tenants {
		refused += f.refusedShare(tenant.Name) * usualRate(i)
		total += usualRate(i)
	}

	return refused / total
}

// TestUnevenTenants guards against limits that are exceeded, refusals below them, and too many datagrams, if 86 tenants
// of uneven size send their usual load through all daemons, or each through those of one domain.
func TestUnevenTenants(t *testing.T) {
	for name, test := range map[string]struct {
		choose func(f *fleet, tenant int) func() int
		// first and refused bound the refusals after a sudden start of all tenants and later, across the datagrams between
		// domains per second.
		first, refused, across float64
	}{
		"all": {func(f *fleet, _ int) func() int { return f.anywhere }, 0.01, 0.01, 30},
		"one domain": {func(f *fleet, tenant int) func() int {
			return f.inDomain(fmt.Sprintf("d%d", tenant%domains))
		}, 0.06, 0.025, 60},
	} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				const period = 15 * time.Second

				f := newFleet(t, seed, fleetSize, domains, unevenTenants(86)...)
				f.warmUp()
				f.loadAll(2*period, func(tenant int) func() int { return test.choose(f, tenant) })
				f.run(period)

				f.checkLimits()

				first := f.refusedOfAll()
				require.Less(t, first, test.first)
				clear(f.refused)
				clear(f.admitted)

				sent, across := f.sent, f.across
				f.run(period)
				f.checkLimits()

				rate := float64(f.across.datagrams-across.datagrams) / period.Seconds()
				t.Logf("refused first %.4f, later %.4f; per second %.0f datagrams, %.1f with %.0f bytes between domains",
					first, f.refusedOfAll(), float64(f.sent-sent)/period.Seconds(), rate,
					float64(f.across.bytes-across.bytes)/period.Seconds())
				require.Less(t, f.refusedOfAll(), test.refused)
				require.Less(t, rate, test.across)
			})
		})
	}
}

// TestCost guards against control that costs more than a daemon may spend. It logs the figures of the design note.
func TestCost(t *testing.T) {
	for _, size := range []struct{ daemons, domains int }{{87, 4}, {300, 6}, {610, 7}} {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			t.Parallel()

			const period = 5 * time.Second

			f := newFleet(t, 1, size.daemons, size.domains, unevenTenants(86)...)
			f.loadAll(3*period, func(int) func() int { return f.anywhere })
			f.run(2 * period)

			sent, sentBytes, across := f.sent, f.bytes, f.across
			pool := f.sentBy[0]
			f.run(period)

			daemons, seconds := float64(size.daemons), period.Seconds()
			bytes := float64(f.sentBy[0]-pool) / seconds
			t.Logf("per daemon and second: %.1f datagrams, %.0f bytes; pool %.0f bytes; fleet between domains: %.0f, %.0f bytes",
				float64(f.sent-sent)/daemons/seconds, float64(f.bytes-sentBytes)/daemons/seconds, bytes,
				float64(f.across.datagrams-across.datagrams)/seconds, float64(f.across.bytes-across.bytes)/seconds)
			require.Less(t, float64(f.across.datagrams-across.datagrams)/seconds, 60.0)
			require.Less(t, bytes, 8e3)
		})
	}
}

// TestHotTenant guards against a tenant that exceeds its limit by sending 7.5 times its usual load, through one daemon
// or all, or that takes the tokens of another tenant.
func TestHotTenant(t *testing.T) {
	for _, one := range []bool{true, false} {
		t.Run(fmt.Sprint("one=", one), func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, fleetSize, domains, unevenTenants(2)...)
				f.warmUp()
				across, sent := f.across.datagrams, f.sent

				choose := f.anywhere
				if one {
					choose = func() int { return 5 }
				}

				f.load("t00", 7.5*usualRate(0), 15*time.Second, choose)
				f.load("t01", usualRate(1), 15*time.Second, f.anywhere)
				f.run(16 * time.Second)
				f.checkLimits()

				served := float64(len(f.admitted["t00"])) / 15 / f.tenants[0].Rate
				t.Logf("served %.2f of the limit, other refused %.4f, per second %d datagrams, %d between domains", served,
					f.refusedShare("t01"), (f.sent-sent)/15, (f.across.datagrams-across)/15)
				require.Greater(t, served, 0.8)
				require.Less(t, f.refusedShare("t01"), 0.02)
				require.Less(t, (f.across.datagrams-across)/15, 40)
				require.Zero(t, f.refused["t00"][quota.PoolSilent])
			})
		})
	}
}

// TestRetryAfter guards against refused callers that return together.
func TestRetryAfter(t *testing.T) {
	f := newFleet(t, 1, 4, 2, manifest.Tenant{Name: "a", Rate: 10, Burst: 10})
	f.warmUp()
	f.load("a", 500, 2*time.Second, f.anywhere)
	f.run(3 * time.Second)

	counts := make(map[time.Duration]int)
	for _, after := range f.retries {
		counts[after.Truncate(time.Second)]++
	}

	for second, count := range counts {
		require.Less(t, count, len(f.retries)/3, "after %s", second)
	}
}

// TestMovingCallers guards against limits that are exceeded or tokens that stay where they are not needed, if the
// callers of a tenant move to another domain.
func TestMovingCallers(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, fleetSize, domains, unevenTenants(1)...)
		f.warmUp()

		for i := range 5 {
			f.load("t00", usualRate(0), 6*time.Second, f.inDomain(fmt.Sprintf("d%d", i%domains)))
			f.run(6 * time.Second)
		}

		f.checkLimits()
		t.Logf("refused %.4f %v", f.refusedShare("t00"), f.refused["t00"])
		require.Less(t, f.refusedShare("t00"), 0.1)
	})
}

// TestIdleTenant guards against refusals after a tenant was idle, and against datagrams for idle tenants.
func TestIdleTenant(t *testing.T) {
	f := newFleet(t, 1, fleetSize, domains, manifest.Tenant{Name: "a", Rate: 20, Burst: 20})
	f.warmUp()
	across := f.across.datagrams
	f.run(time.Minute)
	require.Equal(t, across, f.across.datagrams)

	// The load fits into the burst.
	f.load("a", 15, 2*time.Second, f.anywhere)
	f.run(3 * time.Second)
	require.Zero(t, f.refusedShare("a"), "%v", f.refused)
}

// faults are the failures of TestFaults.
var faults = map[string]func(f *fleet){
	"pool killed": func(f *fleet) { f.kill(0) },
	"pool restarted": func(f *fleet) {
		f.kill(0)
		f.run(200 * time.Millisecond)
		f.start(0)
	},
	"all killed": func(f *fleet) {
		for i := range f.states {
			f.kill(i)
		}

		f.run(300 * time.Millisecond)

		for i := range f.states {
			f.start(i)
		}
	},
	"domain killed and cut off": func(f *fleet) {
		apart := func(m instance.Member) bool { return m.Place.Domain == "d1" }
		f.cut = func(a, b instance.Member) bool { return apart(a) != apart(b) }

		for i, member := range f.members {
			if apart(member) {
				f.kill(i)
				f.start(i)
			}
		}
	},
	"domain cut off": func(f *fleet) {
		apart := func(m instance.Member) bool { return m.Place.Domain == "d1" }
		f.cut = func(a, b instance.Member) bool { return apart(a) != apart(b) }
	},
	"daemon cut off": func(f *fleet) {
		f.cut = func(a, b instance.Member) bool { return a.ID == "i-000" || b.ID == "i-000" }
	},
	"every daemon cut off": func(f *fleet) { f.cut = func(a, b instance.Member) bool { return true } },
	"lost and duplicated":  func(f *fleet) { f.loss, f.duplicates = 0.1, 0.1 },
	"most lost":            func(f *fleet) { f.loss, f.duplicates = 0.7, 0.3 },
}

// TestFaults guards against limits that are exceeded while daemons fail and tenants send far more than their limits,
// all of it first through one domain, so that most of the limits is lent, and then through others.
func TestFaults(t *testing.T) {
	const excess = 4

	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, fleetSize, domains, unevenTenants(4)[2:]...)
				f.warmUp()

				for _, tenant := range f.tenants {
					f.load(tenant.Name, excess*tenant.Rate, 12*time.Second, f.inDomain("d0"))
				}

				f.checkShares(13 * time.Second)
				f.run(4 * time.Second)
				fault(f)

				for _, tenant := range f.tenants {
					f.load(tenant.Name, excess*tenant.Rate, 8*time.Second, f.inDomain("d1"))
					f.load(tenant.Name, excess*tenant.Rate, 8*time.Second, f.anywhere)
				}

				f.run(4 * time.Second)

				f.cut = func(instance.Member, instance.Member) bool { return false }
				f.loss, f.duplicates = 0, 0
				f.contact()
				f.run(5 * time.Second)
				f.checkLimits()
			})
		})
	}
}

// TestTakeover guards against refusals for longer than the design states after the daemon that keeps a pool was killed,
// while its tenants send their usual load.
func TestTakeover(t *testing.T) {
	for _, name := range []string{"pool killed", "pool restarted", "all killed"} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, fleetSize, domains, unevenTenants(5)...)
				f.warmUp()

				for i, tenant := range f.tenants {
					f.load(tenant.Name, usualRate(i), 20*time.Second, f.anywhere)
				}

				f.run(5 * time.Second)
				faults[name](f)
				f.run(16 * time.Second)
				f.checkLimits()

				t.Logf("refused %.4f %v", f.refusedShare("t00"), f.refused["t00"])
				require.Less(t, f.refusedShare("t00"), 0.05)
			})
		})
	}
}

// TestLoweredLimit guards against a lower limit that binds late.
func TestLoweredLimit(t *testing.T) {
	f := newFleet(t, 1, fleetSize, domains, manifest.Tenant{Name: "a", Rate: 200, Burst: 200})
	f.warmUp()
	f.load("a", 1000, 20*time.Second, f.anywhere)
	f.run(5 * time.Second)

	f.tenants = []manifest.Tenant{{Name: "a", Rate: 20, Burst: 20}}
	for i := range f.states {
		f.apply(i, quota.PolicyChanged{Tenants: f.tenants})
	}

	clear(f.admitted)
	f.run(10 * time.Second)
	f.checkLimits()
}
