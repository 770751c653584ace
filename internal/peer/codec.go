package peer

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/peer/peerpb"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// ErrInvalid is returned for a message whose fields are out of range.
var ErrInvalid = errors.New("invalid peer message")

// mapAll applies a mapping to each element; it returns nil for none.
func mapAll[A, B any](values []A, convert func(A) B) []B {
	if len(values) == 0 {
		return nil
	}

	mapped := make([]B, len(values))
	for i, value := range values {
		mapped[i] = convert(value)
	}

	return mapped
}

// mapChecked applies a mapping to each element and stops at the first error.
func mapChecked[A, B any](values []A, convert func(A) (B, error)) ([]B, error) {
	if len(values) == 0 {
		return nil, nil
	}

	mapped := make([]B, len(values))

	for i, value := range values {
		var err error
		if mapped[i], err = convert(value); err != nil {
			return nil, errors.Wrapf(err, "element %d", i)
		}
	}

	return mapped, nil
}

// The zero time has no nanoseconds since the epoch; it is encoded as zero.
func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}

	return t.UnixNano()
}

func decodeTime(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}

	return time.Unix(0, nanos).UTC()
}

func encodeMember(m instance.Member) *peerpb.Member {
	encoded := &peerpb.Member{
		Id:          string(m.ID),
		Incarnation: uint64(m.Incarnation),
		Counter:     m.Counter,
		Status:      uint32(m.Status),
		Service:     m.Service,
		Region:      m.Place.Region,
		Domain:      m.Place.Domain,
		Slots:       uint32(max(m.Slots, 0)),
		Started:     encodeTime(m.Started),
	}

	if m.Peer.IsValid() {
		encoded.Peer = m.Peer.String()
	}

	return encoded
}

func decodeMember(m *peerpb.Member) (instance.Member, error) {
	if m.GetId() == "" || m.GetStatus() > uint32(instance.Left) {
		return instance.Member{}, errors.Wrapf(ErrInvalid, "member %q, status %d", m.GetId(), m.GetStatus())
	}

	decoded := instance.Member{
		ID:          instance.ID(m.GetId()),
		Incarnation: instance.Incarnation(m.GetIncarnation()),
		Counter:     m.GetCounter(),
		Status:      instance.Status(m.GetStatus()),
		Service:     m.GetService(),
		Place:       instance.Place{Region: m.GetRegion(), Domain: m.GetDomain()},
		Slots:       int(m.GetSlots()),
		Started:     decodeTime(m.GetStarted()),
	}

	if m.GetPeer() != "" {
		address, err := netip.ParseAddrPort(m.GetPeer())
		if err != nil {
			return instance.Member{}, errors.Wrapf(ErrInvalid, "member %q: %v", m.GetId(), err)
		}

		decoded.Peer = address
	}

	return decoded, nil
}

func encodeThrough(t logrelay.Through) *peerpb.Through {
	return &peerpb.Through{Stream: t.Stream, Offset: t.Offset, Age: int64(t.Age)}
}

func decodeThrough(t *peerpb.Through) logrelay.Through {
	return logrelay.Through{Stream: t.GetStream(), Offset: t.GetOffset(), Age: time.Duration(t.GetAge())}
}

func encodeSuspect(r suspects.Report) *peerpb.Suspect {
	return &peerpb.Suspect{
		Service:     r.Service,
		Fingerprint: uint64(r.Fingerprint),
		Source:      r.Source,
		Alone:       r.Alone,
		Cleared:     r.Cleared,
		Expires:     encodeTime(r.Expires),
	}
}

func decodeSuspect(s *peerpb.Suspect) suspects.Report {
	return suspects.Report{
		Service:     s.GetService(),
		Fingerprint: request.Fingerprint(s.GetFingerprint()),
		Source:      s.GetSource(),
		Alone:       s.GetAlone(),
		Cleared:     s.GetCleared(),
		Expires:     decodeTime(s.GetExpires()),
	}
}

func encodeExchangeRequest(e Exchange) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{
		From:        string(e.From),
		Incarnation: uint64(e.Incarnation),
		Members:     mapAll(e.Members, encodeMember),
		Throughs:    mapAll(e.Throughs, encodeThrough),
		Suspects:    mapAll(e.Suspects, encodeSuspect),
		Digest:      e.Digest,
		Seq:         e.Seq,
		Ack:         e.Ack,
	}
}

func encodeExchangeResponse(e Exchange) *peerpb.ExchangeResponse {
	return &peerpb.ExchangeResponse{
		From:        string(e.From),
		Incarnation: uint64(e.Incarnation),
		Members:     mapAll(e.Members, encodeMember),
		Throughs:    mapAll(e.Throughs, encodeThrough),
		Suspects:    mapAll(e.Suspects, encodeSuspect),
		Digest:      e.Digest,
		Seq:         e.Seq,
		Ack:         e.Ack,
	}
}

// exchangeMessage is what the request and the response of an exchange have in common.
type exchangeMessage interface {
	GetFrom() string
	GetIncarnation() uint64
	GetMembers() []*peerpb.Member
	GetThroughs() []*peerpb.Through
	GetSuspects() []*peerpb.Suspect
	GetDigest() uint64
	GetSeq() uint64
	GetAck() uint64
}

func decodeExchange(m exchangeMessage) (Exchange, error) {
	members, err := mapChecked(m.GetMembers(), decodeMember)
	if err != nil {
		return Exchange{}, err
	}

	return Exchange{
		From:        instance.ID(m.GetFrom()),
		Incarnation: instance.Incarnation(m.GetIncarnation()),
		Members:     members,
		Throughs:    mapAll(m.GetThroughs(), decodeThrough),
		Suspects:    mapAll(m.GetSuspects(), decodeSuspect),
		Digest:      m.GetDigest(),
		Seq:         m.GetSeq(),
		Ack:         m.GetAck(),
	}, nil
}

