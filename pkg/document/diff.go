package document

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Change is one difference between two documents. Old or New is empty if only the
// other document has the path.
type Change struct {
	Path string
	Old  string `json:",omitempty"`
	New  string `json:",omitempty"`
}

// Diff returns the differences from a to b, sorted by path. List entries that have a
// name are matched by name, so that their order makes no difference.
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

// Dropped returns the services and teams that are in a but not in b.
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

// flatten returns the values of all fields of d, by path. A nil d has none.
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

// entryName returns the name of the list entry e, or its index i if it has none.
func entryName(e any, i int) string {
	if m, ok := e.(map[string]any); ok {
		if name, ok := m["Name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}
