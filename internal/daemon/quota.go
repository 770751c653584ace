package daemon

import (
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/quota"
)

// performQuota performs an effect of the rate limits. The caller holds the mutex.
func (d *Daemon) performQuota(effect quota.Effect) {
	switch e := effect.(type) {
	case quota.Send:
		d.sendQuotaMessage(e)
	case quota.PoolChanged:
		event := eventlog.PoolEnded
		if e.Started {
			event = eventlog.PoolStarted
		}

		d.log.Notable(event).Send()
	case quota.PoolChosen:
		d.log.Notable(eventlog.PoolChosen).Str("pool", string(e.Pool)).Send()
	}
}

// sendQuotaMessage sends a datagram. A datagram that does not fit into the socket's buffer is dropped. The caller holds
// the mutex.
func (d *Daemon) sendQuotaMessage(e quota.Send) {
	if d.sockets.Beats == nil {
		return
	}

	n, err := d.sockets.Beats.WriteToUDPAddrPort(quota.Encode(e.Message), e.To)
	if err != nil {
		d.beatErrors.Add(1)
	}

	d.beatBytes.Add(int64(n))
	d.quotaBytes.Add(int64(n))
}

// handleQuotaMessage decodes a datagram about rate limits and applies it as an event.
func (d *Daemon) handleQuotaMessage(data []byte) {
	d.quotaBytes.Add(int64(len(data)))

	message, err := quota.Decode(data)
	if err != nil {
		d.beatErrors.Add(1)

		return
	}

	d.apply(quota.Heard{Message: message})
}

// exportQuota exports the state of the rate limits. There are no labels with the names of tenants, because there may be
// many of them.
func (d *Daemon) exportQuota(state core.Dump) {
	if state.Quota == nil {
		return
	}

	m, counts := d.metrics, state.Quota.Counts
	m.scope.Gauge("rate_limit_leases").Update(float64(state.Quota.Leases))
	m.scope.Gauge("rate_limit_waiting").Update(float64(state.Quota.Waiting))

	for name, count := range map[string]uint64{
		"requests": counts.Granted, "returned": counts.Returned, "pool": counts.TokensGranted,
	} {
		m.exportTotal("rate_limit_tokens_total", kindLabel, name, int64(count))
	}

	for reason, count := range map[quota.Reason]uint64{
		quota.RateLimit: counts.RateLimited, quota.MembersUnknown: counts.MembersUnknown,
		quota.PoolSilent: counts.PoolSilent,
	} {
		m.exportTotal("rate_limit_refusals_total", reasonLabel, string(reason), int64(count))
	}

	for kind, count := range map[string]uint64{"asked": counts.Borrows, "borrowed": counts.Borrowed, "lent": counts.Lent} {
		m.exportTotal("rate_limit_loans_total", kindLabel, kind, int64(count))
	}

	for kind, count := range map[string]uint64{
		"sent": counts.Sent, "sent-across": counts.SentAcross, "received": counts.Received, "ignored": counts.Ignored,
	} {
		m.exportTotal("rate_limit_datagrams_total", kindLabel, kind, int64(count))
	}

	m.exportTotal("rate_limit_pools_lost_total", "", "", int64(counts.PoolsLost))
	m.exportTotal("rate_limit_bytes_total", "", "", d.quotaBytes.Load())
}
