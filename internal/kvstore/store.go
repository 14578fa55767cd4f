// Package kvstore is the client of the platform's key-value store, and implements
// what depends on the store: claims of submissions, the accepted configuration,
// the list of hosts and the registration of this host in it.
//
// NewStore returns the Store that speaks the product's own protocol. For the users'
// platform, the adapter in the repository's folder platform supplies another Store.
package kvstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"reflect"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// VersionHeader is the response header with the version of a value.
const VersionHeader = "Version"

// ExpectHeader is the request header with the version that a write replaces; 0
// means a new key.
const ExpectHeader = "Expect-Version"

// Value is the value of a key and its version, which every write increases. Version
// 0 means that the key has never been written.
type Value struct {
	Version uint64
	Data    []byte
	// Evacuations is what the same call has read of the evacuations, nil if it read
	// nothing of them. Only reads and watches of the configuration set it.
	Evacuations *Evacuations
}

// Store is a client of the platform's key-value store. Its fields are functions so
// that there can be several implementations, such as fakes in tests.
type Store struct {
	// Get returns the value of a key.
	Get func(ctx context.Context, key string) (Value, error)
	// Put replaces the value of a key if its version is expect. It returns the
	// new version, or a *ConflictError if the key has another version. After any
	// other error the write may have been applied or may be applied later.
	Put func(ctx context.Context, key string, expect uint64, data []byte) (uint64, error)
	// Watch waits until the version of key is above after, but no longer than
	// wait. It returns the value of the key, or a Value that has only the version
	// after if the key has not changed.
	Watch func(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
	// Hosts returns the platform's list of hosts, which may be out of date. If the
	// version of the list is known, the result says only that it is unchanged.
	Hosts func(ctx context.Context, known uint64) (HostList, error)
	// Register adds h to the list of hosts, or renews its lease there, for ttl.
	Register func(ctx context.Context, h Host, ttl time.Duration) error
}

// ConflictError reports that a compare-and-swap failed because the key had another
// version than the expected one.
type ConflictError struct {
	Key                             string
	ExpectedVersion, CurrentVersion uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s has version %d instead of the expected version %d", e.Key, e.CurrentVersion, e.ExpectedVersion)
}

// StatusError reports a response of the platform with an unexpected HTTP status.
// Key is the key or the host of the call, if it has one.
type StatusError struct {
	Op, Key string
	Status  int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform %s %s: status %d", e.Op, e.Key, e.Status)
}

// HostKind is the kind of a host: an entry host, which runs this daemon, or a
// backend server.
type HostKind string

// The kinds of hosts in the platform's list.
const (
	EntryHost     HostKind = "Entry"
	BackendServer HostKind = "Backend"
	// InvalidServer is a backend server whose entry names none that may be used, since
	// another program has written it. Only its Name is known.
	InvalidServer HostKind = "InvalidBackend"
)

// Host is an entry of the platform's list of hosts.
type Host struct {
	Name          string
	Kind          HostKind
	Address       string
	Service       string
	FailureDomain string
	Region        string
	// Leaving reports whether the host has been told to stop.
	Leaving bool
	// CPUMilli (thousandths of a core), MemoryMB and GPUs are the capacity of a
	// backend server that runs tasks under leases. They are 0 for a server whose
	// capacity is counted in slots. CPUMilli of an entry host is the processor time
	// that its daemon may use, 0 if not known.
	CPUMilli int `json:",omitempty"`
	MemoryMB int `json:",omitempty"`
	GPUs     int `json:",omitempty"`
	// Labels hold the kind and the rack of a backend server.
	Labels []string `json:",omitempty"`
	// StartedAtMs is the Unix time in milliseconds at which the incarnation of the backend
	// server that wrote the entry started, 0 if the entry doesn't say so.
	StartedAtMs int64 `json:",omitempty"`
}

// Equal reports whether h and o are equal. Nil and empty labels are equal.
func (h Host) Equal(o Host) bool {
	labels := slices.Equal(h.Labels, o.Labels)
	h.Labels, o.Labels = nil, nil
	return labels && reflect.DeepEqual(h, o)
}

// HostList is a version of the platform's list of hosts. Unchanged reports whether
// the caller of Store.Hosts knows this version already; Hosts is then empty.
type HostList struct {
	Version   uint64
	Unchanged bool
	Hosts     []Host
}

// httpStore implements the functions of a Store over HTTP.
type httpStore struct {
	addresses    []string
	addressIndex atomic.Uint32
	timeout      time.Duration
	client       *fasthttp.Client
	onCall       func(op string)
}

// StoreConfig holds the parameters of NewStore.
type StoreConfig struct {
	// Addresses are the platform's addresses. The store uses one until a call
	// fails, and then the next one.
	Addresses []string
	// Timeout is the timeout of each call. A watch may take longer, by its wait.
	Timeout time.Duration
	// OnCall, if set, is called with the operation of each call, such as "Get".
	OnCall func(op string)
}

// NewStore returns a Store that calls the platform over HTTP. It doesn't retry calls.
func NewStore(c StoreConfig) *Store {
	if c.OnCall == nil {
		c.OnCall = func(string) {}
	}
	h := &httpStore{
		addresses: c.Addresses,
		timeout:   c.Timeout,
		onCall:    c.OnCall,
		client: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxResponseBodySize:       2 << 20,
		},
	}
	return &Store{Get: h.get, Put: h.put, Watch: h.watch, Hosts: h.hosts, Register: h.register}
}

