package membership

import (
	"encoding/json"
	"math"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// errBadBeat is returned for a datagram that is not a beat.
var errBadBeat = errors.New("malformed beat")

// Field numbers of a beat in the Protocol Buffers encoding. Unknown fields are skipped, so that daemons of different
// versions understand each other.
const (
	fieldID protowire.Number = iota + 1
	fieldIncarnation
	fieldCounter
	fieldStatus
	fieldService
	fieldRegion
	fieldDomain
	fieldPeer
	fieldSlots
	fieldFlags
	fieldVersion
	fieldReport
	fieldRunning
	_ // reserved: earlier versions sent it
	fieldReportSlots
	fieldSlowness
	fieldFailing
	fieldColdFor
	_ // reserved: earlier versions sent it
	fieldMessage
	fieldFoundSlots
	fieldFoundLimit
	fieldWaiting
	fieldReference
	fieldEpoch
	fieldEnd
)

const (
	flagWatch = 1 << iota
	flagGreeting
	flagOpen
	flagReferences
)

// ratioScale is the factor by which ratios are scaled to integers; it keeps three decimals.
const ratioScale = 1000

// EncodeBeat returns a beat as a datagram. Report.Server, Incarnation and Calls are not sent; the first two follow from
// the sender.
func EncodeBeat(b Beat) []byte {
	out := make([]byte, 0, 160)

	if b.Reference != 0 {
		out = appendNumber(out, fieldReference, uint64(b.Reference))
	} else {
		out = appendMember(out, b.From)
	}

	out = appendNumber(out, fieldVersion, b.Version)
	out = appendNumber(out, fieldEpoch, uint64(b.Epoch))
	out = appendNumber(out, fieldEnd, uint64(max(0, b.End)))

	flags := uint64(0)
	if b.Watch {
		flags |= flagWatch
	}

	if b.Greeting {
		flags |= flagGreeting
	}

	if b.Report.Open {
		flags |= flagOpen
	}

	if b.References {
		flags |= flagReferences
	}

	out = appendNumber(out, fieldFlags, flags)

	if len(b.Message) > 0 {
		out = appendText(out, fieldMessage, string(b.Message))
	}

	if b.Report.Counter == 0 {
		return out
	}

	out = appendNumber(out, fieldReport, b.Report.Counter)
	out = appendNumber(out, fieldRunning, uint64(b.Report.Running))
	out = appendNumber(out, fieldWaiting, b.Report.Waiting.Pack())
	out = appendNumber(out, fieldReportSlots, uint64(b.Report.Slots))
	out = appendNumber(out, fieldSlowness, toThousandths(b.Report.Slowness))
	out = appendNumber(out, fieldFailing, toThousandths(b.Report.Failing))

	out = appendNumber(out, fieldFoundSlots, uint64(b.Report.Found.Slots))
	out = appendNumber(out, fieldFoundLimit, uint64(b.Report.Found.Limit))

	return appendNumber(out, fieldColdFor, uint64(b.Report.ColdFor.Milliseconds()))
}

func appendMember(out []byte, m instance.Member) []byte {
	out = appendText(out, fieldID, string(m.ID))
	out = appendNumber(out, fieldIncarnation, uint64(m.Incarnation))
	out = appendNumber(out, fieldCounter, m.Counter)
	out = appendNumber(out, fieldStatus, uint64(m.Status))
	out = appendText(out, fieldService, m.Service)
	out = appendText(out, fieldRegion, m.Place.Region)
	out = appendText(out, fieldDomain, m.Place.Domain)
	out = appendText(out, fieldPeer, m.Peer.String())

	return appendNumber(out, fieldSlots, uint64(max(0, m.Slots)))
}

func toThousandths(ratio float64) uint64 { return uint64(math.Round(max(0, ratio) * ratioScale)) }

// appendNumber appends a number unless it is zero, which is the default of an absent field.
func appendNumber(out []byte, field protowire.Number, number uint64) []byte {
	if number == 0 {
		return out
	}

	return protowire.AppendVarint(protowire.AppendTag(out, field, protowire.VarintType), number)
}

func appendText(out []byte, field protowire.Number, text string) []byte {
	return protowire.AppendString(protowire.AppendTag(out, field, protowire.BytesType), text)
}

// maxNumber is the largest number of requests, slots or milliseconds, and the largest ratio in thousandths, that a beat
// may hold. Larger numbers would overflow when they are added.
const maxNumber = 1 << 31

// boundedFields are the fields that must not exceed maxNumber.
var boundedFields = []protowire.Number{
	fieldSlots, fieldRunning, fieldReportSlots, fieldSlowness, fieldFailing, fieldFoundSlots,
	fieldFoundLimit, fieldColdFor,
}

// DecodeBeat parses a datagram. It returns an error if the datagram is not a beat or a number exceeds its bound. If the
// beat has a reference, From is empty and Report lacks the server and the incarnation.
func DecodeBeat(data []byte) (Beat, error) {
	numbers := make(map[protowire.Number]uint64)
	texts := make(map[protowire.Number]string)

	for len(data) > 0 {
		field, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return Beat{}, errors.Wrap(errBadBeat, "tag")
		}

		data = data[n:]

		switch kind {
		case protowire.VarintType:
			number, n := protowire.ConsumeVarint(data)
			if n < 0 {
				return Beat{}, errors.Wrap(errBadBeat, "number")
			}

			numbers[field], data = number, data[n:]
		case protowire.BytesType:
			text, n := protowire.ConsumeString(data)
			if n < 0 {
				return Beat{}, errors.Wrap(errBadBeat, "text")
			}

			texts[field], data = text, data[n:]
		default:
			n := protowire.ConsumeFieldValue(field, kind, data)
			if n < 0 {
				return Beat{}, errors.Wrap(errBadBeat, "field")
			}

			data = data[n:]
		}
	}

	return toBeat(numbers, texts)
}

