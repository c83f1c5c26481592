package metricsdoc

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Types of metrics, as the page names them.
const (
	kindCounter   = "counter"
	kindMap       = "map"
	kindHistogram = "histogram"
	kindGauge     = "gauge"
)

// constructors gives the type of metric that each function of expvar publishes.
var constructors = map[string]string{
	"NewInt":  kindCounter,
	"NewMap":  kindMap,
	"Publish": kindHistogram,
	// Counters are whole numbers; a Float is only used for a value that rises and falls.
	"NewFloat": kindGauge,
}

// plainFunctions publish nothing by themselves.
var plainFunctions = []string{"Handler", "Func", "Do", "Get"}

// publishedMetric is one call that publishes a metric.
type publishedMetric struct {
	kind     string
	position token.Position
}

// publishedMetrics returns the metrics that the code of the processes publishes, by name. A use of expvar that it can't
// read fails the test.
func publishedMetrics(t *testing.T) map[string]publishedMetric {
	t.Helper()
	metrics := map[string]publishedMetric{}
	for _, dir := range []string{"cmd", "coordination", "internal", "platform", "protocol", "state", "transport"} {
		walkSource(t, dir, func(files *token.FileSet, file *ast.File) {
			if local, imported := importName(t, file, "expvar"); imported {
				addMetricsOfFile(t, metrics, files, file, local)
			}
		})
	}
	require.NotEmpty(t, metrics)
	return metrics
}

// addMetricsOfFile adds the metrics that a file publishes; local is the name under which it imports expvar.
func addMetricsOfFile(t *testing.T, metrics map[string]publishedMetric, files *token.FileSet, file *ast.File, local string) {
	t.Helper()
	// ast.Inspect visits a call before its function, so a constructor that is not in called is used as a value.
	called := map[ast.Expr]bool{}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.CallExpr:
			called[node.Fun] = true
			function, ok := node.Fun.(*ast.SelectorExpr)
			if !ok || !isIdent(function.X, local) || constructors[function.Sel.Name] == "" {
				break
			}
			position := files.Position(node.Pos())
			name := stringLiteral(t, node.Args[0], position)
			require.NotContains(t, metrics, name, "%s publishes a name twice", position)
			metrics[name] = publishedMetric{kind: constructors[function.Sel.Name], position: position}
		case *ast.SelectorExpr:
			if isIdent(node.X, local) {
				name := node.Sel.Name
				readable := constructors[name] != "" && called[node] || slices.Contains(plainFunctions, name)
				require.True(t, readable, "%s: the use of expvar.%s can't be compared with docs/metrics.md",
					files.Position(node.Pos()), name)
			}
		}
		return true
	})
}

// constantsOfType returns the values of a package's constants of a string type.
func constantsOfType(t *testing.T, dir, typeName string) []string {
	t.Helper()
	var values []string
	walkConstants(t, dir, func(spec *ast.ValueSpec, position token.Position) {
		if isIdent(spec.Type, typeName) {
			for _, value := range spec.Values {
				values = append(values, stringLiteral(t, value, position))
			}
		}
	})
	require.NotEmpty(t, values, "constants of type %s in %s", typeName, dir)
	return values
}

// stringConstant returns the value of a package's string constant.
func stringConstant(t *testing.T, dir, name string) string {
	t.Helper()
	expression, position := constant(t, dir, name)
	return stringLiteral(t, expression, position)
}

// intConstant returns the value of a package's constant that is declared as an integer literal.
func intConstant(t *testing.T, dir, name string) int {
	t.Helper()
	expression, position := constant(t, dir, name)
	literal, ok := expression.(*ast.BasicLit)
	require.True(t, ok && literal.Kind == token.INT, "%s: not an integer literal", position)
	value, err := strconv.Atoi(literal.Value)
	require.NoError(t, err)
	return value
}

// constant returns the expression of the only constant with a name.
func constant(t *testing.T, dir, name string) (expression ast.Expr, at token.Position) {
	t.Helper()
	walkConstants(t, dir, func(spec *ast.ValueSpec, position token.Position) {
		for i, ident := range spec.Names {
			if ident.Name == name {
				require.Nil(t, expression, "%s: a second %s", position, name)
				expression, at = spec.Values[i], position
			}
		}
	})
	require.NotNil(t, expression, "constant %s in %s", name, dir)
	return expression, at
}

// countIdents returns how often the code of a package has an identifier.
func countIdents(t *testing.T, dir, name string) int {
	t.Helper()
	count := 0
	walkSource(t, dir, func(_ *token.FileSet, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			if ident, ok := node.(*ast.Ident); ok && ident.Name == name {
				count++
			}
			return true
		})
	})
	return count
}

