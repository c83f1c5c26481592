package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Environment variables that override the file.
const (
	// EnvHost overrides host, so that hosts of one kind can share a file.
	EnvHost = "GUAVATRESTLE_HOST"
	// EnvLogLevel overrides log_level.
	EnvLogLevel = "GUAVATRESTLE_LOG_LEVEL"
)

// Load reads, decodes and validates the file at path and applies the overrides from the environment.
func Load(path string) (Config, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Config{}, eris.Wrap(err, "read configuration file")
	}
	return ParseWithEnv(path, body, os.Getenv)
}

// Parse decodes and validates body without overrides. Error messages refer to the file as name.
func Parse(name string, body []byte) (Config, error) {
	return ParseWithEnv(name, body, func(string) string { return "" })
}

// ParseWithEnv decodes and validates body with the overrides that getenv returns. Unknown keys are errors. The error has one
// line per fault, in the form file:line: path: reason.
func ParseWithEnv(name string, body []byte, getenv func(string) string) (Config, error) {
	cfg := Default()
	agent, entry := DefaultAgent(), defaultEntry()
	cfg.Agent, cfg.Entry = &agent, &entry
	root, err := rootNode(body)
	if err != nil {
		return Config{}, locateError(name, err)
	}
	file := sourceFile{name: name, root: root}
	if faults := file.durationFaults("", reflect.TypeFor[Config]()); len(faults) > 0 {
		return Config{}, eris.New(strings.Join(faults, "\n"))
	}
	if err := yaml.NodeToValue(root, &cfg, yaml.DisallowUnknownField()); err != nil {
		return Config{}, locateError(name, err)
	}
	applyEnvironment(&cfg, getenv)
	faults := file.otherRoleFaults(cfg.Role)
	dropOtherRole(&cfg)
	faults = append(faults, file.ruleFaults(cfg)...)
	faults = append(faults, file.shutdownFaults(cfg)...)
	if len(faults) > 0 {
		return Config{}, eris.New(strings.Join(faults, "\n"))
	}
	return cfg, nil
}

func rootNode(body []byte) (ast.Node, error) {
	file, err := parser.ParseBytes(body, 0)
	if err != nil {
		return nil, err
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, eris.Errorf("want one YAML document, got %d", len(file.Docs))
	}
	return file.Docs[0].Body, nil
}

func applyEnvironment(cfg *Config, getenv func(string) string) {
	if host := getenv(EnvHost); host != "" {
		cfg.Host = core.HostID(host)
	}
	if level := getenv(EnvLogLevel); level != "" {
		cfg.LogLevel = level
	}
}

func dropOtherRole(cfg *Config) {
	switch cfg.Role {
	case core.RoleAgent:
		cfg.Entry = nil
	case core.RoleEntry:
		cfg.Agent = nil
	}
}

// sourceFile is a parsed file, in which the lines of settings can be looked up.
type sourceFile struct {
	name string
	root ast.Node
}

// otherRoleFaults reports a section for a role other than the process's own.
func (s sourceFile) otherRoleFaults(role core.Role) []string {
	for section, owner := range map[string]core.Role{"agent": core.RoleAgent, "entry": core.RoleEntry} {
		if _, ok := s.find(section); ok && role != owner {
			return []string{fmt.Sprintf("%s: %s: does not apply to role %q", s.position(section), section, role)}
		}
	}
	return nil
}

// durationFaults reports values of duration settings that time.ParseDuration rejects. The YAML library reports no line for
// them, and accepts a bare number as nanoseconds.
func (s sourceFile) durationFaults(prefix string, t reflect.Type) []string {
	var faults []string
	for i := range t.NumField() {
		fieldType, path := t.Field(i).Type, prefix+yamlKey(t.Field(i))
		if fieldType.Kind() == reflect.Pointer {
			fieldType = fieldType.Elem()
		}
		if fieldType.Kind() == reflect.Struct {
			faults = append(faults, s.durationFaults(path+".", fieldType)...)
			continue
		}
		node, ok := s.find(path)
		if fieldType != reflect.TypeFor[time.Duration]() || !ok {
			continue
		}
		if _, err := time.ParseDuration(node.GetToken().Value); err != nil {
			faults = append(faults, fmt.Sprintf("%s: %s: want a duration such as 1500ms", s.position(path), path))
		}
	}
	return faults
}

// shutdownFaults reports a shutdown timeout that is shorter than the request timeout, with which a shutdown would interrupt
// running requests.
func (s sourceFile) shutdownFaults(cfg Config) []string {
	if cfg.Entry == nil || cfg.ShutdownTimeout >= cfg.Entry.RequestTimeout {
		return nil
	}
	return []string{fmt.Sprintf("%s: shutdown_timeout: want at least entry.request_timeout, which is %s",
		s.position("shutdown_timeout"), cfg.Entry.RequestTimeout)}
}

func yamlKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return key
}

func (s sourceFile) ruleFaults(cfg Config) []string {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlKey)
	var failed validator.ValidationErrors
	if !errors.As(v.Struct(cfg), &failed) {
		return nil
	}
	var faults []string
	for _, f := range failed {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		faults = append(faults, fmt.Sprintf("%s: %s: %s", s.position(path), path, faultReason(f)))
	}
	return faults
}

func faultReason(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_if":
		return "is required"
	case "oneof":
		return "want one of " + strings.Join(strings.Fields(f.Param()), ", ")
	case "hostname_port":
		return "want host:port"
	case "url":
		return "want a URL"
	case "gt":
		return "want more than " + f.Param()
	case "gte", "min":
		return "want at least " + f.Param()
	case "max":
		return "want at most " + f.Param()
	case "len", "hexadecimal":
		return "want a BLAKE3-256 hash in 64 hexadecimal digits"
	default:
		return "violates the rule " + f.Tag()
	}
}

// position returns the file and line of a setting, or of the innermost enclosing section that the file has.
func (s sourceFile) position(path string) string {
	for at := path; at != ""; at = parentPath(at) {
		if node, ok := s.find(at); ok {
			return fmt.Sprintf("%s:%d", s.name, node.GetToken().Position.Line)
		}
	}
	return s.name + ":1"
}

func (s sourceFile) find(path string) (ast.Node, bool) {
	query, err := yaml.PathString("$." + path)
	if err != nil {
		return nil, false
	}
	node, err := query.FilterNode(s.root)
	return node, err == nil && node != nil
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func locateError(name string, err error) error {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		if token := yamlErr.GetToken(); token != nil && token.Position != nil {
			return eris.Errorf("%s:%d: %s: %s", name, token.Position.Line, token.Value, yamlErr.GetMessage())
		}
	}
	return eris.Errorf("%s: %s", name, strings.TrimSpace(err.Error()))
}
