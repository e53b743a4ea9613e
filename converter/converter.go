// Package converter converts the stored configuration to domain types and back.
//
// The store holds immutable values of teams, whose keys contain the hash of
// their content, and one head that references the current value of each team.
// The values are JSON with short field names, so that an operator can read
// them.
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

// Converter encodes and decodes stored values. It has no state.
type Converter struct{}

// HeadKey is the key of the head in the store.
const HeadKey = "head"

// TeamPrefix is the prefix of the keys of all team values.
const TeamPrefix = "team/"

type headWire struct {
	Generation uint64            `json:"generation"`
	Teams      []teamVersionWire `json:"teams"`
	Publishes  []string          `json:"publishes"`
	Retired    []retiredWire     `json:"retired,omitempty"`
	Evacuated  []string          `json:"evacuated,omitempty"`
}

type retiredWire struct {
	teamVersionWire

	At time.Time `json:"at"`
}

type teamVersionWire struct {
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
	Routes   []routeWire   `json:"routes,omitempty"`
	Teams    []grantWire   `json:"teams,omitempty"`
	Salt     string        `json:"salt,omitempty"` // Gives the same configuration another hash.
}

type grantWire struct {
	Name    string    `json:"name"`
	Owners  []string  `json:"owners"`
	Weight  int       `json:"weight"`
	Limit   limitWire `json:"limit"`
	Classes []string  `json:"classes,omitempty"`
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

	Rank     int     `json:"rank,omitempty"`
	Pool     string  `json:"pool,omitempty"`
	Attempts int     `json:"attempts,omitempty"`
	Slack    float64 `json:"slack,omitempty"`
	Grace    int64   `json:"grace,omitempty"`   // Nanoseconds.
	Timeout  int64   `json:"timeout,omitempty"` // Nanoseconds.
}

type routeWire struct {
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
}

// TeamKey returns the key of a team's value.
func (Converter) TeamKey(v medlargw.TeamVersion) string {
	return TeamPrefix + string(v.Team) + "/" + v.Hash
}

// Hash returns the hash of a value, which is part of its key.
func (Converter) Hash(value []byte) string { return strconv.FormatUint(xxhash.Sum64(value), 16) }

// EncodeHead returns the stored value of a head.
func (Converter) EncodeHead(h medlargw.ConfigHead) ([]byte, error) {
	wire := headWire{Generation: h.Generation, Publishes: h.PublishIDs}
	for _, t := range h.Teams {
		wire.Teams = append(wire.Teams, versionToWire(t))
	}
	for _, r := range h.Retired {
		wire.Retired = append(wire.Retired, retiredWire{teamVersionWire: versionToWire(r.Version), At: r.RetiredAt})
	}
	for _, zone := range h.Evacuated {
		wire.Evacuated = append(wire.Evacuated, string(zone))
	}
	return marshal("head", wire)
}

func versionToWire(v medlargw.TeamVersion) teamVersionWire {
	return teamVersionWire{Team: string(v.Team), Hash: v.Hash}
}

func (w teamVersionWire) toVersion() medlargw.TeamVersion {
	return medlargw.TeamVersion{Team: medlargw.TeamName(w.Team), Hash: w.Hash}
}

// DecodeHead decodes the stored value of a head.
func (Converter) DecodeHead(value []byte) (medlargw.ConfigHead, error) {
	var wire headWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return medlargw.ConfigHead{}, fmt.Errorf("decode head: %w", err)
	}
	h := medlargw.ConfigHead{Generation: wire.Generation, PublishIDs: wire.Publishes}
	for _, t := range wire.Teams {
		h.Teams = append(h.Teams, t.toVersion())
	}
	for _, r := range wire.Retired {
		h.Retired = append(h.Retired, medlargw.RetiredVersion{Version: r.toVersion(), RetiredAt: r.At})
	}
	for _, zone := range wire.Evacuated {
		h.Evacuated = append(h.Evacuated, medlargw.ZoneName(zone))
	}
	return h, nil
}

// EncodeTeam returns the stored value of a team.
func (c Converter) EncodeTeam(t medlargw.TeamConfig) ([]byte, error) {
	return c.EncodeTeamWithSalt(t, "")
}

