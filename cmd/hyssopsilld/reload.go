package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/process/settings"
)

// watchReload logs what a SIGHUP finds in the settings file. Addresses and names
// are those of the process for its life, so that a change takes effect at the next
// start; a file with faults is reported and changes nothing.
func watchReload(ctx context.Context, path string, inForce settings.Settings, logger zerolog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		logReload(path, inForce, logger)
	}
}

func logReload(path string, inForce settings.Settings, logger zerolog.Logger) {
	s, err := settings.Load(path)
	if err != nil {
		logger.Warn().Err(err).Msg("node: reload: the settings have faults, nothing changes")
		return
	}
	changed := inForce.ChangedKeys(s)
	if len(changed) == 0 {
		logger.Info().Msg("node: reload: the settings are unchanged")
		return
	}
	logger.Warn().Strs("changed", changed).Msg("node: reload: changed settings take effect at the next start")
}
