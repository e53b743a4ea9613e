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
	"time"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accessor"
	"medlargw.example/medlargw/gatherer"
)

// adminKeyVariable names the environment variable that holds the administration
// key.
const adminKeyVariable = "MEDLARGW_ADMIN"

// readTimeout bounds a read from the store.
const readTimeout = 5 * time.Second

// entryFlags are the flags with the addresses and the key of the entries.
type entryFlags struct {
	addresses []string
	store     string
	adminKey  string
	ca        string
}

func (f *entryFlags) register(cmd *cobra.Command, keyFlag string) {
	cmd.Flags().StringSliceVar(&f.addresses, "admin", nil, "administration address of an entry; one is enough")
	cmd.Flags().StringVar(&f.adminKey, keyFlag, os.Getenv(adminKeyVariable), "administration key; by default that of "+adminKeyVariable)
	cmd.Flags().Lookup(keyFlag).DefValue = ""
	cmd.Flags().StringVar(&f.store, "store", "", "address of the store, whose host list names the entries")
	cmd.Flags().StringVar(&f.ca, "ca", "", "file with the certificates to trust; reaches the entries by TLS")
}

// gatherer returns a client of the entries.
func (f *entryFlags) gatherer() (*gatherer.Gatherer, error) {
	if f.ca == "" {
		return gatherer.New(f.adminKey, nil), nil
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
	return gatherer.New(f.adminKey, &http.Transport{TLSClientConfig: config}), nil
}

// addrs returns the addresses of --admin, or without these the addresses in the
// store's host list.
func (f *entryFlags) addrs(ctx context.Context) ([]netip.AddrPort, error) {
	var all []netip.AddrPort
	for _, text := range f.addresses {
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
	platform := accessor.New(store, readTimeout)
	defer platform.Close()
	list, err := platform.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	for i := range list.Entries {
		if list.Entries[i].AdminAddr.IsValid() {
			all = append(all, list.Entries[i].AdminAddr)
		}
	}
	return all, nil
}

// open returns a client of the entries and the addresses to contact first. The
// caller must close the client.
func (f *entryFlags) open(ctx context.Context) (*gatherer.Gatherer, []netip.AddrPort, error) {
	g, err := f.gatherer()
	if err != nil {
		return nil, nil, err
	}
	addrs, err := f.addrs(ctx)
	if err == nil && len(addrs) == 0 {
		err = errNoEntries
	}
	if err != nil {
		g.Close()
		return nil, nil, err
	}
	return g, addrs, nil
}

// errNoEntries reports that no address of an entry is known.
var errNoEntries = errors.New("no entry to ask: want --admin ADDR or --store ADDR")

// errIncomplete reports that the output lacks entries.
var errIncomplete = errors.New("not all entries answered")

// checkAnswered returns errIncomplete if an entry did not answer.
func checkAnswered(responses []medlargw.EntryResponse) error {
	for i := range responses {
		if responses[i].Err != nil {
			return errIncomplete
		}
	}
	return nil
}
