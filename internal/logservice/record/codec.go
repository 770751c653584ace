package record

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmill/tarragonmill/internal/logservice/recordpb"
)

// ErrMalformed is the cause of every decoding error.
var ErrMalformed = errors.New("malformed record")

// maxPartition bounds partition numbers; a service has 16 partitions today.
const maxPartition = 1 << 16

// deterministic makes equal records equal bytes, by which an append is recognized when read back.
var deterministic = proto.MarshalOptions{Deterministic: true}

func encode(message proto.Message) []byte {
	data, err := deterministic.Marshal(message)
	if err != nil {
		// Only invalid UTF-8 in a string field fails; encoders replace it before.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a record"))
	}

	return data
}

func decode(data []byte, message proto.Message) error {
	if err := proto.Unmarshal(data, message); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}

	return nil
}

// EncodeConfig returns the bytes of a record of the stream "config".
func EncodeConfig(config Config) []byte {
	message := &recordpb.ConfigRecord{}

	switch r := config.(type) {
	case Publish:
		message.Kind = &recordpb.ConfigRecord_Publish{Publish: &recordpb.Publish{
			Id: valid(r.ID), Base: r.Base, Packed: pack(r.Manifest),
		}}
	case Snapshot:
		message.Kind = &recordpb.ConfigRecord_Snapshot{Snapshot: &recordpb.Snapshot{
			Version: r.Version, Through: r.Through, Packed: pack(r.Manifest), Id: valid(r.ID),
		}}
	}

	return encode(message)
}

// DecodeConfig reads a record of the stream "config". Its errors have ErrMalformed as a cause.
func DecodeConfig(data []byte) (Config, error) {
	message := &recordpb.ConfigRecord{}
	if err := decode(data, message); err != nil {
		return nil, err
	}

	switch kind := message.GetKind().(type) {
	case *recordpb.ConfigRecord_Publish:
		p := kind.Publish
		if p.GetId() == "" {
			return nil, errors.Wrap(ErrMalformed, "publish without identifier")
		}

		manifest, err := unpack(p.GetManifest(), p.GetPacked())
		if err != nil {
			return nil, err
		}

		return Publish{ID: p.GetId(), Base: p.GetBase(), Manifest: manifest}, nil
	case *recordpb.ConfigRecord_Snapshot:
		s := kind.Snapshot

		manifest, err := unpack(s.GetManifest(), s.GetPacked())
		if err != nil {
			return nil, err
		}

		return Snapshot{Version: s.GetVersion(), Through: s.GetThrough(), Manifest: manifest, ID: s.GetId()}, nil
	default:
		return nil, errors.Wrap(ErrMalformed, "unknown kind of configuration record")
	}
}

// EncodeGrants returns the bytes of a record of the stream "grants".
func EncodeGrants(grants Grants) []byte {
	message := &recordpb.GrantRecord{Claims: encodeClaims(grants.Claims)}
	for _, e := range grants.Extensions {
		message.Extensions = append(message.Extensions, &recordpb.Extension{
			Owner: valid(e.Owner), Incarnation: e.Incarnation, Until: e.Until.UnixMilli(),
		})
	}

	for _, s := range grants.Signoffs {
		message.Signoffs = append(message.Signoffs, &recordpb.Signoff{
			Owner: valid(s.Owner), Incarnation: s.Incarnation, End: s.End.UnixMilli(),
		})
	}

	if grants.Base != nil {
		message.Base = &recordpb.GrantBase{
			Through: grants.Base.Through, Grants: encodeClaims(grants.Base.Grants),
		}
	}

	return encode(message)
}

// DecodeGrants reads a record of the stream "grants". Its errors have ErrMalformed as a cause.
func DecodeGrants(data []byte) (Grants, error) {
	message := &recordpb.GrantRecord{}
	if err := decode(data, message); err != nil {
		return Grants{}, err
	}

	var (
		grants Grants
		err    error
	)

	if grants.Claims, err = decodeClaims(message.GetClaims()); err != nil {
		return Grants{}, err
	}

	for _, e := range message.GetExtensions() {
		if e.GetOwner() == "" {
			return Grants{}, errors.Wrap(ErrMalformed, "extension without owner")
		}

		grants.Extensions = append(grants.Extensions, Extension{
			Owner: e.GetOwner(), Incarnation: e.GetIncarnation(), Until: milli(e.GetUntil()),
		})
	}

	for _, s := range message.GetSignoffs() {
		if s.GetOwner() == "" {
			return Grants{}, errors.Wrap(ErrMalformed, "sign-off without owner")
		}

		grants.Signoffs = append(grants.Signoffs, Signoff{
			Owner: s.GetOwner(), Incarnation: s.GetIncarnation(), End: milli(s.GetEnd()),
		})
	}

	if base := message.GetBase(); base != nil {
		claims, err := decodeClaims(base.GetGrants())
		if err != nil {
			return Grants{}, err
		}

		grants.Base = &GrantBase{Through: base.GetThrough(), Grants: claims}
	}

	return grants, nil
}

func encodeClaims(claims []Claim) []*recordpb.Claim {
	out := make([]*recordpb.Claim, 0, len(claims))
	for _, c := range claims {
		out = append(out, &recordpb.Claim{
			Service: valid(c.Service), Partitions: c.Partitions, Owner: valid(c.Owner), Incarnation: c.Incarnation,
			From: c.From.UnixMilli(), Until: c.Until.UnixMilli(),
		})
	}

	return out
}

func decodeClaims(claims []*recordpb.Claim) ([]Claim, error) {
	var out []Claim

	for _, c := range claims {
		if c.GetOwner() == "" || c.GetService() == "" {
			return nil, errors.Wrap(ErrMalformed, "claim without owner or service")
		}

		if c.GetFrom() > c.GetUntil() {
			return nil, errors.Wrapf(ErrMalformed, "claim of %q ends before it starts", c.GetOwner())
		}

		for _, partition := range c.GetPartitions() {
			if partition >= maxPartition {
				return nil, errors.Wrapf(ErrMalformed, "claim of %q: partition %d", c.GetOwner(), partition)
			}
		}

		out = append(out, Claim{
			Service: c.GetService(), Partitions: c.GetPartitions(), Owner: c.GetOwner(),
			Incarnation: c.GetIncarnation(), From: milli(c.GetFrom()), Until: milli(c.GetUntil()),
		})
	}

	return out, nil
}

// EncodeContact returns the bytes of a record of the stream "members".
func EncodeContact(contact Contact) []byte {
	message := &recordpb.ContactRecord{Domain: valid(contact.Domain)}
	for _, peer := range contact.Peers {
		message.Peers = append(message.Peers, valid(peer))
	}

	return encode(message)
}

// DecodeContact reads a record of the stream "members". Its errors have ErrMalformed as a cause.
func DecodeContact(data []byte) (Contact, error) {
	message := &recordpb.ContactRecord{}
	if err := decode(data, message); err != nil {
		return Contact{}, err
	}

	return Contact{Domain: message.GetDomain(), Peers: message.GetPeers()}, nil
}

// milli converts Unix milliseconds, the resolution of a UUIDv7.
func milli(ms int64) time.Time { return time.UnixMilli(ms).UTC() }

// valid replaces bytes that protobuf strings cannot hold.
func valid(s string) string { return strings.ToValidUTF8(s, "\uFFFD") }