func toBeat(numbers map[protowire.Number]uint64, texts map[protowire.Number]string) (Beat, error) {
	for _, field := range boundedFields {
		if numbers[field] > maxNumber {
			return Beat{}, errors.Wrapf(errBadBeat, "field %d", field)
		}
	}

	if numbers[fieldEnd] > math.MaxInt64 {
		return Beat{}, errors.Wrap(errBadBeat, "end")
	}

	flags := numbers[fieldFlags]
	beat := Beat{
		References: flags&flagReferences != 0, Watch: flags&flagWatch != 0, Greeting: flags&flagGreeting != 0,
		Version: numbers[fieldVersion], Epoch: store.Epoch(numbers[fieldEpoch]), End: int64(numbers[fieldEnd]),
	}

	switch reference := numbers[fieldReference]; {
	case reference > math.MaxUint32:
		return Beat{}, errors.Wrap(errBadBeat, "reference")
	case reference > 0:
		beat.Reference = Reference(reference)
	default:
		from, err := toMember(numbers, texts)
		if err != nil {
			return Beat{}, err
		}

		beat.From = from
	}

	if text := texts[fieldMessage]; text != "" {
		beat.Message = []byte(text)
	}

	if numbers[fieldReport] > 0 {
		beat.Report = load.Report{
			Server: beat.From.ID, Incarnation: beat.From.Incarnation, Counter: numbers[fieldReport],
			Open: flags&flagOpen != 0, Running: int(numbers[fieldRunning]),
			Waiting: load.UnpackWaiting(numbers[fieldWaiting]),
			Slots:   int(numbers[fieldReportSlots]), Slowness: float64(numbers[fieldSlowness]) / ratioScale,
			Failing: float64(numbers[fieldFailing]) / ratioScale,
			ColdFor: time.Duration(numbers[fieldColdFor]) * time.Millisecond,
			Found:   load.Finding{Slots: int(numbers[fieldFoundSlots]), Limit: int(numbers[fieldFoundLimit])},
		}
	}

	return beat, nil
}

