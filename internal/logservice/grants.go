// Package logservice is the client of the platform's log service and holds the codecs of its records.
package logservice

import (
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/logservice/recordpb"
)

// ErrGrantRecord is the cause of each error of DecodeGrants.
var ErrGrantRecord = errors.New("malformed grant record")

// EncodeGrants returns the bytes of a record of the stream "grants". Equal records give equal bytes.
func EncodeGrants(record keys.Record) ([]byte, error) {
	message := &recordpb.GrantRecord{Claims: encodeClaims(record.Claims)}

	for _, e := range record.Extensions {
		message.Extensions = append(message.Extensions, &recordpb.Extension{
			Owner: validText(string(e.Owner)), Incarnation: uint64(e.Incarnation), Until: e.Until,
			Partitions: encodePartitions(e.Partitions),
		})
	}

	for _, s := range record.Signoffs {
		message.Signoffs = append(message.Signoffs, &recordpb.Signoff{
			Owner: validText(string(s.Owner)), Incarnation: uint64(s.Incarnation), End: s.End,
		})
	}

	if b := record.Base; b != nil {
		message.Base = &recordpb.GrantBase{Through: b.Through, Grants: encodeClaims(b.Grants)}
	}

	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)

	return data, errors.Wrap(err, "encode grant record")
}

// DecodeGrants reads a record of the stream "grants". Its errors have ErrGrantRecord as a cause; the
// reader then passes an empty record to the reducer, as every other reader does. Values that make no
// sense, like a partition that does not exist, are ignored by the reducer.
func DecodeGrants(data []byte) (keys.Record, error) {
	message := &recordpb.GrantRecord{}
	if err := proto.Unmarshal(data, message); err != nil {
		return keys.Record{}, errors.Wrapf(ErrGrantRecord, "%v", err)
	}

	record := keys.Record{Claims: decodeClaims(message.GetClaims())}

	for _, e := range message.GetExtensions() {
		record.Extensions = append(record.Extensions, keys.Extension{
			Owner: instance.ID(e.GetOwner()), Incarnation: instance.Incarnation(e.GetIncarnation()), Until: e.GetUntil(),
			Partitions: decodePartitions(e.GetPartitions()),
		})
	}

	for _, s := range message.GetSignoffs() {
		record.Signoffs = append(record.Signoffs, keys.Signoff{
			Owner: instance.ID(s.GetOwner()), Incarnation: instance.Incarnation(s.GetIncarnation()), End: s.GetEnd(),
		})
	}

	if b := message.GetBase(); b != nil {
		record.Base = &keys.Base{Through: b.GetThrough(), Grants: decodeClaims(b.GetGrants())}
	}

	return record, nil
}

func encodeClaims(claims []keys.Claim) []*recordpb.Claim {
	encoded := make([]*recordpb.Claim, 0, len(claims))

	for _, c := range claims {
		partitions := make([]uint32, 0, len(c.Partitions))
		for _, p := range c.Partitions {
			partitions = append(partitions, uint32(p))
		}

		encoded = append(encoded, &recordpb.Claim{
			Service: validText(c.Service), Partitions: partitions, Owner: validText(string(c.Owner)),
			Incarnation: uint64(c.Incarnation), From: c.From, Until: c.Until, Ended: c.Ended,
		})
	}

	return encoded
}

func decodeClaims(claims []*recordpb.Claim) []keys.Claim {
	if len(claims) == 0 {
		return nil
	}

	decoded := make([]keys.Claim, 0, len(claims))

	for _, c := range claims {
		var partitions []int
		for _, p := range c.GetPartitions() {
			partitions = append(partitions, int(p))
		}

		decoded = append(decoded, keys.Claim{
			Service: c.GetService(), Partitions: partitions, Owner: instance.ID(c.GetOwner()),
			Incarnation: instance.Incarnation(c.GetIncarnation()), From: c.GetFrom(), Until: c.GetUntil(), Ended: c.GetEnded(),
		})
	}

	return decoded
}

// validText replaces bytes that a protobuf string cannot hold, so that they cannot make a whole record
// of a combiner unreadable.
func validText(text string) string { return strings.ToValidUTF8(text, "\uFFFD") }

func encodePartitions(partitions []int) []uint32 {
	encoded := make([]uint32, 0, len(partitions))
	for _, p := range partitions {
		encoded = append(encoded, uint32(max(p, 0)))
	}

	return encoded
}

func decodePartitions(partitions []uint32) []int {
	if len(partitions) == 0 {
		return nil
	}

	decoded := make([]int, 0, len(partitions))
	for _, p := range partitions {
		decoded = append(decoded, int(p))
	}

	return decoded
}
