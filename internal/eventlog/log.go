package eventlog

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Event names a decision or a change. Each line has it in the field "event".
type Event string

// Events of requests. The daemon beside the server logs TurnedAway, Served, ServeFailed and ServerRefused; the entry
// daemon, which the caller connects to, logs the others.
const (
	// Sent reports an attempt that was sent to a server, with the inputs of the choice.
	Sent Event = "sent"
	// AttemptEnded reports an attempt that ended without a usable response.
	AttemptEnded Event = "attempt-ended"
	// Withdrawn reports an attempt that was cancelled.
	Withdrawn Event = "withdrawn"
	// Answered reports a request whose caller got the response of a backend server.
	Answered Event = "answered"
	// Refused reports a request whose caller got an error response from the daemon itself.
	Refused Event = "refused"
	// CallerLeft reports a request whose caller closed the connection before the response.
	CallerLeft Event = "caller-left"
	// TurnedAway reports an attempt that the daemon itself refused.
	TurnedAway Event = "turned-away"
	// Served reports an attempt that the backend server beside the daemon answered.
	Served Event = "served"
	// ServeFailed reports an attempt that got no valid response from the backend server beside the daemon.
	ServeFailed Event = "serve-failed"
	// ServerRefused reports an attempt that the backend server beside the daemon says it did not run.
	ServerRefused Event = "server-refused"
)

// Events of the daemon and of its view of the fleet.
const (
	Started      Event = "started"
	Stopping     Event = "stopping"
	Stopped      Event = "stopped"
	Reloaded     Event = "reloaded"
	ReloadFailed Event = "reload-failed"
	// OperationFailed reports a failed read, write or transfer. The field "what" names its object.
	OperationFailed Event = "lost"
	// Recovered reports that the object in the field "what" is available again.
	Recovered Event = "regained"
	// Resumed reports that the machine was suspended.
	Resumed Event = "resumed"
	// Configuration reports that a new configuration is in force.
	Configuration Event = "configuration"
	// ConfigurationRead reports a read from the store that brought records of configurations.
	ConfigurationRead Event = "configuration-read"
	// ConfigurationBehind reports that another daemon has a newer configuration.
	ConfigurationBehind Event = "configuration-behind"
	// ConfigurationFetched reports a fetch of the configuration from another daemon, because the store cannot be read.
	ConfigurationFetched Event = "configuration-fetched"
	// Evacuation reports a change of the failure domains whose servers get no new requests.
	Evacuation Event = "evacuation"
	// StoreReturned reports that the store has come back from an older copy, without what daemons have written since.
	StoreReturned Event = "store-returned"
	// StoreBehind reports that another daemon has seen a newer epoch of the store.
	StoreBehind Event = "store-behind"
	// BadRecord reports an invalid configuration or membership entry in the store.
	BadRecord Event = "bad-record"
	// Members reports changes of the members of the fleet.
	Members Event = "members"
	// ServerState reports a changed state of the backend server beside the daemon.
	ServerState Event = "server-state"
	// ServerLimit reports that the backend server beside the daemon states another limit on requests, or none.
	ServerLimit Event = "server-limit"
	// ServerCold reports that the backend server beside the daemon has become cold or warm.
	ServerCold Event = "server-cold"
	// BadAnnouncement reports an announcement of a backend server that the daemon rejected.
	BadAnnouncement Event = "bad-announcement"
	// ServerWithdrew reports that the backend server announced that it leaves for good.
	ServerWithdrew Event = "server-withdrew"
	// EntryNotStored reports that the daemon could not write its membership entry to the store.
	EntryNotStored Event = "entry-not-stored"
	// Suspects reports requests that may crash servers.
	Suspects Event = "suspects"
	// PoolStarted and PoolEnded report that this daemon begins and ceases to keep tokens of rate limits for others, and
	// PoolChosen that it takes its own tokens from another daemon.
	PoolStarted Event = "pool-started"
	PoolEnded   Event = "pool-ended"
	PoolChosen  Event = "pool-chosen"
	// BoundReached reports requests that were refused and connections that were closed because callers or other daemons
	// have reached a bound on memory, connections or time. Its fields are totals since the start.
	BoundReached Event = "bound-reached"
	// LinesSuppressed reports the number of lines of one kind that the rate limit suppressed.
	LinesSuppressed Event = "left-out"
	// Panicked reports a panic in the daemon's code, with its stack trace.
	Panicked Event = "panic"
	// Overdue reports a request that has no result although its deadline has passed.
	Overdue Event = "overdue"
)

// Rate limits in lines per second, which are also the burst sizes. A line has about 300 bytes.
const (
	routineRate = 200
	notableRate = 200
	// suppressionReportInterval is the least time between two lines that report suppressed lines.
	suppressionReportInterval = time.Second
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger  zerolog.Logger
	routine *rateLimit
	notable *rateLimit
}

// rateLimit limits the lines of one kind, routine or notable.
type rateLimit struct {
	limiter    *rate.Limiter
	suppressed *suppressedCounter
}

// New returns a log that writes to a logger.
func New(logger zerolog.Logger) *Log {
	return &Log{
		logger:  logger,
		routine: &rateLimit{limiter: rate.NewLimiter(routineRate, routineRate), suppressed: &suppressedCounter{}},
		notable: &rateLimit{limiter: rate.NewLimiter(notableRate, notableRate), suppressed: &suppressedCounter{}},
	}
}

// Routine begins a line about a request that takes its normal course. Beyond the rate limit it returns nil, whose
// methods may be called and do nothing.
func (l *Log) Routine(event Event) *zerolog.Event {
	return l.begin(l.routine, zerolog.InfoLevel, "routine", event)
}

// Notable begins a line about a failure, a refusal or a change of the daemon's view of the fleet. It returns nil beyond
// the rate limit, as Routine does.
func (l *Log) Notable(event Event) *zerolog.Event {
	return l.begin(l.notable, zerolog.InfoLevel, "notable", event)
}

// Warn begins a line that may need an operator's attention. It shares the rate limit of Notable.
func (l *Log) Warn(event Event) *zerolog.Event {
	return l.begin(l.notable, zerolog.WarnLevel, "notable", event)
}

func (l *Log) begin(limit *rateLimit, level zerolog.Level, kind string, event Event) *zerolog.Event {
	if !limit.limiter.Allow() {
		limit.suppressed.increment()

		return nil
	}

	if count := limit.suppressed.takeUnreported(time.Now()); count > 0 {
		l.logger.Warn().Str("event", string(LinesSuppressed)).Str("kind", kind).Uint64("lines", count).Send()
	}

	return l.logger.WithLevel(level).Str("event", string(event))
}

// SuppressedLines returns the number of lines that the rate limits have suppressed since the start.
func (l *Log) SuppressedLines() uint64 {
	return l.routine.suppressed.total() + l.notable.suppressed.total()
}
