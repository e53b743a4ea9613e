// Package builder puts the parts of an entry together.
//
// The order in which parts are added is the order in which they start: first
// what decides, then what feeds it, at last what accepts callers. They stop in
// the reverse order.
package builder

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"fmt"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accessor"
	"medlargw.example/medlargw/accountant"
	"medlargw.example/medlargw/assigner"
	"medlargw.example/medlargw/decider"
	"medlargw.example/medlargw/dispatcher"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/lender"
	"medlargw.example/medlargw/limiter"
	"medlargw.example/medlargw/messenger"
	"medlargw.example/medlargw/placer"
	"medlargw.example/medlargw/receiver"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/scheduler"
	"medlargw.example/medlargw/sender"
	"medlargw.example/medlargw/tracker"
	"medlargw.example/medlargw/watcher"
)

// Builder holds what the parts of one entry are made of.
type Builder struct {
	Log      *zap.Logger
	Settings medlargw.Settings
	Store    medlargw.Store  // Nil reaches the one in the settings.
	Hosts    medlargw.Hosts  // Nil reaches the one in the settings.
	Sender   medlargw.Sender // Nil reaches the targets.
	// Messenger returns the part "messenger"; nil serves and reaches real peers.
	Messenger func(reg *registrar.Registrar) medlargw.Part
}

// Build returns the parts in a registrar that has not started.
func (b *Builder) Build() (*registrar.Registrar, error) {
	tlsConfig, err := b.tlsConfig()
	if err != nil {
		return nil, err
	}
	reg := b.Core()
	reg.Add(receiver.New(b.Log, reg, b.Settings, tlsConfig))
	return reg, nil
}

// Core returns the parts but for those that serve callers and operators.
func (b *Builder) Core() *registrar.Registrar {
	b.reachPlatform()
	reg := registrar.New(b.Log)
	dec := decider.New(b.Settings, b.deciderTools(), newTag)
	if b.Sender == nil {
		b.Sender = sender.New(b.Settings.Task, b.Settings.Task.Conns)
	}
	incarnation := newIncarnation()
	disp := dispatcher.New(b.Log, dec, b.Sender, metrics.NewRegistry(), nil)
	disp.UseLender(reg, lender.New(&b.Settings, incarnation), &b.Settings)
	reg.Add(
		disp,
		assigner.New(b.Log, reg, b.Settings, b.Hosts),
		watcher.New(b.Log, reg, b.Store),
		b.messenger(reg),
		tracker.New(b.Log, reg, b.Settings, incarnation),
	)
	return reg
}

func (b *Builder) messenger(reg *registrar.Registrar) medlargw.Part {
	if b.Messenger != nil {
		return b.Messenger(reg)
	}
	return messenger.New(b.Log, reg, b.Settings)
}

func newIncarnation() medlargw.Incarnation {
	var random [8]byte
	_, _ = rand.Read(random[:]) // It never fails.
	return medlargw.Incarnation(binary.LittleEndian.Uint64(random[:]))
}

func (b *Builder) deciderTools() medlargw.DeciderTools {
	est := estimator.New()
	return medlargw.DeciderTools{
		Scheduler:  scheduler.New(medlargw.OrderLeast),
		Placer:     placer.New(est),
		Limiter:    limiter.New(),
		Estimator:  est,
		Accountant: accountant.New(b.Settings.Intake.Bytes),
	}
}

func newTag() medlargw.Tag { return medlargw.Tag(rand.Text()) }

func (b *Builder) reachPlatform() {
	platform := accessor.New(b.Settings.Store)
	if b.Store == nil {
		b.Store = platform
	}
	if b.Hosts == nil {
		b.Hosts = platform
	}
}

func (b *Builder) tlsConfig() (*tls.Config, error) {
	if b.Settings.TLS.Cert == "" {
		return nil, nil //nolint:nilnil // No certificate is plain TCP, as receiver.New says.
	}
	cert, err := tls.LoadX509KeyPair(b.Settings.TLS.Cert, b.Settings.TLS.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}
