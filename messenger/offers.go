package messenger

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
)

var _ medlargw.OfferMessenger = (*Messenger)(nil)

// Offer sends an offer from this entry, as a home, to a holder.
func (m *Messenger) Offer(ctx context.Context, to netip.AddrPort, o medlargw.Offer) (medlargw.OfferReply, error) {
	reply, err := m.clientFor(to).Offer(ctx, encodeOffer(&o))
	if err != nil {
		return medlargw.OfferReply{}, err
	}
	return decodeOfferReply(reply), nil
}

// Report sends task events from this entry, as a holder, to a home.
func (m *Messenger) Report(ctx context.Context, to netip.AddrPort, r medlargw.Report) error {
	_, err := m.clientFor(to).Report(ctx, encodeReport(&r))
	return err
}

// Transfer hands targets over to another holder.
func (m *Messenger) Transfer(ctx context.Context, to netip.AddrPort, t medlargw.Transfer) error {
	_, err := m.clientFor(to).Transfer(ctx, encodeTransfer(&t))
	return err
}

// Offer answers the offer of a home.
func (s *server) Offer(ctx context.Context, r *wire.OfferRequest) (*wire.OfferReply, error) {
	if s.handlers.offers == nil {
		return nil, unimplemented("offers")
	}
	offer, err := decodeOffer(r)
	if err != nil {
		return nil, twirp.InvalidArgumentError("tasks", err.Error())
	}
	reply, err := s.handlers.offers.HandleOffer(ctx, offer)
	if err != nil {
		return nil, err
	}
	return encodeOfferReply(&reply), nil
}

// Report receives the task events of a holder.
func (s *server) Report(ctx context.Context, r *wire.ReportRequest) (*wire.ReportReply, error) {
	if s.handlers.offers == nil {
		return nil, unimplemented("reports")
	}
	if err := s.handlers.offers.HandleReport(ctx, decodeReport(r)); err != nil {
		return nil, err
	}
	return &wire.ReportReply{}, nil
}

// Transfer receives targets from their previous holder.
func (s *server) Transfer(ctx context.Context, r *wire.TransferRequest) (*wire.TransferReply, error) {
	if s.handlers.offers == nil {
		return nil, unimplemented("transfers")
	}
	if err := s.handlers.offers.HandleTransfer(ctx, decodeTransfer(r)); err != nil {
		return nil, err
	}
	return &wire.TransferReply{}, nil
}

func microsToDuration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func encodeTask(t *medlargw.OfferedTask) *wire.OfferedTask {
	w := &wire.OfferedTask{
		Id:         uint64(t.ID),
		Job:        t.Job,
		Task:       t.Run.Task,
		Attempt:    int32(t.Run.Attempt),
		Payload:    t.Payload,
		Pool:       string(t.Pool),
		Room:       encodeResources(t.Resources),
		Rank:       int64(t.Rank),
		EstimateUs: t.Estimate.Microseconds(),
		DueUs:      t.TimeToObjective.Microseconds(),
		DeadlineUs: t.TimeToDeadline.Microseconds(),
		Queue:      t.MayQueue,
		Service:    string(t.Service),
		Suspect:    t.Suspect,
	}
	for _, name := range t.Avoid {
		w.Avoid = append(w.Avoid, string(name))
	}
	return w
}

func decodeTask(w *wire.OfferedTask) medlargw.OfferedTask {
	t := medlargw.OfferedTask{
		ID:              medlargw.TaskID(w.GetId()),
		Job:             w.GetJob(),
		Run:             medlargw.RunID{Task: w.GetTask(), Attempt: int(w.GetAttempt())},
		Payload:         w.GetPayload(),
		Pool:            medlargw.PoolName(w.GetPool()),
		Resources:       decodeResources(w.GetRoom()),
		Rank:            int(w.GetRank()),
		Estimate:        microsToDuration(w.GetEstimateUs()),
		TimeToObjective: microsToDuration(w.GetDueUs()),
		TimeToDeadline:  microsToDuration(w.GetDeadlineUs()),
		MayQueue:        w.GetQueue(),
		Service:         medlargw.ServiceName(w.GetService()),
		Suspect:         w.GetSuspect(),
	}
	for _, name := range w.GetAvoid() {
		t.Avoid = append(t.Avoid, medlargw.TargetName(name))
	}
	return t
}

