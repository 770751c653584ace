package attempt

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

const (
	// MaxConfiguration is the size in bytes of the largest answer to a fetch of the configuration. It has room for the
	// largest response of the store.
	MaxConfiguration = 8<<20 + 64<<10
	// maxEvacuated is the largest number of evacuated failure domains in an answer.
	maxEvacuated = 1024
	// maxDomain is the length in bytes of the longest failure domain in an answer.
	maxDomain = 255
	// maxConfigurationAnswers is the number of answers that a daemon sends at the same time. Others ask another daemon.
	maxConfigurationAnswers = 4
)

// Configuration is the configuration that a daemon has, for daemons that cannot read the store.
type Configuration struct {
	// Version is that of the manifest in force; zero if there is none. Epoch is the epoch of the store in which it was read.
	Version uint64
	Epoch   store.Epoch
	// Record is the record of that manifest as the store has it. It is empty if the asking daemon has the version.
	Record []byte
	// Read is the position up to which the daemon has read the topic, and Evacuated holds the evacuated failure domains as
	// of it.
	Read      store.Position
	Evacuated []string
}

// ErrBadConfiguration is returned for an answer that is too large or cannot be decoded.
var ErrBadConfiguration = errors.New("malformed configuration of another daemon")

// ErrNoConfiguration is returned if the other daemon has nothing newer.
var ErrNoConfiguration = errors.New("daemon has no newer configuration")

// Field numbers of an answer in the Protocol Buffers encoding. Unknown fields are skipped.
const (
	fieldVersion protowire.Number = iota + 1
	fieldEpoch
	fieldRecord
	fieldReadEpoch
	fieldReadEnd
	fieldEvacuated
)

// EncodeConfiguration returns the encoded form of a configuration.
func EncodeConfiguration(c Configuration) []byte {
	out := make([]byte, 0, len(c.Record)+64)

	for _, number := range []struct {
		field protowire.Number
		value uint64
	}{
		{fieldVersion, c.Version},
		{fieldEpoch, uint64(c.Epoch)},
		{fieldReadEpoch, uint64(c.Read.Epoch)},
		{fieldReadEnd, uint64(max(0, c.Read.Offset))},
	} {
		out = protowire.AppendVarint(protowire.AppendTag(out, number.field, protowire.VarintType), number.value)
	}

	for _, domain := range c.Evacuated {
		out = protowire.AppendString(protowire.AppendTag(out, fieldEvacuated, protowire.BytesType), domain)
	}

	return protowire.AppendBytes(protowire.AppendTag(out, fieldRecord, protowire.BytesType), c.Record)
}

// DecodeConfiguration decodes a configuration. It returns ErrBadConfiguration if the data is malformed or exceeds a bound.
func DecodeConfiguration(data []byte) (Configuration, error) {
	var c Configuration

	if len(data) > MaxConfiguration {
		return Configuration{}, errors.Wrap(ErrBadConfiguration, "size")
	}

	for len(data) > 0 {
		field, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return Configuration{}, errors.Wrap(ErrBadConfiguration, "tag")
		}

		size := protowire.ConsumeFieldValue(field, kind, data[n:])
		if size < 0 || !c.setField(field, kind, data[n:n+size]) {
			return Configuration{}, errors.Wrapf(ErrBadConfiguration, "field %d", field)
		}

		data = data[n+size:]
	}

	return c, nil
}

// setField sets the field with a number from its encoded value. It returns false if the value is out of range.
func (c *Configuration) setField(field protowire.Number, kind protowire.Type, value []byte) bool {
	switch kind {
	case protowire.VarintType:
		number, _ := protowire.ConsumeVarint(value)

		return c.setNumber(field, number)
	case protowire.BytesType:
		content, _ := protowire.ConsumeBytes(value)

		switch field {
		case fieldRecord:
			c.Record = content
		case fieldEvacuated:
			c.Evacuated = append(c.Evacuated, string(content))

			return len(content) <= maxDomain && len(c.Evacuated) <= maxEvacuated
		default:
		}

		return true
	default:
		return true
	}
}

func (c *Configuration) setNumber(field protowire.Number, number uint64) bool {
	switch field {
	case fieldVersion:
		c.Version = number
	case fieldEpoch:
		c.Epoch = store.Epoch(number)
	case fieldReadEpoch:
		c.Read.Epoch = store.Epoch(number)
	case fieldReadEnd:
		c.Read.Offset = int64(number)
	default:
	}

	return c.Read.Offset >= 0
}

