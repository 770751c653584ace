package manifest

import (
	"bytes"

	"github.com/tarragonmill/tarragonmill/internal/ini"
)

// Bounds of the limits on delayed hedged attempts, both inclusive.
const (
	// MaxDelayed bounds Hedge.Delayed, in attempts per request.
	MaxDelayed = 0.5
	// MaxHedgeWork bounds Hedge.Work, as a share of run time.
	MaxHedgeWork = 0.5
)

// Override is a value of a rule that replaces the one of its service. The zero value replaces nothing.
type Override struct {
	// Stated is set if the rule has the value.
	Stated bool
	Value  float64
}

// HedgeOverride holds the values of a rule that replace those of the same name in the service's Hedge.
type HedgeOverride struct{ Quantile, Delayed, Work Override }

// LimitsDelayed reports whether attempts are hedged after a delay, within limits.
func (h Hedge) LimitsDelayed() bool { return h.Delayed > 0 && h.Work > 0 }

// WithOverride returns a copy with the values that a rule states.
func (h Hedge) WithOverride(o HedgeOverride) Hedge {
	h.Quantile = o.Quantile.or(h.Quantile)
	h.Delayed = o.Delayed.or(h.Delayed)
	h.Work = o.Work.or(h.Work)

	return h
}

func (o Override) or(value float64) float64 {
	if o.Stated {
		return o.Value
	}

	return value
}

func parseOverride(text string) (Override, error) {
	value, err := ini.Number(text)

	return Override{Stated: true, Value: value}, err
}

func decodeHedgeOverride(s *ini.Section) HedgeOverride {
	return HedgeOverride{
		Quantile: ini.Optional(s, quantileKey, Override{}, parseOverride),
		Delayed:  ini.Optional(s, delayedKey, Override{}, parseOverride),
		Work:     ini.Optional(s, workKey, Override{}, parseOverride),
	}
}

// formatHedge writes the limits on delayed hedged attempts, if there are any. Without them the manifest stays readable
// for daemons that do not know the keys.
func formatHedge(out *bytes.Buffer, h Hedge) {
	if h.Delayed > 0 {
		writeKey(out, delayedKey, formatNumber(h.Delayed))
	}

	if h.Work > 0 {
		writeKey(out, workKey, formatNumber(h.Work))
	}
}

func formatHedgeOverride(out *bytes.Buffer, o HedgeOverride) {
	for _, entry := range []struct {
		key   string
		value Override
	}{{quantileKey, o.Quantile}, {delayedKey, o.Delayed}, {workKey, o.Work}} {
		if entry.value.Stated {
			writeKey(out, entry.key, formatNumber(entry.value.Value))
		}
	}
}

func (c *checker) checkHedge(h Hedge) {
	checkRange(c, "hedges", h.Share, 0, 1)
	checkRange(c, delayedKey, h.Delayed, 0, MaxDelayed)
	checkRange(c, workKey, h.Work, 0, MaxHedgeWork)

	if h.Share > 0 || h.Delayed > 0 || h.Quantile != 0 {
		checkRange(c, quantileKey, h.Quantile, MinQuantile, MaxQuantile)
	}
}

func (c *checker) checkHedgeOverride(o HedgeOverride) {
	if o.Quantile.Stated {
		checkRange(c, quantileKey, o.Quantile.Value, MinQuantile, MaxQuantile)
	}

	checkRange(c, delayedKey, o.Delayed.or(0), 0, MaxDelayed)
	checkRange(c, workKey, o.Work.or(0), 0, MaxHedgeWork)
}
