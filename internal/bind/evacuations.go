package bind

import (
	"context"
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/platform"
)

// Evacuations reads and writes the records that evacuate failure domains, in the topic of the manifests that the
// project's own command publishes.
type Evacuations struct{ store *platform.Store }

// NewEvacuations returns the evacuations in a store.
func NewEvacuations(store *platform.Store) Evacuations { return Evacuations{store: store} }

// Evacuated returns the evacuated domains in alphabetical order.
func (e Evacuations) Evacuated(ctx context.Context) ([]string, error) {
	page, err := e.store.Topic(platform.ManifestTopic).Newest(ctx)
	if err != nil {
		return nil, err
	}

	var domains []string

	for _, record := range page.Records {
		if domain, ok := platform.EvacuatedDomain(record.Key); ok && len(record.Value) > 0 {
			domains = append(domains, domain)
		}
	}

	slices.Sort(domains)

	return domains, nil
}

// Set evacuates a domain or ends its evacuation. After an error that is not store.ErrRejected, the record may have been
// written.
func (e Evacuations) Set(ctx context.Context, domain string, evacuated bool) error {
	record := store.Record{Key: platform.EvacuationKey(domain)}
	if evacuated {
		record.Value = []byte(platform.EvacuationValue)
	}

	return e.store.Topic(platform.ManifestTopic).Append(ctx, record)
}

// Known reports whether the fleet has an instance in a domain. It ignores entries that are malformed.
func (e Evacuations) Known(ctx context.Context, domain string) (bool, error) {
	page, err := e.store.Topic(platform.MembersTopic).Newest(ctx)

	return slices.ContainsFunc(page.Records, func(record store.Record) bool {
		entry, err := membership.DecodeEntry(record.Value)

		return err == nil && entry.Member.Place.Domain == domain
	}), err
}
