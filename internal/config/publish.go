package config

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
)

// Log is the part of the log service that publishing needs.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int) (logservice.Page, error)
}

// Errors of publishing. Nothing was published in these cases.
var (
	// ErrInvalid is returned for a manifest that fails validation.
	ErrInvalid = errors.New("manifest is invalid")
	// ErrUnavailable is returned if the log service refused, or could not be read.
	ErrUnavailable = errors.New("log service is unavailable")
	// ErrNoBase is returned if the log holds neither all its records nor a usable snapshot. A
	// running daemon writes one; if none runs that knows the current version, Restart helps.
	ErrNoBase = errors.New("log holds no usable snapshot")
	// ErrHasBase is returned by Restart if the log tells the current version.
	ErrHasBase = errors.New("log tells the current version")
	// ErrOutdated is returned if the version to be replaced is not the current one.
	ErrOutdated = errors.New("base is not the current version")
)

// Outcome says what became of a publish.
type Outcome uint8

const (
	// OutcomeUnknown means that the record may still appear in the log, or may have expired.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted means that the manifest became a version.
	OutcomeAccepted
	// OutcomeRejected means that another publish won, or that the record is invalid.
	OutcomeRejected
)

// String returns a lower-case name.
func (o Outcome) String() string {
	names := [...]string{"unknown", "accepted", "rejected"}
	if int(o) < len(names) {
		return names[o]
	}

	return "unknown"
}

// Result is what is known of a publish.
type Result struct {
	Outcome Outcome
	// ID is the publish identifier, by which Resolve finds the outcome later.
	ID string
	// Version is the accepted version, or the version that won. It is zero if unknown.
	Version uint64
	// Winner is the publish identifier of Version.
	Winner string
	Reason Reason
}

const (
	// readLimit is the number of records in one read.
	readLimit = 256
	// rereadInterval is the time between reads while an outcome is open.
	rereadInterval = 200 * time.Millisecond
	// defaultWait bounds how long an outcome is waited for.
	defaultWait = 10 * time.Second
)

// Publisher publishes manifests for operators. It is safe for concurrent use.
type Publisher struct {
	log      Log
	validate func(string) error
	wait     time.Duration
	newID    func() string
}

// PublisherOption configures a Publisher.
type PublisherOption func(*Publisher)

// WithCheck sets the check that a manifest must pass. It must be the one that daemons use.
func WithCheck(validate func(manifest string) error) PublisherOption {
	return func(p *Publisher) { p.validate = validate }
}

// WithWait bounds how long Publish and Resolve wait for an outcome.
func WithWait(wait time.Duration) PublisherOption {
	return func(p *Publisher) { p.wait = wait }
}

// WithIDs replaces the source of publish identifiers. They must be unique.
func WithIDs(newID func() string) PublisherOption {
	return func(p *Publisher) { p.newID = newID }
}

// NewPublisher returns a publisher over a log.
func NewPublisher(log Log, options ...PublisherOption) *Publisher {
	p := &Publisher{
		log: log, validate: func(string) error { return nil }, wait: defaultWait, newID: uuid.NewString,
	}
	for _, option := range options {
		option(p)
	}

	return p
}

// Publish replaces the current version by a manifest. The record is appended at most once. An error
// means that nothing was published.
func (p *Publisher) Publish(ctx context.Context, manifest string) (Result, error) {
	return p.publish(ctx, manifest, nil)
}

// PublishOver is Publish for a manifest that was derived from a certain version. It returns
// ErrOutdated if another version is current already.
func (p *Publisher) PublishOver(ctx context.Context, base uint64, manifest string) (Result, error) {
	return p.publish(ctx, manifest, &base)
}

func (p *Publisher) publish(ctx context.Context, manifest string, base *uint64) (Result, error) {
	if err := p.validate(manifest); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}

	ctx, cancel := context.WithTimeout(ctx, p.wait)
	defer cancel()

	reader, err := p.latest(ctx)
	if err != nil {
		return Result{}, err
	}

	current, based := reader.state.Base()

	switch {
	case !based:
		return Result{}, ErrNoBase
	case base != nil && *base != current.Version:
		return Result{}, errors.Wrapf(ErrOutdated, "base %d, current version %d (publish %s)",
			*base, current.Version, current.ID)
	}

	id := p.newID()
	// The longest part of the wait is left for reading back.
	offset, err := p.log.Append(ctx, record.ConfigStream, record.EncodeConfig(record.Publish{
		ID: id, Base: current.Version, Manifest: manifest,
	}))

	switch {
	case err == nil:
		return reader.resolve(ctx, id, &offset), nil
	case logservice.EffectOf(err) == logservice.NotAppended:
		return Result{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	default:
		return reader.resolve(ctx, id, nil), nil
	}
}

// Restart publishes a manifest over a log that no longer tells the current version, for example after
// all daemons were down for longer than the log keeps records. It returns ErrHasBase if the log does
// tell it. The new version is higher than any before, because each took a record of its own.
func (p *Publisher) Restart(ctx context.Context, manifest string) (Result, error) {
	if err := p.validate(manifest); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}

	ctx, cancel := context.WithTimeout(ctx, p.wait)
	defer cancel()

	reader, err := p.latest(ctx)
	if err != nil {
		return Result{}, err
	}

	if _, based := reader.state.Base(); based {
		return Result{}, ErrHasBase
	}

	id, next := p.newID(), reader.from
	// Of two snapshots with one version, readers keep the first.
	offset, err := p.log.Append(ctx, record.ConfigStream, record.EncodeConfig(record.Snapshot{
		Version: next + 1, Through: next, Manifest: manifest, ID: id,
	}))

	switch {
	case err == nil:
		return reader.resolve(ctx, id, &offset), nil
	case logservice.EffectOf(err) == logservice.NotAppended:
		return Result{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	default:
		return reader.resolve(ctx, id, nil), nil
	}
}

