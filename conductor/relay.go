package conductor

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/relayer"
)

const (
	// relayWait is the longest time that a peer waits for the end of a relayed job
	// before it answers. With LeaseSettings.Silence it leaves the sender the time
	// that a home has for its offers to holders.
	relayWait = 150 * time.Millisecond
	// relayRetention is how long the end of a relayed job is kept, for a sender
	// that did not get the answer, and how long an unknown ID is not accepted.
	relayRetention = 5 * time.Second
	// relayValidity is the time from the request of the caller within which the first
	// message of a relay must arrive, in addition to the delay of the heartbeat that
	// carried the peer's clock.
	// A message that a broken link has held up must not start a job that this entry
	// has given up.
	relayValidity = 300 * time.Millisecond
	// relayMargin is the time that the last answer of a relayed job takes.
	relayMargin = 10 * time.Millisecond
	// homesPurgeInterval is the time between two removals of old homes.
	homesPurgeInterval = time.Second
)

// relays holds the jobs that this entry hands to peers, and those of peers.
type relays struct {
	messenger medlargw.RelayMessenger // Nil if the messenger sends no relays.
	enabled   bool                    // This entry hands jobs over, and takes those of peers.

	mu         sync.Mutex
	relayer    *relayer.Relayer
	nextNumber uint64
	clocks     map[medlargw.Incarnation]peerClock
	leaving    bool // This entry is in a planned stop and takes no jobs of peers.
	received   map[medlargw.RelayID]*receivedJob
	// Jobs that this entry coordinates, by the caller's ID.
	living map[string]*livingJob
	// Jobs that peers have got and whose runs may go on, by the caller's ID.
	open map[string]openRelay
	// Times until which jobs of which this entry was the home may have runs, by the
	// caller's ID.
	homes      map[string]time.Time
	homesPurge time.Time // When those that have passed are removed.
}

// peerClock is a lower bound of the clock of a peer.
type peerClock struct {
	clock time.Duration
	at    time.Time // When the message that told it arrived.
}

// receivedJob is a job of a peer.
type receivedJob struct {
	cancel  context.CancelFunc
	silence *time.Timer   // Ends the job when the peer is silent; nil once it has ended.
	ended   chan struct{} // Closed when the outcome is known; nil if the ID is not accepted.
	outcome medlargw.Outcome
}

func newRelays(settings *medlargw.Settings, self medlargw.Member) *relays {
	return &relays{
		enabled:  settings.Capacity.Relay > 0,
		relayer:  relayer.New(self, settings.Capacity.Relay, rand.Int64N),
		clocks:   map[medlargw.Incarnation]peerClock{},
		received: map[medlargw.RelayID]*receivedJob{},
		living:   map[string]*livingJob{},
		open:     map[string]openRelay{},
		homes:    map[string]time.Time{},
	}
}

// findMessenger finds the messenger. Without one that sends relays, none is sent.
func (r *relays) findMessenger(reg *registrar.Registrar) {
	r.messenger, _ = registrar.Find[medlargw.RelayMessenger](reg, "messenger")
}

func (r *relays) setGroup(g *medlargw.Group, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
	r.relayer.SetGroup(g)
	present := map[medlargw.Incarnation]bool{}
	for i := range g.Entries {
		present[g.Entries[i].Incarnation] = true
	}
	maps.DeleteFunc(r.clocks, func(peer medlargw.Incarnation, _ peerClock) bool { return !present[peer] })
}

// handleHeartbeat records the lag and the clock that a peer states of itself.
func (r *relays) handleHeartbeat(now time.Time, peer medlargw.Incarnation, lag, clock time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayer.SetLag(now, peer, lag)
	if known := r.clocks[peer]; clock > known.clock+now.Sub(known.at) || known.at.IsZero() && clock > 0 {
		r.clocks[peer] = peerClock{clock: clock, at: now}
	}
}

