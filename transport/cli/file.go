package cli

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/guavatrestle/guavatrestle/state/settings"
)

// stdinName names standard input as a file.
const stdinName = "-"

// envelope is one document of a settings file.
type envelope struct {
	Path string `yaml:"path"`
	// BaseVersion is the version that the edit was based on; without it the path must be new.
	BaseVersion uint64         `yaml:"base_version"`
	Body        map[string]any `yaml:"body"`
}

// fileDocument is a document with its place in a file.
type fileDocument struct {
	settings.Document
	base uint64
	file string
	node ast.Node
}

// readFiles reads all documents of the files, those that others refer to first.
func (a *app) readFiles(names []string) ([]fileDocument, error) {
	var all []fileDocument
	var failed []error
	for _, name := range expandDirectories(names) {
		documents, err := a.readFile(name)
		all = append(all, documents...)
		failed = append(failed, err)
	}
	if err := errors.Join(failed...); err != nil {
		return nil, badInput{err}
	}
	if len(all) == 0 {
		return nil, badInput{fmt.Errorf("%s: holds no document", strings.Join(names, ", "))}
	}
	slices.SortStableFunc(all, func(a, b fileDocument) int { return cmp.Compare(order(a.Path), order(b.Path)) })
	return all, nil
}

// expandDirectories replaces each directory by the YAML files in it, sorted by name.
func expandDirectories(names []string) []string {
	var files []string
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil || !info.IsDir() {
			files = append(files, name)
			continue
		}
		// The pattern is constant, so Glob reports no error for it.
		inside, _ := filepath.Glob(filepath.Join(name, "*.yaml"))
		files = append(files, inside...)
	}
	return files
}

// order puts failure domains before upstreams before teams, because teams name both.
func order(path string) int {
	prefixes := []string{settings.FailureDomainPrefix, settings.UpstreamPrefix, settings.TeamPrefix}
	return slices.IndexFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

func (a *app) readFile(name string) ([]fileDocument, error) {
	body, err := a.readBody(name)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	file, err := parser.ParseBytes(body, 0)
	if err != nil {
		return nil, yamlProblem(name, err)
	}
	var documents []fileDocument
	var failed []error
	for _, part := range file.Docs {
		if part.Body == nil {
			continue
		}
		doc, err := decodeDocument(name, part.Body)
		documents = append(documents, doc)
		failed = append(failed, err)
	}
	return documents, errors.Join(failed...)
}

func (a *app) readBody(name string) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(a.In)
	}
	return os.ReadFile(name)
}

func decodeDocument(name string, node ast.Node) (fileDocument, error) {
	var e envelope
	err := yaml.NodeToValue(node, &e, yaml.DisallowUnknownField())
	if err != nil {
		return fileDocument{}, yamlProblem(name, err)
	}
	doc := fileDocument{base: e.BaseVersion, file: name, node: node}
	doc.Path, doc.Version = e.Path, e.BaseVersion+1
	if e.Body == nil {
		return doc, fmt.Errorf("%s: %s: body: is required", doc.place("body"), e.Path)
	}
	doc.Body, err = json.Marshal(e.Body)
	if err != nil {
		return doc, fmt.Errorf("%s: %s: body: %w", doc.place("body"), e.Path, err)
	}
	return doc, nil
}

// place returns file and line of a field, or of the nearest part of the document around it.
func (d fileDocument) place(field string) string {
	for at := field; at != ""; at = parentField(at) {
		path, err := yaml.PathString("$." + at)
		if err != nil {
			continue
		}
		node, err := path.FilterNode(d.node)
		if err == nil && node != nil {
			return fmt.Sprintf("%s:%d", d.file, node.GetToken().Position.Line)
		}
	}
	return fmt.Sprintf("%s:%d", d.file, firstLine(d.node))
}

func firstLine(node ast.Node) int {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return mapping.Values[0].Key.GetToken().Position.Line
	}
	return node.GetToken().Position.Line
}

func parentField(field string) string {
	cut := max(strings.LastIndex(field, "."), strings.LastIndex(field, "["))
	if cut < 0 {
		return ""
	}
	return field[:cut]
}

// describe returns the problems of a document as lines of file:line: path: reason.
func (d fileDocument) describe(problems settings.Problems) []string {
	var lines []string
	for _, p := range problems {
		field := "body"
		switch {
		case p.Path != d.Path:
			field = ""
		case p.Field != "":
			field = "body." + p.Field
		}
		lines = append(lines, d.place(field)+": "+p.String())
	}
	return lines
}

func yamlProblem(name string, err error) error {
	var parse yaml.Error
	if errors.As(err, &parse) && parse.GetToken() != nil {
		return fmt.Errorf("%s:%d: %s", name, parse.GetToken().Position.Line, parse.GetMessage())
	}
	return fmt.Errorf("%s: %s", name, bytes.TrimSpace([]byte(err.Error())))
}

// checkFiles checks documents offline against each other.
func checkFiles(documents []fileDocument) error {
	plain := make([]settings.Document, 0, len(documents))
	seen := make(map[string]fileDocument)
	var lines []string
	for _, d := range documents {
		if first, ok := seen[d.Path]; ok {
			lines = append(lines, fmt.Sprintf("%s: %s: is already in %s", d.place("path"), d.Path, first.place("path")))
		}
		seen[d.Path] = d
		plain = append(plain, d.Document)
	}
	for _, d := range documents {
		own := settings.CheckEdit(plain, d.Document)
		own = slices.DeleteFunc(own, func(p settings.Problem) bool { return p.Path != d.Path })
		lines = append(lines, d.describe(own)...)
	}
	if len(lines) > 0 {
		return badInput{errors.New(strings.Join(lines, "\n"))}
	}
	return nil
}
