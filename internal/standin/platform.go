// Package standin takes the place of the systems around guavayoke in tests and
// demonstrations: the platform and the backend servers, with faults on request.
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

	"guavayoke/internal/platform"
)

// PlatformSettings are the settings of the platform's stand-in.
type PlatformSettings struct {
	Address   string `validate:"required,ip_port" doc:"where daemons and operators connect"`
	HostLagMs int    `validate:"min=0,max=600000" doc:"how far the list of hosts lags behind, in milliseconds"`
}

// PlatformFaults are what can be made to go wrong at the platform.
type PlatformFaults struct {
	// Outage closes every connection without an answer.
	Outage bool
	// SlowMs delays each call.
	SlowMs int
	// LoseAnswers is the share of writes whose answer is lost after the change
	// took effect.
	LoseAnswers float64
	// LateWriteDelayMs is how long after a lost answer the change takes effect.
	LateWriteDelayMs int `json:"LandLateMs"`
	// Corrupt returns values with their last byte cut off.
	Corrupt bool
}

// Platform is the stand-in of the platform's key-value service. Its state
// lives in memory only.
type Platform struct {
	set PlatformSettings

	mu      sync.Mutex
	changed chan struct{}
	values  map[string]platform.Value
	hosts   map[string]*listedHost
	list    platform.HostList
	faults  PlatformFaults
	calls   map[string]int
}

type listedHost struct {
	host  platform.Host
	until time.Time
}

// NewPlatform returns an empty platform.
func NewPlatform(set PlatformSettings) *Platform {
	return &Platform{
		set: set, changed: make(chan struct{}), values: map[string]platform.Value{},
		hosts: map[string]*listedHost{}, calls: map[string]int{}, list: platform.HostList{Version: 1},
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns how many calls of each kind have come.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, v := range p.calls {
		out[k] = v
	}
	return out
}

// Handler serves the platform's interface and the faults at /v1/faults.
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
	f := p.enter(path)
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

// enter counts a call and returns the faults in force.
func (p *Platform) enter(path string) PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind, _, _ := strings.Cut(strings.TrimPrefix(path, "/v1/"), "/")
	p.calls[kind]++
	return p.faults
}

// dropConnection ends a call without an answer.
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

func writeValue(ctx *fasthttp.RequestCtx, v platform.Value, f PlatformFaults) {
	ctx.Response.Header.Set(platform.VersionHeader, strconv.FormatUint(v.Version, 10))
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
	expect, err := strconv.ParseUint(string(ctx.Request.Header.Peek(platform.ExpectHeader)), 10, 64)
	if err != nil {
		ctx.Error("no "+platform.ExpectHeader, fasthttp.StatusBadRequest)
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
	ctx.Response.Header.Set(platform.VersionHeader, strconv.FormatUint(version, 10))
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
}

// Put is the compare-and-swap. It returns the version that the key then has.
func (p *Platform) Put(key string, expect uint64, data []byte) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.values[key]
	if v.Version != expect {
		return v.Version, false
	}
	p.values[key] = platform.Value{Version: v.Version + 1, Data: data}
	close(p.changed)
	p.changed = make(chan struct{})
	return v.Version + 1, true
}

func (p *Platform) serveWatch(ctx *fasthttp.RequestCtx, key string) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("After")), 10, 64)
	end := time.After(time.Duration(ctx.QueryArgs().GetUintOrZero("WaitMs")) * time.Millisecond)
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
		case <-time.After(watchCheck):
		case <-end:
			ctx.SetStatusCode(fasthttp.StatusNotModified)
			return
		}
	}
}

// watchCheck is how often a waiting watch looks for an outage.
const watchCheck = 500 * time.Millisecond

func (p *Platform) serveRegister(ctx *fasthttp.RequestCtx, name string) {
	var h platform.Host
	if err := json.Unmarshal(ctx.PostBody(), &h); err != nil || h.Name != name {
		ctx.Error("the host's name differs from the path", fasthttp.StatusBadRequest)
		return
	}
	ttl := time.Duration(ctx.QueryArgs().GetUintOrZero("TTLMs")) * time.Millisecond
	p.Register(time.Now(), h, ttl)
}

// Register renews the lease of a host. The list shows it after the lag.
func (p *Platform) Register(now time.Time, h platform.Host, ttl time.Duration) {
	p.mu.Lock()
	p.hosts[h.Name] = &listedHost{h, now.Add(ttl)}
	p.mu.Unlock()
	lag := time.Duration(p.set.HostLagMs) * time.Millisecond
	time.AfterFunc(lag, func() { p.relist(time.Now().Add(-lag)) })
}

// relist makes a new list of the hosts whose leases hold, if it differs.
func (p *Platform) relist(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []platform.Host
	for name, h := range p.hosts {
		if now.After(h.until) {
			delete(p.hosts, name)
			continue
		}
		list = append(list, h.host)
	}
	slices.SortFunc(list, func(a, b platform.Host) int { return cmp.Compare(a.Name, b.Name) })
	if !slices.EqualFunc(list, p.list.Hosts, platform.Host.Equal) {
		p.list = platform.HostList{Version: p.list.Version + 1, Hosts: list}
	}
}

func (p *Platform) serveHosts(ctx *fasthttp.RequestCtx) {
	known, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("Known")), 10, 64)
	p.relist(time.Now().Add(-time.Duration(p.set.HostLagMs) * time.Millisecond))
	p.mu.Lock()
	list := p.list
	p.mu.Unlock()
	ctx.Response.Header.Set(platform.VersionHeader, strconv.FormatUint(list.Version, 10))
	if known == list.Version {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	serveJSON(ctx, list.Hosts)
}
