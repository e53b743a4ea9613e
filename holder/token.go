package holder

import "net/netip"

// entryIDBits is the number of low bits of a fencing token that identify the
// entry by the end of its address and its port, so that two entries never use
// the same token.
const entryIDBits = 24

// tokenSource generates fencing tokens. A token is a rising term in the high
// bits and the entry's ID in the low bits.
type tokenSource struct {
	term     uint64
	entryID  uint64
	termStep uint64 // Added to the term by a rejection; doubles each time.
}

func newTokenSource(addr netip.AddrPort) tokenSource {
	raw := addr.Addr().As16()
	entryID := uint64(raw[13])<<16 | uint64(raw[14])<<8 | uint64(raw[15])
	entryID = (entryID + uint64(addr.Port())) & (1<<entryIDBits - 1)
	return tokenSource{term: 1, entryID: entryID, termStep: 1}
}

// next returns a token that is higher than all tokens that this entry has
// generated or observed.
func (s *tokenSource) next() uint64 {
	s.term++
	return s.term<<entryIDBits | s.entryID
}

// observe raises the term to that of a token that another entry uses.
func (s *tokenSource) observe(token uint64) { s.term = max(s.term, token>>entryIDBits) }

// rejected raises the term after a target rejected a token. A rejection does
// not tell the target's current token, so the term rises exponentially.
func (s *tokenSource) rejected() {
	s.term += s.termStep
	s.termStep *= 2
}

// accepted resets the step after a target accepted a token.
func (s *tokenSource) accepted() { s.termStep = 1 }
