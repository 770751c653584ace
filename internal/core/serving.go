package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// handleAttemptArrived asks admission for a slot. It checks for suspects too, because the entry daemon may not have
// heard of a crash yet.
func (s *State) handleAttemptArrived(now time.Time, e AttemptArrived) []Effect {
	switch s.suspects.Check(now, e.Request) {
	case suspects.Barred:
		return []Effect{admission.Refuse{Attempt: e.Attempt, Reason: CrashesServers}}
	case suspects.Alone:
		e.Request = e.Request.WithAlone()
	case suspects.Free:
	}

	var effects []Effect

	if !e.Notice.IsEmpty() {
		effects = s.applyHealth(now, health.Noticed{Notice: e.Notice})
	}

	effects = append(effects, s.endIdleTime(now)...)

	s.localAttempts[e.Attempt] = &localAttempt{request: e.Request}
	s.attemptOrder = append(s.attemptOrder, e.Attempt)

	return append(effects, s.applyAdmission(now, admission.Arrived{
		Attempt:  e.Attempt,
		Deadline: e.Request.Deadline,
		Rank:     e.Request.Rank(),
		Priority: e.Request.Priority,
		Tenant:   s.tenantOf(e.Request),
		Alone:    e.Request.Alone,
		Wait:     e.Wait,
		Slowest:  e.Slowest,
	})...)
}

// originPrefix begins the names under which requests without a tenant compete. Names of tenants have no slash.
const originPrefix = "service/"

// tenantOf returns the name under which a request competes for slots: that of its tenant, or the service from which it
// comes. Without tenants in the manifest it is empty for all requests.
func (s *State) tenantOf(r request.Request) string {
	switch {
	case len(s.manifest.Tenants) == 0:
		return ""
	case r.Tenant != "":
		return r.Tenant
	default:
		return originPrefix + r.Origin
	}
}

// applyAdmission passes an event to admission and keeps localAttempts up to date.
func (s *State) applyAdmission(now time.Time, event admission.Event) []Effect {
	if done, ok := event.(admission.Done); ok {
		s.removeAttempt(now, done.Attempt)
	}

	effects := s.admission.Apply(now, event)
	all := make([]Effect, 0, len(effects))

	for _, effect := range effects {
		switch e := effect.(type) {
		case admission.Start:
			if local, ok := s.localAttempts[e.Attempt]; ok {
				local.started, local.startedAt, local.start = true, now, s.concurrency.RequestStarted(now)
			}
		case admission.Refuse:
			s.removeAttempt(now, e.Attempt)
		}

		all = append(all, effect)
	}

	if cancelled, ok := event.(admission.Cancelled); ok {
		if local, known := s.localAttempts[cancelled.Attempt]; known && !local.started {
			s.removeAttempt(now, cancelled.Attempt)
		}
	}

	return all
}

// removeAttempt removes an attempt that has ended or was refused.
func (s *State) removeAttempt(now time.Time, attempt admission.Attempt) {
	local, ok := s.localAttempts[attempt]
	if !ok {
		return
	}

	if local.started {
		s.origins.addEnded(now, local.request)
	}

	delete(s.localAttempts, attempt)
	s.attemptOrder = slices.DeleteFunc(s.attemptOrder, func(a admission.Attempt) bool { return a == attempt })
}

// handleAttemptServed frees the slot of an attempt and passes its outcome to health. The duration counts for the
// concurrency limit only if the server did the work and is not slow after a start.
func (s *State) handleAttemptServed(now time.Time, e AttemptServed) []Effect {
	if local, ok := s.localAttempts[e.Attempt]; ok && local.started && e.Ran && !e.Failed {
		s.recordRunTime(now.Sub(local.startedAt))

		if s.health.ColdFor(now) == 0 {
			s.concurrency.RequestEnded(now, local.request.Route, local.start)
		}
	}

	effects := s.applyAdmission(now, admission.Done{Attempt: e.Attempt, Misdirected: e.Misdirected})

	if e.Ran {
		s.postponeLimitRecheck(now)
		s.callRates.addRequest()

		effects = append(effects, s.applyHealth(now, health.Ran{Failed: e.Failed, Unserved: e.Unserved})...)
	}

	return effects
}

