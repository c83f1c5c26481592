package metricsdoc

import (
	"go/ast"
	"go/token"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	root = "../.."
	page = root + "/docs/metrics.md"
)

// keySources returns for each published map the constants from which its keys are formed: one set, or several whose
// members are joined. A map without an entry fails the test, so that none is added without a bound.
func keySources(t *testing.T) map[string][][]string {
	objectAPI := [][]string{objectAPIOperations(t), constantsOfType(t, "protocol/platform", "Kind")}
	return map[string][][]string{
		"ingress_refused":            {ingressErrorCodes(t)},
		"ingress_outcome_latency_ms": {valuesOfArray(t, "transport/ingress", "outcomeNames")},
		"staging_pieces":             {constantsOfType(t, "coordination/transfer", "Outcome")},
		"object_api_calls":           objectAPI,
		"object_api_failures":        objectAPI,
		"object_api_calls_held_back": objectAPI,
	}
}

// TestPageMissesNoMetric guards against a published metric that operators can't look up.
func TestPageMissesNoMetric(t *testing.T) {
	documented := readPage(t).metrics
	for name, metric := range publishedMetrics(t) {
		_, ok := documented[name]
		assert.True(t, ok, "docs/metrics.md has no row for %s, which %s publishes", name, metric.position)
	}
}

// TestPageNamesNoUnpublishedMetric guards against a row whose metric was renamed or removed.
func TestPageNamesNoUnpublishedMetric(t *testing.T) {
	published := publishedMetrics(t)
	for name := range readPage(t).metrics {
		_, ok := published[name]
		assert.True(t, ok, "docs/metrics.md has a row for %s, which is not published", name)
	}
}

// TestRowHasTypeUnitAndMeaning guards against a row without a unit or a meaning, or with a type other than the code's.
func TestRowHasTypeUnitAndMeaning(t *testing.T) {
	published := publishedMetrics(t)
	for name, row := range readPage(t).metrics {
		assert.Regexp(t, `^[a-z]+$`, row.unit, "%s has no unit", name)
		assert.NotEmpty(t, row.meaning, "%s has no meaning", name)
		if metric, ok := published[name]; ok {
			assert.Equal(t, metric.kind, row.kind, "%s is published at %s as another type", name, metric.position)
		}
	}
}

// TestKeysOfMapsAreBounded guards against a map whose number of keys is not stated, or that has other keys than the page.
func TestKeysOfMapsAreBounded(t *testing.T) {
	sources, documented, published := keySources(t), readPage(t).keys, publishedMetrics(t)
	for name, metric := range published {
		if metric.kind != kindMap {
			continue
		}
		sets, bounded := sources[name]
		require.True(t, bounded, "the keys of %s, which %s publishes, are not known to be bounded", name, metric.position)
		row, ok := documented[name]
		require.True(t, ok, "docs/metrics.md does not list the keys of %s", name)
		require.Len(t, row.sets, len(sets), "sets of keys of %s", name)
		bound := 1
		for i, set := range sets {
			assert.ElementsMatch(t, set, row.sets[i], "keys of %s", name)
			bound *= len(set)
		}
		assert.Equal(t, bound, row.bound, "bound of %s", name)
	}
	for name := range documented {
		_, ok := published[name]
		assert.True(t, ok, "docs/metrics.md lists the keys of %s, which is not published", name)
	}
}

// TestKeysAreNotMadeFromOtherText guards against a key that is not one of the constants, such as a code that another host
// sent.
func TestKeysAreNotMadeFromOtherText(t *testing.T) {
	walkCalls(t, "transport", func(call *ast.CallExpr, position token.Position) {
		assert.False(t, isSelector(call.Fun, "transfer", "Outcome"), "%s converts text to an outcome", position)
		assert.False(t, isSelector(call.Fun, "platform", "Kind"), "%s converts text to a kind of object", position)
	})
	walkSource(t, "transport/ingress", func(files *token.FileSet, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			if literal, ok := node.(*ast.CompositeLit); ok {
				assert.False(t, isSelector(literal.Type, "transport", "Error"), "%s sets a code that is not checked",
					files.Position(literal.Pos()))
			}
			return true
		})
	})
}
