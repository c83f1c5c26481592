package layers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// layers lists the layers from bottom to top; a package imports only its own layer and those below.
var layers = []string{"state", "coordination", "protocol", "transport"}

const (
	root   = "../.."
	module = "github.com/guavatrestle/guavatrestle/"
)

// TestPackageImportsOnlyLowerLayers guards against an import from a lower layer to a higher one.
func TestPackageImportsOnlyLowerLayers(t *testing.T) {
	for rank, layer := range layers {
		walkGoFiles(t, filepath.Join(root, layer), func(path, imported string) {
			require.LessOrEqual(t, rankOf(imported), rank, "%s imports %s", path, imported)
		})
	}
}

// TestDecisionsImportNoIO guards against I/O, contexts and synchronization in decision logic, which must be deterministic.
func TestDecisionsImportNoIO(t *testing.T) {
	forbidden := []string{"net", "net/http", "os", "sync", "context", "github.com/alitto/pond/v2"}
	walkGoFiles(t, filepath.Join(root, "coordination"), func(path, imported string) {
		if !strings.HasSuffix(path, "_test.go") {
			require.NotContains(t, forbidden, imported, "%s imports %s", path, imported)
		}
	})
}

func walkGoFiles(t *testing.T, dir string, visit func(path, imported string)) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			visit(path, imported)
		}
		return nil
	})
	require.NoError(t, err)
}

func rankOf(imported string) int {
	rest, inModule := strings.CutPrefix(imported, module)
	if !inModule {
		return -1
	}
	for rank, layer := range layers {
		if rest == layer || strings.HasPrefix(rest, layer+"/") {
			return rank
		}
	}
	return -1
}

// adapterPackage is the only package that knows the users' platform.
const adapterPackage = module + "platform"

// TestOnlyTheProgramImportsTheAdapter guards against product code that depends on the users' platform.
func TestOnlyTheProgramImportsTheAdapter(t *testing.T) {
	for _, dir := range append(slices.Clone(layers), "internal", "bench") {
		walkGoFiles(t, filepath.Join(root, dir), func(path, imported string) {
			require.NotEqual(t, adapterPackage, imported, "%s imports the adapter", path)
		})
	}
}

// TestAdapterNamesStayInTheAdapter guards against product code that uses names of the users' platform.
func TestAdapterNamesStayInTheAdapter(t *testing.T) {
	names := []string{"X-Guavatrestle-", "GUAVATRESTLE_BOOT", "cold_remaining_ms", "stage-put", "stage-get", "api_keys"}
	for _, dir := range append(slices.Clone(layers), "cmd", "internal/bootclock") {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			body, err := os.ReadFile(path)
			for _, name := range names {
				require.NotContains(t, string(body), name, "%s contains a name that only the adapter may use", path)
			}
			return err
		})
		require.NoError(t, err)
	}
}

// TestResponsesAreReadThroughTheHeadCheck guards against a reader of responses that believes a malformed head.
func TestResponsesAreReadThroughTheHeadCheck(t *testing.T) {
	readers := []string{"&http.Transport{", "http.DefaultTransport", "http.DefaultClient", "http.ReadResponse(", "resty.New("}
	checks := []string{"httphead.", "netdial.New"}
	for _, dir := range append(slices.Clone(layers), "cmd", "platform") {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "platformtest") {
				return err
			}
			body, err := os.ReadFile(path)
			contains := func(text string) bool { return strings.Contains(string(body), text) }
			if slices.ContainsFunc(readers, contains) {
				require.True(t, slices.ContainsFunc(checks, contains), "%s reads responses without httphead", path)
			}
			return err
		})
		require.NoError(t, err)
	}
}
