package inspection

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestMetricsAreCollectedOnRequestAndAtMostOncePerLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		collections := 0
		registry := &Registry{}
		registry.Add(func(samples *Samples) {
			collections++
			samples.Add(sampleCounter, float64(collections))
		})
		time.Sleep(time.Minute)
		assert.Equal(t, collections, 0)

		first := string(registry.Text())
		time.Sleep(metricsLifetime - time.Millisecond)
		assert.Equal(t, string(registry.Text()), first)
		assert.Equal(t, collections, 1)
		time.Sleep(time.Millisecond)
		assert.Assert(t, string(registry.Text()) != first)
		assert.Equal(t, collections, 2)
	})
}

func TestHelpAndTypeAreWrittenOncePerMetric(t *testing.T) {
	gauge := Metric{Name: "room", Kind: Gauge, Help: "Free room."}
	samples := &Samples{}
	samples.Add(gauge, 0.5, Label{Name: "zone", Value: "a"})
	samples.Add(gauge, 1e9, Label{Name: "zone", Value: `quoted "b"` + "\n"}, Label{Name: "disk", Value: `c\d`})
	samples.AddBool(sampleCounter, true)
	assert.Equal(t, samples.text.String(), `# HELP room Free room.
# TYPE room gauge
room{zone="a"} 0.5
room{zone="quoted \"b\"\n",disk="c\\d"} 1e+09
# HELP sample_total A sample.
# TYPE sample_total counter
sample_total 1
`)
}