func encodeIDs(all []medlargw.TaskID) []uint64 {
	var ids []uint64
	for _, id := range all {
		ids = append(ids, uint64(id))
	}
	return ids
}

func decodeIDs(all []uint64) []medlargw.TaskID {
	var ids []medlargw.TaskID
	for _, id := range all {
		ids = append(ids, medlargw.TaskID(id))
	}
	return ids
}

func encodeOffer(o *medlargw.Offer) *wire.OfferRequest {
	w := &wire.OfferRequest{
		From:    encodeMember(&o.From),
		ValidUs: o.ValidUntil.Microseconds(),
		Recalls: encodeIDs(o.Recalls),
		Cancels: encodeIDs(o.Cancels),
		Holder:  uint64(o.Holder),
	}
	for i := range o.Tasks {
		task := encodeTask(&o.Tasks[i])
		if o.Protocol >= medlargw.ProtocolSharedPayloads {
			sharePayload(w, task)
		}
		w.Tasks = append(w.Tasks, task)
	}
	return w
}

// sharePayload moves the payload of a task into the list of payloads of its
// offer, where equal ones are sent once.
func sharePayload(w *wire.OfferRequest, task *wire.OfferedTask) {
	if len(task.Payload) == 0 {
		return
	}
	at := slices.IndexFunc(w.Payloads, func(p []byte) bool { return bytes.Equal(p, task.Payload) })
	if at < 0 {
		at = len(w.Payloads)
		w.Payloads = append(w.Payloads, task.Payload)
	}
	task.Payload = nil
	task.Shared = int32(at + 1)
}

// decodeOffer returns an error for a task whose shared payload is missing.
func decodeOffer(w *wire.OfferRequest) (medlargw.Offer, error) {
	o := medlargw.Offer{
		From:       decodeMember(w.GetFrom()),
		ValidUntil: microsToDuration(w.GetValidUs()),
		Recalls:    decodeIDs(w.GetRecalls()),
		Cancels:    decodeIDs(w.GetCancels()),
		Holder:     medlargw.Incarnation(w.GetHolder()),
	}
	for _, task := range w.GetTasks() {
		t := decodeTask(task)
		if at := int(task.GetShared()); at > 0 {
			if at > len(w.GetPayloads()) {
				return o, fmt.Errorf("task %s: got shared payload %d, want at most %d", t.Run.Task, at, len(w.GetPayloads()))
			}
			t.Payload = w.GetPayloads()[at-1]
		}
		o.Tasks = append(o.Tasks, t)
	}
	return o, nil
}

func encodeOfferReply(r *medlargw.OfferReply) *wire.OfferReply {
	w := &wire.OfferReply{
		Incarnation: uint64(r.Incarnation),
		ClockUs:     r.Clock.Microseconds(),
		Room:        encodeHolderResources(&r.FreeResources),
	}
	for _, s := range r.States {
		w.States = append(w.States, &wire.OfferedState{Id: uint64(s.ID), State: int32(s.State), Target: string(s.Target)})
	}
	return w
}

func decodeOfferReply(w *wire.OfferReply) medlargw.OfferReply {
	r := medlargw.OfferReply{
		Incarnation:   medlargw.Incarnation(w.GetIncarnation()),
		Clock:         microsToDuration(w.GetClockUs()),
		FreeResources: decodeHolderResources(w.GetRoom()),
	}
	for _, s := range w.GetStates() {
		r.States = append(r.States, medlargw.OfferedState{
			ID:    medlargw.TaskID(s.GetId()),
			State: medlargw.OfferState(s.GetState()),

			Target: medlargw.TargetName(s.GetTarget()),
		})
	}
	return r
}

func encodeReport(r *medlargw.Report) *wire.ReportRequest {
	w := &wire.ReportRequest{From: encodeMember(&r.From), Room: encodeHolderResources(&r.FreeResources)}
	for i := range r.Tasks {
		e := &r.Tasks[i]
		w.Home = uint64(e.Home.Incarnation)
		w.Tasks = append(w.Tasks, &wire.TaskReport{
			Id:        uint64(e.ID),
			Event:     int32(e.Event),
			Target:    string(e.Target),
			ElapsedUs: e.Elapsed.Microseconds(),
			Reason:    e.Reason,
			Crash:     int32(e.Crash),
			Blame:     e.Blame,
		})
	}
	return w
}

