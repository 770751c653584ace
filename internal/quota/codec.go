package quota

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Kind is the purpose of a datagram.
type Kind uint8

// Kinds of datagrams.
const (
	// Report goes from a daemon to the pool that it uses: it leases the daemon's share and asks for tokens.
	Report Kind = iota + 1
	// Reply answers a Report.
	Reply
	// Borrow asks the pool of another failure domain for a part of its share.
	Borrow
	// Loan answers a Borrow.
	Loan
	// Return ends loans before their time.
	Return
	lastKind = Return
)

// RunID identifies one run of a daemon in datagrams: a hash of instance ID and incarnation. It has 4 bytes, because
// there is a datagram for most requests.
type RunID uint32

// TenantID identifies a tenant in datagrams: a hash of its name.
type TenantID uint32

// RunOf returns the RunID of a member.
func RunOf(m instance.Member) RunID {
	var incarnation [8]byte

	binary.BigEndian.PutUint64(incarnation[:], uint64(m.Incarnation))

	digest := xxhash.New()
	_, _ = digest.Write(incarnation[:])
	_, _ = digest.WriteString(string(m.ID))

	return RunID(digest.Sum64())
}

// TenantIDOf returns the TenantID of the tenant with a name, if no other tenant has it.
func TenantIDOf(name string) TenantID { return TenantID(xxhash.Sum64String(name)) }

// Message is a datagram. It takes effect only at the run of the daemon to which it is addressed.
type Message struct {
	Kind     Kind
	From, To RunID
	// Sequence orders the messages of a run. A Reply and a Loan repeat the one of the message that they answer. It is zero
	// in a Report with items, which are numbered themselves.
	Sequence uint64
	// Stamp is the sender's time in milliseconds since its start; in a Reply without items only.
	Stamp uint64
	// Echo is the newest Stamp of the receiver that has reached the sender; zero if there is none.
	Echo uint64
	// Lease is set in a Report if the sender leases its share to the receiver, and in a Reply if all daemons know that
	// earlier runs of the sender have ended.
	Lease bool
	// Release is set in a Report that takes the share back, and in the Reply that gives it back.
	Release bool
	Items   []Item
}

// Item is the part of a Message about one tenant. Which fields are used depends on the kind of the message.
type Item struct {
	Tenant TenantID
	// Number identifies a request for tokens and its answer.
	Number uint64
	// Tokens is the number of tokens that waiting requests need, or that are granted.
	Tokens int
	// Extra is the number of further tokens that are wanted.
	Extra int
	// Arrivals is the number of the tenant's requests that have arrived at the sender since it last asked.
	Arrivals int
	// Wait is the time until the next token, or the time for which a loan is valid.
	Wait time.Duration
	// Share is the part of the limit that is wanted or lent, 0 to 1. In a Reply with too few tokens it is the part of the
	// requests for which there are tokens at present, or zero if the pool has no share of the limit.
	Share float64
}

const (
	// MaxDatagram is the largest size of a datagram in bytes. It fits into a packet on any link.
	MaxDatagram = 1200
	// MaxItems is the largest number of items in a datagram: MaxDatagram holds as many of the largest ones.
	MaxItems = 24
	// marker is the first byte of each datagram. No beat starts with it, because it is not a valid field tag.
	marker = 0x07
	// maxNumber bounds the numbers of a message, so that sums do not overflow.
	maxNumber = 1 << 31
	// maxSequence bounds sequence numbers and stamps.
	maxSequence = 1 << 48
	// shareScale is the factor by which shares are scaled to integers.
	shareScale = 1e6
)

const (
	flagLease = 1 << iota
	flagRelease
)

const (
	fieldKind protowire.Number = iota + 1
	fieldFrom
	fieldTo
	fieldSequence
	fieldStamp
	fieldEcho
	fieldFlags
	fieldItem
)

const (
	itemTenant protowire.Number = iota + 1
	itemNumber
	itemTokens
	itemExtra
	itemArrivals
	itemWait
	itemShare
)

// errMalformed is returned for a datagram that is not a Message.
var errMalformed = errors.New("malformed quota message")

// IsMessage reports whether a datagram is meant to be a Message.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == marker }

// Encode returns a message as a datagram. It has at most MaxDatagram bytes if there are at most MaxItems items.
func Encode(m Message) []byte {
	out := append(make([]byte, 0, 64+len(m.Items)*24), marker)
	out = appendNumber(out, fieldKind, uint64(m.Kind))
	out = appendHash(out, fieldFrom, uint32(m.From))
	out = appendHash(out, fieldTo, uint32(m.To))
	out = appendNumber(out, fieldSequence, m.Sequence)
	out = appendNumber(out, fieldStamp, m.Stamp)
	out = appendNumber(out, fieldEcho, m.Echo)

	flags := uint64(0)
	if m.Lease {
		flags |= flagLease
	}

	if m.Release {
		flags |= flagRelease
	}

	out = appendNumber(out, fieldFlags, flags)

	for _, item := range m.Items {
		out = protowire.AppendTag(out, fieldItem, protowire.BytesType)
		out = protowire.AppendBytes(out, encodeItem(item))
	}

	return out
}

