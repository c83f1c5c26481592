// Package metricsdoc tests that docs/metrics.md describes the metrics that the code publishes.
package metricsdoc
