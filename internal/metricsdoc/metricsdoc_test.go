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

// keySources returns for each published map the sets from which its keys are formed: one set, or several whose members are
// joined. A set has the constants of the code, and if some keys come from the configuration, the constant that limits their
// number. A map without an entry fails the test, so that none is added without a bound.
func keySources(t *testing.T) map[string][]keySet {
	constants := func(values []string) keySet { return keySet{constants: values} }
	objectAPI := []keySet{constants(objectAPIOperations(t)), constants(constantsOfType(t, "protocol/platform", "Kind"))}
	outcomes := constants(valuesOfArray(t, "transport/ingress", "outcomeNames"))
	upstreams := keySet{
		constants: []string{
			stringConstant(t, "transport/ingress", "otherUpstreamsLabel"), stringConstant(t, "transport/ingress", "noUpstreamLabel"),
		},
		configured: intConstant(t, "transport/ingress", "maxUpstreamLabels"),
	}
	levels := constants(valuesOfArray(t, "transport/ingress", "levelNames"))
	return map[string][]keySet{
		"ingress_waiting":             {levels},
		"ingress_wait_ms":             {levels},
		"ingress_wait_refused":        {constants(constantsOfType(t, "coordination/waiting", "Reason")), levels},
		"ingress_authorized":          {constants(constantsOfType(t, "transport/ingress", "authorization"))},
		"ingress_refused":             {constants(ingressErrorCodes(t))},
		"ingress_outcome_latency_ms":  {outcomes},
		"ingress_upstream_requests":   {upstreams, outcomes},
		"ingress_upstream_latency_ms": {upstreams, outcomes},
		"ingress_oversized_responses": {constants(constantsOfType(t, "transport/ingress", "sizeLimit"))},
		"held_bytes":                  {constants(valuesOfArray(t, "coordination/holding", "kindNames"))},
		"held_refused":                {constants(valuesOfArray(t, "coordination/holding", "kindNames"))},
		"staging_manifests":           {constants(constantsOfType(t, "transport/staging", "manifestSource"))},
		"staging_version_choices":     {constants(constantsOfType(t, "coordination/rollout", "Reason"))},
		"staging_pieces":              {constants(constantsOfType(t, "coordination/transfer", "Outcome"))},
		"object_api_calls":            objectAPI,
		"object_api_failures":         objectAPI,
		"object_api_calls_held_back":  objectAPI,
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
			assert.ElementsMatch(t, set.constants, row.sets[i].constants, "keys of %s", name)
			assert.Equal(t, set.configured, row.sets[i].configured, "number of names from the configuration in the keys of %s", name)
			bound *= len(set.constants) + set.configured
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
	walkCalls(t, "transport/ingress", func(call *ast.CallExpr, position token.Position) {
		assert.False(t, isSelector(call.Fun, "core", "Upstream"), "%s converts text to an upstream", position)
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

// TestKeysOfUpstreamsAreAddedInOnePlace guards against keys from the configuration that are added past the limit of their number.
// The tests of transport/ingress check the limit of outcomeMetrics, whose function publish adds the keys.
func TestKeysOfUpstreamsAreAddedInOnePlace(t *testing.T) {
	for _, variable := range []string{"varUpstreamRequests", "varUpstreamLatency"} {
		require.Equal(t, 2, countIdents(t, "transport/ingress", variable), "the declaration of %s and its use by publish", variable)
	}
	calls := 0
	walkCalls(t, "transport/ingress", func(call *ast.CallExpr, position token.Position) {
		if function, ok := call.Fun.(*ast.SelectorExpr); ok && function.Sel.Name == "publish" {
			calls++
		}
		if isIdent(call.Fun, "newOutcomeMetrics") {
			_, ok := call.Args[0].(*ast.FuncLit)
			assert.True(t, ok, "%s: publish is a function that has another use", position)
		}
	})
	require.Equal(t, 1, calls, "calls of publish")
}
