// Package follower composes the relay of log records with the configuration reducer, as a daemon has
// them, for fleets that follow the configuration and do nothing else. It does no I/O.
package follower

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
)

// Effect is an effect of either reducer that leaves the composition: logrelay.Read, Pull, Answer,
// Announce, Append and AppendDone, config.InForce and Decided.
type Effect any

// State is the composed state. It has a single owner.
type State struct {
	Relay  *logrelay.State
	Config *config.State
	token  uint64
}

// New returns a state that has read nothing. Tokens of its appends start above a given one, so that
// the owner can use those up to it.
func New(relay *logrelay.State, reducer *config.State, token uint64) *State {
	return &State{Relay: relay, Config: reducer, token: token}
}

// Apply advances the state by an event of the relay.
func (s *State) Apply(now time.Time, event logrelay.Event) []Effect {
	var all []Effect

	for _, effect := range s.Relay.Apply(now, event) {
		switch e := effect.(type) {
		case logrelay.Deliver:
			all = append(all, s.Configure(now, config.RecordsRead{First: e.First, Records: e.Records, Next: e.Next})...)
		case logrelay.Offer:
			// A base that does not decode is passed over; the reducer asks for another one.
			if decoded, err := record.DecodeConfig(e.Data); err == nil {
				if snapshot, ok := decoded.(record.Snapshot); ok {
					all = append(all, s.Configure(now, config.BaseOffered{Base: config.Base(snapshot)})...)
				}
			}
		case logrelay.SaveBase:
			if base, ok := s.Config.Base(); ok {
				all = append(all, s.Apply(now, logrelay.BaseSaved{
					Stream: e.Stream, Through: base.Through, Data: record.EncodeConfig(record.Snapshot(base)),
				})...)
			}
		default:
			all = append(all, effect)
		}
	}

	return all
}

// Configure advances the state by an event of the configuration reducer.
func (s *State) Configure(now time.Time, event config.Event) []Effect {
	var all []Effect

	for _, effect := range s.Config.Apply(now, event) {
		switch e := effect.(type) {
		case config.Append:
			s.token++
			all = append(all, s.Apply(now, logrelay.AppendRequested{
				Token: s.token, Stream: record.ConfigStream, Data: e.Data,
			})...)
		case config.NeedBase:
			all = append(all, s.Apply(now, logrelay.BaseMissing{Stream: record.ConfigStream})...)
		default:
			all = append(all, effect)
		}
	}

	return all
}

// ChangeRole makes the daemon a relay, or stops it being one.
func (s *State) ChangeRole(now time.Time, relay bool) []Effect {
	return append(s.Apply(now, logrelay.RoleChanged{Relay: relay}), s.Configure(now, config.RoleChanged{Relay: relay})...)
}
