// Package config publishes manifests in the platform's store and reads them there.
//
// The topic keeps the newest manifest. A publisher reads it and adds the next version on the condition that
// nothing was added since; of two publishers on one version, the store accepts one. If the answer to an append
// is lost, the outcome is found by reading the identifier back.
package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Key is the key of the manifest in its topic.
const Key = "manifest"

// maxEarlierPublishes is the number of earlier publishes that a record names, for publishers that ask late.
const maxEarlierPublishes = 32

// Publish identifies one publish and the version that it made.
type Publish struct {
	ID      string
	Version uint64
}

// Published is the content of a record.
type Published struct {
	Publish
	// Manifest is in the INI form.
	Manifest string
	// Earlier publishes, the latest first.
	Earlier []Publish
}

// wirePublish and wireRecord are the form of a record in the store.
type wirePublish struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

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

	// A struct of texts and numbers can always be encoded.
	data, _ := json.Marshal(wire)

	return store.Record{Key: Key, Value: data}
}

// DecodeRecord reads a record.
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

// Decode reads the version and manifest of a record.
func Decode(data []byte) (uint64, manifest.Manifest, error) {
	p, err := DecodeRecord(data)
	if err != nil {
		return 0, manifest.Manifest{}, err
	}

	m, err := manifest.Parse("published manifest", []byte(p.Manifest))

	return p.Version, m, err
}
