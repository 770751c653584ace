package suspects

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

// wireReport is a report in messages between daemons. It holds the time left until expiry instead of the time of
// expiry, because clocks differ.
type wireReport struct {
	Service     string `json:"service"`
	Fingerprint uint64 `json:"print,string"`
	Source      string `json:"source"`
	Alone       bool   `json:"alone,omitempty"`
	Cleared     bool   `json:"cleared,omitempty"`
	// Left is the time until expiry in milliseconds.
	Left int64 `json:"left"`
}

// Encode encodes reports for other daemons.
func Encode(now time.Time, reports []Report) []byte {
	wire := make([]wireReport, 0, len(reports))

	for _, r := range reports {
		wire = append(wire, wireReport{
			Service: r.Service, Fingerprint: uint64(r.Fingerprint), Source: r.Source, Alone: r.Alone,
			Cleared: r.Cleared, Left: r.Expires.Sub(now).Milliseconds(),
		})
	}

	// Structs of strings, numbers and booleans can always be encoded.
	data, _ := json.Marshal(wire)

	return data
}

// Decode decodes the reports of another daemon. It returns an error if data is not valid JSON of that form.
func Decode(now time.Time, data []byte) ([]Report, error) {
	var wire []wireReport
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, errors.Wrap(err, "decode suspects")
	}

	reports := make([]Report, 0, len(wire))

	for _, w := range wire {
		reports = append(reports, Report{
			Service: w.Service, Fingerprint: request.Fingerprint(w.Fingerprint), Source: w.Source, Alone: w.Alone,
			Cleared: w.Cleared, Expires: now.Add(time.Duration(w.Left) * time.Millisecond),
		})
	}

	return reports, nil
}
