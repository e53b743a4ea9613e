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

// Bounds and defaults of the settings, as docs/operators/settings.md lists them.
const (
	mebibyte     = 1 << 20
	maxTasks     = 1000
	defaultTasks = 290
	maxTime      = 24 * time.Hour
	minKey       = 16 // Bytes.
)

// Loader reads settings and gathers the faults.
type Loader struct {
	findings medlargw.Findings
}

// Load returns the settings of the file. Its error is *medlargw.Findings when
// the file can be read but has faults.
func (l *Loader) Load(path string) (medlargw.Settings, error) {
	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return medlargw.Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return l.Parse(path, text)
}

// Parse returns the settings in the text; the path is for the findings.
func (l *Loader) Parse(path string, text []byte) (medlargw.Settings, error) {
	p := parser.Parse(path, text, &l.findings)
	s := medlargw.Settings{
		Host:   medlargw.HostName(p.Need("host")),
		Zone:   medlargw.ZoneName(p.Need("zone")),
		Listen: listen(p.Object("listen")),
		Store:  addr(p, "store", "127.0.0.1:7800"),
		Peers:  l.peers(p),
		Key:    secret(p, "key"),
		Admin:  secret(p, "admin"),
		Favour: favour(p),
		Intake: intake(p.Object("intake")),
		Task:   task(p.Object("task")),
		Group:  group(p.Object("group")),
		Lease:  lease(p.Object("lease")),
		TLS:    tls(p.Object("tls")),
	}
	if shortest := s.Group.Notice + s.Intake.Deadline; s.Group.Drain < shortest {
		p.Fault("group", "got drain %s, want at least notice and intake.deadline, %s", s.Group.Drain, shortest)
	}
	p.Close()
	return s, l.findings.Err()
}

// secret returns a key that is long enough not to be guessed.
func secret(p *parser.Parser, name string) string {
	key := p.Need(name)
	if key != "" && len(key) < minKey {
		p.Fault(name, "got %d bytes, want at least %d", len(key), minKey)
	}
	return key
}

func (l *Loader) peers(p *parser.Parser) []netip.AddrPort {
	var all []netip.AddrPort
	for _, text := range p.Strings("peers") {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			p.Fault("peers", "got %q, want an IP address and a port", text)
			continue
		}
		all = append(all, addr)
	}
	return all
}

func favour(p *parser.Parser) medlargw.Favour {
	f := medlargw.Favour(p.String("favour", string(medlargw.FavourLatency)))
	if f != medlargw.FavourLatency && f != medlargw.FavourMessages {
		p.Fault("favour", "got %q, want \"latency\" or \"messages\"", string(f))
	}
	return f
}

func listen(p *parser.Parser) medlargw.ListenSettings {
	defer p.Close()
	return medlargw.ListenSettings{
		Callers: addr(p, "callers", "127.0.0.1:8080"),
		Peers:   addr(p, "peers", "127.0.0.1:8081"),
		Admin:   addr(p, "admin", "127.0.0.1:8082"),
	}
}

func addr(p *parser.Parser, name, byDefault string) netip.AddrPort {
	if a := p.AddrPort(name); a.IsValid() {
		return a
	}
	return netip.MustParseAddrPort(byDefault)
}

func intake(p *parser.Parser) medlargw.IntakeSettings {
	defer p.Close()
	return medlargw.IntakeSettings{
		Tasks:    p.Int("tasks", defaultTasks, 1, maxTasks),
		Body:     int64(p.Int("body", 16*mebibyte, 1<<10, 256*mebibyte)),
		Waiting:  p.Int("waiting", 50_000, 1, 1_000_000),
		Team:     p.Int("team", 10_000, 1, 1_000_000),
		Bytes:    int64(p.Int("bytes", 256*mebibyte, mebibyte, 16<<30)),
		Read:     p.Duration("read", 10*time.Second, 100*time.Millisecond, time.Minute),
		Deadline: p.Duration("deadline", time.Minute, time.Second, maxTime),
		Kept:     p.Duration("kept", time.Minute, 0, maxTime),
		Ticket:   p.Duration("ticket", 2*time.Minute, time.Second, maxTime),
	}
}

func task(p *parser.Parser) medlargw.TaskSettings {
	defer p.Close()
	return medlargw.TaskSettings{
		Lease:   p.Duration("lease", 30*time.Second, 100*time.Millisecond, maxTime),
		Answer:  int64(p.Int("answer", mebibyte, 1<<10, 64*mebibyte)),
		Tries:   p.Int("tries", 5, 1, 100),
		Connect: p.Duration("connect", time.Second, 10*time.Millisecond, time.Minute),
		Conns:   p.Int("conns", 64, 1, 1024),
	}
}

func group(p *parser.Parser) medlargw.GroupSettings {
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
	if least := g.Term + 2*g.Margin; g.Suspect < least {
		p.Fault("suspect", "got %s, want at least the term and two margins, %s", g.Suspect, least)
	}
	return g
}

func lease(p *parser.Parser) medlargw.LeaseSettings {
	defer p.Close()
	d := medlargw.DefaultLease()
	const least, most = 10 * time.Millisecond, time.Minute
	l := medlargw.LeaseSettings{
		Lease:    p.Duration("lease", d.Lease, least, most),
		Longest:  p.Duration("longest", d.Longest, least, most),
		Drift:    p.Number("drift", d.Drift, 0, 0.5),
		Stop:     p.Duration("stop", d.Stop, 0, most),
		Poll:     p.Duration("poll", d.Poll, least, most),
		Order:    p.Duration("order", d.Order, least, most),
		Call:     p.Duration("call", d.Call, least, most),
		Keep:     p.Duration("keep", d.Keep, least, most),
		Silence:  p.Duration("silence", d.Silence, least, most),
		Unlisted: p.Duration("unlisted", d.Unlisted, 0, most),
		Refused:  p.Duration("refused", d.Refused, least, most),
	}
	if l.Lease > l.Longest {
		p.Fault("lease", "got %s, want at most the longest, %s", l.Lease, l.Longest)
	}
	if l.Silence < 2*l.Keep {
		p.Fault("silence", "got %s, want at least two keeps, %s", l.Silence, 2*l.Keep)
	}
	return l
}

func tls(p *parser.Parser) medlargw.TLSSettings {
	defer p.Close()
	t := medlargw.TLSSettings{Cert: p.String("cert", ""), Key: p.String("key", "")}
	if (t.Cert == "") != (t.Key == "") {
		p.Fault("cert", "got one of cert and key, want both")
	}
	return t
}
