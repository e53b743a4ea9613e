package demonstrator

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/loader"
)

// Bearer tokens of the sample teams.
const (
	deskToken = "desk-token-for-the-demo"
	iceToken  = "ice-token-for-the-demo"
)

// sampleConfig returns a configuration of two teams and two classes.
func sampleConfig() []medlargw.TeamConfig {
	return []medlargw.TeamConfig{
		{
			Team: medlargw.Team{Name: "desk", Weight: 1, Keys: [][32]byte{sha256.Sum256([]byte(deskToken))}},
			Classes: []medlargw.Class{
				{Name: "urgent", Rank: 0, Objective: medlargw.Objective{SuccessRatio: 0.999, ResponseTime: time.Second}},
				{Name: "steady", Rank: 1, Objective: medlargw.Objective{SuccessRatio: 0.99, ResponseTime: 5 * time.Second}},
			},
			Services: []medlargw.Service{{Name: "slip-check", Team: "desk", Class: "urgent"}},
		},
		{
			Team:     medlargw.Team{Name: "ice", Weight: 1, Keys: [][32]byte{sha256.Sum256([]byte(iceToken))}},
			Services: []medlargw.Service{{Name: "crossing", Team: "ice", Class: "steady"}},
		},
	}
}

// sampleJobKinds returns the kinds of jobs of the load: small urgent jobs and
// larger steady ones.
func sampleJobKinds() []medlargw.JobKind {
	return []medlargw.JobKind{
		{
			Service: "slip-check", Class: "urgent", Token: deskToken,
			MeanTasks: 4, MeanRunTime: 60 * time.Millisecond, Deadline: 10 * time.Second,
		},
		{
			Service: "crossing", Class: "steady", Token: iceToken,
			MeanTasks: 8, MeanRunTime: 100 * time.Millisecond, Deadline: 30 * time.Second,
		},
	}
}

// settingsTemplate is the settings file of an entry, with placeholders for its
// host and zone.
const settingsTemplate = `{
	"host": %q,
	"zone": %q,
	"key": "deployment-key-for-the-demo",
	"admin": "administration-key-for-the-demo",
}`

// sampleSettings returns the settings of the zone's nth entry. It listens on free
// ports.
func sampleSettings(zone medlargw.ZoneName, n int) medlargw.Settings {
	var l loader.Loader
	s, err := l.Parse("sample", fmt.Appendf(nil, settingsTemplate, entryName(zone, n), zone))
	if err != nil {
		panic("sample settings: " + err.Error())
	}
	free := netip.MustParseAddrPort("127.0.0.1:0")
	s.Listen = medlargw.ListenSettings{Callers: free, Peers: free, Admin: free}
	return s
}
