package worker

import (
	"testing"

	"guavayoke/pkg/document"
)

func TestRouterFindsLongestPrefix(t *testing.T) {
	r := NewRouter(1, &document.Document{Queues: []document.Queue{
		{Name: "short", Host: "A.example", PathPrefix: "/jobs/"},
		{Name: "long", Host: "a.example", PathPrefix: "/jobs/more/"},
		{Name: "other", Host: "b.example", PathPrefix: "/jobs/"},
	}})
	tests := map[string]struct{ host, path, want string }{
		"Short":       {"a.example", "/jobs/1", "short"},
		"Long":        {"a.example", "/jobs/more/1", "long"},
		"HostCase":    {"A.Example", "/jobs/1", "short"},
		"HostPort":    {"b.example:80", "/jobs/1", "other"},
		"UnknownHost": {"c.example", "/jobs/1", ""},
		"UnknownPath": {"a.example", "/job", ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			q, ok := r.Find(c.host, c.path)
			if q.Name != c.want || ok != (c.want != "") {
				t.Errorf("Find returns queue %q, want %q", q.Name, c.want)
			}
		})
	}
}
