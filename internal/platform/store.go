// Package platform talks to the platform's key-value service and decides what
// depends on it: claims of submissions, the configuration in force and the
// list of hosts.
package platform

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

// VersionHeader carries the version of a value, in answers.
const VersionHeader = "Version"

// ExpectHeader carries the version that a write replaces, 0 for a new key.
const ExpectHeader = "Expect-Version"

// Value is a value of the store with its version. Version 0 means that the
// key has never been written.
type Value struct {
	Version uint64
	Data    []byte
}

// Store is the platform's key-value service. The fields are seams: tests put
// their own functions there.
type Store struct {
	// Get reads a key.
	Get func(ctx context.Context, key string) (Value, error)
	// Put replaces the value of a key if its version is expect. It returns
	// the new version, or a *ConflictError if the version differs. Any other
	// error leaves open whether the change has taken effect.
	Put func(ctx context.Context, key string, expect uint64, data []byte) (uint64, error)
	// Watch waits until the version of key is above after, or until wait has
	// passed, and returns the value that it then has.
	Watch func(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
	// Hosts returns the platform's list of hosts, which lags behind, if its
	// version is not the one given.
	Hosts func(ctx context.Context, known uint64) (HostList, error)
	// Register renews the lease of a host in the list for ttl.
	Register func(ctx context.Context, h Host, ttl time.Duration) error
}

// ConflictError reports that a compare-and-swap met another version.
type ConflictError struct {
	Key                             string
	ExpectedVersion, CurrentVersion uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s: version is %d, not %d", e.Key, e.CurrentVersion, e.ExpectedVersion)
}

// StatusError reports an unexpected answer of the platform.
type StatusError struct {
	Op, Key string
	Status  int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform %s %s: status %d", e.Op, e.Key, e.Status)
}

// HostKind tells entry hosts from backend servers.
type HostKind string

// The kinds of hosts in the platform's list.
const (
	EntryHost     HostKind = "Entry"
	BackendServer HostKind = "Backend"
)

// Host is one entry of the platform's list of hosts.
type Host struct {
	Name          string
	Kind          HostKind
	Address       string
	Service       string
	FailureDomain string
	Region        string
	// Leaving is set once the host has been told to stop.
	Leaving bool
	// CPUMilli (thousandths of a core), MemoryMB and GPUs are the capacity of a
	// backend server that runs tasks under leases; 0 where slots are counted.
	CPUMilli int `json:",omitempty"`
	MemoryMB int `json:",omitempty"`
	GPUs     int `json:",omitempty"`
	// Labels hold the kind and the rack of a backend server.
	Labels []string `json:",omitempty"`
}

// Equal reports whether two entries say the same.
func (h Host) Equal(o Host) bool {
	labels := slices.Equal(h.Labels, o.Labels)
	h.Labels, o.Labels = nil, nil
	return labels && reflect.DeepEqual(h, o)
}

// HostList is the platform's list of hosts. Unchanged means that the version
// is the one asked about and that Hosts is empty.
type HostList struct {
	Version   uint64
	Unchanged bool
	Hosts     []Host
}

// httpStore is the store over HTTP.
type httpStore struct {
	addresses    []string
	addressIndex atomic.Uint32
	timeout      time.Duration
	client       *fasthttp.Client
	onCall       func(op string)
}

// StoreConfig builds a Store over HTTP.
type StoreConfig struct {
	// Addresses are the platform's addresses, used in turn after failures.
	Addresses []string
	// Timeout bounds each call but watches.
	Timeout time.Duration
	// OnCall is told the kind of each call made; nil means nobody counts.
	OnCall func(op string)
}

// NewStore returns the platform's service reached over HTTP.
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

// request is one HTTP exchange with the platform.
type request struct {
	op, method, path string
	expect           *uint64
	body             []byte
	timeout          time.Duration
}

// response is what an exchange returned.
type response struct {
	status  int
	version uint64
	body    []byte
}

func (h *httpStore) do(ctx context.Context, c request) (response, error) {
	h.onCall(c.op)
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	address := h.addresses[int(h.addressIndex.Load())%len(h.addresses)]
	req.SetRequestURI("http://" + address + c.path)
	req.Header.SetMethod(c.method)
	if c.expect != nil {
		req.Header.Set(ExpectHeader, strconv.FormatUint(*c.expect, 10))
	}
	req.SetBodyRaw(c.body)
	deadline := time.Now().Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := h.client.DoDeadline(req, res, deadline); err != nil {
		h.addressIndex.Add(1)
		return response{}, fmt.Errorf("platform %s: %w", c.op, err)
	}
	version, _ := strconv.ParseUint(string(res.Header.Peek(VersionHeader)), 10, 64)
	return response{res.StatusCode(), version, append([]byte(nil), res.Body()...)}, nil
}

func keyPath(key string) string { return "/v1/keys/" + url.PathEscape(key) }

func (h *httpStore) get(ctx context.Context, key string) (Value, error) {
	r, err := h.do(ctx, request{op: "Get", method: "GET", path: keyPath(key), timeout: h.timeout})
	if err != nil {
		return Value{}, err
	}
	switch r.status {
	case fasthttp.StatusOK:
		return Value{r.version, r.body}, nil
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
		return Value{r.version, r.body}, nil
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
	if err := json.Unmarshal(r.body, &list.Hosts); err != nil {
		return HostList{}, fmt.Errorf("platform host list: %w", err)
	}
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
