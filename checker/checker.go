// Package checker reads the *.medlargw files of all teams and reports every
// fault of every file together.
package checker

import (
	"cmp"
	"encoding/hex"
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

// Checker gathers the declarations of files and their faults.
type Checker struct {
	findings medlargw.Findings
	teams    map[medlargw.TeamName]*medlargw.TeamConfig
	classes  map[medlargw.ClassName]medlargw.Place
	services map[medlargw.ServiceName]medlargw.Place
	uses     []classUse
}

// classUse is a service's mention of a class, checked when all files are read.
type classUse struct {
	class medlargw.ClassName
	place medlargw.Place
}

// New returns a checker without files.
func New() *Checker {
	return &Checker{
		teams:    map[medlargw.TeamName]*medlargw.TeamConfig{},
		classes:  map[medlargw.ClassName]medlargw.Place{},
		services: map[medlargw.ServiceName]medlargw.Place{},
	}
}

// Add reads one file.
func (c *Checker) Add(path string, text []byte) {
	p := parser.Parse(path, text, &c.findings)
	name := medlargw.TeamName(p.Need("team"))
	t := c.teams[name]
	if t == nil {
		t = &medlargw.TeamConfig{Team: medlargw.Team{Name: name, Weight: 1}}
		c.teams[name] = t
	}
	c.addTeam(p, t)
	for _, o := range p.Objects("classes") {
		c.addClass(o, t)
	}
	for _, o := range p.Objects("services") {
		c.addService(o, t)
	}
	p.Close()
}

func (c *Checker) addTeam(p *parser.Parser, t *medlargw.TeamConfig) {
	t.Team.Weight = p.Int("weight", t.Team.Weight, 1, maxWeight)
	if p.Has("limit") {
		t.Team.Limit = limit(p.Object("limit"))
	}
	for _, text := range p.Strings("keys") {
		raw, err := hex.DecodeString(text)
		var key [32]byte
		if err != nil || len(raw) != len(key) {
			p.Fault("keys", "got %q, want the SHA-256 of a token in hexadecimal", text)
			continue
		}
		copy(key[:], raw)
		t.Team.Keys = append(t.Team.Keys, key)
	}
}

func limit(p *parser.Parser) medlargw.Limit {
	defer p.Close()
	return medlargw.Limit{
		Running: p.Int("running", 0, 0, maxRunning),
		Starts:  p.Number("starts", 0, 0, maxStarts),
	}
}

func (c *Checker) addClass(p *parser.Parser, t *medlargw.TeamConfig) {
	defer p.Close()
	class := medlargw.Class{
		Name:  medlargw.ClassName(p.Need("name")),
		Rank:  p.Int("rank", 0, 0, maxRank),
		Floor: p.Number("floor", 0, 0, 1),
		Objective: medlargw.Objective{
			Answered: p.Number("answered", 0, 0, 1),
			Response: p.Duration("response", 0, 0, maxTime),
		},
	}
	if first, ok := c.classes[class.Name]; ok {
		p.Fault("name", "class %s is declared already at %s", class.Name, first)
		return
	}
	c.classes[class.Name] = p.PlaceOf("name")
	t.Classes = append(t.Classes, class)
}

func (c *Checker) addService(p *parser.Parser, t *medlargw.TeamConfig) {
	defer p.Close()
	s := medlargw.Service{
		Name:  medlargw.ServiceName(p.Need("name")),
		Team:  t.Team.Name,
		Class: medlargw.ClassName(p.Need("class")),
		Limit: limit(p.Object("limit")),
	}
	if first, ok := c.services[s.Name]; ok {
		p.Fault("name", "service %s is declared already at %s", s.Name, first)
		return
	}
	c.services[s.Name] = p.PlaceOf("name")
	c.uses = append(c.uses, classUse{class: s.Class, place: p.PlaceOf("class")})
	t.Services = append(t.Services, s)
}

// Check returns what all files declare, by team. Its error is
// *medlargw.Findings.
func (c *Checker) Check() ([]medlargw.TeamConfig, error) {
	for _, u := range c.uses {
		if _, ok := c.classes[u.class]; !ok && u.class != "" {
			c.findings.Add(u.place, "class: no file declares class %s", u.class)
		}
	}
	all := make([]medlargw.TeamConfig, 0, len(c.teams))
	for _, t := range c.teams {
		all = append(all, *t)
	}
	slices.SortFunc(all, func(a, b medlargw.TeamConfig) int { return cmp.Compare(a.Team.Name, b.Team.Name) })
	return all, c.findings.Err()
}
