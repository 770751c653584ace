package core

import (
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// fromMembership passes member changes to the packages that need them.
func (s *State) fromMembership(now time.Time, effects []membership.Effect) []Effect {
	var all []Effect

	changed := false

	for _, effect := range effects {
		switch e := effect.(type) {
		case membership.MembersChanged:
			changed = true
			all = append(all, s.fromRouting(now, s.routing.Apply(now, routing.MembersChanged(e)))...)
			all = append(all, s.membersOfKeys(now, e)...)
		case membership.Ready:
			s.ready = true
			all = append(all, s.membersOfKeys(now, membership.MembersChanged{
				Service: s.self.Service, Members: s.membership.Members(s.self.Service),
			})...)
			all = append(all, e)
		case membership.Exchange:
			all = append(all, Exchange{
				To: e.To, Message: e.Message,
				Throughs: s.relay.Throughs(now), Reports: s.suspects.Recent(now),
			})
		case membership.Reply:
			all = append(all, ExchangeReply{
				Call: e.Call, Message: e.Message,
				Throughs: s.relay.Throughs(now), Reports: s.suspects.Recent(now),
			})
		default:
			all = append(all, effect)
		}
	}

	if changed {
		all = append(all, s.updateRoles(now)...)
	}

	return all
}

// membersOfKeys passes members to the key table. Those of the own service wait until the member table is
// ready, because a daemon that knows only itself would claim every partition of its service.
func (s *State) membersOfKeys(now time.Time, e membership.MembersChanged) []Effect {
	if e.Service == s.self.Service && !s.ready {
		return nil
	}

	return s.fromKeys(now, s.keys.Apply(now, keys.MembersChanged(e)))
}

// exchangeArrived treats what a neighbour sent.
func (s *State) exchangeArrived(now time.Time, e ExchangeArrived) []Effect {
	effects := s.heard(now, e.Message.From, e.Throughs, e.Reports)

	return append(effects, s.fromMembership(now, s.membership.Apply(now,
		membership.ExchangeReceived{Call: e.Call, Message: e.Message}))...)
}

// exchangeEnded treats what a neighbour answered.
func (s *State) exchangeEnded(now time.Time, e ExchangeEnded) []Effect {
	effects := s.heard(now, e.To, e.Throughs, e.Reports)

	return append(effects, s.fromMembership(now, s.membership.Apply(now,
		membership.ExchangeEnded{To: e.To, Message: e.Message}))...)
}

func (s *State) heard(now time.Time, from instance.ID, throughs []logrelay.Through, reports []suspects.Report) []Effect {
	s.suspects.Apply(now, suspects.ReportsHeard{Reports: reports})

	return s.fromRelay(now, s.relay.Apply(now, logrelay.ThroughsHeard{From: from, Throughs: throughs}))
}

// updateRoles tells the log relay and configuration what this daemon has to do for others.
func (s *State) updateRoles(now time.Time) []Effect {
	var effects []Effect

	relay := s.membership.Relay(s.self.Place.Region)
	if relay != s.isRelay {
		s.isRelay = relay
		effects = append(effects, s.fromRelay(now, s.relay.Apply(now, logrelay.RoleChanged{Relay: relay}))...)
		effects = append(effects, s.fromConfig(now, s.config.Apply(now, config.RoleChanged{Relay: relay}))...)
	}

	neighbours := ids(s.membership.Neighbours())
	if !slices.Equal(neighbours, s.neighbours) {
		s.neighbours = neighbours
		effects = append(effects, s.fromRelay(now, s.relay.Apply(now, logrelay.NeighboursChanged{Neighbours: neighbours}))...)
	}

	return effects
}

// fromConfig passes a new version to the packages that depend on it.
func (s *State) fromConfig(now time.Time, effects []config.Effect) []Effect {
	var all []Effect

	for _, effect := range effects {
		switch e := effect.(type) {
		case config.InForce:
			all = append(all, s.inForce(now, e)...)
		case config.Append:
			all = append(all, s.appendRecord(now, record.ConfigStream, e.Data)...)
		case config.NeedBase:
			all = append(all, s.fromRelay(now, s.relay.Apply(now, logrelay.BaseMissing{Stream: record.ConfigStream}))...)
		default:
			all = append(all, effect)
		}
	}

	return all
}

// inForce applies a manifest that the config package has validated.
func (s *State) inForce(now time.Time, e config.InForce) []Effect {
	if e.Manifest != s.parsedText && s.checkManifest(e.Manifest) != nil {
		return nil
	}

	parsed := s.parsed
	effects := s.fromRouting(now, s.routing.Apply(now, routing.PolicyChanged{Services: parsed.Services}))
	effects = append(effects, s.fromKeys(now, s.keys.Apply(now, keys.PolicyChanged{Keys: parsed.Keys}))...)

	return append(effects, ManifestChanged{Version: e.Version, Manifest: parsed})
}

// fromRelay passes records and bases to the reducer of their stream.
func (s *State) fromRelay(now time.Time, effects []logrelay.Effect) []Effect {
	var all []Effect

	for _, effect := range effects {
		switch e := effect.(type) {
		case logrelay.Deliver:
			all = append(all, s.deliver(now, e)...)
		case logrelay.Offer:
			all = append(all, s.offer(now, e)...)
		case logrelay.SaveBase:
			all = append(all, s.saveBase(now, e.Stream)...)
		case logrelay.AppendDone:
			// The outcome is learned by reading the stream.
			if e.Token == s.combined.appending {
				s.combined.appending = 0
			}
		default:
			all = append(all, effect)
		}
	}

	return all
}

func (s *State) deliver(now time.Time, e logrelay.Deliver) []Effect {
	switch e.Stream {
	case record.ConfigStream:
		return s.fromConfig(now, s.config.Apply(now, config.RecordsRead{First: e.First, Records: e.Records, Next: e.Next}))
	case record.GrantsStream:
		return s.fromKeys(now, s.keys.Apply(now, decodeGrants(e)))
	case record.MembersStream:
		return s.fromMembership(now, s.membership.Apply(now, decodeContacts(e)))
	default:
		return nil
	}
}

func (s *State) offer(now time.Time, e logrelay.Offer) []Effect {
	switch e.Stream {
	case record.ConfigStream:
		base, err := decodeConfigBase(e.Data)
		if err != nil {
			return nil
		}

		return s.fromConfig(now, s.config.Apply(now, config.BaseOffered{Base: base}))
	case record.GrantsStream:
		base, err := decodeGrantBase(e.Data)
		if err != nil {
			return nil
		}

		return s.fromKeys(now, s.keys.Apply(now, keys.BaseOffered{Base: base}))
	default:
		return nil
	}
}

func (s *State) saveBase(now time.Time, stream string) []Effect {
	saved := logrelay.BaseSaved{Stream: stream}

	switch stream {
	case record.ConfigStream:
		base, ok := s.config.Base()
		if !ok {
			return nil
		}

		saved.Through, saved.Data = base.Through, encodeConfigBase(base)
	case record.GrantsStream:
		base, ok := s.keys.Base()
		if !ok {
			return nil
		}

		data, err := encodeGrantBase(base)
		if err != nil {
			return nil
		}

		saved.Through, saved.Data = base.Through, data
	default:
		return nil
	}

	return s.fromRelay(now, s.relay.Apply(now, saved))
}

// appendRecord queues a record for the log.
func (s *State) appendRecord(now time.Time, stream string, data []byte) []Effect {
	s.token++

	return s.fromRelay(now, s.relay.Apply(now, logrelay.AppendRequested{Token: s.token, Stream: stream, Data: data}))
}
