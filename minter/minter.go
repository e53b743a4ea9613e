// Package minter creates and verifies tickets.
//
// A ticket is the unpadded base64url encoding of these fields, in this order:
//
//   - incarnation (8 bytes)
//   - expiry (8 bytes, milliseconds on the home's monotonic clock)
//   - random (16 bytes)
//   - length of the home's name (1 byte)
//   - the home's name
//   - the team's name
//   - HMAC-SHA256 of all fields above with the deployment key (32 bytes)
//
// Numbers are big-endian. Decoding is strict, so that each ticket has exactly
// one valid text.
package minter

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"math"
	"time"

	"medlargw.example/medlargw"
)

// Offsets within the decoded ticket, in bytes.
const (
	offsetExpiry     = 8
	offsetRandom     = 16
	offsetHomeLength = 32
	offsetHome       = 33
)

// macDomain is the domain separator of ticket MACs: it separates them from
// other uses of the deployment key.
const macDomain = "medlargw ticket v1"

// errInvalidTicket is the error for a text that is malformed or was not made
// with the deployment key.
var errInvalidTicket = errors.New("not a ticket of this deployment")

// Minter creates the tickets of one incarnation of a home, and verifies those
// of every home of the deployment. It is safe for concurrent use.
type Minter struct {
	key         []byte
	home        medlargw.HostName
	incarnation medlargw.Incarnation
	startedAt   time.Time // Has a monotonic clock reading.
	lifetime    time.Duration
}

// New returns a minter whose tickets have the given lifetime. The incarnation
// started at startedAt, which must have a monotonic clock reading.
func New(key string, home medlargw.HostName, inc medlargw.Incarnation, startedAt time.Time, lifetime time.Duration) *Minter {
	if len(home) > math.MaxUint8 {
		panic("host name longer than 255 bytes")
	}
	return &Minter{key: []byte(key), home: home, incarnation: inc, startedAt: startedAt, lifetime: lifetime}
}

// TicketLifetime returns the lifetime of a new ticket.
func (m *Minter) TicketLifetime() time.Duration { return m.lifetime }

// Mint returns a new ticket for the team.
func (m *Minter) Mint(now time.Time, team medlargw.TeamName) string {
	b := make([]byte, 0, offsetHome+len(m.home)+len(team)+sha256.Size)
	b = binary.BigEndian.AppendUint64(b, uint64(m.incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64((now.Sub(m.startedAt) + m.lifetime).Milliseconds()))
	b = b[:offsetHomeLength]
	_, _ = rand.Read(b[offsetRandom:offsetHomeLength]) // crypto/rand documents that Read never fails.
	b = append(b, byte(len(m.home)))
	b = append(b, m.home...)
	b = append(b, team...)
	b = append(b, m.mac(b)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

func (m *Minter) mac(b []byte) []byte {
	h := hmac.New(sha256.New, m.key)
	_, _ = h.Write([]byte(macDomain))
	_, _ = h.Write(b)
	return h.Sum(nil)
}

// Verify decodes a ticket. It returns an error if the text is malformed or was
// not made with the deployment key. It does not check the expiry.
func (m *Minter) Verify(text string) (medlargw.Ticket, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < offsetHome+sha256.Size {
		return medlargw.Ticket{}, errInvalidTicket
	}
	signed, mac := b[:len(b)-sha256.Size], b[len(b)-sha256.Size:]
	if !hmac.Equal(mac, m.mac(signed)) {
		return medlargw.Ticket{}, errInvalidTicket
	}
	team := offsetHome + int(b[offsetHomeLength])
	if team > len(signed) {
		return medlargw.Ticket{}, errInvalidTicket
	}
	return medlargw.Ticket{
		Incarnation: medlargw.Incarnation(binary.BigEndian.Uint64(b)),
		Expires:     time.Duration(binary.BigEndian.Uint64(b[offsetExpiry:])) * time.Millisecond,
		Random:      [16]byte(b[offsetRandom:offsetHomeLength]),
		Home:        medlargw.HostName(signed[offsetHome:team]),
		Team:        medlargw.TeamName(signed[team:]),
	}, nil
}

// IsHome reports whether this incarnation is the home of the ticket.
func (m *Minter) IsHome(t *medlargw.Ticket) bool {
	return t.Home == m.home && t.Incarnation == m.incarnation
}

// Expiry returns the time at which a ticket of this incarnation expires.
func (m *Minter) Expiry(t *medlargw.Ticket) time.Time { return m.startedAt.Add(t.Expires) }
