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
	Newest(ctx context.Context) (store.Page, error)
	// AppendAt adds records if the topic ends at an offset, else it returns store.ErrConflict.
	AppendAt(ctx context.Context, end int64, records ...store.Record) error
}

// Outcome is what became of a publish.
type Outcome uint8

const (
	// Unknown publishes may still take effect.
	Unknown Outcome = iota
	// Accepted publishes made a version.
	Accepted
	// Rejected publishes made none and never will.
	Rejected
)

// Result is the outcome of a publish.
type Result struct {
	Outcome Outcome
	Publish Publish
	// Current is the newest publish.
	Current Publish
}

// ErrNoManifest is returned if no manifest was published yet.
var ErrNoManifest = errors.New("no manifest is published")

const (
	// retryPause is the time between two tries.
	retryPause = 200 * time.Millisecond
	// maxAppendDelay is how long after a call without a response the store may still perform it.
	maxAppendDelay = 8 * time.Second
)

// Publisher publishes manifests.
type Publisher struct {
	log     Log
	timeout time.Duration
}

// NewPublisher returns a publisher that tries for the given time.
func NewPublisher(log Log, wait time.Duration) *Publisher {
	return &Publisher{log: log, timeout: wait}
}

// Current returns the newest manifest. It returns ErrNoManifest if there is none.
func (p *Publisher) Current(ctx context.Context) (Published, error) {
	current, _, err := p.read(ctx)

	return current, err
}

func (p *Publisher) read(ctx context.Context) (Published, int64, error) {
	page, err := p.log.Newest(ctx)
	if err != nil {
		return Published{}, 0, errors.Wrap(err, "log service is unavailable: read current manifest")
	}

	for _, record := range page.Records {
		if record.Key == Key {
			current, err := DecodeRecord(record.Value)

			return current, page.End, err
		}
	}

	return Published{}, page.End, ErrNoManifest
}

// Publish makes the next version of a manifest. If base is not nil, the version that it names has to be current.
// An error means that nothing was published.
func (p *Publisher) Publish(ctx context.Context, text string, base *uint64) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()

	id := uuid.NewString()

	for {
		current, end, err := p.read(ctx)
		if err != nil && !errors.Is(err, ErrNoManifest) {
			if task.Sleep(ctx, retryPause) {
				continue
			}

			return Result{}, err
		}

		if base != nil && *base != current.Version {
			return Result{Outcome: Rejected, Publish: Publish{ID: id}, Current: current.Publish}, nil
		}

		next := current.next(id, text)

		err = p.log.AppendAt(ctx, end, encode(next))

		switch {
		case err == nil:
			return Result{Outcome: Accepted, Publish: next.Publish, Current: next.Publish}, nil
		case errors.Is(err, store.ErrConflict):
			// Another publisher was first.
			continue
		case errors.Is(err, store.ErrRejected):
			if task.Sleep(ctx, retryPause) {
				continue
			}

			return Result{}, errors.Wrap(err, "publish")
		default:
			return p.Resolve(context.WithoutCancel(ctx), id)
		}
	}
}

func (p Published) next(id, text string) Published {
	next := Published{Publish: Publish{ID: id, Version: p.Version + 1}, Manifest: text}

	if p.ID != "" {
		next.Earlier = append([]Publish{p.Publish}, p.Earlier...)
		next.Earlier = next.Earlier[:min(len(next.Earlier), maxEarlierPublishes)]
	}

	return next
}

// Resolve finds the outcome of a publish whose answer was lost. It is Unknown if the store cannot be read, or if
// the publish is not there and may still come.
func (p *Publisher) Resolve(ctx context.Context, id string) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, max(p.timeout, maxAppendDelay))
	defer cancel()

	result := Result{Publish: Publish{ID: id}}

	for {
		current, _, err := p.read(ctx)
		if err == nil {
			result.Current = current.Publish

			if found, ok := current.findPublish(id); ok {
				result.Outcome, result.Publish = Accepted, found

				return result, nil
			}
		}

		if !task.Sleep(ctx, retryPause) {
			return result, nil
		}
	}
}

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