func encodeItem(i Item) []byte {
	out := appendHash(make([]byte, 0, 48), itemTenant, uint32(i.Tenant))
	out = appendNumber(out, itemNumber, i.Number)
	out = appendNumber(out, itemTokens, bounded(float64(i.Tokens)))
	out = appendNumber(out, itemExtra, bounded(float64(i.Extra)))
	out = appendNumber(out, itemArrivals, bounded(float64(i.Arrivals)))
	out = appendNumber(out, itemWait, bounded(float64(i.Wait.Milliseconds())))

	return appendNumber(out, itemShare, bounded(math.Floor(i.Share*shareScale+rounding)))
}

// bounded returns a number from 0 to maxNumber; zero for NaN.
func bounded(number float64) uint64 {
	if !(number > 0) {
		return 0
	}

	return uint64(min(number, maxNumber))
}

func appendNumber(out []byte, field protowire.Number, number uint64) []byte {
	if number == 0 {
		return out
	}

	return protowire.AppendVarint(protowire.AppendTag(out, field, protowire.VarintType), number)
}

func appendHash(out []byte, field protowire.Number, hash uint32) []byte {
	return protowire.AppendFixed32(protowire.AppendTag(out, field, protowire.Fixed32Type), hash)
}

// Decode parses a datagram. It returns an error if the datagram is malformed, too large, or has a number out of range.
func Decode(data []byte) (Message, error) {
	if !IsMessage(data) || len(data) > MaxDatagram {
		return Message{}, errMalformed
	}

	var m Message

	err := eachField(data[1:], func(field protowire.Number, number uint64, content []byte) error {
		if field == fieldItem {
			item, err := decodeItem(content)
			m.Items = append(m.Items, item)

			return err
		}

		return m.set(field, number)
	})
	if err != nil {
		return Message{}, err
	}

	if m.Kind < Report || m.Kind > lastKind || m.From == 0 || m.To == 0 || len(m.Items) > MaxItems {
		return Message{}, errors.Wrap(errMalformed, "head")
	}

	return m, nil
}

func (m *Message) set(field protowire.Number, number uint64) error {
	if number > maxSequence {
		return errors.Wrapf(errMalformed, "field %d", field)
	}

	switch field {
	case fieldFrom:
		m.From = RunID(number)
	case fieldTo:
		m.To = RunID(number)
	case fieldKind:
		m.Kind = Kind(min(number, math.MaxUint8))
	case fieldSequence:
		m.Sequence = number
	case fieldStamp:
		m.Stamp = number
	case fieldEcho:
		m.Echo = number
	case fieldFlags:
		m.Lease, m.Release = number&flagLease != 0, number&flagRelease != 0
	default:
		// A field of a later version.
	}

	return nil
}

func decodeItem(data []byte) (Item, error) {
	var item Item

	err := eachField(data, func(field protowire.Number, number uint64, _ []byte) error {
		large := field == itemNumber || field == itemTenant
		if number > maxNumber && !large || number > maxSequence {
			return errors.Wrapf(errMalformed, "field %d of an item", field)
		}

		switch field {
		case itemTenant:
			item.Tenant = TenantID(number)
		case itemNumber:
			item.Number = number
		case itemTokens:
			item.Tokens = int(number)
		case itemExtra:
			item.Extra = int(number)
		case itemArrivals:
			item.Arrivals = int(number)
		case itemWait:
			item.Wait = time.Duration(number) * time.Millisecond
		case itemShare:
			item.Share = min(1, float64(number)/shareScale)
		default:
			// A field of a later version.
		}

		return nil
	})

	return item, err
}

// eachField calls handle with the number or the content of each field. Unknown fields are passed as well.
func eachField(data []byte, handle func(field protowire.Number, number uint64, content []byte) error) error {
	for len(data) > 0 {
		field, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return errors.Wrap(errMalformed, "tag")
		}

		data = data[n:]

		var (
			number  uint64
			content []byte
		)

		switch kind {
		case protowire.VarintType:
			number, n = protowire.ConsumeVarint(data)
		case protowire.Fixed32Type:
			var hash uint32

			hash, n = protowire.ConsumeFixed32(data)
			number = uint64(hash)
		case protowire.Fixed64Type:
			number, n = protowire.ConsumeFixed64(data)
		case protowire.BytesType:
			content, n = protowire.ConsumeBytes(data)
		default:
			n = -1
		}

		if n < 0 {
			return errors.Wrap(errMalformed, "field")
		}

		data = data[n:]

		if err := handle(field, number, content); err != nil {
			return err
		}
	}

	return nil
}
