// Package comparer finds what differs between two configurations.
//
// Each team is flattened into a list of items with a text of their own, so that
// a difference is one line for people.
package comparer

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"medlargw.example/medlargw"
)

// keyDigits is how much of a key's hash is shown.
const keyDigits = 8

// Comparer compares. It has no state.
type Comparer struct{}

// item is one declared thing of a team.
type item struct {
	name string
	text string
}

// Compare returns what has to change to get from one list of teams to the
// other, ordered by team.
func (Comparer) Compare(from, to []medlargw.TeamConfig) []medlargw.Change {
	var changes []medlargw.Change
	for i := range to {
		changes = append(changes, compareTeam(to[i].Team.Name, itemsOf(find(from, to[i].Team.Name)), itemsOf(&to[i]))...)
	}
	for i := range from {
		if find(to, from[i].Team.Name) == nil {
			changes = append(changes, compareTeam(from[i].Team.Name, itemsOf(&from[i]), nil)...)
		}
	}
	slices.SortStableFunc(changes, func(a, b medlargw.Change) int { return cmp.Compare(a.Team, b.Team) })
	return changes
}

func find(all []medlargw.TeamConfig, name medlargw.TeamName) *medlargw.TeamConfig {
	for i := range all {
		if all[i].Team.Name == name {
			return &all[i]
		}
	}
	return nil
}

func compareTeam(team medlargw.TeamName, from, to []item) []medlargw.Change {
	var changes []medlargw.Change
	for _, t := range to {
		if old := textOf(from, t.name); old != t.text {
			changes = append(changes, medlargw.Change{Team: team, Item: t.name, From: old, To: t.text})
		}
	}
	for _, f := range from {
		if textOf(to, f.name) == "" {
			changes = append(changes, medlargw.Change{Team: team, Item: f.name, From: f.text})
		}
	}
	return changes
}

func textOf(items []item, name string) string {
	for _, i := range items {
		if i.name == name {
			return i.text
		}
	}
	return ""
}

func itemsOf(t *medlargw.TeamConfig) []item {
	if t == nil {
		return nil
	}
	items := []item{
		{name: "team", text: "declared"},
		{name: "weight", text: fmt.Sprint(t.Team.Weight)},
		{name: "limit", text: limitText(t.Team.Limit)},
		{name: "keys", text: keysText(t.Team.Keys)},
	}
	for i := range t.Classes {
		c := &t.Classes[i]
		text := fmt.Sprintf("rank %d, floor %g, answered %g, response %s",
			c.Rank, c.Floor, c.Objective.Answered, c.Objective.Response)
		items = append(items, item{name: "class " + string(c.Name), text: text})
	}
	for i := range t.Services {
		s := &t.Services[i]
		text := fmt.Sprintf("class %s, %s", s.Class, limitText(s.Limit))
		items = append(items, item{name: "service " + string(s.Name), text: text})
	}
	for i := range t.Grants {
		g := &t.Grants[i]
		text := fmt.Sprintf("owners %s, weight %d, %s, classes %s",
			keysText(g.Owners), g.Weight, limitText(g.Limit), classesText(g.Classes))
		items = append(items, item{name: "grant " + string(g.Team), text: text})
	}
	return items
}

func limitText(l medlargw.Limit) string {
	return fmt.Sprintf("running %s, starts %s", bound(float64(l.Running)), bound(l.Starts))
}

func bound(n float64) string {
	if n == 0 {
		return "unbounded"
	}
	return fmt.Sprint(n)
}

func keysText(keys [][32]byte) string {
	if len(keys) == 0 {
		return "none"
	}
	texts := make([]string, len(keys))
	for i, key := range keys {
		texts[i] = hex.EncodeToString(key[:])[:keyDigits]
	}
	return strings.Join(texts, " ")
}

func classesText(classes []medlargw.ClassName) string {
	if len(classes) == 0 {
		return "all"
	}
	texts := make([]string, len(classes))
	for i, c := range classes {
		texts[i] = string(c)
	}
	return strings.Join(texts, " ")
}
