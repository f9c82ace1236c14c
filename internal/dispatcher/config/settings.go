package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// flatten writes nested settings as the path=value lines that simadapter reads. The objects of a list are written under
// their indices, and the length of the list under count. Any other list is written as one value.
func flatten(out *strings.Builder, path string, v any) {
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for k, e := range v {
			flatten(out, joinPath(path, k), e)
		}
	case []any:
		if slices.ContainsFunc(v, isObject) {
			fmt.Fprintf(out, "%s=%d\n", joinPath(path, "count"), len(v))
			for i, e := range v {
				flatten(out, joinPath(path, strconv.Itoa(i)), e)
			}
			return
		}
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = plainText(e)
		}
		fmt.Fprintf(out, "%s=%s\n", path, strings.Join(parts, ","))
	default:
		fmt.Fprintf(out, "%s=%s\n", path, plainText(v))
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func isObject(v any) bool {
	_, ok := v.(map[string]any)
	return ok
}

// plainText formats a value without the characters that separate lines and list items.
func plainText(v any) string {
	return strings.NewReplacer(" ", "_", ",", "_", "\n", "_").Replace(fmt.Sprint(v))
}

// stringList formats each value of a list as a string.
func stringList(v any) (out []string) {
	list, _ := v.([]any)
	for _, e := range list {
		out = append(out, fmt.Sprint(e))
	}
	return out
}

// objectNames returns the names of the objects in the list at key. Each object needs a unique name.
func objectNames(settings map[string]any, key string) (out []string, err error) {
	list, _ := settings[key].([]any)
	for i, e := range list {
		object, _ := e.(map[string]any)
		name, _ := object["name"].(string)
		if name == "" || slices.Contains(out, name) {
			return nil, fmt.Errorf("setting %s.%d.name: %q is missing or double", key, i, name)
		}
		out = append(out, name)
	}
	return out, nil
}

// durationSetting returns the duration in nanoseconds at a path of nested settings. If there is no number between 0 and
// an hour, it returns fallback.
func durationSetting(settings any, fallback time.Duration, path ...string) time.Duration {
	for _, key := range path {
		object, _ := settings.(map[string]any)
		settings = object[key]
	}
	if n, ok := settings.(json.Number); ok {
		if f, err := n.Float64(); err == nil && f > 0 && f < float64(time.Hour) {
			return time.Duration(f)
		}
	}
	return fallback
}
