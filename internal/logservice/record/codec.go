package record

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmill/tarragonmill/internal/logservice/recordpb"
)

// ErrMalformed is the cause of every decoding error.
var ErrMalformed = errors.New("malformed record")

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

// valid replaces bytes that protobuf strings cannot hold.
func valid(s string) string { return strings.ToValidUTF8(s, "\uFFFD") }
