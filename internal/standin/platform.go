// Package standin provides stand-ins for the systems around guavayoke, for tests and
// demonstrations: the platform's key-value service, backend servers and the network
// between hosts. Each injects faults on request.
package standin

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavayoke/internal/kvstore"
)

// PlatformSettings are the settings of the stand-in for the platform.
type PlatformSettings struct {
	Address   string `validate:"required,ip_port" doc:"address at which daemons and operators connect"`
	HostLagMs int    `validate:"min=0,max=600000" doc:"delay after which the list of hosts shows a change, in milliseconds"`
}

// PlatformFaults are the faults that the platform can be told to inject.
type PlatformFaults struct {
	// Outage closes every connection without a response.
	Outage bool
	// SlowMs is the delay of each call in milliseconds.
	SlowMs int
	// LoseAnswers is the share of writes, from 0 to 1, that take effect but get no
	// response.
	LoseAnswers float64
	// LateWriteDelayMs is the delay in milliseconds after which a write without a
	// response takes effect.
	LateWriteDelayMs int `json:"LandLateMs"`
	// Corrupt returns values without their last byte.
	Corrupt bool
}

// Platform is a stand-in for the platform's key-value service and list of hosts. It
// keeps its state in memory only.
type Platform struct {
	settings PlatformSettings

	mu sync.Mutex
	// changed is closed and replaced at each write of a value.
	changed chan struct{}
	values  map[string]kvstore.Value
	hosts   map[string]*listedHost
	// list holds the hosts that are served, as of HostLagMs ago.
	list   kvstore.HostList
	faults PlatformFaults
	calls  map[string]int
}

// listedHost is a registered host whose lease ends at expiresAt.
type listedHost struct {
	host      kvstore.Host
	expiresAt time.Time
}

// NewPlatform returns a Platform without values and hosts.
func NewPlatform(settings PlatformSettings) *Platform {
	return &Platform{
		settings: settings, changed: make(chan struct{}), values: map[string]kvstore.Value{},
		hosts: map[string]*listedHost{}, calls: map[string]int{}, list: kvstore.HostList{Version: 1},
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the number of calls by kind, which is the first element of the path
// after "/v1/".
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, v := range p.calls {
		out[k] = v
	}
	return out
}

// Handler serves the API of the platform, the injected faults at /v1/faults and the
// numbers of calls at /v1/calls.
func (p *Platform) Handler(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/v1/faults":
		p.serveFaults(ctx)
		return
	case "/v1/calls":
		serveJSON(ctx, p.Calls())
		return
	}
	f := p.countCall(path)
	if f.SlowMs > 0 {
		time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
	}
	if f.Outage {
		dropConnection(ctx)
		return
	}
	switch {
	case strings.HasPrefix(path, "/v1/keys/"):
		p.serveKey(ctx, strings.TrimPrefix(path, "/v1/keys/"), f)
	case strings.HasPrefix(path, "/v1/watch/"):
		p.serveWatch(ctx, strings.TrimPrefix(path, "/v1/watch/"))
	case path == "/v1/hosts":
		p.serveHosts(ctx)
	case strings.HasPrefix(path, "/v1/hosts/"):
		p.serveRegister(ctx, strings.TrimPrefix(path, "/v1/hosts/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// countCall counts a call by its kind and returns the faults in force.
func (p *Platform) countCall(path string) PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind, _, _ := strings.Cut(strings.TrimPrefix(path, "/v1/"), "/")
	p.calls[kind]++
	return p.faults
}

// dropConnection closes the connection of a call without a response.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(nil)
	_ = ctx.Conn().Close()
}

func (p *Platform) serveFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() {
		var f PlatformFaults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.SetFaults(f)
	}
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	serveJSON(ctx, f)
}

func serveJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

func (p *Platform) serveKey(ctx *fasthttp.RequestCtx, key string, f PlatformFaults) {
	if ctx.IsPut() {
		p.servePut(ctx, key, f)
		return
	}
	p.mu.Lock()
	v := p.values[key]
	p.mu.Unlock()
	writeValue(ctx, v, f)
}

func writeValue(ctx *fasthttp.RequestCtx, v kvstore.Value, f PlatformFaults) {
	ctx.Response.Header.Set(kvstore.VersionHeader, strconv.FormatUint(v.Version, 10))
	if v.Version == 0 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body := v.Data
	if f.Corrupt && len(body) > 0 {
		body = body[:len(body)-1]
	}
	ctx.SetBody(body)
}

func (p *Platform) servePut(ctx *fasthttp.RequestCtx, key string, f PlatformFaults) {
	expect, err := strconv.ParseUint(string(ctx.Request.Header.Peek(kvstore.ExpectHeader)), 10, 64)
	if err != nil {
		ctx.Error("no "+kvstore.ExpectHeader, fasthttp.StatusBadRequest)
		return
	}
	data := append([]byte(nil), ctx.PostBody()...)
	if f.LoseAnswers > 0 && rand.Float64() < f.LoseAnswers {
		if f.LateWriteDelayMs > 0 {
			time.AfterFunc(time.Duration(f.LateWriteDelayMs)*time.Millisecond, func() { p.Put(key, expect, data) })
		} else {
			p.Put(key, expect, data)
		}
		dropConnection(ctx)
		return
	}
	version, ok := p.Put(key, expect, data)
	ctx.Response.Header.Set(kvstore.VersionHeader, strconv.FormatUint(version, 10))
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
}

// Put sets a key to data if the key has the expected version; a key that was never
// written has version 0. It returns the version that the key has after the call and
// whether it was set.
func (p *Platform) Put(key string, expect uint64, data []byte) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.values[key]
	if v.Version != expect {
		return v.Version, false
	}
	p.values[key] = kvstore.Value{Version: v.Version + 1, Data: data}
	close(p.changed)
	p.changed = make(chan struct{})
	return v.Version + 1, true
}

