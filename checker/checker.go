// Package checker reads the *.medlargw files of all teams and reports the
// errors of all files together.
//
// Add reads one file at a time and collects its declarations with their
// positions. Check then compares the declarations of all files with each other
// and with the current configuration of the teams that the files do not
// declare.
package checker

import (
	"cmp"
	"encoding/hex"
	"regexp"
	"slices"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/parser"
)

// Upper bounds of the values that a file may declare.
const (
	maxWeight          = 1000
	maxRank            = 31
	maxRunningTasks    = 1_000_000
	maxStartsPerSecond = 1_000_000
	maxResponseTime    = time.Hour
)

// namePattern matches names that are safe in keys of the store, in URLs and in
// metric names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Checker collects the declarations and the errors of files.
type Checker struct {
	findings medlargw.Findings
	teams    map[medlargw.TeamName]*teamDeclaration
	classes  []classDeclaration
	services []serviceDeclaration
	grants   []grantDeclaration
}

// teamDeclaration holds what the files declare for one team.
type teamDeclaration struct {
	cfg            medlargw.TeamConfig
	position       medlargw.Position            // Position of the team's name in the first file.
	fieldPositions map[string]medlargw.Position // Position of each field of the team that is given.
}

type classDeclaration struct {
	class        medlargw.Class
	team         medlargw.TeamName
	position     medlargw.Position
	rankPosition medlargw.Position
}

type serviceDeclaration struct {
	service       medlargw.Service
	position      medlargw.Position
	classPosition medlargw.Position
	limitPosition medlargw.Position
}

type grantDeclaration struct {
	grant    medlargw.Grant
	position medlargw.Position
}

// New returns a checker without any files.
func New() *Checker {
	return &Checker{teams: map[medlargw.TeamName]*teamDeclaration{}}
}

// Add reads one file; the path is used in the findings.
func (c *Checker) Add(path string, text []byte) {
	p := parser.Parse(path, text, &c.findings)
	defer p.Close()
	name := medlargw.TeamName(c.parseName(p, "team"))
	t := c.teams[name]
	if t == nil {
		t = &teamDeclaration{
			cfg:            medlargw.TeamConfig{Team: medlargw.Team{Name: name, Weight: 1}},
			position:       p.PositionOf("team"),
			fieldPositions: map[string]medlargw.Position{},
		}
		c.teams[name] = t
	}
	c.addTeam(p, t)
	for _, o := range p.Objects("classes") {
		c.addClass(o, t)
	}
	for _, o := range p.Objects("services") {
		c.addService(o, t)
	}
	if p.Has("teams") && name != medlargw.DeploymentTeam {
		p.Report("teams", "only team %s declares teams", medlargw.DeploymentTeam)
	}
	for _, o := range p.Objects("teams") {
		c.addGrant(o, t)
	}
}

// parseName returns a name, and reports it if it is missing or not valid.
func (*Checker) parseName(p *parser.Parser, field string) string {
	name := p.Required(field)
	if name != "" && !namePattern.MatchString(name) {
		p.Report(field, "got %q, want up to 64 letters, digits, dots, dashes or underscores", name)
	}
	return name
}

// declareField reports whether the file has a field of the team, and records
// its position. It adds a finding if another file has the field too.
func (c *Checker) declareField(p *parser.Parser, t *teamDeclaration, field string) bool {
	if !p.Has(field) {
		return false
	}
	if first, ok := t.fieldPositions[field]; ok {
		p.Report(field, "given already for team %s at %s", t.cfg.Team.Name, first)
	} else {
		t.fieldPositions[field] = p.PositionOf(field)
	}
	return true
}

func (c *Checker) addTeam(p *parser.Parser, t *teamDeclaration) {
	c.declareField(p, t, "weight")
	t.cfg.Team.Weight = p.Int("weight", t.cfg.Team.Weight, 1, maxWeight)
	if c.declareField(p, t, "limit") {
		t.cfg.Team.Limit = parseLimit(p.Object("limit"))
	} else {
		p.Object("limit")
	}
	c.declareField(p, t, "keys")
	t.cfg.Team.Keys = append(t.cfg.Team.Keys, parseHashes(p, "keys")...)
}

