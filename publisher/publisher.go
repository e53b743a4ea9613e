// Package publisher puts checked declarations into force.
//
// The values of the teams are written first; they are immutable and named by
// their content, so that writing one twice is harmless. One compare-and-swap
// of the head then puts all of them into force, or none. The head also lists
// the ids of the last publishes, by which a publisher whose reply was lost
// finds out whether its swap took effect, and the values that it names no more.
// Those are deleted when no entry can still be reading them, and a publisher
// never names them again.
package publisher

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/comparer"
	"medlargw.example/medlargw/converter"
)

// Bounds of a publish.
const (
	maxTries      = 20 // Turns that fail, or that other publishers win.
	keptPublishes = 32 // Ids in the head.
	firstPause    = 50 * time.Millisecond
	longestPause  = 2 * time.Second
)

// Publisher publishes to one store. The public fields are set before its
// methods are called. After an error, only the same teams may be published
// again.
type Publisher struct {
	Keys    []string // Of the publishing team, or of the operators.
	Prune   bool     // Whether anything may be removed.
	Seen    uint64   // Highest generation that an entry has in force.
	Base    string   // Digest that an earlier plan gave; empty takes any.
	Recover bool     // Whether to publish above Seen when the store is behind it.

	// Check reports faults of the files together with what is in force of other
	// teams. Nil checks nothing.
	Check func(inForce []medlargw.TeamConfig) error

	store   medlargw.Store
	conv    converter.Converter
	compare comparer.Comparer
	id      string
	values  map[medlargw.TeamVersion]medlargw.TeamConfig
	listed  []medlargw.TeamVersion                     // All values of the store, once read.
	base    map[medlargw.TeamName]medlargw.TeamVersion // First seen, for the teams to publish.
	highest uint64                                     // Generation seen in the store.
	doubt   uint64                                     // Generation of a swap whose reply was lost; zero is none.
}

// errRetry says that the turn may be taken again.
var errRetry = errors.New("to be tried again")

// New returns a publisher.
func New(store medlargw.Store) *Publisher {
	return &Publisher{
		store:  store,
		id:     rand.Text(),
		values: map[medlargw.TeamVersion]medlargw.TeamConfig{},
	}
}

// Read returns what is in force.
func (p *Publisher) Read(ctx context.Context) ([]medlargw.TeamConfig, error) {
	var teams []medlargw.TeamConfig
	err := p.retry(ctx, func() error {
		s, err := p.read(ctx)
		if err == nil {
			teams = s.teams
		}
		return err
	})
	return teams, err
}

// Plan returns what Publish would change now. Its error is that of Publish.
func (p *Publisher) Plan(ctx context.Context, teams []medlargw.TeamConfig) (medlargw.Plan, error) {
	var plan medlargw.Plan
	err := p.retry(ctx, func() error {
		s, err := p.read(ctx)
		if err != nil {
			return err
		}
		change, err := p.plan(s, teams)
		plan = medlargw.Plan{
			Generation: s.head.Generation,
			Base:       p.digest(s, teams),
			Claimed:    s.claimed(),
			Changes:    change.changes,
		}
		return err
	})
	return plan, err
}

// Publish puts the teams' declarations into force and returns the generation.
// Teams that are not among them keep theirs. When nothing differs, nothing is
// written. Its error is *medlargw.PublishError or *medlargw.Findings when
// trying again would be in vain.
func (p *Publisher) Publish(ctx context.Context, teams []medlargw.TeamConfig) (uint64, error) {
	var generation uint64
	err := p.retry(ctx, func() error {
		var err error
		generation, err = p.turn(ctx, teams)
		return err
	})
	var refused *medlargw.PublishError
	if err != nil && p.doubt != 0 && !errors.As(err, &refused) {
		return 0, fmt.Errorf("unknown whether generation %d is in force, publish again to find out: %w", p.doubt, err)
	}
	if err == nil {
		p.id, p.base = rand.Text(), nil // The next publish is another one.
	}
	return generation, err
}

// retry repeats the turn while its error is errRetry.
func (*Publisher) retry(ctx context.Context, turn func() error) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = longestPause
	var err error
	for range maxTries {
		if err = turn(); !errors.Is(err, errRetry) {
			return err
		}
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		}
	}
	return fmt.Errorf("gave up after %d turns: %w", maxTries, err)
}

// turn reads the head, and swaps it if something differs. After a lost reply the
// head lists the id, or the teams' versions tell: they equal what is published,
// or another publisher replaced them, or they are still the first ones. A
// version that was replaced doesn't come back within one publish, so that the
// last case proves that no swap took effect.
func (p *Publisher) turn(ctx context.Context, teams []medlargw.TeamConfig) (uint64, error) {
	s, err := p.read(ctx)
	if err != nil {
		return 0, err
	}
	if generation, ok := s.published(p.id); ok {
		p.doubt = 0
		return generation, nil
	}
	c, err := p.plan(s, teams)
	if err != nil {
		return 0, err
	}
	if len(c.changes) == 0 {
		p.doubt = 0
		return s.head.Generation, nil
	}
	versions, err := p.writeTeams(ctx, s, c.teams)
	if err != nil {
		return 0, err
	}
	return p.swap(ctx, s, c, versions)
}
