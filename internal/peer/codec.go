package peer

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/peer/peerpb"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
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

func encodeThrough(t Through) *peerpb.Through {
	return &peerpb.Through{Stream: t.Stream, Offset: t.Offset}
}

func decodeThrough(t *peerpb.Through) Through {
	return Through{Stream: t.GetStream(), Offset: t.GetOffset()}
}

func encodeSuspect(s Suspect) *peerpb.Suspect {
	return &peerpb.Suspect{
		Key:         s.Key,
		Fingerprint: uint64(s.Fingerprint),
		Crashes:     uint32(max(s.Crashes, 0)),
		Expires:     encodeTime(s.Expires),
		Cleared:     s.Cleared,
		Source:      s.Source,
	}
}

func decodeSuspect(s *peerpb.Suspect) Suspect {
	return Suspect{
		Key:         s.GetKey(),
		Fingerprint: request.Fingerprint(s.GetFingerprint()),
		Crashes:     int(s.GetCrashes()),
		Expires:     decodeTime(s.GetExpires()),
		Cleared:     s.GetCleared(),
		Source:      s.GetSource(),
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

func encodeRecords(r Records) *peerpb.RecordsResponse {
	return &peerpb.RecordsResponse{
		Records: mapAll(r.Records, func(record Record) *peerpb.Record {
			return &peerpb.Record{Offset: record.Offset, Data: record.Data}
		}),
		Base:    r.Base,
		Through: r.Through,
	}
}

func decodeRecords(m *peerpb.RecordsResponse) Records {
	return Records{
		Records: mapAll(m.GetRecords(), func(record *peerpb.Record) Record {
			return Record{Offset: record.GetOffset(), Data: record.GetData()}
		}),
		Base:    m.GetBase(),
		Through: m.GetThrough(),
	}
}

func encodeHandover(h Handover) *peerpb.HandoverRequest {
	return &peerpb.HandoverRequest{
		Service:     h.Service,
		From:        string(h.From),
		Incarnation: uint64(h.Incarnation),
		Partitions:  mapAll(h.Partitions, func(p int) uint32 { return uint32(max(p, 0)) }),
		Entries:     mapAll(h.Entries, encodeKeyEntry),
		Complete:    h.Complete,
	}
}

func decodeHandover(m *peerpb.HandoverRequest) (Handover, error) {
	entries, err := mapChecked(m.GetEntries(), decodeKeyEntry)
	if err != nil {
		return Handover{}, err
	}

	return Handover{
		Service:     m.GetService(),
		From:        instance.ID(m.GetFrom()),
		Incarnation: instance.Incarnation(m.GetIncarnation()),
		Partitions:  mapAll(m.GetPartitions(), func(p uint32) int { return int(p) }),
		Entries:     entries,
		Complete:    m.GetComplete(),
	}, nil
}

func encodeKeyEntry(e KeyEntry) *peerpb.KeyEntry {
	return &peerpb.KeyEntry{
		Key:         e.Key,
		Fingerprint: uint64(e.Fingerprint),
		Verdict:     uint32(e.Verdict),
		Running:     e.Running,
		Stored:      e.Stored,
		Status:      uint32(max(e.Status, 0)),
		Headers: mapAll(e.Headers, func(h Header) *peerpb.Header {
			return &peerpb.Header{Name: h.Name, Value: h.Value}
		}),
		Body:    e.Body,
		Expires: encodeTime(e.Expires),
	}
}

func decodeKeyEntry(m *peerpb.KeyEntry) (KeyEntry, error) {
	if m.GetKey() == "" || m.GetVerdict() > uint32(verdict.Answered) {
		return KeyEntry{}, errors.Wrapf(ErrInvalid, "key %q, verdict %d", m.GetKey(), m.GetVerdict())
	}

	return KeyEntry{
		Key:         m.GetKey(),
		Fingerprint: request.Fingerprint(m.GetFingerprint()),
		Verdict:     verdict.Verdict(m.GetVerdict()),
		Running:     m.GetRunning(),
		Stored:      m.GetStored(),
		Status:      int(m.GetStatus()),
		Headers: mapAll(m.GetHeaders(), func(h *peerpb.Header) Header {
			return Header{Name: h.GetName(), Value: h.GetValue()}
		}),
		Body:    m.GetBody(),
		Expires: decodeTime(m.GetExpires()),
	}, nil
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
