package httpserver

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"guavayoke/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// TestAccountKeepsLimits checks the rules of account.go against a list of the connections.
func TestAccountKeepsLimits(t *testing.T) {
	const connectionBytes = 10
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: rapid.IntRange(1, 8).Draw(t, "connections"), Bytes: rapid.Int64Range(20, 4*ordinaryBytes).Draw(t, "bytes")}
		a := newAccount(limits, connectionBytes)
		// The connections in order of the time since which they keep the process waiting.
		var incomplete, complete, idle []*entry
		forget := func(gone ...*entry) {
			for _, l := range []*[]*entry{&incomplete, &complete, &idle} {
				*l = slices.DeleteFunc(*l, func(e *entry) bool { return slices.Contains(gone, e) })
			}
		}
		draw := func(t *rapid.T) *entry {
			all := slices.Concat(incomplete, complete, idle)
			if len(all) == 0 {
				t.Skip("no connection")
			}
			return rapid.SampledFrom(all).Draw(t, "connection")
		}
		expectOrder := func(t *rapid.T, displaced []*entry, by *entry) {
			for _, e := range displaced {
				candidates := slices.Concat(incomplete, idle)
				if len(incomplete) > 0 && incomplete[0] == by {
					candidates = idle
				}
				if len(candidates) == 0 || candidates[0] != e {
					t.Fatal("another connection was closed than the one that has kept the process waiting for longest")
				}
				forget(e)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"Open": func(t *rapid.T) {
				e := &entry{}
				displaced, ok := a.open(e)
				expectOrder(t, displaced, nil)
				if ok {
					incomplete = append(incomplete, e)
				} else if len(incomplete)+len(idle) > 0 {
					t.Fatal("a connection was refused though another one could be closed")
				}
			},
			"Charge": func(t *rapid.T) {
				e := draw(t)
				bytes := rapid.Int64Range(0, 2*ordinaryBytes).Draw(t, "request")
				before := e.request
				displaced, ok := a.charge(e, bytes)
				expectOrder(t, displaced, e)
				_, used := a.usage()
				switch {
				case !ok && e.request != before:
					t.Fatal("a refused charge has changed the cost")
				case !ok && bytes <= before:
					t.Fatal("a lower cost was refused")
				case ok && bytes > before && bytes > ordinaryBytes && used > limits.Bytes-limits.Bytes/4:
					t.Fatal("a large request has used the part of others")
				}
			},
			"Complete": func(t *rapid.T) {
				e := draw(t)
				a.complete(e)
				forget(e)
				complete = append(complete, e)
			},
			"Answer": func(t *rapid.T) {
				e := draw(t)
				a.answer(e)
				forget(e)
				incomplete = append(incomplete, e)
			},
			"Begin": func(t *rapid.T) {
				e := draw(t)
				a.begin(e)
				if !slices.Contains(incomplete, e) {
					forget(e)
					incomplete = append(incomplete, e)
				}
			},
			"Rest": func(t *rapid.T) {
				e := draw(t)
				a.rest(e)
				forget(e)
				idle = append(idle, e)
			},
			"End": func(t *rapid.T) {
				e := draw(t)
				a.end(e)
				a.end(e)
				forget(e)
			},
			"": func(t *rapid.T) {
				all := slices.Concat(incomplete, complete, idle)
				sum := int64(connectionBytes * len(all))
				for _, e := range all {
					sum += e.request
				}
				open, used := a.usage()
				if open != len(all) || used != sum {
					t.Fatalf("%d connections cost %d, counted are %d and %d", len(all), sum, open, used)
				}
				if open > limits.Connections || used > limits.Bytes {
					t.Fatalf("%d connections cost %d, the limits are %+v", open, used, limits)
				}
			},
		})
	})
}
