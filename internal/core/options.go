package core

import (
	"net/netip"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Options are what a state starts from. A recording begins with them, so that replay starts from the
// same state.
type Options struct {
	Self instance.Member
	// Seeds are peer addresses to start from.
	Seeds []netip.AddrPort
	// Queue is the number of attempts that may wait for a slot.
	Queue int
	// Seed of all random choices.
	Seed uint64
}

// New returns the state of a daemon that has just started. Start has to be applied first.
func New(options Options) *State {
	self := options.Self

	s := &State{
		self:     self,
		seeds:    options.Seeds,
		requests: make(map[request.ID]*tracked),
		serving:  make(map[admission.Attempt]*served),

		routing:   routing.New(routing.WithSeed(options.Seed), routing.WithPlace(self.Place)),
		admission: admission.New(admission.WithLimits(self.Slots, options.Queue)),
		keys: keys.New(keys.WithSelf(self.ID, self.Incarnation, self.Service), keys.WithSeed(options.Seed),
			keys.WithSettle(settleTime)),
		suspects:   suspects.New(),
		membership: membership.New(membership.WithSeed(options.Seed)),
		relay: logrelay.New(logrelay.WithSeed(options.Seed), logrelay.WithStreams(
			// A newcomer validates the manifests of the whole tail, about 25 ms each at 120 services.
			logrelay.Stream{Name: record.ConfigStream, Records: configTail},
			logrelay.Stream{Name: record.GrantsStream},
			logrelay.Stream{Name: record.MembersStream, Baseless: true, Poll: contactPoll},
		)),
	}
	s.config = config.New(config.WithSeed(options.Seed), config.WithValidation(s.checkManifest))

	return s
}

// settleTime is how long the members of a service stay the same before its key partitions are claimed for
// the first time, so that they are spread over the daemons of a service that starts together.
const settleTime = 2 * time.Second

// CheckManifest is the check that a published manifest has to pass. It is the same for all daemons,
// because validity decides which of two records becomes a version.
func CheckManifest(text string) error {
	_, err := manifest.Parse("manifest", []byte(text))

	return err
}

// checkManifest is CheckManifest and keeps the result for inForce: a manifest of the target size takes
// tens of milliseconds to parse, and requests wait meanwhile.
func (s *State) checkManifest(text string) error {
	parsed, err := manifest.Parse("manifest", []byte(text))
	if err == nil {
		s.parsedText, s.parsed = text, parsed
	}

	return err
}

// start makes the daemon known and begins to look for others.
func (s *State) start(now time.Time) []Effect {
	return s.fromMembership(now, s.membership.Apply(now, membership.Started{Self: s.self, Seeds: s.seeds}))
}

// contactInterval is the period at which a combiner writes peer addresses of its failure domain to
// the log, from which a daemon can start without seeds.
const contactInterval = time.Minute

const (
	// configTail is the number of recent configuration records that a daemon passes on as such.
	configTail = 8
	// contactPoll is how often a relay reads the stream of contacts, which only newcomers need.
	contactPoll = 10 * time.Second
)

// tick lets time pass in all packages.
func (s *State) tick(now time.Time) []Effect {
	effects := s.fromMembership(now, s.membership.Apply(now, membership.Tick{}))
	effects = append(effects, s.fromRelay(now, s.relay.Apply(now, logrelay.Tick{}))...)
	effects = append(effects, s.fromConfig(now, s.config.Apply(now, config.Tick{}))...)
	effects = append(effects, s.fromRouting(now, s.routing.Apply(now, routing.Tick{}))...)
	effects = append(effects, s.toAdmission(now, admission.Tick{})...)

	if now.Sub(s.slowTick) >= keys.TickInterval {
		s.slowTick = now
		effects = append(effects, s.fromKeys(now, s.keys.Apply(now, keys.Tick{}))...)
		effects = append(effects, list(s.suspects.Apply(now, suspects.Tick{}))...)
		effects = append(effects, s.updateRoles(now)...)
	}

	effects = append(effects, s.flushGrants(now)...)

	return append(effects, s.writeContacts(now)...)
}

func (s *State) writeContacts(now time.Time) []Effect {
	if now.Sub(s.contacted) < contactInterval || !s.membership.Combiner(s.self.Place.Domain) {
		return nil
	}

	s.contacted = now
	contact := record.Contact{Domain: s.self.Place.Domain}

	for _, peer := range s.membership.Contacts() {
		contact.Peers = append(contact.Peers, peer.String())
	}

	return s.appendRecord(now, record.MembersStream, record.EncodeContact(contact))
}

// drain makes this daemon take no new work; what is in flight finishes.
func (s *State) drain(now time.Time) []Effect {
	effects := s.toAdmission(now, admission.DrainStarted{})
	effects = append(effects, s.fromMembership(now, s.membership.Apply(now, membership.DrainStarted{}))...)

	return append(effects, s.fromKeys(now, s.keys.Apply(now, keys.DrainStarted{}))...)
}
