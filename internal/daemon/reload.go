package daemon

import (
	"context"
	"os"
	"reflect"

	"github.com/phuslu/log"

	"guavayoke/internal/settings"
)

// reloader applies a changed settings file to a running daemon. What can't
// change while the daemon runs is logged and takes effect at the next start.
type reloader struct {
	file    string
	set     settings.Daemon
	log     *log.Logger
	setSeed func([]string)
	// hangups delivers SIGHUP.
	hangups chan os.Signal
}

func newReloader(file string, set settings.Daemon, logger *log.Logger, setSeeds func([]string), hangups chan os.Signal) *reloader {
	return &reloader{file: file, set: set, log: logger, setSeed: setSeeds, hangups: hangups}
}

// run reloads at each SIGHUP until ctx ends.
func (r *reloader) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-r.hangups:
				r.reload()
			}
		}
	}()
	return done
}

func (r *reloader) reload() {
	var next settings.Daemon
	if err := settings.Read(r.file, &next); err != nil {
		r.log.Error().Err(err).Msg("SettingsRejected")
		return
	}
	r.apply(next)
}

func (r *reloader) apply(next settings.Daemon) {
	r.log.Info().Str("File", r.file).Strs("NeedRestart", needRestart(r.set, next)).Msg("SettingsReloaded")
	r.setSeed(next.Seeds)
	r.log.SetLevel(log.ParseLevel(next.LogLevel))
	r.set.Seeds, r.set.LogLevel = next.Seeds, next.LogLevel
}

// needRestart names the fields that differ and take effect only at a start.
func needRestart(old, next settings.Daemon) []string {
	next.Seeds, next.LogLevel = old.Seeds, old.LogLevel
	names := []string{}
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			names = append(names, a.Type().Field(i).Name)
		}
	}
	return names
}