// ConfigurationFunc returns what the daemon has that is newer than a version and a position, and false if it has nothing.
type ConfigurationFunc func(version uint64, read store.Position) (Configuration, bool)

// HandlerOption configures NewHandler.
type HandlerOption func(*handler)

// WithConfiguration makes the handler answer daemons that fetch the configuration. Without it, it has none.
func WithConfiguration(held ConfigurationFunc) HandlerOption {
	return func(h *handler) { h.configuration = held }
}

// serveConfiguration answers a daemon that fetches the configuration: with status 404 if there is nothing newer, and with
// status 503 if too many others fetch it at the same time.
func (h *handler) serveConfiguration(x *http1.Exchange) {
	if h.configuration == nil {
		respondStatus(x, http.StatusNotFound)

		return
	}

	select {
	case h.answers <- struct{}{}:
		defer func() { <-h.answers }()
	default:
		respondStatus(x, http.StatusServiceUnavailable)

		return
	}

	version, read, err := parseHeld(x.Request.URL.Query())
	if err != nil {
		respondStatus(x, http.StatusBadRequest)

		return
	}

	newer, found := h.configuration(version, read)
	if !found {
		respondStatus(x, http.StatusNotFound)

		return
	}

	data := EncodeConfiguration(newer)
	body := http1.Body{Reader: bytes.NewReader(data), Length: int64(len(data))}

	// After an error, the connection has ended, by which the other daemon sees that the answer is incomplete.
	_ = x.Respond(http1.Response{Status: http.StatusOK, Header: http.Header{}, Body: body, Close: true})
}

// heldQuery returns the query that states what a daemon has.
func heldQuery(version uint64, read store.Position) string {
	return url.Values{
		"version": {strconv.FormatUint(version, 10)}, "epoch": {strconv.FormatUint(uint64(read.Epoch), 10)},
		"end": {strconv.FormatInt(read.Offset, 10)},
	}.Encode()
}

// parseHeld decodes the query of heldQuery. It returns an error if a number is missing or malformed.
func parseHeld(query url.Values) (uint64, store.Position, error) {
	version, err := strconv.ParseUint(query.Get("version"), 10, 64)
	epoch, epochErr := strconv.ParseUint(query.Get("epoch"), 10, 64)
	end, endErr := strconv.ParseInt(query.Get("end"), 10, 64)

	return version, store.Position{Epoch: store.Epoch(epoch), Offset: end},
		errors.CombineErrors(err, errors.CombineErrors(epochErr, endErr))
}

// FetchConfiguration fetches the configuration from another daemon, on a new connection. Version and read are what this
// daemon has. Errors are ErrNoConfiguration, ErrBadConfiguration and those of the connection.
func (c *Client) FetchConfiguration(
	ctx context.Context, peer netip.AddrPort, version uint64, read store.Position,
) (Configuration, error) {
	connection, err := c.pool(peer).Get(ctx, 0)
	if err != nil {
		return Configuration{}, errors.Wrapf(err, "daemon %s", peer)
	}

	defer connection.Close()
	defer connection.CloseOn(ctx)()

	head := http1.Request{
		Method: http.MethodGet, Target: ConfigurationPath + "?" + heldQuery(version, read), Host: "daemon",
		Header: http.Header{FleetKeyHeader: {c.key}},
	}
	if err := connection.Write(head); err != nil {
		return Configuration{}, err
	}

	response, err := connection.ReadFinal(http.MethodGet) //nolint:bodyclose // Close would read the rest of any length
	if err != nil {
		return Configuration{}, err
	}

	return readConfiguration(response)
}

// readConfiguration reads the answer to a fetch.
func readConfiguration(response *http.Response) (Configuration, error) {
	switch {
	case response.StatusCode == http.StatusNotFound:
		return Configuration{}, ErrNoConfiguration
	case response.StatusCode != http.StatusOK:
		return Configuration{}, errors.Newf("daemon answered with status %d", response.StatusCode)
	case response.ContentLength > MaxConfiguration:
		return Configuration{}, errors.Wrapf(ErrBadConfiguration, "%d bytes", response.ContentLength)
	}

	data, err := io.ReadAll(io.LimitReader(response.Body, MaxConfiguration+1))
	if err != nil {
		return Configuration{}, errors.Wrap(err, "read configuration")
	}

	return DecodeConfiguration(data)
}
