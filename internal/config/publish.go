package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// Log is the topic in which manifests are published.
type Log interface {
	// Newest returns the newest record of each key and the end offset of the topic.
	Newest(ctx context.Context) (store.Page, error)
	// AppendAt appends records if the topic ends at the position end; otherwise it returns store.ErrConflict. It returns
	// store.ErrReturned if it has appended them at that offset in another epoch.
	AppendAt(ctx context.Context, end store.Position, records ...store.Record) error
}

// Outcome is the outcome of a publish.
type Outcome uint8

const (
	// Unknown means that the publish may have taken effect or may still do so.
	Unknown Outcome = iota
	// Accepted means that the publish created a version.
	Accepted
	// Rejected means that the publish created no version and never will.
	Rejected
)

// Result is the result of a publish.
type Result struct {
	Outcome Outcome
	// Publish is the publish that the result is about.
	Publish Publish
	// Current is the newest publish in the topic.
	Current Publish
}

// ErrNoManifest is returned if no manifest is published.
var ErrNoManifest = errors.New("no manifest is published")

const (
	// retryDelay is the delay before a call to the store is repeated.
	retryDelay = 200 * time.Millisecond
	// maxAppendDelay is the maximum time after which the store performs a call whose response was lost.
	maxAppendDelay = 8 * time.Second
)

// Publisher publishes manifests and finds the outcome of a publish.
type Publisher struct {
	log     Log
	timeout time.Duration
}

// NewPublisher returns a publisher to a topic. Publish repeats failed calls to the store until timeout has passed, and
// Resolve for at least maxAppendDelay.
func NewPublisher(log Log, timeout time.Duration) *Publisher {
	return &Publisher{log: log, timeout: timeout}
}

// Current returns the newest manifest. It returns ErrNoManifest if there is none.
func (p *Publisher) Current(ctx context.Context) (Published, error) {
	current, _, err := p.read(ctx)

	return current, err
}

// read returns the newest manifest and the end of the topic.
func (p *Publisher) read(ctx context.Context) (Published, store.Position, error) {
	page, err := p.log.Newest(ctx)
	if err != nil {
		return Published{}, store.Position{}, errors.Wrap(err, "log service is unavailable: read current manifest")
	}

	for _, record := range page.Records {
		if record.Key == Key {
			current, err := DecodeRecord(record.Value)

			return current, page.EndPosition(), err
		}
	}

	return Published{}, page.EndPosition(), ErrNoManifest
}

// Publish publishes the text of a manifest as the next version. If base is not nil and not the current version, the
// publish is Rejected. An error means that nothing was published.
//
// If the store comes back from an older copy meanwhile, the manifest may stand there with a version that was given out
// before. Then it is published once more with a version of the new epoch, or, if base is not nil, the outcome is Unknown,
// because the base may be lost.
func (p *Publisher) Publish(ctx context.Context, text string, base *uint64) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()

	id := uuid.NewString()
	// returned is set once a record was appended in another epoch.
	returned := false

	for {
		current, end, err := p.read(ctx)
		if err != nil && !errors.Is(err, ErrNoManifest) {
			if task.Sleep(ctx, retryDelay) {
				continue
			}

			return p.failed(id, returned, err)
		}

		if base != nil && *base != current.Version {
			return Result{Outcome: Rejected, Publish: Publish{ID: id}, Current: current.Publish}, nil
		}

		next := current.nextVersion(id, text, end)

		result, err := p.append(ctx, next, end)
		returned = returned || errors.Is(err, store.ErrReturned)

		switch {
		case err == nil:
			return result, nil
		case errors.Is(err, store.ErrReturned) && base == nil, errors.Is(err, store.ErrConflict):
			// The record has a version of an earlier epoch, or another publisher has appended since the read.
			continue
		case errors.Is(err, store.ErrReturned):
			return Result{Publish: next.Publish, Current: current.Publish}, nil
		case task.Sleep(ctx, retryDelay):
			continue
		}

		return p.failed(id, returned, errors.Wrap(err, "publish"))
	}
}

// failed returns the result of a publish that ends with an error. Its outcome is Unknown if a record was appended.
func (p *Publisher) failed(id string, appended bool, err error) (Result, error) {
	if appended {
		return Result{Publish: Publish{ID: id}}, nil
	}

	return Result{}, err
}

// append appends a record at the position end and finds the outcome if the response is lost. It returns store.ErrReturned
// if the record was appended in another epoch than that of the position. Any other error means that it was not appended.
func (p *Publisher) append(ctx context.Context, next Published, end store.Position) (Result, error) {
	err := p.log.AppendAt(ctx, end, encode(next))

	switch {
	case err == nil:
		return Result{Outcome: Accepted, Publish: next.Publish, Current: next.Publish}, nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrReturned), errors.Is(err, store.ErrRejected):
		return Result{}, err
	}

	result, epoch := p.resolve(context.WithoutCancel(ctx), next.ID)
	if result.Outcome == Accepted && epoch != end.Epoch {
		return Result{}, store.ErrReturned
	}

	return result, nil
}

// epochShift is the number of bits of a version that hold the offset of its record.
const epochShift = 32

// nextVersion returns the record of a publish on top of p, which is appended at the position end. After a return of the
// store from an older copy, the newest record does not show which versions were given out. The epoch and the offset
// together are never used twice, and higher than those of all earlier versions.
func (p Published) nextVersion(id, text string, end store.Position) Published {
	version := p.Version + 1
	if end.Epoch > store.FirstEpoch {
		version = max(version, uint64(end.Epoch)<<epochShift+uint64(end.Offset))
	}

	next := Published{Publish: Publish{ID: id, Version: version}, Manifest: text}

	if p.ID != "" {
		next.Earlier = append([]Publish{p.Publish}, p.Earlier...)
		next.Earlier = next.Earlier[:min(len(next.Earlier), maxEarlierPublishes)]
	}

	return next
}

// Resolve finds the outcome of a publish whose response was lost. The outcome is Unknown if the store cannot be read or
// does not contain the publish, because the publish may still take effect. The error is always nil.
func (p *Publisher) Resolve(ctx context.Context, id string) (Result, error) {
	result, _ := p.resolve(ctx, id)

	return result, nil
}

// resolve does what Resolve does, and also returns the epoch of the store in which the outcome was found.
func (p *Publisher) resolve(ctx context.Context, id string) (Result, store.Epoch) {
	ctx, cancel := context.WithTimeout(ctx, max(p.timeout, maxAppendDelay))
	defer cancel()

	result := Result{Publish: Publish{ID: id}}

	for {
		current, end, err := p.read(ctx)
		if err == nil {
			result.Current = current.Publish

			if found, ok := current.findPublish(id); ok {
				result.Outcome, result.Publish = Accepted, found

				return result, end.Epoch
			}
		}

		if !task.Sleep(ctx, retryDelay) {
			return result, end.Epoch
		}
	}
}

// findPublish returns the publish with an identifier, from the newest one and the earlier ones.
func (p Published) findPublish(id string) (Publish, bool) {
	if p.ID == id {
		return p.Publish, true
	}

	for _, earlier := range p.Earlier {
		if earlier.ID == id {
			return earlier, true
		}
	}

	return Publish{}, false
}
