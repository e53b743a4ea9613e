// Package checker reads the *.medlargw files of all teams and reports every
// fault of every file together.
//
// Add takes one file at a time and gathers what it declares with the places.
// Check then compares the declarations of all files with each other and with
// those in force of the teams that are not among the files.
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

// Bounds of what a file may declare.
const (
	maxWeight  = 1000
	maxRank    = 31
	maxRunning = 1_000_000
	maxStarts  = 1_000_000
	maxTime    = time.Hour
)

// validName matches names that are safe in keys of the store, in addresses and
// in metrics.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Checker gathers the declarations of files and their faults.
type Checker struct {
	findings medlargw.Findings
	teams    map[medlargw.TeamName]*teamDeclaration
	classes  []classDeclaration
	services []serviceDeclaration
	grants   []grantDeclaration
}

// teamDeclaration is what the files say of one team.
type teamDeclaration struct {
	cfg    medlargw.TeamConfig
	place  medlargw.Place            // Of the team's name in the first file.
	fields map[string]medlargw.Place // Where a field of the team is given.
}

type classDeclaration struct {
	class medlargw.Class
	team  medlargw.TeamName
	place medlargw.Place
	rank  medlargw.Place
}

type serviceDeclaration struct {
	service medlargw.Service
	place   medlargw.Place
	class   medlargw.Place
	limit   medlargw.Place
}

type grantDeclaration struct {
	grant medlargw.Grant
	place medlargw.Place
}

// New returns a checker without files.
func New() *Checker {
	return &Checker{teams: map[medlargw.TeamName]*teamDeclaration{}}
}

// Add reads one file.
func (c *Checker) Add(path string, text []byte) {
	p := parser.Parse(path, text, &c.findings)
	defer p.Close()
	name := medlargw.TeamName(c.name(p, "team"))
	t := c.teams[name]
	if t == nil {
		t = &teamDeclaration{
			cfg:    medlargw.TeamConfig{Team: medlargw.Team{Name: name, Weight: 1}},
			place:  p.PlaceOf("team"),
			fields: map[string]medlargw.Place{},
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
		p.Fault("teams", "only team %s declares teams", medlargw.DeploymentTeam)
	}
	for _, o := range p.Objects("teams") {
		c.addGrant(o, t)
	}
}

// name returns a name that must be present and valid.
func (*Checker) name(p *parser.Parser, field string) string {
	name := p.Need(field)
	if name != "" && !validName.MatchString(name) {
		p.Fault(field, "got %q, want up to 64 letters, digits, dots, dashes or underscores", name)
	}
	return name
}

// once reports a field of the team that another file gives too.
func (c *Checker) once(p *parser.Parser, t *teamDeclaration, field string) bool {
	if !p.Has(field) {
		return false
	}
	if first, ok := t.fields[field]; ok {
		p.Fault(field, "given already for team %s at %s", t.cfg.Team.Name, first)
	} else {
		t.fields[field] = p.PlaceOf(field)
	}
	return true
}

func (c *Checker) addTeam(p *parser.Parser, t *teamDeclaration) {
	c.once(p, t, "weight")
	t.cfg.Team.Weight = p.Int("weight", t.cfg.Team.Weight, 1, maxWeight)
	if c.once(p, t, "limit") {
		t.cfg.Team.Limit = limit(p.Object("limit"))
	} else {
		p.Object("limit")
	}
	c.once(p, t, "keys")
	t.cfg.Team.Keys = append(t.cfg.Team.Keys, hashes(p, "keys")...)
}

// hashes returns a list of SHA-256 values.
func hashes(p *parser.Parser, field string) [][32]byte {
	var all [][32]byte
	for _, text := range p.Strings(field) {
		raw, err := hex.DecodeString(text)
		var key [32]byte
		if err != nil || len(raw) != len(key) {
			// The text may be the token itself, so it isn't shown.
			p.Fault(field, "got %d characters, want the SHA-256 of a token as 64 hexadecimal digits", len(text))
			continue
		}
		copy(key[:], raw)
		all = append(all, key)
	}
	return all
}

func limit(p *parser.Parser) medlargw.Limit {
	defer p.Close()
	return medlargw.Limit{
		Running: p.Int("running", 0, 0, maxRunning),
		Starts:  p.Number("starts", 0, 0, maxStarts),
	}
}

func (c *Checker) addClass(p *parser.Parser, t *teamDeclaration) {
	defer p.Close()
	d := classDeclaration{team: t.cfg.Team.Name}
	d.class.Name = medlargw.ClassName(c.name(p, "name"))
	if !p.Has("rank") {
		p.Fault("rank", "missing")
	}
	d.class.Rank = p.Int("rank", 0, 0, maxRank)
	d.class.Floor = p.Number("floor", 0, 0, 1)
	d.class.Objective.Answered = p.Number("answered", 0, 0, 1)
	d.class.Objective.Response = p.Duration("response", 0, 0, maxTime)
	d.place, d.rank = p.PlaceOf("name"), p.PlaceOf("rank")
	for _, first := range c.classes {
		if first.class.Name == d.class.Name {
			p.Fault("name", "class %s is declared already at %s", d.class.Name, first.place)
			return
		}
	}
	c.classes = append(c.classes, d)
	t.cfg.Classes = append(t.cfg.Classes, d.class)
}

func (c *Checker) addService(p *parser.Parser, t *teamDeclaration) {
	defer p.Close()
	d := serviceDeclaration{service: medlargw.Service{
		Name:  medlargw.ServiceName(c.name(p, "name")),
		Team:  t.cfg.Team.Name,
		Class: medlargw.ClassName(p.Need("class")),
		Limit: limit(p.Object("limit")),
	}}
	d.place, d.class, d.limit = p.PlaceOf("name"), p.PlaceOf("class"), p.PlaceOf("limit")
	for _, first := range c.services {
		if first.service.Name == d.service.Name {
			p.Fault("name", "service %s is declared already at %s", d.service.Name, first.place)
			return
		}
	}
	c.services = append(c.services, d)
	t.cfg.Services = append(t.cfg.Services, d.service)
}

func (c *Checker) addGrant(p *parser.Parser, t *teamDeclaration) {
	defer p.Close()
	d := grantDeclaration{grant: medlargw.Grant{
		Team:   medlargw.TeamName(c.name(p, "name")),
		Owners: hashes(p, "owners"),
		Weight: p.Int("weight", 1, 1, maxWeight),
		Limit:  limit(p.Object("limit")),
	}}
	for _, class := range p.Strings("classes") {
		d.grant.Classes = append(d.grant.Classes, medlargw.ClassName(class))
	}
	d.place = p.PlaceOf("name")
	if len(d.grant.Owners) == 0 {
		p.Fault("owners", "missing, want the SHA-256 of each key that may publish the team")
	}
	for _, first := range c.grants {
		if first.grant.Team == d.grant.Team {
			p.Fault("name", "team %s is declared already at %s", d.grant.Team, first.place)
			return
		}
	}
	c.grants = append(c.grants, d)
	t.cfg.Grants = append(t.cfg.Grants, d.grant)
}

// Teams returns what the files declare, by team, also when they have faults.
func (c *Checker) Teams() []medlargw.TeamConfig {
	all := make([]medlargw.TeamConfig, 0, len(c.teams))
	for _, t := range c.teams {
		all = append(all, t.cfg)
	}
	slices.SortFunc(all, func(a, b medlargw.TeamConfig) int { return cmp.Compare(a.Team.Name, b.Team.Name) })
	return all
}
