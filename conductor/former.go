package conductor

import (
	"context"
	"maps"
	"time"

	"medlargw.example/medlargw"
)

// livingJob is a submission of a job that this entry coordinates.
type livingJob struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// openRelay is a job that a peer has got and whose runs there may go on.
type openRelay struct {
	to     medlargw.Peer
	endsBy time.Time // When its runs have ended, even if no message reaches the peer.
}

// recordEnd records the outcome of a job that a peer has got. Unless it is complete or
// has not run, runs may go on until the given time.
func (r *relays) recordEnd(now time.Time, requestID string, to *medlargw.Peer, o *medlargw.Outcome, endsBy time.Time) {
	if requestID == "" || len(o.Tasks) > 0 && o.NotRun() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.open, func(_ string, other openRelay) bool { return !now.Before(other.endsBy) })
	delete(r.open, requestID)
	if !o.Complete {
		r.open[requestID] = openRelay{to: *to, endsBy: endsBy}
	}
}

// openRelay returns the job with the caller's ID that a peer has got and whose runs may
// go on, or the zero value.
func (r *relays) openRelay(requestID string) openRelay {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open[requestID]
}

// addHome records that this entry coordinates a job whose runs end by the given time.
func (r *relays) addHome(now time.Time, requestID string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.homes[requestID] = until
	if now.Before(r.homesPurge) {
		return
	}
	r.homesPurge = now.Add(homesPurgeInterval)
	maps.DeleteFunc(r.homes, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// addLiving adds a job that this entry coordinates, and returns its former submission or
// nil.
func (r *relays) addLiving(requestID string, j *livingJob) *livingJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	former := r.living[requestID]
	r.living[requestID] = j
	return former
}

// findLiving returns the job with the caller's ID that this entry coordinates, or nil.
func (r *relays) findLiving(requestID string) *livingJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.living[requestID]
}

// endLiving records that a job has ended.
func (r *relays) endLiving(requestID string, j *livingJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.living[requestID] == j {
		delete(r.living, requestID)
	}
	close(j.ended)
}

// end cancels a job that is submitted again, and returns when the coordinator keeps track
// of its runs.
func (j *livingJob) end() {
	if j == nil {
		return
	}
	j.cancel()
	<-j.ended
}

// coordinateHome runs a job as its home, after its former submission here has ended. A
// caller submits a job again after its connection has ended, which may be unnoticed.
func (c *Conductor) coordinateHome(ctx context.Context, job *medlargw.Job, heard time.Time) medlargw.Outcome {
	if job.RequestID == "" {
		return c.coordinate(ctx, job, heard)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j := &livingJob{cancel: cancel, ended: make(chan struct{})}
	defer c.relays.endLiving(job.RequestID, j)
	c.relays.addLiving(job.RequestID, j).end()
	c.relays.addHome(c.clock.Now(), job.RequestID, job.Deadline.Add(c.settings.Resubmit))
	return c.coordinate(ctx, job, heard)
}

// awaitFormerRelay coordinates a job here once its runs at a peer have ended, and returns
// false if there are none.
func (c *Conductor) awaitFormerRelay(ctx context.Context, job *medlargw.Job) (medlargw.Outcome, bool) {
	now := c.clock.Now()
	former := c.relays.openRelay(job.RequestID)
	if !now.Before(former.endsBy) {
		return medlargw.Outcome{}, false
	}
	if !former.endsBy.Before(job.Deadline) {
		return c.unknownRelay(now, job, &former.to, "no time left after its former runs"), true
	}
	select {
	case <-time.After(former.endsBy.Sub(now)):
		return c.coordinateHome(ctx, job, c.clock.Now()), true
	case <-ctx.Done():
		return medlargw.Outcome{Code: medlargw.CodeCancelled, Message: "the caller is gone"}, true
	case <-c.ctx.Done():
		return medlargw.Outcome{Code: medlargw.CodeAttemptLost, Message: "the entry has stopped"}, true
	}
}
