package eventlog

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Event is the name of a decision or change, in the field "event" of each line.
type Event string

// Events of requests, at the entry daemon unless stated otherwise.
const (
	// Sent is an attempt with the inputs of the choice.
	Sent Event = "sent"
	// AttemptEnded is the end of an attempt that brought no usable response.
	AttemptEnded Event = "attempt-ended"
	// Withdrawn is an attempt that was cancelled.
	Withdrawn Event = "withdrawn"
	// Answered is a request whose caller got the response of a backend server.
	Answered Event = "answered"
	// Refused is a request whose caller got an answer of the daemon itself.
	Refused Event = "refused"
	// CallerLeft is a request whose caller has closed the connection.
	CallerLeft Event = "caller-left"
	// Turned is an attempt that the daemon beside the server did not run.
	Turned Event = "turned-away"
	// Served is an attempt that ran at the backend server beside the daemon.
	Served Event = "served"
	// ServeFailed is an attempt that the backend server did not answer.
	ServeFailed Event = "serve-failed"
	// ServerRefused is an attempt that the backend server stated not to have run.
	ServerRefused Event = "server-refused"
)

// Events of the daemon and what it believes.
const (
	Started        Event = "started"
	Stopping       Event = "stopping"
	Stopped        Event = "stopped"
	Reloaded       Event = "reloaded"
	ReloadFailed   Event = "reload-failed"
	Lost           Event = "lost"
	Regained       Event = "regained"
	Resumed        Event = "resumed"
	Configuration  Event = "configuration"
	BadRecord      Event = "bad-record"
	Members        Event = "members"
	ServerState    Event = "server-state"
	BadAnnounce    Event = "bad-announcement"
	Withdrew       Event = "server-withdrew"
	EntryNotStored Event = "entry-not-stored"
	Suspects       Event = "suspects"
	LeftOut        Event = "left-out"
	// Panicked is an unexpected error in the code, with its stack.
	Panicked Event = "panic"
	// Overdue is a request without a result after its deadline.
	Overdue Event = "overdue"
)

// Allowances in lines per second, with as much at once. A line has about 300 bytes.
const (
	routineRate = 200
	notableRate = 200
	// leftOutInterval is the time between two lines that tell what was left out.
	leftOutInterval = time.Second
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger  zerolog.Logger
	routine *allowance
	notable *allowance
}

// allowance limits the lines of one kind.
type allowance struct {
	limiter *rate.Limiter
	counter *leftOut
}

// New returns a log that writes to a logger.
func New(logger zerolog.Logger) *Log {
	return &Log{
		logger:  logger,
		routine: &allowance{limiter: rate.NewLimiter(routineRate, routineRate), counter: &leftOut{}},
		notable: &allowance{limiter: rate.NewLimiter(notableRate, notableRate), counter: &leftOut{}},
	}
}

// Routine begins a line about a request that goes as usual. The line is left out beyond the allowance; all
// methods of the returned event may be called nevertheless.
func (l *Log) Routine(event Event) *zerolog.Event {
	return l.begin(l.routine, zerolog.InfoLevel, "routine", event)
}

// Notable begins a line about a failure, a refusal or a change of what the daemon believes.
func (l *Log) Notable(event Event) *zerolog.Event {
	return l.begin(l.notable, zerolog.InfoLevel, "notable", event)
}

// Warn begins a line about something that an operator may have to look at.
func (l *Log) Warn(event Event) *zerolog.Event {
	return l.begin(l.notable, zerolog.WarnLevel, "notable", event)
}

func (l *Log) begin(a *allowance, level zerolog.Level, kind string, event Event) *zerolog.Event {
	if !a.limiter.Allow() {
		a.counter.add()

		return nil
	}

	if count := a.counter.due(time.Now()); count > 0 {
		l.logger.Warn().Str("event", string(LeftOut)).Str("kind", kind).Uint64("lines", count).Send()
	}

	return l.logger.WithLevel(level).Str("event", string(event))
}

// LeftOut returns how many lines were left out since the start.
func (l *Log) LeftOut() uint64 { return l.routine.counter.total() + l.notable.counter.total() }