// Resolve looks for the outcome of an earlier publish. It waits for the record to appear. An
// outcome that stays unknown is no proof that the record was not appended: it may have expired.
func (p *Publisher) Resolve(ctx context.Context, id string) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, p.wait)
	defer cancel()

	reader := p.newReader()
	if err := reader.toEnd(ctx); err != nil {
		return Result{}, err
	}

	return reader.resolve(ctx, id, nil), nil
}

// Show returns the current version as the log has it. Its version is 0 before the first publish.
func (p *Publisher) Show(ctx context.Context) (Base, error) {
	ctx, cancel := context.WithTimeout(ctx, p.wait)
	defer cancel()

	reader, err := p.latest(ctx)
	if err != nil {
		return Base{}, err
	}

	base, based := reader.state.Base()
	if !based {
		return Base{}, ErrNoBase
	}

	return base, nil
}

// reader follows the log as a daemon does that starts from the log alone.
type reader struct {
	log     Log
	state   *State
	from    uint64
	decided map[string]Decided
	// accepted are the versions that were current, by which a publish is recognized whose record has
	// expired.
	accepted map[string]uint64
}

func (p *Publisher) newReader() *reader {
	return &reader{
		log: p.log, state: New(WithValidation(p.validate)),
		decided: map[string]Decided{}, accepted: map[string]uint64{},
	}
}

// latest returns a reader at the end of the log. It starts near the end and goes back only as far as
// it has to, because the log may hold the manifests of a whole day.
func (p *Publisher) latest(ctx context.Context) (*reader, error) {
	probe, err := p.log.Read(ctx, record.ConfigStream, math.MaxInt64, 1)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}

	for back := uint64(maxReplay); ; back *= 4 {
		reader := p.newReader()
		reader.from = max(probe.First, probe.Next-min(probe.Next, back))

		if err := reader.toEnd(ctx); err != nil {
			return nil, err
		}

		if _, based := reader.state.Base(); based || probe.Next-probe.First <= back {
			return reader, nil
		}
	}
}

// toEnd reads until the end of the log. A log that answers with old data ends too early; a publish on
// the version found there is rejected by the rule over the log's order.
func (r *reader) toEnd(ctx context.Context) error {
	for {
		page, err := r.log.Read(ctx, record.ConfigStream, r.from, readLimit)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}

		r.take(page)

		if r.from >= page.Next || len(page.Records) == 0 {
			return nil
		}
	}
}

func (r *reader) take(page logservice.Page) {
	if len(page.Records) == 0 {
		r.apply(page)
	}

	// Record by record, so that no version is missed that the next record replaces.
	for i := range page.Records {
		r.apply(logservice.Page{First: page.First, Records: page.Records[i : i+1], Next: page.Next})
	}
}

func (r *reader) apply(page logservice.Page) {
	// The reducer uses the time only for snapshots, which a reader does not write.
	for _, effect := range r.state.Apply(time.Time{}, RecordsRead(page)) {
		if decided, ok := effect.(Decided); ok {
			if _, found := r.decided[decided.ID]; !found {
				r.decided[decided.ID] = decided
			}
		}
	}

	if base, based := r.state.Base(); based && base.ID != "" {
		r.accepted[base.ID] = base.Version
	}

	r.from = max(r.from, r.state.log.through)
}

// resolve reads on until the outcome of a publish is known or the context ends. The offset, if not
// nil, is that of the record.
func (r *reader) resolve(ctx context.Context, id string, offset *uint64) Result {
	for {
		if decided, found := r.decided[id]; found {
			outcome := OutcomeRejected
			if decided.Accepted {
				outcome = OutcomeAccepted
			}

			return Result{
				Outcome: outcome, ID: id, Version: decided.Version, Winner: decided.Winner, Reason: decided.Reason,
			}
		}

		if version, found := r.accepted[id]; found {
			return Result{Outcome: OutcomeAccepted, ID: id, Version: version, Winner: id}
		}

		if offset != nil && *offset < r.from {
			return r.passed(id)
		}

		if err := r.toEnd(ctx); err == nil && r.known(id, offset) {
			continue
		}

		select {
		case <-ctx.Done():
			return Result{ID: id}
		case <-time.After(rereadInterval):
		}
	}
}

// passed is the result of a record that was read and has not become a version. Another record has won
// then, unless records before it expired meanwhile that may have decided.
func (r *reader) passed(id string) Result {
	if r.state.counts.Gaps > 0 {
		return Result{ID: id}
	}

	base, _ := r.state.Base()

	return Result{Outcome: OutcomeRejected, ID: id, Version: base.Version, Winner: base.ID, Reason: Outdated}
}

// known reports whether reading on can tell nothing more about a publish.
func (r *reader) known(id string, offset *uint64) bool {
	_, decided := r.decided[id]
	_, accepted := r.accepted[id]

	return decided || accepted || (offset != nil && *offset < r.from)
}
