package publisher

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"

	"medlargw.example/medlargw"
)

// errNothingPublished reports that there is no configuration yet.
var errNothingPublished = &medlargw.PublishError{Message: "nothing is published yet"}

// Evacuate requests that the targets of a zone get no new tasks, or takes the
// request back, and returns the generation from which that is in force. It writes
// nothing if the zone already has that state. The configuration stays as it is.
// Only a key of the operators may evacuate. The error is *medlargw.PublishError
// if a retry cannot succeed.
func (p *Publisher) Evacuate(ctx context.Context, zone medlargw.ZoneName, evacuated bool) (uint64, error) {
	var generation uint64
	err := p.retry(ctx, func() error {
		var err error
		generation, err = p.tryEvacuate(ctx, zone, evacuated)
		return err
	})
	var refused *medlargw.PublishError
	if err != nil && p.uncertainGeneration != 0 && !errors.As(err, &refused) {
		return 0, fmt.Errorf("unknown whether generation %d is in force, repeat the command to find out: %w", p.uncertainGeneration, err)
	}
	if err == nil {
		p.publishID = rand.Text() // The next call is a new request.
	}
	return generation, err
}

// tryEvacuate makes one attempt: it reads the head, and swaps it if the zone does
// not have the wanted state. After a lost reply, the next attempt finds the
// publish ID in the head.
func (p *Publisher) tryEvacuate(ctx context.Context, zone medlargw.ZoneName, evacuated bool) (uint64, error) {
	s, err := p.readSnapshot(ctx)
	if err != nil {
		return 0, err
	}
	if generation, ok := s.generationOf(p.publishID); ok {
		p.uncertainGeneration = 0
		return generation, nil
	}
	if s.revision == 0 {
		return 0, errNothingPublished
	}
	if operators := s.team(medlargw.DeploymentTeam); operators != nil && !p.owns(operators, medlargw.DeploymentTeam) {
		return 0, &medlargw.PublishError{Message: "the key may not evacuate zones, only one of the operators may"}
	}
	at, found := slices.BinarySearch(s.head.Evacuated, zone)
	switch {
	case found == evacuated:
		p.uncertainGeneration = 0
		return s.head.Generation, nil
	case evacuated:
		s.head.Evacuated = slices.Insert(slices.Clone(s.head.Evacuated), at, zone)
	default:
		s.head.Evacuated = slices.Delete(slices.Clone(s.head.Evacuated), at, at+1)
	}
	return p.swapHead(ctx, s, changeSet{}, nil)
}