func toMember(numbers map[protowire.Number]uint64, texts map[protowire.Number]string) (instance.Member, error) {
	peer, err := netip.ParseAddrPort(texts[fieldPeer])
	if err != nil || texts[fieldID] == "" || numbers[fieldStatus] > uint64(instance.Left) {
		return instance.Member{}, errors.Wrap(errBadBeat, "sender")
	}

	return instance.Member{
		ID: instance.ID(texts[fieldID]), Incarnation: instance.Incarnation(numbers[fieldIncarnation]),
		Counter: numbers[fieldCounter], Status: instance.Status(numbers[fieldStatus]),
		Service: texts[fieldService], Place: instance.Place{Region: texts[fieldRegion], Domain: texts[fieldDomain]},
		Peer: peer, Slots: int(numbers[fieldSlots]),
	}, nil
}

// storedEntry is the JSON form of an entry in the store.
type storedEntry struct {
	ID      string `json:"id"`
	Run     uint64 `json:"run"`
	Counter uint64 `json:"counter"`
	Status  string `json:"status"`
	Service string `json:"service"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Peer    string `json:"peer"`
	Slots   int    `json:"slots"`
	Server  string `json:"server,omitempty"`
	// Born is in Unix milliseconds; zero if unknown.
	Born int64 `json:"born,omitempty"`
	Left bool  `json:"left,omitempty"`
	// Limit is zero if not known yet.
	Limit int `json:"limit,omitempty"`
}

// EncodeEntry returns the JSON form of an entry in the store.
func EncodeEntry(e Entry) []byte {
	m := e.Member

	// Encoding a struct of strings and numbers cannot fail.
	data, _ := json.Marshal(storedEntry{
		ID: string(m.ID), Run: uint64(m.Incarnation), Counter: m.Counter, Status: m.Status.String(),
		Service: m.Service, Region: m.Place.Region, Domain: m.Place.Domain, Peer: m.Peer.String(), Slots: m.Slots,
		Server: e.Server, Born: millis(e.Born), Left: e.Left, Limit: e.Limit,
	})

	return data
}

const (
	// maxSlots is the largest number of slots in an entry.
	maxSlots = 10_000
	// maxIncarnation is the largest incarnation in an entry. Incarnations are start times in Unix nanoseconds, which do
	// not reach it before the year 2116; a daemon with a larger one could never be superseded.
	maxIncarnation = 1 << 62
)

func outOfRange(slots int) bool { return slots < 0 || slots > maxSlots }

// DecodeEntry parses an entry of the store. It returns an error if the entry is malformed, has no ID or address, or
// holds a number out of range.
func DecodeEntry(data []byte) (Entry, error) {
	var stored storedEntry
	if err := json.Unmarshal(data, &stored); err != nil {
		return Entry{}, errors.Wrap(err, "decode entry")
	}

	peer, err := netip.ParseAddrPort(stored.Peer)
	if err != nil || stored.ID == "" || peer.Port() == 0 || peer.Addr().IsUnspecified() {
		return Entry{}, errors.Newf("entry of %q has no ID or no valid address", stored.ID)
	}

	if outOfRange(stored.Slots) || outOfRange(stored.Limit) || stored.Run > maxIncarnation {
		return Entry{}, errors.Newf("entry of %q has a number out of range", stored.ID)
	}

	var status instance.Status
	if err := status.UnmarshalText([]byte(stored.Status)); err != nil {
		return Entry{}, err
	}

	return Entry{
		Member: instance.Member{
			ID: instance.ID(stored.ID), Incarnation: instance.Incarnation(stored.Run), Counter: stored.Counter,
			Status: status, Service: stored.Service,
			Place: instance.Place{Region: stored.Region, Domain: stored.Domain}, Peer: peer, Slots: stored.Slots,
		},
		Server: stored.Server, Born: fromMillis(stored.Born), Left: stored.Left, Limit: stored.Limit,
	}, nil
}

// millis returns a time in Unix milliseconds, and zero for the zero time.
func millis(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}

	return at.UnixMilli()
}

func fromMillis(number int64) time.Time {
	if number == 0 {
		return time.Time{}
	}

	return time.UnixMilli(number).UTC()
}
