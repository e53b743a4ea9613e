// Package comparer finds the differences between two configurations.
//
// It flattens each team into a list of items, each with a name and a text, so
// that every difference can be shown as one line.
package comparer

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"medlargw.example/medlargw"
)

// shownKeyDigits is the number of hexadecimal digits of a key's hash that are
// shown.
const shownKeyDigits = 8

// Comparer compares configurations. It has no state.
type Comparer struct{}

// item is one declaration of a team.
type item struct {
	name string
	text string
}

// Compare returns the changes that turn one list of teams into the other,
// ordered by team.
func (Comparer) Compare(from, to []medlargw.TeamConfig) []medlargw.Change {
	var changes []medlargw.Change
	for i := range to {
		changes = append(changes, compareTeam(to[i].Team.Name, flatten(findTeam(from, to[i].Team.Name)), flatten(&to[i]))...)
	}
	for i := range from {
		if findTeam(to, from[i].Team.Name) == nil {
			changes = append(changes, compareTeam(from[i].Team.Name, flatten(&from[i]), nil)...)
		}
	}
	slices.SortStableFunc(changes, func(a, b medlargw.Change) int { return cmp.Compare(a.Team, b.Team) })
	return changes
}

// findTeam returns the team with the name, or nil.
func findTeam(teams []medlargw.TeamConfig, name medlargw.TeamName) *medlargw.TeamConfig {
	for i := range teams {
		if teams[i].Team.Name == name {
			return &teams[i]
		}
	}
	return nil
}

func compareTeam(team medlargw.TeamName, from, to []item) []medlargw.Change {
	var changes []medlargw.Change
	for _, t := range to {
		if old := itemText(from, t.name); old != t.text {
			changes = append(changes, medlargw.Change{Team: team, Item: t.name, From: old, To: t.text})
		}
	}
	for _, f := range from {
		if itemText(to, f.name) == "" {
			changes = append(changes, medlargw.Change{Team: team, Item: f.name, From: f.text})
		}
	}
	return changes
}

// itemText returns the text of the item with the name, or the empty string.
func itemText(items []item, name string) string {
	for _, i := range items {
		if i.name == name {
			return i.text
		}
	}
	return ""
}

// flatten returns the items of a team; nil has none.
func flatten(t *medlargw.TeamConfig) []item {
	if t == nil {
		return nil
	}
	items := []item{
		{name: "team", text: "declared"},
		{name: "weight", text: fmt.Sprint(t.Team.Weight)},
		{name: "limit", text: formatLimit(t.Team.Limit)},
		{name: "keys", text: formatKeys(t.Team.Keys)},
	}
	for i := range t.Classes {
		c := &t.Classes[i]
		text := fmt.Sprintf("rank %d, floor %g, answered %g, response %s",
			c.Rank, c.MinShare, c.Objective.SuccessRatio, c.Objective.ResponseTime)
		items = append(items, item{name: "class " + string(c.Name), text: text})
	}
	for i := range t.Services {
		s := &t.Services[i]
		text := fmt.Sprintf("class %s, %s", s.Class, formatLimit(s.Limit))
		items = append(items, item{name: "service " + string(s.Name), text: text})
	}
	for i := range t.Grants {
		g := &t.Grants[i]
		text := fmt.Sprintf("owners %s, weight %d, %s, classes %s",
			formatKeys(g.Owners), g.Weight, formatLimit(g.Limit), formatClasses(g.Classes))
		items = append(items, item{name: "grant " + string(g.Team), text: text})
	}
	return items
}

func formatLimit(l medlargw.Limit) string {
	return fmt.Sprintf("running %s, starts %s", formatBound(float64(l.Running)), formatBound(l.Starts))
}

func formatBound(n float64) string {
	if n == 0 {
		return "unbounded"
	}
	return fmt.Sprint(n)
}

func formatKeys(keys [][32]byte) string {
	if len(keys) == 0 {
		return "none"
	}
	texts := make([]string, len(keys))
	for i, key := range keys {
		texts[i] = hex.EncodeToString(key[:])[:shownKeyDigits]
	}
	return strings.Join(texts, " ")
}

func formatClasses(classes []medlargw.ClassName) string {
	if len(classes) == 0 {
		return "all"
	}
	texts := make([]string, len(classes))
	for i, c := range classes {
		texts[i] = string(c)
	}
	return strings.Join(texts, " ")
}
