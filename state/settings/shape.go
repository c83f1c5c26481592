package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
)

// maxInteger is the largest integer that a JSON number holds exactly.
const maxInteger = 1 << 53

// shapeProblems returns a problem for every key of value that type t lacks and for every value of the wrong JSON type.
//
// encoding/json can't do this: it stops at the first unknown key and ignores the case of keys.
func shapeProblems(path, field string, value any, t reflect.Type) Problems {
	switch t.Kind() {
	case reflect.Pointer:
		if value == nil {
			return nil
		}
		return shapeProblems(path, field, value, t.Elem())
	case reflect.Struct:
		return objectProblems(path, field, value, t)
	case reflect.Slice:
		return arrayProblems(path, field, value, t)
	default:
		if reason := scalarProblem(value, t); reason != "" {
			return Problems{{Path: path, Field: field, Reason: reason}}
		}
		return nil
	}
}

func objectProblems(path, field string, value any, t reflect.Type) Problems {
	object, ok := value.(map[string]any)
	if !ok {
		return Problems{{Path: path, Field: field, Reason: "want an object, got " + jsonType(value)}}
	}
	fieldTypes := make(map[string]reflect.Type)
	for i := range t.NumField() {
		fieldTypes[jsonName(t.Field(i))] = t.Field(i).Type
	}
	var problems Problems
	for key, item := range object {
		name := joinField(field, key)
		fieldType, ok := fieldTypes[key]
		if !ok {
			problems = append(problems, Problem{Path: path, Field: name, Reason: "unknown key"})
			continue
		}
		problems = append(problems, shapeProblems(path, name, item, fieldType)...)
	}
	return problems
}

func arrayProblems(path, field string, value any, t reflect.Type) Problems {
	if value == nil {
		return nil
	}
	items, ok := value.([]any)
	if !ok {
		return Problems{{Path: path, Field: field, Reason: "want a list, got " + jsonType(value)}}
	}
	var problems Problems
	for i, item := range items {
		problems = append(problems, shapeProblems(path, fmt.Sprintf("%s[%d]", field, i), item, t.Elem())...)
	}
	return problems
}

func scalarProblem(value any, t reflect.Type) string {
	want, ok := "", false
	switch t.Kind() {
	case reflect.String:
		want = "a string"
		_, ok = value.(string)
	case reflect.Bool:
		want = "true or false"
		_, ok = value.(bool)
	case reflect.Int, reflect.Int64:
		want = "an integer"
		var number float64
		number, ok = value.(float64)
		ok = ok && number == math.Trunc(number) && math.Abs(number) <= maxInteger
	default:
		want = "a number"
		_, ok = value.(float64)
	}
	if ok {
		return ""
	}
	return "want " + want + ", got " + jsonType(value)
}

func jsonType(value any) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a string"
	case bool:
		return fmt.Sprint(v)
	default:
		body, _ := json.Marshal(v)
		return string(body)
	}
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func joinField(field, key string) string {
	return strings.Join(slices.DeleteFunc([]string{field, key}, func(s string) bool { return s == "" }), ".")
}
