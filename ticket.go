package medlargw

import (
	"context"
	"strconv"
	"time"
)

// Ticket lets a caller submit one job again and again, of which at most one
// submission runs.
type Ticket struct {
	Home        HostName // The entry that minted it and remembers its use.
	Incarnation Incarnation
	Random      [16]byte
	Team        TeamName
	// Expires is on the monotonic clock of the home, from the start of its
	// incarnation, so that a step of the wall clock never revives a ticket.
	Expires time.Duration
}

// Redeemer serves requests that carry a ticket, at whichever entry they
// arrive. The part "keeper" is one.
type Redeemer interface {
	// Mint returns n new tickets of which this entry is the home, and how long
	// they may be used.
	Mint(team TeamName, n int) ([]string, time.Duration)
	// Redeem serves the request as the home of its ticket, or has the home serve
	// it. It returns when the job has ended or the context ends.
	Redeem(ctx context.Context, r ForwardRequest) ForwardReply
}

// Job returns the job that the submission asks for, if the configuration
// allows it to the team.
func (s *Submission) Job(cfg *Config, team TeamName, arrived time.Time) (*Job, *Refused) {
	service, ok := cfg.Service(s.Service)
	if !ok || service.Team != team {
		return nil, &Refused{
			Code:    CodeUnknownService,
			Message: "the team has no service " + strconv.Quote(string(s.Service)),
		}
	}
	return &Job{
		Team:       team,
		Service:    s.Service,
		Class:      service.Class,
		Tasks:      s.Tasks,
		Idempotent: s.Idempotent,
		Arrived:    arrived,
		Deadline:   arrived.Add(s.Deadline),
		Runtime:    s.Runtime,
		Size:       s.Size,
	}, nil
}
