package medlargw

import (
	"context"
	"strconv"
	"time"
)

// Ticket is an idempotency key: a caller may submit a job with it any number of
// times, and at most one of the submissions runs.
type Ticket struct {
	Home        HostName    // The entry that issued it and records its use.
	Incarnation Incarnation // Of the home.
	Random      [16]byte
	Team        TeamName
	// Expires is the time from the start of the home's incarnation on its
	// monotonic clock, so that a step of the wall clock never makes an expired
	// ticket valid.
	Expires time.Duration
}

// Redeemer serves requests that carry a ticket, on whichever entry they arrive.
// The component "keeper" implements it.
type Redeemer interface {
	// Mint returns n new tickets of which this entry is the home, and how long
	// they may be used.
	Mint(team TeamName, n int) ([]string, time.Duration)
	// Redeem serves the request if this entry is the home of its ticket, and
	// forwards it to the home otherwise. It returns when the job has ended or the
	// context ends.
	Redeem(ctx context.Context, r ForwardRequest) ForwardReply
}

// Job returns the job that the submission requests, or an error if the team has
// no service of that name.
func (s *Submission) Job(cfg *Config, team TeamName, arrived time.Time) (*Job, *RefusedError) {
	service, ok := cfg.Service(s.Service)
	if !ok || service.Team != team {
		return nil, &RefusedError{
			Code:    CodeUnknownService,
			Message: "the team has no service " + strconv.Quote(string(s.Service)),
		}
	}
	return &Job{
		Team:             team,
		Service:          s.Service,
		Class:            service.Class,
		Tasks:            s.Tasks,
		Idempotent:       s.Idempotent,
		Arrived:          arrived,
		Deadline:         arrived.Add(s.Deadline),
		EstimatedRuntime: s.EstimatedRuntime,
		TaskMemory:       s.TaskMemory,
	}, nil
}