// applyHealth passes an event to health, and what it changes to admission and membership.
func (s *State) applyHealth(now time.Time, event health.Event) []Effect {
	var all []Effect

	for _, effect := range s.health.Apply(now, event) {
		if _, changed := effect.(health.Changed); !changed {
			all = append(all, effect)

			continue
		}

		all = append(all, s.updateSlotLimit(now)...)

		if id := s.health.Server(); id != s.reportedServer {
			s.reportedServer = id
			all = append(all, ServerReplaced{ID: id})
		}

		all = append(all, ServerChanged{
			ID: s.health.Server(), Closed: s.health.RefusalReason(), Slots: s.slotLimit, Why: fmt.Sprintf("%T", event),
		})
		all = append(all, s.handleMembershipEffects(now, s.membership.Apply(now, membership.SelfChanged{
			Entry: s.ownEntry(),
		}))...)
	}

	all = append(all, s.updateSlotLimit(now)...)

	return append(all, s.updateAdmission(now)...)
}

// updateAdmission tells admission which attempts the backend server can take.
func (s *State) updateAdmission(now time.Time) []Effect {
	refusalReason := s.serverRefusalReason()
	if s.closing {
		refusalReason = admission.Draining
	}

	limit := s.health.Limit()
	cold := s.health.ColdLimit(now)

	return s.applyAdmission(now, admission.ServerChanged{
		Closed: refusalReason, Slots: s.slotLimit, Queue: s.queueLimit(), Slowness: s.health.Slowness(),
		Limited: limit.Set, PerSecond: limit.PerSecond,
		ColdRate: cold.PerSecond, ColdUntil: cold.Until, ColdUnknown: cold.Unknown, ColdFrom: cold.From,
	})
}

// updateSlotLimit sets slotLimit from the server's slots and the measured concurrency limit, and publishes a new
// finding.
func (s *State) updateSlotLimit(now time.Time) []Effect {
	var effects []Effect

	previousLimit := s.slotLimit

	if slots := s.health.Slots(); slots != s.serverSlots {
		s.serverSlots = slots
		s.adoptMostCommonFinding(now)
	}

	s.slotLimit = s.serverSlots
	if s.slotLimit > 1 {
		s.slotLimit = s.concurrency.Limit(now, s.slotLimit)
	}

	if s.slotLimit != previousLimit {
		effects = append(effects, ServerChanged{
			ID: s.health.Server(), Closed: s.health.RefusalReason(), Slots: s.slotLimit, Why: "concurrency",
		})
	}

	if finding := s.concurrency.Finding(now); finding.Limit > 0 && finding.Limit != s.storedLimit {
		s.storedLimit = finding.Limit
		effects = append(effects, s.handleMembershipEffects(now, s.membership.Apply(now, membership.SelfChanged{
			Entry: s.ownEntry(),
		}))...)
	}

	return effects
}

// queueLimit returns the number of attempts that may wait for a slot.
func (s *State) queueLimit() int {
	if s.options.FixedSlots > 0 {
		return s.options.Queue
	}

	return s.options.QueuePerSlot * s.slotLimit
}

// publishLoad reports the load of the local server to routing and the other daemons if it has changed enough, or if
// there is another version of the manifest, epoch of the store or position in the topic of the configuration, which the
// other daemons learn with it.
func (s *State) publishLoad(now time.Time) []Effect {
	s.concurrency.SetLoad(now, s.admission.Running(), s.health.Slowness())

	watched := s.membership.Watched(now) || s.admission.Running() > 0
	effects := s.setWatched(now, watched)

	s.updateLimitTimer(now)

	report := s.loadReport(now)
	known := s.publishedVersion == s.version && s.publishedEpoch == s.epoch && s.publishedRead == s.read &&
		s.isCold(now) == s.publishedCold
	if known && !changedSignificantly(s.publishedReport, report) {
		return effects
	}

	s.publishedReport, s.publishedVersion, s.publishedEpoch, s.publishedRead = report, s.version, s.epoch, s.read
	s.publishedCold = s.isCold(now)

	ownReport := report
	// A draining daemon tells others to send no more work, but still uses its own server.
	ownReport.Open = s.serverRefusalReason() == ""
	effects = append(effects, s.handleRoutingEffects(now, s.routing.Apply(now, routing.Reported{Report: ownReport}))...)

	return append(effects, s.handleMembershipEffects(now, s.membership.Apply(now, membership.LoadChanged{
		Report: report, Version: s.version, Epoch: s.epoch, Read: s.read,
	}))...)
}

// setWatched tells health whether the load is needed, by another daemon or for the attempts that run here.
func (s *State) setWatched(now time.Time, watched bool) []Effect {
	running := s.hasRequests()
	if watched == s.health.Watched() && running == s.health.Running() {
		return nil
	}

	return s.applyHealth(now, health.Busy{Watched: watched, Running: running})
}

