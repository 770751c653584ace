package attempt

import (
	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

func decodeReply(text string) (Reply, error) {
	fields, err := parseFields(text)
	if err != nil {
		return Reply{}, err
	}

	parsed, err := verdict.Parse(fields.text("verdict"))
	if err != nil {
		return Reply{}, errors.Mark(err, ErrMalformed)
	}

	delivery := parsed
	if text := fields.text("delivery"); text != "" {
		if delivery, err = verdict.Parse(text); err != nil {
			return Reply{}, errors.Mark(err, ErrMalformed)
		}
	}

	reply := Reply{
		Delivery:   delivery,
		RetryAfter: fields.duration("after"),
		ID:         request.ID(fields.text("request")),
		Number:     int(fields.integer("attempt")),
		Verdict:    parsed,
		Status:     int(fields.integer("status")),
		Reason:     fields.text("reason"),
		Unusable:   fields.text("unusable") != "",
		Dropped:    fields.text("dropped") != "",
		Crash:      fields.text("crash"),
		Report: load.Report{
			Server:      instance.ID(fields.text("server")),
			Incarnation: instance.Incarnation(fields.integer("run")),
			Counter:     uint64(fields.integer("counter")),
			Open:        fields.text("open") != "",
			Running:     int(fields.integer("running")),
			Waiting:     load.UnpackWaiting(fields.unsigned("queue")),
			Slots:       int(fields.integer("slots")),
			Slowness:    fields.ratio("slowness"),
			Failing:     fields.ratio("failing"),
			Calls:       fields.calls("calls"),
			ColdFor:     fields.duration("cold"),
		},
		Notice: fields.notice(),
	}

	if fields.err == nil && !validStatus(reply.Status) {
		return Reply{}, errors.Wrapf(ErrMalformed, "status %d", reply.Status)
	}

	return reply, fields.err
}

// validStatus reports whether a reply may state a status: that of a final response, or zero for a refusal.
func validStatus(status int) bool { return status == 0 || http1.IsFinal(status) }
