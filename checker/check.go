package checker

import (
	"slices"
	"strconv"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/parser"
)

// mergedConfig is the configuration that would result from publishing the files
// to the current configuration.
type mergedConfig struct {
	findings          medlargw.Findings
	otherTeams        []medlargw.TeamConfig // Current teams that the files do not replace.
	classes           map[medlargw.ClassName]medlargw.TeamName
	services          map[medlargw.ServiceName]medlargw.TeamName
	grants            map[medlargw.TeamName]medlargw.Grant
	hasDeploymentTeam bool // Whether the files or the current configuration declare the operators' team.
}

// Check returns the errors of the files, including conflicts with the current
// configuration. Current teams that the files declare are ignored, because the
// files replace them. The error is *medlargw.Findings.
func (c *Checker) Check(current []medlargw.TeamConfig) error {
	m := c.merge(current)
	c.checkClasses(m)
	c.checkServices(m)
	c.checkTeams(m)
	c.checkOtherTeams(m)
	m.findings.All = append(m.findings.All, c.findings.All...)
	return m.findings.Err()
}

// merge combines the declarations of the files with the current configuration.
func (c *Checker) merge(current []medlargw.TeamConfig) *mergedConfig {
	m := &mergedConfig{
		classes:  map[medlargw.ClassName]medlargw.TeamName{},
		services: map[medlargw.ServiceName]medlargw.TeamName{},
		grants:   map[medlargw.TeamName]medlargw.Grant{},
	}
	for _, t := range c.teams {
		m.addGrants(&t.cfg)
	}
	for i := range current {
		if c.teams[current[i].Team.Name] == nil {
			m.addGrants(&current[i])
		}
	}
	for i := range current {
		name := current[i].Team.Name
		_, granted := m.grants[name]
		// This publish removes a team that the operators no longer declare.
		if c.teams[name] == nil && (granted || !m.hasDeploymentTeam) {
			m.otherTeams = append(m.otherTeams, current[i])
			m.addDeclaredNames(&current[i])
		}
	}
	return m
}

// addGrants adds the grants of the operators' team, and ignores other teams.
func (m *mergedConfig) addGrants(t *medlargw.TeamConfig) {
	if t.Team.Name != medlargw.DeploymentTeam {
		return
	}
	m.hasDeploymentTeam = true
	m.grants[medlargw.DeploymentTeam] = medlargw.Grant{Team: medlargw.DeploymentTeam, Weight: maxWeight}
	for _, g := range t.Grants {
		m.grants[g.Team] = g
	}
}

// addDeclaredNames adds the names of the classes and services of a team.
func (m *mergedConfig) addDeclaredNames(t *medlargw.TeamConfig) {
	for i := range t.Classes {
		m.classes[t.Classes[i].Name] = t.Team.Name
	}
	for i := range t.Services {
		m.services[t.Services[i].Name] = t.Team.Name
	}
}

func (c *Checker) checkClasses(m *mergedConfig) {
	var floors float64
	for i, d := range c.classes {
		if owner, ok := m.classes[d.class.Name]; ok {
			m.findings.Add(d.position, "name: class %s is declared already by team %s", d.class.Name, owner)
		}
		if m.hasDeploymentTeam && d.team != medlargw.DeploymentTeam {
			m.findings.Add(d.position, "classes: only team %s declares classes", medlargw.DeploymentTeam)
		}
		if floors += d.class.MinShare; floors > 1 && floors-d.class.MinShare <= 1 {
			m.findings.Add(d.position, "floor: got floors of %g in all up to class %s, want at most 1", floors, d.class.Name)
		}
		for _, first := range c.classes[:i] {
			if first.class.Rank == d.class.Rank {
				m.findings.Add(d.rankPosition, "rank: class %s has rank %d already at %s", first.class.Name, d.class.Rank, first.rankPosition)
			}
		}
	}
	for _, d := range c.classes {
		m.classes[d.class.Name] = d.team
	}
}

func (c *Checker) checkServices(m *mergedConfig) {
	for _, d := range c.services {
		if owner, ok := m.services[d.service.Name]; ok {
			m.findings.Add(d.position, "name: service %s is declared already by team %s", d.service.Name, owner)
		}
		m.checkServiceClass(d)
		team := c.teams[d.service.Team]
		m.checkLimit(d.limitPosition, d.service.Limit, team.cfg.Team.Limit, false, "the team's limit")
	}
}

