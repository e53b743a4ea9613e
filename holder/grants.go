package holder

import (
	"errors"

	"medlargw.example/medlargw"
)

// grants counts the orders with a lease to a target that may still be carried out. One
// that gets no answer may be carried out late, until the target has seen a higher token.
type grants struct {
	current    int    // Sent with the current token and not answered.
	unanswered int    // Those of current that get no answer any more.
	former     int    // Sent with former tokens, while the target may not have seen the current one.
	seen       uint64 // The highest token with which the target has carried an order out.
}

// open returns the number of orders that may still be carried out.
func (g *grants) open() int { return g.current + g.former }

// raise records that the next orders have a higher token.
func (g *grants) raise() { *g = grants{former: g.open(), seen: g.seen} }

// accept records that the target has carried out an order. It does nothing for orders
// with lower tokens any more.
func (g *grants) accept(token uint64) {
	if token > g.seen {
		g.seen = token
		g.former = 0
	}
}

// settle records the result of an order with a lease, given its token and the current
// one.
func (g *grants) settle(token, current uint64, err error) {
	late := err != nil && !errors.Is(err, medlargw.ErrNotSent) && !errors.Is(err, medlargw.ErrConnectionRefused)
	switch {
	case token == current && late:
		g.unanswered++
	case token == current:
		g.current--
	case !late && token >= g.seen:
		g.former--
	}
}
