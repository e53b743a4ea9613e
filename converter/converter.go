// Package converter maps the configuration's values in the store to domain
// types and back.
//
// The store holds one immutable value per team, named by the hash of its
// content, and one head that names the value of each team. Field names are
// short; the values are JSON, so that an operator can read them.
package converter

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlargw.example/medlargw"
)

// Converter maps values. It has no state.
type Converter struct{}

// HeadKey is the key of the head.
const HeadKey = "head"

// TeamPrefix starts the key of every team value.
const TeamPrefix = "team/"

type headWire struct {
	Generation uint64         `json:"generation"`
	Teams      []teamHashWire `json:"teams"`
	Publishes  []string       `json:"publishes"`
}

type teamHashWire struct {
	Team string `json:"team"`
	Hash string `json:"hash"`
}

type teamWire struct {
	Team     string        `json:"team"`
	Keys     []string      `json:"keys"`
	Weight   int           `json:"weight"`
	Limit    limitWire     `json:"limit"`
	Classes  []classWire   `json:"classes,omitempty"`
	Services []serviceWire `json:"services,omitempty"`
}

type limitWire struct {
	Running int     `json:"running,omitempty"`
	Starts  float64 `json:"starts,omitempty"`
}

type classWire struct {
	Name     string  `json:"name"`
	Rank     int     `json:"rank"`
	Floor    float64 `json:"floor,omitempty"`
	Answered float64 `json:"answered,omitempty"`
	Response int64   `json:"response,omitempty"` // Nanoseconds.
}

type serviceWire struct {
	Name  string    `json:"name"`
	Class string    `json:"class"`
	Limit limitWire `json:"limit"`
}

// TeamKey returns the key of a team's value.
func (Converter) TeamKey(v medlargw.TeamVersion) string {
	return TeamPrefix + string(v.Team) + "/" + v.Hash
}

// Hash returns the name of a value's content.
func (Converter) Hash(value []byte) string { return strconv.FormatUint(xxhash.Sum64(value), 16) }

// EncodeHead returns the value of a head.
func (Converter) EncodeHead(h medlargw.Head) ([]byte, error) {
	wire := headWire{Generation: h.Generation, Publishes: h.Publishes}
	for _, t := range h.Teams {
		wire.Teams = append(wire.Teams, teamHashWire{Team: string(t.Team), Hash: t.Hash})
	}
	return marshal("head", wire)
}

// DecodeHead reads the value of a head.
func (Converter) DecodeHead(value []byte) (medlargw.Head, error) {
	var wire headWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return medlargw.Head{}, fmt.Errorf("decode head: %w", err)
	}
	h := medlargw.Head{Generation: wire.Generation, Publishes: wire.Publishes}
	for _, t := range wire.Teams {
		h.Teams = append(h.Teams, medlargw.TeamVersion{Team: medlargw.TeamName(t.Team), Hash: t.Hash})
	}
	return h, nil
}

// EncodeTeam returns the value of a team.
func (Converter) EncodeTeam(t medlargw.TeamConfig) ([]byte, error) {
	wire := teamWire{Team: string(t.Team.Name), Weight: t.Team.Weight, Limit: limitWire(t.Team.Limit)}
	for _, key := range t.Team.Keys {
		wire.Keys = append(wire.Keys, hex.EncodeToString(key[:]))
	}
	for _, c := range t.Classes {
		wire.Classes = append(wire.Classes, classWire{
			Name:     string(c.Name),
			Rank:     c.Rank,
			Floor:    c.Floor,
			Answered: c.Objective.Answered,
			Response: c.Objective.Response.Nanoseconds(),
		})
	}
	for _, s := range t.Services {
		wire.Services = append(wire.Services, serviceWire{
			Name:  string(s.Name),
			Class: string(s.Class),
			Limit: limitWire(s.Limit),
		})
	}
	return marshal("team", wire)
}

func marshal(what string, wire any) ([]byte, error) {
	value, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", what, err)
	}
	return value, nil
}

// DecodeTeam reads the value of a team.
func (Converter) DecodeTeam(value []byte) (medlargw.TeamConfig, error) {
	var wire teamWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return medlargw.TeamConfig{}, fmt.Errorf("decode team: %w", err)
	}
	t := medlargw.TeamConfig{Team: medlargw.Team{
		Name:   medlargw.TeamName(wire.Team),
		Weight: wire.Weight,
		Limit:  medlargw.Limit(wire.Limit),
	}}
	for _, text := range wire.Keys {
		key, err := decodeKey(text)
		if err != nil {
			return medlargw.TeamConfig{}, fmt.Errorf("decode team %s: %w", wire.Team, err)
		}
		t.Team.Keys = append(t.Team.Keys, key)
	}
	for _, c := range wire.Classes {
		t.Classes = append(t.Classes, medlargw.Class{
			Name:  medlargw.ClassName(c.Name),
			Rank:  c.Rank,
			Floor: c.Floor,
			Objective: medlargw.Objective{
				Answered: c.Answered,
				Response: time.Duration(c.Response),
			},
		})
	}
	for _, s := range wire.Services {
		t.Services = append(t.Services, medlargw.Service{
			Name:  medlargw.ServiceName(s.Name),
			Team:  t.Team.Name,
			Class: medlargw.ClassName(s.Class),
			Limit: medlargw.Limit(s.Limit),
		})
	}
	return t, nil
}

func decodeKey(text string) ([32]byte, error) {
	var key [32]byte
	raw, err := hex.DecodeString(text)
	if err != nil {
		return key, fmt.Errorf("decode key: %w", err)
	}
	if len(raw) != len(key) {
		return key, fmt.Errorf("decode key: got %d bytes, want %d", len(raw), len(key))
	}
	copy(key[:], raw)
	return key, nil
}