// checkServiceClass checks that the class of a service is declared, and that
// the team of the service may use it.
func (m *mergedConfig) checkServiceClass(d serviceDeclaration) {
	class := d.service.Class
	if class == "" {
		return
	}
	if _, ok := m.classes[class]; !ok {
		known := make([]string, 0, len(m.classes))
		for name := range m.classes {
			known = append(known, string(name))
		}
		slices.Sort(known)
		if suggestion := parser.Nearest(string(class), known); suggestion != "" {
			m.findings.Add(d.classPosition, "class: no class %s is declared, did you mean %s?", class, suggestion)
		} else {
			m.findings.Add(d.classPosition, "class: no class %s is declared", class)
		}
		return
	}
	g, ok := m.grants[d.service.Team]
	if ok && len(g.Classes) > 0 && !slices.Contains(g.Classes, class) {
		m.findings.Add(d.classPosition, "class: team %s may not use class %s", d.service.Team, class)
	}
}

// checkLimit checks that a limit does not exceed its upper bound. If the limit
// is required, it must also be set where the upper bound is set.
func (m *mergedConfig) checkLimit(position medlargw.Position, got, bound medlargw.Limit, required bool, boundName string) {
	if bound.Running > 0 && (got.Running > bound.Running || required && got.Running == 0) {
		m.findings.Add(position, "limit: running: got %s, want at most %d, %s", formatLimit(float64(got.Running)), bound.Running, boundName)
	}
	if bound.Starts > 0 && (got.Starts > bound.Starts || required && got.Starts == 0) {
		m.findings.Add(position, "limit: starts: got %s, want at most %g, %s", formatLimit(got.Starts), bound.Starts, boundName)
	}
}

func (c *Checker) checkTeams(m *mergedConfig) {
	if !m.hasDeploymentTeam {
		return
	}
	for name, t := range c.teams {
		g, ok := m.grants[name]
		if !ok {
			if name != "" {
				m.findings.Add(t.position, "team: team %s doesn't declare team %s", medlargw.DeploymentTeam, name)
			}
			continue
		}
		if t.cfg.Team.Weight > g.Weight {
			m.findings.Add(t.positionOf("weight"), "weight: got %d, want at most %d, the deployment's bound", t.cfg.Team.Weight, g.Weight)
		}
		m.checkLimit(t.positionOf("limit"), t.cfg.Team.Limit, g.Limit, true, "the deployment's bound")
	}
	for _, d := range c.grants {
		for _, class := range d.grant.Classes {
			if _, ok := m.classes[class]; !ok {
				m.findings.Add(d.position, "classes: no class %s is declared", class)
			}
		}
	}
}

// positionOf returns the position of a field, or of the team if the field is
// not given.
func (t *teamDeclaration) positionOf(field string) medlargw.Position {
	if position, ok := t.fieldPositions[field]; ok {
		return position
	}
	return t.position
}

// checkOtherTeams reports current teams that the files do not declare and that
// violate the new classes or bounds of the operators' team.
func (c *Checker) checkOtherTeams(m *mergedConfig) {
	deployment := c.teams[medlargw.DeploymentTeam]
	if deployment == nil {
		return
	}
	for i := range m.otherTeams {
		t := &m.otherTeams[i]
		g := m.grants[t.Team.Name] // Never missing: merge only keeps teams with a grant.
		for _, s := range t.Services {
			if _, ok := m.classes[s.Class]; !ok {
				m.findings.Add(deployment.position, "classes: service %s of team %s uses class %s", s.Name, t.Team.Name, s.Class)
			} else if len(g.Classes) > 0 && !slices.Contains(g.Classes, s.Class) {
				m.findings.Add(deployment.position, "teams: service %s of team %s uses class %s", s.Name, t.Team.Name, s.Class)
			}
		}
		if g.Weight < t.Team.Weight {
			m.findings.Add(deployment.position, "teams: team %s has weight %d in force, above its new %d",
				t.Team.Name, t.Team.Weight, g.Weight)
		}
		m.checkLimit(deployment.position, t.Team.Limit, g.Limit, true, "the new bound of team "+string(t.Team.Name))
	}
}

// formatLimit formats a limit; zero is no bound.
func formatLimit(n float64) string {
	if n == 0 {
		return "no bound"
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}
