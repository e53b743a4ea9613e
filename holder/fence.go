package holder

import "net/netip"

// addressBits is the number of low bits of a fencing token that hold the end of
// the entry's address and its port, so that two entries never use the same one.
const addressBits = 24

// fencer makes fencing tokens: a rising term, and the entry's own number.
type fencer struct {
	term   uint64
	number uint64
	step   uint64 // Doubles while claims are refused.
}

func newFencer(addr netip.AddrPort) fencer {
	raw := addr.Addr().As16()
	number := uint64(raw[13])<<16 | uint64(raw[14])<<8 | uint64(raw[15])
	number = (number + uint64(addr.Port())) & (1<<addressBits - 1)
	return fencer{term: 1, number: number, step: 1}
}

// next returns a token that is higher than all that this entry has seen.
func (f *fencer) next() uint64 {
	f.term++
	return f.term<<addressBits | f.number
}

// saw takes note of a token that was used by another entry.
func (f *fencer) saw(token uint64) { f.term = max(f.term, token>>addressBits) }

// refused takes note that a token was too low by an unknown amount.
func (f *fencer) refused() {
	f.term += f.step
	f.step *= 2
}

// accepted takes note that a token was high enough.
func (f *fencer) accepted() { f.step = 1 }
