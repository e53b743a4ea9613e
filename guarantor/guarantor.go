// Package guarantor keeps the minimum shares of ranks: which rank is owed the
// next of a series of starts that otherwise go to the most urgent rank.
package guarantor

// Guarantor is the account of the shares.
type Guarantor struct {
	maxCredit float64
	shares    map[int]float64 // By rank.
	credit    map[int]float64 // Starts that a rank with a share is owed.
}

// New returns an account without shares. A rank is owed at most maxCredit starts,
// so that one whose tasks were blocked does not take all resources when they are
// unblocked.
func New(maxCredit int) *Guarantor { return &Guarantor{maxCredit: float64(maxCredit)} }

// SetShares replaces the minimum shares, by rank, each above 0 to 1.
func (g *Guarantor) SetShares(shares map[int]float64) {
	credit := make(map[int]float64, len(shares))
	for rank := range shares {
		credit[rank] = g.credit[rank]
	}
	g.shares, g.credit = shares, credit
}

// Owed reports whether the next start is owed to the rank.
func (g *Guarantor) Owed(rank int) bool { return g.credit[rank] >= 1 }

// Charge adds to each rank its share of n starts, which the given rank has taken.
// A rank that was owed them pays them off with its next shares.
func (g *Guarantor) Charge(rank, n int) {
	for r, share := range g.shares {
		credit := g.credit[r]
		if r == rank {
			least := min(credit, 0)
			if g.Owed(r) {
				least = -float64(n)
			}
			credit = max(credit-float64(n), least)
		}
		g.credit[r] = min(credit+share*float64(n), g.maxCredit)
	}
}
