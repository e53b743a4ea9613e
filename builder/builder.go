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
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accessor"
	"medlargw.example/medlargw/accountant"
	"medlargw.example/medlargw/administrator"
	"medlargw.example/medlargw/assigner"
	"medlargw.example/medlargw/auditor"
	"medlargw.example/medlargw/decider"
	"medlargw.example/medlargw/dispatcher"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/keeper"
	"medlargw.example/medlargw/lender"
	"medlargw.example/medlargw/limiter"
	"medlargw.example/medlargw/messenger"
	"medlargw.example/medlargw/minter"
	"medlargw.example/medlargw/placer"
	"medlargw.example/medlargw/receiver"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/reporter"
	"medlargw.example/medlargw/scheduler"
	"medlargw.example/medlargw/sender"
	"medlargw.example/medlargw/tracker"
	"medlargw.example/medlargw/watcher"
)

const (
	shutEvidence  = 16 // Six failures in a row of tasks that succeed elsewhere.
	breakFailures = 8
	slowRatio     = 3
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
	Metrics   metrics.Registry // Nil makes one.
	Level     zap.AtomicLevel  // Of the log, for operators to change.
	Version   string
}

// Build returns the parts in a registrar that has not started.
func (b *Builder) Build() (*registrar.Registrar, error) {
	tlsConfig, err := b.tlsConfig()
	if err != nil {
		return nil, err
	}
	reg := b.core(func(reg *registrar.Registrar, registry metrics.Registry) medlargw.Part {
		return administrator.New(b.Log, reg, b.Settings, tlsConfig, registry, b.level(), b.Version)
	})
	reg.Add(receiver.New(b.Log, reg, b.Settings, tlsConfig))
	return reg, nil
}

// Core returns the parts but for those that serve callers and operators.
func (b *Builder) Core() *registrar.Registrar { return b.core(nil) }

// core returns the parts that decide, and the one that serves operators. That
// one starts before the tracker, which tells its address to the peers, and
// stops after the traffic, so that a planned stop can be followed.
func (b *Builder) core(admin func(*registrar.Registrar, metrics.Registry) medlargw.Part) *registrar.Registrar {
	b.reachPlatform()
	reg := registrar.New(b.Log)
	dec := decider.New(b.Settings, b.deciderTools(), newTag)
	if b.Sender == nil {
		b.Sender = sender.New(b.Settings.Task, b.Settings.Zone)
	}
	incarnation := newIncarnation()
	mint := minter.New(b.Settings.Key, b.Settings.Host, incarnation, time.Now(), b.Settings.Intake.Ticket)
	if b.Metrics == nil {
		b.Metrics = metrics.NewRegistry()
	}
	registry := b.Metrics
	report := reporter.New(b.Log, reg, registry, time.Now())
	disp := dispatcher.New(b.Log, dec, b.Sender, registry, report)
	disp.UseLender(reg, lender.New(&b.Settings, incarnation), &b.Settings)
	if part, ok := b.Sender.(medlargw.Part); ok {
		reg.Add(part)
	}
	reg.Add(report, disp, auditor.New(b.Log, reg, registry))
	if admin != nil {
		reg.Add(admin(reg, registry))
	}
	reg.Add(
		assigner.New(b.Log, reg, b.Settings, b.Hosts),
		watcher.New(b.Log, reg, b.Store),
		b.messenger(reg),
		tracker.New(b.Log, reg, b.Settings, incarnation),
		keeper.New(b.Log, reg, b.Settings, mint),
	)
	return reg
}

func (b *Builder) messenger(reg *registrar.Registrar) medlargw.Part {
	if b.Messenger != nil {
		return b.Messenger(reg)
	}
	return messenger.New(b.Log, reg, b.Settings, b.Metrics)
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
		Placer:     placer.New(est, medlargw.QuarantineRules{Evidence: shutEvidence, Failures: breakFailures, Slow: slowRatio}),
		Limiter:    limiter.New(),
		Estimator:  est,
		Accountant: accountant.New(b.Settings.Intake.Bytes),
	}
}

// level returns the level of the log that operators may change.
func (b *Builder) level() zap.AtomicLevel {
	if b.Level == (zap.AtomicLevel{}) {
		return zap.NewAtomicLevel()
	}
	return b.Level
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
