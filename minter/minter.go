// Package minter makes and opens tickets.
//
// A ticket is the unpadded base64url form of, in this order: incarnation (8
// bytes), expiry (8 bytes, milliseconds on the home's monotonic clock), random
// (16 bytes), length of the home's name (1 byte), the home's name, the team's
// name, and the HMAC-SHA256 of all that with the deployment key (32 bytes).
// Numbers are big-endian. Strict decoding gives each ticket one text only.
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

// Positions within the decoded ticket, in bytes.
const (
	posExpiry = 8
	posRandom = 16
	posLength = 32
	posHome   = 33
)

// purpose keeps the MACs of tickets apart from other uses of the key.
const purpose = "medlargw ticket v1"

// errForged says that a text is no ticket of this deployment.
var errForged = errors.New("no ticket of this deployment")

// Minter makes the tickets of one incarnation of a home, and opens those of
// every home of the deployment. It may be used by several goroutines.
type Minter struct {
	key         []byte
	home        medlargw.HostName
	incarnation medlargw.Incarnation
	began       time.Time // Holds a reading of the monotonic clock.
	term        time.Duration
}

// New returns a minter of tickets that may be used for the term. Began is the
// start of the incarnation.
func New(key string, home medlargw.HostName, inc medlargw.Incarnation, began time.Time, term time.Duration) *Minter {
	if len(home) > math.MaxUint8 {
		panic("host name longer than 255 bytes")
	}
	return &Minter{key: []byte(key), home: home, incarnation: inc, began: began, term: term}
}

// Term returns how long a new ticket may be used.
func (m *Minter) Term() time.Duration { return m.term }

// Mint returns a new ticket.
func (m *Minter) Mint(now time.Time, team medlargw.TeamName) string {
	b := make([]byte, 0, posHome+len(m.home)+len(team)+sha256.Size)
	b = binary.BigEndian.AppendUint64(b, uint64(m.incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64((now.Sub(m.began) + m.term).Milliseconds()))
	b = b[:posLength]
	_, _ = rand.Read(b[posRandom:posLength]) // Never fails, as its documentation says.
	b = append(b, byte(len(m.home)))
	b = append(b, m.home...)
	b = append(b, team...)
	b = append(b, m.mac(b)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

func (m *Minter) mac(b []byte) []byte {
	h := hmac.New(sha256.New, m.key)
	_, _ = h.Write([]byte(purpose))
	_, _ = h.Write(b)
	return h.Sum(nil)
}

// Open returns the ticket that the text holds. It fails when the text was not
// made with the deployment key.
func (m *Minter) Open(text string) (medlargw.Ticket, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < posHome+sha256.Size {
		return medlargw.Ticket{}, errForged
	}
	signed, mac := b[:len(b)-sha256.Size], b[len(b)-sha256.Size:]
	if !hmac.Equal(mac, m.mac(signed)) {
		return medlargw.Ticket{}, errForged
	}
	team := posHome + int(b[posLength])
	if team > len(signed) {
		return medlargw.Ticket{}, errForged
	}
	return medlargw.Ticket{
		Incarnation: medlargw.Incarnation(binary.BigEndian.Uint64(b)),
		Expires:     time.Duration(binary.BigEndian.Uint64(b[posExpiry:])) * time.Millisecond,
		Random:      [16]byte(b[posRandom:posLength]),
		Home:        medlargw.HostName(signed[posHome:team]),
		Team:        medlargw.TeamName(signed[team:]),
	}, nil
}

// Own reports whether this incarnation is the ticket's home.
func (m *Minter) Own(t *medlargw.Ticket) bool {
	return t.Home == m.home && t.Incarnation == m.incarnation
}

// Expiry returns when an own ticket can't be used any more.
func (m *Minter) Expiry(t *medlargw.Ticket) time.Time { return m.began.Add(t.Expires) }
