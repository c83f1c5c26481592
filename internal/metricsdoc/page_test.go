package metricsdoc

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Headers of the page's tables.
const (
	metricsHeader = "| name | type | unit | what it counts |"
	keysHeader    = "| map | keys | bound |"
)

// metricRow is a row of a table of metrics.
type metricRow struct{ kind, unit, meaning string }

// keysRow is a row of the table of the maps' keys.
type keysRow struct {
	sets  []keySet
	bound int
}

// keySet is a set of keys, or of parts of keys: constants, and at most a number of names from the configuration.
type keySet struct {
	constants  []string
	configured int
}

type pageContent struct {
	metrics map[string]metricRow
	keys    map[string]keysRow
}

var (
	separatorLine = regexp.MustCompile(`^\|[-|]+\|$`)
	codeSpan      = regexp.MustCompile("`([^`]+)`")
	keySetCell    = regexp.MustCompile("^(?:`[^`]+` ?)*(?:and up to ([0-9]+) names from the configuration)?$")
)

// readPage reads the tables of docs/metrics.md. A table that is of neither kind fails the test, as its rows would not be
// checked.
func readPage(t *testing.T) pageContent {
	t.Helper()
	body, err := os.ReadFile(page)
	require.NoError(t, err)
	content := pageContent{metrics: map[string]metricRow{}, keys: map[string]keysRow{}}
	header := ""
	for line := range strings.Lines(string(body)) {
		line = strings.TrimSpace(line)
		switch {
		case !strings.HasPrefix(line, "|"):
			header = ""
		case header == "":
			header = line
			require.Contains(t, []string{metricsHeader, keysHeader}, header, "unknown table")
		case separatorLine.MatchString(line):
		case header == metricsHeader:
			content.addMetric(t, line)
		default:
			content.addKeys(t, line)
		}
	}
	require.NotEmpty(t, content.metrics)
	return content
}

func (p *pageContent) addMetric(t *testing.T, line string) {
	t.Helper()
	cells := cellsOf(t, line, 4)
	name := codeSpans(cells[0])
	require.Len(t, name, 1, "row %q names no metric", line)
	require.NotContains(t, p.metrics, name[0], "two rows for one metric")
	p.metrics[name[0]] = metricRow{kind: cells[1], unit: cells[2], meaning: cells[3]}
}

func (p *pageContent) addKeys(t *testing.T, line string) {
	t.Helper()
	cells := cellsOf(t, line, 3)
	name := codeSpans(cells[0])
	require.Len(t, name, 1, "row %q names no map", line)
	require.NotContains(t, p.keys, name[0], "two rows for one map")
	bound, err := strconv.Atoi(cells[2])
	require.NoError(t, err, "bound of %s", name[0])
	row := keysRow{bound: bound}
	for set := range strings.SplitSeq(cells[1], "×") {
		row.sets = append(row.sets, keySetOf(t, name[0], strings.TrimSpace(set)))
	}
	p.keys[name[0]] = row
}

func keySetOf(t *testing.T, name, text string) keySet {
	t.Helper()
	match := keySetCell.FindStringSubmatch(text)
	require.NotNil(t, match, "keys of %s: %q", name, text)
	set := keySet{constants: codeSpans(text)}
	if match[1] != "" {
		configured, err := strconv.Atoi(match[1])
		require.NoError(t, err, "keys of %s", name)
		set.configured = configured
	}
	return set
}

func cellsOf(t *testing.T, line string, count int) []string {
	t.Helper()
	cells := strings.Split(strings.Trim(line, "|"), "|")
	require.Len(t, cells, count, "cells of row %q", line)
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

func codeSpans(text string) []string {
	var spans []string
	for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
		spans = append(spans, match[1])
	}
	return spans
}
