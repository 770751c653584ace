package fleet_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// gate is a fault of one daemon's connection to the store.
type gate struct {
	// refuses makes all calls for the configuration fail, silent makes waiting reads get no answer.
	refuses, silent atomic.Bool
}

// gatedTopic is the topic of the configuration behind a gate.
type gatedTopic struct {
	daemon.ConfigurationTopic

	gate *gate
}

func (g gatedTopic) Newest(ctx context.Context) (store.Page, error) {
	if g.gate.refuses.Load() {
		return store.Page{}, store.ErrRejected
	}

	return g.ConfigurationTopic.Newest(ctx)
}

func (g gatedTopic) Await(ctx, waiting context.Context, from store.Position, wait time.Duration) (store.Page, error) {
	page, err := g.ConfigurationTopic.Await(ctx, waiting, from, wait)

	switch {
	case g.gate.refuses.Load():
		return store.Page{}, store.ErrRejected
	case !g.gate.silent.Load():
		return page, err
	}

	select {
	case <-waiting.Done():
		return store.Page{}, waiting.Err()
	case <-time.After(wait):
		return store.Page{}, store.ErrSilent
	}
}

// withGates puts a gate between each daemon and the store. The gates are in the order in which the daemons start.
func withGates(gates *[]*gate) fleet.Option {
	return fleet.WithPlatformChange(func(p *daemon.Platform) {
		g := &gate{}
		*gates = append(*gates, g)
		p.Configuration = gatedTopic{ConfigurationTopic: p.Configuration, gate: g}
	})
}
