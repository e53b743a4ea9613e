package medlargw

import (
	"fmt"
	"strings"
	"time"
)

// DeploymentTeam is the team of the operators. It alone declares classes and
// the teams of the deployment, once it has been published.
const DeploymentTeam TeamName = "deployment"

// Grant is what the operators allow one team.
type Grant struct {
	Team    TeamName
	Owners  [][32]byte  // SHA-256 of each key that may publish the team.
	Weight  int         // The team's weight may not be above it.
	Limit   Limit       // The team's limit may not be above it.
	Classes []ClassName // Classes that its services may use; empty is all.
}

// RetiredVersion is a team's value that the head names no more. It is never
// named again and is deleted when no entry can still be reading it.
type RetiredVersion struct {
	Version TeamVersion
	At      time.Time
}

// Change is one difference between two configurations.
type Change struct {
	Team TeamName
	Item string // What differs, such as "service quick".
	From string // Empty when it is added.
	To   string // Empty when it is removed.
}

// Removed reports whether the change takes something away.
func (c *Change) Removed() bool { return c.To == "" }

// String returns one line for people.
func (c *Change) String() string {
	switch {
	case c.From == "":
		return fmt.Sprintf("+ %s: %s: %s", c.Team, c.Item, c.To)
	case c.To == "":
		return fmt.Sprintf("- %s: %s: %s", c.Team, c.Item, c.From)
	}
	return fmt.Sprintf("~ %s: %s: %s -> %s", c.Team, c.Item, c.From, c.To)
}

// Plan is what a publish would change.
type Plan struct {
	Generation uint64 // In force now.
	Base       string // Digest of what is in force of the teams to publish.
	Claimed    bool   // Whether the operators' team is published.
	Changes    []Change
}

// PublishError says why nothing was put into force. Publishing again without
// a change of the files or the flags gives the same answer.
type PublishError struct {
	Message string
	Changes []Change // What the message is about.
}

var _ error = (*PublishError)(nil)

// Error returns the message and one line per change.
func (e *PublishError) Error() string {
	lines := []string{e.Message}
	for i := range e.Changes {
		lines = append(lines, "  "+e.Changes[i].String())
	}
	return strings.Join(lines, "\n")
}
