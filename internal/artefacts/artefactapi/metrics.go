package artefactapi

import (
	"encoding/hex"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
)

// Metrics are the figures of one instance.
type Metrics struct {
	reg     *prometheus.Registry
	records prometheus.Counter
	bytes   prometheus.Counter
	took    prometheus.Histogram
	refused *prometheus.CounterVec
}

// NewMetrics returns the figures of an instance that has count records.
func NewMetrics(count func() int) *Metrics {
	m := &Metrics{reg: prometheus.NewRegistry(),
		records: prometheus.NewCounter(prometheus.CounterOpts{Name: "fawncove_artefact_records_added_total", Help: "Records taken from writers."}),
		bytes:   prometheus.NewCounter(prometheus.CounterOpts{Name: "fawncove_artefact_bytes_added_total", Help: "Content taken from writers, compressed, in bytes."}),
		took: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "fawncove_artefact_add_seconds", Help: "From a writer's request to its acknowledgement.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "fawncove_artefact_refused_total", Help: "Requests not served, by status."}, []string{"status"}),
	}
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "fawncove_artefact_records", Help: "Records held, blocks aside."}, func() float64 { return float64(count()) })
	m.reg.MustRegister(m.records, m.bytes, m.took, m.refused, held)
	return m
}

// Handler serves the figures in the common exposition format.
func (m *Metrics) Handler() http.Handler { return promhttp.HandlerFor(m.reg, promhttp.HandlerOpts{}) }

func (m *Metrics) added(recs []*artefactpb.Record, took time.Duration) {
	m.records.Add(float64(len(recs)))
	for _, r := range recs {
		m.bytes.Add(float64(len(r.GetBlock().GetZstd())))
	}
	m.took.Observe(took.Seconds())
}

func formatID(id artefact.ID) string { return hex.EncodeToString(id[:]) }
