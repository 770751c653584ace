package membership

import "time"

const (
	// TickInterval is the period of Tick events.
	TickInterval = 100 * time.Millisecond
	// CallTimeout bounds an exchange or a pull, so that a silent peer is tried three times before it
	// is accused.
	CallTimeout = time.Second

	// pauseLimit is the gap between ticks after which this daemon assumes that it was paused, and
	// that the silence of its peers was its own.
	pauseLimit = time.Second
	// linkTimeout ends a link that is no neighbour and has had no contact.
	linkTimeout = 10 * time.Second
	// recentWindow is how far back changes are sent to a new link. Older differences show in the
	// digest.
	recentWindow = 5 * time.Second
	// pushInterval bounds pushes, so that many changes share one: at three pushes a second and six
	// hops a change still spreads within 2 s.
	pushInterval = 300 * time.Millisecond
	// probeLimit is the number of members in an exchange with a peer that has not responded: this
	// daemon's own entry and the peer's.
	probeLimit = 2
	// messageLimit is the largest number of members in an exchange.
	messageLimit = 256
	// pageSize is the number of members per page of a pull.
	pageSize = 128
	// pullLimit is the number of pulls served at once.
	pullLimit = 8
	// pullTimeout ends a served pull whose next page is not asked for.
	pullTimeout = 2 * time.Second
	// differLimit is the number of exchanges in a row after which a different digest starts a pull.
	differLimit = 3
	// repairInterval is the first delay between pulls that repair a difference, and repairLimit the
	// largest: a whole table is 70 KB at 610 members, and a difference may be of a kind that a pull
	// does not end.
	repairInterval = 5 * time.Second
	repairLimit    = 2 * time.Minute
	// seedLimit bounds the addresses from settings and contact records that are kept; the latest stay.
	seedLimit = 32
	// sweepInterval is the period of the removal of old entries.
	sweepInterval = time.Second
	// reuniteInterval is the period at which a dead member or a seed is tried, so that separated
	// groups find each other again.
	reuniteInterval = 10 * time.Second
	// startPhase is how long after its start a daemon looks for unknown seeds more often.
	startPhase = 30 * time.Second
	// contactLimit is the number of addresses in a contact record.
	contactLimit = 4
)

// Option changes a State at its creation.
type Option func(*options)

type options struct {
	seed      uint64
	interval  time.Duration
	accuse    time.Duration
	stand     time.Duration
	hold      time.Duration
	retention time.Duration
	start     time.Duration
	// unguarded accepts announcements of older incarnations; tests set it to show that the guard
	// is needed.
	unguarded bool
	// hasty declares deaths without regard to partitions; tests set it for the same reason.
	hasty bool
}

func defaults() options {
	return options{
		interval: time.Second,
		accuse:   3 * time.Second,
		stand:    5 * time.Second,
		// Regions lose contact for minutes several times a year.
		hold: 15 * time.Minute,
		// Longer than hold, so that a part of the fleet that still holds a member as accused cannot
		// bring it back after the others have removed it.
		retention: time.Hour,
		start:     2 * time.Second,
	}
}

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithInterval sets the period of exchanges with each neighbour; 1 s by default.
func WithInterval(interval time.Duration) Option {
	return func(o *options) { o.interval = interval }
}

// WithAccusation sets the silence after which a member is accused, and how long an accusation has to
// stand before the member is declared dead; 3 s and 5 s by default.
func WithAccusation(after, stand time.Duration) Option {
	return func(o *options) { o.accuse, o.stand = after, stand }
}

// WithHold sets how long members behind a partition are kept; 15 min by default.
func WithHold(hold time.Duration) Option { return func(o *options) { o.hold = hold } }

// WithRetention sets how long dead and left members are remembered; 1 h by default. It has to be
// longer than the hold time.
func WithRetention(retention time.Duration) Option {
	return func(o *options) { o.retention = retention }
}

// WithStartTimeout sets how long a daemon waits for a first peer before it starts alone; 2 s by
// default.
func WithStartTimeout(timeout time.Duration) Option {
	return func(o *options) { o.start = timeout }
}
