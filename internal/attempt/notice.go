package attempt

import (
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/backend"
)

// setNotice sets the fields of a notice, unless it says nothing.
func setNotice(values url.Values, n backend.Notice) {
	if n == (backend.Notice{}) {
		return
	}

	setText(values, "backend", string(n.Server))

	if !n.Born.IsZero() {
		values.Set("born", strconv.FormatInt(n.Born.UnixMilli(), 10))
	}

	if n.Leaving {
		values.Set("leaving", "1")
	}

	if n.Limit.Set {
		values.Set("limit", formatRatio(n.Limit.PerSecond))
	}
}

// notice returns the fields of a notice.
func (f *fieldSet) notice() backend.Notice {
	n := backend.Notice{Server: backend.ID(f.text("backend")), Leaving: f.text("leaving") != ""}

	if f.text("born") != "" {
		n.Born = time.UnixMilli(f.integer("born")).UTC()
	}

	if f.text("limit") != "" {
		n.Limit = backend.Limit{Set: true, PerSecond: f.ratio("limit")}
	}

	if !(n.Limit.PerSecond >= 0) && f.err == nil {
		f.err = errors.Wrap(ErrMalformed, "limit is not a positive number")
	}

	return n
}
