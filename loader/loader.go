// Package loader reads the settings file of a process.
package loader

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/parser"
)

// Bounds and defaults of the settings, which docs/operators/settings.md lists.
const (
	mebibyte           = 1 << 20
	maxTasksPerJob     = 1000
	defaultTasksPerJob = 290
	maxDuration        = 24 * time.Hour
	minKeyBytes        = 16
	minBodyBytes       = 1 << 10
)

// Loader reads settings and collects the errors in them.
type Loader struct {
	findings medlargw.Findings
}

// Load reads the settings file. The error is *medlargw.Findings if the file can
// be read but contains errors.
func (l *Loader) Load(path string) (medlargw.Settings, error) {
	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return medlargw.Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return l.Parse(path, text)
}

// Parse returns the settings in the text. The path is used in the findings.
func (l *Loader) Parse(path string, text []byte) (medlargw.Settings, error) {
	p := parser.Parse(path, text, &l.findings)
	capacity := parseCapacity(p.Object("capacity"))
	s := medlargw.Settings{
		Host:     medlargw.HostName(p.Required("host")),
		Zone:     medlargw.ZoneName(p.Required("zone")),
		Listen:   parseListen(p.Object("listen")),
		Store:    parseAddr(p, "store", "127.0.0.1:7800"),
		Peers:    l.parsePeers(p),
		Key:      parseSecret(p, "key"),
		Admin:    parseSecret(p, "admin"),
		Favour:   parseFavour(p),
		Intake:   parseIntake(p.Object("intake"), int(capacity.Memory)*mebibyte),
		Task:     parseTask(p.Object("task")),
		Group:    parseGroup(p.Object("group")),
		Lease:    parseLease(p.Object("lease")),
		Capacity: capacity,
		TLS:      parseTLS(p.Object("tls")),
	}
	if minDrain := s.Group.Notice + s.Intake.Deadline; s.Group.Drain < minDrain {
		p.Report("group", "got drain %s, want at least notice and intake.deadline, %s", s.Group.Drain, minDrain)
	}
	p.Close()
	return s, l.findings.Err()
}

// parseSecret returns a key, and reports it if it is missing or too short to
// withstand guessing.
func parseSecret(p *parser.Parser, name string) string {
	key := p.Required(name)
	if key != "" && len(key) < minKeyBytes {
		p.Report(name, "got %d bytes, want at least %d", len(key), minKeyBytes)
	}
	return key
}

