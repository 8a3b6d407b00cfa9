package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ratios are recorded in thousandths, up to 1,000,000 times the ideal, with three significant digits.
const (
	ratioUnit   = 1000
	maxRatio    = 1_000_000 * ratioUnit
	ratioDigits = 3
)

// ratioHistogram is a histogram of response time over ideal.
type ratioHistogram struct{ h *hdrhistogram.Histogram }

func newRatioHistogram() *ratioHistogram {
	return &ratioHistogram{h: hdrhistogram.New(1, maxRatio, ratioDigits)}
}

func (r *ratioHistogram) record(response, ideal time.Duration) {
	v := int64(float64(response) / float64(ideal) * ratioUnit)
	// The bounds make an error of RecordValue impossible.
	_ = r.h.RecordValue(min(max(v, 1), maxRatio))
}

func (r *ratioHistogram) quantile(q float64) float64 {
	return float64(r.h.ValueAtQuantile(q*100)) / ratioUnit
}

// quantiles holds the values of a histogram that the report shows.
type quantiles struct {
	Jobs  int64   `json:"jobs"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99_9"`
	Worst float64 `json:"worst"`
}

func (r *ratioHistogram) summary() quantiles {
	return quantiles{
		Jobs:  r.h.TotalCount(),
		P50:   r.quantile(0.50),
		P99:   r.quantile(0.99),
		P999:  r.quantile(0.999),
		Worst: float64(r.h.Max()) / ratioUnit,
	}
}

// encoded returns the histogram in the compressed HDR format, base 64.
func (r *ratioHistogram) encoded() string {
	text, err := r.h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return ""
	}
	return string(text)
}
