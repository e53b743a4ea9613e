package demonstrator

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/loader"
)

// The bearer tokens of the sample's teams.
const (
	deskToken = "desk-token-for-the-demo"
	iceToken  = "ice-token-for-the-demo"
)

// sample returns a configuration of two teams in two classes.
func sample() []medlargw.TeamConfig {
	return []medlargw.TeamConfig{
		{
			Team: medlargw.Team{Name: "desk", Weight: 1, Keys: [][32]byte{sha256.Sum256([]byte(deskToken))}},
			Classes: []medlargw.Class{
				{Name: "urgent", Rank: 0, Objective: medlargw.Objective{Answered: 0.999, Response: time.Second}},
				{Name: "steady", Rank: 1, Objective: medlargw.Objective{Answered: 0.99, Response: 5 * time.Second}},
			},
			Services: []medlargw.Service{{Name: "slip-check", Team: "desk", Class: "urgent"}},
		},
		{
			Team:     medlargw.Team{Name: "ice", Weight: 1, Keys: [][32]byte{sha256.Sum256([]byte(iceToken))}},
			Services: []medlargw.Service{{Name: "crossing", Team: "ice", Class: "steady"}},
		},
	}
}

// kinds returns the load: small urgent jobs and larger steady ones.
func kinds() []medlargw.LoadKind {
	return []medlargw.LoadKind{
		{
			Service: "slip-check", Class: "urgent", Token: deskToken,
			Tasks: 4, Run: 60 * time.Millisecond, Deadline: 10 * time.Second,
		},
		{
			Service: "crossing", Class: "steady", Token: iceToken,
			Tasks: 8, Run: 100 * time.Millisecond, Deadline: 30 * time.Second,
		},
	}
}

// settingsText holds what the entries of the sample have in common.
const settingsText = `{
	"host": %q,
	"zone": %q,
	"key": "deployment-key-for-the-demo",
	"admin": "administration-key-for-the-demo",
}`

// settings returns the settings of one entry, on free ports.
func settings(zone medlargw.ZoneName, n int) medlargw.Settings {
	var l loader.Loader
	s, err := l.Parse("sample", fmt.Appendf(nil, settingsText, entryName(zone, n), zone))
	if err != nil {
		panic("sample settings: " + err.Error())
	}
	free := netip.MustParseAddrPort("127.0.0.1:0")
	s.Listen = medlargw.ListenSettings{Callers: free, Peers: free, Admin: free}
	return s
}
