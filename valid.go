package medlargw

import (
	"errors"
	"math"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Bounds of what a target states of itself. No machine has as much, and the sums over all
// targets, and of the work that they do, don't wrap below them. The memory is at most
// MaxMemory.
const (
	MaxTargetCores        = 1 << 16
	MaxTargetAccelerators = 1 << 16
	MaxTargetSlots        = 1 << 20
	MaxTimeLeft           = 365 * 24 * time.Hour // Until a target is warm, or has left.
	maxNameBytes          = 200
)

// lastTime is the last time that can be counted in nanoseconds since 1970.
var lastTime = time.Unix(0, math.MaxInt64)

// Duration returns a time of that many nanoseconds, at most MaxTimeLeft either way. What a
// machine makes of a number that is too large for a time.Duration depends on its kind.
func Duration(ns float64) time.Duration {
	if math.IsNaN(ns) {
		return 0
	}
	return time.Duration(min(max(ns, -float64(MaxTimeLeft)), float64(MaxTimeLeft)))
}

// Milliseconds returns a time of that many milliseconds, bounded as that of Duration.
func Milliseconds(ms float64) time.Duration { return Duration(ms * float64(time.Millisecond)) }

// IsPossible reports whether a machine can have the resources.
func (r Resources) IsPossible() bool {
	return r.Cores >= 0 && r.Cores <= 1000*MaxTargetCores && r.Memory >= 0 && r.Memory <= MaxMemory &&
		r.Accelerators >= 0 && r.Accelerators <= MaxTargetAccelerators
}

// Validate returns an error for a target that can't be used, whoever has described it.
func (t *Target) Validate() error {
	switch {
	case t.Name == "" || !IsName(string(t.Name)):
		return errors.New("name is missing, too long or not readable")
	case !IsName(string(t.Zone)):
		return errors.New("zone is too long or not readable")
	case !IsName(string(t.Pool)):
		return errors.New("pool is too long or not readable")
	case !IsHostAddr(t.Addr):
		return errors.New("address names no port of a host")
	case !t.Resources.IsPossible() || t.Memory < 0:
		return errors.New("resources are more than a machine has, or below zero")
	case t.Slots < 0 || t.Slots > MaxTargetSlots:
		return errors.New("slots are more than a machine has, or below zero")
	case !t.IncarnationStart.IsZero() && (t.IncarnationStart.Unix() < 0 || t.IncarnationStart.After(lastTime)):
		return errors.New("start of the incarnation is out of range")
	}
	return nil
}

// IsName reports whether a text can be the name of a target, a zone or a pool, or is
// empty: not longer than the key of a record, and without control characters.
func IsName(s string) bool {
	return len(s) <= maxNameBytes && utf8.ValidString(s) &&
		!strings.ContainsFunc(s, func(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) })
}

// IsHostAddr reports whether an address is that of one host for all others, and has a
// port. An address with a zone means another host at each one.
func IsHostAddr(a netip.AddrPort) bool {
	addr := a.Addr().Unmap()
	return a.IsValid() && a.Port() != 0 && !addr.IsUnspecified() && !addr.IsMulticast() && addr.Zone() == "" &&
		addr != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}
