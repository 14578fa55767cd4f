package kvstore

import (
	"context"
	"math"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
)

// TestHostsOutOfBounds checks that a host with a value out of bounds, which a peer of an earlier
// version passes on, is not used, and that the others are.
func TestHostsOutOfBounds(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	cases := map[string]struct {
		change func(h *Host)
		want   HostKind
	}{
		"Server":         {func(*Host) {}, BackendServer},
		"OfSlots":        {func(h *Host) { h.CPUMilli, h.Labels = 0, nil }, BackendServer},
		"EntryHost":      {func(h *Host) { h.Kind, h.Service = EntryHost, "" }, EntryHost},
		"Largest":        {func(h *Host) { h.CPUMilli, h.MemoryMB, h.GPUs = MaxCPUMilli, MaxMemoryMB, MaxGPUs }, BackendServer},
		"Invalid":        {func(h *Host) { *h = Host{Name: h.Name, Kind: InvalidServer} }, InvalidServer},
		"CPUMax64":       {func(h *Host) { h.CPUMilli = math.MaxInt64 }, InvalidServer},
		"CPUNegative":    {func(h *Host) { h.CPUMilli = -1 }, InvalidServer},
		"MemoryMin64":    {func(h *Host) { h.MemoryMB = math.MinInt64 }, InvalidServer},
		"GPUsMax64":      {func(h *Host) { h.GPUs = math.MaxInt64 }, InvalidServer},
		"Port99999":      {func(h *Host) { h.Address = "a:99999" }, InvalidServer},
		"NoAddress":      {func(h *Host) { h.Address = "" }, InvalidServer},
		"LongAddress":    {func(h *Host) { h.Address = long + ":1" }, InvalidServer},
		"NoService":      {func(h *Host) { h.Service = "" }, InvalidServer},
		"LongService":    {func(h *Host) { h.Service = long }, InvalidServer},
		"NoDomain":       {func(h *Host) { h.FailureDomain = "" }, InvalidServer},
		"LongRegion":     {func(h *Host) { h.Region = long }, InvalidServer},
		"LongLabel":      {func(h *Host) { h.Labels = []string{long} }, InvalidServer},
		"ManyLabels":     {func(h *Host) { h.Labels = make([]string, 1000) }, InvalidServer},
		"LatestStart":    {func(h *Host) { h.StartedAtMs = MaxUnixMs }, BackendServer},
		"StartMax64":     {func(h *Host) { h.StartedAtMs = math.MaxInt64 }, InvalidServer},
		"StartNegative":  {func(h *Host) { h.StartedAtMs = -1 }, InvalidServer},
		"EntryPort70000": {func(h *Host) { h.Kind, h.Address = EntryHost, "a:70000" }, InvalidServer},
		"NoName":         {func(h *Host) { h.Name = "" }, ""},
		"LongName":       {func(h *Host) { h.Name = long }, ""},
		"NameLineBreak":  {func(h *Host) { h.Name = "a\r\nb" }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := Host{Name: "h", Kind: BackendServer, Address: "10.0.0.1:80", Service: "s", FailureDomain: "d", CPUMilli: 1, Labels: []string{"l"}}
			c.change(&h)
			b, err := cbor.Marshal(HostList{Version: 1, Hosts: []Host{h, {Name: "other", Kind: EntryHost, Address: "b:1", FailureDomain: "d"}}})
			if err != nil {
				t.Fatal(err)
			}
			list, invalid, err := decodeHostList(b)
			want := []HostKind{c.want, EntryHost}
			if c.want == "" {
				want = want[1:]
			}
			var got []HostKind
			for _, h := range list.Hosts {
				got = append(got, h.Kind)
			}
			if err != nil || !slices.Equal(got, want) || invalid != 0 && invalid != 1 {
				t.Errorf("got %v, want %v; %d invalid; %v", got, want, invalid, err)
			}
		})
	}
}

// TestOddHostOfPlatform checks that a host that can't be decoded does not cost the rest of the
// platform's list.
func TestOddHostOfPlatform(t *testing.T) {
	const a, b = `{"Name":"a","Kind":"Backend","Address":"a:1","Service":"s","FailureDomain":"d"}`, `{"Name":"b","Kind":"Entry","Address":"b:1","FailureDomain":"d"}`
	for name, odd := range map[string]string{
		"CPU1e400": `{"Name":"x","CPUMilli":1e400}`, "NumericName": `{"Name":7}`, "Text": `"x"`, "Null": `null`, "List": `[]`,
		"Port99999": strings.Replace(a, "a:1", "a:99999", 1),
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			handler := func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("[" + a + "," + odd + "," + b + "]") }
			go func() { _ = (&fasthttp.Server{Handler: handler}).Serve(l) }()
			store := NewStore(StoreConfig{Addresses: []string{l.Addr().String()}, Timeout: 10 * time.Second})
			list, err := store.Hosts(context.Background(), 0)
			if err != nil {
				t.Fatal(err)
			}
			used := slices.DeleteFunc(list.Hosts, func(h Host) bool { return h.Kind == InvalidServer })
			if len(used) != 2 || used[0].Name != "a" || used[1].Name != "b" {
				t.Errorf("hosts to use: %+v", used)
			}
		})
	}
}