// parseHashes returns a list of SHA-256 hashes.
func parseHashes(p *parser.Parser, field string) [][32]byte {
	var hashes [][32]byte
	for _, text := range p.Strings(field) {
		raw, err := hex.DecodeString(text)
		var key [32]byte
		if err != nil || len(raw) != len(key) {
			// The finding omits the text, because it may be the token itself.
			p.Report(field, "got %d characters, want the SHA-256 of a token as 64 hexadecimal digits", len(text))
			continue
		}
		copy(key[:], raw)
		hashes = append(hashes, key)
	}
	return hashes
}

func parseLimit(p *parser.Parser) medlargw.Limit {
	defer p.Close()
	return medlargw.Limit{
		Running: p.Int("running", 0, 0, maxRunningTasks),
		Starts:  p.Number("starts", 0, 0, maxStartsPerSecond),
	}
}

func (c *Checker) addClass(p *parser.Parser, t *teamDeclaration) {
	defer p.Close()
	d := classDeclaration{team: t.cfg.Team.Name}
	d.class.Name = medlargw.ClassName(c.parseName(p, "name"))
	if !p.Has("rank") {
		p.Report("rank", "missing")
	}
	d.class.Rank = p.Int("rank", 0, 0, maxRank)
	d.class.MinShare = p.Number("floor", 0, 0, 1)
	d.class.Objective.SuccessRatio = p.Number("answered", 0, 0, 1)
	d.class.Objective.ResponseTime = p.Duration("response", 0, 0, maxResponseTime)
	d.position, d.rankPosition = p.PositionOf("name"), p.PositionOf("rank")
	for _, first := range c.classes {
		if first.class.Name == d.class.Name {
			p.Report("name", "class %s is declared already at %s", d.class.Name, first.position)
			return
		}
	}
	c.classes = append(c.classes, d)
	t.cfg.Classes = append(t.cfg.Classes, d.class)
}

func (c *Checker) addService(p *parser.Parser, t *teamDeclaration) {
	defer p.Close()
	d := serviceDeclaration{service: medlargw.Service{
		Name:  medlargw.ServiceName(c.parseName(p, "name")),
		Team:  t.cfg.Team.Name,
		Class: medlargw.ClassName(p.Required("class")),
		Limit: parseLimit(p.Object("limit")),
	}}
	d.position, d.classPosition, d.limitPosition = p.PositionOf("name"), p.PositionOf("class"), p.PositionOf("limit")
	for _, first := range c.services {
		if first.service.Name == d.service.Name {
			p.Report("name", "service %s is declared already at %s", d.service.Name, first.position)
			return
		}
	}
	c.services = append(c.services, d)
	t.cfg.Services = append(t.cfg.Services, d.service)
}

func (c *Checker) addGrant(p *parser.Parser, t *teamDeclaration) {
	defer p.Close()
	d := grantDeclaration{grant: medlargw.Grant{
		Team:   medlargw.TeamName(c.parseName(p, "name")),
		Owners: parseHashes(p, "owners"),
		Weight: p.Int("weight", 1, 1, maxWeight),
		Limit:  parseLimit(p.Object("limit")),
	}}
	for _, class := range p.Strings("classes") {
		d.grant.Classes = append(d.grant.Classes, medlargw.ClassName(class))
	}
	d.position = p.PositionOf("name")
	if len(d.grant.Owners) == 0 {
		p.Report("owners", "missing, want the SHA-256 of each key that may publish the team")
	}
	for _, first := range c.grants {
		if first.grant.Team == d.grant.Team {
			p.Report("name", "team %s is declared already at %s", d.grant.Team, first.position)
			return
		}
	}
	c.grants = append(c.grants, d)
	t.cfg.Grants = append(t.cfg.Grants, d.grant)
}

// Teams returns the declarations of the files, ordered by team. It includes
// those of files with errors.
func (c *Checker) Teams() []medlargw.TeamConfig {
	configs := make([]medlargw.TeamConfig, 0, len(c.teams))
	for _, t := range c.teams {
		configs = append(configs, t.cfg)
	}
	slices.SortFunc(configs, func(a, b medlargw.TeamConfig) int { return cmp.Compare(a.Team.Name, b.Team.Name) })
	return configs
}
