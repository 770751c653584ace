// Package config publishes manifests to a topic of the platform's store and decodes them.
//
// The topic keeps the newest manifest. A publisher reads it and appends the next version on the condition that
// nothing was appended since. If two publishers append to the same version, the store accepts only one of them. Each
// publish has an identifier. If the response to an append is lost, the publisher reads the topic and looks for its
// identifier to find the outcome.
//
// A version is never given out twice, also if the store comes back from an older copy that lacks versions: if it has ever
// come back, the upper half of a version is the epoch of the store, and the lower half the offset of the record.
package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Key is the key of the manifest in its topic.
const Key = "manifest"

// maxEarlierPublishes is the maximum number of earlier publishes in a record. With them, a publisher finds its
// outcome after others have published.
const maxEarlierPublishes = 32

// Publish identifies a publish, the act of making a manifest the newest one.
type Publish struct {
	ID string
	// Version is the version of the manifest that the publish created; 0 if it created none.
	Version uint64
}

// Published is the content of a record: a manifest with the publish that created it.
type Published struct {
	Publish
	// Manifest is the text of the manifest in the INI form.
	Manifest string
	// Earlier holds earlier publishes, the latest first.
	Earlier []Publish
}

// wirePublish is the form of a Publish in the store.
type wirePublish struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// wireRecord is the form of a record in the store.
type wireRecord struct {
	wirePublish
	Manifest string        `json:"manifest"`
	Earlier  []wirePublish `json:"earlier,omitempty"`
}

func encode(p Published) store.Record {
	wire := wireRecord{wirePublish: wirePublish(p.Publish), Manifest: p.Manifest}
	for _, earlier := range p.Earlier {
		wire.Earlier = append(wire.Earlier, wirePublish(earlier))
	}

	// Encoding a struct of strings and numbers cannot fail.
	data, _ := json.Marshal(wire)

	return store.Record{Key: Key, Value: data}
}

// DecodeRecord decodes a record. It returns an error if the record is malformed; it does not parse the manifest.
func DecodeRecord(data []byte) (Published, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return Published{}, errors.Wrap(err, "decode publish record")
	}

	p := Published{Publish: Publish(wire.wirePublish), Manifest: wire.Manifest}
	for _, earlier := range wire.Earlier {
		p.Earlier = append(p.Earlier, Publish(earlier))
	}

	return p, nil
}

// Decode returns the version and the manifest of a record. It returns an error if the record is malformed or the
// manifest is invalid.
func Decode(data []byte) (uint64, manifest.Manifest, error) {
	p, err := DecodeRecord(data)
	if err != nil {
		return 0, manifest.Manifest{}, err
	}

	m, err := manifest.Parse("published manifest", []byte(p.Manifest))

	return p.Version, m, err
}
