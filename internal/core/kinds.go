package core

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/quota"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/internal/trace"
)

// EventKinds returns the kinds of all events, for recordings. It returns an error if encoding/json cannot restore
// one.
func EventKinds() (*trace.Kinds[Event], error) {
	return trace.NewKinds[Event](
		Started{}, RequestArrived{}, OwnedArrived{}, Answered{}, RequestCancelled{}, AttemptEnded{},
		AttemptArrived{}, AttemptServed{}, ServerCrashed{}, ManifestRead{}, EvacuationsRead{}, StoreRead{}, FetchEnded{},
		EpochSeen{}, DrainStarted{}, Closing{}, Resumed{}, Tick{},

		routing.Arrived{}, routing.Accepted{}, routing.Ended{}, routing.Cancelled{}, routing.Reported{},
		routing.MembersChanged{}, routing.PolicyChanged{}, routing.HedgeChanged{}, routing.EvacuationsChanged{},
		routing.Restarted{}, routing.Closing{}, routing.Tick{},

		admission.Arrived{}, admission.Done{}, admission.Cancelled{}, admission.ServerChanged{}, admission.Tick{},

		health.Started{}, health.Announced{}, health.Withdrawn{}, health.Observed{}, health.LimitStated{},
		health.Leaving{}, health.Noticed{}, health.Ran{},
		health.Refused{}, health.Misdirected{}, health.Probed{}, health.Busy{}, health.PaceChanged{},
		health.ColdPolicyChanged{}, health.Tick{},

		keys.Arrived{}, keys.Finished{}, keys.Cancelled{}, keys.EpochChanged{}, keys.RecordsRead{}, keys.BaseOffered{},
		keys.MembersChanged{}, keys.PolicyChanged{}, keys.DrainStarted{}, keys.HandoverReceived{},
		keys.HandoverEnded{}, keys.Tick{},

		suspects.Crashed{}, suspects.Implicated{}, suspects.ReportsHeard{}, suspects.Completed{},
		suspects.Tick{},

		quota.Arrived{}, quota.Cancelled{}, quota.Returned{}, quota.MembersChanged{}, quota.Contacted{},
		quota.PolicyChanged{}, quota.Heard{}, quota.Resumed{}, quota.Closing{}, quota.Tick{},

		membership.Started{}, membership.EntriesRead{}, membership.EntryWritten{}, membership.BeatHeard{},
		membership.SelfChanged{}, membership.LoadChanged{}, membership.BudgetChanged{}, membership.Used{},
		membership.Spread{},
		membership.StoreReturned{}, membership.Resumed{}, membership.Left{}, membership.Tick{},
	)
}

// EffectKinds returns the kinds of all effects, for recordings. It returns an error if encoding/json cannot restore
// one.
func EffectKinds() (*trace.Kinds[Effect], error) {
	return trace.NewKinds[Effect](
		Refuse{}, Forward{}, FollowGrants{}, ManifestChanged{}, RereadManifest{}, EvacuationsChanged{},
		FetchConfiguration{}, StoreReturned{}, CheckStore{}, ServerReplaced{}, ServerChanged{},

		routing.Attempt{}, routing.CancelAttempt{}, routing.Deliver{}, routing.GiveUp{},

		admission.Start{}, admission.Queued{}, admission.Refuse{}, admission.Abort{},

		health.Probe{}, health.Changed{}, health.ColdChanged{},

		keys.Admit{}, keys.Replay{}, keys.Wait{}, keys.Refuse{}, keys.AppendGrants{}, keys.SendHandover{},

		suspects.Announce{},

		quota.Admit{}, quota.Refuse{}, quota.Send{}, quota.PoolChanged{}, quota.PoolChosen{},

		membership.ReadEntries{}, membership.WriteEntry{}, membership.SendBeat{}, membership.MembersChanged{},
		membership.Reported{}, membership.MessageHeard{}, membership.VersionHeard{}, membership.PositionHeard{},
		membership.EpochHeard{}, membership.Ready{},
	)
}

// NewRecorder returns a recorder that writes at most limit bytes to out, for a state with these options.
func NewRecorder(out io.Writer, limit int64, options Options) (*trace.Recorder[Event, Effect], error) {
	events, err := EventKinds()
	if err != nil {
		return nil, err
	}

	effects, err := EffectKinds()
	if err != nil {
		return nil, err
	}

	encoded, err := json.Marshal(options)
	if err != nil {
		return nil, errors.Wrap(err, "encode options")
	}

	return trace.NewRecorder(out, limit, trace.Header{Seed: options.Seed, Options: encoded}, events, effects), nil
}

// Replay applies the recorded events to a state with the recorded options and compares the effects; see trace.Replay.
func Replay(in io.ReadSeeker) (trace.Result, error) {
	events, err := EventKinds()
	if err != nil {
		return trace.Result{}, err
	}

	effects, err := EffectKinds()
	if err != nil {
		return trace.Result{}, err
	}

	return trace.Replay(in, events, effects, func(header trace.Header) (trace.Reducer[Event, Effect], error) {
		var options Options
		if err := json.Unmarshal(header.Options, &options); err != nil {
			return nil, errors.Wrap(err, "decode options")
		}

		return New(options).Apply, nil
	})
}
