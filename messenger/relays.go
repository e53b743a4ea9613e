package messenger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/twitchtv/twirp"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
)

var _ medlargw.RelayMessenger = (*Messenger)(nil)

// Relay hands a job to a peer, or asks for the outcome of one.
func (m *Messenger) Relay(ctx context.Context, to netip.AddrPort, r medlargw.Relay) (medlargw.RelayReply, error) {
	reply, err := m.clientFor(to).Relay(ctx, encodeRelay(&r))
	if err != nil {
		if notSent(err) {
			err = fmt.Errorf("%w: %w", medlargw.ErrNotSent, err)
		}
		return medlargw.RelayReply{}, err
	}
	return decodeRelayReply(reply)
}

// notSent reports whether the error of a call proves that the peer has not handled
// it: there was no connection to send it on, or the peer is of an older build
// without this kind of call.
func notSent(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return true
	}
	var answer twirp.Error
	return errors.As(err, &answer) && (answer.Code() == twirp.BadRoute || answer.Code() == twirp.Unimplemented)
}

// Relay answers a peer that hands over a job.
func (s *server) Relay(ctx context.Context, w *wire.RelayRequest) (*wire.RelayReply, error) {
	if s.handlers.relays == nil {
		return nil, unimplemented("relays")
	}
	r, err := decodeRelay(w)
	if err != nil {
		return nil, twirp.InvalidArgumentError("job", err.Error())
	}
	reply, err := s.handlers.relays.HandleRelay(ctx, r)
	if err != nil {
		return nil, err
	}
	return encodeRelayReply(&reply), nil
}

func encodeRelay(r *medlargw.Relay) *wire.RelayRequest {
	w := &wire.RelayRequest{
		From: uint64(r.ID.From), Number: r.ID.Number, Host: string(r.Host), WaitUs: r.Wait.Microseconds(), Cancel: r.Cancel,
		ValidUs: r.ValidUntil.Microseconds(),
	}
	if r.Job == nil {
		return w
	}
	j := r.Job
	w.Job = &wire.RelayedJob{
		Id:         uint64(j.ID),
		Request:    j.RequestID,
		Team:       string(j.Team),
		Service:    string(j.Service),
		Class:      string(j.Class),
		Pool:       string(j.Pool),
		Rank:       int64(j.Rank),
		Room:       encodeResources(j.Resources),
		Slack:      j.SlackFactor,
		GraceUs:    j.Grace.Microseconds(),
		Attempts:   int64(j.MaxAttempts),
		EstimateUs: j.EstimatedRuntime.Microseconds(),
		AgeUs:      r.Age.Microseconds(),
		DeadlineUs: r.TimeToDeadline.Microseconds(),
		Idempotent: j.Idempotent,
	}
	same := true
	for i := range j.Tasks {
		w.Job.Tasks = append(w.Job.Tasks, j.Tasks[i].ID)
		w.Job.Payloads = append(w.Job.Payloads, j.Tasks[i].Payload)
		same = same && bytes.Equal(j.Tasks[i].Payload, j.Tasks[0].Payload)
	}
	if same {
		w.Job.Payloads = w.Job.Payloads[:min(1, len(w.Job.Payloads))]
	}
	return w
}

// decodeRelay returns an error for a job without the payload of each task.
func decodeRelay(w *wire.RelayRequest) (medlargw.Relay, error) {
	r := medlargw.Relay{
		ID:     medlargw.RelayID{From: medlargw.Incarnation(w.GetFrom()), Number: w.GetNumber()},
		Host:   medlargw.HostName(w.GetHost()),
		Wait:   microsToDuration(w.GetWaitUs()),
		Cancel: w.GetCancel(),

		ValidUntil: microsToDuration(w.GetValidUs()),
	}
	j := w.GetJob()
	if j == nil {
		return r, nil
	}
	payloads := j.GetPayloads()
	if len(j.GetTasks()) == 0 || len(payloads) != 1 && len(payloads) != len(j.GetTasks()) {
		return medlargw.Relay{}, fmt.Errorf("got %d payloads for %d tasks", len(payloads), len(j.GetTasks()))
	}
	r.Age, r.TimeToDeadline = microsToDuration(j.GetAgeUs()), microsToDuration(j.GetDeadlineUs())
	r.Job = &medlargw.Job{
		ID:               medlargw.JobID(j.GetId()),
		Team:             medlargw.TeamName(j.GetTeam()),
		Service:          medlargw.ServiceName(j.GetService()),
		Class:            medlargw.ClassName(j.GetClass()),
		Idempotent:       j.GetIdempotent(),
		EstimatedRuntime: microsToDuration(j.GetEstimateUs()),
		RequestID:        j.GetRequest(),
		Pool:             medlargw.PoolName(j.GetPool()),
		Rank:             int(j.GetRank()),
		Resources:        decodeResources(j.GetRoom()),
		SlackFactor:      j.GetSlack(),
		Grace:            microsToDuration(j.GetGraceUs()),
		MaxAttempts:      int(j.GetAttempts()),
	}
	for i, id := range j.GetTasks() {
		r.Job.Tasks = append(r.Job.Tasks, medlargw.Task{ID: id, Payload: payloads[min(i, len(payloads)-1)]})
	}
	return r, nil
}

func encodeRelayReply(r *medlargw.RelayReply) *wire.RelayReply {
	w := &wire.RelayReply{
		State:        int32(r.State),
		Complete:     r.Outcome.Complete,
		Code:         string(r.Outcome.Code),
		Message:      r.Outcome.Message,
		RetryAfterUs: r.Outcome.RetryAfter.Microseconds(),
	}
	for i := range r.Outcome.Tasks {
		t := &r.Outcome.Tasks[i]
		w.Tasks = append(w.Tasks, &wire.RelayResult{Id: t.ID, Execution: int32(t.Execution), Body: t.Body})
	}
	return w
}

// decodeRelayReply returns an error for a state that this build does not know.
func decodeRelayReply(w *wire.RelayReply) (medlargw.RelayReply, error) {
	if w.GetState() < int32(medlargw.RelayUnknown) || w.GetState() > int32(medlargw.RelayEnded) {
		return medlargw.RelayReply{}, fmt.Errorf("relay: got state %d, want at most %d", w.GetState(), medlargw.RelayEnded)
	}
	r := medlargw.RelayReply{State: medlargw.RelayState(w.GetState()), Outcome: medlargw.Outcome{
		Complete: w.GetComplete(), Code: medlargw.Code(w.GetCode()), Message: w.GetMessage(), RetryAfter: microsToDuration(w.GetRetryAfterUs()),
	}}
	for _, t := range w.GetTasks() {
		execution := medlargw.Execution(t.GetExecution())
		if execution < medlargw.ExecutionNotRun || execution > medlargw.ExecutionUnknown {
			execution = medlargw.ExecutionUnknown
		}
		r.Outcome.Tasks = append(r.Outcome.Tasks, medlargw.TaskResult{ID: t.GetId(), Execution: execution, Body: t.GetBody()})
	}
	return r, nil
}
