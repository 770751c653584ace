package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/quota"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// handleMembershipEffects passes what membership has learned of other daemons to the packages that need it, and
// returns the effects for the daemon.
func (s *State) handleMembershipEffects(now time.Time, effects []membership.Effect) []Effect {
	var all []Effect

	for _, effect := range effects {
		switch e := effect.(type) {
		case membership.MembersChanged:
			all = append(all, s.handleRoutingEffects(now, s.routing.Apply(now, routing.MembersChanged(e)))...)
			s.updateTrialRole(e.Members)
			s.dropNotices(e.Members)

			all = append(all, s.handleMembersChanged(now, e)...)
			all = append(all, s.applyMeasurementBudget(now)...)
			all = append(all, s.updateQuotaMembers(now)...)
		case membership.Reported:
			s.handlePeerFinding(now, e.Report)

			all = append(all, s.handleRoutingEffects(now, s.routing.Apply(now, routing.Reported(e)))...)
		case membership.MessageHeard:
			s.handleSuspectsMessage(now, e.Message)
		case membership.VersionHeard:
			s.handleVersionHeard(now, e.Version)
			s.recordHeldVersion(now, e)
		case membership.PositionHeard:
			s.handlePositionHeard(now, e.Position)
			s.recordHeldPosition(now, e)
		case membership.EpochHeard:
			all = append(all, s.handleEpochHeard(e.Epoch)...)
		case membership.Ready:
			s.ready = true
			all = append(all, s.handleMembersReady(now, e)...)
			all = append(all, s.updateKeyMembers(now)...)
			all = append(all, s.applyMeasurementBudget(now)...)
			all = append(all, s.watchOwnService(now)...)
			all = append(all, e)
		default:
			all = append(all, effect)
		}
	}

	return append(all, s.updateQuotaContact(now)...)
}

// watchOwnService makes the daemon watch servers of its own service before it sends any request. Through their beats it
// hears of new configurations, and only the daemon with the lowest ID among those that hear each other asks the store often.
func (s *State) watchOwnService(now time.Time) []Effect {
	return s.handleMembershipEffects(now, s.membership.Apply(now, membership.Used{Service: s.options.Self.Service}))
}

// handleMembersReady restores what an earlier run of this daemon has stored, and the findings of its service.
func (s *State) handleMembersReady(now time.Time, e membership.Ready) []Effect {
	var effects []Effect

	s.restoreFinding(now, e)

	if e.Own.Member.ID == s.options.Self.ID {
		s.origins.earlierRunEnds = now.Add(earlierRunTime)
		s.routing.Apply(now, routing.Restarted{})
	}

	if e.Own.Member.ID == s.options.Self.ID && e.Own.Member.Incarnation >= s.options.Self.Incarnation {
		// The clock was set back since the earlier run. Without a higher incarnation, other daemons would take this
		// run for the earlier one.
		s.options.Self.Incarnation = e.Own.Member.Incarnation + 1
		entry := s.ownEntry()
		entry.Member.Incarnation = s.options.Self.Incarnation
		effects = s.handleMembershipEffects(now, s.membership.Apply(now, membership.SelfChanged{Entry: entry}))
	}

	if e.Own.Server != "" && e.Own.Member.Service == s.options.Self.Service {
		effects = append(effects, s.applyHealth(now, health.Started{
			Last: backend.ID(e.Own.Server), Born: e.Own.Born, Left: e.Own.Left,
		})...)
	}

	return effects
}

// Admission returns the state of the queue in front of the backend server.
func (s *State) Admission() admission.Dump { return s.admission.Dump() }

// MemberCount returns the number of members, this daemon included.
func (s *State) MemberCount() int { return s.membership.MemberCount() }

// RankAmongHeard returns the number of members with a lower ID than this daemon whose beats arrive regularly.
func (s *State) RankAmongHeard(now time.Time) int { return s.membership.RankAmongHeard(now) }

// Stored reports whether this run of the daemon has written its entry to the store.
func (s *State) Stored() bool { return s.membership.Stored() }

// Member returns a member by its ID.
func (s *State) Member(id instance.ID) (instance.Member, bool) { return s.membership.Member(id) }

// Version returns the version of the manifest in force; zero if there is none.
func (s *State) Version() uint64 { return s.version }

// Server returns the ID of the backend server that attempts are meant for; empty if it has none.
func (s *State) Server() backend.ID { return s.health.Server() }

// Self returns the daemon's own member.
func (s *State) Self() instance.Member { return s.membership.Self().Member }

// InProgress returns the number of requests and attempts in progress.
func (s *State) InProgress() int { return len(s.requests) + len(s.localAttempts) }

// Dump holds the state for the state dump.
type Dump struct {
	Requests int
	// Serving is the number of attempts that wait for the backend server or run there.
	Serving int
	Crashes int
	Version uint64
	// Epoch is the newest epoch that the store has stated; zero if it states none.
	Epoch store.Epoch
	// Read is the position up to which the topic of the configuration was read.
	Read store.Position
	// Evacuated holds the evacuated failure domains. OwnEvacuated is set if that of this daemon is one of them.
	Evacuated    []string
	OwnEvacuated bool
	// Unreadable is set while the configuration cannot be read from the store.
	Unreadable bool
	Draining   bool
	Routing    routing.Dump
	Admission  admission.Dump
	Health     health.Dump
	Suspects   suspects.Dump
	Membership membership.Dump
	// Keys is nil if the manifest uses no idempotency keys.
	Keys *keys.Dump
	// Quota is nil if no tenant has a rate limit.
	Quota *quota.Dump
	// Told is the load report that routing and the other daemons received last.
	Told load.Report
}

// Dump returns a copy of the state in plain values.
func (s *State) Dump(now time.Time) Dump {
	d := Dump{
		Requests: len(s.requests), Serving: len(s.localAttempts), Crashes: s.crashCount, Version: s.version,
		Epoch: s.epoch, Read: s.read, Evacuated: s.Evacuated(), OwnEvacuated: s.ownDomainEvacuated(),
		Unreadable: s.fetches.unreadable, Draining: s.draining, Routing: s.routing.Dump(now), Admission: s.admission.Dump(),
		Health: s.health.Dump(now), Suspects: s.suspects.Dump(now), Membership: s.membership.Dump(now),
		Told: s.publishedReport,
	}
	d.Admission.Tenants = s.admission.Tenants()

	if s.keyReducer != nil {
		table := s.keyReducer.table.Dump()
		d.Keys = &table
	}

	if s.quota.Active() {
		limits := s.quota.Dump(now)
		d.Quota = &limits
	}

	return d
}
