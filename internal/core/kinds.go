package core

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/internal/trace"
)

// EventKinds returns the kinds of all events, for recordings.
func EventKinds() (*trace.Kinds[Event], error) {
	return trace.NewKinds[Event](
		Started{}, RequestArrived{}, OwnedArrived{}, RequestCancelled{}, RequestEnded{}, Answered{},
		AttemptEnded{}, AttemptArrived{}, ServerCrashed{}, ExchangeArrived{}, ExchangeEnded{},
		GrantsArrived{}, DrainStarted{}, Tick{},

		routing.Arrived{}, routing.AttemptEnded{}, routing.Cancelled{}, routing.TimerFired{},
		routing.MembersChanged{}, routing.PolicyChanged{}, routing.ProbeEnded{}, routing.Tick{},

		admission.Arrived{}, admission.Done{}, admission.Cancelled{}, admission.DrainStarted{},
		admission.LimitsChanged{}, admission.ServerChanged{}, admission.Tick{},

		keys.Arrived{}, keys.Finished{}, keys.Cancelled{}, keys.RecordsRead{}, keys.BaseOffered{},
		keys.MembersChanged{}, keys.PolicyChanged{}, keys.DrainStarted{}, keys.HandoverReceived{},
		keys.HandoverEnded{}, keys.Tick{},

		suspects.Crashed{}, suspects.Implicated{}, suspects.ReportsHeard{}, suspects.Completed{},
		suspects.Tick{},

		membership.Started{}, membership.ContactsRead{}, membership.ExchangeReceived{},
		membership.ExchangeEnded{}, membership.ExchangeFailed{}, membership.PageRequested{},
		membership.PageReceived{}, membership.PullFailed{}, membership.DrainStarted{},
		membership.LeaveStarted{}, membership.PeerObserved{}, membership.Tick{},

		config.RecordsRead{}, config.BaseOffered{}, config.RoleChanged{}, config.Tick{},

		logrelay.RoleChanged{}, logrelay.NeighboursChanged{}, logrelay.ThroughsHeard{},
		logrelay.ReadEnded{}, logrelay.PullRequested{}, logrelay.PullEnded{}, logrelay.BaseSaved{},
		logrelay.BaseMissing{}, logrelay.AppendRequested{}, logrelay.AppendEnded{}, logrelay.Tick{},
	)
}

// EffectKinds returns the kinds of all effects, for recordings.
func EffectKinds() (*trace.Kinds[Effect], error) {
	return trace.NewKinds[Effect](
		Forward{}, Refuse{}, Abandon{}, Exchange{}, ExchangeReply{}, ManifestChanged{}, SendGrants{},

		routing.Attempt{}, routing.CancelAttempt{}, routing.Deliver{}, routing.GiveUp{},
		routing.StartTimer{}, routing.Probe{},

		admission.Start{}, admission.Refuse{}, admission.Abort{}, admission.Drained{},

		keys.Admit{}, keys.Replay{}, keys.Wait{}, keys.Refuse{}, keys.AppendGrants{}, keys.SendHandover{},

		suspects.Announce{},

		membership.Exchange{}, membership.Reply{}, membership.Pull{}, membership.ReplyPage{},
		membership.MembersChanged{}, membership.Ready{}, membership.Superseded{},

		config.InForce{}, config.Append{}, config.NeedBase{}, config.Decided{},

		logrelay.Read{}, logrelay.Pull{}, logrelay.Answer{}, logrelay.Announce{}, logrelay.Deliver{},
		logrelay.Offer{}, logrelay.SaveBase{}, logrelay.Append{}, logrelay.AppendDone{},
	)
}

// NewRecorder returns a recorder for a state with these options that writes at most limit bytes.
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

// Replay feeds a recording through a state that starts from the recorded options; see trace.Replay.
func Replay(in io.ReadSeeker) (trace.Result, error) {
	events, err := EventKinds()
	if err != nil {
		return trace.Result{}, err
	}

	effects, err := EffectKinds()
	if err != nil {
		return trace.Result{}, err
	}

	return trace.Replay(in, events, effects, func(header trace.Header) (trace.Apply[Event, Effect], error) {
		var options Options
		if err := json.Unmarshal(header.Options, &options); err != nil {
			return nil, errors.Wrap(err, "decode options")
		}

		return New(options).Apply, nil
	})
}