func decodeReport(w *wire.ReportRequest) medlargw.Report {
	r := medlargw.Report{From: decodeMember(w.GetFrom()), FreeResources: decodeHolderResources(w.GetRoom())}
	for _, e := range w.GetTasks() {
		r.Tasks = append(r.Tasks, medlargw.TaskReport{
			Home:    medlargw.Peer{Incarnation: medlargw.Incarnation(w.GetHome())},
			ID:      medlargw.TaskID(e.GetId()),
			Event:   medlargw.TaskEvent(e.GetEvent()),
			Target:  medlargw.TargetName(e.GetTarget()),
			Elapsed: microsToDuration(e.GetElapsedUs()),
			Reason:  e.GetReason(),
			Crash:   decodeCrash(e.GetCrash()),
			Blame:   decodeShare(e.GetBlame()),
		})
	}
	return r
}

// decodeCrash returns CrashNone for a state that this build does not know.
func decodeCrash(state int32) medlargw.CrashState {
	if s := medlargw.CrashState(state); s >= medlargw.CrashNone && s <= medlargw.CrashLikely {
		return s
	}
	return medlargw.CrashNone
}

// decodeShare returns zero for a value that is no share.
func decodeShare(share float64) float64 {
	if share >= 0 && share <= 1 {
		return share
	}
	return 0
}

func encodePeer(p *medlargw.Peer) *wire.Member {
	return &wire.Member{
		Host:        string(p.Host),
		Zone:        string(p.Zone),
		Addr:        encodeAddr(p.Addr),
		Incarnation: uint64(p.Incarnation),
	}
}

func decodePeer(w *wire.Member) medlargw.Peer {
	return medlargw.Peer{
		Host:        medlargw.HostName(w.GetHost()),
		Zone:        medlargw.ZoneName(w.GetZone()),
		Addr:        decodeAddr(w.GetAddr()),
		Incarnation: medlargw.Incarnation(w.GetIncarnation()),
	}
}

func encodeTransfer(t *medlargw.Transfer) *wire.TransferRequest {
	w := &wire.TransferRequest{From: encodeMember(&t.From)}
	for i := range t.Targets {
		moved := &t.Targets[i]
		target := &wire.TransferredTarget{
			Name: string(moved.Name), Fence: moved.FenceToken, Seen: moved.AckedSequence,
			Rating: &wire.Rating{Slow: moved.Rating.Slowness, Runs: moved.Rating.Runs},
		}
		if !moved.IncarnationStart.IsZero() {
			target.BornMs = moved.IncarnationStart.UnixMilli()
		}
		for j := range moved.Runs {
			r := &moved.Runs[j]
			target.Runs = append(target.Runs, &wire.TransferredRun{
				Home:      encodePeer(&r.Home),
				Task:      encodeTask(&r.Task),
				ElapsedUs: r.Elapsed.Microseconds(),
			})
		}
		w.Targets = append(w.Targets, target)
	}
	return w
}

func decodeTransfer(w *wire.TransferRequest) medlargw.Transfer {
	t := medlargw.Transfer{From: decodeMember(w.GetFrom())}
	for _, m := range w.GetTargets() {
		moved := medlargw.TransferredTarget{
			Name: medlargw.TargetName(m.GetName()), FenceToken: m.GetFence(), AckedSequence: m.GetSeen(),
			Rating: medlargw.Rating{Slowness: m.GetRating().GetSlow(), Runs: m.GetRating().GetRuns()},
		}
		if m.GetBornMs() != 0 {
			moved.IncarnationStart = time.UnixMilli(m.GetBornMs())
		}
		for _, r := range m.GetRuns() {
			moved.Runs = append(moved.Runs, medlargw.TransferredRun{
				Home:    decodePeer(r.GetHome()),
				Task:    decodeTask(r.GetTask()),
				Elapsed: microsToDuration(r.GetElapsedUs()),
			})
		}
		t.Targets = append(t.Targets, moved)
	}
	return t
}