// valuesOfArray returns the elements of a package's array of string literals, which is a variable that nothing else assigns.
func valuesOfArray(t *testing.T, dir, name string) []string {
	t.Helper()
	var values []string
	walkSource(t, dir, func(files *token.FileSet, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.ValueSpec:
				if len(node.Names) != 1 || node.Names[0].Name != name {
					break
				}
				position := files.Position(node.Pos())
				require.Empty(t, values, "%s: a second %s", position, name)
				literal, ok := node.Values[0].(*ast.CompositeLit)
				require.True(t, ok, "%s: %s is not an array literal", position, name)
				for _, element := range literal.Elts {
					if pair, ok := element.(*ast.KeyValueExpr); ok {
						element = pair.Value
					}
					values = append(values, stringLiteral(t, element, position))
				}
			case *ast.AssignStmt:
				for _, left := range node.Lhs {
					if index, ok := left.(*ast.IndexExpr); ok {
						left = index.X
					}
					require.False(t, isIdent(left, name), "%s: %s is assigned", files.Position(node.Pos()), name)
				}
			}
			return true
		})
	})
	return distinct(t, values)
}

// objectAPIOperations returns the operations with which the client of the object API calls its circuit breaker.
func objectAPIOperations(t *testing.T) []string {
	t.Helper()
	var operations []string
	walkCalls(t, "transport/platform", func(call *ast.CallExpr, position token.Position) {
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || selector.Sel.Name != "do" {
			return
		}
		operations = append(operations, stringLiteral(t, call.Args[0], position))
	})
	return distinct(t, operations)
}

// ingressErrorCodes returns the codes of the errors that the entry creates. Each must be a constant, as the codes are keys.
func ingressErrorCodes(t *testing.T) []string {
	t.Helper()
	constants := map[string]string{}
	walkConstants(t, "protocol/api", func(spec *ast.ValueSpec, position token.Position) {
		for i, name := range spec.Names {
			if strings.HasPrefix(name.Name, "Code") {
				constants[name.Name] = stringLiteral(t, spec.Values[i], position)
			}
		}
	})
	var codes []string
	walkCalls(t, "transport/ingress", func(call *ast.CallExpr, position token.Position) {
		if !isSelector(call.Fun, "transport", "Errorf") {
			return
		}
		code, ok := call.Args[1].(*ast.SelectorExpr)
		require.True(t, ok && isIdent(code.X, "api"), "%s: the code is not a constant of package api", position)
		require.Contains(t, constants, code.Sel.Name, "%s: the code is not a constant of package api", position)
		codes = append(codes, constants[code.Sel.Name])
	})
	return distinct(t, codes)
}

func distinct(t *testing.T, values []string) []string {
	t.Helper()
	require.NotEmpty(t, values)
	slices.Sort(values)
	return slices.Compact(values)
}

func walkConstants(t *testing.T, dir string, visit func(spec *ast.ValueSpec, position token.Position)) {
	t.Helper()
	walkSource(t, dir, func(files *token.FileSet, file *ast.File) {
		for _, declaration := range file.Decls {
			if group, ok := declaration.(*ast.GenDecl); ok && group.Tok == token.CONST {
				for _, spec := range group.Specs {
					visit(spec.(*ast.ValueSpec), files.Position(spec.Pos()))
				}
			}
		}
	})
}

func walkCalls(t *testing.T, dir string, visit func(call *ast.CallExpr, position token.Position)) {
	t.Helper()
	walkSource(t, dir, func(files *token.FileSet, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok {
				visit(call, files.Position(call.Pos()))
			}
			return true
		})
	})
}

// walkSource visits the source files below a directory of the module, without tests.
func walkSource(t *testing.T, dir string, visit func(files *token.FileSet, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		visit(files, file)
		return nil
	})
	require.NoError(t, err)
}

// importName returns the name under which a file imports a package of the standard library.
func importName(t *testing.T, file *ast.File, path string) (string, bool) {
	t.Helper()
	for _, spec := range file.Imports {
		if spec.Path.Value != strconv.Quote(path) {
			continue
		}
		if spec.Name == nil {
			return path, true
		}
		require.NotEqual(t, ".", spec.Name.Name, "a dot import of %s hides what is published", path)
		return spec.Name.Name, true
	}
	return "", false
}

func isIdent(expression ast.Expr, name string) bool {
	ident, ok := expression.(*ast.Ident)
	return ok && ident.Name == name
}

func isSelector(expression ast.Expr, left, right string) bool {
	selector, ok := expression.(*ast.SelectorExpr)
	return ok && isIdent(selector.X, left) && selector.Sel.Name == right
}

func stringLiteral(t *testing.T, expression ast.Expr, position token.Position) string {
	t.Helper()
	literal, ok := expression.(*ast.BasicLit)
	require.True(t, ok && literal.Kind == token.STRING, "%s: not a string literal", position)
	value, err := strconv.Unquote(literal.Value)
	require.NoError(t, err)
	return value
}
