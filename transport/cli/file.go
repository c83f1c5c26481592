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

// stdinName is the file name that stands for standard input.
const stdinName = "-"

// envelope is the YAML form of one document in a settings file.
type envelope struct {
	Path string `yaml:"path"`
	// BaseVersion is the version that the edit is based on; 0 means that the path must be new or retired.
	BaseVersion uint64         `yaml:"base_version"`
	Body        map[string]any `yaml:"body"`
}

// fileDocument is a document and its position in a file.
type fileDocument struct {
	settings.Document
	baseVersion uint64
	file        string
	node        ast.Node
}

// readFiles reads all documents in the files and sorts them so that a document follows those that it refers to.
func (a *app) readFiles(names []string) ([]fileDocument, error) {
	var all []fileDocument
	var errs []error
	for _, name := range expandDirectories(names) {
		documents, err := a.readFile(name)
		all = append(all, documents...)
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, inputError{err}
	}
	if len(all) == 0 {
		return nil, inputError{fmt.Errorf("%s: no settings documents found", strings.Join(names, ", "))}
	}
	slices.SortStableFunc(all, func(a, b fileDocument) int { return cmp.Compare(applyRank(a.Path), applyRank(b.Path)) })
	return all, nil
}

// expandDirectories replaces each directory with the YAML files in it, sorted by name.
func expandDirectories(names []string) []string {
	var files []string
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil || !info.IsDir() {
			files = append(files, name)
			continue
		}
		// The pattern is constant, so Glob reports no error for it.
		matches, _ := filepath.Glob(filepath.Join(name, "*.yaml"))
		files = append(files, matches...)
	}
	return files
}

// applyRank orders failure domains before upstreams before teams, because teams refer to both.
func applyRank(path string) int {
	prefixes := []string{settings.FailureDomainPrefix, settings.UpstreamPrefix, settings.TeamPrefix}
	return slices.IndexFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

func (a *app) readFile(name string) ([]fileDocument, error) {
	body, err := a.readInput(name)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	file, err := parser.ParseBytes(body, 0)
	if err != nil {
		return nil, yamlError(name, err)
	}
	var documents []fileDocument
	var errs []error
	for _, yamlDoc := range file.Docs {
		if yamlDoc.Body == nil {
			continue
		}
		doc, err := decodeDocument(name, yamlDoc.Body)
		documents = append(documents, doc)
		errs = append(errs, err)
	}
	return documents, errors.Join(errs...)
}

func (a *app) readInput(name string) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(a.In)
	}
	return os.ReadFile(name)
}

func decodeDocument(name string, node ast.Node) (fileDocument, error) {
	var e envelope
	err := yaml.NodeToValue(node, &e, yaml.DisallowUnknownField())
	if err != nil {
		return fileDocument{}, yamlError(name, err)
	}
	doc := fileDocument{baseVersion: e.BaseVersion, file: name, node: node}
	doc.Path, doc.Version = e.Path, e.BaseVersion+1
	if e.Body == nil {
		return doc, fmt.Errorf("%s: %s: body: is required", doc.position("body"), e.Path)
	}
	doc.Body, err = json.Marshal(e.Body)
	if err != nil {
		return doc, fmt.Errorf("%s: %s: body: %w", doc.position("body"), e.Path, err)
	}
	return doc, nil
}

// position returns file:line of a field, or of the nearest enclosing field that the document contains.
func (d fileDocument) position(field string) string {
	for candidate := field; candidate != ""; candidate = parentField(candidate) {
		path, err := yaml.PathString("$." + candidate)
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
	end := max(strings.LastIndex(field, "."), strings.LastIndex(field, "["))
	if end < 0 {
		return ""
	}
	return field[:end]
}

// formatProblems returns the problems of a document as lines of the form file:line: path: reason.
func (d fileDocument) formatProblems(problems settings.Problems) []string {
	var lines []string
	for _, p := range problems {
		field := "body"
		switch {
		case p.Path != d.Path:
			field = ""
		case p.Field != "":
			field = "body." + p.Field
		}
		lines = append(lines, d.position(field)+": "+p.String())
	}
	return lines
}

func yamlError(name string, err error) error {
	var parseErr yaml.Error
	if errors.As(err, &parseErr) && parseErr.GetToken() != nil {
		return fmt.Errorf("%s:%d: %s", name, parseErr.GetToken().Position.Line, parseErr.GetMessage())
	}
	return fmt.Errorf("%s: %s", name, bytes.TrimSpace([]byte(err.Error())))
}

// checkDocuments checks each document and the references between them offline.
func checkDocuments(documents []fileDocument) error {
	edits := make([]settings.Document, 0, len(documents))
	seen := make(map[string]fileDocument)
	var lines []string
	for _, d := range documents {
		if first, ok := seen[d.Path]; ok {
			lines = append(lines, fmt.Sprintf("%s: %s: duplicate path, also at %s", d.position("path"), d.Path, first.position("path")))
		}
		seen[d.Path] = d
		edits = append(edits, d.Document)
	}
	for _, d := range documents {
		problems := settings.CheckEdit(edits, d.Document)
		problems = slices.DeleteFunc(problems, func(p settings.Problem) bool { return p.Path != d.Path })
		lines = append(lines, d.formatProblems(problems)...)
	}
	if len(lines) > 0 {
		return inputError{errors.New(strings.Join(lines, "\n"))}
	}
	return nil
}
