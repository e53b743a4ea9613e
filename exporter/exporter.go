// Package exporter writes a metrics registry as JSON and in the Prometheus text
// format.
//
// In the text format, the first word of a metric's name becomes the metric family
// and the rest becomes the label "name". For example, the counter jobs.complete
// is written as medlargw_jobs_total{name="complete"}.
package exporter

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// namespace is the prefix of all family names.
const namespace = "medlargw_"

// Exporter writes one registry.
type Exporter struct {
	registry metrics.Registry
}

// New returns an exporter of the registry.
func New(registry metrics.Registry) *Exporter { return &Exporter{registry: registry} }

// WriteJSON writes all metrics as one JSON object.
func (e *Exporter) WriteJSON(w io.Writer) error {
	metrics.WriteJSONOnce(e.registry, w)
	return nil
}

// WriteText writes all metrics in the Prometheus text format, sorted by family
// and label.
func (e *Exporter) WriteText(w io.Writer) error {
	families := map[string]*dto.MetricFamily{}
	e.registry.Each(func(name string, m any) { addMetric(families, name, m) })
	names := make([]string, 0, len(families))
	for name := range families {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		family := families[name]
		slices.SortFunc(family.Metric, func(a, b *dto.Metric) int {
			return strings.Compare(labelValue(a), labelValue(b))
		})
		if _, err := expfmt.MetricFamilyToText(w, family); err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}

// ContentType returns the media type of the output of WriteText.
func (*Exporter) ContentType() string {
	return string(expfmt.NewFormat(expfmt.TypeTextPlain))
}

func labelValue(m *dto.Metric) string {
	if len(m.GetLabel()) == 0 {
		return ""
	}
	return m.GetLabel()[0].GetValue()
}

// addMetric converts a metric and adds it to its family. Metrics of unsupported
// types are skipped.
func addMetric(families map[string]*dto.MetricFamily, name string, m any) {
	word, rest, _ := strings.Cut(name, ".")
	metric := &dto.Metric{}
	if rest != "" {
		label := "name"
		metric.Label = []*dto.LabelPair{{Name: &label, Value: &rest}}
	}
	family := namespace + strings.ReplaceAll(word, "-", "_")
	kind := dto.MetricType_GAUGE
	switch m := m.(type) {
	case metrics.Counter:
		family += "_total"
		kind = dto.MetricType_COUNTER
		metric.Counter = &dto.Counter{Value: floatPtr(m.Count())}
	case metrics.Meter:
		family += "_total"
		kind = dto.MetricType_COUNTER
		metric.Counter = &dto.Counter{Value: floatPtr(m.Count())}
	case metrics.Gauge:
		metric.Gauge = &dto.Gauge{Value: floatPtr(m.Value())}
	case metrics.GaugeFloat64:
		value := m.Value()
		metric.Gauge = &dto.Gauge{Value: &value}
	case metrics.Histogram:
		family += "_summary"
		kind = dto.MetricType_SUMMARY
		metric.Summary = summary(m.Snapshot())
	case metrics.Timer:
		family += "_summary"
		kind = dto.MetricType_SUMMARY
		metric.Summary = summary(m.Snapshot())
	default:
		return
	}
	if families[family] == nil {
		families[family] = &dto.MetricFamily{Name: &family, Help: familyHelp(word), Type: &kind}
	}
	families[family].Metric = append(families[family].Metric, metric)
}

func floatPtr(n int64) *float64 {
	f := float64(n)
	return &f
}

// distribution is the common interface of histograms and timers.
type distribution interface {
	Count() int64
	Percentiles(quantiles []float64) []float64
}

// summary converts a distribution. The sum is NaN, since the distribution holds
// only a sample of the values.
func summary(d distribution) *dto.Summary {
	quantiles := []float64{0.5, 0.9, 0.99}
	count := uint64(d.Count())
	unknown := math.NaN()
	s := &dto.Summary{SampleCount: &count, SampleSum: &unknown}
	for i, value := range d.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &value})
	}
	return s
}