// choose returns the peer to hand a job to whose caller was heard of at the given time,
// the number of the relay, the end of its validity on the peer's clock, and whether to
// hand the job over. A job that a peer has got before goes to that peer again, which
// knows the runs, and one that this entry has coordinated stays here.
func (r *relays) choose(now, heard time.Time, lag time.Duration, requestID string) (to medlargw.Peer, number uint64, validUntil time.Duration, ok bool) {
	if r.messenger == nil {
		return medlargw.Peer{}, 0, 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch former := r.open[requestID]; {
	case now.Before(former.endsBy):
		to, ok = former.to, true
	case !now.Before(r.homes[requestID]):
		to, ok = r.relayer.Choose(now, lag)
	}
	known := r.clocks[to.Incarnation]
	r.nextNumber++
	return to, r.nextNumber, known.clock + heard.Sub(known.at) + relayValidity, ok && !known.at.IsZero()
}

func (r *relays) pause(now time.Time, peer medlargw.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayer.Pause(now, peer)
}

// relay hands a job to a peer if this entry is late and the peer is not, or if the peer
// has got it before. Otherwise it coordinates the job, so that it ends when it is
// submitted again. It returns false if relays are off. The caller was heard of at the
// given time.
func (c *Conductor) relay(ctx context.Context, job *medlargw.Job, heard time.Time) (medlargw.Outcome, bool) {
	if !c.relays.enabled {
		return medlargw.Outcome{}, false
	}
	to, number, validUntil, ok := c.relays.choose(c.clock.Now(), heard, c.Lag(), job.RequestID)
	if ok {
		c.relays.findLiving(job.RequestID).end()
		if o, relayed := c.handOver(ctx, job, &to, number, validUntil); relayed {
			now := c.clock.Now()
			c.relays.recordEnd(now, job.RequestID, &to, &o, now.Add(c.settings.Call+c.settings.Silence+c.settings.Resubmit))
			return o, true
		}
	}
	if o, relayed := c.awaitFormerRelay(ctx, job); relayed {
		return o, true
	}
	return c.coordinateHome(ctx, job, heard), true
}

// handOver hands a job to a peer. After a message that may have arrived, the job is not
// run here: the peer is asked for its end, and if it does not answer, the end is unknown.
// It returns false if the peer has not got the job.
func (c *Conductor) handOver(ctx context.Context, job *medlargw.Job, to *medlargw.Peer, number uint64, validUntil time.Duration) (medlargw.Outcome, bool) {
	arrived := c.clock.Now()
	r := medlargw.Relay{
		ID: medlargw.RelayID{From: c.self.Incarnation, Number: number}, Host: c.self.Host, Job: job, ValidUntil: validUntil,
		Age: arrived.Sub(job.Arrived), TimeToDeadline: job.Deadline.Sub(arrived) - relayMargin, Wait: relayWait,
	}
	c.counters.countRelay("sent")
	c.log.Info("job handed to a peer", zap.String("job", job.RequestID), zap.String("to", string(to.Host)),
		zap.Duration("lag", c.Lag()), zap.Duration("age", r.Age))
	answered := arrived
	for {
		reply, err := c.sendRelay(ctx, to.Addr, r)
		now := c.clock.Now()
		first := r.Job != nil
		r.Job = nil
		switch {
		case first && (errors.Is(err, medlargw.ErrNotSent) || err == nil && reply.State == medlargw.RelayRefused):
			c.relays.pause(now, to.Incarnation)
			c.counters.countRelay("refused")
			c.log.Info("job refused by a peer", zap.String("job", job.RequestID), zap.String("to", string(to.Host)), zap.Error(err))
			return medlargw.Outcome{}, false
		case err == nil && reply.State == medlargw.RelayEnded:
			return reply.Outcome, true
		case err == nil && reply.State == medlargw.RelayRunning:
			answered = now
		case err == nil: // The peer has lost the job, or has not got it and takes it no more.
			return c.unknownRelay(now, job, to, "the peer does not know the job"), true
		default:
			c.relays.pause(now, to.Incarnation)
		}
		switch {
		case ctx.Err() != nil:
			c.cancelRelay(to.Addr, r)
			return medlargw.Outcome{Code: medlargw.CodeCancelled, Message: "the caller is gone"}, true
		case c.ctx.Err() != nil:
			return medlargw.Outcome{Code: medlargw.CodeAttemptLost, Message: "the entry has stopped"}, true
		case now.Sub(answered) > relayWait+c.settings.Silence:
			c.cancelRelay(to.Addr, r)
			return c.unknownRelay(now, job, to, "the peer does not answer"), true
		}
	}
}

// sendRelay sends one message about a relayed job. After an error it waits, so that
// a peer that refuses connections is not asked without a pause.
func (c *Conductor) sendRelay(ctx context.Context, to netip.AddrPort, r medlargw.Relay) (medlargw.RelayReply, error) {
	call, cancel := context.WithTimeout(ctx, r.Wait+c.settings.Call)
	defer cancel()
	reply, err := c.relays.messenger.Relay(call, to, r)
	if err != nil && r.Job == nil {
		select {
		case <-time.After(c.settings.Keep):
		case <-ctx.Done():
		case <-c.ctx.Done():
		}
	}
	return reply, err
}

// cancelRelay has a peer end a job whose outcome is no longer wanted. It repeats the
// message until it is answered or the peer has ended the job for the silence of this
// entry.
func (c *Conductor) cancelRelay(to netip.AddrPort, r medlargw.Relay) {
	r.Cancel, r.Wait = true, 0
	c.send(c.settings.Silence, 0, func(ctx context.Context) event {
		for ctx.Err() == nil {
			if _, err := c.sendRelay(ctx, to, r); err == nil {
				break
			}
		}
		return nil
	})
}

// unknownRelay returns the outcome of a job that may have run at a peer.
func (c *Conductor) unknownRelay(now time.Time, job *medlargw.Job, to *medlargw.Peer, reason string) medlargw.Outcome {
	c.counters.countRelay("unknown")
	c.log.Info("outcome of a relayed job is unknown", zap.String("job", job.RequestID), zap.String("to", string(to.Host)),
		zap.String("reason", reason), zap.Duration("age", now.Sub(job.Arrived)))
	o := medlargw.RefusedOutcome(job, medlargw.CodeAttemptLost, "a peer may have run the job: "+reason, 0)
	for i := range o.Tasks {
		o.Tasks[i].Execution = medlargw.ExecutionUnknown
	}
	return o
}

// HandleRelay takes a job of a peer, or answers with its state. The job ends when
// the peer is silent for LeaseSettings.Silence, like the tasks of a silent home.
func (c *Conductor) HandleRelay(ctx context.Context, r medlargw.Relay) (medlargw.RelayReply, error) {
	j := c.receivedJob(&r)
	switch {
	case j == nil:
		c.counters.countRelay("rejected")
		return medlargw.RelayReply{State: medlargw.RelayRefused}, nil
	case j.ended == nil:
		return medlargw.RelayReply{State: medlargw.RelayUnknown}, nil
	case r.Cancel:
		j.cancel()
	}
	timer := time.NewTimer(min(r.Wait, relayWait))
	defer timer.Stop()
	select {
	case <-j.ended:
		return medlargw.RelayReply{State: medlargw.RelayEnded, Outcome: j.outcome}, nil
	case <-timer.C:
		return medlargw.RelayReply{State: medlargw.RelayRunning}, nil
	case <-ctx.Done():
		return medlargw.RelayReply{}, ctx.Err()
	case <-c.ctx.Done():
		return medlargw.RelayReply{}, errStopped
	}
}

// receivedJob returns the job of a relay, and starts it if the relay is the first
// one and this entry is on time. It returns nil if this entry does not take the job.
// An ID that is asked for and not known is not accepted later: its first message may
// still be under way.
func (c *Conductor) receivedJob(r *medlargw.Relay) *receivedJob {
	c.relays.mu.Lock()
	defer c.relays.mu.Unlock()
	if j := c.relays.received[r.ID]; j != nil {
		if j.silence != nil {
			j.silence.Reset(c.settings.Silence)
		}
		return j
	}
	if r.Job != nil && (!c.Ready() || c.relays.leaving || c.uptime(c.clock.Now()) > r.ValidUntil || !c.relays.relayer.Accepts(c.Lag())) {
		return nil
	}
	j := &receivedJob{}
	c.relays.received[r.ID] = j
	if r.Job == nil {
		c.forgetRelay(r.ID)
		return j
	}
	c.counters.countRelay("received")
	now := c.clock.Now()
	job := *r.Job
	job.Arrived, job.Deadline = now.Add(-r.Age), now.Add(r.TimeToDeadline)
	id, from := r.ID, r.Host
	j.ended = make(chan struct{})
	ctx, cancel := context.WithCancel(c.ctx)
	j.cancel = cancel
	j.silence = time.AfterFunc(c.settings.Silence, func() {
		c.counters.countRelay("silent")
		c.log.Info("relayed job ended, its sender is silent", zap.String("job", job.RequestID), zap.String("from", string(from)))
		cancel()
	})
	c.senders.Go(func() {
		defer cancel()
		o := c.coordinateHome(ctx, &job, now)
		c.endReceived(id, j, o)
	})
	return j
}

// endReceived records the outcome of a job of a peer.
func (c *Conductor) endReceived(id medlargw.RelayID, j *receivedJob, o medlargw.Outcome) {
	c.relays.mu.Lock()
	defer c.relays.mu.Unlock()
	j.silence.Stop()
	j.silence = nil
	j.outcome = o
	close(j.ended)
	c.forgetRelay(id)
}

// forgetRelay forgets an ID after a while.
func (c *Conductor) forgetRelay(id medlargw.RelayID) {
	time.AfterFunc(relayRetention, func() {
		c.relays.mu.Lock()
		defer c.relays.mu.Unlock()
		delete(c.relays.received, id)
	})
}