// loadReport returns the present load of the local server.
func (s *State) loadReport(now time.Time) load.Report {
	return s.limitReport(now, load.Report{
		Server: s.options.Self.ID, Incarnation: s.membership.Self().Member.Incarnation,
		Open:    s.serverRefusalReason() == "" && !s.draining,
		Running: s.admission.Running(), Waiting: s.admission.Waiting(), Slots: s.slotLimit,
		Slowness: s.health.Slowness(), Failing: s.health.FailureShare(now), ColdFor: s.health.ColdFor(now),
		Counter: s.reportCounter(now), Found: s.concurrency.OwnFinding(now),
	})
}

// reportCounter returns the counter that orders the reports of a run: the microseconds since the start. Unlike a
// count of reports, it does not change when a report is made.
func (s *State) reportCounter(now time.Time) uint64 {
	return uint64(max(0, now.Sub(s.options.Self.Started).Microseconds())) + 1
}

// changedSignificantly reports whether a change of the load matters for the choice of a server. The number of busy
// slots does not matter while more than half of them are free.
func changedSignificantly(before, after load.Report) bool {
	if before.Server == "" || before.Open != after.Open || before.Incarnation != after.Incarnation ||
		after.CapacityDiffers(before) {
		return true
	}

	busyBefore, busyAfter := before.RequestCount(), after.RequestCount()

	return busyBefore != busyAfter && 2*max(busyBefore, busyAfter) >= after.Slots
}

// handleServerCrashed makes all requests that run at the server suspect. Each of their attempts notices the crash by
// itself and reports it; the attempts that an earlier report covers are skipped, so that a crash counts once.
func (s *State) handleServerCrashed(now time.Time) []Effect {
	var (
		requests []request.Request
		crashed  []*localAttempt
	)

	for _, attempt := range s.attemptOrder {
		local := s.localAttempts[attempt]
		if !local.started || local.crashID != "" {
			continue
		}

		requests = append(requests, local.request)
		crashed = append(crashed, local)
	}

	if len(requests) == 0 {
		return nil
	}

	s.crashCount++
	source := fmt.Sprintf("%s/%d/%d", s.options.Self.ID, s.options.Self.Incarnation, s.crashCount)

	for _, local := range crashed {
		local.crashID = source
	}

	return s.handleSuspectsEffects(now, s.suspects.Apply(now, suspects.Crashed{Source: source, Requests: requests}))
}

// reportsPerMessage is the number of suspect reports that fit into one datagram.
const reportsPerMessage = 6

// handleSuspectsEffects sends new suspect reports to the other daemons.
func (s *State) handleSuspectsEffects(now time.Time, effects []suspects.Effect) []Effect {
	var all []Effect

	for _, effect := range effects {
		all = append(all, effect)

		e, ok := effect.(suspects.Announce)
		if !ok {
			continue
		}

		for reports := range slices.Chunk(e.Reports, reportsPerMessage) {
			all = append(all, s.handleMembershipEffects(now, s.membership.Apply(now, membership.Spread{
				Message: suspects.Encode(now, reports),
			}))...)
		}
	}

	return all
}

// handleSuspectsMessage adds the suspect reports of another daemon. It ignores messages that cannot be decoded.
func (s *State) handleSuspectsMessage(now time.Time, message []byte) {
	if reports, err := suspects.Decode(now, message); err == nil {
		s.suspects.Apply(now, suspects.ReportsHeard{Reports: reports})
	}
}

// CrashID returns the ID of the crash that hit an attempt at the local backend server; empty if none did.
func (s *State) CrashID(attempt admission.Attempt) string {
	if local, ok := s.localAttempts[attempt]; ok {
		return local.crashID
	}

	return ""
}

// ParentRequest returns the request that runs at the local backend server and has the call token; see CallToken.
func (s *State) ParentRequest(token string) (request.Request, bool) {
	for _, attempt := range s.attemptOrder {
		if local := s.localAttempts[attempt]; local.started && CallToken(attempt) == token {
			return local.request, true
		}
	}

	return request.Request{}, false
}

// CallToken returns the token by which calls of the backend server name the attempt that makes them. It cannot be
// guessed, because request IDs are random.
func CallToken(attempt admission.Attempt) string {
	return fmt.Sprintf("%s.%d", attempt.ID, attempt.Number)
}