func (l *Loader) parsePeers(p *parser.Parser) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, text := range p.Strings("peers") {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			p.Report("peers", "got %q, want an IP address and a port", text)
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

func parseFavour(p *parser.Parser) medlargw.Favour {
	f := medlargw.Favour(p.String("favour", string(medlargw.FavourLatency)))
	if f != medlargw.FavourLatency && f != medlargw.FavourMessages {
		p.Report("favour", "got %q, want \"latency\" or \"messages\"", string(f))
	}
	return f
}

func parseListen(p *parser.Parser) medlargw.ListenSettings {
	defer p.Close()
	return medlargw.ListenSettings{
		Callers: parseAddr(p, "callers", "127.0.0.1:8080"),
		Peers:   parseAddr(p, "peers", "127.0.0.1:8081"),
		Admin:   parseAddr(p, "admin", "127.0.0.1:8082"),
	}
}

// parseAddr returns an address, or the default if the member is absent.
func parseAddr(p *parser.Parser, name, defaultAddr string) netip.AddrPort {
	if addr := p.AddrPort(name); addr.IsValid() {
		return addr
	}
	return netip.MustParseAddrPort(defaultAddr)
}

// parseIntake returns the limits of admission. Those of bytes depend on the memory of the
// process, in bytes, unless that is zero: to decode the largest body takes several times as
// much.
func parseIntake(p *parser.Parser, memory int) medlargw.IntakeSettings {
	defer p.Close()
	maxBody, maxBytes := 256*mebibyte, 16<<10*mebibyte
	if memory > 0 {
		maxBody, maxBytes = min(maxBody, max(memory/8, minBodyBytes)), min(maxBytes, max(memory/4, mebibyte))
	}
	return medlargw.IntakeSettings{
		Tasks:    p.Int("tasks", defaultTasksPerJob, 1, maxTasksPerJob),
		Body:     int64(p.Int("body", min(16*mebibyte, maxBody), minBodyBytes, maxBody)),
		Waiting:  p.Int("waiting", 50_000, 1, 1_000_000),
		Team:     p.Int("team", 10_000, 1, 1_000_000),
		Bytes:    int64(p.Int("bytes", min(256*mebibyte, maxBytes), mebibyte, maxBytes)),
		Read:     p.Duration("read", 10*time.Second, 100*time.Millisecond, time.Minute),
		Deadline: p.Duration("deadline", time.Minute, time.Second, maxDuration),
		Kept:     p.Duration("kept", time.Minute, 0, maxDuration),
		Ticket:   p.Duration("ticket", 2*time.Minute, time.Second, maxDuration),
	}
}

func parseTask(p *parser.Parser) medlargw.TaskSettings {
	defer p.Close()
	return medlargw.TaskSettings{
		Lease:   p.Duration("lease", 30*time.Second, 100*time.Millisecond, maxDuration),
		Answer:  int64(p.Int("answer", mebibyte, 1<<10, 64*mebibyte)),
		Tries:   p.Int("tries", 5, 1, 100),
		Connect: p.Duration("connect", time.Second, 10*time.Millisecond, time.Minute),
		Conns:   p.Int("conns", 64, 1, 1024),
	}
}

func parseGroup(p *parser.Parser) medlargw.GroupSettings {
	defer p.Close()
	g := medlargw.GroupSettings{
		Beat:    p.Duration("beat", time.Second, 10*time.Millisecond, time.Minute),
		Suspect: p.Duration("suspect", 3*time.Second, 50*time.Millisecond, time.Hour),
		Gone:    p.Duration("gone", 10*time.Second, 100*time.Millisecond, time.Hour),
		Read:    p.Duration("read", time.Second, 50*time.Millisecond, time.Minute),
		Term:    p.Duration("term", 2*time.Second, 50*time.Millisecond, time.Minute),
		Margin:  p.Duration("margin", 200*time.Millisecond, 5*time.Millisecond, time.Minute),
		Notice:  p.Duration("notice", 5*time.Second, 0, time.Hour),
		Drain:   p.Duration("drain", 75*time.Second, time.Second, time.Hour),
		HTTP:    p.Int("http", 2, 1, 2),
	}
	if minSuspect := g.Term + 2*g.Margin; g.Suspect < minSuspect {
		p.Report("suspect", "got %s, want at least the term and two margins, %s", g.Suspect, minSuspect)
	}
	return g
}

func parseLease(p *parser.Parser) medlargw.LeaseSettings {
	defer p.Close()
	defaults := medlargw.DefaultLeaseSettings()
	const minimum, maximum = 10 * time.Millisecond, time.Minute
	l := medlargw.LeaseSettings{
		Lease:    p.Duration("lease", defaults.Lease, minimum, maximum),
		Longest:  p.Duration("longest", defaults.Longest, minimum, maximum),
		Drift:    p.Number("drift", defaults.Drift, 0, 0.5),
		Stop:     p.Duration("stop", defaults.Stop, 0, maximum),
		Poll:     p.Duration("poll", defaults.Poll, minimum, maximum),
		Order:    p.Duration("order", defaults.Order, minimum, maximum),
		Call:     p.Duration("call", defaults.Call, minimum, maximum),
		Keep:     p.Duration("keep", defaults.Keep, minimum, maximum),
		Silence:  p.Duration("silence", defaults.Silence, minimum, maximum),
		Unlisted: p.Duration("unlisted", defaults.Unlisted, 0, maximum),
		Link:     int64(p.Number("link", 0, 0, medlargw.MaxLinkMbps) * medlargw.BytesPerMegabit),
		Lag:      p.Duration("lag", defaults.Lag, 0, maximum),
		Quiet:    p.Duration("quiet", defaults.Quiet, 0, maximum),
		Refused:  p.Duration("refused", defaults.Refused, minimum, maximum),
		Reported: p.Duration("reported", defaults.Reported, 0, maximum),
		Tasks:    p.Int("tasks", 0, 0, 1_000_000_000),
		Resubmit: p.Duration("resubmit", defaults.Resubmit, minimum, maximum),
	}
	if l.Lease > l.Longest {
		p.Report("lease", "got %s, want at most the longest, %s", l.Lease, l.Longest)
	}
	if l.Silence < 2*l.Keep {
		p.Report("silence", "got %s, want at least two keeps, %s", l.Silence, 2*l.Keep)
	}
	if l.RunOn() < l.Lease {
		p.Report("resubmit", "got %s, which leaves %s for a lease, want at least %s", l.Resubmit, l.RunOn(), l.Lease)
	}
	return l
}

func parseCapacity(p *parser.Parser) medlargw.CapacitySettings {
	defer p.Close()
	c := medlargw.CapacitySettings{
		Shares: medlargw.Shares(p.String("shares", string(medlargw.SharesByCapacity))),
		Cores:  p.Number("cores", 0, 0, medlargw.MaxCores),
		Memory: int64(p.Int("memory", 0, 0, medlargw.MaxMemory)),
		Files:  p.Int("files", 0, 0, medlargw.MaxFiles),
		Relay:  p.Duration("relay", 0, 0, time.Minute),
	}
	if c.Shares != medlargw.SharesByCapacity && c.Shares != medlargw.SharesEqual {
		p.Report("shares", "got %q, want \"capacity\" or \"equal\"", string(c.Shares))
	}
	if c.Memory > 0 && c.Cores == 0 {
		p.Report("memory", "got %d without cores, want both or only cores", c.Memory)
	}
	return c
}

func parseTLS(p *parser.Parser) medlargw.TLSSettings {
	defer p.Close()
	t := medlargw.TLSSettings{Cert: p.String("cert", ""), Key: p.String("key", "")}
	if (t.Cert == "") != (t.Key == "") {
		p.Report("cert", "got one of cert and key, want both")
	}
	return t
}
