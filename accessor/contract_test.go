package accessor_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accessor"
	"medlargw.example/medlargw/storer"
)

// implementation is an implementation of the store and of the host list.
type implementation struct {
	name  string
	store medlargw.Store
	hosts medlargw.HostLister
	list  func(medlargw.HostList)
}

// implementations returns the implementations that must fulfil the contract:
// the stand-in itself, and the same one through the HTTP client.
func implementations(t *testing.T) []implementation {
	t.Helper()
	direct := storer.New()
	served := storer.New()
	server := httptest.NewServer(served.Handler())
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	remote := accessor.New(addr, 0)
	t.Cleanup(remote.Close)
	return []implementation{
		{name: "in memory", store: direct, hosts: direct, list: direct.SetHosts},
		{name: "over HTTP", store: remote, hosts: remote, list: served.SetHosts},
	}
}

func TestStoreContract(t *testing.T) {
	for _, p := range implementations(t) {
		t.Run(p.name, func(t *testing.T) {
			ctx := t.Context()
			if _, err := p.store.Get(ctx, "a/b"); !errors.Is(err, medlargw.ErrNotFound) {
				t.Errorf("get of an absent key: got %v, want %v", err, medlargw.ErrNotFound)
			}
			first, err := p.store.Put(ctx, "a/b", []byte("one"), 0)
			if err != nil {
				t.Fatalf("create: %v", err)
			}
			if _, err := p.store.Put(ctx, "a/b", []byte("two"), 0); !errors.Is(err, medlargw.ErrConflict) {
				t.Errorf("second create: got %v, want %v", err, medlargw.ErrConflict)
			}
			second, err := p.store.Put(ctx, "a/b", []byte("two"), first)
			if err != nil || second <= first {
				t.Errorf("write: got revision %d and %v, want more than %d", second, err, first)
			}
			if _, err := p.store.Put(ctx, "a/b", []byte("three"), first); !errors.Is(err, medlargw.ErrConflict) {
				t.Errorf("write at an old revision: got %v, want %v", err, medlargw.ErrConflict)
			}
			got, err := p.store.Get(ctx, "a/b")
			want := medlargw.KeyValue{Key: "a/b", Value: []byte("two"), Revision: second}
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("get: got %v and %v, want %v", got, err, want)
			}
			checkListAndDelete(t, p.store, want)
		})
	}
}

func checkListAndDelete(t *testing.T, store medlargw.Store, want medlargw.KeyValue) {
	t.Helper()
	ctx := t.Context()
	if _, err := store.Put(ctx, "b", nil, 0); err != nil {
		t.Fatalf("create: %v", err)
	}
	list, err := store.List(ctx, "a/")
	if err != nil || !reflect.DeepEqual(list, []medlargw.KeyValue{want}) {
		t.Errorf("list: got %v and %v, want only %v", list, err, want)
	}
	if err := store.Delete(ctx, want.Key, want.Revision+1); !errors.Is(err, medlargw.ErrConflict) {
		t.Errorf("delete at another revision: got %v, want %v", err, medlargw.ErrConflict)
	}
	if err := store.Delete(ctx, want.Key, want.Revision); err != nil {
		t.Errorf("delete: %v", err)
	}
	if err := store.Delete(ctx, want.Key, want.Revision); !errors.Is(err, medlargw.ErrNotFound) {
		t.Errorf("second delete: got %v, want %v", err, medlargw.ErrNotFound)
	}
}

func TestWatchReturnsAChangeAtOnce(t *testing.T) {
	for _, p := range implementations(t) {
		t.Run(p.name, func(t *testing.T) {
			seen := make(chan medlargw.KeyValue, 1)
			go func() {
				e, _ := p.store.Watch(t.Context(), "k", 0)
				seen <- e
			}()
			revision, err := p.store.Put(t.Context(), "k", []byte("v"), 0)
			if err != nil {
				t.Fatalf("put: %v", err)
			}
			got := <-seen
			if want := (medlargw.KeyValue{Key: "k", Value: []byte("v"), Revision: revision}); !reflect.DeepEqual(got, want) {
				t.Errorf("watch: got %v, want %v", got, want)
			}
		})
	}
}

func TestWatchEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if _, err := storer.New().Watch(ctx, "k", 0); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("watch: got %v, want %v", err, context.DeadlineExceeded)
		}
	})
}

func TestHostsContract(t *testing.T) {
	want := medlargw.HostList{
		Targets: []medlargw.Target{{
			Name: "t", Zone: "z", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 8, Memory: 1 << 30, Draining: true,
		}},
		Entries: []medlargw.EntryHost{{
			Name: "e", Zone: "z", Addr: netip.MustParseAddrPort("10.0.0.2:81"), AdminAddr: netip.MustParseAddrPort("10.0.0.2:82"), Capacity: 480,
		}},
	}
	for _, p := range implementations(t) {
		t.Run(p.name, func(t *testing.T) {
			p.list(want)
			got, err := p.hosts.Hosts(t.Context())
			if err != nil {
				t.Fatalf("hosts: %v", err)
			}
			if got.Version == 0 {
				t.Error("version: got 0, want more")
			}
			if !reflect.DeepEqual(got.Targets, want.Targets) || !reflect.DeepEqual(got.Entries, want.Entries) {
				t.Errorf("hosts: got %v, want %v", got, want)
			}
		})
	}
}
