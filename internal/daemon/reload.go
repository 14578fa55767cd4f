package daemon

import (
	"context"
	"os"
	"reflect"

	"github.com/phuslu/log"

	"guavayoke/internal/settings"
)

// reloader applies a changed settings file to a running daemon. Seeds and LogLevel take
// effect immediately. Changes of other fields are logged and take effect at the next start.
type reloader struct {
	file string
	// current holds the settings in effect.
	current  settings.Daemon
	log      *log.Logger
	setSeeds func([]string)
	// hangups receives SIGHUP.
	hangups chan os.Signal
}

func newReloader(file string, set settings.Daemon, logger *log.Logger, setSeeds func([]string), hangups chan os.Signal) *reloader {
	return &reloader{file: file, current: set, log: logger, setSeeds: setSeeds, hangups: hangups}
}

// run starts a goroutine that reloads the settings at each SIGHUP until ctx ends. The
// channel that it returns delivers nil when the goroutine has ended.
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

// reload reads the settings file and applies it. If the file is invalid, the settings in
// effect stay.
func (r *reloader) reload() {
	var next settings.Daemon
	if err := settings.Read(r.file, &next); err != nil {
		r.log.Error().Err(err).Msg("SettingsRejected")
		return
	}
	r.apply(next)
}

func (r *reloader) apply(next settings.Daemon) {
	r.log.Info().Str("File", r.file).Strs("NeedRestart", needRestart(r.current, next)).Msg("SettingsReloaded")
	r.setSeeds(next.Seeds)
	r.log.SetLevel(log.ParseLevel(next.LogLevel))
	r.current.Seeds, r.current.LogLevel = next.Seeds, next.LogLevel
}

// needRestart returns the names of the fields that differ between old and next and that
// take effect only at a start.
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