// EncodeTeamWithSalt returns the stored value of a team with a salt. The salt
// changes the hash of the value but not its meaning.
func (Converter) EncodeTeamWithSalt(t medlargw.TeamConfig, salt string) ([]byte, error) {
	wire := teamWire{
		Team:   string(t.Team.Name),
		Keys:   encodeKeys(t.Team.Keys),
		Weight: t.Team.Weight,
		Limit:  limitWire(t.Team.Limit),
		Salt:   salt,
	}
	for _, c := range t.Classes {
		wire.Classes = append(wire.Classes, classWire{
			Name:     string(c.Name),
			Rank:     c.Rank,
			Floor:    c.MinShare,
			Answered: c.Objective.SuccessRatio,
			Response: c.Objective.ResponseTime.Nanoseconds(),
		})
	}
	for _, s := range t.Services {
		wire.Services = append(wire.Services, serviceWire{
			Name:  string(s.Name),
			Class: string(s.Class),
			Limit: limitWire(s.Limit),

			Rank:     s.Rank,
			Pool:     string(s.Pool),
			Attempts: s.MaxAttempts,
			Slack:    s.SlackFactor,
			Grace:    s.Grace.Nanoseconds(),
			Timeout:  s.Timeout.Nanoseconds(),
		})
	}
	for _, r := range t.Routes {
		wire.Routes = append(wire.Routes, routeWire{Host: r.Host, Prefix: r.Prefix, Service: string(r.Service)})
	}
	for _, g := range t.Grants {
		wire.Teams = append(wire.Teams, encodeGrant(&g))
	}
	return marshal("team", wire)
}

func encodeKeys(keys [][32]byte) []string {
	var texts []string
	for _, key := range keys {
		texts = append(texts, hex.EncodeToString(key[:]))
	}
	return texts
}

func encodeGrant(g *medlargw.Grant) grantWire {
	wire := grantWire{
		Name:   string(g.Team),
		Owners: encodeKeys(g.Owners),
		Weight: g.Weight,
		Limit:  limitWire(g.Limit),
	}
	for _, class := range g.Classes {
		wire.Classes = append(wire.Classes, string(class))
	}
	return wire
}

func marshal(kind string, wire any) ([]byte, error) {
	value, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	return value, nil
}

// DecodeTeam decodes the stored value of a team.
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
	var err error
	if t.Team.Keys, err = decodeKeys(wire.Keys); err != nil {
		return medlargw.TeamConfig{}, fmt.Errorf("decode team %s: %w", wire.Team, err)
	}
	for i := range wire.Teams {
		g, err := decodeGrant(&wire.Teams[i])
		if err != nil {
			return medlargw.TeamConfig{}, fmt.Errorf("decode team %s: %w", wire.Team, err)
		}
		t.Grants = append(t.Grants, g)
	}
	for _, c := range wire.Classes {
		t.Classes = append(t.Classes, medlargw.Class{
			Name:     medlargw.ClassName(c.Name),
			Rank:     c.Rank,
			MinShare: c.Floor,
			Objective: medlargw.Objective{
				SuccessRatio: c.Answered,
				ResponseTime: time.Duration(c.Response),
			},
		})
	}
	for _, s := range wire.Services {
		t.Services = append(t.Services, medlargw.Service{
			Name:  medlargw.ServiceName(s.Name),
			Team:  t.Team.Name,
			Class: medlargw.ClassName(s.Class),
			Limit: medlargw.Limit(s.Limit),

			Rank:        s.Rank,
			Pool:        medlargw.PoolName(s.Pool),
			MaxAttempts: s.Attempts,
			SlackFactor: s.Slack,
			Grace:       time.Duration(s.Grace),
			Timeout:     time.Duration(s.Timeout),
		})
	}
	for _, r := range wire.Routes {
		t.Routes = append(t.Routes, medlargw.Route{Host: r.Host, Prefix: r.Prefix, Service: medlargw.ServiceName(r.Service)})
	}
	return t, nil
}

func decodeGrant(wire *grantWire) (medlargw.Grant, error) {
	owners, err := decodeKeys(wire.Owners)
	g := medlargw.Grant{
		Team:   medlargw.TeamName(wire.Name),
		Owners: owners,
		Weight: wire.Weight,
		Limit:  medlargw.Limit(wire.Limit),
	}
	for _, class := range wire.Classes {
		g.Classes = append(g.Classes, medlargw.ClassName(class))
	}
	return g, err
}

func decodeKeys(texts []string) ([][32]byte, error) {
	var keys [][32]byte
	for _, text := range texts {
		key, err := decodeKey(text)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return keys, nil
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