// maxPage bounds the page size that a caller may ask for.
const maxPage = 1024

func decodePageRequest(m *peerpb.MembersRequest) PageRequest {
	return PageRequest{
		From:  instance.ID(m.GetFrom()),
		After: instance.ID(m.GetAfter()),
		Limit: int(min(m.GetLimit(), maxPage)),
	}
}

func encodePageRequest(r PageRequest) *peerpb.MembersRequest {
	return &peerpb.MembersRequest{
		From: string(r.From), After: string(r.After), Limit: uint32(min(max(r.Limit, 0), maxPage)),
	}
}

func encodePage(p Page) *peerpb.MembersResponse {
	return &peerpb.MembersResponse{Members: mapAll(p.Members, encodeMember), More: p.More, Busy: p.Busy}
}

func decodePage(m *peerpb.MembersResponse) (Page, error) {
	members, err := mapChecked(m.GetMembers(), decodeMember)

	return Page{Members: members, More: m.GetMore(), Busy: m.GetBusy()}, err
}

func encodeRecords(page logrelay.Page) *peerpb.RecordsResponse {
	return &peerpb.RecordsResponse{
		Records: mapAll(page.Records, func(record logservice.Record) *peerpb.Record {
			return &peerpb.Record{Offset: record.Offset, Data: record.Data}
		}),
		Base:    page.Base,
		Through: page.Through,
	}
}

func decodeRecords(m *peerpb.RecordsResponse) logrelay.Page {
	return logrelay.Page{
		Records: mapAll(m.GetRecords(), func(record *peerpb.Record) logservice.Record {
			return logservice.Record{Offset: record.GetOffset(), Data: record.GetData()}
		}),
		Base:    m.GetBase(),
		Through: m.GetThrough(),
	}
}

func encodeHandover(h keys.Handover) *peerpb.HandoverRequest {
	return &peerpb.HandoverRequest{
		Service:     h.Service,
		From:        string(h.From),
		Incarnation: uint64(h.Incarnation),
		Partitions:  mapAll(h.Partitions, func(p int) uint32 { return uint32(max(p, 0)) }),
		Floor:       h.Floor,
		End:         h.End,
		Round:       uint32(max(h.Round, 0)),
		Chunk:       uint32(max(h.Chunk, 0)),
		Chunks:      uint32(max(h.Chunks, 0)),
		Entries:     mapAll(h.Entries, encodeKeyEntry),
	}
}

func decodeHandover(m *peerpb.HandoverRequest) (keys.Handover, error) {
	entries, err := mapChecked(m.GetEntries(), decodeKeyEntry)
	if err != nil {
		return keys.Handover{}, err
	}

	return keys.Handover{
		Service:     m.GetService(),
		From:        instance.ID(m.GetFrom()),
		Incarnation: instance.Incarnation(m.GetIncarnation()),
		Partitions:  mapAll(m.GetPartitions(), func(p uint32) int { return int(p) }),
		Floor:       m.GetFloor(),
		End:         m.GetEnd(),
		Round:       int(m.GetRound()),
		Chunk:       int(m.GetChunk()),
		Chunks:      int(m.GetChunks()),
		Entries:     entries,
	}, nil
}

func encodeKeyEntry(e keys.KeyEntry) *peerpb.KeyEntry {
	encoded := &peerpb.KeyEntry{Key: e.Key[:], Fingerprint: uint64(e.Fingerprint), State: uint32(e.State)}
	if e.Response != nil {
		encoded.Stored = true
		encoded.Status = uint32(max(e.Response.Status, 0))
		encoded.Body = e.Response.Body
		encoded.Headers = mapAll(e.Response.Header, func(f keys.Field) *peerpb.Header {
			return &peerpb.Header{Name: f.Name, Value: f.Value}
		})
	}

	return encoded
}

func decodeKeyEntry(m *peerpb.KeyEntry) (keys.KeyEntry, error) {
	key, err := uuid.FromBytes(m.GetKey())
	if err != nil || m.GetState() > uint32(keys.StateAnswered) {
		return keys.KeyEntry{}, errors.Wrapf(ErrInvalid, "key %x, state %d", m.GetKey(), m.GetState())
	}

	decoded := keys.KeyEntry{
		Key: key, Fingerprint: request.Fingerprint(m.GetFingerprint()), State: keys.EntryState(m.GetState()),
	}
	if m.GetStored() {
		decoded.Response = &keys.Response{
			Status: int(m.GetStatus()),
			Body:   m.GetBody(),
			Header: mapAll(m.GetHeaders(), func(h *peerpb.Header) keys.Field {
				return keys.Field{Name: h.GetName(), Value: h.GetValue()}
			}),
		}
	}

	return decoded, nil
}

func encodeHint(h load.Hint) *peerpb.ProbeResponse {
	return &peerpb.ProbeResponse{
		Inflight: uint32(max(h.InFlight, 0)),
		Queue:    uint32(max(h.Queue, 0)),
		Limit:    uint32(max(h.Limit, 0)),
		Latency:  int64(h.Latency),
		Draining: h.Draining,
	}
}

func decodeHint(m *peerpb.ProbeResponse) load.Hint {
	return load.Hint{
		InFlight: int(m.GetInflight()),
		Queue:    int(m.GetQueue()),
		Limit:    int(m.GetLimit()),
		Latency:  time.Duration(m.GetLatency()),
		Draining: m.GetDraining(),
	}
}
