package holder

import (
	"net/netip"

	"medlargw.example/medlargw"
)

// A fencing token is a rising term in the high bits, the ID of the entry and, in the low
// bits, how often the entry has raised the token of a claim. The ID is the end of the
// entry's address and its port, so that two entries never use the same token, and its
// incarnation, so that an entry that starts again does not use the tokens of before.
const (
	addressBits     = 24
	incarnationBits = 8
	entryIDBits     = addressBits + incarnationBits
	raiseBits       = 8
	termShift       = entryIDBits + raiseBits
)

// maxTermStep bounds the step of the term: one that doubled without end would overflow.
const maxTermStep = 1 << 12

// tokenSource generates fencing tokens.
type tokenSource struct {
	term         uint64
	entryID      uint64
	termStep     uint64 // Added to the term by a rejection; doubles each time, up to maxTermStep.
	rejectedTerm uint64 // Tokens up to this term were generated before the last rejection that raised the term.
}

func newTokenSource(addr netip.AddrPort, incarnation medlargw.Incarnation) tokenSource {
	raw := addr.Addr().As16()
	address := uint64(raw[13])<<16 | uint64(raw[14])<<8 | uint64(raw[15])
	address = (address + uint64(addr.Port())) & (1<<addressBits - 1)
	entryID := address<<incarnationBits | uint64(incarnation)&(1<<incarnationBits-1)
	return tokenSource{term: 1, entryID: entryID, termStep: 1}
}

// next returns a token that is higher than all tokens that this entry has
// generated or observed.
func (s *tokenSource) next() uint64 {
	s.term++
	return s.term<<termShift | s.entryID<<raiseBits
}

// raise returns a higher token than that of a claim of this entry. It is lower than the
// tokens of the entries that have claimed the target since, unless the claim was raised
// too often.
func (s *tokenSource) raise(token uint64) uint64 {
	if (token+1)&(1<<raiseBits-1) == 0 {
		return s.next()
	}
	return token + 1
}

// observe raises the term to that of a token that another entry uses.
func (s *tokenSource) observe(token uint64) { s.term = max(s.term, token>>termShift) }

// rejected raises the term after a target rejected a token. A rejection does
// not tell the target's current token, so the term rises exponentially. It rises once
// for all tokens that were generated before: many targets may be lost at the same time.
func (s *tokenSource) rejected(token uint64) {
	if token>>termShift <= s.rejectedTerm {
		return
	}
	s.rejectedTerm = s.term
	s.term += s.termStep
	s.termStep = min(2*s.termStep, maxTermStep)
}

// accepted resets the step after a target accepted a token.
func (s *tokenSource) accepted() { s.termStep = 1 }
