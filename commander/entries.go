package commander

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accessor"
	"medlargw.example/medlargw/gatherer"
)

// adminVariable names the environment variable that holds the administration
// key.
const adminVariable = "MEDLARGW_ADMIN"

// entryFlags say where the entries are and which key they want.
type entryFlags struct {
	admin []string
	store string
	key   string
	ca    string
}

func (f *entryFlags) register(cmd *cobra.Command, keyFlag string) {
	cmd.Flags().StringSliceVar(&f.admin, "admin", nil, "administration address of an entry; one is enough")
	cmd.Flags().StringVar(&f.key, keyFlag, os.Getenv(adminVariable), "administration key; by default that of "+adminVariable)
	cmd.Flags().Lookup(keyFlag).DefValue = ""
	cmd.Flags().StringVar(&f.store, "store", "", "address of the store, whose host list names the entries")
	cmd.Flags().StringVar(&f.ca, "ca", "", "file with the certificates to trust; reaches the entries by TLS")
}

// gatherer returns who asks the entries.
func (f *entryFlags) gatherer() (*gatherer.Gatherer, error) {
	if f.ca == "" {
		return gatherer.New(f.key, nil), nil
	}
	pem, err := os.ReadFile(f.ca)
	if err != nil {
		return nil, fmt.Errorf("read certificates: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read certificates: none in %s", f.ca)
	}
	config := &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	return gatherer.New(f.key, &http.Transport{TLSClientConfig: config}), nil
}

// addrs returns the given addresses, or those of the platform's list of hosts.
func (f *entryFlags) addrs(ctx context.Context) ([]netip.AddrPort, error) {
	var all []netip.AddrPort
	for _, text := range f.admin {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("parse administration address: %w", err)
		}
		all = append(all, addr)
	}
	if len(all) > 0 || f.store == "" {
		return all, nil
	}
	store, err := netip.ParseAddrPort(f.store)
	if err != nil {
		return nil, fmt.Errorf("parse address of the store: %w", err)
	}
	platform := accessor.New(store)
	defer platform.Close()
	list, err := platform.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	for i := range list.Entries {
		if list.Entries[i].Admin.IsValid() {
			all = append(all, list.Entries[i].Admin)
		}
	}
	return all, nil
}

// open returns who asks the entries and where to begin. The caller closes it.
func (f *entryFlags) open(ctx context.Context) (*gatherer.Gatherer, []netip.AddrPort, error) {
	g, err := f.gatherer()
	if err != nil {
		return nil, nil, err
	}
	addrs, err := f.addrs(ctx)
	if err == nil && len(addrs) == 0 {
		err = errNobody
	}
	if err != nil {
		g.Close()
		return nil, nil, err
	}
	return g, addrs, nil
}

// errNobody says that no entry could be asked.
var errNobody = errors.New("no entry to ask: want --admin ADDR or --store ADDR")

// errSilent says that the output lacks entries.
var errSilent = errors.New("not all entries answered")

// silent returns errSilent if an entry didn't answer.
func silent(answers []medlargw.EntryAnswer) error {
	for i := range answers {
		if answers[i].Err != nil {
			return errSilent
		}
	}
	return nil
}
