package main

import (
	"os"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/process/settings"
)

// watchReload checks the settings file at each SIGHUP and logs the result. Addresses
// and names are fixed while the process runs, so changes take effect at the next start.
// An invalid file is reported and changes nothing. It runs until the process ends:
// without a handler, a SIGHUP during the drain would end the process.
func watchReload(reloads <-chan os.Signal, path string, current settings.Settings, logger zerolog.Logger) {
	for range reloads {
		logReload(path, current, logger)
	}
}

func logReload(path string, current settings.Settings, logger zerolog.Logger) {
	loaded, err := settings.Load(path)
	if err != nil {
		logger.Warn().Err(err).Msg("node: reload: the settings are invalid, nothing changes")
		return
	}
	changed := current.ChangedKeys(loaded)
	if len(changed) == 0 {
		logger.Info().Msg("node: reload: the settings are unchanged")
		return
	}
	logger.Warn().Strs("changed", changed).Msg("node: reload: changed settings take effect at the next start")
}
