package medlargw

import (
	"fmt"
	"strings"
	"time"
)

// DeploymentTeam is the operators' team. Once it has been published, it alone
// declares classes and the teams of the deployment.
const DeploymentTeam TeamName = "deployment"

// Grant is what the operators allow one team to declare.
type Grant struct {
	Team    TeamName
	Owners  [][32]byte  // SHA-256 of each key that may publish the team.
	Weight  int         // Highest weight of the team.
	Limit   Limit       // Highest limit of the team.
	Classes []ClassName // Classes that its services may use; empty is all.
}

// RetiredVersion is a team's version that the head does not refer to any more.
// No head refers to it again, and it is deleted when no entry can still be
// reading it.
type RetiredVersion struct {
	Version   TeamVersion
	RetiredAt time.Time // When it was retired.
}

// Change is one difference between two configurations.
type Change struct {
	Team TeamName
	Item string // What differs, such as "service quick".
	From string // Old value; empty if the item is added.
	To   string // New value; empty if the item is removed.
}

// Removed reports whether the change removes the item.
func (c *Change) Removed() bool { return c.To == "" }

// String returns the change as one line of a diff.
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
	Generation          uint64 // Of the configuration in use.
	BaseDigest          string // Digest of the versions in use of the teams to publish.
	DeploymentPublished bool   // Whether the operators' team has been published.
	Changes             []Change
}

// PublishError is the error of a publish that was rejected and has changed
// nothing. Trying again fails in the same way unless the files or the flags
// change.
type PublishError struct {
	Message string
	Changes []Change // Changes that the message refers to.
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
