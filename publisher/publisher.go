// Package publisher writes checked team configurations to the store, where the
// entries read them.
//
// The values of the teams are written first. They are immutable and their keys
// contain the hash of their content, so that a repeated write is harmless. One
// compare-and-swap of the head then activates all of them, or none.
//
// The head also lists the IDs of the last publishes. A publisher that lost the
// reply to its swap finds out from this list whether the swap took effect.
//
// The head lists the retired versions too: the values that it no longer
// references. These are deleted when no entry can still be reading them, and a
// publisher never references them again.
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

// Limits of a publish.
const (
	maxAttempts    = 20 // Including swaps that lose against another publisher.
	maxPublishIDs  = 32 // Publish IDs listed in the head.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Publisher publishes to one store. The exported fields must be set before a
// method is called. After Publish has returned an error, it may be called again
// only with the same teams.
type Publisher struct {
	Keys           []string // Keys of the publishing team or of the operators.
	Prune          bool     // Whether removals are allowed.
	UsedGeneration uint64   // Highest generation that any entry uses.
	BaseDigest     string   // Digest from an earlier Plan; empty skips the check.
	Recover        bool     // Whether to publish a generation above UsedGeneration when the store is behind it.

	// Check validates the files against the current configuration, which it
	// gets as its argument. Nil skips the validation.
	Check func(current []medlargw.TeamConfig) error

	store               medlargw.Store
	conv                converter.Converter
	configComparer      comparer.Comparer
	publishID           string
	configCache         map[medlargw.TeamVersion]medlargw.TeamConfig
	storedVersions      []medlargw.TeamVersion                     // Values found in the store; nil until they were listed.
	baseVersions        map[medlargw.TeamName]medlargw.TeamVersion // Versions at the first attempt, of the teams to publish.
	highestGeneration   uint64                                     // Highest generation read from the store.
	uncertainGeneration uint64                                     // Generation of a swap with an unknown outcome; zero is none.
}

// errRetry marks an error after which the attempt may be repeated.
var errRetry = errors.New("may be retried")

// New returns a publisher for the store.
func New(store medlargw.Store) *Publisher {
	return &Publisher{
		store:       store,
		publishID:   rand.Text(),
		configCache: map[medlargw.TeamVersion]medlargw.TeamConfig{},
	}
}

// Read returns the current configuration of all teams.
func (p *Publisher) Read(ctx context.Context) ([]medlargw.TeamConfig, error) {
	var teams []medlargw.TeamConfig
	err := p.retry(ctx, func() error {
		s, err := p.readSnapshot(ctx)
		if err == nil {
			teams = s.teams
		}
		return err
	})
	return teams, err
}

// Plan returns what Publish would change now. Like Publish, it returns an error
// if the changes are not allowed; the returned plan lists them nevertheless.
func (p *Publisher) Plan(ctx context.Context, teams []medlargw.TeamConfig) (medlargw.Plan, error) {
	var plan medlargw.Plan
	err := p.retry(ctx, func() error {
		s, err := p.readSnapshot(ctx)
		if err != nil {
			return err
		}
		c, err := p.plan(s, teams)
		plan = medlargw.Plan{
			Generation:          s.head.Generation,
			BaseDigest:          p.digest(s, teams),
			DeploymentPublished: s.hasDeploymentTeam(),
			Changes:             c.changes,
		}
		return err
	})
	return plan, err
}

// Publish replaces the configurations of the given teams and returns the new
// generation. Other teams keep their configuration. If nothing differs, Publish
// writes nothing and returns the current generation. The error is
// *medlargw.PublishError or *medlargw.Findings if a retry cannot succeed.
func (p *Publisher) Publish(ctx context.Context, teams []medlargw.TeamConfig) (uint64, error) {
	var generation uint64
	err := p.retry(ctx, func() error {
		var err error
		generation, err = p.tryPublish(ctx, teams)
		return err
	})
	var refused *medlargw.PublishError
	if err != nil && p.uncertainGeneration != 0 && !errors.As(err, &refused) {
		return 0, fmt.Errorf("unknown whether generation %d is in force, publish again to find out: %w", p.uncertainGeneration, err)
	}
	if err == nil {
		p.publishID, p.baseVersions = rand.Text(), nil // The next call is a new publish.
	}
	return generation, err
}

// retry repeats the attempt, with exponential backoff, while its error is
// errRetry.
func (*Publisher) retry(ctx context.Context, attempt func() error) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initialBackoff
	policy.MaxInterval = maxBackoff
	var err error
	for range maxAttempts {
		if err = attempt(); !errors.Is(err, errRetry) {
			return err
		}
		select {
		case <-time.After(policy.NextBackOff()):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		}
	}
	return fmt.Errorf("gave up after %d attempts: %w", maxAttempts, err)
}

// tryPublish makes one attempt: it reads the head, and swaps it if something
// differs. If the reply to an earlier swap was lost, the outcome follows from
// the head that is read now. Either the head lists the publish ID, or the
// versions of the teams decide: they are those to be published, or those of
// another publisher, or those of the first attempt. A version that was replaced
// does not return during one publish, so the last case proves that no swap took
// effect.
func (p *Publisher) tryPublish(ctx context.Context, teams []medlargw.TeamConfig) (uint64, error) {
	s, err := p.readSnapshot(ctx)
	if err != nil {
		return 0, err
	}
	if generation, ok := s.generationOf(p.publishID); ok {
		p.uncertainGeneration = 0
		return generation, nil
	}
	c, err := p.plan(s, teams)
	if err != nil {
		return 0, err
	}
	if len(c.changes) == 0 {
		p.uncertainGeneration = 0
		return s.head.Generation, nil
	}
	versions, err := p.writeTeams(ctx, s, c.teams)
	if err != nil {
		return 0, err
	}
	return p.swapHead(ctx, s, c, versions)
}
