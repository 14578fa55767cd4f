package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the platform's store, as PROTOCOL.md describes it.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu      sync.Mutex
	items   map[string]storeItem
	events  []storeItem
	rev     uint64
	leases  map[uint64]*storeLease
	lastID  uint64
	changed chan struct{}
}

func newStore() (*store, error) {
	s := &store{items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), rev: 1}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s, nil
}

// put writes a key as the operator or an executor does, without a lease of the store.
func (s *store) put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, b, 0)
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// write and remove are called with mu held.
func (s *store) write(key string, value []byte, lease uint64) {
	s.rev++
	it := storeItem{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.note(it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.note(storeItem{Key: key, Revision: s.rev, Deleted: true})
}

func (s *store) note(e storeItem) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	// An answer of the store takes 4 ms, as the sheets say.
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/guavayoke/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, struct {
			storeItem
			CurrentRev uint64 `json:"current-rev"`
		}{it, rev})
	case path == "/guavayoke/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/guavayoke/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(min(wait, 30000))*time.Millisecond)
	case path == "/guavayoke/kv-txn":
		s.serveTxn(w, r)
	case path == "/guavayoke/kv-lease":
		var b struct {
			TTLMs int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&b) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ttl := max(time.Duration(b.TTLMs)*time.Millisecond, time.Second)
		s.mu.Lock()
		s.lastID++
		id := s.lastID
		s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/guavayoke/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/guavayoke/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.until = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/guavayoke/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/guavayoke/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, 200, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	list := []storeItem{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > 500
	reply(w, 200, map[string]any{"items": list[:min(len(list), 500)], "more-pages": more, "current-rev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	until := time.Now().Add(wait)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(until) {
			reply(w, 200, map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectRev []struct {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.ExpectRev {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{s.items[e.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	reply(w, 200, map[string]any{"revision": s.rev})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