func (p *Platform) serveWatch(ctx *fasthttp.RequestCtx, key string) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("After")), 10, 64)
	expired := time.After(time.Duration(ctx.QueryArgs().GetUintOrZero("WaitMs")) * time.Millisecond)
	for {
		p.mu.Lock()
		v, changed, f := p.values[key], p.changed, p.faults
		p.mu.Unlock()
		if f.Outage {
			dropConnection(ctx)
			return
		}
		if v.Version > after {
			writeValue(ctx, v, f)
			return
		}
		select {
		case <-changed:
		case <-time.After(outageCheckInterval):
		case <-expired:
			ctx.SetStatusCode(fasthttp.StatusNotModified)
			return
		}
	}
}

// outageCheckInterval is how often a waiting watch checks for an injected outage.
const outageCheckInterval = 500 * time.Millisecond

func (p *Platform) serveRegister(ctx *fasthttp.RequestCtx, name string) {
	var h kvstore.Host
	if err := json.Unmarshal(ctx.PostBody(), &h); err != nil || h.Name != name {
		ctx.Error("the host's name differs from the path", fasthttp.StatusBadRequest)
		return
	}
	ttl := time.Duration(ctx.QueryArgs().GetUintOrZero("TTLMs")) * time.Millisecond
	p.Register(time.Now(), h, ttl)
}

// Register renews the lease of a host for ttl from now. The list of hosts shows it
// after HostLagMs.
func (p *Platform) Register(now time.Time, h kvstore.Host, ttl time.Duration) {
	p.mu.Lock()
	p.hosts[h.Name] = &listedHost{h, now.Add(ttl)}
	p.mu.Unlock()
	lag := time.Duration(p.settings.HostLagMs) * time.Millisecond
	time.AfterFunc(lag, func() { p.refreshList(time.Now().Add(-lag)) })
}

// refreshList drops the hosts whose leases have expired by now. If the list of hosts
// changes, it gets the next version.
func (p *Platform) refreshList(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []kvstore.Host
	for name, h := range p.hosts {
		if now.After(h.expiresAt) {
			delete(p.hosts, name)
			continue
		}
		list = append(list, h.host)
	}
	slices.SortFunc(list, func(a, b kvstore.Host) int { return cmp.Compare(a.Name, b.Name) })
	if !slices.EqualFunc(list, p.list.Hosts, kvstore.Host.Equal) {
		p.list = kvstore.HostList{Version: p.list.Version + 1, Hosts: list}
	}
}

func (p *Platform) serveHosts(ctx *fasthttp.RequestCtx) {
	known, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("Known")), 10, 64)
	p.refreshList(time.Now().Add(-time.Duration(p.settings.HostLagMs) * time.Millisecond))
	p.mu.Lock()
	list := p.list
	p.mu.Unlock()
	ctx.Response.Header.Set(kvstore.VersionHeader, strconv.FormatUint(list.Version, 10))
	if known == list.Version {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	serveJSON(ctx, list.Hosts)
}
