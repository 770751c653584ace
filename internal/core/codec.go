package core

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
	"github.com/tarragonmill/tarragonmill/internal/membership"
)

// errNoBase is returned if a base offered by a peer is not one.
var errNoBase = errors.New("record holds no base")

func decodeGrants(e logrelay.Deliver) keys.RecordsRead {
	read := keys.RecordsRead{First: e.First, Next: e.Next, Records: make([]keys.Entry, 0, len(e.Records))}

	for _, r := range e.Records {
		// A record that cannot be decoded counts as empty: every reader treats it in the same way.
		decoded, err := logservice.DecodeGrants(r.Data)
		if err != nil {
			decoded = keys.Record{}
		}

		read.Records = append(read.Records, keys.Entry{Offset: r.Offset, Record: decoded})
	}

	return read
}

func decodeContacts(e logrelay.Deliver) membership.ContactsRead {
	var read membership.ContactsRead

	for _, r := range e.Records {
		contact, err := record.DecodeContact(r.Data)
		if err != nil {
			continue
		}

		for _, text := range contact.Peers {
			if peer, err := netip.ParseAddrPort(text); err == nil {
				read.Peers = append(read.Peers, peer)
			}
		}
	}

	return read
}

// The base of the stream "config" is passed between daemons as a snapshot record.
func encodeConfigBase(base config.Base) []byte {
	return record.EncodeConfig(record.Snapshot{
		Version: base.Version, Through: base.Through, Manifest: base.Manifest, ID: base.ID,
	})
}

func decodeConfigBase(data []byte) (config.Base, error) {
	decoded, err := record.DecodeConfig(data)
	if err != nil {
		return config.Base{}, errors.Wrap(err, "decode base of the configuration")
	}

	snapshot, ok := decoded.(record.Snapshot)
	if !ok {
		return config.Base{}, errNoBase
	}

	return config.Base{
		Version: snapshot.Version, Through: snapshot.Through, Manifest: snapshot.Manifest, ID: snapshot.ID,
	}, nil
}

// The base of the stream "grants" is passed between daemons as a record that holds only a base.
func encodeGrantBase(base keys.Base) ([]byte, error) {
	data, err := logservice.EncodeGrants(keys.Record{Base: &base})

	return data, errors.Wrap(err, "encode base of the grants")
}

func decodeGrantBase(data []byte) (keys.Base, error) {
	decoded, err := logservice.DecodeGrants(data)
	if err != nil {
		return keys.Base{}, errors.Wrap(err, "decode base of the grants")
	}

	if decoded.Base == nil {
		return keys.Base{}, errNoBase
	}

	return *decoded.Base, nil
}
