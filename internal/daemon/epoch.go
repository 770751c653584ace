package daemon

import (
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// noteEpoch applies a newer epoch of the store. The store calls it before it returns the response that states the epoch,
// so that the reducer knows of the epoch before it gets what the response holds.
func (d *Daemon) noteEpoch(epoch store.Epoch) {
	d.storeEpoch.Store(uint64(epoch))
	d.apply(core.EpochSeen{Epoch: epoch})
}

// storeReturned handles that the store has come back from an older copy. The caller holds the mutex.
func (d *Daemon) storeReturned(e core.StoreReturned) {
	d.storeReturns.Add(1)
	d.log.Warn(eventlog.StoreReturned).Uint64("epoch", uint64(e.Epoch)).Uint64("previous", uint64(e.Previous)).
		Uint64("version", d.version.Load()).Send()
	d.requestReread(reread{epoch: e.Epoch})

	select {
	case d.rereadGrants <- e.Epoch:
	default:
	}
}

// exportEpoch exports the epoch of the store and how often it rose.
func (d *Daemon) exportEpoch() {
	if epoch := d.storeEpoch.Load(); epoch != 0 {
		d.metrics.scope.Gauge("store_epoch").Update(float64(epoch))
	}

	d.metrics.exportTotal("store_returns_total", "", "", int64(d.storeReturns.Load()))
}
