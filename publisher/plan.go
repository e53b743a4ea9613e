package publisher

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"slices"
	"strings"

	"medlargw.example/medlargw"
)

// changeSet holds what a publish changes relative to one snapshot.
type changeSet struct {
	changes []medlargw.Change
	teams   []medlargw.TeamConfig // To be written.
	removed []medlargw.TeamName
}

// plan returns the changes from the snapshot to the given teams. Its error says
// why these changes are not allowed.
func (p *Publisher) plan(s *snapshot, teams []medlargw.TeamConfig) (changeSet, error) {
	c := p.diff(s, teams)
	if err := p.checkConflicts(s, teams, c); err != nil {
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
	return c, p.checkRemovals(c)
}

// diff returns the changes from the snapshot to the given teams. It includes
// the removal of teams that are no longer declared.
func (p *Publisher) diff(s *snapshot, teams []medlargw.TeamConfig) changeSet {
	var c changeSet
	var replaced []medlargw.TeamConfig
	for i := range teams {
		var old []medlargw.TeamConfig
		if t := s.team(teams[i].Team.Name); t != nil {
			old = []medlargw.TeamConfig{*t}
		}
		if len(p.configComparer.Compare(old, teams[i:i+1])) > 0 {
			c.teams = append(c.teams, teams[i])
			replaced = append(replaced, old...)
		}
	}
	for _, t := range undeclared(s, teams) {
		c.removed = append(c.removed, t.Team.Name)
		replaced = append(replaced, t)
	}
	c.changes = p.configComparer.Compare(replaced, c.teams)
	return c
}

// undeclared returns the teams of the snapshot that the given operators' team
// no longer declares. It returns none if the operators' team is not among the
// given teams.
func undeclared(s *snapshot, teams []medlargw.TeamConfig) []medlargw.TeamConfig {
	i := slices.IndexFunc(teams, func(t medlargw.TeamConfig) bool { return t.Team.Name == medlargw.DeploymentTeam })
	if i < 0 {
		return nil
	}
	var dropped []medlargw.TeamConfig
	for _, t := range s.teams {
		given := func(other medlargw.TeamConfig) bool { return other.Team.Name == t.Team.Name }
		granted := func(g medlargw.Grant) bool { return g.Team == t.Team.Name }
		if !slices.ContainsFunc(teams, given) && !slices.ContainsFunc(teams[i].Grants, granted) {
			dropped = append(dropped, t)
		}
	}
	return dropped
}

// checkConflicts reports teams to be written that another publisher has changed
// since the first attempt of this publish.
func (p *Publisher) checkConflicts(s *snapshot, teams []medlargw.TeamConfig, c changeSet) error {
	if p.baseVersions == nil {
		p.baseVersions = map[medlargw.TeamName]medlargw.TeamVersion{}
		for i := range teams {
			p.baseVersions[teams[i].Team.Name] = s.version(teams[i].Team.Name)
		}
		return p.checkBase(s, teams, c)
	}
	var changes []medlargw.Change
	for i := range c.teams {
		name := c.teams[i].Team.Name
		if s.version(name) == p.baseVersions[name] {
			continue
		}
		var from, to []medlargw.TeamConfig
		if old, ok := p.configCache[p.baseVersions[name]]; ok {
			from = append(from, old)
		}
		if t := s.team(name); t != nil {
			to = append(to, *t)
		}
		changes = append(changes, p.configComparer.Compare(from, to)...)
	}
	if len(changes) == 0 {
		return nil
	}
	return &medlargw.PublishError{Message: "another publisher changed the same team meanwhile:", Changes: changes}
}

// checkBase reports the pending changes if the current configuration of the
// teams differs from the one that the base digest was computed from.
func (p *Publisher) checkBase(s *snapshot, teams []medlargw.TeamConfig, c changeSet) error {
	if p.BaseDigest == "" || p.BaseDigest == p.digest(s, teams) || len(c.changes) == 0 {
		return nil
	}
	message := "what is in force has changed since base " + p.BaseDigest + "; this publish would now change:"
	return &medlargw.PublishError{Message: message, Changes: c.changes}
}

// digest returns a hash of the current versions of the given teams.
func (p *Publisher) digest(s *snapshot, teams []medlargw.TeamConfig) string {
	var versions strings.Builder
	for i := range teams {
		v := s.version(teams[i].Team.Name)
		versions.WriteString(string(teams[i].Team.Name) + "/" + v.Hash + "\n")
	}
	return p.conv.Hash([]byte(versions.String()))
}

// checkRemovals reports removals, unless Prune allows them.
func (p *Publisher) checkRemovals(c changeSet) error {
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

// authorize returns an error if no key of the publisher may publish a changed
// team. It checks the keys against the current owners. The first publish of the
// operators' team is checked against the owners that this team itself declares.
func (p *Publisher) authorize(s *snapshot, teams []medlargw.TeamConfig, c changeSet) error {
	operators := s.team(medlargw.DeploymentTeam)
	if operators == nil {
		i := slices.IndexFunc(teams, func(t medlargw.TeamConfig) bool { return t.Team.Name == medlargw.DeploymentTeam })
		if i < 0 {
			return nil // The operators' team has not been published yet.
		}
		operators = &teams[i]
	}
	if p.owns(operators, medlargw.DeploymentTeam) {
		return nil
	}
	names := slices.Clone(c.removed)
	for i := range c.teams {
		names = append(names, c.teams[i].Team.Name)
	}
	for _, name := range names {
		if !p.owns(operators, name) {
			return &medlargw.PublishError{Message: fmt.Sprintf("the key may not publish team %s", name)}
		}
	}
	return nil
}

// owns reports whether a key of the publisher is among the team's owners. The
// operators' team holds the owners of all teams.
func (p *Publisher) owns(operators *medlargw.TeamConfig, team medlargw.TeamName) bool {
	found := false
	for _, key := range p.Keys {
		hash := sha256.Sum256([]byte(key))
		for _, g := range operators.Grants {
			for _, owner := range g.Owners {
				if g.Team == team && subtle.ConstantTimeCompare(owner[:], hash[:]) == 1 {
					found = true
				}
			}
		}
	}
	return found
}
