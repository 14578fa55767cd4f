package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store. It loses nothing and answers at once.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeEvent
	leases   map[uint64]storeLease
	last     uint64
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type storeEvent struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	return &store{revision: 100, items: map[string]storeItem{}, leases: map[uint64]storeLease{}, changed: make(chan struct{})}
}

// put writes a key as the operator or an executor does. A ttl above 0 removes it after that time
// unless it is written again.
func (s *store) put(key string, value any, ttl time.Duration) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := uint64(0)
	if ttl > 0 {
		s.last++
		lease = s.last
		s.leases[lease] = storeLease{ttl, time.Now().Add(ttl)}
	}
	s.write(key, b, lease)
}

// write, drop and expire are called with mu held.
func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	it := storeItem{key, value, s.revision, s.revision, lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.event(storeEvent{Key: key, Value: value, Revision: s.revision})
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.event(storeEvent{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) event(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for key, it := range s.items {
			if it.Lease == id {
				s.drop(key)
			}
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	s.expire()
	switch path := strings.TrimPrefix(r.URL.Path, "/guavayoke/"); {
	case path == "kv-watch":
		s.mu.Unlock()
		s.watch(w, r)
		return
	case path == "kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			break
		}
		reply(w, http.StatusOK, struct {
			storeItem
			CurrentRev uint64 `json:"current-rev"`
		}{it, s.revision})
	case path == "kv-range":
		list := []storeItem{}
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				list = append(list, it)
			}
		}
		slices.SortFunc(list, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
		reply(w, http.StatusOK, map[string]any{"items": list, "more-pages": false, "current-rev": s.revision})
	case path == "kv-txn":
		s.txn(w, r)
	case path == "kv-lease":
		var b struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		ttl := time.Duration(max(b.TTL, 1000)) * time.Millisecond
		s.last++
		s.leases[s.last] = storeLease{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]any{"lease": s.last, "ttl-ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
		_, text, _ := strings.Cut(path, "/")
		id, _ := strconv.ParseUint(text, 10, 64)
		l, ok := s.leases[id]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			break
		}
		l.end = time.Now().Add(l.ttl)
		if strings.HasPrefix(path, "kv-lease-end/") {
			l.end = time.Time{}
		}
		s.leases[id] = l
		s.expire()
		reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	s.mu.Unlock()
}

// txn is called with mu held.
func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect-rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range b.Expect {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{s.items[e.Key]}})
			return
		}
	}
	for _, p := range b.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, p := range b.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range b.Remove {
		s.drop(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	until := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		events := []storeEvent{}
		s.mu.Lock()
		s.expire()
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-time.After(200 * time.Millisecond): // A lease may have ended.
				continue
			case <-r.Context().Done():
				return
			case <-until:
				over = true
			}
		}
		if over || len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
	}
}
