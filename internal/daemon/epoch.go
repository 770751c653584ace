package daemon

import (
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// noteEpoch records a newer epoch of the store. The store calls it before it returns the response that states the epoch.
func (d *Daemon) noteEpoch(epoch store.Epoch) {
	previous := d.storeEpoch.Swap(uint64(epoch))
	if previous == 0 {
		return
	}

	d.storeReturns.Add(1)
	d.log.Warn(eventlog.StoreReturned).Uint64("epoch", uint64(epoch)).Uint64("previous", previous).
		Uint64("version", d.version.Load()).Send()
}

// exportEpoch exports the epoch of the store and how often it rose.
func (d *Daemon) exportEpoch() {
	if epoch := d.storeEpoch.Load(); epoch != 0 {
		d.metrics.scope.Gauge("store_epoch").Update(float64(epoch))
	}

	d.metrics.exportTotal("store_returns_total", "", "", int64(d.storeReturns.Load()))
}
