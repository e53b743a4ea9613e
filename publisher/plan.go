package publisher

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"slices"
	"strings"

	"medlargw.example/medlargw"
)

// changeSet is what a publish changes at one snapshot.
type changeSet struct {
	changes []medlargw.Change
	teams   []medlargw.TeamConfig // To be written.
	dropped []medlargw.TeamName   // To be removed.
}

// plan compares the teams with what is in force, and reports why they may not
// replace it.
func (p *Publisher) plan(s *snapshot, teams []medlargw.TeamConfig) (changeSet, error) {
	c := p.difference(s, teams)
	if err := p.checkRaces(s, teams, c); err != nil {
		return c, err
	}
	if err := p.authorize(s, teams, c); err != nil {
		return c, err
	}
	if p.Check != nil {
		if err := p.Check(s.teams); err != nil {
			return c, err
		}
	}
	return c, p.checkRemoved(c)
}

func (p *Publisher) difference(s *snapshot, teams []medlargw.TeamConfig) changeSet {
	var c changeSet
	var replaced []medlargw.TeamConfig
	for i := range teams {
		var old []medlargw.TeamConfig
		if t := s.team(teams[i].Team.Name); t != nil {
			old = []medlargw.TeamConfig{*t}
		}
		if len(p.compare.Compare(old, teams[i:i+1])) > 0 {
			c.teams = append(c.teams, teams[i])
			replaced = append(replaced, old...)
		}
	}
	for _, t := range undeclared(s, teams) {
		c.dropped = append(c.dropped, t.Team.Name)
		replaced = append(replaced, t)
	}
	c.changes = p.compare.Compare(replaced, c.teams)
	return c
}

// undeclared returns the teams in force that the published operators' team
// declares no more.
func undeclared(s *snapshot, teams []medlargw.TeamConfig) []medlargw.TeamConfig {
	i := slices.IndexFunc(teams, func(t medlargw.TeamConfig) bool { return t.Team.Name == medlargw.DeploymentTeam })
	if i < 0 {
		return nil
	}
	var gone []medlargw.TeamConfig
	for _, t := range s.teams {
		named := func(other medlargw.TeamConfig) bool { return other.Team.Name == t.Team.Name }
		granted := func(g medlargw.Grant) bool { return g.Team == t.Team.Name }
		if !slices.ContainsFunc(teams, named) && !slices.ContainsFunc(teams[i].Grants, granted) {
			gone = append(gone, t)
		}
	}
	return gone
}

// checkRaces reports teams that another publisher changed since the first turn.
func (p *Publisher) checkRaces(s *snapshot, teams []medlargw.TeamConfig, c changeSet) error {
	if p.base == nil {
		p.base = map[medlargw.TeamName]medlargw.TeamVersion{}
		for i := range teams {
			p.base[teams[i].Team.Name] = s.version(teams[i].Team.Name)
		}
		return p.checkBase(s, teams, c)
	}
	var changes []medlargw.Change
	for i := range c.teams {
		name := c.teams[i].Team.Name
		if s.version(name) == p.base[name] {
			continue
		}
		var from, to []medlargw.TeamConfig
		if old, ok := p.values[p.base[name]]; ok {
			from = append(from, old)
		}
		if t := s.team(name); t != nil {
			to = append(to, *t)
		}
		changes = append(changes, p.compare.Compare(from, to)...)
	}
	if len(changes) == 0 {
		return nil
	}
	return &medlargw.PublishError{Message: "another publisher changed the same team meanwhile:", Changes: changes}
}

// checkBase reports teams that were changed since the plan that gave the base.
func (p *Publisher) checkBase(s *snapshot, teams []medlargw.TeamConfig, c changeSet) error {
	if p.Base == "" || p.Base == p.digest(s, teams) || len(c.changes) == 0 {
		return nil
	}
	message := "what is in force has changed since base " + p.Base + "; this publish would now change:"
	return &medlargw.PublishError{Message: message, Changes: c.changes}
}

// digest stands for what is in force of the teams.
func (p *Publisher) digest(s *snapshot, teams []medlargw.TeamConfig) string {
	var versions strings.Builder
	for i := range teams {
		v := s.version(teams[i].Team.Name)
		versions.WriteString(string(teams[i].Team.Name) + "/" + v.Hash + "\n")
	}
	return p.conv.Hash([]byte(versions.String()))
}

// checkRemoved reports removals that were not asked for.
func (p *Publisher) checkRemoved(c changeSet) error {
	if p.Prune {
		return nil
	}
	var removed []medlargw.Change
	for i := range c.changes {
		if c.changes[i].Removed() {
			removed = append(removed, c.changes[i])
		}
	}
	if len(removed) == 0 {
		return nil
	}
	return &medlargw.PublishError{Message: "this would be removed, which needs --prune:", Changes: removed}
}

// authorize reports the changed teams that no key of the publisher may publish.
// The owners in force decide; the first publish of the operators' team is
// decided by the owners that it declares itself.
func (p *Publisher) authorize(s *snapshot, teams []medlargw.TeamConfig, c changeSet) error {
	deployment := s.team(medlargw.DeploymentTeam)
	if deployment == nil {
		i := slices.IndexFunc(teams, func(t medlargw.TeamConfig) bool { return t.Team.Name == medlargw.DeploymentTeam })
		if i < 0 {
			return nil // Nobody has claimed the deployment yet.
		}
		deployment = &teams[i]
	}
	if p.owns(deployment, medlargw.DeploymentTeam) {
		return nil
	}
	names := slices.Clone(c.dropped)
	for i := range c.teams {
		names = append(names, c.teams[i].Team.Name)
	}
	for _, name := range names {
		if !p.owns(deployment, name) {
			return &medlargw.PublishError{Message: fmt.Sprintf("the key may not publish team %s", name)}
		}
	}
	return nil
}

// owns reports whether a key of the publisher is among the team's owners.
func (p *Publisher) owns(deployment *medlargw.TeamConfig, team medlargw.TeamName) bool {
	found := false
	for _, key := range p.Keys {
		hash := sha256.Sum256([]byte(key))
		for _, g := range deployment.Grants {
			for _, owner := range g.Owners {
				if g.Team == team && subtle.ConstantTimeCompare(owner[:], hash[:]) == 1 {
					found = true
				}
			}
		}
	}
	return found
}
