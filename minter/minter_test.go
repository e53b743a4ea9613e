package minter

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

const (
	testKey      = "a deployment key of this test"
	testLifetime = 2 * time.Minute
)

func TestVerifyMintedTicket(t *testing.T) {
	startedAt := time.Now()
	m := New(testKey, "detroit-0", 7, startedAt, testLifetime)
	now := startedAt.Add(time.Second)
	got, err := m.Verify(m.Mint(now, "desk"))
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	want := medlargw.Ticket{
		Home: "detroit-0", Incarnation: 7, Random: got.Random, Team: "desk", Expires: testLifetime + time.Second,
	}
	if got != want {
		t.Errorf("ticket: got %+v, want %+v", got, want)
	}
	if !m.IsHome(&got) {
		t.Error("is home: got false, want true")
	}
	if got, want := m.Expiry(&got), now.Add(testLifetime); !got.Equal(want) {
		t.Errorf("expiry: got %v, want %v", got, want)
	}
}

func TestTicketsAreUnique(t *testing.T) {
	m := New(testKey, "detroit-0", 7, time.Now(), testLifetime)
	if a, b := m.Mint(time.Now(), "desk"), m.Mint(time.Now(), "desk"); a == b {
		t.Errorf("two tickets: got the same %q twice", a)
	}
}

func TestVerifyRejectsAlteredTickets(t *testing.T) {
	m := New(testKey, "detroit-0", 7, time.Now(), testLifetime)
	text := m.Mint(time.Now(), "desk")
	for i := range text {
		altered := []byte(text)
		altered[i] ^= 1
		if _, err := m.Verify(string(altered)); err == nil {
			t.Errorf("altered at %d: got a ticket, want an error", i)
		}
	}
	for _, forged := range []string{"", "x", text[:len(text)-4], text + "AAAA", " " + text} {
		if _, err := m.Verify(forged); err == nil {
			t.Errorf("forged %q: got a ticket, want an error", forged)
		}
	}
	other := New("another key, of another deployment", "detroit-0", 7, time.Now(), testLifetime)
	if _, err := m.Verify(other.Mint(time.Now(), "desk")); err == nil {
		t.Error("other key: got a ticket, want an error")
	}
}
