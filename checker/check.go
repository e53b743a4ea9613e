package checker

import (
	"slices"
	"strconv"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/parser"
)

// union is the configuration that the files and the teams in force make up
// together.
type union struct {
	findings medlargw.Findings
	others   []medlargw.TeamConfig // In force, and not among the files.
	classes  map[medlargw.ClassName]medlargw.TeamName
	services map[medlargw.ServiceName]medlargw.TeamName
	grants   map[medlargw.TeamName]medlargw.Grant
	claimed  bool // Whether the operators' team is declared.
}

// Check returns the faults of the files, seen together with what is in force.
// Teams in force that are among the files are passed over, for the files take
// their place. The error is *medlargw.Findings.
func (c *Checker) Check(inForce []medlargw.TeamConfig) error {
	u := c.unite(inForce)
	c.checkClasses(u)
	c.checkServices(u)
	c.checkTeams(u)
	c.checkOthers(u)
	u.findings.All = append(u.findings.All, c.findings.All...)
	return u.findings.Err()
}

func (c *Checker) unite(inForce []medlargw.TeamConfig) *union {
	u := &union{
		classes:  map[medlargw.ClassName]medlargw.TeamName{},
		services: map[medlargw.ServiceName]medlargw.TeamName{},
		grants:   map[medlargw.TeamName]medlargw.Grant{},
	}
	for _, t := range c.teams {
		u.addGrants(&t.cfg)
	}
	for i := range inForce {
		if c.teams[inForce[i].Team.Name] == nil {
			u.addGrants(&inForce[i])
		}
	}
	for i := range inForce {
		name := inForce[i].Team.Name
		_, granted := u.grants[name]
		// A team that the operators no longer declare goes with this publish.
		if c.teams[name] == nil && (granted || !u.claimed) {
			u.others = append(u.others, inForce[i])
			u.addNames(&inForce[i])
		}
	}
	return u
}

func (u *union) addGrants(t *medlargw.TeamConfig) {
	if t.Team.Name != medlargw.DeploymentTeam {
		return
	}
	u.claimed = true
	u.grants[medlargw.DeploymentTeam] = medlargw.Grant{Team: medlargw.DeploymentTeam, Weight: maxWeight}
	for _, g := range t.Grants {
		u.grants[g.Team] = g
	}
}

func (u *union) addNames(t *medlargw.TeamConfig) {
	for i := range t.Classes {
		u.classes[t.Classes[i].Name] = t.Team.Name
	}
	for i := range t.Services {
		u.services[t.Services[i].Name] = t.Team.Name
	}
}

func (c *Checker) checkClasses(u *union) {
	var floors float64
	for i, d := range c.classes {
		if owner, ok := u.classes[d.class.Name]; ok {
			u.findings.Add(d.place, "name: class %s is declared already by team %s", d.class.Name, owner)
		}
		if u.claimed && d.team != medlargw.DeploymentTeam {
			u.findings.Add(d.place, "classes: only team %s declares classes", medlargw.DeploymentTeam)
		}
		if floors += d.class.Floor; floors > 1 && floors-d.class.Floor <= 1 {
			u.findings.Add(d.place, "floor: got floors of %g in all up to class %s, want at most 1", floors, d.class.Name)
		}
		for _, first := range c.classes[:i] {
			if first.class.Rank == d.class.Rank {
				u.findings.Add(d.rank, "rank: class %s has rank %d already at %s", first.class.Name, d.class.Rank, first.rank)
			}
		}
	}
	for _, d := range c.classes {
		u.classes[d.class.Name] = d.team
	}
}

func (c *Checker) checkServices(u *union) {
	for _, d := range c.services {
		if owner, ok := u.services[d.service.Name]; ok {
			u.findings.Add(d.place, "name: service %s is declared already by team %s", d.service.Name, owner)
		}
		u.checkClassOf(d)
		team := c.teams[d.service.Team]
		u.checkLimit(d.limit, d.service.Limit, team.cfg.Team.Limit, false, "the team's limit")
	}
}

