package daemon

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"guavayoke/internal/event"
	"guavayoke/internal/settings"
)

func validSettings() settings.Daemon {
	return settings.Daemon{
		Name: "entry1", Environment: "production", FailureDomain: "domain1", Region: "region1",
		CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", OperatorAddress: "127.0.0.1:3",
		PlatformAddresses: []string{"127.0.0.1:4"}, Seeds: []string{"127.0.0.1:5"},
		PeerKey: "00112233445566778899aabbccddeeff", StopLimitMs: 1000, LogLevel: "info",
	}
}

func writeSettings(t *testing.T, file string, set settings.Daemon) {
	t.Helper()
	b, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestSIGHUPReloadsSettings guards against SIGHUP ending the daemon with exit code 129:
// the signal must make the daemon read its settings again and keep running.
func TestSIGHUPReloadsSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	set := validSettings()
	writeSettings(t, file, set)
	seeds := make(chan []string, 1)
	r := newReloader(file, set, event.New(io.Discard, "info"), func(s []string) { seeds <- s }, Notify().Hangup)
	ctx, cancel := context.WithCancel(context.Background())
	done := r.run(ctx)
	set.Seeds = []string{"127.0.0.1:6"}
	writeSettings(t, file, set)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got := <-seeds; !slices.Equal(got, set.Seeds) {
		t.Errorf("seeds after a reload: %v, want %v", got, set.Seeds)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestNeedRestartNamesFields(t *testing.T) {
	old, next := validSettings(), validSettings()
	next.Seeds, next.LogLevel, next.CallerAddress = nil, "debug", "127.0.0.1:9"
	if got := needRestart(old, next); !slices.Equal(got, []string{"CallerAddress"}) {
		t.Errorf("need restart: %v, want CallerAddress alone", got)
	}
}