// request is an HTTP request to the platform.
type request struct {
	op, method, path string
	expect           *uint64
	body             []byte
	timeout          time.Duration
}

// response is an HTTP response of the platform.
type response struct {
	status  int
	version uint64
	body    []byte
}

// do sends a request and returns the response, whatever its status. After an error
// the next call uses the next address.
func (h *httpStore) do(ctx context.Context, r request) (response, error) {
	h.onCall(r.op)
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	address := h.addresses[int(h.addressIndex.Load())%len(h.addresses)]
	req.SetRequestURI("http://" + address + r.path)
	req.Header.SetMethod(r.method)
	if r.expect != nil {
		req.Header.Set(ExpectHeader, strconv.FormatUint(*r.expect, 10))
	}
	req.SetBodyRaw(r.body)
	deadline := time.Now().Add(r.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := h.client.DoDeadline(req, res, deadline); err != nil {
		h.addressIndex.Add(1)
		return response{}, fmt.Errorf("platform %s: %w", r.op, err)
	}
	version, _ := strconv.ParseUint(string(res.Header.Peek(VersionHeader)), 10, 64)
	return response{res.StatusCode(), version, append([]byte(nil), res.Body()...)}, nil
}

// keyPath returns the URL path of a key.
func keyPath(key string) string { return "/v1/keys/" + url.PathEscape(key) }

func (h *httpStore) get(ctx context.Context, key string) (Value, error) {
	r, err := h.do(ctx, request{op: "Get", method: "GET", path: keyPath(key), timeout: h.timeout})
	if err != nil {
		return Value{}, err
	}
	switch r.status {
	case fasthttp.StatusOK:
		return Value{Version: r.version, Data: r.body}, nil
	case fasthttp.StatusNotFound:
		return Value{}, nil
	}
	return Value{}, &StatusError{"Get", key, r.status}
}

func (h *httpStore) put(ctx context.Context, key string, expect uint64, data []byte) (uint64, error) {
	r, err := h.do(ctx, request{op: "Put", method: "PUT", path: keyPath(key), expect: &expect, body: data, timeout: h.timeout})
	if err != nil {
		return 0, err
	}
	switch r.status {
	case fasthttp.StatusOK:
		return r.version, nil
	case fasthttp.StatusConflict:
		return 0, &ConflictError{key, expect, r.version}
	}
	return 0, &StatusError{"Put", key, r.status}
}

func (h *httpStore) watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	path := fmt.Sprintf("/v1/watch/%s?After=%d&WaitMs=%d", url.PathEscape(key), after, wait.Milliseconds())
	r, err := h.do(ctx, request{op: "Watch", method: "GET", path: path, timeout: wait + h.timeout})
	if err != nil {
		return Value{}, err
	}
	switch r.status {
	case fasthttp.StatusOK:
		return Value{Version: r.version, Data: r.body}, nil
	case fasthttp.StatusNotModified:
		return Value{Version: after}, nil
	}
	return Value{}, &StatusError{"Watch", key, r.status}
}

func (h *httpStore) hosts(ctx context.Context, known uint64) (HostList, error) {
	path := fmt.Sprintf("/v1/hosts?Known=%d", known)
	r, err := h.do(ctx, request{op: "Hosts", method: "GET", path: path, timeout: h.timeout})
	if err != nil {
		return HostList{}, err
	}
	if r.status == fasthttp.StatusNotModified {
		return HostList{Version: known, Unchanged: true}, nil
	}
	if r.status != fasthttp.StatusOK {
		return HostList{}, &StatusError{"Hosts", "", r.status}
	}
	list := HostList{Version: r.version}
	var raw []json.RawMessage
	if err := json.Unmarshal(r.body, &raw); err != nil {
		return HostList{}, fmt.Errorf("platform host list: %w", err)
	}
	list.Hosts = make([]Host, len(raw))
	for i, b := range raw {
		if err := json.Unmarshal(b, &list.Hosts[i]); err != nil {
			// A host that can't be decoded is listed like one out of bounds.
			list.Hosts[i] = Host{Name: list.Hosts[i].Name}
		}
	}
	list.dropInvalid()
	return list, nil
}

func (h *httpStore) register(ctx context.Context, host Host, ttl time.Duration) error {
	body, err := json.Marshal(host)
	if err != nil {
		return fmt.Errorf("encode host: %w", err)
	}
	path := fmt.Sprintf("/v1/hosts/%s?TTLMs=%d", url.PathEscape(host.Name), ttl.Milliseconds())
	r, err := h.do(ctx, request{op: "Register", method: "PUT", path: path, body: body, timeout: h.timeout})
	if err != nil {
		return err
	}
	if r.status != fasthttp.StatusOK {
		return &StatusError{"Register", host.Name, r.status}
	}
	return nil
}
