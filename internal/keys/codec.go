package keys

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// ErrMalformed is returned for a record or handover that cannot be decoded.
var ErrMalformed = errors.New("malformed grants record or handover")

// The JSON forms of records in the store and of handovers between daemons.
type (
	// wireClaim is also the form of an extension, and of a sign-off with its end in Until.
	wireClaim struct {
		Service    string `json:"service,omitempty"`
		Partitions []int  `json:"parts,omitempty"`
		Owner      string `json:"owner"`
		Run        uint64 `json:"run"`
		From       int64  `json:"from,omitempty"`
		Until      int64  `json:"until,omitempty"`
		Ended      bool   `json:"ended,omitempty"`
		Uncertain  bool   `json:"uncertain,omitempty"`
	}
	wireLedger struct {
		Epoch uint64 `json:"epoch,omitempty"`
		Start uint64 `json:"start,omitempty"`
	}
	wireBase struct {
		Through uint64 `json:"through"`
		wireLedger
		Barrier int64       `json:"barrier,omitempty"`
		Grants  []wireClaim `json:"grants"`
	}
	wireRestart struct {
		Epoch   uint64 `json:"epoch"`
		Through uint64 `json:"through"`
		Barrier int64  `json:"barrier"`
	}
	wireRecord struct {
		wireLedger
		Signoffs   []wireClaim  `json:"signoffs,omitempty"`
		Extensions []wireClaim  `json:"extensions,omitempty"`
		Claims     []wireClaim  `json:"claims,omitempty"`
		Carried    []wireClaim  `json:"carried,omitempty"`
		Base       *wireBase    `json:"base,omitempty"`
		Restart    *wireRestart `json:"restart,omitempty"`
	}
	wireField    [2]string
	wireResponse struct {
		Status int         `json:"status"`
		Header []wireField `json:"header,omitempty"`
		Body   []byte      `json:"body,omitempty"`
	}
	wireEntry struct {
		Key      string        `json:"key"`
		Print    uint64        `json:"print,string"`
		State    uint8         `json:"state"`
		Response *wireResponse `json:"response,omitempty"`
	}
	wireHandover struct {
		Service    string      `json:"service"`
		From       string      `json:"from"`
		Run        uint64      `json:"run"`
		Partitions []int       `json:"parts"`
		Floor      int64       `json:"floor"`
		End        int64       `json:"end"`
		Round      int         `json:"round"`
		Chunk      int         `json:"chunk"`
		Chunks     int         `json:"chunks"`
		Entries    []wireEntry `json:"entries"`
	}
)

func toWireClaims(claims []Claim) []wireClaim {
	wire := make([]wireClaim, 0, len(claims))
	for _, c := range claims {
		wire = append(wire, wireClaim{
			Service: c.Service, Partitions: c.Partitions, Owner: string(c.Owner), Run: uint64(c.Incarnation),
			From: c.From, Until: c.Until, Ended: c.Ended, Uncertain: c.Uncertain,
		})
	}

	return wire
}

func toWireLedger(id LedgerID) wireLedger {
	return wireLedger{Epoch: uint64(id.Epoch), Start: id.Start}
}

func (w wireLedger) toLedgerID() LedgerID {
	return LedgerID{Epoch: store.Epoch(w.Epoch), Start: w.Start}
}

func fromWireClaims(wire []wireClaim) []Claim {
	claims := make([]Claim, 0, len(wire))
	for _, w := range wire {
		claims = append(claims, Claim{
			Service: w.Service, Partitions: w.Partitions, Owner: instance.ID(w.Owner),
			Incarnation: instance.Incarnation(w.Run), From: w.From, Until: w.Until, Ended: w.Ended, Uncertain: w.Uncertain,
		})
	}

	return claims
}

// EncodeRecord returns the JSON form of a record.
func EncodeRecord(r Record) []byte {
	wire := wireRecord{
		wireLedger: toWireLedger(r.Ledger), Claims: toWireClaims(r.Claims), Carried: toWireClaims(r.Carried),
	}

	for _, e := range r.Extensions {
		wire.Extensions = append(wire.Extensions, wireClaim{
			Partitions: e.Partitions, Owner: string(e.Owner), Run: uint64(e.Incarnation), Until: e.Until,
		})
	}

	for _, s := range r.Signoffs {
		wire.Signoffs = append(wire.Signoffs, wireClaim{
			Owner: string(s.Owner), Run: uint64(s.Incarnation), Until: s.End,
		})
	}

	if r.Base != nil {
		wire.Base = &wireBase{
			Through: r.Base.Through, wireLedger: toWireLedger(r.Base.Ledger), Barrier: r.Base.Barrier,
			Grants: toWireClaims(r.Base.Grants),
		}
	}

	if r.Restart != nil {
		wire.Restart = &wireRestart{
			Epoch: uint64(r.Restart.Epoch), Through: r.Restart.Through, Barrier: r.Restart.Barrier,
		}
	}

	return marshal(wire)
}

