package document

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Change is one difference between two documents.
type Change struct {
	Path string
	Old  string `json:",omitempty"`
	New  string `json:",omitempty"`
}

// Diff lists the differences from a to b, ordered by path. List entries that
// have a name are matched by it, so that reordering is no difference.
func Diff(a, b *Document) []Change {
	before, after := flatten(a), flatten(b)
	var changes []Change
	for path, v := range before {
		if w, ok := after[path]; !ok || w != v {
			changes = append(changes, Change{path, v, after[path]})
		}
	}
	for path, w := range after {
		if _, ok := before[path]; !ok {
			changes = append(changes, Change{Path: path, New: w})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes
}

// Dropped lists the services and teams that a has and b lacks.
func Dropped(a, b *Document) []string {
	var names []string
	for _, s := range a.Services {
		if _, ok := b.Service(s.Name); !ok {
			names = append(names, "Services["+s.Name+"]")
		}
	}
	for _, t := range a.Teams {
		if _, ok := b.Team(t.Name); !ok {
			names = append(names, "Teams["+t.Name+"]")
		}
	}
	return names
}

func flatten(d *Document) map[string]string {
	out := map[string]string{}
	if d == nil {
		return out
	}
	b, err := json.Marshal(d)
	if err != nil {
		return out
	}
	var raw any
	if err := json.Unmarshal(b, &raw); err != nil {
		return out
	}
	flattenInto(out, "", raw)
	return out
}

func flattenInto(out map[string]string, path string, raw any) {
	switch v := raw.(type) {
	case map[string]any:
		for name, e := range v {
			flattenInto(out, joinPath(path, name), e)
		}
	case []any:
		for i, e := range v {
			flattenInto(out, fmt.Sprintf("%s[%s]", path, entryName(e, i)), e)
		}
	default:
		out[path] = fmt.Sprint(v)
	}
}

func entryName(e any, i int) string {
	if m, ok := e.(map[string]any); ok {
		if name, ok := m["Name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}
