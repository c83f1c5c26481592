package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Change is one difference between two bodies. From or To is empty if the body lacks the field.
type Change struct {
	Field string          `json:"field"`
	From  json.RawMessage `json:"from,omitempty"`
	To    json.RawMessage `json:"to,omitempty"`
}

// Diff returns the differences between two bodies, ordered by field.
func Diff(from, to json.RawMessage) []Change {
	var a, b any
	_ = json.Unmarshal(from, &a)
	_ = json.Unmarshal(to, &b)
	return diffValues("", a, b)
}

func diffValues(field string, a, b any) []Change {
	if reflect.DeepEqual(a, b) {
		return nil
	}
	objectA, okA := a.(map[string]any)
	objectB, okB := b.(map[string]any)
	if okA && okB {
		return diffObjects(field, objectA, objectB)
	}
	listA, okA := a.([]any)
	listB, okB := b.([]any)
	if okA && okB && len(listA) == len(listB) {
		var changes []Change
		for i := range listA {
			changes = append(changes, diffValues(fmt.Sprintf("%s[%d]", field, i), listA[i], listB[i])...)
		}
		return changes
	}
	return []Change{{Field: field, From: encodeValue(a), To: encodeValue(b)}}
}

func diffObjects(field string, a, b map[string]any) []Change {
	keys := maps.Clone(a)
	maps.Copy(keys, b)
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		changes = append(changes, diffValues(joinField(field, key), a[key], b[key])...)
	}
	return changes
}

func encodeValue(value any) json.RawMessage {
	if value == nil {
		return nil
	}
	body, _ := json.Marshal(value)
	return body
}