// marshal encodes structs of strings and numbers as JSON, which cannot fail.
func marshal(value any) []byte {
	data, _ := json.Marshal(value)

	return data
}

// DecodeRecord parses the JSON form of a record. If it fails, it returns ErrMalformed and an empty record, and readers
// apply that empty record, so that all of them derive the same grants.
func DecodeRecord(data []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return Record{}, errors.Mark(errors.Wrap(err, "decode grants record"), ErrMalformed)
	}

	record := Record{
		Ledger: wire.toLedgerID(), Claims: fromWireClaims(wire.Claims),
	}
	if len(wire.Carried) > 0 {
		record.Carried = fromWireClaims(wire.Carried)
	}

	for _, e := range wire.Extensions {
		record.Extensions = append(record.Extensions, Extension{
			Owner: instance.ID(e.Owner), Incarnation: instance.Incarnation(e.Run),
			Until: e.Until, Partitions: e.Partitions,
		})
	}

	for _, s := range wire.Signoffs {
		record.Signoffs = append(record.Signoffs, Signoff{
			Owner: instance.ID(s.Owner), Incarnation: instance.Incarnation(s.Run), End: s.Until,
		})
	}

	if wire.Base != nil {
		record.Base = &Base{
			Through: wire.Base.Through, Ledger: wire.Base.toLedgerID(), Barrier: wire.Base.Barrier,
			Grants: fromWireClaims(wire.Base.Grants),
		}
	}

	if wire.Restart != nil {
		record.Restart = &Restart{
			Epoch: store.Epoch(wire.Restart.Epoch), Through: wire.Restart.Through, Barrier: wire.Restart.Barrier,
		}
	}

	return record, nil
}

// EncodeHandover returns the JSON form of a handover message.
func EncodeHandover(h Handover) []byte {
	wire := wireHandover{
		Service: h.Service, From: string(h.From), Run: uint64(h.Incarnation), Partitions: h.Partitions,
		Floor: h.Floor, End: h.End, Round: h.Round, Chunk: h.Chunk, Chunks: h.Chunks,
	}

	for _, e := range h.Entries {
		entry := wireEntry{Key: e.Key.String(), Print: uint64(e.Fingerprint), State: uint8(e.State)}

		if e.Response != nil {
			entry.Response = &wireResponse{Status: e.Response.Status, Body: e.Response.Body}
			for _, field := range e.Response.Header {
				entry.Response.Header = append(entry.Response.Header, wireField{field.Name, field.Value})
			}
		}

		wire.Entries = append(wire.Entries, entry)
	}

	return marshal(wire)
}

// DecodeHandover parses the JSON form of a handover message. If it fails, it returns ErrMalformed.
func DecodeHandover(data []byte) (Handover, error) {
	var wire wireHandover
	if err := json.Unmarshal(data, &wire); err != nil {
		return Handover{}, errors.Mark(errors.Wrap(err, "decode handover"), ErrMalformed)
	}

	h := Handover{
		Service: wire.Service, From: instance.ID(wire.From), Incarnation: instance.Incarnation(wire.Run),
		Partitions: wire.Partitions, Floor: wire.Floor, End: wire.End,
		Round: wire.Round, Chunk: wire.Chunk, Chunks: wire.Chunks,
	}

	for _, w := range wire.Entries {
		key, err := uuid.Parse(w.Key)
		if err != nil || w.State > uint8(StateAnswered) {
			return Handover{}, errors.Wrapf(ErrMalformed, "invalid key or state in entry %q", w.Key)
		}

		h.Entries = append(h.Entries, KeyEntry{
			Key: key, Fingerprint: request.Fingerprint(w.Print), State: EntryState(w.State),
			Response: w.Response.toResponse(),
		})
	}

	return h, nil
}

func (w *wireResponse) toResponse() *Response {
	if w == nil {
		return nil
	}

	response := &Response{Status: w.Status, Body: w.Body}
	for _, field := range w.Header {
		response.Header = append(response.Header, Field{Name: field[0], Value: field[1]})
	}

	return response
}
