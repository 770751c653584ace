package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// outdatedTopic is a topic of which all responses are older than the newest epoch, as of a store that was replaced by
// another one.
type outdatedTopic struct {
	ConfigurationTopic
	GrantTopic

	calls int
}

func (o *outdatedTopic) Newest(context.Context) (store.Page, error) {
	o.calls++

	return store.Page{}, store.ErrReturned
}

func (o *outdatedTopic) Read(context.Context, store.Position, time.Duration) (store.Page, error) {
	o.calls++

	return store.Page{}, store.ErrReturned
}

// Guards against a daemon that calls the store without pauses, because each response is of an earlier epoch.
func TestOutdatedResponses(t *testing.T) {
	const (
		duration = time.Minute
		// minPause is the least mean pause between two calls.
		minPause = 250 * time.Millisecond
	)

	for name, follow := range map[string]func(*Daemon, context.Context){
		"configuration": func(d *Daemon, ctx context.Context) { _ = d.followConfiguration(ctx) },
		"grants":        (*Daemon).followGrants,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				topic := &outdatedTopic{}
				d := &Daemon{
					platform: Platform{Configuration: topic, Grants: topic}, log: eventlog.New(zerolog.Nop()),
					rereadConfig: make(chan reread, 1), rereadGrants: make(chan store.Epoch, 1),
					storeAnswered: make(chan struct{}), state: core.New(core.Options{}),
				}

				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()

				follow(d, ctx)
				require.LessOrEqual(t, topic.calls, int(duration/minPause))
				require.Positive(t, topic.calls)
			})
		})
	}
}