func (u *union) checkClassOf(d serviceDeclaration) {
	class := d.service.Class
	if class == "" {
		return
	}
	if _, ok := u.classes[class]; !ok {
		known := make([]string, 0, len(u.classes))
		for name := range u.classes {
			known = append(known, string(name))
		}
		slices.Sort(known)
		if near := parser.Nearest(string(class), known); near != "" {
			u.findings.Add(d.class, "class: no class %s is declared, did you mean %s?", class, near)
		} else {
			u.findings.Add(d.class, "class: no class %s is declared", class)
		}
		return
	}
	g, ok := u.grants[d.service.Team]
	if ok && len(g.Classes) > 0 && !slices.Contains(g.Classes, class) {
		u.findings.Add(d.class, "class: team %s may not use class %s", d.service.Team, class)
	}
}

// checkLimit compares a limit with the one above it. A limit that must be given
// may not be left out where the one above it is bounded.
func (u *union) checkLimit(place medlargw.Place, got, most medlargw.Limit, must bool, whose string) {
	if most.Running > 0 && (got.Running > most.Running || must && got.Running == 0) {
		u.findings.Add(place, "limit: running: got %s, want at most %d, %s", amount(float64(got.Running)), most.Running, whose)
	}
	if most.Starts > 0 && (got.Starts > most.Starts || must && got.Starts == 0) {
		u.findings.Add(place, "limit: starts: got %s, want at most %g, %s", amount(got.Starts), most.Starts, whose)
	}
}

func (c *Checker) checkTeams(u *union) {
	if !u.claimed {
		return
	}
	for name, t := range c.teams {
		g, ok := u.grants[name]
		if !ok {
			if name != "" {
				u.findings.Add(t.place, "team: team %s doesn't declare team %s", medlargw.DeploymentTeam, name)
			}
			continue
		}
		if t.cfg.Team.Weight > g.Weight {
			u.findings.Add(t.at("weight"), "weight: got %d, want at most %d, the deployment's bound", t.cfg.Team.Weight, g.Weight)
		}
		u.checkLimit(t.at("limit"), t.cfg.Team.Limit, g.Limit, true, "the deployment's bound")
	}
	for _, d := range c.grants {
		for _, class := range d.grant.Classes {
			if _, ok := u.classes[class]; !ok {
				u.findings.Add(d.place, "classes: no class %s is declared", class)
			}
		}
	}
}

// at returns the place of a field, or of the team.
func (t *teamDeclaration) at(field string) medlargw.Place {
	if place, ok := t.fields[field]; ok {
		return place
	}
	return t.place
}

// checkOthers reports what the files take away from teams that are not among
// them.
func (c *Checker) checkOthers(u *union) {
	deployment := c.teams[medlargw.DeploymentTeam]
	if deployment == nil {
		return
	}
	for i := range u.others {
		t := &u.others[i]
		g := u.grants[t.Team.Name] // Each of the others has one.
		for _, s := range t.Services {
			if _, ok := u.classes[s.Class]; !ok {
				u.findings.Add(deployment.place, "classes: service %s of team %s uses class %s", s.Name, t.Team.Name, s.Class)
			} else if len(g.Classes) > 0 && !slices.Contains(g.Classes, s.Class) {
				u.findings.Add(deployment.place, "teams: service %s of team %s uses class %s", s.Name, t.Team.Name, s.Class)
			}
		}
		if g.Weight < t.Team.Weight {
			u.findings.Add(deployment.place, "teams: team %s has weight %d in force, above its new %d",
				t.Team.Name, t.Team.Weight, g.Weight)
		}
		u.checkLimit(deployment.place, t.Team.Limit, g.Limit, true, "the new bound of team "+string(t.Team.Name))
	}
}

func amount(n float64) string {
	if n == 0 {
		return "no bound"
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}
